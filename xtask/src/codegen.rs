//! Generates the operators' calls from their schema file.
//!
//! The result is committed, so that a build needs neither this chore nor `protoc`.

use std::path::Path;

/// Fields of which JSON shows the chosen variant without a level of its own.
const ONEOFS: [&str; 3] = ["Object.object", "Route.serves", "Event.change"];
/// Fields that hold a number of an enumeration, and the module that names them in JSON.
const ENUMS: [(&str, &str); 7] = [
    ("DeleteRequest.kind", "kind"),
    ("GetRequest.kind", "kind"),
    ("ListRequest.kind", "kind"),
    ("Removed.kind", "kind"),
    ("ChangeResponse.outcome", "outcome"),
    ("ChangeStatus.outcome", "outcome"),
    ("ReplicaRequest.step", "step"),
];

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
