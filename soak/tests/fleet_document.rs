//! Changes of the document in a fleet of real processes of which few reach the store.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::time;

use arbutusfold_soak::{deployment, plan, proxy};

/// Time from the store's acknowledgement of a change until every node has it in force,
/// whatever becomes of any one source; half of the deployments' `configApplyMs`.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Time after which the nodes know which of them reach the store; equals the
/// deployments' `contactMs`.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Time between two changes.
const CHANGE_PERIOD: time::Duration = time::Duration::from_millis(450);

/// Changes while one node reaches the store.
const CHANGES: usize = 5;

const SIZE: plan::SoakSize = fleet_fixture::calm_size(6);

/// Writes a document and returns the time until the slowest node has it in force,
/// with that node's name.
async fn change(
    deployment: &deployment::SoakDeployment,
) -> impl Future<Output = (time::Duration, String)> + use<> {
    deployment.put_document();
    fleet_fixture::slowest_in_force(deployment, 10 * APPLY_LIMIT)
}

/// Lets one node after the other be the only one that reaches the store, and returns
/// the changes that were late.
async fn late_changes(name: &str, subnet: u8, fault: proxy::ProxyFault) -> Vec<String> {
    let deployment = fleet_fixture::start_serving(name, subnet, SIZE).await;
    let mut late = Vec::new();
    for source in 0..SIZE.nodes {
        for (index, node) in deployment.nodes.iter().enumerate() {
            let is_source = index == source;
            node.store.set_fault(match is_source {
                true => proxy::ProxyFault::None,
                false => fault,
            });
        }
        tokio::time::sleep(CONTACT).await;
        let mut changes = tokio::task::JoinSet::new();
        for _ in 0..CHANGES {
            changes.spawn(change(&deployment).await);
            tokio::time::sleep(CHANGE_PERIOD).await;
        }
        for (slowest, node) in changes.join_all().await {
            if slowest > APPLY_LIMIT {
                late.push(format!("source {source}: {slowest:?} at {node}"));
            }
        }
    }
    late
}

/// Guards against a confirmed change that is late at nodes which the store leaves
/// unanswered: the only node that it serves does not lead and tells nobody.
#[tokio::test(flavor = "multi_thread")]
async fn changes_that_one_node_reads_reach_nodes_that_get_no_answer_from_the_store() {
    let late = late_changes("document-silent", 231, proxy::ProxyFault::Silence).await;
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against a confirmed change that is late at nodes whose connections the store
/// resets: the only node that it serves does not lead and tells nobody.
#[tokio::test(flavor = "multi_thread")]
async fn changes_that_one_node_reads_reach_nodes_whose_store_connections_are_reset() {
    let late = late_changes("document-reset", 232, proxy::ProxyFault::Reset).await;
    assert!(late.is_empty(), "{late:#?}");
}
