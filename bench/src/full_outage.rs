//! Attempts for each request while every upstream is down.

use std::time as std_time;

use arbutusfold::retry;
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::report;

/// Requests a second at one node at the peak.
const REQUESTS_PER_SECOND: u64 = 27;

/// Time of one request while upstreams work.
const REQUEST_TIME: std_time::Duration = std_time::Duration::from_secs(5);

/// Time before the outage, in which budgets fill.
const USUAL_SECONDS: u64 = 300;

/// Attempts after which a request is given up in any case.
const ATTEMPTS_MAX: u64 = 6;

/// Measures the scenario.
///
/// # Errors
///
/// None at present.
pub fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("full-outage", seed);
    for organisations in [10, 63, 8_400] {
        for seconds in [10, 60, 600] {
            let fleet = format!("{organisations} organisations, {seconds} s");
            for (way, budgeted) in [("budgets", true), ("six attempts", false)] {
                let ratio = run(seed, organisations, seconds, budgeted);
                let target = budgeted.then_some(report::FigureTarget::AtMost(1.2));
                report.add(&fleet, way, "attempts a request", ratio, target);
            }
        }
    }
    Ok(report)
}

fn run(seed: u64, organisations: u64, seconds: u64, budgeted: bool) -> f64 {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut budget = retry::RetryBudget::default();
    let began = time::Instant::now();
    let mut pick = || format!("organisation-{:04}", random.random_range(0..organisations));
    for _ in 0..USUAL_SECONDS * REQUESTS_PER_SECOND {
        let organisation = pick();
        budget.note_request(&organisation);
        budget.note_success(&organisation);
    }
    // The streams that run when the outage begins have delivered tokens.
    let running = REQUESTS_PER_SECOND * REQUEST_TIME.as_secs();
    let fresh = REQUESTS_PER_SECOND * seconds;
    let mut attempts = 0;
    for request in 0..running + fresh {
        let organisation = pick();
        let mut progress = request < running;
        if !progress {
            budget.note_request(&organisation);
        }
        attempts += 1;
        for _ in 1..ATTEMPTS_MAX {
            let end = retry::AttemptEnd {
                not_run: !progress,
                idempotent: true,
                progress,
                deadline: began + std_time::Duration::from_secs(120),
                needed: std_time::Duration::from_millis(100),
            };
            let again = retry::RetryVerdict::Retry;
            if budgeted && budget.decide(&organisation, end, began) != again {
                break;
            }
            progress = false;
            attempts += 1;
        }
    }
    attempts as f64 / (running + fresh) as f64
}
