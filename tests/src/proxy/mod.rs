//! A fault-injecting TCP proxy.
//!
//! It is bound first, so that its address can go into the settings of other processes; its
//! upstream is set once the process behind it has reported its port. Rules may differ by calling
//! process (see [`callers`]), which is how an availability zone is cut off while the zone's own
//! instances still reach each other. All proxies run on threads of their own, so a test that waits
//! does not hold them up.

pub mod callers;
mod connection;
mod counter;
pub mod frames;
mod resolver;
pub mod rule;
mod sockets;

use std::{collections::HashMap, net::SocketAddr, sync::LazyLock, time::Duration};

use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::watch,
    task::JoinHandle,
};

use crate::error::Result;
use callers::Callers;
use counter::Counter;
use resolver::Resolver;
use rule::{Direction, Rule};

/// Pause after a connection could not be taken.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

static RUNTIME: LazyLock<Runtime> = LazyLock::new(|| {
    Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("proxy")
        .enable_all()
        .build()
        .expect("threads for proxies")
});

/// Rules of a proxy, by calling process.
#[derive(Debug, Clone, Default)]
pub(crate) struct Rules {
    /// For callers without a rule of their own.
    default: Rule,
    by_caller: HashMap<String, Rule>,
    /// Connections opened under an earlier epoch are reset.
    epoch: u64,
    upstream: Option<SocketAddr>,
}

impl Rules {
    fn rule(&self, caller: Option<&str>) -> Rule {
        caller
            .and_then(|caller| self.by_caller.get(caller))
            .copied()
            .unwrap_or(self.default)
    }
}

/// A proxy before one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    rules: watch::Sender<Rules>,
    task: JoinHandle<()>,
    opened: Counter,
    abandoned: Counter,
}

impl Proxy {
    /// Binds a proxy that does not tell its callers apart.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub fn bind() -> Result<Self> {
        Self::bind_for(&Callers::default())
    }

    /// Binds a proxy that tells these callers apart.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub fn bind_for(callers: &Callers) -> Result<Self> {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (rules, watch) = watch::channel(Rules::default());
        let (opened, abandoned) = (Counter::default(), Counter::default());
        let runtime = RUNTIME.enter();
        let listener = TcpListener::from_std(listener)?;
        drop(runtime);
        let counters = (opened.clone(), abandoned.clone());
        let accepting = accept(listener, watch, callers.clone(), counters);
        let task = RUNTIME.spawn(accepting);
        Ok(Self {
            address,
            rules,
            task,
            opened,
            abandoned,
        })
    }

    /// Returns the address to call instead of the upstream's.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where connections go; until then they are reset.
    pub fn upstream(&self, address: SocketAddr) {
        self.rules
            .send_modify(|rules| rules.upstream = Some(address));
    }

    /// Returns how many connections were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.count()
    }

    /// Returns how many callers that dialled during a cut gave up before it ended.
    pub fn abandoned(&self) -> u64 {
        self.abandoned.count()
    }

    /// Lets nothing pass in a way, silently, as a network partition does.
    pub fn stall(&self, direction: Direction) {
        self.change(|rule| rule.with(direction, |effect| effect.stalled = true));
    }

    /// Delays every byte.
    pub fn delay(&self, direction: Direction, delay: Duration) {
        self.change(|rule| rule.with(direction, |effect| effect.delay = delay));
    }

    /// Limits the bytes a second.
    pub fn rate(&self, direction: Direction, rate: u64) {
        self.change(|rule| rule.with(direction, |effect| effect.rate = Some(rate)));
    }

    /// Resets each connection after this many bytes in a way.
    pub fn cut_after(&self, direction: Direction, bytes: u64) {
        self.change(|rule| rule.with(direction, |effect| effect.cut_after = Some(bytes)));
    }

    /// Resets all connections and each new one.
    pub fn cut(&self) {
        self.change(|rule| Rule {
            refused: true,
            ..rule
        });
    }

    /// Resets all open connections; new ones pass.
    pub fn reset(&self) {
        self.rules.send_modify(|rules| rules.epoch += 1);
    }

    /// Closes the upstream end of all connections; callers are not told and hear nothing more.
    pub fn half_open(&self) {
        self.change(|rule| Rule {
            half_open: true,
            ..rule
        });
    }

    /// Lets everything pass again, for all callers.
    pub fn heal(&self) {
        self.rules.send_modify(|rules| {
            rules.default = Rule::default();
            rules.by_caller.clear();
        });
    }

    /// Sets the rule of one caller.
    pub fn rule_for(&self, caller: &str, rule: Rule) {
        self.rules.send_modify(|rules| {
            rules.by_caller.insert(caller.to_owned(), rule);
        });
    }

    fn change(&self, change: impl Fn(Rule) -> Rule) {
        self.rules.send_modify(|rules| {
            rules.default = change(rules.default);
            for rule in rules.by_caller.values_mut() {
                *rule = change(*rule);
            }
        });
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.reset();
    }
}

async fn accept(
    listener: TcpListener,
    rules: watch::Receiver<Rules>,
    callers: Callers,
    (opened, abandoned): (Counter, Counter),
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            // Out of files for a moment; an end here would look like a fault of the system.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let upstream = rules.borrow().upstream;
        let Ok(own) = stream.local_addr() else {
            continue;
        };
        let resolver = Resolver::new(rules.clone(), callers.clone(), (peer, own));
        // Counted once the rules it was dialled under are noted: a test that has seen the count may
        // change them.
        opened.increment();
        tokio::spawn(connection::serve(
            stream,
            resolver,
            upstream,
            abandoned.clone(),
        ));
    }
}
