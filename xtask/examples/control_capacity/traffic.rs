//! Network traffic of processes, as reported by `ss`.

use std::{collections::HashMap, process::Command};

use zinniastall_tests::Result;

/// Header bytes per TCP segment, as docs/CAPACITY.md counts them.
const HEADER_BYTES: u64 = 70;

/// Total segments and bytes of a process's open sockets.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    pub(crate) sent_segments: u64,
}

impl Traffic {
    /// Returns the bytes sent, including the headers of their segments.
    pub(crate) const fn on_the_wire(&self) -> u64 {
        self.sent_bytes + HEADER_BYTES * self.sent_segments
    }

    /// Returns the traffic since an earlier sample.
    ///
    /// Sockets that were closed in between are not counted.
    pub(crate) const fn since(&self, earlier: &Self) -> Self {
        Self {
            sent_bytes: self.sent_bytes.saturating_sub(earlier.sent_bytes),
            received_bytes: self.received_bytes.saturating_sub(earlier.received_bytes),
            sent_segments: self.sent_segments.saturating_sub(earlier.sent_segments),
        }
    }
}

/// Samples the traffic of all processes, by process id.
///
/// # Errors
///
/// Fails if `ss` cannot be run.
pub(crate) fn sample() -> Result<HashMap<u32, Traffic>> {
    let output = Command::new("ss").args(["-tinpHO"]).output()?;
    let mut traffic: HashMap<u32, Traffic> = HashMap::new();
    for line in String::from_utf8_lossy(&output.stdout).lines() {
        let Some(id) = number(line, "pid=") else {
            continue;
        };
        let held = traffic
            .entry(u32::try_from(id).unwrap_or_default())
            .or_default();
        held.sent_bytes += number(line, " bytes_sent:").unwrap_or_default();
        held.received_bytes += number(line, " bytes_received:").unwrap_or_default();
        held.sent_segments += number(line, " segs_out:").unwrap_or_default();
    }
    Ok(traffic)
}

fn number(line: &str, name: &str) -> Option<u64> {
    let (_, rest) = line.split_once(name)?;
    let end = rest.find(|letter: char| !letter.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}
