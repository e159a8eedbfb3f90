//! A statsd sink: counts received metrics by name, type and tags.

use std::sync::{Arc, Mutex, PoisonError};

use actix_web::{HttpResponse, web};
use indexmap::IndexMap;
use tokio::net::UdpSocket;

/// Most series that are counted; lines of further ones are ignored.
const MAX_SERIES: usize = 10_000;
/// Longest datagram that is read in full.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Counts of received lines, by line without its value.
#[derive(Debug, Clone, Default)]
pub struct Sink {
    counts: Arc<Mutex<IndexMap<String, u64>>>,
}

impl Sink {
    /// Registers the sink's handler with a server.
    pub fn configure(config: &mut web::ServiceConfig) {
        config.route("/metrics", web::get().to(list));
    }

    /// Counts the lines of received datagrams until the socket fails.
    pub async fn receive(self, socket: UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok(length) = socket.recv(&mut buffer).await {
            let text = String::from_utf8_lossy(&buffer[..length]);
            text.lines().for_each(|line| self.count(line));
        }
    }

    fn count(&self, line: &str) {
        let Some((name, rest)) = line.split_once(':') else {
            return;
        };
        let tags = rest.split_once('|').map_or("", |(_, tags)| tags);
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let key = format!("{name}|{tags}");
        if counts.len() < MAX_SERIES || counts.contains_key(&key) {
            *counts.entry(key).or_default() += 1;
        }
    }
}

async fn list(sink: web::Data<Sink>) -> HttpResponse {
    let counts = sink.counts.lock().unwrap_or_else(PoisonError::into_inner);
    HttpResponse::Ok().json(&*counts)
}
