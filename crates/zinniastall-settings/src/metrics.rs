//! Statsd metrics, and histograms by client and class.
//!
//! Each thread has its own [`Recorder`], so that threads don't contend for a lock; a report merges
//! them. The number of histograms is bounded: beyond the limit, values of new clients are recorded
//! under [`OTHER`], so that a caller can't exhaust the memory with made-up client names.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, QueuingMetricSink, StatsdClient, Timed};
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// Client and class of values beyond the limit on histograms.
pub const OTHER: &str = "other";
/// Histograms per recorder, not counting those under [`OTHER`].
const MAX_KEYS: usize = 2048;
/// Longest recorded duration: one hour. Longer ones are clamped.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant digits of a histogram. With 2, a histogram takes about 20 KB at most.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Metrics queued for sending. Beyond that they are dropped, since metrics must not delay requests.
const QUEUE_CAPACITY: usize = 4096;

/// Identifies a histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// Name of the metric, such as `request.whole`.
    pub name: &'static str,
    /// Client, or [`OTHER`].
    pub client: String,
    /// Class of the requests, or [`OTHER`].
    pub class: String,
}

/// Summary of a histogram, in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key of the histogram.
    pub key: Key,
    /// Number of recorded values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

type Shard = Arc<Mutex<IndexMap<Key, Histogram<u64>>>>;

/// All metrics of a process.
#[derive(Debug, Clone)]
pub struct Registry {
    statsd: Arc<StatsdClient>,
    shards: Arc<Mutex<Vec<Shard>>>,
}

/// Records the metrics of a thread.
#[derive(Debug, Clone)]
pub struct Recorder {
    statsd: Arc<StatsdClient>,
    shard: Shard,
}

impl Registry {
    /// Starts metrics whose names get a prefix, and sends them to a statsd server by UDP if its
    /// address is given.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket can't be opened.
    pub fn start(prefix: &str, statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        let client = match statsd {
            Some(address) => StatsdClient::builder(prefix, sink(address)?).build(),
            None => StatsdClient::builder(prefix, cadence::NopMetricSink).build(),
        };
        Ok(Self {
            statsd: Arc::new(client),
            shards: Arc::default(),
        })
    }

    /// Creates a recorder for the calling thread.
    pub fn recorder(&self) -> Recorder {
        let shard = Shard::default();
        lock(&self.shards).push(Arc::clone(&shard));
        Recorder {
            statsd: Arc::clone(&self.statsd),
            shard,
        }
    }

    /// Merges all recorders and returns a summary per histogram.
    pub fn report(&self) -> Vec<Row> {
        let mut merged: IndexMap<Key, Histogram<u64>> = IndexMap::new();
        for shard in lock(&self.shards).iter() {
            for (key, histogram) in lock(shard).iter() {
                match merged.get_mut(key) {
                    // All histograms have the same bounds, so adding can't fail.
                    Some(sum) => drop(sum.add(histogram)),
                    None => drop(merged.insert(key.clone(), histogram.clone())),
                }
            }
        }
        merged
            .into_iter()
            .map(|(key, sum)| row(key, &sum))
            .collect()
    }
}

impl Recorder {
    /// Records a duration in a histogram and sends it as a statsd timing.
    pub fn time(&self, name: &'static str, client: &str, class: &str, value: Duration) {
        let micros = u64::try_from(value.as_micros())
            .unwrap_or(MAX_MICROS)
            .min(MAX_MICROS);
        let mut shard = lock(&self.shard);
        let key = bounded_key(&shard, name, client, class);
        self.statsd
            .time_with_tags(name, micros / 1000)
            .with_tag("client", &key.client)
            .with_tag("class", &key.class)
            .send();
        let histogram = shard.entry(key).or_insert_with(histogram);
        histogram.saturating_record(micros);
    }

    /// Adds to a statsd counter.
    pub fn count(&self, name: &'static str, amount: i64) {
        self.statsd.count_with_tags(name, amount).send();
    }
}

fn sink(address: SocketAddr) -> std::io::Result<QueuingMetricSink> {
    let local = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY))
}

fn bounded_key(
    shard: &IndexMap<Key, Histogram<u64>>,
    name: &'static str,
    client: &str,
    class: &str,
) -> Key {
    let key = Key {
        name,
        client: client.to_owned(),
        class: class.to_owned(),
    };
    if shard.contains_key(&key) || shard.len() < MAX_KEYS {
        return key;
    }
    Key {
        name,
        client: OTHER.to_owned(),
        class: OTHER.to_owned(),
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).unwrap_or_else(|_| {
        // Unreachable with the constants above; an auto-resizing histogram is a safe fallback.
        Histogram::new(SIGNIFICANT_DIGITS).expect("two significant digits are supported")
    })
}

fn row(key: Key, histogram: &Histogram<u64>) -> Row {
    Row {
        key,
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        max: histogram.max(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    // A panic while recording loses at most one value, so the data stays usable.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
