//! Tests of retries that nodes lend each other.

#![allow(clippy::unwrap_used)]

mod demand_network;

use std::time as std_time;

use arbutusfold::gateway::{budget, mirror, retry_loan};
use arbutusfold_platform::store;
use bytes::Bytes;
use demand_network::MessageFate;
use tokio::time;

const SERVICE: &str = "s";

/// Starts nodes with two extra retries each that have been up for a while.
async fn start(nodes: usize, is_shared: bool) -> std::sync::Arc<demand_network::DemandNetwork> {
    let network = demand_network::start(nodes, 3, is_shared).await;
    let document = r#"{"version":20,"routes":[],"services":[{"name":"s",
        "healthPath":"/health","maxConns":10,"protocol":"h1","tls":false}]}"#;
    for node in 0..nodes {
        let core = network.node(node);
        let row = mirror::MirrorRow {
            key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
            version: store::RowVersion::new(0, 20),
            value: Some(Bytes::from(document)),
        };
        core.merge(store::WatchedTable::Operator, vec![row]);
        let policy = budget::BudgetPolicy {
            share: 0.2,
            extra: 3.0 * nodes as f64,
            window: std_time::Duration::from_secs(10),
            has_peers: true,
            has_loans: is_shared,
        };
        let mut budget = budget::RetryBudget::new(policy, time::Instant::now());
        budget.note_nodes(nodes);
        *core.budget.lock().unwrap() = budget;
    }
    time::sleep(std_time::Duration::from_secs(12)).await;
    network
}

/// Takes the retries of a node until none is left, one each 50 ms.
async fn take_all(network: &demand_network::DemandNetwork, node: usize, limit: usize) -> usize {
    let core = network.node(node);
    let mut count = 0;
    for _ in 0..limit {
        time::sleep(std_time::Duration::from_millis(50)).await;
        let is_own = core
            .budget
            .lock()
            .unwrap()
            .take(SERVICE, time::Instant::now());
        count += usize::from(is_own || retry_loan::take(core, SERVICE).await.is_some());
    }
    count
}

/// Answers the load of a crash whose requests one node alone has to send again.
#[tokio::test(start_paused = true)]
async fn node_whose_share_is_used_up_sends_retries_of_others() {
    let network = start(20, true).await;
    let count = take_all(&network, 1, 30).await;
    assert!(count >= 15, "{count}");
    let metrics = &network.node(1).metrics;
    assert_eq!(metrics.borrowed_retries.get() as usize, count - 2);
    let nodes = network.nodes.get().unwrap().iter();
    let lent: u64 = nodes.map(|core| core.metrics.lent_retries.get()).sum();
    assert!(lent >= metrics.borrowed_retries.get());
}

/// Guards against loans that are lost because their lender is busy for a moment.
#[tokio::test(start_paused = true)]
async fn late_loan_serves_the_next_request() {
    let network = start(3, true).await;
    network.set_fate(MessageFate {
        late: std_time::Duration::from_millis(400),
        ..MessageFate::default()
    });
    let count = take_all(&network, 1, 30).await;
    let lent = [0, 2].map(|node| network.node(node).metrics.lent_retries.get());
    let sent = network.node(1).metrics.borrowed_retries.get();
    assert_eq!(sent as usize, count - 2);
    assert!(sent >= 1 && sent <= lent.iter().sum(), "{sent} of {lent:?}");
}

#[tokio::test(start_paused = true)]
async fn node_that_is_cut_off_or_has_no_such_setting_sends_its_own_only() {
    let network = start(20, true).await;
    network.set_fate(MessageFate {
        loss: 1.0,
        ..MessageFate::default()
    });
    assert_eq!(take_all(&network, 1, 30).await, 2);
    let network = start(20, false).await;
    assert_eq!(take_all(&network, 1, 30).await, 2);
    assert_eq!(network.sent_by_all(), (0, 0));
}

/// Guards against claims that flood the fleet when all budgets are used up.
#[tokio::test(start_paused = true)]
async fn claims_of_a_fleet_without_retries_are_few() {
    let network = start(9, true).await;
    for node in 0..9 {
        let mut budget = network.node(node).budget.lock().unwrap();
        while budget.take(SERVICE, time::Instant::now()) {}
    }
    let (before, _) = network.sent_by_all();
    let began_at = time::Instant::now();
    assert_eq!(take_all(&network, 1, 100).await, 0);
    let (after, _) = network.sent_by_all();
    // Three claims and their answers at most each tenth of a second.
    let limit = 6.0 * (began_at.elapsed().as_secs_f64() * 10.0 + 1.0);
    assert!(
        (after - before) as f64 <= limit,
        "{} {limit}",
        after - before
    );
}
