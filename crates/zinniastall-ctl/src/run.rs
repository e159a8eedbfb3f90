//! Performs one call and prints its answer.

use std::time::Duration;

use serde::Serialize;
use tonic::{Code, Status, Streaming};
use zinniastall_api::{
    metadata,
    operator::{
        ApplyRequest, BootstrapRequest, ChangeRequest, ChangeResponse, Command, DeleteRequest,
        EvacuateRequest, Event, GetRequest, HistogramsRequest, InstanceRequest, Kind,
        LimitsRequest, ListRequest, Object, PublishRequest, QuarantineRequest, ReachRequest,
        ReleaseRequest, ReplicaRequest, RetireRequest, RoutingRequest, StatusRequest, SystemStatus,
        WatchRequest, object,
    },
};

use crate::{
    call::{Call, Invocation, Replica, Watch},
    exit,
    group::{Answer, Client, Error, Group},
};

/// Performs the call of an invocation and prints its answer.
pub fn run(invocation: &Invocation) -> exit::Status {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("zinniastall-ctl: {error}");
            return exit::Status::Failed;
        }
    };
    match runtime.block_on(dispatch(invocation)) {
        Ok(status) => status,
        Err(error) => report_error(invocation, &error),
    }
}

fn report_error(invocation: &Invocation, error: &Error) -> exit::Status {
    eprintln!("zinniastall-ctl: {error}");
    let writes = matches!(
        invocation.call,
        Call::Apply(_)
            | Call::Delete(..)
            | Call::Retire(_)
            | Call::Replica(_)
            | Call::Publish(_)
            | Call::Evacuate { .. }
            | Call::Release(_)
    );
    match error {
        Error::Refused(status) if status.code() == Code::InvalidArgument => exit::Status::Invalid,
        Error::Unreachable { sent: true, .. } if writes => {
            eprintln!(
                "zinniastall-ctl: outcome unknown; resend with --command {}",
                invocation.command.id
            );
            exit::Status::Unknown
        }
        _ => exit::Status::Failed,
    }
}

async fn dispatch(invocation: &Invocation) -> Result<exit::Status, Error> {
    let wait = Duration::from_millis(invocation.wait_ms);
    let group = Group::new(invocation.addresses.clone(), invocation.timeout, wait);
    match &invocation.call {
        Call::Bootstrap => bootstrap(&group).await,
        Call::Apply(object) => apply(&group, invocation, object).await,
        Call::Delete(kind, id) => delete(&group, invocation, *kind, id).await,
        Call::Get(kind, id) => {
            let request = get_request(*kind, id);
            let call = async |mut client: Client| client.get(request.clone()).await;
            Ok(print_answer(&group.call(unwrapped(call)).await?))
        }
        Call::List(kind) => {
            let kind = i32::from(*kind);
            let call = async |mut client: Client| client.list(ListRequest { kind }).await;
            Ok(print_answer(&group.call(unwrapped(call)).await?))
        }
        Call::Watch(watch) => follow(&group, watch).await,
        Call::Status { local } => status(&group, *local).await,
        Call::Instance(instance) => {
            let call = async |mut client: Client| {
                let instance = instance.clone();
                client.instance(InstanceRequest { instance }).await
            };
            Ok(print_answer(&group.call(unwrapped(call)).await?))
        }
        Call::Change(revision) => {
            let revision = *revision;
            let call = async |mut client: Client| client.change(ChangeRequest { revision }).await;
            let status = group.call(unwrapped(call)).await?;
            let exit = status.outcome().into();
            print(&status);
            Ok(exit)
        }
        Call::Histograms(instance) => {
            let call = async |mut client: Client| {
                let instance = instance.clone();
                client.histograms(HistogramsRequest { instance }).await
            };
            Ok(print_answer(&group.call(unwrapped(call)).await?))
        }
        Call::Replica(replica) => change_replica(&group, invocation, replica).await,
        Call::Retire(instance) => {
            let request = RetireRequest {
                command: Some(invocation.command.clone()),
                instance: instance.clone(),
            };
            let call = async |mut client: Client| client.retire(request.clone()).await;
            Ok(print_change(
                invocation,
                &group.call(unwrapped(call)).await?,
            ))
        }
        Call::Publish(table) => {
            let request = PublishRequest {
                table: Some(table.clone()),
            };
            let call = async |mut client: Client| client.publish(request.clone()).await;
            Ok(print_change(
                invocation,
                &group.call(unwrapped(call)).await?,
            ))
        }
        Call::Routing => {
            let call = async |mut client: Client| client.routing(RoutingRequest {}).await;
            Ok(print_answer(&group.call(unwrapped(call)).await?))
        }
        Call::Evacuate { zone, reopen } => {
            let request = EvacuateRequest {
                zone: zone.clone(),
                reopen: *reopen,
            };
            let call = async |mut client: Client| client.evacuate(request.clone()).await;
            Ok(print_change(
                invocation,
                &group.call(unwrapped(call)).await?,
            ))
        }
        Call::Quarantine => {
            let call = async |mut client: Client| client.quarantine(QuarantineRequest {}).await;
            Ok(print_answer(&group.call(unwrapped(call)).await?))
        }
        Call::Limits => limits(&group).await,
        Call::Reach => reach(&group).await,
        Call::Release(request) => {
            let call = async |mut client: Client| {
                let request = request.clone();
                client.release(ReleaseRequest { request }).await
            };
            Ok(print_change(
                invocation,
                &group.call(unwrapped(call)).await?,
            ))
        }
    }
}

/// Adapts a call so that it returns the message of its response, without the metadata.
fn unwrapped<T>(
    call: impl AsyncFn(Client) -> Result<tonic::Response<T>, Status>,
) -> impl AsyncFn(Client) -> Result<T, Status> {
    async move |client| call(client).await.map(tonic::Response::into_inner)
}

async fn limits(group: &Group) -> Result<exit::Status, Error> {
    let call = async |mut client: Client| client.limits(LimitsRequest {}).await;
    Ok(print_answer(&group.call(unwrapped(call)).await?))
}

async fn reach(group: &Group) -> Result<exit::Status, Error> {
    let call = async |mut client: Client| client.reach(ReachRequest {}).await;
    Ok(print_answer(&group.call(unwrapped(call)).await?))
}

async fn bootstrap(group: &Group) -> Result<exit::Status, Error> {
    let call = async |mut client: Client| client.bootstrap(BootstrapRequest {}).await;
    Ok(print_answer(&group.call(unwrapped(call)).await?))
}

async fn apply(
    group: &Group,
    invocation: &Invocation,
    object: &Object,
) -> Result<exit::Status, Error> {
    let command = match object_key(object) {
        Some((kind, id)) => fill_expected(group, &invocation.command, kind, id).await?,
        None => invocation.command.clone(),
    };
    let request = ApplyRequest {
        command: Some(command),
        object: Some(object.clone()),
        wait_ms: invocation.wait_ms,
    };
    let call = async |mut client: Client| client.apply(request.clone()).await;
    Ok(print_change(
        invocation,
        &group.call(unwrapped(call)).await?,
    ))
}

async fn delete(
    group: &Group,
    invocation: &Invocation,
    kind: Kind,
    id: &str,
) -> Result<exit::Status, Error> {
    let request = DeleteRequest {
        command: Some(fill_expected(group, &invocation.command, kind, id).await?),
        kind: kind.into(),
        id: id.to_owned(),
        wait_ms: invocation.wait_ms,
    };
    let call = async |mut client: Client| client.delete(request.clone()).await;
    Ok(print_change(
        invocation,
        &group.call(unwrapped(call)).await?,
    ))
}

async fn change_replica(
    group: &Group,
    invocation: &Invocation,
    replica: &Replica,
) -> Result<exit::Status, Error> {
    let request = ReplicaRequest {
        command: Some(invocation.command.clone()),
        step: replica.step.into(),
        replica: replica.id.clone(),
        address: replica.address.clone(),
    };
    let call = async |mut client: Client| client.replica(request.clone()).await;
    Ok(print_change(
        invocation,
        &group.call(unwrapped(call)).await?,
    ))
}

/// Fills in the object's current revision if no expected revision is given.
///
/// This is safe only because the command id is new in this invocation: a retry carries the revision
/// that was read before the first attempt.
async fn fill_expected(
    group: &Group,
    command: &Command,
    kind: Kind,
    id: &str,
) -> Result<Command, Error> {
    if command.expected.is_some() {
        return Ok(command.clone());
    }
    let request = get_request(kind, id);
    let call = async |mut client: Client| client.get(request.clone()).await;
    let current = match group.call(unwrapped(call)).await {
        Ok(record) => record.revision,
        Err(Error::Refused(status)) if status.code() == Code::NotFound => absent_revision(&status),
        Err(error) => return Err(error),
    };
    Ok(Command {
        expected: Some(current),
        ..command.clone()
    })
}

fn absent_revision(status: &Status) -> u64 {
    let current = status.metadata().get(metadata::CURRENT_REVISION);
    let current = current.and_then(|current| current.to_str().ok()?.parse().ok());
    current.unwrap_or_default()
}

fn get_request(kind: Kind, id: &str) -> GetRequest {
    GetRequest {
        kind: kind.into(),
        id: id.to_owned(),
    }
}

fn object_key(object: &Object) -> Option<(Kind, &str)> {
    use object::Object as Api;
    Some(match object.object.as_ref()? {
        Api::Client(client) => (Kind::Client, &client.id),
        Api::Route(route) => (Kind::Route, &route.id),
        Api::Model(model) => (Kind::Model, &model.id),
        Api::Adapter(adapter) => (Kind::Adapter, &adapter.id),
        Api::Residency(rule) => (Kind::Residency, &rule.id),
        Api::Role(role) => (Kind::Role, &role.id),
    })
}

/// Prints the status as the leader sees it, or as the first replica that answers if `local` is set
/// or the leader cannot be reached.
async fn status(group: &Group, local: bool) -> Result<exit::Status, Error> {
    let call = async |mut client: Client| client.status(StatusRequest {}).await;
    let first = group.call(unwrapped(call)).await?;
    if local {
        return Ok(print_answer(&first));
    }
    let leader = [first.leader.clone()];
    let others = group.addresses().iter().chain(&leader);
    for address in others.filter(|address| !address.is_empty()) {
        let Some(mut client) = group.connect(address).await else {
            continue;
        };
        if let Ok(status) = client.status(StatusRequest {}).await {
            let status = status.into_inner();
            if is_from_leader(&status) {
                return Ok(print_answer(&status));
            }
        }
    }
    Ok(print_answer(&first))
}

/// Returns whether a status comes from the leader itself.
///
/// Only the leader hears from the other replicas, and a replica reports 0 ms for itself. A follower
/// therefore never reports 0 ms for the leader.
fn is_from_leader(status: &SystemStatus) -> bool {
    let is_self = |replica: &&zinniastall_api::operator::ReplicaStatus| replica.heard_ms == 0;
    status
        .replicas
        .iter()
        .filter(is_self)
        .any(|replica| replica.leader)
}

async fn follow(group: &Group, watch: &Watch) -> Result<exit::Status, Error> {
    let mut after = watch.after;
    let mut left = watch.count;
    loop {
        let request = WatchRequest {
            kinds: watch.kinds.iter().map(|kind| i32::from(*kind)).collect(),
            after,
        };
        let call = async |mut client: Client| client.watch(request.clone()).await;
        let mut events: Streaming<Event> = group.call(unwrapped(call)).await?;
        while let Ok(Some(event)) = events.message().await {
            after = event.revision;
            print(&event);
            left = left.map(|left| left.saturating_sub(1));
            if left == Some(0) {
                return Ok(exit::Status::Accepted);
            }
        }
    }
}

fn print_change(invocation: &Invocation, response: &ChangeResponse) -> exit::Status {
    #[derive(Debug, Serialize)]
    struct Printed<'a> {
        command: &'a str,
        #[serde(flatten)]
        response: &'a ChangeResponse,
    }
    print(&Printed {
        command: &invocation.command.id,
        response,
    });
    response.outcome().into()
}

fn print_answer<T: Answer + Serialize>(answer: &T) -> exit::Status {
    print(answer);
    exit::Status::Accepted
}

fn print(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("zinniastall-ctl: {error}"),
    }
}
