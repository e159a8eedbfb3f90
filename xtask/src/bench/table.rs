//! Markdown tables, as used in the documentation.

/// A Markdown table.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub(super) fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| (*cell).to_owned()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    pub(super) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table to standard output.
    pub(super) fn print(&self) {
        for (index, row) in self.rows.iter().enumerate() {
            println!("| {} |", row.join(" | "));
            if index == 0 {
                println!("|{}", "---|".repeat(row.len()));
            }
        }
    }
}

/// Formats microseconds of a report as milliseconds.
pub(super) fn millis(value: &serde_json::Value) -> String {
    format!("{:.2}", value.as_f64().unwrap_or_default() / 1000.0)
}
