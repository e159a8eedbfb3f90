//! Fetches the histograms of an entry instance.

use tonic::Status;
use zinniastall_api::operator::Histogram;
use zinniastall_settings::metrics::Row;
use zinniastall_wire::{
    feed,
    follow::{Message, Summary},
    hello::{Hello, Purpose},
    link::{Error, Link},
};

/// Dials an entry instance and fetches its histograms.
pub(super) async fn fetch(address: &str, hello: &Hello) -> Result<Vec<Histogram>, Status> {
    let summaries = request(address, hello).await;
    let summaries = summaries.map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(summaries.into_iter().map(from_summary).collect())
}

async fn request(address: &str, hello: &Hello) -> Result<Vec<Summary>, Error> {
    let hello = Hello {
        purpose: Purpose::Follow,
        ..hello.clone()
    };
    let dialled = tokio::time::timeout(feed::IDLE_TIMEOUT, Link::dial(address, hello)).await;
    let (mut sender, mut receiver) = dialled.map_err(|_| Error::Closed)??.split();
    feed::send(&mut sender, Message::SummariesRequest).await?;
    loop {
        if let Message::Summaries(summaries) = feed::receive(&mut receiver).await? {
            return Ok(summaries);
        }
    }
}

fn from_summary(summary: Summary) -> Histogram {
    Histogram {
        name: summary.name,
        client: summary.client,
        class: summary.class,
        count: summary.count,
        p50: summary.p50,
        p95: summary.p95,
        p99: summary.p99,
        max: summary.max,
    }
}

/// Converts one of this process's own histograms.
pub(super) fn from_row(row: Row) -> Histogram {
    Histogram {
        name: row.key.name.to_owned(),
        client: row.key.client,
        class: row.key.class,
        count: row.count,
        p50: row.p50,
        p95: row.p95,
        p99: row.p99,
        max: row.max,
    }
}
