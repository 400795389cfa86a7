//! Upstreams that one request with all its resends crashes.

use arbutusfold_fuzz::crash;
use rand::{RngExt, SeedableRng};

use crate::report;

/// Fleets that are run.
const RUNS: u64 = 2_000;

/// Measures the scenario.
///
/// # Errors
///
/// None at present.
pub fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("crashing-request", seed);
    let networks = [("whole network", 0, 2), ("half of messages lost", 50, 30)];
    for (network, loss, delay) in networks {
        let mut most = 0;
        let mut twice = 0;
        let mut innocents = 0;
        let mut quarantined = 0;
        for run in 0..RUNS {
            let plan = plan(seed.wrapping_mul(RUNS).wrapping_add(run), loss, delay);
            let mut fleet = crash::CrashFleet::new(plan);
            fleet.run();
            let crashes = fleet.crashes.values().copied().max().unwrap_or(0);
            most = most.max(crashes);
            twice += u32::from(crashes == 2);
            innocents += fleet.answered.len();
            quarantined += fleet
                .quarantined
                .iter()
                .filter(|request| **request >= crash::POISONS)
                .count();
        }
        let target = Some(report::FigureTarget::AtMost(2.0));
        let mut add = |figure: &str, value: f64, target| {
            report.add(network, "two permits", figure, value, target);
        };
        add(
            "most upstreams crashed by one request",
            f64::from(most),
            target,
        );
        add(
            "runs with two crashes, %",
            f64::from(twice) * 100.0 / RUNS as f64,
            None,
        );
        add("innocent requests answered", innocents as f64, None);
        add("innocent requests quarantined", quarantined as f64, None);
    }
    Ok(report)
}

/// Sends each of six requests to five nodes at one moment, and again later.
fn plan(seed: u64, loss: u32, delay: u32) -> crash::CrashPlan {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for request in 0..6 {
        let first = random.random_range(1..50);
        let poison = request < crash::POISONS;
        let rounds = if poison { 4 } else { 1 };
        let nodes = if poison { 5 } else { 1 };
        for round in 0..rounds {
            arrivals.extend((0..nodes).map(|node| crash::CrashArrival {
                step: first + round * 70,
                node,
                request,
            }));
        }
    }
    crash::CrashPlan {
        seed,
        nodes: 5,
        upstreams: 8,
        loss,
        delay,
        arrivals,
    }
}
