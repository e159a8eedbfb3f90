//! The operators' remote procedure calls: schema and generated code.
