//! Identifies the client account whose key a request carries.

use http::{HeaderMap, header::AUTHORIZATION};
use zinniastall_model::routing::{Route, Table};

use crate::freshness::Trust;

/// Scheme of the `Authorization` header that carries a key.
const SCHEME: &str = "bearer";

/// Reason why a request's account is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unauthenticated {
    /// The request carries no key, or one that belongs to no account.
    #[error("its key belongs to no account")]
    UnknownKey,
    /// The accounts known here have not been confirmed yet.
    #[error("the accounts have not been confirmed yet")]
    Unconfirmed,
    /// The accounts known here may be out of date.
    #[error("the accounts may be out of date")]
    Stale,
    /// The instance that forwarded the request knows other accounts.
    #[error("the forwarding instance knows other accounts")]
    Mismatch,
}

/// Returns the index of the account of a caller's request, or `None` if the request needs no key.
///
/// # Errors
///
/// Returns [`Unauthenticated`] with the reason if the account is unknown. If the accounts may be
/// out of date, a key is neither accepted nor reported as unknown.
pub fn of_caller(
    table: &Table,
    route: &Route,
    headers: &HeaderMap,
    trust: Trust,
) -> Result<Option<usize>, Unauthenticated> {
    if !needs_key(table, route) {
        return Ok(None);
    }
    match trust {
        Trust::Fresh => {}
        Trust::Unconfirmed => return Err(Unauthenticated::Unconfirmed),
        Trust::Stale => return Err(Unauthenticated::Stale),
    }
    let key = key(headers).ok_or(Unauthenticated::UnknownKey)?;
    let holder = table
        .account_index_by_key(key)
        .ok_or(Unauthenticated::UnknownKey)?;
    Ok(Some(holder))
}

/// Returns the index of the account of a request that another instance has authenticated, or `None`
/// if the request needs no key.
///
/// # Errors
///
/// Returns [`Unauthenticated::Mismatch`] if that instance uses another configuration.
pub fn of_instance(
    table: &Table,
    route: &Route,
    account: Option<&str>,
) -> Result<Option<usize>, Unauthenticated> {
    match (needs_key(table, route), account) {
        (false, None) => Ok(None),
        (true, Some(account)) => {
            let place = table.account_index_by_name(account);
            place.map(Some).ok_or(Unauthenticated::Mismatch)
        }
        _ => Err(Unauthenticated::Mismatch),
    }
}

/// Returns whether requests on a route have to carry a key.
pub const fn needs_key(table: &Table, route: &Route) -> bool {
    table.accounts.is_some() && !route.public
}

/// Returns the key of a request that carries exactly one.
fn key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut fields = headers.get_all(AUTHORIZATION).iter();
    let field = fields.next()?.as_bytes();
    if fields.next().is_some() {
        return None;
    }
    let at = field.iter().position(|byte| *byte == b' ')?;
    let (scheme, key) = field.split_at(at);
    let key = key.trim_ascii();
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME.as_bytes());
    (is_bearer && !key.is_empty()).then_some(key)
}
