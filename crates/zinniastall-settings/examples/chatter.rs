//! Logs a number of lines as fast as it can, then says on standard error how long that took, in
//! milliseconds, and how many lines were dropped.

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
            text = "as long as a line on a request mostly is"
        );
    }
    let took = start.elapsed().as_millis();
    eprintln!("{took} {}", writer.dropped());
    // Whoever doesn't read the lines doesn't wait for their end either.
    std::process::exit(0);
}
