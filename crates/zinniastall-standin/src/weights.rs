//! The weight store: files at a limited rate that all downloads share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::Serialize;
use tokio::time::Instant;

use crate::settings::Weights;

/// Bytes of one part of a file.
const PART: u64 = 64 * 1024;
static ZEROS: [u8; 64 * 1024] = [0; 64 * 1024];

/// The weight store; all threads share it.
#[derive(Debug)]
pub struct Store {
    settings: Weights,
    /// When the rate permits the next part.
    next: Mutex<Instant>,
    active: AtomicUsize,
    busiest: AtomicUsize,
    downloads: AtomicUsize,
}

/// What the store has seen.
#[derive(Debug, Serialize)]
struct Report {
    active: usize,
    busiest: usize,
    downloads: usize,
}

/// A download in progress.
struct Download {
    store: Arc<Store>,
    left: u64,
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
            next: Mutex::new(Instant::now()),
            active: AtomicUsize::new(0),
            busiest: AtomicUsize::new(0),
            downloads: AtomicUsize::new(0),
        }
    }

    /// Adds the store's calls to a server.
    pub fn configure(config: &mut web::ServiceConfig) {
        config
            .route("/weights/{name:.*}", web::get().to(download))
            .route("/downloads", web::get().to(report));
    }

    fn reserve(&self, bytes: u64) -> Instant {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let start = (*next).max(Instant::now());
        *next = start + Duration::from_micros(bytes * 1_000_000 / self.settings.rate);
        *next
    }
}

async fn download(store: web::Data<Store>) -> HttpResponse {
    let store = store.into_inner();
    store.downloads.fetch_add(1, Ordering::AcqRel);
    let active = store.active.fetch_add(1, Ordering::AcqRel) + 1;
    store.busiest.fetch_max(active, Ordering::AcqRel);
    let left = store.settings.size;
    let parts = stream::unfold(Download { store, left }, |mut download| async move {
        let part = download.left.min(PART);
        if part == 0 {
            return None;
        }
        tokio::time::sleep_until(download.store.reserve(part)).await;
        download.left -= part;
        let bytes = &ZEROS[..usize::try_from(part).unwrap_or(0)];
        let bytes = Ok::<_, std::convert::Infallible>(Bytes::from_static(bytes));
        Some((bytes, download))
    });
    HttpResponse::Ok().streaming(parts)
}

async fn report(store: web::Data<Store>) -> HttpResponse {
    HttpResponse::Ok().json(Report {
        active: store.active.load(Ordering::Acquire),
        busiest: store.busiest.load(Ordering::Acquire),
        downloads: store.downloads.load(Ordering::Acquire),
    })
}

/// Why weights could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store did not answer.
    #[error("weight store did not answer: {0}")]
    Unanswered(String),
    /// The file broke off.
    #[error("weights broke off: {0}")]
    Broken(String),
}

/// Fetches one file and throws it away.
///
/// # Errors
///
/// Fails when the file does not arrive whole.
pub async fn fetch(store: SocketAddr, name: &str) -> Result<(), Error> {
    let client = awc::Client::builder().disable_timeout().finish();
    let request = client.get(format!("http://{store}/weights/{name}"));
    let sent = request.send().await;
    let mut answer = sent.map_err(|error| Error::Unanswered(error.to_string()))?;
    while let Some(part) = answer.next().await {
        part.map_err(|error| Error::Broken(error.to_string()))?;
    }
    Ok(())
}
