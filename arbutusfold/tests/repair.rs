//! Tests of the repair planner: loads that restore replicas, flapping hosts and the
//! rate of the weight store.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::{document, order, repair, upstream};
use tokio::time;

const LAYERS: u32 = 8;
const SECOND: std_time::Duration = std_time::Duration::from_secs(1);

fn config(replicas: u32, upstreams: &[(&str, u32)]) -> document::ConfigDocument {
    let names: Vec<_> = upstreams.iter().map(|(name, _)| *name).collect();
    let specs: Vec<_> = upstreams
        .iter()
        .map(|(name, capacity)| {
            serde_json::json!({
                "name": name, "address": "127.0.0.1:1", "domain": "pe-a",
                "accelerator": "standin", "capacity_layers": capacity,
            })
        })
        .collect();
    let text = serde_json::json!({
        "models": [{"name": "assistant", "layers": LAYERS, "version": "2"}],
        "pipelines": [{
            "name": "assistant", "model": "assistant",
            "upstreams": names, "replicas": replicas,
        }],
        "upstreams": specs, "services": [], "organisations": [],
    });
    serde_json::from_value(text).unwrap()
}

fn held(from: u32, to: u32) -> upstream::HeldLayers {
    upstream::HeldLayers {
        model: "assistant".to_owned(),
        version: "2".to_owned(),
        layers: upstream::LayerRange { from, to },
    }
}

fn report(ranges: &[(u32, u32)]) -> upstream::EngineReport {
    serde_json::from_value(serde_json::json!({
        "incarnation": 1,
        "held": ranges.iter().map(|(from, to)| held(*from, *to)).collect::<Vec<_>>(),
        "running": 0, "waiting": 0, "tokens_per_second": 100,
        "leaving": false, "fencing": 0, "age_ms": 0,
    }))
    .unwrap()
}

/// Passes the same reports to the planner once a second and returns all planned
/// loads.
async fn run_planner(
    planner: &mut repair::RepairPlanner,
    document: &document::ConfigDocument,
    reports: &[(&str, Option<upstream::EngineReport>)],
    seconds: u32,
) -> Vec<repair::PlannedLoad> {
    let mut loads = Vec::new();
    for _ in 0..seconds {
        let now = time::Instant::now();
        for (name, report) in reports {
            planner.update(name, report.as_ref(), now);
        }
        loads.extend(planner.plan(document, now));
        time::sleep(SECOND).await;
    }
    loads
}

#[tokio::test(start_paused = true)]
async fn a_lost_range_is_loaded_once_on_the_free_host() {
    let document = config(1, &[("a", 4), ("b", 4), ("spare", 4)]);
    let mut planner = repair::RepairPlanner::default();
    let healthy = [
        ("a", Some(report(&[(0, 4)]))),
        ("b", Some(report(&[(4, 8)]))),
        ("spare", Some(report(&[]))),
    ];
    assert!(
        run_planner(&mut planner, &document, &healthy, 20)
            .await
            .is_empty()
    );
    let degraded = [
        ("a", Some(report(&[(0, 4)]))),
        ("b", None),
        ("spare", Some(report(&[]))),
    ];
    let loads = run_planner(&mut planner, &document, &degraded, 60).await;
    assert_eq!(loads.len(), 1, "{loads:?}");
    assert_eq!(loads[0].upstream, "spare");
    assert_eq!(loads[0].target.held, [held(4, 8)]);
    assert_eq!(loads[0].layers_to_fetch, 4);
    let restored = [
        ("a", Some(report(&[(0, 4)]))),
        ("b", None),
        ("spare", Some(report(&[(4, 8)]))),
    ];
    assert!(
        run_planner(&mut planner, &document, &restored, 60)
            .await
            .is_empty()
    );
    // The lost host is back. Surplus replicas must not cause a load.
    let returned = [
        ("a", Some(report(&[(0, 4)]))),
        ("b", Some(report(&[(4, 8)]))),
        ("spare", Some(report(&[(4, 8)]))),
    ];
    assert!(
        run_planner(&mut planner, &document, &returned, 600)
            .await
            .is_empty()
    );
}

#[tokio::test(start_paused = true)]
async fn a_host_with_surplus_layers_helps_out() {
    let document = config(1, &[("a", 4), ("b", 4), ("c", 4)]);
    let mut planner = repair::RepairPlanner::default();
    let reports = [
        ("a", Some(report(&[(0, 4)]))),
        ("b", Some(report(&[(0, 4)]))),
        ("c", None),
    ];
    let loads = run_planner(&mut planner, &document, &reports, 30).await;
    assert_eq!(loads.len(), 1, "{loads:?}");
    assert_eq!(loads[0].target.held, [held(4, 8)]);
}

#[tokio::test(start_paused = true)]
async fn a_host_that_comes_and_goes_causes_no_reload_storm() {
    let document = config(2, &[("a", 8), ("flapping", 8), ("spare", 8)]);
    let mut planner = repair::RepairPlanner::default();
    let up = [
        ("a", Some(report(&[(0, 8)]))),
        ("flapping", Some(report(&[]))),
        ("spare", None),
    ];
    let down = [
        ("a", Some(report(&[(0, 8)]))),
        ("flapping", None),
        ("spare", None),
    ];
    let mut loads = 0;
    for _ in 0..200 {
        loads += run_planner(&mut planner, &document, &up, 8).await.len();
        loads += run_planner(&mut planner, &document, &down, 10).await.len();
    }
    // Each cycle is long enough to plan a load and to lose the host again.
    // Without the growing stable time, this hour would have 200 loads.
    assert!(loads <= 2, "{loads} loads in an hour");
}

#[tokio::test(start_paused = true)]
async fn loads_keep_to_the_rate_of_the_weight_store() {
    let names: Vec<_> = (0..60).map(|host| format!("spare-{host:02}")).collect();
    let upstreams: Vec<_> = names.iter().map(|name| (name.as_str(), 8)).collect();
    let document = config(60, &upstreams);
    let mut planner = repair::RepairPlanner::default();
    let reports: Vec<_> = upstreams
        .iter()
        .map(|(name, _)| (*name, Some(report(&[]))))
        .collect();
    let loads = run_planner(&mut planner, &document, &reports, 25).await;
    let layers_to_fetch: u32 = loads.iter().map(|load| load.layers_to_fetch).sum();
    // After the stable time: a burst of 64 layers, then 8 layers per second.
    assert!(
        (64 + 100..=64 + 200).contains(&layers_to_fetch),
        "{layers_to_fetch} layers"
    );
    let roles = loads.iter().map(|load| load.target.role);
    assert!(
        roles
            .into_iter()
            .all(|role| role == order::EngineRole::Mixed)
    );
}
