//! Limits and crashing requests over real processes.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold_standin::{fault, fleet, model};

const LAYERS: u32 = 4;

/// Text of a prompt that crashes the runner that reads it.
const POISON: &str = "glacier-poison";

async fn start(name: &str) -> fleet::TestFleet {
    let directory = std::env::temp_dir().join(format!("arbutusfold-{name}-{}", std::process::id()));
    let options = fleet::FleetOptions {
        nodes: 3,
        domains: 3,
        layers: LAYERS,
        ranges: 2,
        replicas: 4,
        step: time::Duration::from_millis(5),
        answer_keep: time::Duration::from_millis(500),
        directory,
    };
    fleet::TestFleet::start(options).await.unwrap()
}

async fn complete(
    callers: std::net::SocketAddr,
    prompt: &str,
    tokens: u32,
) -> (u16, serde_json::Value) {
    let order = serde_json::json!({"model": "assistant", "prompt": prompt, "max_tokens": tokens});
    let answer = fleet::call(
        callers,
        http::Method::POST,
        "/v1/completions",
        fleet::CALLER_KEY,
        &[],
        order.to_string(),
    )
    .await;
    match answer {
        Ok((status, body)) => (status, serde_json::from_str(&body).unwrap()),
        Err(error) => panic!("{error}"),
    }
}

/// Waits until each node knows the others, so that they agree on keepers.
async fn await_peers(fleet: &fleet::TestFleet) {
    let limit = tokio::time::Instant::now() + time::Duration::from_secs(10);
    for node in &fleet.nodes {
        loop {
            let path = "/v1/addresses?caller=a";
            let (_, body) = fleet::call(
                node.callers,
                http::Method::GET,
                path,
                "",
                &[],
                String::new(),
            )
            .await
            .unwrap();
            let body: serde_json::Value = serde_json::from_str(&body).unwrap();
            if body["addresses"].as_array().unwrap().len() == fleet.nodes.len() {
                break;
            }
            assert!(tokio::time::Instant::now() < limit, "peers did not meet");
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn one_request_crashes_at_most_two_runners_and_innocents_are_answered() {
    let mut fleet = start("poison").await;
    fleet.submit(0, &fleet.document()).await.unwrap();
    await_peers(&fleet).await;
    let plan = fault::FaultPlan {
        crash_on: Some(POISON.to_owned()),
        ..fault::FaultPlan::default()
    };
    for (_, address, _) in &fleet.runners {
        fleet::set_faults(*address, &plan).await.unwrap();
    }
    let callers: Vec<_> = fleet.nodes.iter().map(|node| node.callers).collect();
    let innocents: Vec<_> = (0..24)
        .map(|index| {
            let callers = callers[index % callers.len()];
            tokio::spawn(async move {
                let prompt = format!("airbrush {index}");
                let (status, answer) = complete(callers, &prompt, 40).await;
                (prompt, status, answer)
            })
        })
        .collect();
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    // Three nodes get the request at the same moment, and again, and again.
    for _ in 0..4 {
        let sent: Vec<_> = callers
            .iter()
            .map(|callers| tokio::spawn(complete(*callers, POISON, 4)))
            .collect();
        for task in sent {
            let (status, answer) = task.await.unwrap();
            assert!(status >= 400, "{status} {answer}");
            assert!(answer["error"]["ran"].is_string(), "{answer}");
        }
    }
    let dead = fleet
        .runners
        .iter_mut()
        .filter_map(|(_, _, process)| process.ended())
        .count();
    assert!((1..=2).contains(&dead), "{dead} runners died");
    for task in innocents {
        let (prompt, status, answer) = task.await.unwrap();
        assert_eq!(status, 200, "{prompt}: {answer}");
        let expected = model::expected("assistant", LAYERS, &prompt, 40);
        assert_eq!(answer["choices"][0]["text"], expected);
    }
    let (status, answer) = complete(callers[0], POISON, 4).await;
    assert_eq!(status, 422, "{answer}");
    assert_eq!(answer["error"]["ran"], "no");
    assert!(answer["error"]["retry_after_ms"].as_u64().unwrap() > 0);
}

#[tokio::test]
async fn a_limit_holds_over_all_nodes() {
    let fleet = start("limit").await;
    let mut document = fleet.document();
    document["organisations"][0]["requests_per_second"] = serde_json::json!(30);
    fleet.submit(0, &document).await.unwrap();
    await_peers(&fleet).await;
    let began = tokio::time::Instant::now();
    let callers: Vec<_> = fleet.nodes.iter().map(|node| node.callers).collect();
    let mut tasks = Vec::new();
    // Twice the limit, most of it at one node.
    for index in 0..480_u64 {
        let due = began + time::Duration::from_micros(index * 16_667);
        tokio::time::sleep_until(due).await;
        let callers = callers[if index % 4 == 0 { 1 } else { 0 }];
        tasks.push(tokio::spawn(async move {
            let (status, answer) = complete(callers, &format!("look {index}"), 1).await;
            (status, answer, began.elapsed())
        }));
    }
    let mut passed = Vec::new();
    for task in tasks {
        let (status, answer, at) = task.await.unwrap();
        match status {
            200 => passed.push(at),
            _ => assert_eq!(answer["error"]["code"], "limit_reached", "{answer}"),
        }
    }
    let second = time::Duration::from_secs(1);
    let most = passed
        .iter()
        .map(|from| {
            passed
                .iter()
                .filter(|at| **at >= *from && **at < *from + second)
                .count()
        })
        .max()
        .unwrap();
    // Answers are seen through a shared machine, so a few may bunch up here;
    // the bound itself is measured on the paused clock.
    assert!(most <= 36, "{most} answers in one second");
    let settled = passed
        .iter()
        .filter(|at| **at >= 6 * second && **at < 8 * second);
    let settled = settled.count();
    assert!(settled >= 42, "{settled} answers in the last two seconds");
}
