//! A few seeds of the soak; `arbutusfold-soak` plays more.

#![allow(clippy::unwrap_used)]

use std::path;
use std::time;

use arbutusfold_soak::{plan, world};

const SIZE: plan::SoakSize = plan::SoakSize {
    nodes: 4,
    runners: 10,
    fault_window: time::Duration::from_secs(6),
    faults: 12,
};

/// Seeds that broke a promise once, with the cause.
const REGRESSIONS: [u64; 2] = [
    // A gateway that got SIGTERM while it started ended by the signal; its
    // handlers are the first thing that it sets up now.
    4, 12,
];

/// Folder of the built programs, which is above that of the tests.
fn build_folder() -> path::PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().to_owned()
}

async fn run_seed(seed: u64) {
    let folder = build_folder().join("soak-tests");
    let program = build_folder().join("arbutusfold");
    let report = world::run_seed(&program, &folder, seed, SIZE)
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
        run_seed(seed).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn seeded_faults_break_no_promise() {
    run_seed(101).await;
}
