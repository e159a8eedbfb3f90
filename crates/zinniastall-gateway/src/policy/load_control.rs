//! Parts of load control that a deployment may switch on.

use std::{fmt, str::FromStr};

/// Parts of load control; all are off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each part is switched on by itself"
)]
pub struct LoadControl {
    /// Rejected requests are promised room at the time at which they are told to return.
    pub returns: bool,
    /// Regions lend each other room.
    pub overflow: bool,
    /// The speed of engines is learned, and requests are admitted by their memory.
    pub capacity: bool,
    /// Engines are divided between long prompts and short streams.
    pub division: bool,
    /// Scarce capacity is divided among client accounts.
    pub fair_shares: bool,
    /// Less urgent requests wait no longer than the more urgent ones may.
    pub urgent_room: bool,
    /// Callers are sent to instances in proportion to the capacity that these announce.
    pub instance_weights: bool,
}

/// Parts of load control that apply always, and those that apply besides where the capacities of
/// instances differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Switches {
    /// Parts that apply always.
    pub always: LoadControl,
    /// Parts that apply where the capacities of instances differ.
    pub if_uneven: LoadControl,
}

/// A name that is no part of load control.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown parts of load control: {}", .0.join(", "))]
pub struct UnknownPart(pub Vec<String>);

impl LoadControl {
    /// Returns the parts that are on here or there.
    #[must_use]
    pub const fn or(self, other: Self) -> Self {
        Self {
            returns: self.returns || other.returns,
            overflow: self.overflow || other.overflow,
            capacity: self.capacity || other.capacity,
            division: self.division || other.division,
            fair_shares: self.fair_shares || other.fair_shares,
            urgent_room: self.urgent_room || other.urgent_room,
            instance_weights: self.instance_weights || other.instance_weights,
        }
    }

    fn parts(&mut self) -> [(&'static str, &mut bool); 7] {
        [
            ("returns", &mut self.returns),
            ("overflow", &mut self.overflow),
            ("capacity", &mut self.capacity),
            ("division", &mut self.division),
            ("fair-shares", &mut self.fair_shares),
            ("urgent-room", &mut self.urgent_room),
            ("instance-weights", &mut self.instance_weights),
        ]
    }
}

impl Switches {
    /// Returns the parts that apply; `is_uneven` tells whether the capacities of instances differ.
    pub const fn effective(&self, is_uneven: bool) -> LoadControl {
        if is_uneven {
            self.always.or(self.if_uneven)
        } else {
            self.always
        }
    }
}

impl FromStr for LoadControl {
    type Err = UnknownPart;

    /// Parses the names of parts, separated by commas.
    fn from_str(text: &str) -> Result<Self, UnknownPart> {
        let mut on = Self::default();
        let mut unknown = Vec::new();
        for name in text.split(',').map(str::trim) {
            let mut parts = on.parts().into_iter();
            match parts.find(|(known, _)| *known == name) {
                Some((_, is_on)) => *is_on = true,
                None => unknown.push(name.to_owned()),
            }
        }
        if unknown.is_empty() {
            Ok(on)
        } else {
            Err(UnknownPart(unknown))
        }
    }
}

impl fmt::Display for LoadControl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut held = *self;
        let on = held.parts().into_iter().filter(|(_, is_on)| **is_on);
        let names: Vec<&str> = on.map(|(name, _)| name).collect();
        f.write_str(&names.join(","))
    }
}
