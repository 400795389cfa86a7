//! Answers stay whole while stages die, stall, restart and lose their links.

#![allow(clippy::unwrap_used)]

use std::process;
use std::time;

use arbutusfold::{client, upstream};
use arbutusfold_standin::{fault, fleet, model};
use http_body_util::BodyExt;

const LAYERS: u32 = 6;
const RANGES: u32 = 2;
const REPLICAS: u32 = 3;
const TOKENS: u32 = 120;

async fn start(name: &str) -> fleet::TestFleet {
    let directory = std::env::temp_dir().join(format!("arbutusfold-{name}-{}", process::id()));
    let options = fleet::FleetOptions {
        nodes: 1,
        domains: 2,
        layers: LAYERS,
        ranges: RANGES,
        replicas: REPLICAS,
        step: time::Duration::from_millis(3),
        answer_keep: time::Duration::from_millis(500),
        directory,
    };
    let fleet = fleet::TestFleet::start(options).await.unwrap();
    fleet.submit(0, &fleet.document()).await.unwrap();
    // Every runner has reported once a whole answer passed and a period went by.
    let (status, _) = complete(fleet.nodes[0].callers, "warm", 1).await;
    assert_eq!(status, 200);
    tokio::time::sleep(time::Duration::from_millis(1_200)).await;
    fleet
}

async fn complete(
    callers: std::net::SocketAddr,
    prompt: &str,
    tokens: u32,
) -> (u16, serde_json::Value) {
    let order = serde_json::json!({"model": "assistant", "prompt": prompt, "max_tokens": tokens});
    let (status, body) = fleet::call(
        callers,
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

/// Starts `count` requests at once; each result is checked against the model.
fn start_many(fleet: &fleet::TestFleet, count: usize) -> Vec<tokio::task::JoinHandle<()>> {
    let callers = fleet.nodes[0].callers;
    (0..count)
        .map(|index| {
            tokio::spawn(async move {
                let prompt = format!("bride {index}");
                let (status, answer) = complete(callers, &prompt, TOKENS).await;
                assert_eq!(status, 200, "{answer}");
                let expected = model::expected("assistant", LAYERS, &prompt, TOKENS);
                assert_eq!(answer["choices"][0]["text"], expected);
            })
        })
        .collect()
}

async fn await_all(tasks: Vec<tokio::task::JoinHandle<()>>) {
    for task in tasks {
        task.await.unwrap();
    }
}

async fn pause(millis: u64) {
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

async fn metric(fleet: &fleet::TestFleet, name: &str) -> u64 {
    let (_, text) = fleet::call(
        fleet.nodes[0].operators,
        http::Method::GET,
        "/metrics",
        "",
        &[],
        String::new(),
    )
    .await
    .unwrap();
    let prefix = format!("arbutusfold_{name}_total ");
    text.lines()
        .find_map(|line| line.strip_prefix(&prefix))
        .unwrap()
        .parse()
        .unwrap()
}

async fn running(address: std::net::SocketAddr) -> u32 {
    let report: upstream::EngineReport = client::HttpClient::for_engines()
        .get_json(address, upstream::REPORT_PATH)
        .await
        .unwrap();
    report.running
}

#[tokio::test]
async fn stages_that_die_twice_in_one_request_lose_no_token() {
    let mut fleet = start("deaths").await;
    let tasks = start_many(&fleet, 12);
    pause(150).await;
    // Two of three runners of the last range, then of the first.
    for index in [3, 4] {
        fleet.runners[index].2.kill();
    }
    pause(200).await;
    for index in [0, 1] {
        fleet.runners[index].2.kill();
    }
    await_all(tasks).await;
    assert!(metric(&fleet, "retries").await >= 12);
}

#[tokio::test]
async fn frozen_stage_and_cut_link_lose_no_token() {
    let fleet = start("stalls").await;
    let tasks = start_many(&fleet, 12);
    pause(150).await;
    let frozen = fault::FaultPlan {
        freeze: true,
        ..fault::FaultPlan::default()
    };
    fleet::set_faults(fleet.runners[4].1, &frozen)
        .await
        .unwrap();
    pause(100).await;
    let cut = fault::FaultPlan {
        cut_links: vec![fleet.runners[3].1.port()],
        ..fault::FaultPlan::default()
    };
    for index in 0..2 {
        fleet::set_faults(fleet.runners[index].1, &cut)
            .await
            .unwrap();
    }
    await_all(tasks).await;
    assert!(metric(&fleet, "retries").await > 0);
    // New requests are answered while the faults last.
    await_all(start_many(&fleet, 6)).await;
}

#[tokio::test]
async fn restarted_stage_costs_no_caller_an_error() {
    let mut fleet = start("restart").await;
    for index in [0, 1, 2] {
        let address = fleet.runners[index].1;
        fleet.runners[index].2.kill();
        let arguments = [
            "runner",
            "--listen",
            &address.to_string(),
            "--model",
            "assistant",
            "--from",
            "0",
            "--to",
            "3",
            "--layers",
            "6",
            "--step-us",
            "3000",
        ]
        .map(str::to_owned);
        fleet.runners[index].2 =
            fleet::FleetProcess::start("arbutusfold-standin", &arguments, process::Stdio::null())
                .unwrap();
        fleet::await_http(address, upstream::REPORT_PATH)
            .await
            .unwrap();
        await_all(start_many(&fleet, 6)).await;
    }
}

#[tokio::test]
async fn stray_tokens_are_dropped_and_counted() {
    let fleet = start("strays").await;
    let strays = fault::FaultPlan {
        stray_tokens: true,
        ..fault::FaultPlan::default()
    };
    for runner in &fleet.runners {
        fleet::set_faults(runner.1, &strays).await.unwrap();
    }
    await_all(start_many(&fleet, 2)).await;
    // Three strays beside each token but the first, which has two.
    assert_eq!(
        metric(&fleet, "dropped").await,
        2 * u64::from(3 * TOKENS - 1)
    );
    assert_eq!(metric(&fleet, "retries").await, 0);
}

#[tokio::test]
async fn engines_stop_when_the_caller_goes() {
    let fleet = start("cancel").await;
    let order = serde_json::json!({
        "model": "assistant", "prompt": "ranger", "max_tokens": 30_000, "stream": true,
    });
    let request = http::Request::post(format!("http://{}/v1/completions", fleet.nodes[0].callers))
        .header("authorization", format!("Bearer {}", fleet::CALLER_KEY))
        .body(http_body_util::Full::new(bytes::Bytes::from(
            order.to_string(),
        )))
        .unwrap();
    let caller = client::HttpClient::for_services();
    let mut body = caller.send(request).await.unwrap().into_body();
    for _ in 0..5 {
        body.frame().await.unwrap().unwrap();
    }
    let mut before = 0;
    for runner in &fleet.runners {
        before += running(runner.1).await;
    }
    assert_eq!(
        before, RANGES,
        "one attempt runs on one engine of each range"
    );
    drop(body);
    drop(caller);
    for _ in 0..100 {
        let mut left = 0;
        for runner in &fleet.runners {
            left += running(runner.1).await;
        }
        if left == 0 {
            return;
        }
        pause(10).await;
    }
    panic!("engines still run an answer that nobody waits for");
}

#[tokio::test]
async fn request_that_reached_no_engine_did_not_run() {
    let mut fleet = start("unsent").await;
    for runner in &mut fleet.runners {
        runner.2.kill();
    }
    let (status, answer) = complete(fleet.nodes[0].callers, "guide", 4).await;
    assert_eq!(status, 503);
    assert_eq!(answer["error"]["ran"], "no", "{answer}");
    assert!(answer["error"]["retry_after_ms"].as_u64().unwrap() > 0);
}
