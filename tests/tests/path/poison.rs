//! Tests a request that crashes the targets that run it.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use indexmap::{IndexMap, IndexSet};
use serde_json::{Value, json};
use zinniastall_tests::{
    Result, cluster::Cluster, http, log::field, node::Node, proxy::rule::Direction, wait,
};

use super::{
    loss::{engine, failure},
    support::{
        CLIENT, KEY, MODEL, System, ask, ask_once, chat, configure, error, runs, short_linger,
        ticket, zone,
    },
};

/// Engines of the zone, and how many of them one request may crash.
const ENGINES: usize = 5;
const MAX_CRASHED: usize = 3;

/// A request crashes one engine after the other, through two entry instances.
#[actix_rt::test]
async fn a_request_that_crashes_engines_ends_three_at_most() -> Result<()> {
    let mut cluster = zone(&vec![engine("none", "die", 0); ENGINES]).await?;
    let names: Vec<String> = (1..=ENGINES)
        .map(|number| format!("engine-{number}"))
        .collect();
    for name in &names {
        cluster.fail(name, &failure("first", "die", 0)).await?;
    }
    let body = chat("poison", 4, false);
    for entry in ["patras-a-1", "patras-a-2"].into_iter().cycle().take(6) {
        let address = cluster.entry(entry)?.address("callers")?;
        ask(address, &body).send().await?;
    }
    let mut ended = 0;
    for name in &names {
        ended += usize::from(cluster.target(name)?.process().exit_status().is_some());
    }
    assert!(ended <= MAX_CRASHED, "{ended} engines ended");
    Ok(())
}

/// Content of the requests that crash engines.
const MARK: &str = "poison";
/// Copies of a request that are sent one after the other.
const COPIES: usize = 6;
/// Time within which a quarantined request is rejected. Its deadline is much later.
const AT_ONCE: Duration = Duration::from_secs(5);

/// Where the engines are, as seen from the instances that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Engines {
    SameZone,
    OtherZone,
    OtherRegion,
}

/// What happens to instances between two copies of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Between {
    Nothing,
    /// The instance that gets the next copy restarts.
    Restart,
    /// All entry instances restart.
    RestartAll,
}

/// A system in which a request crashes engines.
struct Scene {
    cluster: System,
    /// Instances to which callers send.
    entries: Vec<&'static str>,
    stream: bool,
    /// Whether requests share only a message, and no two are alike.
    is_varied: bool,
    sent: usize,
}

impl Scene {
    async fn start(engines: Engines, entries: usize, stream: bool) -> Result<Self> {
        let (entries, place) = match engines {
            Engines::SameZone => (&["patras-a-1", "patras-a-2"][..entries], ("patras", "a")),
            Engines::OtherZone => (&["patras-a-1"][..], ("patras", "b")),
            Engines::OtherRegion => (&["patras-a-1"][..], ("athens", "a")),
        };
        let builder = Cluster::builder()
            .zone("patras", "a", entries.len())
            .entry(short_linger());
        let builder = match engines {
            Engines::SameZone => builder,
            _ => builder.zone(place.0, place.1, 2),
        };
        let mut cluster = System::start(builder).await?;
        for name in engine_names() {
            let settings = json!({"engine": {"token_us": 2_000}});
            cluster.engine(&name, place, MODEL, settings).await?;
        }
        configure(&mut cluster).await?;
        cluster.residency(CLIENT, &["patras", "athens"]).await?;
        let mut scene = Self {
            cluster,
            entries: entries.to_vec(),
            stream,
            is_varied: false,
            sent: 0,
        };
        scene.wait_ready().await?;
        let point = if stream { "events" } else { "first" };
        let crash = json!({
            "point": point, "action": "die", "events": 2 * usize::from(stream),
            "times": 1_000, "mark": MARK,
        });
        for name in engine_names() {
            scene.cluster.fail(&name, &crash).await?;
        }
        Ok(scene)
    }

    /// Waits until all instances know each other and serve.
    async fn wait_ready(&mut self) -> Result<()> {
        let instances = self.cluster.entries().count();
        for entry in self.entries.clone() {
            let expected = instances.min(2);
            self.cluster
                .wait_located(entry, KEY, MODEL, expected)
                .await?;
            let address = self.cluster.entry(entry)?.address("callers")?;
            let probe = chat("innocent", 1, false);
            self.cluster.wait_serving(address, KEY, &probe).await?;
        }
        Ok(())
    }

    /// Sends a copy of the request to an instance; returns the status, outcome and type of the
    /// answer, which are empty for a stream that began.
    async fn send(&mut self, entry: &str) -> Result<(u16, String, String)> {
        let address = self.cluster.entry(entry)?.address("callers")?;
        let body = self.body();
        if self.stream {
            let (head, events) = ask(address, &body).stream().await?;
            if head.status == 200 {
                let (text, is_whole) = http::content(events).await?;
                assert!(!is_whole, "a cut answer looked whole: {text}");
                return Ok((200, String::new(), String::new()));
            }
        }
        let answer = ask(address, &body).send().await?;
        let (outcome, kind) = error(&answer);
        Ok((answer.status(), outcome, kind))
    }

    /// Returns the body of the next copy.
    fn body(&mut self) -> Value {
        self.sent += 1;
        if !self.is_varied {
            return chat(MARK, 8, self.stream);
        }
        let mut body = chat(&format!("question {}", self.sent), 8, self.stream);
        let shared = json!({"role": "system", "content": MARK});
        let messages = body["messages"].as_array_mut().expect("a list");
        messages.insert(0, shared);
        body
    }

    /// Sends a copy; if it ran, waits until an engine has ended and all instances know of it.
    async fn send_and_share(&mut self, entry: &str) -> Result<(u16, String, String)> {
        let crashed = self.crashed();
        let known = self.known();
        let answer = self.send(entry).await?;
        if answer.1 != "not-run" {
            self.wait_shared(crashed, &known).await?;
        }
        Ok(answer)
    }

    /// Waits until more engines have ended, and until all instances have seen or heard of it.
    async fn wait_shared(&mut self, crashed: usize, known: &IndexMap<String, usize>) -> Result<()> {
        wait::until("the crash known everywhere", async || {
            let is_known = |(name, lines): (String, usize)| lines > known[&name];
            (self.crashed() > crashed && self.known().into_iter().all(is_known)).then_some(())
        })
        .await
    }

    /// Waits until the control group holds the request as quarantined.
    async fn wait_kept(&self) -> Result<Vec<Value>> {
        wait::until("the request kept by the group", async || {
            let listed = self.cluster.ctl(&["quarantine"]).await.ok()?.json().ok()?;
            let requests = listed["requests"].as_array()?.clone();
            (!requests.is_empty()).then_some(requests)
        })
        .await
    }

    /// Returns by entry instance how often it saw or heard of a crash.
    fn known(&self) -> IndexMap<String, usize> {
        let count = |node: &Node| {
            let log = node.running().log();
            let lines = log.events("target-crashed").len() + log.events("suspects-heard").len();
            (node.name().to_owned(), lines)
        };
        self.cluster.entries().map(count).collect()
    }

    /// Returns the number of engines that have ended.
    fn crashed(&mut self) -> usize {
        let ended = |name: String| {
            let engine = self.cluster.target(&name).expect("started");
            usize::from(engine.process().exit_status().is_some())
        };
        engine_names().map(ended).sum()
    }

    /// Restarts entry instances, all at the same time.
    async fn restart(&mut self, names: &[String]) -> Result<()> {
        for name in names {
            self.cluster.entry(name)?.process().kill()?;
        }
        for name in names {
            self.cluster.entry(name)?.restart().await?;
        }
        self.wait_ready().await
    }
}

fn engine_names() -> impl Iterator<Item = String> {
    (1..=ENGINES).map(|number| format!("engine-{number}"))
}

async fn bounds_crashes(
    engines: Engines,
    entries: usize,
    stream: bool,
    between: Between,
) -> Result<()> {
    let scene = Scene::start(engines, entries, stream).await?;
    bounds_crashes_of(scene, between, "quarantined").await
}

async fn bounds_crashes_of(mut scene: Scene, between: Between, kind: &str) -> Result<()> {
    let mut last = None;
    for copy in 0..COPIES {
        let entry = scene.entries[copy % scene.entries.len()];
        let all: Vec<String> = scene
            .cluster
            .entries()
            .map(|node| node.name().to_owned())
            .collect();
        match between {
            Between::Restart if copy > 0 => scene.restart(&[entry.to_owned()]).await?,
            Between::RestartAll if copy >= MAX_CRASHED => {
                scene.wait_kept().await?;
                scene.restart(&all).await?;
            }
            _ => {}
        }
        let began = Instant::now();
        last = Some(scene.send_and_share(entry).await?);
        assert!(
            began.elapsed() < AT_ONCE,
            "{last:?} after {:?}",
            began.elapsed()
        );
    }
    let crashed = scene.crashed();
    assert!(crashed <= MAX_CRASHED, "{crashed} engines ended");
    let rejected = (400, "not-run".to_owned(), kind.to_owned());
    assert_eq!(last, Some(rejected));
    Ok(())
}

/// Guards against a message that ends engine after engine, while no two chats with it are alike.
async fn bounds_crashes_of_a_message(
    engines: Engines,
    entries: usize,
    stream: bool,
    between: Between,
) -> Result<()> {
    let mut scene = Scene::start(engines, entries, stream).await?;
    scene.is_varied = true;
    bounds_crashes_of(scene, between, "prompt-part-quarantined").await
}

/// Guards against rejecting a message that all chats share, because engines ended under two other ones
/// before a further chat with it was answered.
#[actix_rt::test]
async fn a_message_that_two_share_is_not_rejected() -> Result<()> {
    let mut scene = Scene::start(Engines::SameZone, 1, false).await?;
    let entry = scene.entries[0];
    let address = scene.cluster.entry(entry)?.address("callers")?;
    let body = |question: &str, other: &str| {
        let mut body = chat(question, 1, false);
        let shared =
            ["all share this", other].map(|text| json!({"role": "system", "content": text}));
        let messages = body["messages"].as_array_mut().expect("a list");
        messages.splice(0..0, shared);
        body
    };
    // While nothing is suspected, finishes are remembered once in 50 ms.
    sleep(Duration::from_millis(100)).await;
    let sound = ask(address, &body("before", "one")).send().await?;
    assert_eq!(sound.status(), 200);
    for (at, poison) in ["poison a", "poison b"].iter().enumerate() {
        ask(address, &body(&format!("question {at}"), poison))
            .send()
            .await?;
    }
    let crashed = scene.crashed();
    assert!(
        (MAX_CRASHED..ENGINES).contains(&crashed),
        "{crashed} engines ended"
    );
    let sound = ask(address, &body("after", "two")).send().await?;
    assert_eq!(sound.status(), 200, "{:?}", error(&sound));
    Ok(())
}

/// Defines a case: a request that crashes engines is sent again and again. At most three engines
/// end, and then its callers are told at once that it won't be served.
macro_rules! crashes_are_bounded {
    ($check:ident: $($name:ident: $engines:ident, $entries:literal, $stream:literal, $between:ident;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            $check(Engines::$engines, $entries, $stream, Between::$between).await
        }
    )+};
}

crashes_are_bounded! {
    bounds_crashes:
    whole_at_one_instance: SameZone, 1, false, Nothing;
    streamed_at_one_instance: SameZone, 1, true, Nothing;
    whole_at_two_instances: SameZone, 2, false, Nothing;
    streamed_at_two_instances: SameZone, 2, true, Nothing;
    whole_with_restarts: SameZone, 2, false, Restart;
    streamed_with_restarts: SameZone, 2, true, Restart;
    whole_with_restarts_of_all: SameZone, 2, false, RestartAll;
    streamed_with_restarts_of_all: SameZone, 2, true, RestartAll;
    whole_to_another_zone: OtherZone, 1, false, Nothing;
    streamed_to_another_zone: OtherZone, 1, true, Nothing;
    whole_to_another_region: OtherRegion, 1, false, Nothing;
    streamed_to_another_region: OtherRegion, 1, true, Nothing;
    whole_to_another_region_with_restarts: OtherRegion, 1, false, Restart;
}

crashes_are_bounded! {
    bounds_crashes_of_a_message:
    message_at_two_instances: SameZone, 2, false, Nothing;
    message_of_streams: SameZone, 2, true, Nothing;
    message_with_restarts_of_all: SameZone, 2, false, RestartAll;
    message_to_another_zone: OtherZone, 1, false, Nothing;
    message_to_another_region: OtherRegion, 1, true, Nothing;
}

/// How an engine loses a request without crashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// The engine cuts the connection.
    Cut,
    /// The network resets all connections.
    Reset,
    /// The engine's machine loses power: nothing answers any more.
    Power,
}

async fn is_no_evidence(loss: Loss, stream: bool) -> Result<()> {
    let mut scene = Scene::start(Engines::SameZone, 2, stream).await?;
    let (point, action) = match loss {
        Loss::Cut => ("first", "cut"),
        _ => ("first", "hang"),
    };
    let failure = json!({"point": point, "action": action, "times": 1_000, "mark": MARK});
    for name in engine_names() {
        scene.cluster.fail(&name, &failure).await?;
    }
    for number in 0..=MAX_CRASHED {
        let entry = scene.entries[number % 2];
        let address = scene.cluster.entry(entry)?.address("callers")?;
        let body = chat(MARK, 8, stream);
        let request = ask(address, &body).header("x-zinniastall-deadline-ms", "2000");
        let before = running(&mut scene.cluster, &body).await?;
        let in_flight = actix_rt::spawn(request.send());
        let mut lost_engine = None;
        if loss != Loss::Cut {
            let engine = wait_for_run(&mut scene.cluster, &body, &before).await?;
            lose(&mut scene.cluster, &engine, loss)?;
            lost_engine = Some(engine);
        }
        // The answer may be a refusal, or break off; only what comes after it matters.
        let _ = in_flight.await.map_err(std::io::Error::other)?;
        if let (Loss::Power, Some(engine)) = (loss, lost_engine) {
            wait_gone(&mut scene, &engine).await?;
        }
    }
    for entry in scene.entries.clone() {
        let node = scene.cluster.entry(entry)?;
        let crashes = node.running().log().events("target-crashed");
        assert!(crashes.is_empty(), "{crashes:?}");
    }
    Ok(())
}

/// Waits until all instances have noticed that an engine is gone.
async fn wait_gone(scene: &mut Scene, engine: &str) -> Result<()> {
    for entry in scene.entries.clone() {
        wait::until("the engine gone", async || {
            let log = scene.cluster.entry(entry).ok()?.running().log();
            let gone = log.events("target-gone");
            let mut gone = gone.iter();
            gone.any(|line| field(line, "target") == Some(engine))
                .then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Returns the number of runs of a body by engine.
async fn running(cluster: &mut System, body: &Value) -> Result<IndexMap<String, usize>> {
    let mut found = IndexMap::new();
    for name in engine_names() {
        if cluster.target(&name)?.process().exit_status().is_none() {
            let runs = runs(cluster, &name, body).await?.len();
            found.insert(name, runs);
        }
    }
    Ok(found)
}

/// Waits until another run of a body has begun; returns its engine.
async fn wait_for_run(
    cluster: &mut System,
    body: &Value,
    before: &IndexMap<String, usize>,
) -> Result<String> {
    wait::until("the request running", async || {
        let now = running(cluster, body).await.ok()?;
        let is_new = |(name, runs): &(String, usize)| before.get(name) < Some(runs);
        now.into_iter().find(is_new).map(|(name, _)| name)
    })
    .await
}

fn lose(cluster: &mut System, engine: &str, loss: Loss) -> Result<()> {
    let node = cluster.target(engine)?;
    if loss == Loss::Power {
        node.proxy("http")?.stall(Direction::Both);
        return node.process().kill();
    }
    node.proxy("http")?.reset();
    Ok(())
}

/// Defines a case: a request is lost again and again without a crash of the engine. It must not be
/// suspected, since it did nothing.
macro_rules! is_not_suspected {
    ($($name:ident: $loss:ident, $stream:literal;)+) => {$(
        #[actix_rt::test]
        async fn $name() -> Result<()> {
            is_no_evidence(Loss::$loss, $stream).await
        }
    )+};
}

is_not_suspected! {
    whole_cut_by_its_engine: Cut, false;
    streamed_cut_by_its_engine: Cut, true;
    whole_reset_by_the_network: Reset, false;
    streamed_reset_by_the_network: Reset, true;
    whole_lost_with_its_machine: Power, false;
    streamed_lost_with_its_machine: Power, true;
}

/// Guards against running a request more than once because its engine crashed: each ticket ends one
/// engine at most, its repeats get its outcome, and "not run" is true.
#[actix_rt::test]
async fn a_suspect_with_a_ticket_runs_once() -> Result<()> {
    let mut scene = Scene::start(Engines::SameZone, 2, false).await?;
    let body = chat(MARK, 8, false);
    for number in 0..COPIES {
        let entry = scene.entries[number % 2];
        let address = scene.cluster.entry(entry)?.address("callers")?;
        let ticket = ticket(address).await?;
        let (before, known) = (scene.crashed(), scene.known());
        let mut outcomes = IndexSet::new();
        for _ in 0..3 {
            let answer = ask_once(address, &ticket, &body).send().await?;
            outcomes.insert(error(&answer));
        }
        let (outcome, kind) = if before < MAX_CRASHED {
            scene.wait_shared(before, &known).await?;
            ("unknown", "target-lost")
        } else {
            ("not-run", "quarantined")
        };
        let ran = scene.crashed() - before;
        assert_eq!(ran, usize::from(before < MAX_CRASHED), "{outcomes:?}");
        assert!(
            outcomes.contains(&(outcome.to_owned(), kind.to_owned())),
            "{outcomes:?}"
        );
        assert_eq!(outcomes.len(), 1, "{outcomes:?}");
    }
    Ok(())
}

/// Guards against turning away a request that is innocent or popular: its copies run on all engines
/// while three of them crash under another request.
#[actix_rt::test]
async fn innocent_requests_are_answered() -> Result<()> {
    let mut scene = Scene::start(Engines::SameZone, 2, false).await?;
    let addresses: Vec<SocketAddr> = scene
        .entries
        .clone()
        .into_iter()
        .map(|entry| scene.cluster.entry(entry)?.address("callers"))
        .collect::<Result<_>>()?;
    let stop = Rc::new(Cell::new(false));
    let callers = (0..16).map(|caller| {
        let (address, stop) = (addresses[caller % 2], Rc::clone(&stop));
        actix_rt::spawn(async move {
            let mut rejected = 0;
            while !stop.get() {
                let body = chat("a popular request", 20, caller % 4 < 2);
                let answer = ask(address, &body).send().await;
                rejected += answer.map_or(0, |answer| usize::from(answer.status() == 400));
            }
            rejected
        })
    });
    let callers: Vec<_> = callers.collect();
    for copy in 0..COPIES {
        let entry = scene.entries[copy % 2];
        scene.send_and_share(entry).await?;
    }
    stop.set(true);
    for caller in callers {
        assert_eq!(caller.await.expect("the caller ends"), 0);
    }
    assert!(
        scene.crashed() <= MAX_CRASHED,
        "{} engines ended",
        scene.crashed()
    );
    for address in addresses {
        let answer = ask(address, &chat("a popular request", 20, false))
            .send()
            .await?;
        assert_eq!(answer.status(), 200, "{}", answer.text());
    }
    Ok(())
}

/// Guards against turning away a request because it ran beside one that crashes its engines, each time
/// on the only engine that was left.
#[actix_rt::test]
async fn a_request_that_rides_along_is_answered() -> Result<()> {
    let builder = Cluster::builder().zone("patras", "a", 1);
    let mut cluster = System::start(builder.entry(short_linger())).await?;
    configure(&mut cluster).await?;
    let address = cluster.entry("patras-a-1")?.address("callers")?;
    let crash = json!({"point": "first", "action": "die", "times": 1_000, "mark": MARK});
    let (mut crashed, mut is_running, mut poison) = (0, false, 0);
    for _ in 0..COPIES {
        let name = format!("engine-{crashed}");
        if !is_running {
            let settings = json!({"engine": {"token_us": 2_000}});
            cluster
                .engine(&name, ("patras", "a"), MODEL, settings)
                .await?;
            cluster
                .wait_serving(address, KEY, &chat("innocent", 1, false))
                .await?;
            cluster.fail(&name, &crash).await?;
        }
        let rider = actix_rt::spawn(ask(address, &chat("rider", 600, false)).send());
        sleep(Duration::from_millis(200)).await;
        let body = chat(MARK, 8, false);
        poison = ask(address, &body).send().await?.status();
        let rider = rider.await.expect("the rider ends")?;
        assert_ne!(rider.status(), 400, "{}", rider.text());
        is_running = cluster.target(&name)?.process().exit_status().is_none();
        crashed += usize::from(!is_running);
        if poison == 400 {
            assert_eq!((rider.status(), crashed), (200, MAX_CRASHED));
            break;
        }
    }
    assert_eq!(poison, 400);
    Ok(())
}

/// Guards against sending copies of a strong suspect to several engines at once.
#[actix_rt::test]
async fn copies_of_a_strong_suspect_run_one_at_a_time() -> Result<()> {
    let mut scene = Scene::start(Engines::SameZone, 1, false).await?;
    scene.send_and_share("patras-a-1").await?;
    assert_eq!(scene.crashed(), MAX_CRASHED - 1);
    let address = scene.cluster.entry("patras-a-1")?.address("callers")?;
    let send = |_| actix_rt::spawn(ask(address, &chat(MARK, 8, false)).send());
    let copies: Vec<_> = (0..10).map(send).collect();
    for copy in copies {
        copy.await.expect("the copy ends")?;
    }
    assert_eq!(scene.crashed(), MAX_CRASHED);
    Ok(())
}

/// Guards against a quarantine that operators can neither see nor end: it is listed with the
/// fingerprint of the logs, the timeline of a request shows it, and a release lets it run once more.
#[actix_rt::test]
async fn operators_see_and_release_a_quarantined_request() -> Result<()> {
    let mut scene = Scene::start(Engines::SameZone, 2, false).await?;
    for copy in 0..COPIES {
        let entry = scene.entries[copy % 2];
        scene.send_and_share(entry).await?;
    }
    let lines = scene
        .cluster
        .entry("patras-a-1")?
        .running()
        .log()
        .events("quarantine-rejected");
    let line = lines.last().expect("a rejection is logged");
    let fingerprint = field(line, "fingerprint")
        .expect("with its fingerprint")
        .to_owned();
    assert_eq!(scene.wait_kept().await?, [json!(fingerprint)]);
    let answer = scene
        .cluster
        .ctl(&["release", &fingerprint])
        .await?
        .json()?;
    assert_eq!(answer["outcome"], "accepted", "{answer}");
    for entry in scene.entries.clone() {
        wait::until("the release in force", async || {
            let log = scene
                .cluster
                .entry(entry)
                .ok()?
                .running()
                .log()
                .events("in-force");
            let revision = field(log.last()?, "revision")?.parse::<u64>().ok()?;
            (revision >= answer["revision"].as_u64()?).then_some(())
        })
        .await?;
    }
    let (crashed, (status, outcome, _)) = (scene.crashed(), scene.send("patras-a-2").await?);
    assert_eq!((status, outcome.as_str()), (502, "unknown"));
    assert!(
        scene.crashed() > crashed,
        "the released request did not run"
    );
    Ok(())
}
