//! Common command line of all daemons.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use lexopt::prelude::*;

use crate::{
    load::{Settings, load},
    problem::Problem,
};

/// Exit code of a successful run.
pub const EXIT_OK: u8 = 0;
/// Exit code of a run that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;

/// Description of a daemon for `--help` and `--version`.
#[derive(Debug, Clone, Copy)]
pub struct Daemon {
    /// Name of the binary.
    pub name: &'static str,
    /// Description in one sentence.
    pub about: &'static str,
    /// Version of the binary.
    pub version: &'static str,
}

/// Action that the command line selects.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Runs the daemon with a settings file.
    Run(PathBuf),
    /// Validates a settings file.
    Check(PathBuf),
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
}

/// Reason why a command line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option is unknown or its value is missing.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// No settings file is given.
    #[error("--settings FILE is required")]
    Settings,
}

impl Action {
    /// Parses arguments, which don't include the program's name.
    ///
    /// # Errors
    ///
    /// Fails if an option is unknown, or if `--settings` or its value is missing.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, Error> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut path = None;
        let mut check = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Help),
                Short('V') | Long("version") => return Ok(Self::Version),
                Long("settings") => path = Some(PathBuf::from(parser.value()?)),
                Long("check") => check = true,
                other => return Err(other.unexpected().into()),
            }
        }
        let path = path.ok_or(Error::Settings)?;
        Ok(if check {
            Self::Check(path)
        } else {
            Self::Run(path)
        })
    }
}

impl Daemon {
    /// Performs the action of the command line; `run` is called with validated settings.
    ///
    /// Help, version and the result of `--check` are printed to standard output, errors to standard
    /// error.
    pub fn main<T: Settings>(&self, run: impl FnOnce(T) -> ExitCode) -> ExitCode {
        match Action::parse(std::env::args_os().skip(1)) {
            Ok(Action::Help) => self.help(),
            Ok(Action::Version) => {
                println!("{} {}", self.name, self.version);
                ExitCode::from(EXIT_OK)
            }
            Ok(Action::Check(path)) => match load::<T>(&path) {
                Ok(_) => {
                    println!("settings: valid");
                    ExitCode::from(EXIT_OK)
                }
                Err(problems) => self.refuse(&problems),
            },
            Ok(Action::Run(path)) => match load::<T>(&path) {
                Ok(settings) => run(settings),
                Err(problems) => self.refuse(&problems),
            },
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                eprintln!("Try '{} --help'.", self.name);
                ExitCode::from(EXIT_USAGE)
            }
        }
    }

    fn help(&self) -> ExitCode {
        println!("{}\n", self.about);
        println!("Usage: {} --settings FILE [--check]\n", self.name);
        println!("Options:");
        println!("  --settings FILE  read settings (JSON) from FILE");
        println!("  --check          check the settings and exit");
        println!("  -h, --help       print this text");
        println!("  -V, --version    print the version\n");
        println!("Exit codes: 0 ended as asked, 1 failed, 2 wrong command line or settings.");
        ExitCode::from(EXIT_OK)
    }

    fn refuse(&self, problems: &[Problem]) -> ExitCode {
        for problem in problems {
            eprintln!("{}: settings: {problem}", self.name);
        }
        ExitCode::from(EXIT_USAGE)
    }
}
