//! Who asks: the client account whose key a request carries.

use http::{HeaderMap, header::AUTHORIZATION};
use zinniastall_model::routing::{Route, Table};

use crate::freshness::Trust;

/// Scheme of the field that carries a key.
const SCHEME: &str = "bearer";

/// Why a request's account is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unauthenticated {
    /// It carries no key, or one that no account holds.
    #[error("no account holds its key")]
    UnknownKey,
    /// The accounts known here have not been confirmed yet.
    #[error("the accounts have not been confirmed yet")]
    Unconfirmed,
    /// The accounts known here may be out of date.
    #[error("the accounts may be out of date")]
    Stale,
    /// The instance that passed it on knows other accounts.
    #[error("the instance that passed it on knows other accounts")]
    Mismatch,
}

/// Returns the place of the account of a caller's request; none where the request needs no key.
///
/// # Errors
///
/// [`Unidentified`] says why there is none. Where the accounts may be out of date, a key is neither let in nor
/// called unknown.
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
    let holder = table.holder(key).ok_or(Unauthenticated::UnknownKey)?;
    Ok(Some(holder))
}

/// Returns the place of the account of a request that another instance has identified; none where the request
/// needs no key.
///
/// # Errors
///
/// [`Unidentified::Differs`] where that instance goes by another configuration.
pub fn of_instance(
    table: &Table,
    route: &Route,
    account: Option<&str>,
) -> Result<Option<usize>, Unauthenticated> {
    match (needs_key(table, route), account) {
        (false, None) => Ok(None),
        (true, Some(account)) => {
            let place = table.account_named(account);
            place.map(Some).ok_or(Unauthenticated::Mismatch)
        }
        _ => Err(Unauthenticated::Mismatch),
    }
}

/// Tells whether requests on a route have to carry a key.
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
