//! The story of one request, told from the logs of all processes.
//!
//! Lines that carry the request's id come first; beside them stand the lines that changed what the
//! processes believed of the targets, instances and configuration that the request met, from a while
//! before it arrived until it ended.

pub mod line;

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use self::line::Line;
use crate::exit;

/// Seconds before a request's first line from which changes of belief are told: a target's silence,
/// an ejection and a reload take no longer to matter.
const CONTEXT_SECONDS: f64 = 10.0;
/// Events that change what a process believes, and the fields by which they name their subject.
const STATE_EVENTS: [(&str, &str); 11] = [
    ("target", "target"),
    ("target-out", "target"),
    ("instance", "instance"),
    ("configured", ""),
    ("control-lost", ""),
    ("control-linked", ""),
    ("draining", ""),
    ("started", ""),
    ("stopped", ""),
    ("lines-left-out", ""),
    ("log-lines-dropped", ""),
];

/// What is to be explained, and from which logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Id of the request.
    pub id: String,
    /// Files; standard input if there are none.
    pub logs: Vec<String>,
    /// Whether JSON is printed.
    pub json: bool,
}

/// Prints the story of a request.
pub fn run(query: &Query) -> exit::Status {
    let lines = match read_all(&query.logs) {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("zinniastall-ctl: {error}");
            return exit::Status::Failed;
        }
    };
    let Some(timeline) = reconstruct(&query.id, &lines) else {
        eprintln!("zinniastall-ctl: no line speaks of request {}", query.id);
        return exit::Status::Failed;
    };
    if query.json {
        match serde_json::to_string(&timeline) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("zinniastall-ctl: {error}");
                return exit::Status::Failed;
            }
        }
    } else {
        print!("{timeline}");
    }
    exit::Status::Accepted
}

/// Reads all logs; a log that names no process is that of the process its file is named after.
fn read_all(logs: &[String]) -> io::Result<Vec<Line>> {
    if logs.is_empty() {
        return read(io::stdin().lock());
    }
    let mut all = Vec::new();
    for log in logs {
        let mut lines = read(BufReader::new(File::open(log)?))?;
        let name = Path::new(log).file_stem().unwrap_or_default();
        let name = name.to_string_lossy().into_owned();
        for line in lines.iter_mut().filter(|line| line.process.is_empty()) {
            line.process.clone_from(&name);
        }
        all.extend(lines);
    }
    Ok(all)
}

/// One line of a story.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// Seconds since the request's first line; negative before it.
    pub after: f64,
    /// Process that wrote the line, where the log says so.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub process: String,
    /// What happened.
    pub event: String,
    /// What it was decided on, and its outcome.
    pub fields: IndexMap<String, String>,
}

/// The story of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Timeline {
    /// Its id.
    pub id: String,
    /// How it ended for its caller, as the logs say.
    pub end: Option<String>,
    /// What happened, in time order.
    pub steps: Vec<Step>,
}

/// Reads the lines of a log; what is no log line is passed over.
///
/// # Errors
///
/// Fails when the log can't be read.
pub fn read(input: impl BufRead) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in input.lines() {
        lines.extend(Line::parse(&text?));
    }
    Ok(lines)
}

/// Tells the story of a request, if any line speaks of it.
pub fn reconstruct(id: &str, lines: &[Line]) -> Option<Timeline> {
    let request_lines: Vec<&Line> = lines.iter().filter(|line| line.field("id") == id).collect();
    let first = request_lines
        .iter()
        .map(|line| line.time)
        .reduce(f64::min)?;
    let last = request_lines
        .iter()
        .map(|line| line.time)
        .reduce(f64::max)?;
    let encountered = encountered(&request_lines);
    let is_context = |line: &&Line| {
        let in_time = line.time >= first - CONTEXT_SECONDS && line.time <= last;
        in_time && line.field("id").is_empty() && is_related_state(line, &encountered)
    };
    let context = lines.iter().filter(is_context);
    let mut all: Vec<&Line> = request_lines.iter().copied().chain(context).collect();
    all.sort_by(|a, b| a.time.total_cmp(&b.time));
    Some(Timeline {
        id: id.to_owned(),
        end: end(&request_lines).map(|line| line.field("outcome").to_owned()),
        steps: all.into_iter().map(|line| step(line, first)).collect(),
    })
}

/// Returns the line that says how a request ended for its caller: the last one of an instance to which it came
/// from the caller. Where the logs lack that, the last one of an instance to which it was passed on.
fn end<'a>(request_lines: &[&'a Line]) -> Option<&'a Line> {
    let ends = request_lines
        .iter()
        .filter(|line| line.event() == "request-ended");
    let is_from_caller = |line: &Line| line.field("passed_on") != "true";
    let last = ends.max_by(|a, b| {
        let order = is_from_caller(a).cmp(&is_from_caller(b));
        order.then(a.time.total_cmp(&b.time))
    });
    last.copied()
}

/// Returns the names of whatever a request met: processes, targets, instances.
fn encountered<'a>(request_lines: &[&'a Line]) -> IndexSet<&'a str> {
    let named = request_lines.iter().map(|line| line.field("place"));
    let processes = request_lines.iter().map(|line| line.process.as_str());
    named
        .chain(processes)
        .filter(|name| !name.is_empty())
        .collect()
}

/// Tells whether a line says what a process that the request passed through came to believe of what
/// the request met; with logs that name no process, any process counts.
fn is_related_state(line: &Line, encountered: &IndexSet<&str>) -> bool {
    let is_relevant_process =
        line.process.is_empty() || encountered.contains(line.process.as_str());
    let mut events = STATE_EVENTS
        .iter()
        .filter(|(event, _)| *event == line.event());
    is_relevant_process
        && events
            .any(|(_, subject)| subject.is_empty() || encountered.contains(line.field(subject)))
}

fn step(line: &Line, first: f64) -> Step {
    let omitted = ["ts", "level", "event", "id"];
    let fields = line
        .fields
        .iter()
        .filter(|(name, _)| !omitted.contains(&name.as_str()));
    Step {
        after: ((line.time - first) * 10_000.0).round() / 10_000.0,
        process: line.process.clone(),
        event: line.event().to_owned(),
        fields: fields
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect(),
    }
}

impl std::fmt::Display for Timeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let end = self.end.as_deref().unwrap_or("no line says how it ended");
        writeln!(f, "request {}: {end}", self.id)?;
        for step in &self.steps {
            write!(
                f,
                "{:+10.4}s {:24} {:14}",
                step.after, step.process, step.event
            )?;
            for (name, value) in &step.fields {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
