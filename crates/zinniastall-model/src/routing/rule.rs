//! What a table says of a request, in a form that instances compare.

use std::{fmt, str::FromStr};

use super::{Account, Number, Route, Table};

/// Context string that separates these digests from all others derived with BLAKE3.
const DERIVE_KEY_CONTEXT: &str =
    "zinniastall 2026 digest of what a routing table says of a request";

/// What a table says of a request: the number of the table, and a digest of the request's route and of
/// its account's homes.
///
/// # Example
///
/// ```
/// use zinniastall_model::routing::{Kind, Route, Rule, Table};
///
/// let route = Route::new("plans", "maps.example", "/plans/", Kind::Once);
/// let table = |number| Table::new(number, vec![route.clone()], Vec::new());
/// let rule = |number| Rule::new(&table(number), &route, None);
/// assert!(rule(7).agrees(&rule(8)), "the later table says the same of the request");
/// assert_eq!(rule(7).to_string().parse(), Ok(rule(7)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rule {
    /// Number of the table.
    pub number: Number,
    /// Tells apart what a few tables say; callers don't choose it, so 64 bits suffice.
    digest: u64,
}

/// Error returned when a text is not a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a table's number and a digest")]
pub struct ParseError;

impl Rule {
    /// Creates what a table says of the requests of a route, and of an account if they have one.
    pub fn new(table: &Table, route: &Route, account: Option<&Account>) -> Self {
        let mut said = Vec::new();
        let homes = account.map(|account| &account.homes);
        // Writing to a vector cannot fail. If it did, tables of other numbers would count as agreeing.
        drop(ciborium::into_writer(&(route, homes), &mut said));
        let mut digest = [0; size_of::<u64>()];
        let mut hasher = blake3::Hasher::new_derive_key(DERIVE_KEY_CONTEXT);
        hasher.update(&said).finalize_xof().fill(&mut digest);
        Self {
            number: table.number,
            digest: u64::from_be_bytes(digest),
        }
    }

    /// Tells whether two tables say the same: they are one table, or the route and the homes are the same
    /// in both.
    pub const fn agrees(&self, other: &Self) -> bool {
        self.number == other.number || self.digest == other.digest
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:016x}", self.number, self.digest)
    }
}

impl FromStr for Rule {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (number, digest) = text.split_once(':').ok_or(ParseError)?;
        let number = number.parse().map_err(|_| ParseError)?;
        let digest = u64::from_str_radix(digest, 16).map_err(|_| ParseError)?;
        Ok(Self { number, digest })
    }
}
