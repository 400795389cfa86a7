//! Ways of bounding concurrent requests towards one upstream.

use std::time as std_time;

use arbutusfold::concurrency;
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::report;

const STEP: std_time::Duration = std_time::Duration::from_millis(10);

/// Steps of one run.
const STEPS: u64 = 30_000;

/// Step at which the upstream loses half of its speed, and gets it back.
const SLOW_STEPS: std::ops::Range<u64> = 12_000..20_000;

/// Requests that the upstream serves together without slowing them.
const KNEE: f64 = 64.0;

/// Delay of the first token on an upstream that is not crowded.
const FIRST_TOKEN: std_time::Duration = std_time::Duration::from_millis(150);

/// Work of one request, in steps on an upstream that is not crowded.
const WORK_STEPS: f64 = 200.0;

/// How a run bounds concurrency.
#[derive(Clone, Copy)]
enum BoundWay {
    Adaptive(concurrency::LimitPolicy),
    Fixed(usize),
}

struct RunFigures {
    /// Requests finished, as a part of what the upstream could do.
    throughput: f64,
    /// Delay of the first token, p95, in milliseconds.
    first_token_ms: f64,
}

/// Measures the scenario.
///
/// # Errors
///
/// None at present.
pub fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("concurrency", seed);
    let ways = [
        (
            "gradient",
            BoundWay::Adaptive(concurrency::LimitPolicy::Gradient),
        ),
        ("AIMD", BoundWay::Adaptive(concurrency::LimitPolicy::Aimd)),
        ("fixed 512", BoundWay::Fixed(512)),
        ("fixed 32", BoundWay::Fixed(32)),
    ];
    let fleet = "one upstream, knee 64, half speed for 80 s";
    for (name, way) in ways {
        let figures = run(seed, way);
        report.add(
            fleet,
            name,
            "throughput, part of the possible",
            figures.throughput,
            None,
        );
        report.add(
            fleet,
            name,
            "first token, p95, ms",
            figures.first_token_ms,
            None,
        );
    }
    Ok(report)
}

fn run(seed: u64, way: BoundWay) -> RunFigures {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let began = time::Instant::now();
    let policy = match way {
        BoundWay::Adaptive(policy) => policy,
        BoundWay::Fixed(_) => concurrency::LimitPolicy::Aimd,
    };
    let mut limit = concurrency::ConcurrencyLimit::new(policy, 32, began);
    let mut left: Vec<f64> = Vec::new();
    let mut delays = Vec::new();
    let mut possible = 0.0;
    let mut done = 0.0;
    for step in 0..STEPS {
        let now = began + STEP * step as u32;
        let speed = if SLOW_STEPS.contains(&step) { 0.5 } else { 1.0 };
        possible += speed * KNEE;
        let bound = match way {
            BoundWay::Adaptive(_) => limit.limit(),
            BoundWay::Fixed(bound) => bound,
        };
        while left.len() < bound {
            left.push(WORK_STEPS * random.random_range(0.5..1.5));
            let crowd = (left.len() as f64 / KNEE).max(1.0) / speed;
            let delay = FIRST_TOKEN.mul_f64(crowd * random.random_range(0.8..1.2));
            delays.push(delay);
            limit.observe(delay, left.len(), now);
        }
        let pace = speed * (KNEE / left.len() as f64).min(1.0);
        done += pace * left.len() as f64;
        left.iter_mut().for_each(|work| *work -= pace);
        left.retain(|work| *work > 0.0);
    }
    delays.sort_unstable();
    let place = (delays.len() as f64 * 0.95) as usize;
    RunFigures {
        throughput: done / possible,
        first_token_ms: delays[place].as_secs_f64() * 1_000.0,
    }
}
