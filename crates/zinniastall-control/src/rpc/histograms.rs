//! Fetches the histograms of an entry instance.

use tonic::Status;
use zinniastall_api::operator::Histogram;
use zinniastall_settings::metrics::Row;
use zinniastall_wire::{
    feed,
    follow::{Figure, Message},
    hello::{Hello, Purpose},
    link::{Error, Link},
};

/// Dials an entry instance and fetches its histograms.
pub(super) async fn fetch(address: &str, hello: &Hello) -> Result<Vec<Histogram>, Status> {
    let figures = request(address, hello).await;
    let figures = figures.map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(figures.into_iter().map(from_figure).collect())
}

async fn request(address: &str, hello: &Hello) -> Result<Vec<Figure>, Error> {
    let hello = Hello {
        purpose: Purpose::Follow,
        ..hello.clone()
    };
    let dialled = tokio::time::timeout(feed::SILENCE, Link::dial(address, hello)).await;
    let (mut sender, mut receiver) = dialled.map_err(|_| Error::Closed)??.split();
    feed::send(&mut sender, Message::Ask).await?;
    loop {
        if let Message::Figures(figures) = feed::receive(&mut receiver).await? {
            return Ok(figures);
        }
    }
}

fn from_figure(figure: Figure) -> Histogram {
    Histogram {
        name: figure.name,
        client: figure.client,
        class: figure.class,
        count: figure.count,
        p50: figure.p50,
        p95: figure.p95,
        p99: figure.p99,
        max: figure.max,
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
