//! The operator service, with one short function per call.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use actix::{Addr, MailboxError};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, metadata::MetadataValue};
use zinniastall_api::{
    metadata,
    operator::{self as api, operator_server::Operator},
};
use zinniastall_coord::{rate::Rate, voters};
use zinniastall_model::{change::Body, change::Change, id};
use zinniastall_settings::metrics::{Recorder, Registry};
use zinniastall_wire::{feed::Feed, hello::Hello};

use super::{convert, histograms, watch as watches};
use crate::control::{
    Bootstrap, BootstrapError, Control, Health, Inspect, NotLeader, Read, Reconfigure, Reply, View,
    Write,
};
use crate::{limits::Board, reach};

/// Longest time that an operator may wait for confirmations.
const MAX_WAIT: Duration = Duration::from_mins(10);

/// The operator service.
#[derive(Debug, Clone)]
pub struct Operators {
    control: Addr<Control>,
    feed: watch::Receiver<Feed>,
    metrics: Registry,
    recorder: Recorder,
    hello: Hello,
    watches: Arc<Semaphore>,
    limits: Board,
    reach: reach::Board,
}

type Answer<T> = Result<Response<T>, Status>;

impl Operators {
    /// Creates the service; at most `watches` watches may be open at once.
    pub fn new(
        control: Addr<Control>,
        feed: watch::Receiver<Feed>,
        metrics: Registry,
        hello: Hello,
        watches: usize,
    ) -> Self {
        Self {
            control,
            feed,
            recorder: metrics.recorder(),
            metrics,
            hello,
            watches: Arc::new(Semaphore::new(watches)),
            limits: Board::default(),
            reach: reach::Board::default(),
        }
    }

    /// Sets the rates that targets name, as instances report them.
    #[must_use]
    pub fn limits(mut self, limits: Board) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the targets that instances don't reach, as they report them.
    #[must_use]
    pub fn reach(mut self, reach: reach::Board) -> Self {
        self.reach = reach;
        self
    }

    async fn write(&self, change: Change, wait_ms: u64) -> Answer<api::ChangeResponse> {
        let start = Instant::now();
        let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
        let operator = change.origin.as_ref().map(|origin| origin.operator.clone());
        let deferred = self.control.send(Write { change, wait }).await;
        let reply = deferred
            .map_err(mailbox_closed)?
            .await
            .unwrap_or(Reply::Unknown);
        self.recorder
            .time("write", &operator.unwrap_or_default(), "", start.elapsed());
        Ok(Response::new(convert::response(reply)))
    }

    /// Writes a change whose effect does not depend on how often it is sent.
    async fn write_idempotent(&self, body: Body) -> Answer<api::ChangeResponse> {
        let change = Change {
            origin: None,
            expected: None,
            body,
        };
        self.write(change, 0).await
    }

    async fn read(&self, revision: id::Revision) -> Result<View, Status> {
        let deferred = self
            .control
            .send(Read { revision })
            .await
            .map_err(mailbox_closed)?;
        deferred
            .await
            .map_err(reply_dropped)?
            .map_err(|error| not_leader_status(&error))
    }
}

#[tonic::async_trait]
impl Operator for Operators {
    async fn bootstrap(&self, _: Request<api::BootstrapRequest>) -> Answer<api::BootstrapResponse> {
        let deferred = self.control.send(Bootstrap).await.map_err(mailbox_closed)?;
        let founded = deferred
            .await
            .map_err(reply_dropped)?
            .map_err(|error| bootstrap_status(&error))?;
        Ok(Response::new(api::BootstrapResponse {
            cluster: founded.cluster,
            replica: founded.replica,
        }))
    }

    async fn apply(&self, request: Request<api::ApplyRequest>) -> Answer<api::ChangeResponse> {
        let request = request.into_inner();
        let object = convert::object(request.object)?;
        let change = convert::change(request.command, Body::Apply(object))?;
        self.write(change, request.wait_ms).await
    }

    async fn delete(&self, request: Request<api::DeleteRequest>) -> Answer<api::ChangeResponse> {
        let request = request.into_inner();
        let key = convert::key(request.kind, request.id)?;
        let change = convert::change(request.command, Body::Delete(key))?;
        self.write(change, request.wait_ms).await
    }

    async fn get(&self, request: Request<api::GetRequest>) -> Answer<api::Record> {
        let request = request.into_inner();
        let key = convert::key(request.kind, request.id)?;
        let state = self.read(0).await?.state;
        match state.objects.get(&key) {
            Some(record) => Ok(Response::new(convert::record(record))),
            None => Err(not_found_status(&state, &key)),
        }
    }

    async fn list(&self, request: Request<api::ListRequest>) -> Answer<api::ListResponse> {
        let kind = convert::kind(request.into_inner().kind)?;
        let state = self.read(0).await?.state;
        let of_kind = state.objects.iter().filter(|(key, _)| key.kind == kind);
        Ok(Response::new(api::ListResponse {
            revision: state.revision,
            records: of_kind.map(|(_, record)| convert::record(record)).collect(),
        }))
    }

    type WatchStream = ReceiverStream<Result<api::Event, Status>>;

    async fn watch(&self, request: Request<api::WatchRequest>) -> Answer<Self::WatchStream> {
        let request = request.into_inner();
        let kinds: Result<_, _> = request.kinds.into_iter().map(convert::kind).collect();
        let permit = Arc::clone(&self.watches).try_acquire_owned();
        let permit = permit.map_err(|_| Status::resource_exhausted("too many watches are open"))?;
        let events = watches::start(self.feed.clone(), kinds?, request.after, permit);
        Ok(Response::new(ReceiverStream::new(events)))
    }

    async fn change(&self, request: Request<api::ChangeRequest>) -> Answer<api::ChangeStatus> {
        let revision = request.into_inner().revision;
        let view = self.read(revision).await?;
        if revision == 0 || revision > view.state.revision {
            return Err(Status::not_found(format!(
                "no change made revision {revision}"
            )));
        }
        Ok(Response::new(api::ChangeStatus {
            revision,
            outcome: convert::acceptance(view.narrows, &view.waiting).into(),
            waiting: view.waiting,
        }))
    }

    async fn status(&self, _: Request<api::StatusRequest>) -> Answer<api::SystemStatus> {
        let deferred = self.control.send(Health).await.map_err(mailbox_closed)?;
        let status = deferred
            .await
            .map_err(|_| Status::unavailable("the replica stops"))?;
        Ok(Response::new(status))
    }

    async fn instance(
        &self,
        request: Request<api::InstanceRequest>,
    ) -> Answer<api::InstanceStatus> {
        let instance = request.into_inner().instance;
        let status = self
            .control
            .send(Inspect(instance))
            .await
            .map_err(mailbox_closed)?;
        let status = status.ok_or_else(|| Status::not_found("no such instance"))?;
        Ok(Response::new(status))
    }

    async fn histograms(
        &self,
        request: Request<api::HistogramsRequest>,
    ) -> Answer<api::HistogramsResponse> {
        let instance = request.into_inner().instance;
        if instance.is_empty() {
            let rows = self.metrics.report().into_iter();
            let histograms = rows.map(histograms::from_row).collect();
            return Ok(Response::new(api::HistogramsResponse { histograms }));
        }
        let state = Arc::clone(self.feed.borrow().state());
        let member = state.members.get(&instance);
        let member = member.ok_or_else(|| Status::not_found("no such instance"))?;
        let histograms = histograms::fetch(&member.links, &self.hello).await?;
        Ok(Response::new(api::HistogramsResponse { histograms }))
    }

    async fn replica(&self, request: Request<api::ReplicaRequest>) -> Answer<api::ChangeResponse> {
        let request = request.into_inner();
        let id = convert::replica(&request.replica)?;
        let change = match request.step() {
            api::Step::Admit if request.address.is_empty() => {
                return Err(convert::Error::Missing("address").into());
            }
            api::Step::Admit => voters::Change::Admit {
                id,
                address: request.address,
            },
            api::Step::Promote => voters::Change::Promote { id },
            api::Step::Remove => voters::Change::Remove { id },
            api::Step::Unspecified => return Err(convert::Error::Missing("step").into()),
        };
        let deferred = self
            .control
            .send(Reconfigure(change))
            .await
            .map_err(mailbox_closed)?;
        let reply = deferred.await.unwrap_or(Reply::Unknown);
        Ok(Response::new(convert::response(reply)))
    }

    async fn retire(&self, request: Request<api::RetireRequest>) -> Answer<api::ChangeResponse> {
        let request = request.into_inner();
        let command = request.command.ok_or(convert::Error::Missing("command"))?;
        let change = convert::unconditional(command, Body::Retire(request.instance));
        self.write(change, 0).await
    }

    async fn publish(&self, request: Request<api::PublishRequest>) -> Answer<api::ChangeResponse> {
        let publication = convert::published(request.into_inner().table)?;
        self.write_idempotent(Body::Publish(Box::new(publication)))
            .await
    }

    async fn routing(&self, _: Request<api::RoutingRequest>) -> Answer<api::RoutingResponse> {
        let state = self.read(0).await?.state;
        Ok(Response::new(convert::routing(&state)))
    }

    async fn evacuate(
        &self,
        request: Request<api::EvacuateRequest>,
    ) -> Answer<api::ChangeResponse> {
        let request = request.into_inner();
        if request.zone.is_empty() {
            return Err(convert::Error::Missing("zone").into());
        }
        let body = if request.reopen {
            Body::Reopen(request.zone)
        } else {
            Body::Evacuate(request.zone)
        };
        self.write_idempotent(body).await
    }

    async fn quarantine(
        &self,
        _: Request<api::QuarantineRequest>,
    ) -> Answer<api::QuarantineResponse> {
        let state = self.read(0).await?.state;
        Ok(Response::new(api::QuarantineResponse {
            revision: state.revision,
            requests: state
                .quarantined()
                .map(|request| request.to_string())
                .collect(),
        }))
    }

    async fn release(&self, request: Request<api::ReleaseRequest>) -> Answer<api::ChangeResponse> {
        let request = request.into_inner().request;
        let request = request
            .parse()
            .map_err(|_| convert::Error::Malformed("request"))?;
        self.write_idempotent(Body::Release(request)).await
    }

    async fn reach(&self, _: Request<api::ReachRequest>) -> Answer<api::ReachResponse> {
        let unreached = |held: zinniastall_wire::reach::Unreached| api::UnreachedTarget {
            target: held.target,
            since_ms: held.since_ms,
            vouchers: held.vouchers,
        };
        let paused = |held: zinniastall_wire::reach::Paused| api::PausedTarget {
            target: held.target,
            left_ms: held.left_ms,
        };
        let reports = self.reach.reports(Instant::now()).into_iter();
        let instances = reports.map(|held| api::InstanceReach {
            instance: held.instance,
            unreached: held.unreached.into_iter().map(unreached).collect(),
            paused: held.paused.into_iter().map(paused).collect(),
        });
        Ok(Response::new(api::ReachResponse {
            instances: instances.collect(),
        }))
    }

    async fn limits(&self, _: Request<api::LimitsRequest>) -> Answer<api::LimitsResponse> {
        let named = self.limits.named(Instant::now()).into_iter();
        let limit = |(target, rate, age): (id::Target, Rate, Duration)| api::TargetLimit {
            target,
            rate: rate.as_f64(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        Ok(Response::new(api::LimitsResponse {
            targets: named.map(limit).collect(),
        }))
    }
}

fn mailbox_closed(_: MailboxError) -> Status {
    Status::unavailable("the instance is stopping")
}

fn reply_dropped(_: oneshot::error::RecvError) -> Status {
    Status::unavailable("the instance is stopping")
}

fn bootstrap_status(error: &BootstrapError) -> Status {
    match error {
        BootstrapError::PeerUnreachable { .. } | BootstrapError::InProgress => {
            Status::unavailable(error.to_string())
        }
        BootstrapError::AlreadyMember | BootstrapError::PeerHasCluster(_) => {
            Status::already_exists(error.to_string())
        }
        BootstrapError::Disk(_) => Status::internal(error.to_string()),
    }
}

/// Reports that an object does not exist, with the revision that a command creating it has to
/// expect.
fn not_found_status(
    state: &zinniastall_model::state::State,
    key: &zinniastall_model::object::Key,
) -> Status {
    let mut status = Status::not_found("no such object");
    let current = state.current_revision(key);
    status
        .metadata_mut()
        .insert(metadata::CURRENT_REVISION, current.into());
    status
}

fn not_leader_status(error: &NotLeader) -> Status {
    let mut status = Status::failed_precondition(error.to_string());
    let leader = error.leader.as_deref().map(MetadataValue::try_from);
    if let Some(Ok(leader)) = leader {
        status.metadata_mut().insert(metadata::LEADER, leader);
    }
    status
}
