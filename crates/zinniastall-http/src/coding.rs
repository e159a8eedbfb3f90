//! Content codings (RFC 9110, 8.4 and 12.5.3).

use http::{HeaderMap, header::CONTENT_ENCODING};

/// Coding that changes nothing.
const IDENTITY: &str = "identity";
/// Names that recipients take for the same coding (RFC 9110, 8.4.1.3).
const ALIASES: [(&str, &str); 2] = [("x-gzip", "gzip"), ("x-compress", "compress")];

/// Returns whether a body is in no coding other than those that its request accepts; `accepted` are the
/// values of the request's `Accept-Encoding` fields.
///
/// A request without that field accepts none here. The RFC would permit any, but a caller that doesn't
/// ask for a coding can't be expected to decode one.
pub fn is_accepted(accepted: &[&str], answer: &HeaderMap) -> bool {
    let mut codings = answer.get_all(CONTENT_ENCODING).iter();
    codings.all(|value| {
        let mut names = value.to_str().unwrap_or("?").split(',').map(str::trim);
        names.all(|name| {
            name.is_empty() || name.eq_ignore_ascii_case(IDENTITY) || accepts(accepted, name)
        })
    })
}

fn accepts(accepted: &[&str], coding: &str) -> bool {
    let mut items = accepted.iter().flat_map(|value| value.split(','));
    items.any(|item| {
        let (name, weight) = item.split_once(';').unwrap_or((item, ""));
        let name = name.trim();
        (name == "*" || canonical(name).eq_ignore_ascii_case(canonical(coding))) && !is_zero(weight)
    })
}

fn canonical(name: &str) -> &str {
    let same = |(alias, _): &&(&str, &str)| alias.eq_ignore_ascii_case(name);
    ALIASES.iter().find(same).map_or(name, |(_, name)| name)
}

/// Returns whether the parameters of an item are a weight of zero.
fn is_zero(weight: &str) -> bool {
    let value = weight.trim().strip_prefix("q=");
    value.is_some_and(|value| value.trim().parse() == Ok(0.0))
}
