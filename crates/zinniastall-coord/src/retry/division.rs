//! Division of the fixed number among the instances.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Longest time between two observations. After a longer one this instance was suspended, and the
/// others may have gone on without it.
const MAX_GAP: Duration = Duration::from_millis(2_500);
/// Default time in touch after which all instances in touch know of each other: a link that has
/// silently broken is noticed within 2.5 s, and lists travel within a second.
pub const SETTLING: Duration = Duration::from_millis(3_500);

/// Equal share of the fixed number, held by one run of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of instances that hold a share.
    pub instances: u32,
    /// Time at which the share counts as spent.
    pub since: Instant,
    /// Time until which the share may be used.
    pub until: Instant,
}

/// Tracks how many instances divide the fixed number, and whether this one is among them.
///
/// In touch is an instance that any other one in touch learns of within a bounded time, such as one
/// linked to a majority of the replicas whose lists the others read. An instance out of touch holds
/// no share: the others may no longer count it. Once in touch, it counts every instance that it has
/// known of within the last window, so of any set of instances that spend their shares within one
/// window, each has counted all.
#[derive(Debug)]
pub struct Division {
    window: Duration,
    settling: Duration,
    in_touch_since: Option<Instant>,
    observed_at: Option<Instant>,
    /// Numbers of instances and when each was observed last; each is larger than all later ones.
    maxima: VecDeque<(Instant, u32)>,
    whole: Option<u32>,
}

impl Division {
    /// Creates the division of an instance that is not in touch; `window` is that of the bound.
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            settling: SETTLING,
            in_touch_since: None,
            observed_at: None,
            maxima: VecDeque::new(),
            whole: None,
        }
    }

    /// Sets the time in touch after which all instances in touch know of each other.
    #[must_use]
    pub const fn settling(mut self, settling: Duration) -> Self {
        self.settling = settling;
        self
    }

    /// Records whether this instance is in touch, and how many instances it knows of, including
    /// itself.
    pub fn observe(&mut self, is_in_touch: bool, instances: usize, now: Instant) {
        let has_gap = |last| now.saturating_duration_since(last) > MAX_GAP;
        if !is_in_touch || self.observed_at.is_some_and(has_gap) {
            self.in_touch_since = None;
        }
        if is_in_touch {
            self.in_touch_since.get_or_insert(now);
        }
        self.observed_at = Some(now);
        let instances = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
        while self
            .maxima
            .back()
            .is_some_and(|(_, held)| *held <= instances)
        {
            self.maxima.pop_back();
        }
        self.maxima.push_back((now, instances));
        while self
            .maxima
            .front()
            .is_some_and(|(at, _)| *at + self.window + self.settling <= now)
        {
            self.maxima.pop_front();
        }
        let whole = self
            .share()
            .filter(|share| share.since + self.window <= now);
        self.whole = whole.map(|share| share.instances);
    }

    /// Returns the number of instances that divide the fixed number, or `None` if this one could not
    /// use its whole share when it was observed last.
    pub const fn whole(&self) -> Option<u32> {
        self.whole
    }

    /// Returns the share that this instance holds, or `None` if it holds none.
    pub fn share(&self) -> Option<Share> {
        let since = self.in_touch_since? + self.settling;
        let observed_at = self.observed_at?;
        let (_, instances) = self.maxima.front()?;
        (since <= observed_at).then_some(Share {
            instances: *instances,
            since,
            until: observed_at + MAX_GAP,
        })
    }
}
