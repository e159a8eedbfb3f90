//! Turns figures into the tables of `docs/CAPACITY.md`.

use std::path::Path;

use crate::{
    case::{Case, Figures},
    state::Weights,
};

const BEGIN: &str = "<!-- slopes: begin -->";
const END: &str = "<!-- slopes: end -->";

/// Bytes that WebSocket, TCP and IP add to a message, with its share of an acknowledgement.
const OVERHEAD: f64 = 70.0;

/// The target size of letter 1, a zone and in all.
mod target {
    /// Entry instances a zone: 1,700 in 67 zones.
    pub(super) const ZONE: f64 = 25.0;
    /// Targets an entry instance: 10,000 before 1,700.
    pub(super) const OWN: f64 = 6.0;
    /// Regions.
    pub(super) const REGIONS: f64 = 23.0;
    /// Zones a region.
    pub(super) const NEAR: f64 = 3.0;
    /// Models in steady use.
    pub(super) const MODELS: f64 = 28.0;
    /// Client accounts.
    pub(super) const CLIENTS: f64 = 460.0;
    /// Entry instances.
    pub(super) const NODES: f64 = 1_700.0;
    /// Bytes a second that a node may spend.
    pub(super) const BYTES: f64 = 17_000.0;
    /// Per cent of a core that a node may spend.
    pub(super) const PROCESSOR: f64 = 3.8;
    /// Kilobytes that a node may spend.
    pub(super) const MEMORY: f64 = 128.0 * 1_024.0;
}

/// All that was measured.
pub(crate) struct Measured {
    pub(crate) state: Weights,
    pub(crate) rows: Vec<(Case, Figures)>,
}

/// What one more of something costs a node.
#[derive(Debug, Clone, Copy)]
struct Slope {
    sent: f64,
    messages: f64,
    processor: f64,
    memory: f64,
}

type Figure = fn(&Figures) -> f64;

impl Measured {
    fn find(&self, case: &str) -> Figures {
        let case: Case = case.parse().expect("cases of the page are well formed");
        let row = self.rows.iter().find(|(row, _)| *row == case);
        row.expect("the page's cases are measured").1
    }

    /// Returns the slope between two cases that differ by `steps` of something.
    fn slope(&self, low: &str, high: &str, steps: f64) -> Slope {
        let (low, high) = (self.find(low), self.find(high));
        let rise = |figure: Figure| (figure(&high) - figure(&low)) / steps;
        Slope {
            sent: rise(|figures| figures.sent),
            messages: rise(|figures| figures.messages),
            processor: rise(|figures| figures.processor),
            memory: rise(|figures| figures.memory),
        }
    }

    fn slopes(&self) -> Slopes {
        let near = self.slope(
            "zone=3,targets=3,models=28",
            "zones=3,zone=3,targets=3,models=28",
            2.0 * 28.0,
        );
        let abroad = self.slope(
            "zones=9,zone=3,targets=3,models=28",
            "zones=30,zone=3,targets=3,models=28",
            7.0 * 28.0,
        );
        Slopes {
            base: self.find("zone=3"),
            peer: self.slope("zone=3", "zone=50", 47.0),
            // At five instances each of them announces a fifth of the targets to four peers.
            renewal: self.slope("zone=5,targets=50", "zone=5,targets=300", 250.0 / 5.0 * 4.0),
            held: self.slope("zone=5,targets=50", "zone=5,targets=300", 250.0),
            prefix: self.slope(
                "zone=5,targets=150",
                "zone=5,targets=150,prefixes=2",
                150.0 / 5.0 * 4.0 * 2.0,
            ),
            near,
            abroad,
        }
    }
}

/// Slopes of a node.
struct Slopes {
    base: Figures,
    peer: Slope,
    renewal: Slope,
    held: Slope,
    prefix: Slope,
    near: Slope,
    abroad: Slope,
}

/// Returns the tables.
pub(crate) fn tables(measured: &Measured) -> String {
    let slopes = measured.slopes();
    let mut out = String::new();
    cases(&mut out, measured);
    weights(&mut out, &measured.state);
    slope_table(&mut out, &slopes);
    entry(&mut out, &slopes, &measured.state);
    out
}

fn cases(out: &mut String, measured: &Measured) {
    line(out, "### Cases measured\n");
    line(
        out,
        "| zones | instances a zone | targets a zone | models | new prefixes a target and s | budget B/s | sent B/s a node | busiest node B/s | messages/s | % of a core | memory KB | all known after s | age of facts, p50 / p99, s | least share known |",
    );
    line(
        out,
        "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|",
    );
    for (case, figures) in &measured.rows {
        let row = format!(
            "| {} | {} | {} | {} | {} | {} | {:.0} | {:.0} | {:.1} | {:.3} | {:.0} | {:.1} | {:.1} / {:.1} | {:.2} |",
            case.zones,
            case.zone,
            case.targets,
            case.models,
            case.prefixes,
            case.budget,
            figures.sent,
            figures.most,
            figures.messages,
            figures.processor,
            figures.memory,
            figures.converged,
            figures.age[0],
            figures.age[1],
            figures.known,
        );
        line(out, &row);
    }
}

fn weights(out: &mut String, state: &Weights) {
    line(out, "\n### Configuration, bytes an object\n");
    line(out, "| object | encoded |");
    line(out, "|---|---|");
    for (name, bytes) in [
        ("client with two keys", state.client),
        ("model and its route", state.model),
        ("residency rule with three regions", state.residency),
        ("member", state.member),
        ("change of a client, as it travels", state.change),
    ] {
        line(out, &format!("| {name} | {bytes:.0} |"));
    }
    line(
        out,
        &format!(
            "\nResident memory of a client: {:.0} bytes.",
            state.client_memory
        ),
    );
}

fn slope_table(out: &mut String, slopes: &Slopes) {
    line(out, "\n### Slopes of a node\n");
    line(
        out,
        "| one more | B/s sent | messages/s | % of a core | memory KB |",
    );
    line(out, "|---|---|---|---|---|");
    for (name, slope) in [
        ("instance in the zone", slopes.peer),
        (
            "own target and peer that it is renewed to, once a second",
            slopes.renewal,
        ),
        ("target in a zone of five", slopes.held),
        (
            "new prefix of an own target a second, and peer",
            slopes.prefix,
        ),
        (
            "zone of the region and model, all changing each second",
            slopes.near,
        ),
        (
            "other region of three zones and model, all changing each second",
            slopes.abroad,
        ),
    ] {
        let row = format!(
            "| {name} | {:.2} | {:.4} | {:.5} | {:.2} |",
            slope.sent, slope.messages, slope.processor, slope.memory,
        );
        line(out, &row);
    }
}

fn entry(out: &mut String, slopes: &Slopes, state: &Weights) {
    use target::{BYTES, MODELS, NEAR, OWN, REGIONS, ZONE};
    line(out, "\n### An entry instance at the target size\n");
    line(out, "| cost | arithmetic | value | budget | verdict |");
    line(out, "|---|---|---|---|---|");
    let peers = ZONE - 1.0;
    let renewals = OWN * peers;
    let near_facts = (NEAR - 1.0) * MODELS;
    let far_facts = (REGIONS - 1.0) * MODELS;
    let beats = peers * slopes.peer.sent;
    row(
        out,
        "heartbeats, B/s",
        &format!("{peers} peers × {:.1}", slopes.peer.sent),
        beats,
        BYTES,
    );
    let loads = renewals * slopes.renewal.sent;
    let sum = format!(
        "{OWN} own targets × {peers} peers × {:.2}",
        slopes.renewal.sent
    );
    row(out, "renewals of targets, B/s", &sum, loads, BYTES);
    let prefixes = renewals * slopes.prefix.sent;
    let sum = format!(
        "{OWN} × {peers} × {:.2} at one new prefix a second",
        slopes.prefix.sent
    );
    row(out, "prefixes, B/s", &sum, prefixes, BYTES);
    let near = near_facts * slopes.near.sent;
    let sum = format!(
        "{} other zones × {MODELS} models × {:.2}",
        NEAR - 1.0,
        slopes.near.sent
    );
    row(out, "facts of the region, B/s", &sum, near, BYTES);
    let far = far_facts * slopes.abroad.sent;
    let sum = format!(
        "{} other regions × {MODELS} models × {:.2}",
        REGIONS - 1.0,
        slopes.abroad.sent
    );
    row(out, "facts of other regions, B/s", &sum, far, BYTES);
    let digests = near + far;
    // Renewals travel inside heartbeats.
    let messages = peers * slopes.peer.messages;
    let headers = messages * OVERHEAD;
    let sum = format!("{messages:.0} messages/s × {OVERHEAD} bytes of headers");
    row(out, "transport of heartbeats, B/s", &sum, headers, BYTES);
    let messages = near_facts * slopes.near.messages + far_facts * slopes.abroad.messages;
    let fact_headers = messages.max(0.0) * OVERHEAD;
    let sum = format!("{messages:.0} messages/s × {OVERHEAD} bytes of headers");
    row(out, "transport of facts, B/s", &sum, fact_headers, BYTES);
    let must = beats + loads + headers;
    row(
        out,
        "what can't wait, B/s",
        "heartbeats + renewals + transport",
        must,
        BYTES,
    );
    let all = must + prefixes + digests + fact_headers;
    row(
        out,
        "demand without the budget, B/s",
        "all of the above",
        all,
        BYTES,
    );
    // Every third heartbeat crosses to another region.
    let links = NEAR - 1.0 + (REGIONS - 1.0) / 3.0;
    let sum = format!(
        "({} + {} / 3) more links × ({:.1} + headers)",
        NEAR - 1.0,
        REGIONS - 1.0,
        slopes.peer.sent
    );
    let links = links * (slopes.peer.sent + slopes.peer.messages * OVERHEAD);
    let name = "heartbeats of a speaker of a region's first zone besides, B/s";
    row(out, name, &sum, links, BYTES);
    let sum =
        "demand + these heartbeats; its facts are in the slopes, two of three instances speak";
    row(
        out,
        "demand of such a speaker, B/s",
        sum,
        all + links,
        BYTES,
    );
    held(out, slopes, state);
}

/// Writes what an instance at the target size uses of a processor and of memory.
fn held(out: &mut String, slopes: &Slopes, state: &Weights) {
    use target::{CLIENTS, MEMORY, MODELS, NEAR, NODES, OWN, PROCESSOR, REGIONS, ZONE};
    let peers = ZONE - 1.0;
    let renewals = OWN * peers;
    let near_facts = (NEAR - 1.0) * MODELS;
    let far_facts = (REGIONS - 1.0) * MODELS;
    let processor = slopes.base.processor
        + peers * slopes.peer.processor
        + renewals * slopes.renewal.processor
        + near_facts * slopes.near.processor
        + far_facts * slopes.abroad.processor;
    let sum = "base + peers + renewals + facts, each × its slope";
    row(out, "processor, % of a core", sum, processor, PROCESSOR);
    let configuration =
        (CLIENTS * (state.client + state.residency) + MODELS * state.model + NODES * state.member)
            / 1_024.0;
    let sum = format!("{CLIENTS} clients and rules, {MODELS} models, {NODES} members, encoded");
    row(out, "configuration, KB", &sum, configuration, MEMORY);
    let memory = slopes.base.memory
        + peers * slopes.peer.memory
        + OWN * ZONE * slopes.held.memory
        + near_facts * slopes.near.memory
        + far_facts * slopes.abroad.memory
        + 2.0 * configuration;
    let sum = "base + peers + the zone's targets + facts, each × its slope, + 2 × configuration";
    row(out, "memory for control, KB", sum, memory, MEMORY);
}

fn row(out: &mut String, cost: &str, sum: &str, value: f64, budget: f64) {
    let verdict = if value <= budget {
        "within"
    } else {
        "**miss**"
    };
    line(
        out,
        &format!("| {cost} | {sum} | {value:.1} | {budget} | {verdict} |"),
    );
}

fn line(out: &mut String, text: &str) {
    out.push_str(text);
    out.push('\n');
}

/// Puts the tables between the marks of a page.
pub(crate) fn replace(path: &Path, tables: &str) -> eyre::Result<()> {
    let page = std::fs::read_to_string(path)?;
    let (Some(begin), Some(end)) = (page.find(BEGIN), page.find(END)) else {
        eyre::bail!("{} has no marks", path.display());
    };
    let (head, tail) = (&page[..begin + BEGIN.len()], &page[end..]);
    std::fs::write(path, format!("{head}\n\n{tables}\n{tail}"))?;
    Ok(())
}
