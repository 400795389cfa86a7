//! A few seeds of the soak; `arbutusfold-soak` plays more.

#![allow(clippy::unwrap_used)]

use std::path;
use std::time;

use arbutusfold_soak::{plan, world};

const SIZE: plan::SoakSize = plan::SoakSize {
    nodes: 4,
    runners: 10,
    time: time::Duration::from_secs(6),
    faults: 12,
};

/// Seeds that broke a promise once, with the cause.
const REGRESSIONS: [u64; 2] = [
    // A gateway that got SIGTERM while it started ended by the signal; its
    // handlers are the first thing that it sets up now.
    4, 12,
];

/// Folder of the built programs, which is above that of the tests.
fn built() -> path::PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().to_owned()
}

async fn play(seed: u64) {
    let folder = built().join("soak-tests");
    let program = built().join("arbutusfold");
    let report = world::run_seed(&program, &folder, seed, SIZE)
        .await
        .unwrap();
    assert!(report.broken.is_empty(), "seed {seed}: {:?}", report.broken);
    assert!(report.calls[0] > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn regression_seeds_keep_every_promise() {
    for seed in REGRESSIONS {
        play(seed).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn seeded_faults_break_no_promise() {
    play(101).await;
}
