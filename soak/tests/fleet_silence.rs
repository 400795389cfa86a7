//! Sound runners that fall silent for a moment and go on, before nodes of a fleet of
//! real processes.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::time;

use arbutusfold_platform_standin::caller;
use arbutusfold_soak::{deployment, plan, proxy};

/// Time that callers wait for the next event: the largest of 2 s, four times the
/// objective of the route, and eight times its objective for pauses.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Silence after which callers still wait.
const SHORT_SILENCE: time::Duration = time::Duration::from_millis(1_300);

/// Four runners hold each layer of the model once, so no other path exists.
const SINGLE: plan::SoakSize = plan::SoakSize {
    nodes: 3,
    runners: 6,
    plain_runners: 2,
    fault_window: time::Duration::ZERO,
    faults: 0,
    proxied: true,
};

/// Tokens of an answer that takes 0.9 s.
const ANSWER_TOKENS: u64 = 180;

/// Time after which streams that begin together are in mid-answer.
const MIDDLE: time::Duration = time::Duration::from_millis(300);

/// Starts streams at all nodes.
fn start_streams(
    deployment: &deployment::SoakDeployment,
    name: &str,
    count: usize,
) -> tokio::task::JoinSet<caller::WatchRecord> {
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..count {
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let call = caller::WatchedCall {
            node: node.spec.callers(),
            request: format!("{name}-{number}"),
            path: format!("/model/{name}-{number}"),
            key: deployment::KEY.to_owned(),
            answer_tokens: ANSWER_TOKENS,
            patience: PATIENCE,
        };
        streams.spawn(async move { caller::watch(&call).await });
    }
    streams
}

/// Silences all connections to the runners at these indices for `length`, and
/// writes a document meanwhile.
async fn silence(
    deployment: &deployment::SoakDeployment,
    runners: std::ops::Range<usize>,
    length: time::Duration,
) {
    let proxies = &deployment.proxies[runners];
    for proxy in proxies {
        proxy.set_fault(proxy::ProxyFault::Silence);
    }
    deployment.put_document();
    tokio::time::sleep(length).await;
    for proxy in proxies {
        proxy.set_fault(proxy::ProxyFault::None);
    }
}

/// Asserts that each stream came whole, in order and once.
fn assert_served(records: &[caller::WatchRecord]) {
    let is_served = |record: &&caller::WatchRecord| record.outcome == caller::CallOutcome::Served;
    let failed: Vec<_> = records.iter().filter(|record| !is_served(record)).collect();
    let (failed_count, count) = (failed.len(), records.len());
    assert!(failed.is_empty(), "{failed_count} of {count}: {failed:#?}");
}

/// Guards against nodes that end a stream in mid-answer because its runners are
/// silent for a moment and no other path exists.
#[tokio::test(flavor = "multi_thread")]
async fn streams_in_mid_answer_outlast_a_silence_without_another_path() {
    let deployment = fleet_fixture::start("silence-middle", 240, SINGLE).await;
    deployment.wait_serving().await.unwrap();
    let streams = start_streams(&deployment, "middle", 12);
    tokio::time::sleep(MIDDLE).await;
    silence(
        &deployment,
        SINGLE.plain_runners..SINGLE.runners,
        SHORT_SILENCE,
    )
    .await;
    assert_served(&streams.join_all().await);
}
