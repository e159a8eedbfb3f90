//! Generates the operators' calls from their schema file.
//!
//! The result is committed, so that a build needs neither this chore nor `protoc`.

use std::path::Path;

/// Writes the generated code of `proto/operator.proto` into the api crate.
///
/// # Errors
///
/// Fails when the schema does not compile or a file cannot be written.
pub(crate) fn run(root: &Path) -> eyre::Result<()> {
    let api = root.join("crates/zinniastall-api");
    let proto = api.join("proto");
    let generated = api.join("src/generated");
    std::fs::create_dir_all(&generated)?;
    let descriptors = protox::compile(["operator.proto"], [&proto])?;
    tonic_prost_build::configure()
        .out_dir(&generated)
        .build_client(true)
        .build_server(true)
        .compile_fds(descriptors)?;
    Ok(())
}
