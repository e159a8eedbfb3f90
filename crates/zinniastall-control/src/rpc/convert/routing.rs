//! Converts routing tables between the schema and the model.

use zinniastall_api::operator as api;
use zinniastall_model::{
    routing::{
        Account, Digest, Engine, Kind, Limits, Publication, Quota, Route, Service, Share, Table,
        Unit,
    },
    state::State,
};

use super::Error;

/// Names of the kinds of routes.
const KIND_NAMES: [(&str, Kind); 3] = [
    ("idempotent", Kind::Idempotent),
    ("once", Kind::Once),
    ("stream", Kind::Stream),
];

/// Converts a table that is to be published.
pub(crate) fn published(table: Option<api::RoutingTable>) -> Result<Publication, Error> {
    let table = table.ok_or(Error::Missing("table"))?;
    let routes: Result<Vec<Route>, Error> = table.routes.into_iter().map(rule).collect();
    let services = table.services.into_iter().map(service).collect();
    let limits = limits(&table.limits.unwrap_or_default());
    let mut published = Table::new(table.number, routes?, services).limits(limits);
    if let Some(accounts) = table.accounts {
        let accounts: Result<Vec<Account>, Error> =
            accounts.list.into_iter().map(account).collect();
        published = published.accounts(accounts?);
    }
    Ok(Publication {
        table: published,
        document: None,
    })
}

/// Converts the configuration that gateway instances use.
pub(crate) fn routing(state: &State) -> api::RoutingResponse {
    let publication = state.routing.as_ref();
    api::RoutingResponse {
        revision: state.revision,
        table: publication.map(|publication| write_table(&publication.table)),
        evacuated: state.evacuated.iter().cloned().collect(),
    }
}

fn rule(rule: api::RoutingRule) -> Result<Route, Error> {
    let kind = KIND_NAMES.iter().find(|(name, _)| *name == rule.kind);
    let (_, kind) = kind.ok_or(Error::Malformed("table.routes.kind"))?;
    let priority = u8::try_from(rule.priority);
    let split = rule.split.into_iter().map(|share| Share {
        service: share.service,
        weight: share.weight,
    });
    Ok(Route {
        name: rule.name,
        host: rule.host,
        prefix: rule.prefix,
        kind: *kind,
        timeout_ms: rule.timeout_ms,
        objective_ms: rule.objective_ms,
        priority: priority.map_err(|_| Error::Malformed("table.routes.priority"))?,
        split: split.collect(),
        attempts: rule.attempts.max(1),
        sticky: rule.sticky,
        resumable: rule.resumable,
        gap_ms: rule.gap_ms,
        homes: rule.homes,
        public: rule.public,
    })
}

fn account(account: api::RoutingAccount) -> Result<Account, Error> {
    let keys: Result<Vec<Digest>, Error> =
        account.key_digests.iter().map(|hex| digest(hex)).collect();
    let priority = account.priority.map(u8::try_from).transpose();
    Ok(Account {
        name: account.name,
        keys: keys?,
        priority: priority.map_err(|_| Error::Malformed("table.accounts.priority"))?,
        homes: account.homes,
        quota: account.quota.map(|quota| Quota {
            unit: quota
                .unstated
                .map_or(Unit::Requests, |unstated| Unit::Tokens { unstated }),
            rate: quota.rate,
            burst: quota.burst,
        }),
    })
}

fn digest(hex: &str) -> Result<Digest, Error> {
    Digest::from_hex(hex).ok_or(Error::Malformed("table.accounts.key_digests"))
}

fn service(service: api::RoutingService) -> Service {
    Service {
        name: service.name,
        health_path: service.health_path,
        connections: service.connections,
        cold_ms: service.cold_ms,
        cold_rate_milli: service.cold_rate_milli,
        engine: service.engine.map(|engine| Engine {
            slots: engine.slots,
            tokens: engine.tokens,
            stride: engine.stride,
            token_bytes: engine.token_bytes,
            link_mbps: engine.link_mbps,
        }),
    }
}

fn limits(limits: &api::CallerLimits) -> Limits {
    let default = Limits::default();
    let bytes = |value: u64, default: usize| match value {
        0 => default,
        value => usize::try_from(value).unwrap_or(usize::MAX),
    };
    let millis = |value: u64, default: u64| if value == 0 { default } else { value };
    Limits {
        head_bytes: bytes(limits.head_bytes, default.head_bytes),
        body_bytes: bytes(limits.body_bytes, default.body_bytes),
        head_ms: millis(limits.head_ms, default.head_ms),
        idle_ms: millis(limits.idle_ms, default.idle_ms),
    }
}

fn write_table(table: &Table) -> api::RoutingTable {
    let limits = &table.limits;
    api::RoutingTable {
        number: table.number,
        routes: table.routes.iter().map(write_rule).collect(),
        services: table.services.iter().map(write_service).collect(),
        limits: Some(api::CallerLimits {
            head_bytes: limits.head_bytes as u64,
            body_bytes: limits.body_bytes as u64,
            head_ms: limits.head_ms,
            idle_ms: limits.idle_ms,
        }),
        accounts: table
            .accounts
            .as_ref()
            .map(|accounts| api::RoutingAccounts {
                list: accounts.iter().map(write_account).collect(),
            }),
    }
}

fn write_account(account: &Account) -> api::RoutingAccount {
    api::RoutingAccount {
        name: account.name.clone(),
        key_digests: account.keys.iter().map(Digest::to_hex).collect(),
        priority: account.priority.map(u32::from),
        homes: account.homes.clone(),
        quota: account.quota.map(|quota| api::RoutingQuota {
            unstated: match quota.unit {
                Unit::Requests => None,
                Unit::Tokens { unstated } => Some(unstated),
            },
            rate: quota.rate,
            burst: quota.burst,
        }),
    }
}

fn write_rule(route: &Route) -> api::RoutingRule {
    let name = KIND_NAMES.iter().find(|(_, kind)| *kind == route.kind);
    let split = route.split.iter().map(|share| api::RoutingShare {
        service: share.service.clone(),
        weight: share.weight,
    });
    api::RoutingRule {
        name: route.name.clone(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        kind: name.map_or("", |(name, _)| name).to_owned(),
        timeout_ms: route.timeout_ms,
        objective_ms: route.objective_ms,
        priority: route.priority.into(),
        split: split.collect(),
        attempts: route.attempts,
        sticky: route.sticky,
        resumable: route.resumable,
        gap_ms: route.gap_ms,
        homes: route.homes.clone(),
        public: route.public,
    }
}

fn write_service(service: &Service) -> api::RoutingService {
    api::RoutingService {
        name: service.name.clone(),
        health_path: service.health_path.clone(),
        connections: service.connections,
        cold_ms: service.cold_ms,
        cold_rate_milli: service.cold_rate_milli,
        engine: service.engine.as_ref().map(|engine| api::RoutingEngine {
            slots: engine.slots,
            tokens: engine.tokens,
            stride: engine.stride,
            token_bytes: engine.token_bytes,
            link_mbps: engine.link_mbps,
        }),
    }
}
