//! Ids that cross the borders of modules.

/// A customer.
pub type Client = String;
/// An entry instance or control instance, as its settings name it.
pub type Instance = String;
/// One run of an instance's or target's process; later runs have higher numbers.
pub type Incarnation = u64;
/// A back end, as it names itself.
pub type Target = String;
/// A region.
pub type Region = String;
/// An availability zone, unique within its region.
pub type Zone = String;
/// A model, as callers name it.
pub type Model = String;
/// An adapter on top of a model.
pub type Adapter = String;
/// A plain service, as targets announce it.
pub type Service = String;
/// A class of requests, such as `interactive` or `batch`.
pub type Class = String;
/// An operator or an operator's script.
pub type Operator = String;
/// A command id, unique for its operator.
pub type Command = String;
/// An object's name within its kind.
pub type Name = String;
/// Number of a configuration state: how many changes made it.
pub type Revision = u64;
