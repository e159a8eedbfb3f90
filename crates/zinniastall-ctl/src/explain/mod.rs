//! Reconstructs the timeline of one request from the logs of all processes.
//!
//! A timeline holds the lines that carry the request's id. It also holds lines that report state
//! changes of the targets, instances and configuration that the request depended on, from some time
//! before its first line until its last one.

pub mod line;

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use self::line::{Line, REQUEST_FIELDS};
use crate::exit;

/// Seconds before a request's first line from which state changes are included: a silent target, an
/// ejection or a reload affects requests within that time.
const CONTEXT_SECONDS: f64 = 10.0;
/// Events that report a state change, each with the field that names its subject. Events without
/// such a field concern the whole process.
const STATE_EVENTS: [(&str, &str); 22] = [
    ("target", "target"),
    ("target-out", "target"),
    ("target-limit", "target"),
    ("target-brittle", "target"),
    ("path-lost", "target"),
    ("path-back", "target"),
    ("cut-off", ""),
    ("cut-off-ended", ""),
    ("target-serving", "target"),
    ("target-gone", "target"),
    ("suspects-heard", ""),
    ("quarantine-heard", ""),
    ("in-force", ""),
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

/// Events that report how a request ended: at a gateway instance, at the entry instance that got it
/// from its caller, and at one that it was forwarded to.
const END_EVENTS: [&str; 3] = ["request-ended", "request", "forwarded"];

/// A request to explain, and the logs to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Id of the request.
    pub id: String,
    /// Names of log files; standard input is read if there are none.
    pub logs: Vec<String>,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// Prints the timeline of a request.
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

/// Reads all logs. Lines that name no process are attributed to the one that the file is named
/// after.
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

/// One entry of a timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Step {
    /// Seconds since the request's first line; negative before it.
    pub after: f64,
    /// Process that wrote the line; empty if unknown.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub process: String,
    /// Event that the line reports.
    pub event: String,
    /// Remaining fields of the line, such as the inputs of a decision and its outcome.
    pub fields: IndexMap<String, String>,
}

/// Timeline of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Timeline {
    /// Id of the request.
    pub id: String,
    /// Outcome for the caller, if the logs have it.
    pub end: Option<String>,
    /// Entries in order of time.
    pub steps: Vec<Step>,
}

/// Reads the lines of a log and skips those that are not log lines.
///
/// # Errors
///
/// Fails if the log cannot be read.
pub fn read(input: impl BufRead) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in input.lines() {
        lines.extend(Line::parse(&text?));
    }
    Ok(lines)
}

/// Reconstructs the timeline of a request; returns `None` if no line carries its id.
pub fn reconstruct(id: &str, lines: &[Line]) -> Option<Timeline> {
    let request_lines: Vec<&Line> = lines.iter().filter(|line| line.request() == id).collect();
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
        in_time && line.request().is_empty() && is_related_state(line, &encountered)
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

/// Returns the line with the request's outcome for its caller.
///
/// That is the last one of the instance that received the request from the caller or, if the logs
/// lack it, of an instance that the request was forwarded to.
fn end<'a>(request_lines: &[&'a Line]) -> Option<&'a Line> {
    let ends = request_lines
        .iter()
        .filter(|line| END_EVENTS.contains(&line.event()));
    let is_from_caller =
        |line: &Line| line.event() != "forwarded" && line.field("passed_on") != "true";
    let last = ends.max_by(|a, b| {
        let order = is_from_caller(a).cmp(&is_from_caller(b));
        order.then(a.time.total_cmp(&b.time))
    });
    last.copied()
}

/// Returns the names of the processes, targets and instances that handled a request.
fn encountered<'a>(request_lines: &[&'a Line]) -> IndexSet<&'a str> {
    let named = request_lines
        .iter()
        .flat_map(|line| ["place", "target"].map(|name| line.field(name)));
    let processes = request_lines.iter().map(|line| line.process.as_str());
    named
        .chain(processes)
        .filter(|name| !name.is_empty())
        .collect()
}

/// Returns whether a line reports a state change that concerns a request: it comes from a process
/// that handled the request, and its subject is one of those in `encountered`.
///
/// Lines that name no process count as if they came from such a process.
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
    let omitted =
        |name: &str| ["ts", "level", "event"].contains(&name) || REQUEST_FIELDS.contains(&name);
    let fields = line.fields.iter().filter(|(name, _)| !omitted(name));
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
