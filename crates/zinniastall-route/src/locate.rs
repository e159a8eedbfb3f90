//! Service discovery: tells callers which entry instances to use, in order of preference.
//!
//! There is no load balancer in front of the entry instances, so the answers have to spread the
//! callers. Each answer is a weighted random order: an instance comes first with a probability
//! equal to its share of the total weight, and its weight is its free capacity. A fixed order would
//! send all callers to the same instance, and ordering by load would send all of them to the
//! instance that was least loaded at its last report.

use std::time::Duration;

use rand::Rng;
use zinniastall_model::{id, place::Place};

/// Weight of an idle instance after its slow start.
pub const MAX_WEIGHT: u32 = 1000;
/// Minimum weight of a usable instance; a full one still serves callers that reach no other.
const MIN_WEIGHT: u32 = 10;
/// Maximum number of instances in an answer.
const MAX_INSTANCES: usize = 8;
/// Time over which a new instance's weight rises to its full value. Its caches and connections are
/// cold, and until its load is reported it looks idle to all other instances at once.
pub const SLOW_START: Duration = Duration::from_secs(10);
/// Validity of an answer.
const VALIDITY: Duration = Duration::from_secs(10);
/// Validity of an answer while the instance does not reach the control group and may not see all
/// other instances.
const DISCONNECTED_VALIDITY: Duration = Duration::from_secs(3);

/// An entry instance, as seen by the instance that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Where it runs.
    pub place: Place,
    /// Address on which it serves callers.
    pub caller_address: String,
    /// Requests in flight divided by its capacity, in thousandths.
    pub load: u32,
    /// Time since it started.
    pub uptime: Duration,
    /// Whether it accepts no new requests.
    pub draining: bool,
}

/// An instance in an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Where it runs.
    pub place: Place,
    /// Address on which it serves callers.
    pub caller_address: String,
    /// Share of a caller's requests that should go there, relative to the others in its place.
    pub weight: u32,
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Instances in the order in which to try them.
    pub instances: Vec<Instance>,
    /// How long the caller may use this answer.
    pub valid: Duration,
    /// Whether the answering instance reaches the control group; if it does not, the answer names
    /// the instances that it sees.
    pub connected: bool,
}

/// Orders the instances for a caller in a place.
///
/// Instances in the caller's zone come first, then those in its region, then the others: crossing a
/// boundary takes time, and a partition may cut off the other side.
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

/// Returns the weight of an instance: its free capacity, reduced during its slow start.
pub fn weight(candidate: &Candidate) -> u32 {
    let free = MAX_WEIGHT.saturating_sub(candidate.load);
    let ramp = candidate.uptime.min(SLOW_START).as_secs_f64() / SLOW_START.as_secs_f64();
    let ramped = (f64::from(free) * ramp).round();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of MAX_WEIGHT is within 0 and MAX_WEIGHT"
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

/// Returns a random key; sorting by it is weighted sampling without replacement (Efraimidis and
/// Spirakis, 2006, in the exponential form).
fn sampling_key(weight: u32, random: &mut impl Rng) -> f64 {
    let uniform: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
    -uniform.ln() / f64::from(weight)
}
