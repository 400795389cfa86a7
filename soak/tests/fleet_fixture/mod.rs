//! Test fixture: a deployment of gateway processes that is ready for callers.

#![allow(clippy::unwrap_used)]

use std::path;
use std::sync;
use std::time;

use arbutusfold_platform_standin::caller;
use arbutusfold_soak::{deployment, plan};

fn build_folder() -> path::PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().to_owned()
}

/// Starts a deployment whose settings and logs are in the folder `name`.
pub async fn start(
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
) -> sync::Arc<deployment::SoakDeployment> {
    let folder = build_folder().join("fleet-tests").join(name);
    // A folder of an earlier run holds logs that would be taken for new ones.
    let _ = std::fs::remove_dir_all(&folder);
    let program = build_folder().join("arbutusfold");
    let deployment = deployment::SoakDeployment::start(&program, &folder, subnet, size)
        .await
        .unwrap();
    deployment.wait_ready().await.unwrap();
    sync::Arc::new(deployment)
}

/// Time for a fleet that is ready to serve each kind of request at each node.
const SERVING_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Starts a deployment as [`start`] does and waits until each node serves both kinds
/// of services. The nodes learn a moment after the runners which layers these hold.
#[allow(dead_code, reason = "not every test binary uses it")]
pub async fn start_serving(
    name: &str,
    subnet: u8,
    size: plan::SoakSize,
) -> sync::Arc<deployment::SoakDeployment> {
    let deployment = start(name, subnet, size).await;
    let end = tokio::time::Instant::now() + SERVING_LIMIT;
    for (node, spec) in deployment.nodes.iter().map(|node| &node.spec).enumerate() {
        for kind in [caller::CallKind::Get, caller::CallKind::Stream] {
            loop {
                let request = format!("start-{kind:?}-{node}");
                let record = caller::call(spec.callers(), request, kind, deployment::KEY).await;
                if record.outcome == caller::CallOutcome::Served {
                    break;
                }
                assert!(tokio::time::Instant::now() < end, "{:?}", record.outcome);
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    }
    deployment
}
