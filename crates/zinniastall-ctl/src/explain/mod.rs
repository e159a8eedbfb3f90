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
use crate::verdict::Verdict;

/// Seconds before a request's first line from which changes of belief are told: a target's silence,
/// an ejection and a reload take no longer to matter.
const BEFORE: f64 = 10.0;
/// Events that change what a process believes, and the fields by which they name their subject.
const BELIEFS: [(&str, &str); 11] = [
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
pub struct Question {
    /// Id of the request.
    pub id: String,
    /// Files; standard input if there are none.
    pub logs: Vec<String>,
    /// Whether JSON is printed.
    pub json: bool,
}

/// Prints the story of a request.
pub fn run(question: &Question) -> Verdict {
    let lines = match gather(&question.logs) {
        Ok(lines) => lines,
        Err(error) => {
            eprintln!("zinniastall-ctl: {error}");
            return Verdict::Failed;
        }
    };
    let Some(story) = tell(&question.id, &lines) else {
        eprintln!("zinniastall-ctl: no line speaks of request {}", question.id);
        return Verdict::Failed;
    };
    if question.json {
        match serde_json::to_string(&story) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("zinniastall-ctl: {error}");
                return Verdict::Failed;
            }
        }
    } else {
        print!("{story}");
    }
    Verdict::Accepted
}

/// Reads all logs; a log that names no process is that of the process its file is named after.
fn gather(logs: &[String]) -> io::Result<Vec<Line>> {
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
pub struct Story {
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
pub fn tell(id: &str, lines: &[Line]) -> Option<Story> {
    let own: Vec<&Line> = lines.iter().filter(|line| line.field("id") == id).collect();
    let first = own.iter().map(|line| line.at).reduce(f64::min)?;
    let last = own.iter().map(|line| line.at).reduce(f64::max)?;
    let met = met(&own);
    let matters = |line: &&Line| {
        let in_time = line.at >= first - BEFORE && line.at <= last;
        in_time && line.field("id").is_empty() && is_belief(line, &met)
    };
    let beliefs = lines.iter().filter(matters);
    let mut all: Vec<&Line> = own.iter().copied().chain(beliefs).collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    Some(Story {
        id: id.to_owned(),
        end: end(&own).map(|line| line.field("outcome").to_owned()),
        steps: all.into_iter().map(|line| step(line, first)).collect(),
    })
}

/// Returns the line that says how a request ended for its caller: the last one of an instance to which it came
/// from the caller. Where the logs lack that, the last one of an instance to which it was passed on.
fn end<'a>(own: &[&'a Line]) -> Option<&'a Line> {
    let ends = own.iter().filter(|line| line.event() == "request-ended");
    let is_callers = |line: &Line| line.field("passed_on") != "true";
    let last = ends.max_by(|a, b| {
        let own = is_callers(a).cmp(&is_callers(b));
        own.then(a.at.total_cmp(&b.at))
    });
    last.copied()
}

/// Returns the names of whatever a request met: processes, targets, instances.
fn met<'a>(own: &[&'a Line]) -> IndexSet<&'a str> {
    let named = own.iter().map(|line| line.field("place"));
    let processes = own.iter().map(|line| line.process.as_str());
    named
        .chain(processes)
        .filter(|name| !name.is_empty())
        .collect()
}

/// Tells whether a line says what a process that the request passed through came to believe of what
/// the request met; with logs that name no process, any process counts.
fn is_belief(line: &Line, met: &IndexSet<&str>) -> bool {
    let is_near = line.process.is_empty() || met.contains(line.process.as_str());
    let mut beliefs = BELIEFS.iter().filter(|(event, _)| *event == line.event());
    is_near && beliefs.any(|(_, subject)| subject.is_empty() || met.contains(line.field(subject)))
}

fn step(line: &Line, first: f64) -> Step {
    let left_out = ["ts", "level", "event", "id"];
    let fields = line
        .fields
        .iter()
        .filter(|(name, _)| !left_out.contains(&name.as_str()));
    Step {
        after: ((line.at - first) * 10_000.0).round() / 10_000.0,
        process: line.process.clone(),
        event: line.event().to_owned(),
        fields: fields
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect(),
    }
}

impl std::fmt::Display for Story {
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
