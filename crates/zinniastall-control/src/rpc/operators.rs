//! The service: one short function a call.

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
use zinniastall_coord::voters;
use zinniastall_model::{change::Body, change::Change, id};
use zinniastall_settings::metrics::{Recorder, Registry};
use zinniastall_wire::{feed::Feed, hello::Hello};

use super::{ask, convert, watch as watches};
use crate::control::{
    Bootstrap, Control, Health, Inspect, Look, NotLeader, Read, Refused, Regroup, Reply, Write,
};

/// Longest time an operator may wait for confirmations.
const LONGEST_WAIT: Duration = Duration::from_mins(10);

/// The operators' service.
#[derive(Debug, Clone)]
pub struct Operators {
    control: Addr<Control>,
    feed: watch::Receiver<Feed>,
    metrics: Registry,
    recorder: Recorder,
    hello: Hello,
    watches: Arc<Semaphore>,
}

type Answer<T> = Result<Response<T>, Status>;

impl Operators {
    /// Creates the service; at most a number of watches are open at once.
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
        }
    }

    async fn write(&self, change: Change, wait_ms: u64) -> Answer<api::ChangeResponse> {
        let start = Instant::now();
        let wait = Duration::from_millis(wait_ms).min(LONGEST_WAIT);
        let operator = change.origin.as_ref().map(|origin| origin.operator.clone());
        let later = self.control.send(Write { change, wait }).await;
        let reply = later.map_err(gone)?.await.unwrap_or(Reply::Unknown);
        self.recorder
            .time("write", &operator.unwrap_or_default(), "", start.elapsed());
        Ok(Response::new(convert::response(reply)))
    }

    /// Writes a change that does the same however often it is sent.
    async fn order(&self, body: Body) -> Answer<api::ChangeResponse> {
        let change = Change {
            origin: None,
            expected: None,
            body,
        };
        self.write(change, 0).await
    }

    async fn read(&self, revision: id::Revision) -> Result<Look, Status> {
        let later = self.control.send(Read { revision }).await.map_err(gone)?;
        later
            .await
            .map_err(lost)?
            .map_err(|error| not_leader(&error))
    }
}

#[tonic::async_trait]
impl Operator for Operators {
    async fn bootstrap(&self, _: Request<api::BootstrapRequest>) -> Answer<api::BootstrapResponse> {
        let later = self.control.send(Bootstrap).await.map_err(gone)?;
        let founded = later
            .await
            .map_err(lost)?
            .map_err(|error| refused(&error))?;
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
            None => Err(absent(&state, &key)),
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
        let place = Arc::clone(&self.watches).try_acquire_owned();
        let place = place.map_err(|_| Status::resource_exhausted("too many watches are open"))?;
        let events = watches::start(self.feed.clone(), kinds?, request.after, place);
        Ok(Response::new(ReceiverStream::new(events)))
    }

    async fn change(&self, request: Request<api::ChangeRequest>) -> Answer<api::ChangeStatus> {
        let revision = request.into_inner().revision;
        let look = self.read(revision).await?;
        if revision == 0 || revision > look.state.revision {
            return Err(Status::not_found(format!(
                "no change made revision {revision}"
            )));
        }
        Ok(Response::new(api::ChangeStatus {
            revision,
            outcome: convert::acceptance(look.narrows, &look.waiting).into(),
            waiting: look.waiting,
        }))
    }

    async fn status(&self, _: Request<api::StatusRequest>) -> Answer<api::SystemStatus> {
        let later = self.control.send(Health).await.map_err(gone)?;
        let status = later
            .await
            .map_err(|_| Status::unavailable("the replica stops"))?;
        Ok(Response::new(status))
    }

    async fn instance(
        &self,
        request: Request<api::InstanceRequest>,
    ) -> Answer<api::InstanceStatus> {
        let instance = request.into_inner().instance;
        let status = self.control.send(Inspect(instance)).await.map_err(gone)?;
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
            let histograms = rows.map(ask::of_row).collect();
            return Ok(Response::new(api::HistogramsResponse { histograms }));
        }
        let state = Arc::clone(self.feed.borrow().state());
        let member = state.members.get(&instance);
        let member = member.ok_or_else(|| Status::not_found("no such instance"))?;
        let histograms = ask::histograms(&member.links, &self.hello).await?;
        Ok(Response::new(api::HistogramsResponse { histograms }))
    }

    async fn replica(&self, request: Request<api::ReplicaRequest>) -> Answer<api::ChangeResponse> {
        let request = request.into_inner();
        let id = convert::replica(&request.replica)?;
        let change = match request.step() {
            api::Step::Admit if request.address.is_empty() => {
                return Err(convert::Fault::Missing("address").into());
            }
            api::Step::Admit => voters::Change::Admit {
                id,
                address: request.address,
            },
            api::Step::Promote => voters::Change::Promote { id },
            api::Step::Remove => voters::Change::Remove { id },
            api::Step::Unspecified => return Err(convert::Fault::Missing("step").into()),
        };
        let later = self.control.send(Regroup(change)).await.map_err(gone)?;
        let reply = later.await.unwrap_or(Reply::Unknown);
        Ok(Response::new(convert::response(reply)))
    }

    async fn retire(&self, request: Request<api::RetireRequest>) -> Answer<api::ChangeResponse> {
        let request = request.into_inner();
        let command = request.command.ok_or(convert::Fault::Missing("command"))?;
        let change = convert::unchecked(command, Body::Retire(request.instance));
        self.write(change, 0).await
    }

    async fn publish(&self, request: Request<api::PublishRequest>) -> Answer<api::ChangeResponse> {
        let publication = convert::published(request.into_inner().table)?;
        self.order(Body::Publish(Box::new(publication))).await
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
            return Err(convert::Fault::Missing("zone").into());
        }
        let body = if request.reopen {
            Body::Reopen(request.zone)
        } else {
            Body::Evacuate(request.zone)
        };
        self.order(body).await
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
            .map_err(|_| convert::Fault::Malformed("request"))?;
        self.order(Body::Release(request)).await
    }
}

fn gone(_: MailboxError) -> Status {
    Status::unavailable("the instance is stopping")
}

fn lost(_: oneshot::error::RecvError) -> Status {
    Status::unavailable("the instance is stopping")
}

fn refused(refused: &Refused) -> Status {
    match refused {
        Refused::Silent { .. } | Refused::Busy => Status::unavailable(refused.to_string()),
        Refused::Belongs | Refused::Exists(_) => Status::already_exists(refused.to_string()),
        Refused::Disk(_) => Status::internal(refused.to_string()),
    }
}

/// Says that an object is absent, and against which revision its creation would be checked.
fn absent(state: &zinniastall_model::state::State, key: &zinniastall_model::object::Key) -> Status {
    let mut status = Status::not_found("no such object");
    let current = state.current(key);
    status
        .metadata_mut()
        .insert(metadata::CURRENT, current.into());
    status
}

fn not_leader(not: &NotLeader) -> Status {
    let mut status = Status::failed_precondition(not.to_string());
    let leader = not.leader.as_deref().map(MetadataValue::try_from);
    if let Some(Ok(leader)) = leader {
        status.metadata_mut().insert(metadata::LEADER, leader);
    }
    status
}
