//! Issuing and checking of tickets.

use std::time::Duration;

/// Separator of a ticket's fields; names of regions, zones and instances never contain it.
const SEPARATOR: char = '~';
/// Number of fields of a ticket.
const FIELD_COUNT: usize = 7;
/// Longest text that is parsed as a ticket, in bytes.
const MAX_TICKET_BYTES: usize = 512;

/// The issuer of a ticket, as other instances find it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Address {
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
    /// Instance.
    pub instance: String,
    /// Incarnation of the instance's process.
    pub incarnation: u64,
}

impl Address {
    /// Creates an address.
    pub fn new(
        region: impl Into<String>,
        zone: impl Into<String>,
        instance: impl Into<String>,
        incarnation: u64,
    ) -> Self {
        Self {
            region: region.into(),
            zone: zone.into(),
            instance: instance.into(),
            incarnation,
        }
    }
}

/// A parsed ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Who issued it.
    pub issuer: Address,
    /// Random id.
    pub id: u64,
    /// When it expires, on the issuer's clock. Clocks of different instances are never compared.
    pub expiry: Duration,
    /// Text that the authentication code covers; it identifies the ticket in a [`super::Registry`].
    pub name: String,
    mac: String,
}

/// Reason why a ticket can't be used here.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The text is not a ticket.
    #[error("not a ticket")]
    Malformed,
    /// The authentication code doesn't match: this issuer never created it.
    #[error("not made by this issuer")]
    Forged,
    /// Another instance or an earlier run of this one issued it.
    #[error("issued by {} of {}/{}", .0.instance, .0.region, .0.zone)]
    OtherIssuer(Box<Address>),
    /// It has expired.
    #[error("expired")]
    Expired,
}

impl Ticket {
    /// Parses a ticket without checking its authentication code.
    ///
    /// # Errors
    ///
    /// [`Invalid::Malformed`] when the text isn't a ticket.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        if text.len() > MAX_TICKET_BYTES {
            return Err(Invalid::Malformed);
        }
        let (name, mac) = text.rsplit_once(SEPARATOR).ok_or(Invalid::Malformed)?;
        let fields: Vec<_> = name.split(SEPARATOR).collect();
        let [region, zone, instance, incarnation, id, expiry] = fields[..] else {
            return Err(Invalid::Malformed);
        };
        if [region, zone, instance].contains(&"") {
            return Err(Invalid::Malformed);
        }
        Ok(Self {
            issuer: Address::new(region, zone, instance, parse_hex(incarnation)?),
            id: parse_hex(id)?,
            expiry: Duration::from_millis(parse_hex(expiry)?),
            name: name.to_owned(),
            mac: mac.to_owned(),
        })
    }
}

/// Issues and checks the tickets of one run of an instance.
#[derive(Debug, Clone)]
pub struct Issuer {
    address: Address,
    key: [u8; 32],
    validity: Duration,
}

impl Issuer {
    /// Creates an issuer; the key must be random and created anew for each run of the process.
    pub const fn new(address: Address, key: [u8; 32], validity: Duration) -> Self {
        Self {
            address,
            key,
            validity,
        }
    }

    /// Returns how long a ticket is valid.
    pub const fn validity(&self) -> Duration {
        self.validity
    }

    /// Issues a ticket; `now` is the time since the process started and `id` is random.
    pub fn issue(&self, now: Duration, id: u64) -> String {
        let Address {
            region,
            zone,
            instance,
            incarnation,
        } = &self.address;
        let expiry = u64::try_from((now + self.validity).as_millis()).unwrap_or(u64::MAX);
        let parts: [String; FIELD_COUNT - 1] = [
            region.clone(),
            zone.clone(),
            instance.clone(),
            format!("{incarnation:x}"),
            format!("{id:x}"),
            format!("{expiry:x}"),
        ];
        let name = parts.join(&SEPARATOR.to_string());
        let mac = self.mac(&name);
        format!("{name}{SEPARATOR}{}", mac.to_hex())
    }

    /// Checks that a ticket was created by this issuer and hasn't expired.
    ///
    /// # Errors
    ///
    /// [`Invalid`] names the reason.
    pub fn check(&self, text: &str, now: Duration) -> Result<Ticket, Invalid> {
        let ticket = Ticket::parse(text)?;
        if ticket.issuer != self.address {
            return Err(Invalid::OtherIssuer(Box::new(ticket.issuer)));
        }
        // Hashes of this type are compared in constant time.
        let mac = blake3::Hash::from_hex(&ticket.mac).map_err(|_| Invalid::Malformed)?;
        if mac != self.mac(&ticket.name) {
            return Err(Invalid::Forged);
        }
        if ticket.expiry <= now {
            return Err(Invalid::Expired);
        }
        Ok(ticket)
    }

    fn mac(&self, name: &str) -> blake3::Hash {
        blake3::keyed_hash(&self.key, name.as_bytes())
    }
}

fn parse_hex(text: &str) -> Result<u64, Invalid> {
    u64::from_str_radix(text, 16).map_err(|_| Invalid::Malformed)
}
