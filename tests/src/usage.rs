//! Resource usage of a process, read from `/proc`.

use std::time::Duration;

use crate::error::{Error, Result};

/// Clock ticks per second in `/proc` (`USER_HZ`), constant on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the resident memory of a process in bytes.
///
/// # Errors
///
/// Fails if the process no longer exists.
pub fn memory(id: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let kilobytes = kilobytes.ok_or_else(|| Error::Unknown(format!("memory of process {id}")))?;
    Ok(kilobytes * 1024)
}

/// Returns the CPU time that a process has used, in user and kernel mode.
///
/// # Errors
///
/// Fails if the process no longer exists.
pub fn cpu_time(id: u32) -> Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name, in parentheses, may contain spaces. User and system time are fields 14
    // and 15 of the whole line.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
