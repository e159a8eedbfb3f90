//! The `Retry-After` field of an answer (RFC 9110, 10.2.3).

use std::time::{Duration, SystemTime};

use http::{HeaderMap, HeaderName, header::DATE};

/// Longest delay that is kept. A server that means to be away for longer gets one request after it; one
/// that wrote milliseconds for seconds is not lost for the rest of the day.
pub const MAX_DELAY: Duration = Duration::from_hours(1);
/// Maximum length of the value of one field.
const MAX_BYTES: usize = 64;

/// Why a value is no delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The value is empty or longer than any delay or date.
    #[error("a delay has 1 to {MAX_BYTES} characters")]
    Length,
    /// The value is neither numbers of seconds nor a date.
    #[error("neither a number of seconds, zero or more, nor an HTTP date")]
    Value,
}

/// Reads the delay that an answer asks for; `None` if it asks for none. Of several the longest counts.
///
/// A value is a number of seconds, which may have a fraction, or an HTTP date. A date is compared with
/// the answer's own, or with `now` if it states none. Delays are at most [`MAX_DELAY`].
///
/// # Errors
///
/// Returns [`Invalid`] if one of the values can't be read; none of them counts then.
pub fn read(
    headers: &HeaderMap,
    name: &HeaderName,
    now: SystemTime,
) -> Result<Option<Duration>, Invalid> {
    let mut longest = None;
    for value in headers.get_all(name) {
        let text = value.to_str().map_err(|_| Invalid::Value)?.trim();
        if !(1..=MAX_BYTES).contains(&text.len()) {
            return Err(Invalid::Length);
        }
        let delay = match httpdate::parse_http_date(text) {
            Ok(date) => until(date, headers, now),
            Err(_) => longest_of(text)?,
        };
        longest = longest.max(Some(delay));
    }
    Ok(longest)
}

/// Returns the time from the answer's date to another one; zero if that has passed.
fn until(date: SystemTime, headers: &HeaderMap, now: SystemTime) -> Duration {
    let stated = headers.get(DATE).and_then(|date| date.to_str().ok());
    let stated = stated.and_then(|date| httpdate::parse_http_date(date).ok());
    let left = date.duration_since(stated.unwrap_or(now));
    left.unwrap_or_default().min(MAX_DELAY)
}

/// Returns the longest of some delays in seconds: intermediaries may join several fields by commas.
fn longest_of(text: &str) -> Result<Duration, Invalid> {
    let seconds = text.split(',').map(|seconds| {
        let seconds: f64 = seconds.trim().parse().map_err(|_| Invalid::Value)?;
        if !seconds.is_finite() || seconds.is_sign_negative() {
            return Err(Invalid::Value);
        }
        Ok(Duration::from_secs_f64(
            seconds.min(MAX_DELAY.as_secs_f64()),
        ))
    });
    seconds
        .reduce(|one, other| Ok(one?.max(other?)))
        .unwrap_or(Err(Invalid::Value))
}
