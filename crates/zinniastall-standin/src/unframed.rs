//! Answers with neither a length nor chunks, which end with their connection.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_web::{
    HttpResponse,
    body::{BodySize, BoxBody, MessageBody},
    http::ConnectionType,
};
use bytes::Bytes;

/// A body whose length is not announced.
struct Unframed(BoxBody);

impl MessageBody for Unframed {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.0).poll_next(context)
    }
}

/// Removes the framing of an answer.
pub(crate) fn unframed(answer: HttpResponse) -> HttpResponse {
    answer.map_body(|head, body| {
        head.no_chunking(true);
        head.set_connection_type(ConnectionType::Close);
        BoxBody::new(Unframed(body))
    })
}
