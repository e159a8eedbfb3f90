//! Locate: tells a caller which entry instances to use, in order.
//!
//! There is no balancer before the entry instances, so the answers have to spread the callers. Each
//! answer is a weighted random order: an instance comes first with a probability that is its share
//! of the weight, where the weight is what it has free. A fixed order would send everybody to the
//! same instance, and "least loaded first" would send everybody to the one that was least loaded
//! when its load was last heard.

use std::time::Duration;

use rand::Rng;
use zinniastall_model::{id, place::Place};

/// Weight of an idle instance that has been up for long.
pub const MAX_WEIGHT: u32 = 1000;
/// Least weight of an instance that may be used; one that is full still serves callers who can
/// reach nothing else.
const MIN_WEIGHT: u32 = 10;
/// Most instances that an answer names.
const MAX_INSTANCES: usize = 8;
/// How long a newcomer takes to reach its whole weight. Its caches and connections are cold, and
/// until its own load is heard it looks idle to everybody at once.
pub const SLOW_START: Duration = Duration::from_secs(10);
/// How long an answer is good for.
const VALIDITY: Duration = Duration::from_secs(10);
/// How long an answer of a cut-off instance is good for: it can't see what it leaves out.
const DISCONNECTED_VALIDITY: Duration = Duration::from_secs(3);

/// An entry instance as the answering one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub instance: id::Instance,
    /// Where it runs.
    pub place: Place,
    /// Address that callers use.
    pub caller_address: String,
    /// Requests in progress over what it can take, in thousandths.
    pub load: u32,
    /// How long it has been up.
    pub uptime: Duration,
    /// Whether it takes no new requests.
    pub draining: bool,
}

/// An instance in an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name.
    pub instance: id::Instance,
    /// Where it runs.
    pub place: Place,
    /// Address that callers use.
    pub caller_address: String,
    /// Share of a caller's requests that should go there, relative to the others of its place.
    pub weight: u32,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Instances in the order in which to try them.
    pub instances: Vec<Instance>,
    /// How long the caller may go by this answer.
    pub valid: Duration,
    /// Whether the answering instance reaches the control group; when it doesn't, it names what it
    /// can see.
    pub connected: bool,
}

/// Orders the instances for a caller in a place.
///
/// Those of the caller's zone come first, then those of its region, then the others: a border costs
/// time, and the other side may be cut off next.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use zinniastall_model::place::Place;
/// use zinniastall_route::locate::{Candidate, locate};
///
/// let place = Place::new("nantes", "a");
/// let candidate = |name: &str, draining| Candidate {
///     instance: name.into(),
///     place: place.clone(),
///     caller_address: "10.0.0.1:8080".into(),
///     load: 0,
///     uptime: Duration::from_secs(60),
///     draining,
/// };
/// let candidates = [candidate("entry-1", true), candidate("entry-2", false)];
/// let answer = locate(&candidates, &place, true, &mut rand::rng());
/// assert_eq!(answer.instances.len(), 1);
/// assert_eq!(answer.instances[0].instance, "entry-2");
/// ```
pub fn locate(
    candidates: &[Candidate],
    caller: &Place,
    connected: bool,
    random: &mut impl Rng,
) -> Answer {
    let usable = candidates.iter().filter(|candidate| !candidate.draining);
    let mut ordered: Vec<_> = usable
        .map(|candidate| {
            let weight = weight(candidate);
            let distance = distance(&candidate.place, caller);
            (distance, sampling_key(weight, random), weight, candidate)
        })
        .collect();
    ordered.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let located = |(_, _, weight, candidate): (u8, f64, u32, &Candidate)| Instance {
        instance: candidate.instance.clone(),
        place: candidate.place.clone(),
        caller_address: candidate.caller_address.clone(),
        weight,
    };
    Answer {
        instances: ordered
            .into_iter()
            .take(MAX_INSTANCES)
            .map(located)
            .collect(),
        valid: if connected {
            VALIDITY
        } else {
            DISCONNECTED_VALIDITY
        },
        connected,
    }
}

/// Returns the weight of an instance: what it has free, less while it is new.
pub fn weight(candidate: &Candidate) -> u32 {
    let free = MAX_WEIGHT.saturating_sub(candidate.load);
    let uptime = candidate.uptime.min(SLOW_START).as_secs_f64() / SLOW_START.as_secs_f64();
    let ramped = (f64::from(free) * uptime).round();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of FULL is within 0 and FULL"
    )]
    let ramped = ramped as u32;
    ramped.max(MIN_WEIGHT)
}

const SAME_ZONE: u8 = 0;
const SAME_REGION: u8 = 1;
const OTHER_REGION: u8 = 2;

fn distance(place: &Place, caller: &Place) -> u8 {
    if place == caller {
        SAME_ZONE
    } else if place.region == caller.region {
        SAME_REGION
    } else {
        OTHER_REGION
    }
}

/// Draws a key; ordering by it is weighted sampling without replacement (Efraimidis and Spirakis,
/// 2006, in the exponential form).
fn sampling_key(weight: u32, random: &mut impl Rng) -> f64 {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() / f64::from(weight)
}
