//! What this process has used so far.

use std::time::Duration;

/// Kernel clock ticks a second in `/proc`; 100 on every Linux that Rust runs on by default.
const TICKS: u64 = 100;

/// Returns the processor time of all threads.
pub(crate) fn processor() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name in parentheses may contain spaces, so the fields are counted after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_ascii_whitespace().skip(11).take(2);
    let sum: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    Duration::from_millis(sum * 1_000 / TICKS)
}

/// Returns the memory that is resident, in bytes.
pub(crate) fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_ascii_whitespace().nth(1));
    field
        .and_then(|field| field.parse::<u64>().ok())
        .unwrap_or_default()
        * 1_024
}
