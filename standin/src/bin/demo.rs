//! Shows the whole path: a fleet of processes, a kill, a graceful stop.

use std::time;

use anyhow::Context;
use arbutusfold::client;
use arbutusfold_standin::{fleet, model};
use http_body_util::BodyExt;
use nix::sys::signal;

const LAYERS: u32 = 12;
const TOKENS: u32 = 60;
const PROMPT: &str = "a trial session for Saturday";

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let directory = std::env::temp_dir().join(format!("arbutusfold-demo-{}", std::process::id()));
    let options = fleet::FleetOptions {
        nodes: 3,
        domains: 3,
        layers: LAYERS,
        ranges: 3,
        replicas: 2,
        step: time::Duration::from_millis(5),
        answer_keep: time::Duration::from_secs(1),
        directory: directory.clone(),
    };
    let mut fleet = fleet::TestFleet::start(options).await?;
    println!("started 1 platform, 6 runners, 1 service, 3 nodes");
    let version = fleet.submit(0, &fleet.document()).await?;
    println!("configuration version {version} is in force on every node");
    let first = show_addresses(&fleet).await?;
    println!("a caller was given {first} addresses");
    stream_answer(&mut fleet, None).await?;
    println!("an answer of {TOKENS} tokens came whole and correct");
    book_deposit(&fleet).await?;
    println!("a deposit sent twice under one key ran once");
    stream_answer(&mut fleet, Some(2)).await?;
    println!("runner-1-0 was killed in mid-stream and the answer came whole and correct");
    stop_node(&mut fleet).await?;
    println!("entry-1 stopped gracefully and its stream was not cut");
    drop(fleet);
    std::fs::remove_dir_all(&directory)?;
    println!("demo: every step was right");
    Ok(())
}

async fn show_addresses(fleet: &fleet::TestFleet) -> anyhow::Result<usize> {
    let limit = tokio::time::Instant::now() + time::Duration::from_secs(5);
    loop {
        let (_, body) = fleet::call(
            fleet.nodes[0].callers,
            http::Method::GET,
            "/v1/addresses",
            "",
            &[],
            String::new(),
        )
        .await?;
        let answer: serde_json::Value = serde_json::from_str(&body)?;
        let count = answer["addresses"].as_array().map_or(0, Vec::len);
        if count == fleet.nodes.len() {
            return Ok(count);
        }
        anyhow::ensure!(
            tokio::time::Instant::now() < limit,
            "only {count} addresses"
        );
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Streams one answer; a runner of the middle range is killed after ten tokens.
async fn stream_answer(fleet: &mut fleet::TestFleet, victim: Option<usize>) -> anyhow::Result<()> {
    let mut body = open_stream(fleet, 0).await?;
    let mut received = String::new();
    let mut killed = false;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            received.push_str(std::str::from_utf8(&data)?);
        }
        let events = received.matches("data: ").count();
        if let Some(victim) = victim.filter(|_| events > 10 && !killed) {
            fleet.runners[victim].2.kill();
            killed = true;
        }
    }
    check_text(&received)
}

async fn open_stream(
    fleet: &fleet::TestFleet,
    node: usize,
) -> anyhow::Result<hyper::body::Incoming> {
    let order = serde_json::json!({
        "model": "assistant", "prompt": PROMPT, "max_tokens": TOKENS, "stream": true,
    });
    let uri = format!("http://{}/v1/completions", fleet.nodes[node].callers);
    let request = http::Request::post(uri)
        .header("authorization", format!("Bearer {}", fleet::CALLER_KEY))
        .body(http_body_util::Full::from(order.to_string()))?;
    let response = client::HttpClient::for_services().send(request).await?;
    anyhow::ensure!(
        response.status() == 200,
        "the stream answered {}",
        response.status()
    );
    Ok(response.into_body())
}

fn check_text(received: &str) -> anyhow::Result<()> {
    let events: Vec<_> = received
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .collect();
    anyhow::ensure!(events.last() == Some(&"[DONE]"), "no end in {received}");
    let text = events[..events.len() - 1]
        .iter()
        .map(|event| {
            let event: serde_json::Value = serde_json::from_str(event)?;
            let text = event["choices"][0]["text"].as_str().context("no text")?;
            Ok(text.to_owned())
        })
        .collect::<anyhow::Result<String>>()?;
    let expected = model::expected("assistant", LAYERS, PROMPT, TOKENS);
    anyhow::ensure!(text == expected, "got {text:?}, expected {expected:?}");
    Ok(())
}

async fn book_deposit(fleet: &fleet::TestFleet) -> anyhow::Result<()> {
    let mut answers = Vec::new();
    for node in [0, 1] {
        let answer = fleet::call(
            fleet.nodes[node].callers,
            http::Method::POST,
            "/v1/services/booking/deposits",
            fleet::CALLER_KEY,
            &[("idempotency-key", "deposit-1")],
            r#"{"amount": 200}"#.to_owned(),
        )
        .await?;
        anyhow::ensure!(answer.0 == 200, "deposit answered {answer:?}");
        answers.push(answer.1);
    }
    anyhow::ensure!(answers[0] == answers[1], "answers differ: {answers:?}");
    let (_, counts) = fleet::call(
        fleet.service,
        http::Method::GET,
        "/counts",
        "",
        &[],
        String::new(),
    )
    .await?;
    let counts: std::collections::BTreeMap<String, u64> = serde_json::from_str(&counts)?;
    anyhow::ensure!(counts.values().eq([&1]), "runs: {counts:?}");
    Ok(())
}

async fn stop_node(fleet: &mut fleet::TestFleet) -> anyhow::Result<()> {
    let mut body = open_stream(fleet, 1).await?;
    fleet.nodes[1].process.signal(signal::Signal::SIGTERM)?;
    let mut received = String::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            received.push_str(std::str::from_utf8(&data)?);
        }
    }
    check_text(&received)?;
    let limit = tokio::time::Instant::now() + time::Duration::from_secs(10);
    loop {
        if let Some(status) = fleet.nodes[1].process.ended() {
            anyhow::ensure!(status.success(), "the node ended with {status}");
            return Ok(());
        }
        anyhow::ensure!(tokio::time::Instant::now() < limit, "the node did not end");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}
