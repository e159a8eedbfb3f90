//! Runs one call and prints its answer.

use std::time::Duration;

use serde::Serialize;
use tonic::{Code, Status, Streaming};
use zinniastall_api::{
    metadata,
    operator::{
        ApplyRequest, BootstrapRequest, ChangeRequest, ChangeResponse, Command, DeleteRequest,
        EvacuateRequest, Event, GetRequest, HistogramsRequest, InstanceRequest, Kind, ListRequest,
        Object, PublishRequest, QuarantineRequest, ReleaseRequest, ReplicaRequest, RetireRequest,
        RoutingRequest, StatusRequest, SystemStatus, WatchRequest, object,
    },
};

use crate::{
    call::{Call, Order, Replica, Watch},
    group::{Answer, Client, Fault, Group},
    verdict::Verdict,
};

/// Runs an order and prints what it answers.
pub fn run(order: &Order) -> Verdict {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("zinniastall-ctl: {error}");
            return Verdict::Failed;
        }
    };
    match runtime.block_on(perform(order)) {
        Ok(verdict) => verdict,
        Err(fault) => fail(order, &fault),
    }
}

fn fail(order: &Order, fault: &Fault) -> Verdict {
    eprintln!("zinniastall-ctl: {fault}");
    let writes = matches!(
        order.call,
        Call::Apply(_)
            | Call::Delete(..)
            | Call::Retire(_)
            | Call::Replica(_)
            | Call::Publish(_)
            | Call::Evacuate { .. }
            | Call::Release(_)
    );
    match fault {
        Fault::Refused(status) if status.code() == Code::InvalidArgument => Verdict::Invalid,
        Fault::Unreachable { sent: true, .. } if writes => {
            eprintln!(
                "zinniastall-ctl: outcome unknown; resend with --command {}",
                order.command.id
            );
            Verdict::Unknown
        }
        _ => Verdict::Failed,
    }
}

async fn perform(order: &Order) -> Result<Verdict, Fault> {
    let wait = Duration::from_millis(order.wait_ms);
    let group = Group::new(order.addresses.clone(), order.timeout, wait);
    match &order.call {
        Call::Bootstrap => bootstrap(&group).await,
        Call::Apply(object) => apply(&group, order, object).await,
        Call::Delete(kind, id) => delete(&group, order, *kind, id).await,
        Call::Get(kind, id) => {
            let request = get_request(*kind, id);
            let call = async |mut client: Client| client.get(request.clone()).await;
            Ok(show(&group.call(unwrapped(call)).await?))
        }
        Call::List(kind) => {
            let kind = i32::from(*kind);
            let call = async |mut client: Client| client.list(ListRequest { kind }).await;
            Ok(show(&group.call(unwrapped(call)).await?))
        }
        Call::Watch(watch) => follow(&group, watch).await,
        Call::Status { local } => status(&group, *local).await,
        Call::Instance(instance) => {
            let call = async |mut client: Client| {
                let instance = instance.clone();
                client.instance(InstanceRequest { instance }).await
            };
            Ok(show(&group.call(unwrapped(call)).await?))
        }
        Call::Change(revision) => {
            let revision = *revision;
            let call = async |mut client: Client| client.change(ChangeRequest { revision }).await;
            let status = group.call(unwrapped(call)).await?;
            let verdict = status.outcome().into();
            print(&status);
            Ok(verdict)
        }
        Call::Histograms(instance) => {
            let call = async |mut client: Client| {
                let instance = instance.clone();
                client.histograms(HistogramsRequest { instance }).await
            };
            Ok(show(&group.call(unwrapped(call)).await?))
        }
        Call::Replica(replica) => regroup(&group, order, replica).await,
        Call::Retire(instance) => {
            let request = RetireRequest {
                command: Some(order.command.clone()),
                instance: instance.clone(),
            };
            let call = async |mut client: Client| client.retire(request.clone()).await;
            Ok(conclude(order, &group.call(unwrapped(call)).await?))
        }
        Call::Publish(table) => {
            let request = PublishRequest {
                table: Some(table.clone()),
            };
            let call = async |mut client: Client| client.publish(request.clone()).await;
            Ok(conclude(order, &group.call(unwrapped(call)).await?))
        }
        Call::Routing => {
            let call = async |mut client: Client| client.routing(RoutingRequest {}).await;
            Ok(show(&group.call(unwrapped(call)).await?))
        }
        Call::Evacuate { zone, reopen } => {
            let request = EvacuateRequest {
                zone: zone.clone(),
                reopen: *reopen,
            };
            let call = async |mut client: Client| client.evacuate(request.clone()).await;
            Ok(conclude(order, &group.call(unwrapped(call)).await?))
        }
        Call::Quarantine => {
            let call = async |mut client: Client| client.quarantine(QuarantineRequest {}).await;
            Ok(show(&group.call(unwrapped(call)).await?))
        }
        Call::Release(request) => {
            let call = async |mut client: Client| {
                let request = request.clone();
                client.release(ReleaseRequest { request }).await
            };
            Ok(conclude(order, &group.call(unwrapped(call)).await?))
        }
    }
}

fn unwrapped<T>(
    call: impl AsyncFn(Client) -> Result<tonic::Response<T>, Status>,
) -> impl AsyncFn(Client) -> Result<T, Status> {
    async move |client| call(client).await.map(tonic::Response::into_inner)
}

async fn bootstrap(group: &Group) -> Result<Verdict, Fault> {
    let call = async |mut client: Client| client.bootstrap(BootstrapRequest {}).await;
    Ok(show(&group.call(unwrapped(call)).await?))
}

async fn apply(group: &Group, order: &Order, object: &Object) -> Result<Verdict, Fault> {
    let command = match name(object) {
        Some((kind, id)) => with_expected(group, &order.command, kind, id).await?,
        None => order.command.clone(),
    };
    let request = ApplyRequest {
        command: Some(command),
        object: Some(object.clone()),
        wait_ms: order.wait_ms,
    };
    let call = async |mut client: Client| client.apply(request.clone()).await;
    Ok(conclude(order, &group.call(unwrapped(call)).await?))
}

async fn delete(group: &Group, order: &Order, kind: Kind, id: &str) -> Result<Verdict, Fault> {
    let request = DeleteRequest {
        command: Some(with_expected(group, &order.command, kind, id).await?),
        kind: kind.into(),
        id: id.to_owned(),
        wait_ms: order.wait_ms,
    };
    let call = async |mut client: Client| client.delete(request.clone()).await;
    Ok(conclude(order, &group.call(unwrapped(call)).await?))
}

async fn regroup(group: &Group, order: &Order, replica: &Replica) -> Result<Verdict, Fault> {
    let request = ReplicaRequest {
        command: Some(order.command.clone()),
        step: replica.step.into(),
        replica: replica.id.clone(),
        address: replica.address.clone(),
    };
    let call = async |mut client: Client| client.replica(request.clone()).await;
    Ok(conclude(order, &group.call(unwrapped(call)).await?))
}

/// Fills in the present revision of the object, when none is given.
///
/// That is safe only because the command id is fresh in this run: whatever is sent again carries
/// the revision that was read before the first time.
async fn with_expected(
    group: &Group,
    command: &Command,
    kind: Kind,
    id: &str,
) -> Result<Command, Fault> {
    if command.expected.is_some() {
        return Ok(command.clone());
    }
    let request = get_request(kind, id);
    let call = async |mut client: Client| client.get(request.clone()).await;
    let current = match group.call(unwrapped(call)).await {
        Ok(record) => record.revision,
        Err(Fault::Refused(status)) if status.code() == Code::NotFound => absent(&status),
        Err(fault) => return Err(fault),
    };
    Ok(Command {
        expected: Some(current),
        ..command.clone()
    })
}

fn absent(status: &Status) -> u64 {
    let current = status.metadata().get(metadata::CURRENT);
    let current = current.and_then(|current| current.to_str().ok()?.parse().ok());
    current.unwrap_or_default()
}

fn get_request(kind: Kind, id: &str) -> GetRequest {
    GetRequest {
        kind: kind.into(),
        id: id.to_owned(),
    }
}

fn name(object: &Object) -> Option<(Kind, &str)> {
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

/// Prints the status as the leader sees it, or as the first that answers sees it.
async fn status(group: &Group, local: bool) -> Result<Verdict, Fault> {
    let call = async |mut client: Client| client.status(StatusRequest {}).await;
    let first = group.call(unwrapped(call)).await?;
    if local {
        return Ok(show(&first));
    }
    let leader = [first.leader.clone()];
    let others = group.addresses().iter().chain(&leader);
    for address in others.filter(|address| !address.is_empty()) {
        let Some(mut client) = group.connect(address).await else {
            continue;
        };
        if let Ok(status) = client.status(StatusRequest {}).await {
            let status = status.into_inner();
            if leads(&status) {
                return Ok(show(&status));
            }
        }
    }
    Ok(show(&first))
}

/// Tells whether a status is the leader's own: only a leader hears the others.
fn leads(status: &SystemStatus) -> bool {
    let own = |replica: &&zinniastall_api::operator::ReplicaStatus| replica.heard_ms == 0;
    status
        .replicas
        .iter()
        .filter(own)
        .any(|replica| replica.leader)
}

async fn follow(group: &Group, watch: &Watch) -> Result<Verdict, Fault> {
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
                return Ok(Verdict::Accepted);
            }
        }
    }
}

fn conclude(order: &Order, response: &ChangeResponse) -> Verdict {
    #[derive(Debug, Serialize)]
    struct Printed<'a> {
        command: &'a str,
        #[serde(flatten)]
        response: &'a ChangeResponse,
    }
    print(&Printed {
        command: &order.command.id,
        response,
    });
    response.outcome().into()
}

fn show<T: Answer + Serialize>(answer: &T) -> Verdict {
    print(answer);
    Verdict::Accepted
}

fn print(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("zinniastall-ctl: {error}"),
    }
}
