//! What the choice of a place costs where a gateway instance knows 10,000 targets of 23 regions.
//!
//! `cargo run --release --example place_cost` prints the time of one choice, in microseconds.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use zinniastall_coord::origin::Requirement;
use zinniastall_gateway::{
    headers::Names,
    metrics::Metrics,
    neighbours::{
        collector::Roster,
        datagram::key,
        division::{Inputs, Part, Stated},
    },
    path::{
        Proxy,
        job::{Job, Match, Trusts},
        placement::{Claimed, Tried},
    },
    policy::Policy,
    view::{Shared, Target, View},
};
use zinniastall_http::head::{Parse, Request};
use zinniastall_model::{
    place::Place,
    presence::Presence,
    routing::{Engine, Kind, Route, Service, Share, Table},
    target::{Report, State},
};
use zinniastall_wire::hub::Configuration;

const REGIONS: usize = 23;
const SERVICES: usize = 28;
const TARGETS: usize = 10_000;
const INSTANCES: usize = 1_700;
/// Choices that are timed.
const ROUNDS: u32 = 2_000;

fn main() -> eyre::Result<()> {
    let board = Shared::new(view());
    let head = "POST /s0/ HTTP/1.1\r\nhost: all.example\r\nrequest-id: r1\r\n\
                prompt-parts: shared:2000,own:100\r\n\r\n";
    let mut input = BytesMut::from(head);
    let head = Request::parse(&mut input, 4_096)?.ok_or_else(|| eyre::eyre!("half a head"))?;
    let judged = Match::of_caller(&board.view(), Trusts::FRESH, &head);
    let judged = judged.map_err(|refusal| eyre::eyre!("{refusal:?}"))?;
    let names = Names::default();
    let job = judged.job(&names, head, Bytes::new(), Instant::now());
    let mut job = job.map_err(|refusal| eyre::eyre!("{refusal:?}"))?;
    let traffic = Proxy::new(board, names, Policy::default(), Metrics::new());
    // The first choices open an account for each target.
    time(&traffic, &mut job, 50);
    let each = time(&traffic, &mut job, ROUNDS);
    println!("{:.1} us", each.as_secs_f64() * 1e6);
    divide(&traffic);
    time(&traffic, &mut job, 50);
    let each = time(&traffic, &mut job, ROUNDS);
    println!("{:.1} us among divided engines", each.as_secs_f64() * 1e6);
    Ok(())
}

/// Divides the engines of the first service.
fn divide(traffic: &Proxy) {
    let mut view = View::clone(&traffic.state.view());
    view.load_control.division = true;
    traffic.state.publish(view.clone());
    let part = Part {
        decider: "edge-23".to_owned(),
        round: 1,
        plans: vec![Stated(key("s0"), 6, 16, 400)],
    };
    let (roster, now) = (Roster::new(&view), Instant::now());
    let mut divisions = traffic.divisions.borrow_mut();
    divisions.receive(&roster, &view, &part, now);
    let since = Instant::now();
    divisions.round(&roster, &view, &Known, now);
    println!(
        "{:.1} us to apply a decision",
        since.elapsed().as_secs_f64() * 1e6
    );
    let since = Instant::now();
    divisions.round(&roster, &view, &Known, now);
    println!("{:.1} us each round", since.elapsed().as_secs_f64() * 1e6);
}

/// No engine is slow or limited.
struct Known;

impl Inputs for Known {
    fn gap(&self, _service: &str) -> Duration {
        Duration::from_millis(400)
    }

    fn is_limited(&self, _target: &Target) -> bool {
        false
    }

    fn is_slow(&self, _target: &Target) -> bool {
        false
    }
}

fn time(traffic: &Proxy, job: &mut Job, rounds: u32) -> Duration {
    let tried = Tried::default();
    let since = Instant::now();
    for _ in 0..rounds {
        job.arrived = Instant::now();
        job.deadline = job.arrived + Duration::from_secs(5);
        black_box(traffic.choose(job, &tried, &Requirement::Any, &Claimed::new()));
    }
    since.elapsed() / rounds
}

fn view() -> View {
    let mut view = View::new("edge-0".to_owned(), place(0));
    let services = (0..SERVICES).map(|at| {
        let mut service = Service::new(&format!("s{at}"));
        service.engine = Some(Engine {
            slots: 64,
            tokens: 250_000,
            stride: 8,
            token_bytes: 163_840,
            link_mbps: 530_000,
        });
        service
    });
    let routes = (0..SERVICES).map(|at| {
        let name = format!("s{at}");
        let route = Route::new(&name, "all.example", &format!("/{name}/"), Kind::Idempotent);
        route.to(Share {
            service: name,
            weight: 1,
        })
    });
    let table = Table::new(1, routes.collect(), services.collect());
    view.configuration = Some(Arc::new(Configuration {
        revision: 1,
        table: Some(table),
        evacuated: Vec::new(),
        versions: None,
    }));
    view.targets = Arc::new((0..TARGETS).map(target).collect());
    view.instances = Arc::new((0..INSTANCES).map(instance).collect());
    view
}

fn place(at: usize) -> Place {
    let region = at % REGIONS;
    Place::new(format!("region-{region}"), format!("zone-{region}"))
}

fn target(at: usize) -> (String, Target) {
    let report = Report {
        target: format!("target-{at}"),
        incarnation: 1,
        sequence: 1,
        service: format!("s{}", at / REGIONS % SERVICES),
        address: format!("10.0.{}.{}:8000", at / 250, at % 250),
        place: place(at),
        version: Some("v1".to_owned()),
        slots: 64,
        state: State::Ready,
        cold_ms: 0,
        left_ms: None,
        age_ms: 0,
        run_age_ms: 0,
        sign_off: None,
    };
    let target = Target {
        report,
        heard_at: Instant::now() + Duration::from_hours(1),
        cold_until: None,
        gone_at: None,
    };
    (target.report.target.clone(), target)
}

fn instance(at: usize) -> (String, Presence) {
    let name = format!("edge-{at}");
    let presence = Presence {
        instance: name.clone(),
        incarnation: 1,
        place: place(at),
        callers: "127.0.0.1:1".to_owned(),
        forward: "127.0.0.1:1".to_owned(),
        ready: true,
        checks_origins: true,
        capacity: 0,
        load: Vec::new(),
    };
    (name, presence)
}
