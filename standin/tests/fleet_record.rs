//! Marked requests through real processes that die, pause and lose answers.

#![allow(clippy::unwrap_used)]

use std::collections;
use std::process;
use std::time;

use arbutusfold_standin::{fault, fleet};
use nix::sys::signal;

async fn start(name: &str) -> fleet::TestFleet {
    let directory = std::env::temp_dir().join(format!("arbutusfold-{name}-{}", process::id()));
    let options = fleet::FleetOptions {
        nodes: 2,
        domains: 2,
        layers: 2,
        ranges: 1,
        replicas: 1,
        step: time::Duration::from_millis(1),
        answer_keep: time::Duration::from_millis(500),
        directory,
    };
    let fleet = fleet::TestFleet::start(options).await.unwrap();
    fleet.submit(0, &fleet.document()).await.unwrap();
    fleet
}

async fn deposit(fleet: &fleet::TestFleet, node: usize, key: &str) -> (u16, serde_json::Value) {
    let (status, body) = fleet::call(
        fleet.nodes[node].callers,
        http::Method::POST,
        "/v1/services/booking/deposits",
        fleet::CALLER_KEY,
        // One request id for all resends: it must not pass for one attempt.
        &[("idempotency-key", key), ("x-request-id", "bride-1")],
        serde_json::json!({ "key": key }).to_string(),
    )
    .await
    .unwrap();
    (status, serde_json::from_str(&body).unwrap())
}

async fn counts(fleet: &fleet::TestFleet) -> collections::BTreeMap<String, u64> {
    let call = fleet::call(
        fleet.service,
        http::Method::GET,
        "/counts",
        "",
        &[],
        String::new(),
    );
    serde_json::from_str(&call.await.unwrap().1).unwrap()
}

async fn set_faults(address: std::net::SocketAddr, plan: fault::FaultPlan) {
    fleet::set_faults(address, &plan).await.unwrap();
}

#[tokio::test]
async fn resends_with_one_request_id_run_once() {
    let fleet = start("resend").await;
    let slow = fault::FaultPlan {
        delay_ms: 300,
        ..fault::FaultPlan::default()
    };
    set_faults(fleet.service, slow).await;
    let (first, second) = tokio::join!(deposit(&fleet, 0, "a"), deposit(&fleet, 1, "a"));
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    assert_eq!(deposit(&fleet, 1, "a").await.0, 200);
    assert!(counts(&fleet).await.values().eq([&1]));
}

#[tokio::test]
async fn outage_of_the_store_after_the_start_is_settled_later() {
    let fleet = start("outage").await;
    let slow = fault::FaultPlan {
        delay_ms: 500,
        ..fault::FaultPlan::default()
    };
    set_faults(fleet.service, slow).await;
    let outage = async {
        tokio::time::sleep(time::Duration::from_millis(250)).await;
        let outage = fault::FaultPlan {
            outage: true,
            ..fault::FaultPlan::default()
        };
        set_faults(fleet.platform, outage).await;
    };
    let (answer, ()) = tokio::join!(deposit(&fleet, 0, "b"), outage);
    assert_eq!(answer.0, 200, "{answer:?}");
    let (status, refused) = deposit(&fleet, 1, "b").await;
    assert_eq!(status, 503);
    assert_eq!(refused["error"]["ran"], "unknown");
    set_faults(fleet.platform, fault::FaultPlan::default()).await;
    let limit = tokio::time::Instant::now() + time::Duration::from_secs(10);
    loop {
        let again = deposit(&fleet, 1, "b").await;
        if again == answer {
            break;
        }
        assert!(
            tokio::time::Instant::now() < limit,
            "never settled: {again:?}"
        );
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    assert!(counts(&fleet).await.values().eq([&1]));
}

#[tokio::test]
async fn a_service_that_is_gone_is_told_as_not_run_and_a_resend_runs() {
    let mut fleet = start("gone").await;
    fleet.service_process.kill();
    let (status, refused) = deposit(&fleet, 0, "c").await;
    assert_eq!(status, 503);
    assert_eq!(refused["error"]["ran"], "no", "{refused}");
    let arguments = ["service", "--listen", &fleet.service.to_string()].map(str::to_owned);
    fleet.service_process =
        fleet::FleetProcess::start("arbutusfold-standin", &arguments, process::Stdio::null())
            .unwrap();
    fleet::await_http(fleet.service, "/counts").await.unwrap();
    assert_eq!(deposit(&fleet, 1, "c").await.0, 200);
    assert!(counts(&fleet).await.values().eq([&1]));
}

#[tokio::test]
async fn a_node_that_died_or_slept_leaves_no_second_run() {
    let mut fleet = start("death").await;
    let slow = fault::FaultPlan {
        delay_ms: 1_000,
        ..fault::FaultPlan::default()
    };
    set_faults(fleet.service, slow).await;
    let callers = fleet.nodes[0].callers;
    let sent = tokio::spawn(async move {
        let headers = [("idempotency-key", "d")];
        let path = "/v1/services/booking/deposits";
        let body = r#"{"key":"d"}"#.to_owned();
        let post = http::Method::POST;
        fleet::call(callers, post, path, fleet::CALLER_KEY, &headers, body).await
    });
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    fleet.nodes[0]
        .process
        .signal(signal::Signal::SIGSTOP)
        .unwrap();
    let (status, refused) = deposit(&fleet, 1, "d").await;
    assert_eq!(status, 409);
    assert_eq!(refused["error"]["ran"], "unknown");
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    fleet.nodes[0]
        .process
        .signal(signal::Signal::SIGCONT)
        .unwrap();
    let (status, _) = sent.await.unwrap().unwrap();
    assert_eq!(status, 200);
    assert_eq!(deposit(&fleet, 1, "d").await.0, 200);

    let killed = tokio::spawn({
        let headers = [("idempotency-key", "e")];
        async move {
            let path = "/v1/services/booking/deposits";
            let body = r#"{"key":"e"}"#.to_owned();
            let post = http::Method::POST;
            fleet::call(callers, post, path, fleet::CALLER_KEY, &headers, body).await
        }
    });
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    fleet.nodes[0].process.kill();
    assert!(killed.await.unwrap().is_err());
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    let (status, refused) = deposit(&fleet, 1, "e").await;
    assert_eq!(status, 409);
    assert_eq!(refused["error"]["ran"], "unknown");
    assert!(counts(&fleet).await.values().all(|count| *count == 1));
}

#[tokio::test]
async fn a_resend_to_a_host_without_configuration_is_not_told_that_nothing_ran() {
    let mut fleet = start("fresh").await;
    let (status, _) = deposit(&fleet, 0, "deposit-1").await;
    assert_eq!(status, 200);
    // The store is out, and no peer is known to the fresh host.
    let outage = fault::FaultPlan {
        outage: true,
        ..fault::FaultPlan::default()
    };
    set_faults(fleet.platform, outage).await;
    let known = std::mem::take(&mut fleet.nodes);
    let fresh = fleet.start_node(7).unwrap();
    fleet.nodes.push(fresh);
    fleet::await_http(fleet.nodes[0].operators, "/health")
        .await
        .unwrap();
    let (status, answer) = deposit(&fleet, 0, "deposit-1").await;
    assert_eq!((status, &answer["error"]["ran"]), (503, &"unknown".into()));
    drop(known);
}
