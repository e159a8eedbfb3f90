//! Tests that the fault-injecting proxy does what its rules say.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::{Duration, Instant},
};

use zinniastall_tests::{
    proxy::{
        Proxy,
        callers::Callers,
        rule::{Direction, Rule},
    },
    wait,
};

/// Time without a byte after which a connection counts as silent; a busy machine only makes it
/// longer.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for bytes that must arrive.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts an echo server.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = stream.try_clone().expect("a second handle");
                let mut writer = stream;
                let _ = std::io::copy(&mut reader, &mut writer);
            });
        }
    });
    address
}

fn connect_through_proxy() -> (Proxy, TcpStream) {
    let proxy = Proxy::bind().expect("a proxy");
    proxy.upstream(echo());
    let stream = TcpStream::connect(proxy.address()).expect("a connection");
    (proxy, stream)
}

fn round_trip(stream: &mut TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(b"x")?;
    read_byte(stream, timeout)
}

fn read_byte(stream: &mut TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(timeout))?;
    stream.read_exact(&mut [0])
}

fn is_silent(stream: &mut TcpStream) -> bool {
    let answered = round_trip(stream, SILENCE_TIMEOUT);
    answered.is_err_and(|error| timed_out(&error))
}

fn timed_out(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::WouldBlock
}

fn is_broken(stream: &mut TcpStream) -> bool {
    read_byte(stream, REPLY_TIMEOUT).is_err_and(|error| !timed_out(&error))
}

macro_rules! stalls {
    ($($name:ident: $way:expr;)*) => {$(
        /// Bytes stop without an error and arrive once the direction is open again.
        #[test]
        fn $name() {
            let (proxy, mut stream) = connect_through_proxy();
            round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
            proxy.stall($way);
            assert!(is_silent(&mut stream));
            proxy.heal();
            read_byte(&mut stream, REPLY_TIMEOUT).unwrap();
        }
    )*};
}

stalls! {
    stall_up_is_silent: Direction::Up;
    stall_down_is_silent: Direction::Down;
    stall_both_is_silent: Direction::Both;
}

#[test]
fn cut_resets_open_and_new_connections() {
    let (proxy, mut stream) = connect_through_proxy();
    round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
    proxy.cut();
    assert!(is_broken(&mut stream));
    let mut second = TcpStream::connect(proxy.address()).unwrap();
    assert!(is_broken(&mut second));
    proxy.heal();
    let mut third = TcpStream::connect(proxy.address()).unwrap();
    round_trip(&mut third, REPLY_TIMEOUT).unwrap();
}

#[test]
fn half_open_leaves_the_caller_waiting() {
    let (proxy, mut stream) = connect_through_proxy();
    round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
    proxy.half_open();
    assert!(is_silent(&mut stream));
    proxy.cut();
    assert!(is_broken(&mut stream));
}

#[test]
fn delay_holds_each_byte() {
    let (proxy, mut stream) = connect_through_proxy();
    round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
    proxy.delay(Direction::Both, Duration::from_millis(50));
    let start = Instant::now();
    round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(100));
}

#[test]
fn rate_limits_bytes() {
    let (proxy, mut stream) = connect_through_proxy();
    proxy.rate(Direction::Up, 100_000);
    let start = Instant::now();
    let mut bytes = vec![0; 50_000];
    stream.write_all(&bytes).unwrap();
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
    stream.read_exact(&mut bytes).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(450));
}

/// Guards against bytes that pass under the rule before the one that was set before they were sent.
#[test]
fn a_rule_applies_to_all_bytes_sent_after_it() {
    let delay = Duration::from_millis(20);
    let rounds = || {
        let (proxy, mut stream) = connect_through_proxy();
        let took = (0..10).map(|_| {
            proxy.heal();
            round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
            proxy.delay(Direction::Up, delay);
            let start = Instant::now();
            round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
            start.elapsed()
        });
        took.min().unwrap_or_default()
    };
    let least = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..16).map(|_| scope.spawn(rounds)).collect();
        let took = threads.into_iter().map(|thread| thread.join().unwrap());
        took.min().unwrap_or_default()
    });
    assert!(least >= delay, "{least:?}");
}

#[test]
fn cut_after_lets_exactly_that_much_pass() {
    let (proxy, mut stream) = connect_through_proxy();
    proxy.cut_after(Direction::Down, 3);
    stream.write_all(b"abcdef").unwrap();
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
    stream.read_exact(&mut [0; 3]).unwrap();
    assert!(is_broken(&mut stream));
}

#[test]
fn an_orderly_end_passes() {
    let (_proxy, mut stream) = connect_through_proxy();
    stream.write_all(b"abc").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert_eq!(text, "abc");
}

/// Rules for one calling process leave others alone: cutting off a zone relies on this.
#[actix_rt::test]
async fn callers_are_told_apart() {
    let stalled = Rule::default().with(Direction::Both, |lane| lane.stalled = true);
    let callers = Callers::default();
    let own = |(): &()| std::process::id();
    callers.start("this test", || Ok::<_, ()>(()), own).unwrap();
    let proxy = Proxy::bind_for(&callers).unwrap();
    proxy.upstream(echo());
    proxy.rule_for("another", stalled);
    let mut stream = TcpStream::connect(proxy.address()).unwrap();
    round_trip(&mut stream, REPLY_TIMEOUT).unwrap();
    proxy.rule_for("this test", stalled);
    wait::until("the rule in force", async || {
        is_silent(&mut stream).then_some(())
    })
    .await
    .unwrap();
}

/// A process is started while its zone is cut off, and connects before the test has registered
/// it. If the proxy did not recognise its connection, it would bypass the cut, and the test
/// would fail on a busy machine.
#[actix_rt::test]
async fn a_process_that_dials_at_its_start_is_told_apart() {
    let stalled = Rule::default().with(Direction::Both, |lane| lane.stalled = true);
    let callers = Callers::default();
    let proxy = Proxy::bind_for(&callers).unwrap();
    proxy.upstream(echo());
    proxy.rule_for("this test", stalled);
    let dial = || {
        let stream = TcpStream::connect(proxy.address());
        std::thread::sleep(Duration::from_millis(200));
        stream
    };
    let own = |_: &TcpStream| std::process::id();
    let mut stream = callers.start("this test", dial, own).unwrap();
    assert!(is_silent(&mut stream));
}

/// A caller connects during a stall, writes, and gives up. Without the stall it would have had a
/// connection; with it, nothing must reach the upstream after healing, or a request that its
/// caller has given up would run.
#[actix_rt::test]
async fn connection_abandoned_during_a_cut_never_reaches_upstream() {
    let proxy = Proxy::bind().unwrap();
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    proxy.upstream(listener.local_addr().unwrap());
    proxy.stall(Direction::Both);
    let mut first = TcpStream::connect(proxy.address()).unwrap();
    first.write_all(b"first").unwrap();
    drop(first);
    let mut second = TcpStream::connect(proxy.address()).unwrap();
    second.write_all(b"second").unwrap();
    wait::until("two connections, one of them given up", async || {
        (proxy.opened() == 2 && proxy.abandoned() == 1).then_some(())
    })
    .await
    .unwrap();
    proxy.heal();
    let (mut arrived, _) = listener.accept().unwrap();
    arrived.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
    let mut text = [0; 5];
    arrived.read_exact(&mut text).unwrap();
    assert_eq!(&text, b"secon");
}
