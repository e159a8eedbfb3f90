//! The thread that serves operators.

use std::{net::SocketAddr, thread};

use futures_util::StreamExt;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport;
use zinniastall_api::operator::operator_server::OperatorServer;

use super::Operators;

/// Longest request, in bytes.
const MAX_REQUEST_BYTES: usize = 256 << 10;
/// Calls at once on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 256;
/// Time that open connections, such as watches, are given at the end.
const SHUTDOWN_GRACE: std::time::Duration = std::time::Duration::from_millis(500);

/// A running server.
#[derive(Debug)]
pub struct Server {
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
}

/// Binds the operators' address.
///
/// # Errors
///
/// Fails when it cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Server {
    /// Starts to serve on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the system has no thread to give.
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
                // Whoever waited may have given up; then the process is ending anyway.
                let _ = done.send(());
            })?;
        Ok(Self { stop, stopped })
    }

    /// Stops taking calls and waits for those in progress.
    pub async fn stop(self) {
        let _ = self.stop.send(());
        // A watch never ends by itself, so the wait is bounded.
        let _ = tokio::time::timeout(SHUTDOWN_GRACE, self.stopped).await;
    }
}

async fn serve(
    operators: Operators,
    listener: std::net::TcpListener,
    stopping: oneshot::Receiver<()>,
) -> Result<(), ServeError> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    // The builder's own setting does not reach a listener that is handed in; without this, small
    // answers wait for the delayed acknowledgement of the frame before them, some 40 ms.
    let incoming = TcpListenerStream::new(listener).inspect(|stream| {
        if let Ok(stream) = stream {
            drop(stream.set_nodelay(true));
        }
    });
    let service = OperatorServer::new(operators).max_decoding_message_size(MAX_REQUEST_BYTES);
    let stopped = async {
        // An error means that the sender is gone, which is the end as well.
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
    /// The listener is unusable.
    #[error(transparent)]
    Listener(#[from] std::io::Error),
    /// The server failed.
    #[error(transparent)]
    Server(#[from] transport::Error),
}
