//! Test fixture: a deployment of gateway processes that is ready for callers.

#![allow(clippy::unwrap_used)]
#![allow(dead_code)]

use std::path;
use std::sync;
use std::time;

use arbutusfold_platform_standin::caller;
use arbutusfold_soak::{deployment, plan, process};

/// Returns the size of a small deployment with this many gateways and without random
/// faults, whose runners are reached directly.
pub const fn calm_size(nodes: usize) -> plan::SoakSize {
    plan::SoakSize {
        nodes,
        runners: 10,
        plain_runners: 2,
        fault_window: time::Duration::ZERO,
        faults: 0,
        cuts: 0,
        proxied: false,
    }
}

/// Returns the most memory that a process ever had resident, in MB.
pub fn peak_memory_mb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.unwrap().split_whitespace().next().unwrap();
    kilobytes.parse::<usize>().unwrap() >> 10
}

/// Returns the folder of the built programs.
pub fn build_folder() -> path::PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().to_owned()
}

/// Starts a deployment whose settings and logs are in the folder `name`.
pub async fn start(
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
) -> sync::Arc<deployment::SoakDeployment> {
    start_with(name, subnet, size, process::RetryLimit::default()).await
}

/// Starts a deployment whose gateways have this limit on retries.
pub async fn start_with(
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
    retries: process::RetryLimit,
) -> sync::Arc<deployment::SoakDeployment> {
    let program = build_folder().join("arbutusfold");
    start_program(&program, name, subnet, size, retries).await
}

/// Starts a deployment whose gateways know how much memory they may use, in MB, and
/// waits until they serve.
pub async fn start_within(
    memory_mb: Option<usize>,
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
) -> deployment::SoakDeployment {
    let program = build_folder().join("arbutusfold");
    let folder = build_folder().join("fleet-tests").join(name);
    // A folder of an earlier run holds logs that would be taken for new ones.
    let _ = std::fs::remove_dir_all(&folder);
    let retries = process::RetryLimit::default();
    let started = deployment::SoakDeployment::start_within(
        &program, &folder, subnet, size, retries, memory_mb,
    );
    let deployment = started.await.unwrap();
    deployment.wait_ready().await.unwrap();
    deployment.wait_serving().await.unwrap();
    deployment
}

/// Starts a deployment whose gateways may open at most `limit` descriptors each.
pub async fn start_limited(
    limit: usize,
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
) -> sync::Arc<deployment::SoakDeployment> {
    let program = build_folder().join("arbutusfold");
    let script = build_folder().join(format!("arbutusfold-limited-{limit}"));
    let text = format!(
        "#!/bin/sh\nulimit -n {limit}\nexec {} \"$@\"\n",
        program.display()
    );
    std::fs::write(&script, text).unwrap();
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o755);
    std::fs::set_permissions(&script, mode).unwrap();
    let retries = process::RetryLimit::default();
    start_program(&script, name, subnet, size, retries).await
}

async fn start_program(
    program: &path::Path,
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
    retries: process::RetryLimit,
) -> sync::Arc<deployment::SoakDeployment> {
    let folder = build_folder().join("fleet-tests").join(name);
    // A folder of an earlier run holds logs that would be taken for new ones.
    let _ = std::fs::remove_dir_all(&folder);
    let deployment = deployment::SoakDeployment::start(program, &folder, subnet, size, retries)
        .await
        .unwrap();
    deployment.wait_ready().await.unwrap();
    sync::Arc::new(deployment)
}

/// Starts a deployment as [`start`] does and waits until each node serves both kinds
/// of services. The nodes learn a moment after the runners which layers these hold.
#[allow(dead_code, reason = "not every test binary uses it")]
pub async fn start_serving(
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
) -> sync::Arc<deployment::SoakDeployment> {
    let deployment = start(name, subnet, size).await;
    deployment.wait_serving().await.unwrap();
    deployment
}

/// Waits until a node serves the route that a document added, for `limit` at most; returns
/// the time since `changed_at`.
async fn wait_in_force(
    node: std::net::SocketAddr,
    document: u64,
    changed_at: tokio::time::Instant,
    limit: time::Duration,
) -> time::Duration {
    let path = format!("/v{document}/x");
    loop {
        let asked_at = tokio::time::Instant::now();
        let request = format!("document-{document}-{node}-{asked_at:?}");
        let answer = caller::has_route(node, &path, &request, deployment::KEY).await;
        if answer == Some(true) {
            return asked_at - changed_at;
        }
        if changed_at.elapsed() > limit {
            return changed_at.elapsed();
        }
        tokio::time::sleep(time::Duration::from_millis(15)).await;
    }
}

/// Returns the time until the slowest node has the latest document in force, counted from
/// the call, and that node's name; waits for at most `limit`.
pub fn slowest_in_force(
    deployment: &deployment::SoakDeployment,
    limit: time::Duration,
) -> impl Future<Output = (time::Duration, String)> + use<> {
    let changed_at = tokio::time::Instant::now();
    let document = deployment.document_count();
    let waits = deployment.nodes.iter().map(|node| {
        let (address, name) = (node.spec.callers(), node.spec.name.clone());
        async move {
            let waited = wait_in_force(address, document, changed_at, limit);
            (waited.await, name)
        }
    });
    let waits = futures_util::future::join_all(waits);
    async move { waits.await.into_iter().max().unwrap() }
}
