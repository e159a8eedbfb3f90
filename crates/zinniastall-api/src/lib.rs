//! The operators' remote procedure calls: schema and generated code.
//!
//! The schema is `proto/operator.proto`; `cargo xtask codegen` turns it into [`operator`]. The
//! generated code is committed, so that building needs no generator.

pub mod metadata;
pub mod names;

/// Messages, client and server of the operators' calls, generated from the schema.
#[allow(missing_docs, clippy::pedantic, unreachable_pub, unused_qualifications)]
pub mod operator {
    include!("generated/zinniastall.operator.v1.rs");
}
