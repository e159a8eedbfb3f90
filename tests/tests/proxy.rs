//! The fault-injecting proxy does what its rules say.

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

/// Time after which silence counts as silence; a busy machine only makes it longer.
const SILENCE: Duration = Duration::from_millis(300);
/// Longest wait for bytes that must come.
const BOUND: Duration = Duration::from_secs(30);

/// Starts a server that sends every byte back.
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

fn proxied() -> (Proxy, TcpStream) {
    let proxy = Proxy::bind().expect("a proxy");
    proxy.upstream(echo());
    let stream = TcpStream::connect(proxy.address()).expect("a connection");
    (proxy, stream)
}

fn answers(stream: &mut TcpStream, bound: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(bound))?;
    stream.write_all(b"x")?;
    answer(stream, bound)
}

fn answer(stream: &mut TcpStream, bound: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(bound))?;
    stream.read_exact(&mut [0])
}

fn silent(stream: &mut TcpStream) -> bool {
    let answered = answers(stream, SILENCE);
    answered.is_err_and(|error| timed_out(&error))
}

fn timed_out(error: &std::io::Error) -> bool {
    error.kind() == std::io::ErrorKind::WouldBlock
}

fn broken(stream: &mut TcpStream) -> bool {
    answer(stream, BOUND).is_err_and(|error| !timed_out(&error))
}

macro_rules! stalls {
    ($($name:ident: $way:expr;)*) => {$(
        /// Bytes stop without an error and arrive once the way is open again.
        #[test]
        fn $name() {
            let (proxy, mut stream) = proxied();
            answers(&mut stream, BOUND).unwrap();
            proxy.stall($way);
            assert!(silent(&mut stream));
            proxy.heal();
            answer(&mut stream, BOUND).unwrap();
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
    let (proxy, mut stream) = proxied();
    answers(&mut stream, BOUND).unwrap();
    proxy.cut();
    assert!(broken(&mut stream));
    let mut second = TcpStream::connect(proxy.address()).unwrap();
    assert!(broken(&mut second));
    proxy.heal();
    let mut third = TcpStream::connect(proxy.address()).unwrap();
    answers(&mut third, BOUND).unwrap();
}

#[test]
fn half_open_leaves_the_caller_waiting() {
    let (proxy, mut stream) = proxied();
    answers(&mut stream, BOUND).unwrap();
    proxy.half_open();
    assert!(silent(&mut stream));
    proxy.cut();
    assert!(broken(&mut stream));
}

#[test]
fn delay_holds_each_byte() {
    let (proxy, mut stream) = proxied();
    answers(&mut stream, BOUND).unwrap();
    proxy.delay(Direction::Both, Duration::from_millis(50));
    let start = Instant::now();
    answers(&mut stream, BOUND).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(100));
}

#[test]
fn rate_limits_bytes() {
    let (proxy, mut stream) = proxied();
    proxy.rate(Direction::Up, 100_000);
    let start = Instant::now();
    let mut bytes = vec![0; 50_000];
    stream.write_all(&bytes).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    stream.read_exact(&mut bytes).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(450));
}

#[test]
fn cut_after_lets_exactly_that_much_pass() {
    let (proxy, mut stream) = proxied();
    proxy.cut_after(Direction::Down, 3);
    stream.write_all(b"abcdef").unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    stream.read_exact(&mut [0; 3]).unwrap();
    assert!(broken(&mut stream));
}

#[test]
fn an_orderly_end_passes() {
    let (_proxy, mut stream) = proxied();
    stream.write_all(b"abc").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    stream.set_read_timeout(Some(BOUND)).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    assert_eq!(text, "abc");
}

/// Rules for one calling process leave others alone: that is how a zone is cut off.
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
    answers(&mut stream, BOUND).unwrap();
    proxy.rule_for("this test", stalled);
    wait::until("the rule in force", async || {
        silent(&mut stream).then_some(())
    })
    .await
    .unwrap();
}

/// A process is started while its zone is cut off, and dials before the test has noted whose process it is. Taken
/// for a stranger, its connection would pass the cut, and the test would fail on a machine that is busy.
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
    assert!(silent(&mut stream));
}

/// A caller dials while the way is cut, writes, and gives up. Without the cut it would have had a
/// connection; with it nobody must hear of it when the way opens, or a request that its caller has
/// written off would run.
#[actix_rt::test]
async fn who_gave_up_during_a_cut_is_not_heard_after_it() {
    let proxy = Proxy::bind().unwrap();
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    proxy.upstream(listener.local_addr().unwrap());
    proxy.stall(Direction::Both);
    let mut first = TcpStream::connect(proxy.address()).unwrap();
    first.write_all(b"first").unwrap();
    drop(first);
    let mut second = TcpStream::connect(proxy.address()).unwrap();
    second.write_all(b"second").unwrap();
    wait::until("both dials, and one given up", async || {
        (proxy.opened() == 2 && proxy.abandoned() == 1).then_some(())
    })
    .await
    .unwrap();
    proxy.heal();
    let (mut arrived, _) = listener.accept().unwrap();
    arrived.set_read_timeout(Some(BOUND)).unwrap();
    let mut text = [0; 5];
    arrived.read_exact(&mut text).unwrap();
    assert_eq!(&text, b"secon");
}
