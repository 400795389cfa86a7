//! An ordinary client library works with a base URL and a key.

#![allow(clippy::unwrap_used)]

use std::process;
use std::time;

use arbutusfold_standin::{fleet, model};

const LAYERS: u32 = 6;

/// Needs the Python package, which `make client-test` installs.
#[tokio::test]
#[ignore = "needs a Python package; run by make client-test"]
async fn client_library_streams_a_completion() {
    let directory = std::env::temp_dir().join(format!("arbutusfold-client-{}", process::id()));
    let options = fleet::FleetOptions {
        nodes: 1,
        domains: 1,
        layers: LAYERS,
        ranges: 2,
        replicas: 1,
        step: time::Duration::from_millis(1),
        answer_keep: time::Duration::from_millis(200),
        directory,
    };
    let fleet = fleet::TestFleet::start(options).await.unwrap();
    fleet.submit(0, &fleet.document()).await.unwrap();
    let python = std::env::var("CLIENT_PYTHON").unwrap();
    let ran = process::Command::new(python)
        .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/../scripts/client.py"))
        .arg(format!("http://{}/v1", fleet.nodes[0].callers))
        .arg(fleet::CALLER_KEY)
        .arg(model::expected("assistant", LAYERS, "airbrush", 20))
        .status()
        .unwrap();
    assert!(ran.success());
}
