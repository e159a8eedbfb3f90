//! What a process uses, by the word of the kernel.

use std::time::Duration;

use crate::error::{Error, Result};

/// Clock ticks a second in `/proc`; constant on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Returns the memory that a process holds, in bytes.
///
/// # Errors
///
/// Fails when the process is gone.
pub fn memory(id: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let kilobytes = kilobytes.ok_or_else(|| Error::Unknown(format!("memory of process {id}")))?;
    Ok(kilobytes * 1024)
}

/// Returns the processor time that a process has used.
///
/// # Errors
///
/// Fails when the process is gone.
pub fn cpu_time(id: u32) -> Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name, in parentheses, may hold spaces; user and system time are fields 14 and 15.
    let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields = rest.split_whitespace().skip(11).take(2);
    let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
