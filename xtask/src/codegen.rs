//! Generates the operators' RPC code from its schema.
//!
//! The generated code is committed, so that a build requires neither this task nor `protoc`.

use std::path::Path;

/// Oneof fields that JSON flattens into the enclosing object.
const ONEOFS: [&str; 3] = ["Object.object", "Route.serves", "Event.change"];
/// Enum fields, and the module of `crate::names` that converts each to its name in JSON.
const ENUMS: [(&str, &str); 7] = [
    ("DeleteRequest.kind", "kind"),
    ("GetRequest.kind", "kind"),
    ("ListRequest.kind", "kind"),
    ("Removed.kind", "kind"),
    ("ChangeResponse.outcome", "outcome"),
    ("ChangeStatus.outcome", "outcome"),
    ("ReplicaRequest.step", "step"),
];

/// Generates code from `proto/operator.proto` into the `zinniastall-api` crate.
///
/// # Errors
///
/// Fails if the schema does not compile or a file cannot be written.
pub(crate) fn run(root: &Path) -> eyre::Result<()> {
    let api = root.join("crates/zinniastall-api");
    let proto = api.join("proto");
    let generated = api.join("src/generated");
    std::fs::create_dir_all(&generated)?;
    let descriptors = protox::compile(["operator.proto"], [&proto])?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(&generated)
        .build_client(true)
        .build_server(true)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .type_attribute(".", "#[serde(rename_all = \"snake_case\")]")
        .message_attribute(".", "#[serde(default)]");
    for oneof in ONEOFS {
        builder = builder.field_attribute(oneof, "#[serde(flatten)]");
    }
    for (field, names) in ENUMS {
        builder =
            builder.field_attribute(field, format!("#[serde(with = \"crate::names::{names}\")]"));
    }
    builder.compile_fds(descriptors)?;
    Ok(())
}
