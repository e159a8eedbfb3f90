//! Probes of servers whose connection broke.

use std::{future::pending, net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use zinniastall_http::probe::{has_ended, is_refused};

/// What listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    /// Nothing.
    None,
    /// A proxy that closes connections, because the process behind it has ended.
    ClosingProxy,
    /// A server that takes connections and waits for requests.
    Server,
    /// A server that is too busy to take connections.
    Busy,
    /// A process that is ending: its listener is still open for a moment.
    Ending,
}

/// Time for which [`Listener::Ending`] listens on.
const ENDING_TIME: Duration = Duration::from_millis(5);

async fn start(listener: Listener) -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("bound");
    if listener == Listener::None {
        return address;
    }
    if listener == Listener::Ending {
        tokio::spawn(async move {
            time::sleep(ENDING_TIME).await;
            drop(socket);
        });
        return address;
    }
    tokio::spawn(async move {
        let mut open: Vec<TcpStream> = Vec::new();
        if listener == Listener::Busy {
            pending::<()>().await;
        }
        loop {
            let (stream, _) = socket.accept().await.expect("a connection");
            if listener == Listener::Server {
                open.push(stream);
            }
        }
    });
    address
}

macro_rules! probes {
    ($($(#[$about:meta])* $name:ident: $listener:ident => $is_refused:literal, $has_ended:literal;)+) => {$(
        $(#[$about])*
        #[tokio::test]
        async fn $name() {
            let address = start(Listener::$listener).await.to_string();
            assert_eq!(is_refused(&address, "/").await, $is_refused);
            let address = start(Listener::$listener).await.to_string();
            assert_eq!(has_ended(&address).await, $has_ended);
        }
    )+};
}

probes! {
    an_address_without_a_listener_refuses: None => true, true;
    a_proxy_without_a_process_closes: ClosingProxy => false, true;
    /// Guards against blaming a request for a crash of a target that lives.
    a_server_has_not_ended: Server => false, false;
    /// Guards against taking a process for alive whose listener closes last.
    a_process_that_is_ending_refuses: Ending => true, true;
    /// Guards against taking a target for crashed that is only busy.
    a_busy_server_has_not_ended: Busy => false, false;
}
