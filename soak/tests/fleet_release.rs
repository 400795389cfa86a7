//! Processes of this release beside those of the one before it. By hand:
//!
//! ```text
//! ARBUTUSFOLD_RELEASE_BEFORE=PROGRAM cargo test -p arbutusfold-soak \
//!     --test fleet_release -- --ignored --nocapture
//! ```

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use arbutusfold_platform_standin::caller::{self, CallKind};
use arbutusfold_soak::{deployment, plan, process, proxy};
use nix::sys::signal;

/// Time from the store's acknowledgement of a change until every node has it in force;
/// equals the deployments' `configApplyMs`.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Time between two changes.
const CHANGE_PERIOD: time::Duration = time::Duration::from_millis(300);

/// Time limit for a graceful stop of a process.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(6);

/// Time limit for a started process to serve.
const START_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Time between two replacements.
const REST_TIME: time::Duration = time::Duration::from_secs(4);

const SIZE: plan::SoakSize = fleet_fixture::calm_size(6);

/// A node that is being replaced, which is judged by nothing; `SIZE.nodes` for none.
type ReplacedNode = sync::Arc<atomic::AtomicUsize>;

/// Writes documents until the task is aborted and records the nodes that were late.
async fn change_documents(
    deployment: sync::Arc<deployment::SoakDeployment>,
    replaced: ReplacedNode,
    late: sync::Arc<sync::Mutex<Vec<String>>>,
    slowest: sync::Arc<sync::Mutex<time::Duration>>,
) {
    let mut waits = tokio::task::JoinSet::new();
    loop {
        deployment.put_document();
        let document = deployment.document_count();
        let acknowledged = tokio::time::Instant::now();
        for node in 0..SIZE.nodes {
            let (deployment, replaced) =
                (sync::Arc::clone(&deployment), sync::Arc::clone(&replaced));
            let (late, slowest) = (sync::Arc::clone(&late), sync::Arc::clone(&slowest));
            waits.spawn(async move {
                let spec = &deployment.nodes[node].spec;
                let path = format!("/v{document}/x");
                let mut number = 0;
                while acknowledged.elapsed() < 2 * APPLY_LIMIT {
                    if replaced.load(atomic::Ordering::SeqCst) == node {
                        return;
                    }
                    number += 1;
                    let request = format!("release-{document}-{node}-{number}");
                    let asked = acknowledged.elapsed();
                    let answer =
                        caller::has_route(spec.callers(), &path, &request, deployment::KEY).await;
                    if answer == Some(true) {
                        let mut slowest = slowest.lock().unwrap();
                        *slowest = slowest.max(asked);
                        return;
                    }
                    if answer == Some(false) && asked > APPLY_LIMIT {
                        let text = format!("document {document} at node {node} after {asked:?}");
                        return late.lock().unwrap().push(text);
                    }
                    tokio::time::sleep(time::Duration::from_millis(30)).await;
                }
            });
        }
        while waits.try_join_next().is_some() {}
        tokio::time::sleep(CHANGE_PERIOD).await;
    }
}

/// Sends requests to the nodes in turn until the task is aborted, and records what was
/// neither served nor said not to have run.
async fn call_nodes(
    deployment: sync::Arc<deployment::SoakDeployment>,
    replaced: ReplacedNode,
    failed: sync::Arc<sync::Mutex<Vec<String>>>,
    served: sync::Arc<atomic::AtomicUsize>,
) {
    let mut calls = tokio::task::JoinSet::new();
    for number in 0_usize.. {
        let node = number % SIZE.nodes;
        if replaced.load(atomic::Ordering::SeqCst) != node {
            let kind = [CallKind::Get, CallKind::Stream, CallKind::Post][number / SIZE.nodes % 3];
            let address = deployment.nodes[node].spec.callers();
            let (failed, served) = (sync::Arc::clone(&failed), sync::Arc::clone(&served));
            calls.spawn(async move {
                let request = format!("release-call-{number}");
                let call = caller::call(address, request, kind, deployment::KEY).await;
                match call.outcome {
                    caller::CallOutcome::Served => {
                        served.fetch_add(1, atomic::Ordering::SeqCst);
                    }
                    outcome => {
                        let text = format!("{kind:?} at node {node}: {outcome:?}");
                        failed.lock().unwrap().push(text);
                    }
                }
            });
        }
        while calls.try_join_next().is_some() {}
        tokio::time::sleep(time::Duration::from_millis(25)).await;
    }
}

/// Stops the process of each node and starts `program` in its place, one after the
/// other; each time the store turns away another node of those that go on.
async fn replace_all(
    deployment: &deployment::SoakDeployment,
    replaced: &atomic::AtomicUsize,
    program: &path::Path,
) {
    for (index, node) in deployment.nodes.iter().enumerate() {
        replaced.store(index, atomic::Ordering::SeqCst);
        // Requests that were sent before are answered by the process that stops.
        let mut slot = node.process.lock().await;
        let mut process = slot.take().unwrap();
        process.signal(signal::Signal::SIGTERM).unwrap();
        process.wait(STOP_LIMIT).await.unwrap();
        *slot =
            Some(process::GatewayProcess::start(program, &node.spec, &deployment.folder).unwrap());
        drop(slot);
        let started = tokio::time::Instant::now();
        while !caller::is_ready(node.spec.ready()).await {
            assert!(started.elapsed() < START_LIMIT, "node {index} is not ready");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        replaced.store(SIZE.nodes, atomic::Ordering::SeqCst);
        let turned_away = (index + 1) % SIZE.nodes;
        let store = &deployment.nodes[turned_away].store;
        store.set_fault(proxy::ProxyFault::Silence);
        tokio::time::sleep(REST_TIME).await;
        store.set_fault(proxy::ProxyFault::None);
    }
}

/// Replaces processes of the release before by those of this one, and back, in front of a
/// store that names an era, 0 for none.
async fn replace_there_and_back(era: u64, name: &str, subnet: u8) {
    let before = std::env::var_os("ARBUTUSFOLD_RELEASE_BEFORE").unwrap();
    let before = path::PathBuf::from(before);
    let now = fleet_fixture::build_folder().join("arbutusfold");
    let folder = fleet_fixture::build_folder().join("fleet-tests").join(name);
    let _ = std::fs::remove_dir_all(&folder);
    let retries = process::RetryLimit::default();
    let started = deployment::SoakDeployment::start(&before, &folder, subnet, SIZE, retries).await;
    let deployment = sync::Arc::new(started.unwrap());
    deployment.store.set_era(era);
    deployment.wait_ready().await.unwrap();
    deployment.wait_serving().await.unwrap();
    let replaced = ReplacedNode::new(atomic::AtomicUsize::new(SIZE.nodes));
    let (late, failed) = (sync::Arc::default(), sync::Arc::default());
    let (slowest, served) = (sync::Arc::default(), sync::Arc::default());
    let mut background = tokio::task::JoinSet::new();
    background.spawn(change_documents(
        sync::Arc::clone(&deployment),
        sync::Arc::clone(&replaced),
        sync::Arc::clone(&late),
        sync::Arc::clone(&slowest),
    ));
    background.spawn(call_nodes(
        sync::Arc::clone(&deployment),
        sync::Arc::clone(&replaced),
        sync::Arc::clone(&failed),
        sync::Arc::clone(&served),
    ));
    for program in [&now, &before] {
        replace_all(&deployment, &replaced, program).await;
    }
    background.shutdown().await;
    let (late, failed) = (late.lock().unwrap().clone(), failed.lock().unwrap().clone());
    println!(
        "documents {}, slowest {:?}, calls served {}, others {}",
        deployment.document_count(),
        slowest.lock().unwrap(),
        served.load(atomic::Ordering::SeqCst),
        failed.len(),
    );
    assert!(late.is_empty(), "{late:#?}");
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a change that is late, or a request that fails, while old and new
/// processes run side by side.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "needs a build of the release before"]
async fn processes_of_two_releases_side_by_side_put_changes_in_force_in_time() {
    replace_there_and_back(0, "release", 234).await;
}

/// Guards against the same beside a store that names an era, which only one of the two
/// releases reads.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "needs a build of the release before"]
async fn processes_of_two_releases_beside_a_store_with_an_era_put_changes_in_force_in_time() {
    replace_there_and_back(1, "release-era", 235).await;
}
