//! gRPC interface for operators: schema and generated code.
//!
//! The schema is `proto/operator.proto`; `cargo xtask codegen` generates [`operator`] from it. The
//! generated code is committed, so that builds need no generator.

pub mod metadata;
pub mod names;

/// Messages, client and server, generated from the schema.
#[allow(missing_docs, clippy::pedantic, unreachable_pub, unused_qualifications)]
pub mod operator {
    include!("generated/zinniastall.operator.v1.rs");
}
