//! Runs the operator service on its own thread.

use std::{net::SocketAddr, thread};

use futures_util::StreamExt;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport;
use zinniastall_api::operator::operator_server::OperatorServer;

use super::Operators;

/// Maximum size of a request.
const MAX_REQUEST_BYTES: usize = 256 << 10;
/// Concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 256;
/// Time that open connections, such as watches, are given at shutdown.
const SHUTDOWN_GRACE: std::time::Duration = std::time::Duration::from_millis(500);

/// A running server.
#[derive(Debug)]
pub struct Server {
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

/// Binds the address of the operator interface.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Server {
    /// Starts to serve on a new thread.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot create a thread.
    pub fn start(operators: Operators, listener: std::net::TcpListener) -> std::io::Result<Self> {
        let (stop, stopping) = oneshot::channel();
        let (done, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || {
                let served = runtime.block_on(serve(operators, listener, stopping));
                if let Err(error) = served {
                    tracing::error!(event = "operators-failed", error = %error);
                }
                // The receiver may have given up; then the process is ending anyway.
                let _ = done.send(());
            })?;
        Ok(Self { stop, stopped })
    }

    /// Stops accepting calls and waits for those in progress.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        // A watch never ends on its own, so the wait is bounded.
        let _ = tokio::time::timeout(SHUTDOWN_GRACE, self.stopped).await;
    }
}

async fn serve(
    operators: Operators,
    listener: std::net::TcpListener,
    stopping: oneshot::Receiver<()>,
) -> Result<(), ServeError> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    // The builder's own setting does not apply to a given listener. Without this, small responses
    // wait about 40 ms for the delayed acknowledgement of the previous frame.
    let incoming = TcpListenerStream::new(listener).inspect(|stream| {
        if let Ok(stream) = stream {
            drop(stream.set_nodelay(true));
        }
    });
    let service = OperatorServer::new(operators).max_decoding_message_size(MAX_REQUEST_BYTES);
    let stopped = async {
        // An error means that the sender is gone, which is a stop as well.
        let _ = stopping.await;
    };
    transport::Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stopped)
        .await?;
    Ok(())
}

/// Why the server ended.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    /// The listener cannot be used.
    #[error(transparent)]
    Listener(#[from] std::io::Error),
    /// The server failed.
    #[error(transparent)]
    Server(#[from] transport::Error),
}
