//! Identifiers shared between modules.

/// Name of a client.
pub type Client = String;
/// Name of an instance, from its settings.
pub type Instance = String;
/// Run of an instance's or target's process; later runs have higher numbers.
pub type Incarnation = u64;
/// Name that a target announces itself under.
pub type Target = String;
/// Name of a region.
pub type Region = String;
/// Name of an availability zone, unique within its region.
pub type Zone = String;
/// Software version of a target's process; what two versions write doesn't fit together.
pub type Version = String;
/// Name of a model, as callers use it.
pub type Model = String;
/// Name of an adapter of a model.
pub type Adapter = String;
/// Name of a plain service, as targets announce it.
pub type Service = String;
/// Request class, such as `interactive` or `batch`.
pub type Class = String;
/// Name of an operator or of an operator's script.
pub type Operator = String;
/// Command id, unique for its operator.
pub type Command = String;
/// Name of an object, unique within its kind.
pub type Name = String;
/// Revision of a configuration: the number of changes that led to it.
pub type Revision = u64;
