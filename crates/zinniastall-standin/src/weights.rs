//! The weight store: serves files under a rate limit that all downloads share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use actix_web::{HttpResponse, http::header::CONTENT_LENGTH, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::Serialize;
use tokio::time::Instant;
use zinniastall_route::relay::{self, Length};

use crate::settings::Weights;

/// Size of the chunks in which a file is sent.
const CHUNK_BYTES: u64 = 64 * 1024;
static ZEROS: [u8; 64 * 1024] = [0; 64 * 1024];

/// The weight store, shared by all threads.
#[derive(Debug)]
pub struct Store {
    settings: Weights,
    /// When the rate limit permits the next chunk.
    next_chunk_at: Mutex<Instant>,
    active: AtomicUsize,
    peak_active: AtomicUsize,
    downloads: AtomicUsize,
}

/// Counts of downloads: in progress, most at once, and in total.
#[derive(Debug, Serialize)]
struct Report {
    active: usize,
    busiest: usize,
    downloads: usize,
}

/// A download in progress.
struct Download {
    store: Arc<Store>,
    remaining: u64,
}

impl Drop for Download {
    fn drop(&mut self) {
        self.store.active.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Store {
    /// Creates a store.
    pub fn new(settings: &Weights) -> Self {
        Self {
            settings: settings.clone(),
            next_chunk_at: Mutex::new(Instant::now()),
            active: AtomicUsize::new(0),
            peak_active: AtomicUsize::new(0),
            downloads: AtomicUsize::new(0),
        }
    }

    /// Registers the store's handlers with a server.
    pub fn configure(config: &mut web::ServiceConfig) {
        config
            .route("/weights/{name:.*}", web::get().to(download))
            .route("/downloads", web::get().to(report));
    }

    /// Reserves a share of the rate limit and returns when the bytes may be sent.
    fn reserve(&self, bytes: u64) -> Instant {
        let mut next_chunk_at = self
            .next_chunk_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let start = (*next_chunk_at).max(Instant::now());
        *next_chunk_at =
            start + Duration::from_micros(bytes * 1_000_000 / self.settings.bytes_per_second);
        *next_chunk_at
    }
}

async fn download(store: web::Data<Store>) -> HttpResponse {
    let store = store.into_inner();
    store.downloads.fetch_add(1, Ordering::AcqRel);
    let active = store.active.fetch_add(1, Ordering::AcqRel) + 1;
    store.peak_active.fetch_max(active, Ordering::AcqRel);
    let remaining = store.settings.file_bytes;
    let chunks = stream::unfold(Download { store, remaining }, |mut download| async move {
        let chunk = download.remaining.min(CHUNK_BYTES);
        if chunk == 0 {
            return None;
        }
        tokio::time::sleep_until(download.store.reserve(chunk)).await;
        download.remaining -= chunk;
        let bytes = &ZEROS[..usize::try_from(chunk).unwrap_or(0)];
        let bytes = Ok::<_, std::convert::Infallible>(Bytes::from_static(bytes));
        Some((bytes, download))
    });
    HttpResponse::Ok().streaming(chunks)
}

async fn report(store: web::Data<Store>) -> HttpResponse {
    HttpResponse::Ok().json(Report {
        active: store.active.load(Ordering::Acquire),
        busiest: store.peak_active.load(Ordering::Acquire),
        downloads: store.downloads.load(Ordering::Acquire),
    })
}

/// Why weights could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store did not answer.
    #[error("weight store did not answer: {0}")]
    Request(String),
    /// The download ended early.
    #[error("download of weights ended early: {0}")]
    Incomplete(String),
}

fn incomplete(reason: relay::Error) -> Error {
    Error::Incomplete(reason.to_string())
}

/// Downloads one file and discards it.
///
/// # Errors
///
/// Fails when the file does not arrive whole.
pub async fn fetch(store: SocketAddr, name: &str) -> Result<(), Error> {
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client.get(format!("http://{store}/weights/{name}"));
    let sent = request.send().await;
    let mut answer = sent.map_err(|error| Error::Request(error.to_string()))?;
    let announced = answer.headers().get(CONTENT_LENGTH);
    let announced = announced.and_then(|length| length.to_str().ok()?.parse().ok());
    let mut received = Length::new(announced);
    while let Some(chunk) = answer.next().await {
        let chunk = chunk.map_err(|error| Error::Incomplete(error.to_string()))?;
        received.push(&chunk).map_err(incomplete)?;
    }
    // The library ends a body without an error if its connection closes early.
    received.end().map_err(incomplete)?;
    Ok(())
}
