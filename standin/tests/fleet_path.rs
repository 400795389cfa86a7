//! The whole path through real processes.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold_standin::{fault, fleet, model};

const LAYERS: u32 = 6;

async fn start(name: &str) -> fleet::TestFleet {
    let directory = std::env::temp_dir().join(format!("arbutusfold-{name}-{}", std::process::id()));
    let options = fleet::FleetOptions {
        nodes: 2,
        domains: 2,
        layers: LAYERS,
        ranges: 2,
        replicas: 2,
        step: time::Duration::from_millis(1),
        answer_keep: time::Duration::from_millis(500),
        directory,
    };
    let fleet = fleet::TestFleet::start(options).await.unwrap();
    fleet.submit(0, &fleet.document()).await.unwrap();
    fleet
}

async fn complete(fleet: &fleet::TestFleet, node: usize, prompt: &str) -> (u16, serde_json::Value) {
    let order = serde_json::json!({"model": "assistant", "prompt": prompt, "max_tokens": 20});
    let (status, body) = fleet::call(
        fleet.nodes[node].callers,
        http::Method::POST,
        "/v1/completions",
        fleet::CALLER_KEY,
        &[],
        order.to_string(),
    )
    .await
    .unwrap();
    (status, serde_json::from_str(&body).unwrap())
}

#[tokio::test]
async fn every_node_gives_the_model_text() {
    let fleet = start("path").await;
    for node in 0..fleet.nodes.len() {
        let (status, answer) = complete(&fleet, node, "airbrush").await;
        assert_eq!(status, 200);
        let expected = model::expected("assistant", LAYERS, "airbrush", 20);
        assert_eq!(answer["choices"][0]["text"], expected);
    }
}

#[tokio::test]
async fn lost_answer_of_the_table_service_does_not_double_a_deposit() {
    let fleet = start("lost").await;
    let plan = fault::FaultPlan {
        lose_answers: 1,
        ..fault::FaultPlan::default()
    };
    fleet::set_faults(fleet.platform, &plan).await.unwrap();
    for node in [0, 1, 0] {
        let (status, _) = fleet::call(
            fleet.nodes[node].callers,
            http::Method::POST,
            "/v1/services/booking/deposits",
            fleet::CALLER_KEY,
            &[("idempotency-key", "deposit-7")],
            r#"{"amount": 50}"#.to_owned(),
        )
        .await
        .unwrap();
        assert_eq!(status, 200);
    }
    let (_, counts) = fleet::call(
        fleet.service,
        http::Method::GET,
        "/counts",
        "",
        &[],
        String::new(),
    )
    .await
    .unwrap();
    assert_eq!(counts, r#"{"{\"amount\":50}":1}"#);
}
