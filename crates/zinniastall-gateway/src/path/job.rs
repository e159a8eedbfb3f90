//! A request, judged: its route, its service, its time.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use zinniastall_http::head::Request;
use zinniastall_model::{
    id,
    routing::{Engine, Kind, Route, Service, Table},
};
use zinniastall_wire::hub::Configuration;

use super::answer::Refusal;
use crate::{names::Names, view::View};

/// Requests of one route are spread over its services by this many points.
const POINTS: u64 = 1 << 32;

/// A request that is to be served.
#[derive(Debug)]
pub struct Job {
    /// Head, as the caller sent it.
    pub head: Request,
    /// Body.
    pub body: Bytes,
    /// Id, as the caller gave it.
    pub id: String,
    /// Service that serves it.
    pub service: id::Service,
    /// When its head was whole.
    pub arrived: Instant,
    /// When it has to have its final answer.
    pub deadline: Instant,
    /// Whether another instance passed it on; it is served here or not at all then.
    pub is_passed_on: bool,
    /// Prompt.
    pub prompt: Prompt,
    configuration: Arc<Configuration>,
    /// Places of its route and its service in the table.
    route: usize,
    served: usize,
}

/// What a request says of its prompt.
#[derive(Debug, Default)]
pub struct Prompt {
    /// Parts in order with their tokens; the last one is the request's own.
    pub parts: Vec<(String, u64)>,
    /// Tokens of the whole prompt.
    pub tokens: u64,
}

/// A request's head, judged before its body has arrived.
#[derive(Debug)]
pub struct Judged {
    configuration: Arc<Configuration>,
    route: usize,
    is_passed_on: bool,
}

impl Judged {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when nothing is known of routes yet, or the host has none for the path.
    pub fn new(view: &View, head: &Request, forwarded: bool) -> Result<Self, Refusal> {
        let configuration = view.configuration.clone().ok_or(Refusal::Unconfigured)?;
        let table = configuration.table.as_ref().ok_or(Refusal::Unconfigured)?;
        let route = table.position(head.host(), head.path());
        let route = route.ok_or(Refusal::Unknown)?;
        Ok(Self {
            configuration,
            route,
            is_passed_on: forwarded,
        })
    }

    /// Makes the job of a request whose body has arrived.
    ///
    /// # Errors
    ///
    /// [`Refusal::Unknown`] when the route names no service of the table.
    pub fn job(
        self,
        names: &Names,
        head: Request,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Job, Refusal> {
        let id = text(&head.headers, &names.request_id)
            .unwrap_or_default()
            .to_owned();
        let table = self
            .configuration
            .table
            .as_ref()
            .ok_or(Refusal::Unconfigured)?;
        let route = table.routes.get(self.route).ok_or(Refusal::Unknown)?;
        // Every instance comes to the same service for the same request.
        let point = crate::decide::warm::weight(&route.name, &id) % POINTS;
        let service = route.service_at(point).ok_or(Refusal::Unknown)?.clone();
        let is_its = |held: &Service| held.name == service;
        let served = table.services.iter().position(is_its);
        let served = served.ok_or(Refusal::Unknown)?;
        let asked = number(&head.headers, &names.deadline_ms).map(Duration::from_millis);
        let time = asked.map_or(route.timeout(), |asked| asked.min(route.timeout()));
        let prompt = Prompt::read(&head.headers, names);
        Ok(Job {
            id,
            service,
            arrived,
            deadline: arrived + time,
            is_passed_on: self.is_passed_on,
            prompt,
            configuration: self.configuration,
            route: self.route,
            served,
            head,
            body,
        })
    }
}

impl Job {
    /// Returns the routing table by which the request was judged.
    pub fn table(&self) -> &Table {
        static EMPTY: std::sync::OnceLock<Table> = std::sync::OnceLock::new();
        let table = self.configuration.table.as_ref();
        table.unwrap_or_else(|| EMPTY.get_or_init(Table::default))
    }

    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.table().routes[self.route]
    }

    /// Returns what operators state of the service.
    pub fn served(&self) -> &Service {
        &self.table().services[self.served]
    }

    /// Returns what the service's engines can do, if it has engines.
    pub fn engine(&self) -> Option<&Engine> {
        self.served().engine.as_ref()
    }

    /// Returns the slots of the service's engines, if it has engines.
    pub fn engine_slots(&self) -> Option<u32> {
        Some(self.engine()?.slots)
    }

    /// Returns the requests a second that a cold target bears, in thousandths; 0 for no bound.
    pub fn cold_rate(&self) -> u64 {
        self.served().cold_rate_milli
    }

    /// Returns the revision by which the request was judged.
    pub fn revision(&self) -> id::Revision {
        self.configuration.revision
    }

    /// Returns the time that is left.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns what is left of the time within which an answer is worth most.
    pub fn objective(&self, now: Instant) -> Duration {
        let until = self.arrived + Duration::from_millis(self.route().objective_ms);
        until.min(self.deadline).saturating_duration_since(now)
    }

    /// Tells whether the answer is a series of events.
    pub fn is_stream(&self) -> bool {
        self.route().kind == Kind::Stream
    }
}

impl Prompt {
    fn read(headers: &HeaderMap, names: &Names) -> Self {
        let parts = text(headers, &names.prompt_parts).unwrap_or_default();
        let parts = parts.split(',').filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some((id.to_owned(), tokens.trim().parse().ok()?))
        });
        let parts: Vec<(String, u64)> = parts.collect();
        let said = text(headers, &names.tokens).and_then(|tokens| tokens.split(',').next());
        let said = said.and_then(|tokens| tokens.trim().parse().ok());
        let sum = parts.iter().map(|(_, tokens)| tokens).sum();
        Self {
            tokens: said.unwrap_or(sum),
            parts,
        }
    }

    /// Returns the ids of the parts that other requests may share.
    pub fn shared(&self) -> impl Iterator<Item = &str> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared).map(|(id, _)| id.as_str())
    }
}

/// Returns a field as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a field as a number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
