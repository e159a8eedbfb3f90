//! The command line that all daemons share.

use std::{ffi::OsString, path::PathBuf, process::ExitCode};

use lexopt::prelude::*;

use crate::{
    load::{Settings, load},
    problem::Problem,
};

/// Exit code of a run that ended as asked.
pub const EXIT_OK: u8 = 0;
/// Exit code of a run that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a wrong command line or wrong settings.
pub const EXIT_USAGE: u8 = 2;

/// A daemon as its `--help` and `--version` describe it.
#[derive(Debug, Clone, Copy)]
pub struct Daemon {
    /// Name of the binary.
    pub name: &'static str,
    /// One sentence.
    pub about: &'static str,
    /// Version.
    pub version: &'static str,
}

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Runs with a settings file.
    Run(PathBuf),
    /// Checks a settings file.
    Check(PathBuf),
    /// Prints the help text.
    Help,
    /// Prints the version.
    Version,
}

/// Why a command line is wrong.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An option or value is not known.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// No settings file is given.
    #[error("--settings FILE is required")]
    Settings,
}

impl Action {
    /// Parses arguments without the program's name.
    ///
    /// # Errors
    ///
    /// Fails on unknown options and when `--settings` is missing.
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
    /// Does what the command line asks for; `run` is called with checked settings.
    ///
    /// Help, version and verdicts go to standard output, faults to standard error.
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
