//! A request with its route, service, account and deadline.

use std::{
    cell::{Cell, OnceCell},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use zinniastall_coord::{quarantine::Key, rate::ColdStart, rendezvous};
use zinniastall_http::head::Request;
use zinniastall_model::{
    fingerprint::{Fingerprint, PartSpace, Subjects, shared_parts},
    id,
    routing::{Account, Engine, Kind, Quota, Route, Rule, Service, Table},
};
use zinniastall_wire::hub::Configuration;

use super::{answer::Refusal, returns::Return};
use crate::{
    decide::{
        identity::{self, Unauthenticated},
        quota,
        returns::MIN_DELAY,
        vouch::{Knowledge, vouch},
    },
    freshness::Trust,
    headers::{ACCOUNT, DETOUR, LAST_EVENT_ID, Names, RULE},
    neighbours::rates,
    view::View,
};

/// Points of the hash range over which a route's requests are split between its services.
const SPLIT_POINTS: u64 = 1 << 32;

/// Longest id by which a request can name another one.
const MAX_ID_BYTES: usize = 128;

/// A request to be served.
#[derive(Debug)]
pub struct Job {
    /// Head, as sent by the caller.
    pub head: Request,
    /// Body.
    pub body: Bytes,
    /// Request id, as given by the caller.
    pub id: String,
    /// What the request says of an earlier attempt whose stream it continues.
    pub continuation: Continuation,
    /// Service that serves the request.
    pub service: id::Service,
    /// When the head was complete.
    pub arrived: Instant,
    /// When the final answer is due.
    pub deadline: Instant,
    /// Time for which the caller waits, over all its attempts.
    pub patience: Duration,
    /// Whether another instance forwarded the request; if so, it is served here or not at all.
    pub is_passed_on: bool,
    /// Whether a neighbour forwarded the request because it does not reach the targets; if so, it is
    /// sent to a target from here or not at all.
    pub is_detoured: bool,
    /// Prompt, as described by the request's headers.
    pub prompt: Prompt,
    /// What is known of the promise of room for the request.
    pub promise: Cell<Return>,
    /// Whether the configuration may be relied on for repeats of the request.
    pub may_repeat: bool,
    configuration: Arc<Configuration>,
    /// Indexes of the route, the service and the account in the table.
    route: usize,
    service_entry: usize,
    account: Option<usize>,
    model: String,
    subjects: OnceCell<Subjects>,
    /// Whether the request was counted as one that found no room in this region.
    pub is_need_counted: Cell<bool>,
}

/// What a request says of the stream that it continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Continuation {
    /// It begins.
    None,
    /// It continues the stream whose first event the request with this id brought.
    Of(String),
    /// It continues a stream and doesn't name that request, or not by one usable id.
    Unnamed,
}

/// Charge of a request against a client account's quota.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// Account to charge.
    pub account: quota::Key,
    /// Quota of the account.
    pub quota: Quota,
    /// Cost in units of the quota.
    pub cost: u64,
}

/// Description of a request's prompt.
#[derive(Debug, Default)]
pub struct Prompt {
    /// Ids and token counts of the parts, in order; the last part belongs to this request alone.
    pub parts: Vec<(String, u64)>,
    /// Ids of the parts as engines compare them, in order, also of those without a valid count.
    pub ids: Vec<String>,
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Tokens of the prompt plus the most tokens of the answer, if the request states both.
    pub total_tokens: Option<u64>,
}

/// A request's head, matched to its route before the body has arrived.
#[derive(Debug)]
pub struct Match {
    configuration: Arc<Configuration>,
    route: usize,
    account: Option<usize>,
    is_passed_on: bool,
    may_repeat: bool,
}

/// Whether what a view says may be relied on; read before the view.
#[derive(Debug, Clone, Copy)]
pub struct Trusts {
    /// Whether the configuration may be.
    pub configuration: Knowledge,
    /// Whether the keys of its accounts may be.
    pub keys: Trust,
}

impl Trusts {
    /// Everything may be relied on.
    pub const FRESH: Self = Self {
        configuration: Knowledge {
            trust: Trust::Fresh,
            is_heard: true,
        },
        keys: Trust::Fresh,
    };
}

impl Match {
    /// Finds the route and the client account of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no routes are known yet, if the host has none for the path, if the
    /// account is unknown, or if that can't be told by the configuration that is known.
    pub fn of_caller(view: &View, trusts: Trusts, head: &Request) -> Result<Self, Refusal> {
        let configuration = view.configuration.clone().ok_or(Refusal::Unconfigured)?;
        let table = configuration.table.as_ref().ok_or(Refusal::Unconfigured)?;
        let no_route = match trusts.configuration.trust {
            Trust::Fresh => Refusal::NoRoute,
            Trust::Unconfirmed | Trust::Stale => Refusal::Stale,
        };
        let route = table.route_index(head.host(), head.path());
        let route = route.ok_or(no_route)?;
        let route_entry = &table.routes[route];
        let account = identity::of_caller(table, route_entry, &head.headers, trusts.keys)?;
        let entry = account.and_then(|account| table.account(account));
        let may_repeat = vouch(trusts.configuration, route_entry, entry).ok_or(Refusal::Stale)?;
        Ok(Self {
            configuration,
            route,
            account,
            is_passed_on: false,
            may_repeat,
        })
    }

    /// Finds the route and the client account of a request that another instance has matched and
    /// forwarded. The request is handled by that instance's table: the caller's next request is too,
    /// and one that went back to an earlier table in between would be handled by two of them.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no routes are known yet, if that instance's table says something else
    /// of the request and isn't known here, if the host has no route for the path, or if the account
    /// is unknown.
    pub fn of_instance(view: &View, head: &Request) -> Result<Self, Refusal> {
        let in_force = view.configuration.as_ref().ok_or(Refusal::Unconfigured)?;
        let table = in_force.table.as_ref().ok_or(Refusal::Unconfigured)?;
        let matched = Self::by_instance(in_force, head);
        let rule = header_text(&head.headers, &RULE).and_then(|rule| rule.parse::<Rule>().ok());
        // An instance of an earlier version states none.
        let Some(rule) = rule else {
            return matched;
        };
        if matched
            .as_ref()
            .is_ok_and(|matched| rule.agrees(&matched.rule()))
        {
            return matched;
        }
        if table.number < rule.number {
            return Err(Refusal::Behind);
        }
        let replaced = view.replaced_table(rule.number);
        Self::by_instance(replaced.ok_or(Refusal::Mismatch)?, head)
    }

    fn by_instance(configuration: &Arc<Configuration>, head: &Request) -> Result<Self, Refusal> {
        let table = configuration.table.as_ref().ok_or(Refusal::Unconfigured)?;
        let route = table.route_index(head.host(), head.path());
        let route = route.ok_or(Refusal::NoRoute)?;
        let account = header_text(&head.headers, &ACCOUNT);
        let account = identity::of_instance(table, &table.routes[route], account)?;
        Ok(Self {
            configuration: Arc::clone(configuration),
            route,
            account,
            is_passed_on: true,
            may_repeat: true,
        })
    }

    fn rule(&self) -> Rule {
        let table = table(&self.configuration);
        let account = self.account.and_then(|account| table.account(account));
        Rule::new(table, &table.routes[self.route], account)
    }

    /// Creates the job of a request whose body has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoRoute`] if the route names no service of the table.
    pub fn job(
        self,
        names: &Names,
        head: Request,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Job, Refusal> {
        let id = header_text(&head.headers, &names.request_id)
            .unwrap_or_default()
            .to_owned();
        let table = self
            .configuration
            .table
            .as_ref()
            .ok_or(Refusal::Unconfigured)?;
        let route = table.routes.get(self.route).ok_or(Refusal::NoRoute)?;
        // Every instance picks the same service for the same request.
        // A stream goes on at the service that began it.
        let continuation = Continuation::read(&head.headers, names);
        let begun = match &continuation {
            Continuation::Of(id) if route.kind == Kind::Stream => id,
            _ => &id,
        };
        let point = rendezvous::weight(&route.name, begun) % SPLIT_POINTS;
        let service = route.service_at(point).ok_or(Refusal::NoRoute)?.clone();
        let is_same = |held: &Service| held.name == service;
        let service_entry = table.services.iter().position(is_same);
        let service_entry = service_entry.ok_or(Refusal::NoRoute)?;
        let requested = header_number(&head.headers, &names.deadline_ms).map(Duration::from_millis);
        let timeout = requested.map_or(route.timeout(), |requested| requested.min(route.timeout()));
        let prompt = Prompt::read(&head.headers, names);
        Ok(Job {
            continuation,
            id,
            service,
            arrived,
            deadline: arrived + timeout,
            patience: requested.unwrap_or(timeout),
            is_detoured: self.is_passed_on && head.headers.contains_key(DETOUR),
            is_passed_on: self.is_passed_on,
            may_repeat: self.may_repeat,
            prompt,
            promise: Cell::default(),
            configuration: self.configuration,
            route: self.route,
            account: self.account,
            service_entry,
            model: header_text(&head.headers, &names.model)
                .unwrap_or_default()
                .to_owned(),
            subjects: OnceCell::new(),
            is_need_counted: Cell::new(false),
            head,
            body,
        })
    }
}

impl Job {
    /// Returns the routing table by which the request was matched.
    pub fn table(&self) -> &Table {
        table(&self.configuration)
    }

    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.table().routes[self.route]
    }

    /// Returns whether the request may be sent again when its outcome is unknown.
    pub fn is_retryable(&self) -> bool {
        self.may_repeat && self.route().is_retryable()
    }

    /// Returns whether an interrupted stream may go on at another target.
    pub fn is_resumable(&self) -> bool {
        self.may_repeat && self.route().resumable
    }

    /// Returns the client account that made the request, if it needs one.
    pub fn account(&self) -> Option<&Account> {
        self.table().account(self.account?)
    }

    /// Returns the id of the request whose stream this one continues, if it names one.
    pub fn resumes(&self) -> Option<&str> {
        match &self.continuation {
            Continuation::Of(id) => Some(id),
            Continuation::None | Continuation::Unnamed => None,
        }
    }

    /// Returns the fingerprint that identifies repeats of this request.
    pub fn fingerprint(&self) -> Fingerprint {
        self.subjects().request()
    }

    /// Returns what the request is known by when a target crashes under it, computed on first use.
    pub fn subjects(&self) -> &Subjects {
        self.subjects.get_or_init(|| {
            let space = self.part_space();
            let host = self.head.host();
            let request = Fingerprint::of(space.account, host, &self.head.target, &self.body);
            Subjects::new(request, self.shared_parts())
        })
    }

    /// Returns the parts that the request shares with others, without a digest of its body.
    pub fn shared_parts(&self) -> Vec<Fingerprint> {
        shared_parts(self.part_space(), &self.prompt.ids)
    }

    /// Returns the id of the part of the prompt that has a fingerprint, if one has.
    pub fn part(&self, fingerprint: Fingerprint) -> Option<&str> {
        let mut ids = self.prompt.ids.iter().filter(|_| fingerprint.is_part());
        let space = self.part_space();
        let found = ids.find(|id| Fingerprint::of_part(space, id.as_bytes()) == fingerprint);
        found.map(String::as_str)
    }

    fn part_space(&self) -> PartSpace<'_> {
        PartSpace {
            service: &self.service,
            model: &self.model,
            account: self.account().map(|account| account.name.as_str()),
        }
    }

    /// Returns the request's charge against its account's quota, if it has one.
    pub fn charge(&self) -> Option<Charge> {
        let account = self.account()?;
        let quota = account.quota?;
        Some(Charge {
            account: quota::key(&account.name),
            cost: quota.cost(self.prompt.total_tokens),
            quota,
        })
    }

    /// Returns the request's priority: the account's, or else the route's.
    pub fn priority(&self) -> u8 {
        let priority = self.account().and_then(|account| account.priority);
        priority.unwrap_or(self.route().priority)
    }

    /// Returns whether the request may run in a region.
    pub fn permits(&self, region: &str) -> bool {
        let account = self.account();
        self.route().permits(region) && account.is_none_or(|account| account.permits(region))
    }

    /// Returns the service's entry in the routing table.
    pub fn service_entry(&self) -> &Service {
        &self.table().services[self.service_entry]
    }

    /// Returns the engine description of the service, if it has engines.
    pub fn engine(&self) -> Option<&Engine> {
        self.service_entry().engine.as_ref()
    }

    /// Returns the slots of the service's engines, if it has engines.
    pub fn engine_slots(&self) -> Option<u32> {
        Some(self.engine()?.slots)
    }

    /// Returns how the service's targets start.
    pub fn cold_start(&self) -> ColdStart {
        rates::cold_start(self.service_entry())
    }

    /// Returns what the routing table says of the request.
    pub fn rule(&self) -> Rule {
        Rule::new(self.table(), self.route(), self.account())
    }

    /// Returns the configuration revision by which the request was matched.
    pub fn revision(&self) -> id::Revision {
        self.configuration.revision
    }

    /// Returns whether the caller states less time than the route's timeout, as on its return.
    pub fn states_less_time(&self) -> bool {
        self.patience < self.route().timeout()
    }

    /// Returns whether so much of the route's timeout has passed that the caller may have been told to
    /// return.
    pub fn is_return(&self) -> bool {
        self.patience + MIN_DELAY <= self.route().timeout()
    }

    /// Returns the time left until the deadline.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the time left until the objective, within which an answer is worth most.
    pub fn objective(&self, now: Instant) -> Duration {
        let until = self.arrived + Duration::from_millis(self.route().objective_ms);
        until.min(self.deadline).saturating_duration_since(now)
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(&self) -> bool {
        self.route().kind == Kind::Stream
    }
}

/// Returns the routing table of a configuration that has one, or an empty one.
fn table(configuration: &Configuration) -> &Table {
    static EMPTY: std::sync::OnceLock<Table> = std::sync::OnceLock::new();
    let table = configuration.table.as_ref();
    table.unwrap_or_else(|| EMPTY.get_or_init(Table::default))
}

impl From<Unauthenticated> for Refusal {
    fn from(error: Unauthenticated) -> Self {
        match error {
            Unauthenticated::UnknownKey => Self::Unauthenticated,
            Unauthenticated::Unconfirmed => Self::Unconfigured,
            Unauthenticated::Stale => Self::Stale,
            Unauthenticated::Mismatch => Self::Mismatch,
        }
    }
}

impl Continuation {
    fn read(headers: &HeaderMap, names: &Names) -> Self {
        let has_last = headers
            .get(&LAST_EVENT_ID)
            .is_some_and(|last| !last.is_empty());
        let mut ids = headers.get_all(&names.resumes).iter();
        let (first, second) = (ids.next(), ids.next());
        if first.is_none() && !has_last {
            return Self::None;
        }
        let id = first.filter(|_| second.is_none());
        let id = id.map(|id| id.as_bytes().trim_ascii()).filter(|id| {
            (1..=MAX_ID_BYTES).contains(&id.len()) && id.iter().all(u8::is_ascii_graphic)
        });
        let id = id.and_then(|id| std::str::from_utf8(id).ok());
        id.map_or(Self::Unnamed, |id| Self::Of(id.to_owned()))
    }
}

impl Prompt {
    fn read(headers: &HeaderMap, names: &Names) -> Self {
        let fields = headers.get_all(&names.prompt_parts).iter();
        let fields = fields.filter_map(|field| field.to_str().ok());
        let ids = fields.flat_map(|field| field.split(',')).map(|part| {
            let id = part.split(':').next().unwrap_or_default();
            id.trim().to_ascii_lowercase()
        });
        let ids = ids.filter(|id| !id.is_empty()).collect();
        let parts = header_text(headers, &names.prompt_parts).unwrap_or_default();
        let parts = parts.split(',').filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some((id.to_owned(), tokens.trim().parse().ok()?))
        });
        let parts: Vec<(String, u64)> = parts.collect();
        let tokens = header_text(headers, &names.tokens).unwrap_or_default();
        let mut tokens = tokens
            .split(',')
            .map(|count| count.trim().parse::<u64>().ok());
        let (prompt, answer) = (tokens.next().flatten(), tokens.next().flatten());
        let sum = parts.iter().map(|(_, tokens)| tokens).sum();
        Self {
            tokens: prompt.unwrap_or(sum),
            total_tokens: prompt
                .zip(answer)
                .map(|(prompt, answer)| prompt.saturating_add(answer)),
            ids,
            parts,
        }
    }

    /// Returns the ids of the parts that other requests may share.
    pub fn shared(&self) -> impl Iterator<Item = &str> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared).map(|(id, _)| id.as_str())
    }
}

/// Returns a header field as text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header field as a number.
pub fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.trim().parse().ok()
}
