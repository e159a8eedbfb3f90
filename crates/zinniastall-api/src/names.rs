//! Names of enum values in JSON: `accepted` instead of `OUTCOME_ACCEPTED` or a number.

use crate::operator::{Kind, Outcome, Step};

/// An enum of the schema whose values have names in JSON.
pub trait Named: Copy + TryFrom<i32> + Into<i32> {
    /// Prefix of all value names in the schema.
    const PREFIX: &str;

    /// Returns the value's name in the schema.
    fn schema_name(self) -> &'static str;
    /// Returns the value with a name in the schema.
    fn from_schema_name(name: &str) -> Option<Self>;

    /// Returns the value's name in JSON and on the command line.
    fn name(self) -> String {
        let name = self.schema_name();
        let short = name.strip_prefix(Self::PREFIX).unwrap_or(name);
        short.to_lowercase().replace('_', "-")
    }

    /// Returns the value with a name in JSON or on the command line.
    fn parse(name: &str) -> Option<Self> {
        let long = name.to_uppercase().replace('-', "_");
        Self::from_schema_name(&format!("{}{long}", Self::PREFIX))
    }
}

macro_rules! named {
    ($module:ident, $type:ident, $prefix:literal) => {
        impl Named for $type {
            const PREFIX: &str = $prefix;

            fn schema_name(self) -> &'static str {
                self.as_str_name()
            }

            fn from_schema_name(name: &str) -> Option<Self> {
                Self::from_str_name(name)
            }
        }

        pub(crate) mod $module {
            use serde::{Deserialize, Deserializer, Serializer, de::Error};

            use super::Named;
            use crate::operator::$type;

            pub(crate) fn serialize<S: Serializer>(
                value: &i32,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                let value = $type::try_from(*value).unwrap_or_default();
                serializer.serialize_str(&value.name())
            }

            pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<i32, D::Error> {
                let name = String::deserialize(deserializer)?;
                let value = $type::parse(&name);
                value
                    .map(Into::into)
                    .ok_or_else(|| D::Error::custom(concat!("no such ", stringify!($module))))
            }
        }
    };
}

named!(kind, Kind, "KIND_");
named!(outcome, Outcome, "OUTCOME_");
named!(step, Step, "STEP_");
