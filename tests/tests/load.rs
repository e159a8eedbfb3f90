//! The load tool measures what it says.

use serde_json::{Value, json};
use zinniastall_tests::{Result, node::ANY, settings};

/// Runs the load tool against one stand-in engine without the system between.
async fn direct(engine: Value, change: Value) -> Result<Value> {
    let mut engine_settings = json!({
        "kind": "engine", "listen": ANY,
        "engine": {"models": [{"model": "map-labels", "version": "1"}]},
    });
    settings::merge(&mut engine_settings, engine);
    let mut engine = settings::start("engine", "zinniastall-standin", &engine_settings)?;
    let address = engine.address("http").await?;
    let folder = tempfile::tempdir()?;
    let report = folder.path().join("report.json");
    let plot = folder.path().join("report.svg");
    let mut experiment = json!({
        "warmup_ms": 0, "duration_ms": 500, "report": report, "plot": plot,
        "variants": [{"name": "direct", "direct": address, "ledgers": [address]}],
        "sources": [{"client": "chartotopos", "model": "map-labels", "rate": 100}],
    });
    settings::merge(&mut experiment, change);
    let mut load = settings::start("load", "zinniastall-load", &experiment)?;
    let status = load.ends().await?;
    assert!(status.success(), "{status}");
    assert!(std::fs::read_to_string(plot)?.contains("<svg"));
    let report: Value = serde_json::from_str(&std::fs::read_to_string(report)?)?;
    Ok(report["variants"][0].clone())
}

#[actix_rt::test]
async fn answers_are_counted_and_audited() -> Result<()> {
    let variant = direct(json!({}), json!({})).await?;
    let all = &variant["all"];
    assert!(all["requests"].as_u64() > Some(20));
    assert_eq!(all["answered"], all["requests"]);
    assert_eq!(variant["audit"]["runs"], all["requests"]);
    assert_eq!(
        all["between"]["count"],
        json!(all["answered"].as_u64().map(|count| count * 15))
    );
    Ok(())
}

/// One slow slot serves a request every 50 ms while ten come in that time. Each waits for all that
/// came before it; a tool that waited for answers before sending would see 50 ms for every one.
#[actix_rt::test]
async fn waiting_is_measured_from_the_planned_start() -> Result<()> {
    let slow = json!({"slots": 1, "engine": {"first_ms": 50}});
    let fixed = json!({"sources": [
        {"client": "chartotopos", "model": "map-labels", "rate": 200, "arrivals": "fixed",
         "until_ms": 200, "tokens": 1},
    ]});
    let variant = direct(slow, fixed).await?;
    let all = &variant["all"];
    assert_eq!(all["answered"], 39);
    assert!(all["whole"]["max"].as_u64() > Some(1_500_000), "{all}");
    Ok(())
}
