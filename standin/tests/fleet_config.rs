//! Configuration over real processes: spread, races, lost answers, the command line.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::{operate, settings};
use arbutusfold_standin::{fault, fleet};

const NODES: usize = 9;

/// Time in which an accepted document must be in force on every node.
const SPREAD_TARGET: time::Duration = time::Duration::from_secs(1);

/// Time in which it must be in force in another region.
const REGION_TARGET: time::Duration = time::Duration::from_secs(7);

async fn start(name: &str, nodes: usize) -> fleet::TestFleet {
    let directory = std::env::temp_dir().join(format!("arbutusfold-{name}-{}", std::process::id()));
    let options = fleet::FleetOptions {
        nodes,
        domains: 3,
        layers: 2,
        ranges: 1,
        replicas: 1,
        step: time::Duration::from_millis(1),
        answer_keep: time::Duration::from_millis(200),
        directory,
    };
    fleet::TestFleet::start(options).await.unwrap()
}

fn with_weight(fleet: &fleet::TestFleet, weight: u32) -> serde_json::Value {
    let mut document = fleet.document();
    document["organisations"][0]["weight"] = weight.into();
    document
}

async fn get<A: serde::de::DeserializeOwned>(node: &fleet::FleetNode, path: &str) -> A {
    let token = fleet::OPERATOR_TOKEN;
    let (status, body) = fleet::call(
        node.operators,
        http::Method::GET,
        path,
        token,
        &[],
        String::new(),
    )
    .await
    .unwrap();
    assert_eq!(status, 200, "{body}");
    serde_json::from_str(&body).unwrap()
}

async fn submit(
    node: &fleet::FleetNode,
    base: u64,
    document: &serde_json::Value,
) -> (u16, serde_json::Value) {
    let path = format!("/v1/config?base={base}");
    let (status, body) = fleet::call(
        node.operators,
        http::Method::POST,
        &path,
        fleet::OPERATOR_TOKEN,
        &[],
        document.to_string(),
    )
    .await
    .unwrap();
    (status, serde_json::from_str(&body).unwrap())
}

async fn version(node: &fleet::FleetNode) -> u64 {
    let shown: operate::ShownDocument = get(node, "/v1/config").await;
    shown.version
}

async fn await_version(fleet: &fleet::TestFleet, expected: u64, limit: time::Duration) {
    let begin = time::Instant::now();
    loop {
        let asked = fleet.nodes.iter().map(version);
        let held = futures_util::future::join_all(asked).await;
        if held.iter().all(|version| *version == expected) {
            return;
        }
        assert!(
            begin.elapsed() < limit,
            "after {:?}: {held:?}",
            begin.elapsed()
        );
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

async fn await_members(fleet: &fleet::TestFleet) {
    let begin = time::Instant::now();
    for node in &fleet.nodes {
        loop {
            let status: operate::ConfigStatus = get(node, "/v1/config/status").await;
            if status.hosts.len() == fleet.nodes.len() {
                break;
            }
            assert!(begin.elapsed() < time::Duration::from_secs(20));
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test]
async fn accepted_document_spreads_while_the_store_is_down() {
    let fleet = start("spread", NODES).await;
    fleet.submit(0, &fleet.document()).await.unwrap();
    await_version(&fleet, 1, time::Duration::from_secs(10)).await;
    await_members(&fleet).await;
    let plan = fault::FaultPlan {
        outage_after_commit: true,
        ..fault::FaultPlan::default()
    };
    fleet::set_faults(fleet.platform, &plan).await.unwrap();
    let (status, body) = submit(&fleet.nodes[4], 1, &with_weight(&fleet, 2)).await;
    assert_eq!(status, 200, "{body}");
    let begin = time::Instant::now();
    await_version(&fleet, 2, SPREAD_TARGET).await;
    println!(
        "in force on {NODES} nodes with the store down {:?} after acceptance",
        begin.elapsed()
    );
    let status: operate::ConfigStatus = get(&fleet.nodes[0], "/v1/config/status").await;
    assert_eq!(status.hosts.len(), NODES);
}

/// Restarts a node with another region in its settings.
fn move_region(node: &mut fleet::FleetNode, region: &str) {
    node.process.kill();
    let text = std::fs::read_to_string(&node.settings).unwrap();
    let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
    settings["region"] = region.into();
    std::fs::write(&node.settings, settings.to_string()).unwrap();
    let arguments = ["node", node.settings.to_str().unwrap()].map(str::to_owned);
    let log = std::process::Stdio::null();
    node.process = fleet::FleetProcess::start("arbutusfold", &arguments, log).unwrap();
}

#[tokio::test]
async fn accepted_document_reaches_another_region_while_the_store_is_down() {
    let mut fleet = start("regions", 6).await;
    for node in &mut fleet.nodes[3..] {
        move_region(node, "nz-north");
    }
    for node in &fleet.nodes {
        fleet::await_http(node.operators, "/health").await.unwrap();
    }
    fleet.submit(0, &fleet.document()).await.unwrap();
    await_version(&fleet, 1, time::Duration::from_secs(10)).await;
    // Regions meet, and the old records of the moved hosts run out.
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    let plan = fault::FaultPlan {
        outage_after_commit: true,
        ..fault::FaultPlan::default()
    };
    fleet::set_faults(fleet.platform, &plan).await.unwrap();
    let (status, body) = submit(&fleet.nodes[1], 1, &with_weight(&fleet, 2)).await;
    assert_eq!(status, 200, "{body}");
    let begin = time::Instant::now();
    await_version(&fleet, 2, REGION_TARGET).await;
    println!(
        "in force in two regions with the store down {:?} after acceptance",
        begin.elapsed()
    );
}

#[tokio::test]
async fn one_of_two_operators_wins_and_the_other_sees_the_difference() {
    let fleet = start("race", 2).await;
    fleet.submit(0, &fleet.document()).await.unwrap();
    await_version(&fleet, 1, time::Duration::from_secs(10)).await;
    let left = with_weight(&fleet, 2);
    let right = with_weight(&fleet, 3);
    let (left, right) = tokio::join!(
        submit(&fleet.nodes[0], 1, &left),
        submit(&fleet.nodes[1], 1, &right)
    );
    let (won, lost) = if left.0 == 200 {
        (left, right)
    } else {
        (right, left)
    };
    assert_eq!((won.0, lost.0), (200, 409), "{} {}", won.1, lost.1);
    let error = &lost.1["error"];
    assert_eq!(error["code"], "conflict");
    assert_eq!(error["conflict"]["newest"], 2);
    assert_eq!(error["conflict"]["operator"], "fleet");
    let change = &error["conflict"]["changes"]["entries"][0];
    assert_eq!(change["entry"], "novia-lima");
    assert_eq!(change["fields"], serde_json::json!(["weight"]));
}

#[tokio::test]
async fn lost_answer_still_tells_the_operator_the_truth() {
    let fleet = start("truth", 2).await;
    let plan = fault::FaultPlan {
        lose_answers: 1,
        ..fault::FaultPlan::default()
    };
    fleet::set_faults(fleet.platform, &plan).await.unwrap();
    let (status, body) = submit(&fleet.nodes[0], 0, &fleet.document()).await;
    assert_eq!((status, &body["version"]), (200, &1.into()), "{body}");
    let trail: operate::AuditTrail = get(&fleet.nodes[1], "/v1/audit").await;
    assert_eq!(trail.entries.len(), 1);
    assert_eq!(trail.entries[0].operator, "fleet");
    assert_eq!(trail.entries[0].host, "entry-0");
    assert_eq!(trail.entries[0].changes.entries.len(), 6);
}

#[tokio::test]
async fn store_that_lost_its_rows_reverts_nothing() {
    let mut fleet = start("behind", 2).await;
    fleet.submit(0, &fleet.document()).await.unwrap();
    fleet.submit(1, &with_weight(&fleet, 2)).await.unwrap();
    await_version(&fleet, 2, time::Duration::from_secs(10)).await;
    fleet.platform_process.kill();
    let arguments = ["platform", "--listen", &fleet.platform.to_string()].map(str::to_owned);
    fleet.platform_process = fleet::FleetProcess::start(
        "arbutusfold-standin",
        &arguments,
        std::process::Stdio::null(),
    )
    .unwrap();
    fleet::await_http(fleet.platform, "/commits").await.unwrap();
    let begin = time::Instant::now();
    loop {
        let status: operate::ConfigStatus = get(&fleet.nodes[1], "/v1/config/status").await;
        assert_eq!(status.version, 2);
        if status.fault.behind == Some(0) {
            break;
        }
        assert!(begin.elapsed() < time::Duration::from_secs(20));
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let (status, body) = submit(&fleet.nodes[0], 2, &with_weight(&fleet, 3)).await;
    assert_eq!((status, &body["version"]), (200, &3.into()), "{body}");
    await_version(&fleet, 3, time::Duration::from_secs(10)).await;
}

#[tokio::test]
async fn command_line_submits_and_shows() {
    let fleet = start("cli", 2).await;
    let directory = &fleet.options.directory;
    let document = directory.join("document.json");
    std::fs::write(&document, fleet.document().to_string()).unwrap();
    let document = document.to_str().unwrap();
    let accepted = command(&fleet, &["config", "submit", "--base", "0", document]);
    assert_eq!(accepted, (0, "accepted as version 1\n".to_owned()));
    let conflict = command(&fleet, &["config", "submit", "--base", "0", document]);
    assert_eq!(conflict.0, 4);
    await_version(&fleet, 1, time::Duration::from_secs(10)).await;
    let shown = command(&fleet, &["config", "show"]);
    assert_eq!(shown, (0, fleet.document().to_string()));
    let (code, history) = command(&fleet, &["config", "history"]);
    assert_eq!((code, history.lines().count()), (0, 2));
    let (code, status) = command(&fleet, &["config", "status"]);
    assert_eq!(code, 0);
    assert!(status.contains("entry-0"), "{status}");
    let (code, audit) = command(&fleet, &["audit"]);
    assert_eq!(code, 0);
    assert!(audit.contains("\"operator\": \"fleet\""), "{audit}");
    let (code, story) = command(&fleet, &["explain", "1"]);
    assert_eq!(code, 0);
    assert!(story.contains("ConfigInForce"), "{story}");
    // A node names itself once it has also heard of the upstreams.
    fleet::await_http(fleet.nodes[0].operators, "/ready")
        .await
        .unwrap();
    let callers = fleet.nodes[0].callers.to_string();
    let (code, addresses) = command(&fleet, &["addresses", "--callers", &callers]);
    assert_eq!(code, 0);
    assert!(addresses.contains(&callers), "{addresses}");
}

#[tokio::test]
async fn unknown_tokens_are_refused() {
    let fleet = start("token", 1).await;
    let text = std::fs::read_to_string(&fleet.nodes[0].settings).unwrap();
    assert_eq!(settings::parse(&text).unwrap().operator_tokens.len(), 1);
    for (method, path) in [
        (http::Method::GET, "/v1/config"),
        (http::Method::POST, "/v1/config?base=0"),
        (http::Method::GET, "/v1/audit"),
        (http::Method::GET, "/v1/explain/x"),
    ] {
        let node = fleet.nodes[0].operators;
        let (status, _) = fleet::call(node, method, path, "wrong", &[], String::new())
            .await
            .unwrap();
        assert_eq!(status, 401, "{path}");
    }
}

fn command(fleet: &fleet::TestFleet, arguments: &[&str]) -> (i32, String) {
    let program = std::env::current_exe().unwrap();
    let program = program.ancestors().nth(2).unwrap().join("arbutusfold");
    let output = std::process::Command::new(program)
        .args(arguments)
        .env("ARBUTUSFOLD_TOKEN", fleet::OPERATOR_TOKEN)
        .env("ARBUTUSFOLD_NODE", fleet.nodes[0].operators.to_string())
        .output()
        .unwrap();
    let out = String::from_utf8(output.stdout).unwrap();
    (output.status.code().unwrap(), out)
}
