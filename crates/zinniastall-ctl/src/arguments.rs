//! The command line.

use std::{ffi::OsString, time::Duration};

use lexopt::prelude::*;
use zinniastall_api::{
    names::Named,
    operator::{Command, Kind, Step},
};

use crate::{
    call::{Call, Invocation, Replica, Watch},
    explain::Query,
    input,
};

/// The help text.
pub const HELP: &str = "\
Drives zinniastall by its operators' calls; JSON in and out.

Usage: zinniastall-ctl --address IP:PORT[,IP:PORT...] [OPTIONS] CALL

Calls:
  bootstrap                     found a cluster, once
  apply OBJECT                  create or replace an object; OBJECT is JSON, a file, or -
  delete KIND ID                delete an object
  get KIND ID                   print an object and its revision
  list KIND                     print all objects of a kind
  watch [KIND...]               print changes as they are committed, one a line
  status                        print how the system is
  instance NAME                 print how an entry instance is
  change REVISION               print who has not confirmed a change yet
  histograms [INSTANCE]         print histograms of an entry instance or of control
  replica admit ID IP:PORT      add a replica as a learner; IP:PORT are its links
  replica promote ID            make a learner that has caught up a voter
  replica remove ID             remove a replica
  retire INSTANCE               declare an entry instance gone for certain
  publish TABLE                 replace the gateways' routing table, if its number is higher;
                                TABLE is JSON, a file, or -
  routing                       print the routing table and the evacuated zones
  evacuate ZONE                 let no new request go to the targets of a zone
  reopen ZONE                   take an evacuation back
  quarantine                    print the requests that are not run any more, by fingerprint
  release FINGERPRINT           let a request run again
  reach                         print the instances that don't reach all targets, and which; and
                                targets that want no requests of an instance, and for how long
  limits                        print the targets that name a rate, as the replica heard of them
  explain ID [LOG...]           tell the story of a request from the logs of all processes, or
                                from standard input; needs no --address

Kinds: client, route, model, adapter, residency, role.

Options:
  --address LIST    operators' addresses of control instances; all are tried
  --operator NAME   who asks (default: ctl)
  --command ID      command id; a fresh one is made and printed when absent
  --expected N      revision that the object must have, 0 when it must not exist;
                    required with --command, otherwise the present revision is read
  --wait MS         wait that long for all instances to confirm the change
  --local           status: as the first replica that answers sees it, not the leader
  --after N         watch: print changes after this revision (default: 0)
  --count N         watch: end after that many changes
  --timeout MS      give up after that long (default: 15000)
  --json            explain: print JSON instead of text
  -h, --help        print this text
  -V, --version     print the version

Exit codes: 0 done or accepted, 1 failed or unreachable, 2 usage, 3 conflict, 4 pending,
5 command id reused, 6 invalid, 7 unknown outcome (resend under the same command id).";

/// Time after which an invocation gives up unless `--timeout` is given.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Action that the command line selects.
#[derive(Debug)]
pub enum Action {
    /// Performs one call.
    Run(Box<Invocation>),
    /// Explains a request from logs.
    Explain(Query),
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
}

/// Why a command line is rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option is unknown, or its value is malformed.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// No address is given.
    #[error("--address is required")]
    MissingAddress,
    /// There is no such call.
    #[error("no such call: {0}")]
    UnknownCall(String),
    /// A call lacks an argument.
    #[error("{0} is required")]
    MissingArgument(&'static str),
    /// There is no such kind.
    #[error("no such kind: {0}")]
    UnknownKind(String),
    /// There is no such step.
    #[error("no such step: {0}; expected admit, promote or remove")]
    UnknownStep(String),
    /// There are more arguments than the call takes.
    #[error("unexpected argument: {0}")]
    UnexpectedArgument(String),
    /// A number is malformed.
    #[error("not a number: {0}")]
    InvalidNumber(String),
    /// A command id is given without an expected revision.
    ///
    /// A resend that arrives late could then run a second time.
    #[error("--command needs --expected, or a late resend could run twice")]
    MissingExpected,
    /// The object or routing table is not valid.
    #[error(transparent)]
    Object(#[from] input::Error),
}

#[derive(Debug, Default)]
struct Options {
    addresses: Vec<String>,
    operator: Option<String>,
    command: Option<String>,
    expected: Option<u64>,
    wait_ms: u64,
    after: u64,
    local: bool,
    count: Option<usize>,
    timeout: Option<Duration>,
    json: bool,
}

impl Action {
    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the command line is not valid.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, Error> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut options = Options::default();
        let mut operands = Vec::new();
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Short('V') | Long("version") => return Ok(Self::Version),
                Long("address") => {
                    let list = parser.value()?.string()?;
                    options.addresses.extend(list.split(',').map(str::to_owned));
                }
                Long("operator") => options.operator = Some(parser.value()?.string()?),
                Long("command") => options.command = Some(parser.value()?.string()?),
                Long("expected") => options.expected = Some(parser.value()?.parse()?),
                Long("wait") => options.wait_ms = parser.value()?.parse()?,
                Long("local") => options.local = true,
                Long("json") => options.json = true,
                Long("after") => options.after = parser.value()?.parse()?,
                Long("count") => options.count = Some(parser.value()?.parse()?),
                Long("timeout") => {
                    options.timeout = Some(Duration::from_millis(parser.value()?.parse()?));
                }
                Value(operand) => operands.push(operand.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        if operands.first().is_some_and(|operand| operand == "explain") {
            return Ok(Self::Explain(explain_query(&options, operands)?));
        }
        Ok(Self::Run(Box::new(invocation(options, operands)?)))
    }
}

fn explain_query(options: &Options, operands: Vec<String>) -> Result<Query, Error> {
    let mut operands = operands.into_iter().skip(1);
    Ok(Query {
        id: operands
            .next()
            .ok_or(Error::MissingArgument("the id of a request"))?,
        logs: operands.collect(),
        json: options.json,
    })
}

fn invocation(options: Options, operands: Vec<String>) -> Result<Invocation, Error> {
    let call = call(&options, operands)?;
    if options.addresses.is_empty() {
        return Err(Error::MissingAddress);
    }
    let needs_expected = matches!(call, Call::Apply(_) | Call::Delete(..));
    if needs_expected && options.command.is_some() && options.expected.is_none() {
        return Err(Error::MissingExpected);
    }
    Ok(Invocation {
        addresses: options.addresses,
        command: Command {
            operator: options.operator.unwrap_or_else(|| "ctl".to_owned()),
            id: options.command.unwrap_or_else(random_command_id),
            expected: options.expected,
        },
        wait_ms: options.wait_ms,
        timeout: options.timeout.unwrap_or(DEFAULT_TIMEOUT),
        call,
    })
}

/// Returns a random command id, which no other invocation uses.
fn random_command_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn call(options: &Options, operands: Vec<String>) -> Result<Call, Error> {
    let mut operands = operands.into_iter();
    let name = operands.next().ok_or(Error::MissingArgument("a call"))?;
    let mut operand = |what| operands.next().ok_or(Error::MissingArgument(what));
    let call = match name.as_str() {
        "bootstrap" => Call::Bootstrap,
        "apply" => Call::Apply(input::object(&operand("an object")?)?),
        "delete" => Call::Delete(kind(&operand("a kind")?)?, operand("an id")?),
        "get" => Call::Get(kind(&operand("a kind")?)?, operand("an id")?),
        "list" => Call::List(kind(&operand("a kind")?)?),
        "watch" => Call::Watch(Watch {
            kinds: operands
                .by_ref()
                .map(|operand| kind(&operand))
                .collect::<Result<_, _>>()?,
            after: options.after,
            count: options.count,
        }),
        "status" => Call::Status {
            local: options.local,
        },
        "instance" => Call::Instance(operand("an instance")?),
        "change" => Call::Change(number(&operand("a revision")?)?),
        "histograms" => Call::Histograms(operands.next().unwrap_or_default()),
        "replica" => replica(&mut operand)?,
        "retire" => Call::Retire(operand("an instance")?),
        "publish" => Call::Publish(input::table(&operand("a routing table")?)?),
        "routing" => Call::Routing,
        "evacuate" => evacuate(operand("a zone")?, false),
        "reopen" => evacuate(operand("a zone")?, true),
        "quarantine" => Call::Quarantine,
        "limits" => Call::Limits,
        "reach" => Call::Reach,
        "release" => Call::Release(operand("a fingerprint")?),
        _ => return Err(Error::UnknownCall(name)),
    };
    operands
        .next()
        .map_or(Ok(call), |operand| Err(Error::UnexpectedArgument(operand)))
}

const fn evacuate(zone: String, reopen: bool) -> Call {
    Call::Evacuate { zone, reopen }
}

fn replica(operand: &mut impl FnMut(&'static str) -> Result<String, Error>) -> Result<Call, Error> {
    let name = operand("a step")?;
    let step = Step::parse(&name).filter(|step| *step != Step::Unspecified);
    let step = step.ok_or(Error::UnknownStep(name))?;
    let id = operand("a replica id")?;
    let address = match step {
        Step::Admit => operand("the address of its links")?,
        _ => String::new(),
    };
    Ok(Call::Replica(Replica { step, id, address }))
}

fn kind(name: &str) -> Result<Kind, Error> {
    let kind = Kind::parse(name).filter(|kind| *kind != Kind::Unspecified);
    kind.ok_or_else(|| Error::UnknownKind(name.to_owned()))
}

fn number(text: &str) -> Result<u64, Error> {
    text.parse()
        .map_err(|_| Error::InvalidNumber(text.to_owned()))
}
