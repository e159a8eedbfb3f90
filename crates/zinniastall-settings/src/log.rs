//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Whoever reads standard output may be slow or gone. Lines wait in a queue of a fixed length for a
//! thread of their own, and what doesn't fit is dropped and counted, so that no request waits for a
//! log line and no queue of lines fills the memory.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Lines that may wait to be written: about a second of a busy instance, and a megabyte at most.
const MAX_QUEUED_LINES: usize = 4_096;
/// Least time between two words on dropped lines.
pub const TELL: Duration = Duration::from_secs(1);

/// Writes out what waits when it is dropped.
#[derive(Debug)]
#[must_use = "lines that wait are lost when the process ends without it"]
pub struct Writer {
    _guard: Option<WorkerGuard>,
    dropped: Option<ErrorCounter>,
    reported: AtomicUsize,
}

/// Starts logging at a level such as `info`, or by the directives in `ZINNIASTALL_LOG` if set.
///
/// Calling it twice keeps the first.
pub fn start(level: &str) -> Writer {
    let directives = std::env::var("ZINNIASTALL_LOG").unwrap_or_else(|_| level.to_owned());
    let filter = EnvFilter::try_new(directives).unwrap_or_else(|_| EnvFilter::new("info"));
    let (output, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    let dropped = output.error_counter();
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer()
        .with_writer(output);
    // A second start would replace the first subscriber; keeping the first is what tests expect.
    let started = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
    Writer {
        _guard: started.is_ok().then_some(guard),
        dropped: started.is_ok().then_some(dropped),
        reported: AtomicUsize::new(0),
    }
}

impl Writer {
    /// Returns how many lines were dropped so far.
    pub fn dropped(&self) -> usize {
        self.dropped.as_ref().map_or(0, ErrorCounter::dropped_lines)
    }

    /// Logs how many lines were dropped since the last word, if any were; to be called every
    /// [`TELL`] or so.
    pub fn tell_dropped(&self) {
        let dropped = self.dropped();
        let lines = dropped.saturating_sub(self.reported.swap(dropped, Ordering::Relaxed));
        if lines > 0 {
            tracing::warn!(event = "log-lines-dropped", lines);
        }
    }
}
