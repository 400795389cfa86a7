//! Tests of the limits that runners name, with real nodes on a paused clock and a
//! network in memory.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{core, mirror, runner_limit};
use arbutusfold::suspect;
use arbutusfold_platform::{head, store};
use bytes::Bytes;
use gateway_network::{DOMAINS, TestNetwork, publish, start};
use tokio::time;

const RUNNER: &str = "i-1";
const CONTACT: std_time::Duration = std_time::Duration::from_secs(3);

/// Window in which the platform counts the requests to a runner.
const WINDOW: std_time::Duration = std_time::Duration::from_secs(4);

/// Writes the runner's entry to all nodes; `born` is the start of its process.
fn put_runner(network: &TestNetwork, born: u64) {
    for core in network.nodes.get().unwrap() {
        let value = format!(
            r#"{{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",
            "born":{born}}}"#
        );
        let row = mirror::MirrorRow {
            key: RUNNER.to_owned(),
            version: store::RowVersion::new(0, born),
            value: Some(Bytes::from(value)),
        };
        core.merge(store::WatchedTable::Runners, vec![row]);
    }
}

/// Passes an answer of the runner to a node. It names `limit`, if any, and the
/// request was sent at `sent_at`.
fn answer(core: &core::GatewayCore, born: u64, limit: Option<&str>, sent_at: time::Instant) {
    let mut headers = http::HeaderMap::new();
    headers.insert(head::RESPONSE_STAMP, http::HeaderValue::from_static("x"));
    if let Some(limit) = limit {
        headers.insert(head::SERVER_LIMIT, limit.parse().unwrap());
    }
    let crash = suspect::CrashId {
        upstream: RUNNER.to_owned(),
        incarnation: born,
    };
    runner_limit::observe(core, &crash, &headers, sent_at);
}

fn limits(network: &TestNetwork) -> Vec<Option<f64>> {
    let nodes = network.nodes.get().unwrap().iter();
    let limit = |core: &sync::Arc<core::GatewayCore>| {
        let fleet = core.fleet.lock().unwrap();
        fleet
            .get(RUNNER)
            .unwrap()
            .limit()
            .and_then(|limit| limit.rate)
    };
    nodes.map(limit).collect()
}

/// Sends requests from each node, `period` apart, for `length`; returns when they
/// reached the runner. Its answers name `limit`, if any.
async fn press(
    network: &sync::Arc<TestNetwork>,
    limit: Option<&'static str>,
    period: std_time::Duration,
    length: std_time::Duration,
) -> Vec<time::Instant> {
    let end = time::Instant::now() + length;
    let mut nodes = tokio::task::JoinSet::new();
    for core in network.nodes.get().unwrap() {
        let core = sync::Arc::clone(core);
        nodes.spawn(async move {
            let mut reached = Vec::new();
            while time::Instant::now() < end {
                time::sleep(period.mul_f64(0.5 + rand::random::<f64>())).await;
                let now = time::Instant::now();
                let is_paused = {
                    let fleet = core.fleet.lock().unwrap();
                    fleet.get(RUNNER).unwrap().pause_left(now).is_some()
                };
                if !is_paused && runner_limit::claim(&core, RUNNER, "request").await {
                    let sent_at = time::Instant::now();
                    reached.push(sent_at);
                    time::sleep(std_time::Duration::from_millis(20)).await;
                    answer(&core, 7, limit, sent_at);
                }
            }
            reached
        });
    }
    let mut reached: Vec<_> = nodes.join_all().await.into_iter().flatten().collect();
    reached.sort_unstable();
    reached
}

fn most_in_window(reached: &[time::Instant]) -> usize {
    let in_window = |end: &time::Instant| {
        let last = reached.partition_point(|at| at <= end);
        last - reached.partition_point(|at| *at + WINDOW <= *end)
    };
    reached.iter().map(in_window).max().unwrap_or(0)
}

fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against nodes that learn of a limit only by their own requests, and
/// against one that keeps to a limit that was lifted.
#[tokio::test(start_paused = true)]
async fn limit_is_known_to_all_nodes_and_lifted_at_all() {
    let network = start(60, 0.0, 1);
    put_runner(&network, 7);
    let nodes = network.nodes.get().unwrap();
    let sent_at = time::Instant::now();
    time::sleep(std_time::Duration::from_millis(20)).await;
    answer(&nodes[5], 7, Some("4.7"), sent_at);
    time::sleep(std_time::Duration::from_millis(50)).await;
    assert_eq!(limits(&network), vec![Some(4.7); 60]);
    // The answer to a request from before does not lift it.
    answer(&nodes[9], 7, None, sent_at);
    // Nor does one of another process, or nonsense.
    answer(&nodes[9], 6, Some("1"), time::Instant::now());
    for nonsense in ["", "many", "-1", "NaN", "inf"] {
        answer(&nodes[9], 7, Some(nonsense), time::Instant::now());
    }
    time::sleep(std_time::Duration::from_millis(50)).await;
    assert_eq!(limits(&network), vec![Some(4.7); 60]);
    answer(&nodes[11], 7, Some("2.2"), time::Instant::now());
    time::sleep(std_time::Duration::from_millis(50)).await;
    assert_eq!(limits(&network), vec![Some(2.2); 60]);
    answer(&nodes[30], 7, None, time::Instant::now());
    time::sleep(std_time::Duration::from_millis(50)).await;
    assert_eq!(limits(&network), vec![None; 60]);
    answer(&nodes[30], 7, Some("3"), time::Instant::now());
    time::sleep(std_time::Duration::from_millis(50)).await;
    put_runner(&network, 8);
    assert_eq!(limits(&network), vec![None; 60]);
}

/// Guards against a started node that sends what it likes until a runner answers
/// it, which takes seconds for a stream.
#[tokio::test(start_paused = true)]
async fn started_node_asks_for_the_limits_in_force() {
    let network = start(9, 0.0, 1);
    put_runner(&network, 7);
    let nodes = network.nodes.get().unwrap();
    // The ninth node has just started: nobody told it.
    publish(&network, |own, other| own != 8 && other != 8);
    answer(&nodes[0], 7, Some("4.7"), time::Instant::now());
    time::sleep(std_time::Duration::from_millis(50)).await;
    assert_eq!(limits(&network)[8], None);
    publish(&network, |_, _| true);
    runner_limit::request(&nodes[8]);
    time::sleep(std_time::Duration::from_millis(50)).await;
    assert_eq!(limits(&network)[8], Some(4.7));
}

/// Guards against permits that are lost with messages, and against two issuers
/// that each give out the whole limit for long when the first one dies.
#[tokio::test(start_paused = true)]
async fn limit_is_kept_when_its_issuer_dies_and_messages_are_lost() {
    let rate = 4.7;
    for seed in 0..6 {
        let network = start(9, 0.05, seed);
        put_runner(&network, 7);
        let nodes = network.nodes.get().unwrap();
        answer(&nodes[0], 7, Some("4.7"), time::Instant::now());
        let period = std_time::Duration::from_millis(300);
        press(&network, Some("4.7"), period, CONTACT).await;
        let issuer = nodes[0].issuer(&suspect::fingerprint("", RUNNER, &[]));
        let issuer = nodes
            .iter()
            .position(|core| core.settings.name == issuer)
            .unwrap();
        // Its domain is cut off: claims get no answer until membership shows it.
        let pressed = tokio::spawn({
            let network = sync::Arc::clone(&network);
            async move {
                press(
                    &network,
                    Some("4.7"),
                    period,
                    std_time::Duration::from_secs(30),
                )
                .await
            }
        });
        time::sleep(std_time::Duration::from_secs(8)).await;
        network
            .cut
            .store(issuer % DOMAINS, atomic::Ordering::Relaxed);
        time::sleep(std_time::Duration::from_secs(2)).await;
        publish(&network, |own, other| {
            (own % DOMAINS == issuer % DOMAINS) == (other % DOMAINS == issuer % DOMAINS)
        });
        time::sleep(std_time::Duration::from_millis(2_500)).await;
        network.cut.store(DOMAINS, atomic::Ordering::Relaxed);
        publish(&network, |_, _| true);
        let reached = pressed.await.unwrap();
        assert!(
            most_in_window(&reached) <= allowed(rate),
            "seed {seed}: {}",
            most_in_window(&reached)
        );
        let used = reached.len() as f64 / (rate * 30.0);
        assert!(used >= 0.7, "seed {seed}: {used}");
    }
}

/// Prints what a limit costs, and checks that it costs nothing at rest.
#[tokio::test(start_paused = true)]
async fn permits_cost_little_at_any_size() {
    for nodes in [7, 60, 300] {
        let network = start(nodes, 0.0, 1);
        put_runner(&network, 7);
        let sent = |network: &TestNetwork| -> u64 {
            let sent = network.sent.iter();
            sent.map(|sent| sent.swap(0, atomic::Ordering::Relaxed))
                .sum()
        };
        let period = std_time::Duration::from_millis(500);
        let length = std_time::Duration::from_secs(10);
        sent(&network);
        let free = press(&network, None, period, length).await;
        let rest = sent(&network);
        // The exchange of crash records goes on beside it.
        let cores = network.nodes.get().unwrap();
        answer(&cores[0], 7, Some("4.7"), time::Instant::now());
        press(&network, Some("4.7"), period, length).await;
        sent(&network);
        let reached = press(&network, Some("4.7"), period, length * 2).await;
        let bytes = sent(&network) as f64 / 20.0 - rest as f64 / 10.0;
        let used = reached.len() as f64 / (4.7 * 20.0);
        println!(
            "{nodes} nodes: {used:.2} used, {:.0} B a second over all nodes, {:.1} a node",
            bytes,
            bytes / nodes as f64
        );
        assert!(free.len() as f64 > 15.0 * nodes as f64);
        assert!(most_in_window(&reached) <= allowed(4.7));
        assert!((0.85..=1.05).contains(&used), "{nodes} nodes: {used}");
        assert!(bytes / nodes as f64 <= 1_000.0, "{nodes} nodes: {bytes}");
    }
}

/// Guards against nodes that cannot hear each other and that each take the whole
/// limit of a runner, which all of them reach.
#[tokio::test(start_paused = true)]
async fn limit_is_kept_when_a_domain_is_cut_off_from_the_others() {
    let rate = 4.7;
    let network = start(9, 0.0, 3);
    put_runner(&network, 7);
    let nodes = network.nodes.get().unwrap();
    answer(&nodes[0], 7, Some("4.7"), time::Instant::now());
    let period = std_time::Duration::from_millis(300);
    press(&network, Some("4.7"), period, CONTACT).await;
    nodes
        .iter()
        .for_each(|core| core.tick(time::Instant::now()));
    network.cut.store(0, atomic::Ordering::Relaxed);
    publish(&network, |own, other| {
        (own % DOMAINS == 0) == (other % DOMAINS == 0)
    });
    let reached = press(&network, Some("4.7"), period, WINDOW * 3).await;
    let most = most_in_window(&reached);
    assert!(most <= allowed(rate), "{most} of {}", allowed(rate));
    // Both sides together use most of it.
    let used = reached.len() as f64 / (rate * (WINDOW * 3).as_secs_f64());
    assert!(used >= 0.7, "{used}");
    // Nodes that do not come back are gone in the end, and the others take all of it.
    time::sleep(std_time::Duration::from_secs(30)).await;
    let remaining = &nodes[1];
    let mut sent = 0;
    let end = time::Instant::now() + WINDOW * 3;
    while time::Instant::now() < end {
        time::sleep(std_time::Duration::from_millis(20)).await;
        let now = time::Instant::now();
        let is_paused = {
            let fleet = remaining.fleet.lock().unwrap();
            fleet.get(RUNNER).unwrap().pause_left(now).is_some()
        };
        sent += usize::from(!is_paused && runner_limit::claim(remaining, RUNNER, "r").await);
    }
    let used = sent as f64 / (rate * (WINDOW * 3).as_secs_f64());
    assert!(used >= 0.85, "{used}");
}
