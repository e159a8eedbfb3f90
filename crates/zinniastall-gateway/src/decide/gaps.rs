//! Times between the events of an engine's streams over the last seconds.
//!
//! All streams of an engine share its steps, so a few streams show nearly all of its stalls. The typical
//! gap tells how fast the engine is now. A stream has some forty events and fails with a single long
//! gap, so a high quantile tells whether streams stall there again and again.

use std::time::{Duration, Instant};

/// Quantile that is kept below the bound of the streams. A single stall of an engine is a few percent
/// of the events of two seconds, and says little of the next ones.
const QUANTILE: f64 = 0.90;
/// Windows that are kept, the length of each, and their sum, after which an engine that recovered
/// gets streams again.
const WINDOWS: usize = 4;
const WINDOW: Duration = Duration::from_millis(500);
const SPAN: Duration = Duration::from_secs(2);
/// Bins of the histogram, the upper edge of the first in seconds, and the ratio of two edges: up to
/// 1.9 s with an error below a twelfth.
const BINS: usize = 40;
const FIRST_EDGE: f64 = 0.008;
const EDGE_RATIO: f64 = 1.15;
/// Fewest events that a quantile says something of.
const MIN_EVENTS: u32 = 10;
/// Weight of an event in the moving average. With half of it, 15 %
/// of the short streams stalled under the load of the test rather than 11 %.
const SMOOTHING: f64 = 0.2;
/// Time for which a computed quantile is used.
const QUANTILE_TTL: Duration = Duration::from_millis(50);

/// Times between events, as a moving average and as histograms of the last windows.
#[derive(Debug, Default)]
pub struct Gaps {
    mean: f64,
    windows: [Window; WINDOWS],
    newest: usize,
    opened_at: Option<Instant>,
    last_at: Option<Instant>,
    unreported: u32,
    computed: Option<(Instant, Option<(f64, u32)>)>,
}

#[derive(Debug, Clone, Copy)]
struct Window {
    counts: [u16; BINS],
    events: u32,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            counts: [0; BINS],
            events: 0,
        }
    }
}

impl Gaps {
    /// Records a gap in seconds.
    pub fn add(&mut self, seconds: f64, now: Instant) {
        let is_first = self.typical(now).is_none();
        self.rotate(now);
        let weight = if is_first { 1.0 } else { SMOOTHING };
        self.mean += weight * (seconds - self.mean);
        let window = &mut self.windows[self.newest];
        let count = &mut window.counts[bin(seconds)];
        *count = count.saturating_add(1);
        window.events += 1;
        self.unreported = self.unreported.saturating_add(1);
        self.last_at = Some(now);
    }

    /// Returns the typical gap in seconds, if there were events of late.
    pub fn typical(&self, now: Instant) -> Option<f64> {
        let last_at = self.last_at?;
        let is_recent = now.saturating_duration_since(last_at) < SPAN;
        is_recent.then_some(self.mean)
    }

    /// Returns the high quantile of the last windows in seconds and the number of events, if there
    /// were enough.
    pub fn high(&mut self, now: Instant) -> Option<(f64, u32)> {
        if let Some((at, high)) = self.computed
            && now.saturating_duration_since(at) < QUANTILE_TTL
        {
            return high;
        }
        self.rotate(now);
        let high = self.quantile();
        self.computed = Some((now, high));
        high
    }

    /// Returns the number of events since they were taken last.
    pub const fn unreported(&self) -> u32 {
        self.unreported
    }

    /// Takes the high quantile in seconds and the number of events since the last call; no events
    /// if there is no quantile.
    pub fn take_unreported(&mut self, now: Instant) -> (f64, u32) {
        let events = std::mem::take(&mut self.unreported);
        if events == 0 {
            return (0.0, 0);
        }
        self.high(now).map_or((0.0, 0), |(high, _)| (high, events))
    }

    fn quantile(&self) -> Option<(f64, u32)> {
        let events: u32 = self.windows.iter().map(|window| window.events).sum();
        if events < MIN_EVENTS {
            return None;
        }
        let mut above = f64::from(events) * (1.0 - QUANTILE);
        for at in (0..BINS).rev() {
            let counts = self.windows.iter().map(|window| window.counts[at]);
            above -= counts.map(f64::from).sum::<f64>();
            if above < 0.0 {
                return Some((middle(at), events));
            }
        }
        Some((middle(0), events))
    }

    /// Opens the windows that have begun, in place of the oldest.
    fn rotate(&mut self, now: Instant) {
        let mut opened_at = self.opened_at.unwrap_or(now);
        if now.saturating_duration_since(opened_at) >= SPAN {
            self.windows = Default::default();
            opened_at = now;
        }
        while now.saturating_duration_since(opened_at) >= WINDOW {
            self.newest = (self.newest + 1) % WINDOWS;
            self.windows[self.newest] = Window::default();
            opened_at += WINDOW;
        }
        self.opened_at = Some(opened_at);
    }
}

/// Returns the bin of a gap in seconds.
fn bin(seconds: f64) -> usize {
    let edges = std::iter::successors(Some(FIRST_EDGE), |edge| Some(edge * EDGE_RATIO));
    let below = edges.take(BINS - 1).take_while(|edge| *edge < seconds);
    below.count()
}

/// Returns the geometric middle of a bin in seconds.
fn middle(bin: usize) -> f64 {
    let exponent = i32::try_from(bin).unwrap_or(i32::MAX);
    FIRST_EDGE * EDGE_RATIO.powi(exponent) / EDGE_RATIO.sqrt()
}
