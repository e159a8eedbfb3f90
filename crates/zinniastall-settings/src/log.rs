//! Logging to standard output, one line of key=value pairs per event.
//!
//! The reader of standard output may be slow or gone. Lines are therefore written by a separate
//! thread from a bounded queue, and lines that don't fit are dropped and counted. Logging never
//! blocks a request, and its memory is bounded.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Length of the queue: about one second of log lines of a busy instance, and at most a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;
/// Interval between reports of dropped lines.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Guard of the logging thread, which writes the queued lines when it is dropped.
#[derive(Debug)]
#[must_use = "queued lines are lost if the process ends without dropping the writer"]
pub struct Writer {
    _guard: Option<WorkerGuard>,
    dropped: Option<ErrorCounter>,
    reported: AtomicUsize,
}

/// Starts logging at a level such as `info`, or with the directives in `ZINNIASTALL_LOG` if set.
///
/// Later calls have no effect.
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
    // Tests start logging several times in a process; the first subscriber stays.
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
    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> usize {
        self.dropped.as_ref().map_or(0, ErrorCounter::dropped_lines)
    }

    /// Logs the number of lines dropped since the last report, if any.
    ///
    /// It is meant to be called every [`REPORT_INTERVAL`].
    pub fn report_dropped(&self) {
        let dropped = self.dropped();
        let lines = dropped.saturating_sub(self.reported.swap(dropped, Ordering::Relaxed));
        if lines > 0 {
            tracing::warn!(event = "log-lines-dropped", lines);
        }
    }
}
