//! Measures the cost of an entry instance: added latency, throughput per core and memory.
//!
//! The setup is an entry instance with one thread, a stand-in engine that responds immediately, and
//! the load generator. The baseline is the same engine called directly, in the same run and with
//! the same arrivals.

use std::{path::Path, time::Duration};

use serde_json::{Value, json};
use zinniastall_tests::{cluster::Cluster, usage, wait};

use super::{
    load,
    table::{Table, millis},
};

const MODEL: &str = "map-labels";
const CLIENT: &str = "maps";
const KEY: &str = "bench-key";
const ENTRY: &str = "patras-a-1";
const ENGINE: &str = "engine-1";
/// Initial rate in requests per second, and the factor between successive rates.
const RATE_SWEEP: (f64, f64) = (1_000.0, 1.4);
/// Names of the response kinds, and whether each is streamed.
const ANSWER_KINDS: [(&str, bool); 2] = [("whole", false), ("streamed", true)];
/// Minimum share of requests answered in time for a rate to count as sustained.
const MIN_IN_TIME_SHARE: f64 = 0.99;
/// Numbers of open streams at which memory is measured.
const OPEN_STREAMS: [u64; 3] = [0, 1_000, 3_000];

pub(super) async fn run(reports: &Path) -> eyre::Result<()> {
    let mut bench = Bench::start().await?;
    // Measured first: later the process also holds memory that was allocated under peak load.
    bench.measure_memory(reports).await?;
    for (name, stream) in ANSWER_KINDS {
        println!("\n{name} answers\n");
        let (highest, cost) = bench.find_max_rate(reports, stream).await?;
        println!("\nhighest rate carried by one thread: {highest:.0} requests a second");
        println!(
            "processor time of the entry instance: {} us a request",
            cost.as_micros()
        );
        println!(
            "requests a second per core: {:.0}\n",
            1.0 / cost.as_secs_f64()
        );
        bench
            .measure_added_latency(reports, name, stream, highest / 2.0)
            .await?;
    }
    Ok(bench.cluster.stop().await?)
}

struct Bench {
    cluster: Cluster,
    entry: std::net::SocketAddr,
    engine: std::net::SocketAddr,
}

impl Bench {
    async fn start() -> eyre::Result<Self> {
        let mut cluster = Cluster::builder()
            .direct()
            .zone("patras", "a", 1)
            .entry(json!({"threads": 1}))
            .start()
            .await?;
        let settings = json!({
            "threads": 3, "slots": 10_000, "ledger": 1,
            "engine": {"token_us": 0, "first_ms": 0},
        });
        cluster
            .engine(ENGINE, ("patras", "a"), MODEL, settings)
            .await?;
        cluster.client(CLIENT, KEY).await?;
        cluster.model(MODEL).await?;
        let entry = cluster.entry(ENTRY)?.process().address("callers").await?;
        let engine = cluster.target(ENGINE)?.process().address("http").await?;
        let body = json!({"model": MODEL, "messages": [{"role": "user", "content": "hello"}]});
        cluster.wait_serving(entry, KEY, &body).await?;
        Ok(Self {
            cluster,
            entry,
            engine,
        })
    }

    /// Raises the rate until it is no longer sustained; returns the highest sustained rate and its
    /// CPU time per request.
    async fn find_max_rate(
        &mut self,
        reports: &Path,
        stream: bool,
    ) -> eyre::Result<(f64, Duration)> {
        let mut rate = RATE_SWEEP.0;
        let mut best = (0.0, Duration::ZERO);
        let mut table = Table::new(&[
            "requests a second",
            "in time",
            "p50 ms",
            "p99 ms",
            "CPU us a request",
        ]);
        loop {
            let before = self.cpu_time()?;
            let variants = json!([{"name": "system", "entries": [self.entry]}]);
            let experiment = experiment(&variants, rate, stream, 4_000);
            let report = load::run(experiment, &reports.join("speed-rate.json")).await?;
            let spent = self.cpu_time()?.saturating_sub(before);
            let all = &report["variants"][0]["all"];
            let planned = report["planned"].as_u64().unwrap_or(1).max(1);
            let cost = spent / u32::try_from(planned).unwrap_or(u32::MAX);
            let share = number(&all["goodput"]) * 4.0 / number(&all["requests"]).max(1.0);
            table.row(vec![
                format!("{rate:.0}"),
                format!("{:.1} %", share * 100.0),
                millis(&all["whole"]["p50"]),
                millis(&all["whole"]["p99"]),
                cost.as_micros().to_string(),
            ]);
            if share < MIN_IN_TIME_SHARE {
                break;
            }
            best = (rate, cost);
            rate *= RATE_SWEEP.1;
        }
        table.print();
        Ok(best)
    }

    /// Compares latencies through the entry instance with those of direct calls to the engine: time
    /// to the complete response, or to the first token if it is streamed.
    async fn measure_added_latency(
        &self,
        reports: &Path,
        name: &str,
        stream: bool,
        rate: f64,
    ) -> eyre::Result<()> {
        println!("added latency at {rate:.0} requests a second, in milliseconds\n");
        let variants = json!([
            {"name": "direct", "direct": self.engine},
            {"name": "system", "entries": [self.entry]},
        ]);
        let experiment = experiment(&variants, rate, stream, 10_000);
        let report = load::run(experiment, &reports.join(format!("speed-{name}.json"))).await?;
        let measure = if stream { "first" } else { "whole" };
        let mut table = Table::new(&["quantile", "direct", "system", "added"]);
        for quantile in ["p50", "p95", "p99"] {
            let at = |variant: usize| &report["variants"][variant]["all"][measure][quantile];
            let added = (number(at(1)) - number(at(0))) / 1000.0;
            let cells = [
                quantile.to_owned(),
                millis(at(0)),
                millis(at(1)),
                format!("{added:.2}"),
            ];
            table.row(cells.into());
        }
        table.print();
        Ok(())
    }

    /// Measures the memory of the entry instance when idle and with many open streams.
    async fn measure_memory(&mut self, reports: &Path) -> eyre::Result<()> {
        let mut table = Table::new(&["open streams", "memory MB", "KB a stream"]);
        let id = self.cluster.entry(ENTRY)?.process().id();
        let rest = usage::memory(id)?;
        for streams in OPEN_STREAMS {
            let used = if streams == 0 {
                rest
            } else {
                self.memory_with_streams(reports, streams, id).await?
            };
            let each = used.saturating_sub(rest) / 1024 / streams.max(1);
            table.row(vec![
                streams.to_string(),
                format!("{:.1}", number(&used.into()) / 1e6),
                each.to_string(),
            ]);
        }
        println!();
        table.print();
        Ok(())
    }

    /// Opens streams to a slow engine and returns the memory of process `id` while they are open.
    async fn memory_with_streams(
        &mut self,
        reports: &Path,
        streams: u64,
        id: u32,
    ) -> eyre::Result<u64> {
        let name = format!("slow-{streams}");
        let model = format!("slow-{streams}");
        let settings = json!({
            "threads": 2, "slots": 10_000,
            "engine": {"token_us": 500_000, "first_ms": 100},
        });
        self.cluster
            .engine(&name, ("patras", "a"), &model, settings)
            .await?;
        self.cluster.model(&model).await?;
        let slow = self
            .cluster
            .target(&name)?
            .process()
            .address("http")
            .await?;
        let mut experiment = experiment(
            &json!([{"name": "open", "entries": [self.entry]}]),
            500.0,
            true,
            0,
        );
        experiment["duration_ms"] = (streams * 2).into();
        experiment["warmup_ms"] = 0.into();
        experiment["sources"][0]["model"] = model.into();
        experiment["sources"][0]["arrivals"] = "fixed".into();
        // Enough tokens that the first stream is still open when the last one starts.
        experiment["sources"][0]["tokens"] = (streams / 250 + 20).into();
        experiment["deadline_ms"] = 600_000.into();
        let report = reports.join("speed-open.json");
        let running = actix_rt::spawn(async move { load::run(experiment, &report).await });
        let what = format!("{streams} open streams");
        wait::within(Duration::from_mins(1), &what, async || {
            let ledger = zinniastall_tests::http::get(slow, "/ledger")
                .send()
                .await
                .ok()?;
            let open = ledger.json().ok()?.as_array()?.len() as u64;
            (open + 1 >= streams).then_some(())
        })
        .await?;
        let used = usage::memory(id)?;
        running.await??;
        Ok(used)
    }

    fn cpu_time(&mut self) -> eyre::Result<Duration> {
        let id = self.cluster.entry(ENTRY)?.process().id();
        Ok(usage::cpu_time(id)?)
    }
}

fn experiment(variants: &Value, rate: f64, stream: bool, duration_ms: u64) -> Value {
    json!({
        "seed": 3, "threads": 3, "warmup_ms": 1_000, "duration_ms": duration_ms,
        "deadline_ms": 1_000, "patience_ms": 60_000,
        "variants": variants,
        "sources": [{
            "client": CLIENT, "key": KEY, "model": MODEL, "rate": rate,
            "stream": stream, "tokens": 16, "suffix_bytes": 400,
        }],
    })
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}
