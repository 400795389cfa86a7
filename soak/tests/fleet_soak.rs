//! Runs a few seeds of the soak test; the program `arbutusfold-soak` runs more.

#![allow(clippy::unwrap_used)]

use std::path;
use std::time;

use arbutusfold_soak::{plan, world};

const SIZE: plan::SoakSize = plan::SoakSize {
    nodes: 4,
    runners: 10,
    plain_runners: 2,
    fault_window: time::Duration::from_secs(6),
    faults: 12,
    cuts: 0,
    proxied: true,
};

/// Seeds that violated a guarantee in an earlier version, with the cause.
const REGRESSIONS: [u64; 2] = [
    // SIGTERM during start-up killed the gateway, because it had not yet
    // installed its signal handlers. It now installs them first.
    4, 12,
];

/// Seeds that cut gateways from the runners: 119 a domain whose new connections are
/// refused, 115 one gateway that no answer reaches.
const CUT_SEEDS: [u64; 2] = [119, 115];

/// Returns the folder of the built programs, the parent of the test binaries' folder.
fn build_folder() -> path::PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().to_owned()
}

async fn run_seed(seed: u64, size: plan::SoakSize) {
    let folder = build_folder().join("soak-tests");
    let program = build_folder().join("arbutusfold");
    let report = world::run_seed(&program, &folder, seed, size)
        .await
        .unwrap();
    assert!(
        report.violations.is_empty(),
        "seed {seed}: {:?}",
        report.violations
    );
    assert!(report.call_counts[0] > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn regression_seeds_keep_every_promise() {
    for seed in REGRESSIONS {
        run_seed(seed, SIZE).await;
    }
}

/// Guards against gateways that refuse callers while they alone are cut from all
/// runners, beside other faults.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_cut_gateways_are_served_beside_other_faults() {
    let size = plan::SoakSize { cuts: 1, ..SIZE };
    for seed in CUT_SEEDS {
        run_seed(seed, size).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn seeded_faults_break_no_promise() {
    run_seed(101, SIZE).await;
}
