//! Child processes under test.

use std::{
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

use tempfile::NamedTempFile;

use crate::{
    binary,
    error::{Error, Result},
    log::{Log, field},
    wait,
};

/// Number of the last log lines that are printed if a process did not exit successfully.
const MAX_PRINTED_LINES: usize = 200;

/// A child process, killed on drop.
///
/// Its log is printed on drop unless it has exited successfully.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: Log,
    /// Settings file, which must exist until the process has read it.
    settings: Option<NamedTempFile>,
}

impl Process {
    /// Starts a binary with a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the binary is not built or cannot be started.
    pub fn start(name: &str, binary: &str, settings: &Path) -> Result<Self> {
        let mut child = Command::new(binary::path(binary)?)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Log::default();
        if let Some(output) = child.stdout.take() {
            log.follow(output);
        }
        if let Some(output) = child.stderr.take() {
            log.follow(output);
        }
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
            settings: None,
        })
    }

    /// Keeps a settings file until the process is dropped.
    pub(crate) fn keep_settings(&mut self, file: NamedTempFile) {
        self.settings = Some(file);
    }

    /// Returns the name given by the test.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log captured so far.
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Waits until the process logs the address that it bound for a role.
    ///
    /// # Errors
    ///
    /// Fails if the process exits or does not log the address in time.
    pub async fn address(&mut self, role: &str) -> Result<SocketAddr> {
        let what = format!("{} listening for {role}", self.name);
        let found = wait::until(&what, async || {
            if let Some(address) = self.reported_address(role) {
                return Some(Ok(address));
            }
            let name = self.name.clone();
            self.exit_status()
                .map(|status| Err(Error::Ended { name, status }))
        });
        found.await?
    }

    /// Waits until the log has a line with this event and returns the last such line.
    ///
    /// # Errors
    ///
    /// Fails if the event is not logged in time.
    pub async fn event(&self, event: &str) -> Result<String> {
        let what = format!("event={event} of {}", self.name);
        wait::until(&what, async || self.log.events(event).pop()).await
    }

    /// Kills the process with SIGKILL, as in a power failure, and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes the process with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Sends SIGTERM without waiting for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exit in time.
    pub async fn wait_exit(&mut self) -> Result<ExitStatus> {
        self.wait_exit_within(wait::TIMEOUT).await
    }

    /// Waits until the process exits, for at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exit in time.
    pub async fn wait_exit_within(&mut self, limit: Duration) -> Result<ExitStatus> {
        let what = format!("exit of {}", self.name);
        wait::within(limit, &what, async || self.child.try_wait().ok().flatten()).await
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends SIGTERM and waits until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled or does not exit in time.
    pub async fn stop(&mut self) -> Result<ExitStatus> {
        self.terminate()?;
        self.wait_exit().await
    }

    fn print(&self) {
        let lines = self.log.lines();
        let skipped = lines.len().saturating_sub(MAX_PRINTED_LINES);
        eprintln!("--- log of {}, {skipped} lines before", self.name);
        for line in &lines[skipped..] {
            eprintln!("{line}");
        }
    }

    fn reported_address(&self, role: &str) -> Option<SocketAddr> {
        let lines = self.log.events("listening");
        let line = lines
            .iter()
            .find(|line| field(line, "role") == Some(role))?;
        field(line, "address")?.parse().ok()
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let id = i32::try_from(self.child.id()).map_err(|_| nix::Error::ESRCH)?;
        kill(Pid::from_raw(id), signal)?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let ended = self.child.try_wait().ok().flatten();
        // Killing fails if the child has already exited; reap it in either case.
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The test runner captures this output and shows it only if the test fails.
        if !ended.is_some_and(|status| status.success()) {
            self.print();
        }
    }
}
