//! Logs: one line of key=value pairs for each event, on standard output.

use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Starts logging at a level such as `info`, or by the directives in `ZINNIASTALL_LOG` if set.
///
/// Calling it twice keeps the first.
pub fn start(level: &str) {
    let directives = std::env::var("ZINNIASTALL_LOG").unwrap_or_else(|_| level.to_owned());
    let filter = EnvFilter::try_new(directives).unwrap_or_else(|_| EnvFilter::new("info"));
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .with_span_name(false)
        .layer();
    // A second start would replace the first subscriber; keeping the first is what tests expect.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .try_init();
}
