//! A runner dies and a spare host is ordered to hold its layers.

#![allow(clippy::unwrap_used)]

use std::process;
use std::time;

use arbutusfold_standin::{fleet, model};

const LAYERS: u32 = 6;

/// Longest time from the death of a runner to the next whole answer.
const REPAIR_LIMIT: time::Duration = time::Duration::from_secs(30);

#[tokio::test]
async fn cover_comes_back_on_a_spare_host() {
    let directory = std::env::temp_dir().join(format!("arbutusfold-repair-{}", process::id()));
    let options = fleet::FleetOptions {
        nodes: 2,
        domains: 2,
        layers: LAYERS,
        ranges: 2,
        replicas: 1,
        step: time::Duration::from_millis(1),
        answer_keep: time::Duration::from_millis(500),
        directory,
    };
    let mut fleet = fleet::TestFleet::start(options).await.unwrap();
    let spare = fleet::free_address().unwrap();
    let arguments = format!(
        "runner --listen {spare} --model assistant --from 0 --to 0 --layers {LAYERS} --step-us 1000"
    );
    let arguments: Vec<_> = arguments.split(' ').map(str::to_owned).collect();
    let _spare =
        fleet::FleetProcess::start("arbutusfold-standin", &arguments, process::Stdio::null())
            .unwrap();
    let mut document = fleet.document();
    let spec = serde_json::json!({
        "name": "spare-0", "address": spare, "domain": "pe-0",
        "accelerator": "standin", "capacity_layers": 3, "checks_fencing": false,
    });
    document["upstreams"].as_array_mut().unwrap().push(spec);
    let members = document["pipelines"][0]["upstreams"]
        .as_array_mut()
        .unwrap();
    members.push(serde_json::json!("spare-0"));
    fleet.submit(0, &document).await.unwrap();
    await_answer(&fleet).await;

    fleet.runners[1].2.kill();
    let killed = tokio::time::Instant::now();
    await_answer(&fleet).await;
    println!("cover was back after {:?}", killed.elapsed());
    let report = fleet::call(
        spare,
        http::Method::GET,
        "/v1/report",
        "",
        &[],
        String::new(),
    );
    let (_, report) = report.await.unwrap();
    let report: serde_json::Value = serde_json::from_str(&report).unwrap();
    assert_eq!(
        report["held"][0]["layers"],
        serde_json::json!({"from": 3, "to": 6})
    );
}

async fn await_answer(fleet: &fleet::TestFleet) {
    let limit = tokio::time::Instant::now() + REPAIR_LIMIT;
    let order = serde_json::json!({"model": "assistant", "prompt": "veil", "max_tokens": 5});
    loop {
        let (status, body) = fleet::call(
            fleet.nodes[0].callers,
            http::Method::POST,
            "/v1/completions",
            fleet::CALLER_KEY,
            &[],
            order.to_string(),
        )
        .await
        .unwrap();
        if status == 200 {
            let answer: serde_json::Value = serde_json::from_str(&body).unwrap();
            let expected = model::expected("assistant", LAYERS, "veil", 5);
            assert_eq!(answer["choices"][0]["text"], expected);
            return;
        }
        assert!(
            tokio::time::Instant::now() < limit,
            "still {status}: {body}"
        );
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}
