//! Logs lines as fast as possible, then prints the elapsed milliseconds and the number of dropped
//! lines to standard error.

use std::time::Instant;

use zinniastall_settings::log;

fn main() {
    let lines = std::env::args().nth(1).and_then(|lines| lines.parse().ok());
    let writer = log::start("info");
    let start = Instant::now();
    for line in 0..lines.unwrap_or(10_000_u64) {
        tracing::info!(
            event = "chatter",
            line,
            text = "as long as a typical line on one request"
        );
    }
    let took = start.elapsed().as_millis();
    eprintln!("{took} {}", writer.dropped());
    // Exits without dropping the writer, which would wait for a reader of the queued lines.
    std::process::exit(0);
}
