//! HTTP server for callers.
//!
//! `actix-web` has no hook for requests that the HTTP library itself rejects. The server is
//! therefore assembled from the parts of `actix_web::HttpServer`, on top of connections that add a
//! typed body to those rejections.

use std::{io, net::TcpListener, time::Duration};

use actix_http::{HttpService, Protocol};
use actix_rt::net::TcpStream;
use actix_server::Server;
use actix_service::{IntoServiceFactory, Service as _, ServiceFactoryExt, fn_service, map_config};
use actix_web::{
    App, Error,
    body::{BodySize, MessageBody},
    dev::{AppConfig, ServiceRequest},
    http::{ConnectionType, Version},
};

use super::{
    Service,
    connection::{Connection, GuardedBody, Responses},
};

/// Creates the callers' server on `threads` traffic threads; it runs once it is awaited.
///
/// # Errors
///
/// Returns an error if the listener cannot be registered.
pub fn start(
    service: &Service,
    listener: TcpListener,
    threads: usize,
    drain: Duration,
) -> io::Result<Server> {
    let connections = (service.limits.connections / threads).max(1);
    let builder = Server::build();
    let stopping = builder.graceful_shutdown_signal();
    let service = service.clone();
    let serving = move || {
        let stopping = stopping.clone();
        let instance = service.shared_view.view().instance.clone();
        let opened = fn_service(move |stream: TcpStream| {
            let peer = stream.peer_addr().ok();
            let connection = Connection::new(stream, instance.clone());
            async move { Ok((connection, Protocol::Http1, peer)) }
        });
        let app = App::new()
            .wrap_fn(|request: ServiceRequest, next| {
                let responses = request.request().conn_data::<Responses>().cloned();
                let guard = responses.unwrap_or_default().start();
                let is_old = request.version() < Version::HTTP_11;
                let call = next.call(request);
                async move {
                    let response = call.await?;
                    Ok(response.map_body(|head, body| {
                        let is_stream = body.size() == BodySize::Stream;
                        if is_old && is_stream {
                            // The library would send chunks, which HTTP/1.0 doesn't have.
                            head.no_chunking(true);
                            head.set_connection_type(ConnectionType::Close);
                        }
                        let is_close_delimited = is_stream && !head.chunked();
                        GuardedBody::new(body, is_close_delimited, guard)
                    }))
                }
            })
            .configure(|config| service.configure(config));
        let factory = app
            .into_factory()
            .map_err(|error: Error| error.error_response());
        let http = HttpService::build()
            .graceful_shutdown_signal(move || {
                let stopping = stopping.clone();
                async move { stopping.notified().await }
            })
            .client_request_timeout(service.limits.arrival)
            .h1_allow_half_closed(false)
            .on_connect_ext(|connection: &Connection, data| {
                data.insert(connection.responses());
            })
            .finish(map_config(factory, |()| AppConfig::default()));
        opened.and_then(http)
    };
    let server = builder
        .workers(threads)
        .max_concurrent_connections(connections)
        .shutdown_timeout(drain.as_secs())
        .disable_signals()
        .listen("callers", listener, serving)?;
    Ok(server.run())
}
