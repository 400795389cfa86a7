//! Tests of the permits for requests under a limit that all nodes share.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::limit::issuer::{self, ClaimAnswer};
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Window in which the platform counts the requests to a runner.
const WINDOW: std_time::Duration = std_time::Duration::from_secs(4);

/// Time that the issuer needs to find the pause for a demand.
const SETTLE_TIME: std_time::Duration = std_time::Duration::from_secs(12);

const STEP: std_time::Duration = std_time::Duration::from_millis(5);

/// Requests of nodes under one limit.
struct Simulation {
    issuer: issuer::LimitIssuer,
    paused_until: Vec<time::Instant>,
    random: rand_chacha::ChaCha8Rng,
    granted: Vec<time::Instant>,
    claims: u64,
}

impl Simulation {
    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            issuer: issuer::LimitIssuer::default(),
            paused_until: vec![time::Instant::now(); nodes],
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            granted: Vec::new(),
            claims: 0,
        }
    }

    /// Lets requests come to the first `nodes` nodes, `demand` a second in all.
    async fn run(&mut self, nodes: usize, demand: f64, rate: f64, length: std_time::Duration) {
        let end = time::Instant::now() + length;
        while time::Instant::now() < end {
            time::advance(STEP).await;
            let now = time::Instant::now();
            let mut expected = demand * STEP.as_secs_f64();
            while self.random.random::<f64>() < expected {
                expected -= 1.0;
                let node = self.random.random_range(0..nodes);
                if now < self.paused_until[node] {
                    continue;
                }
                self.claims += 1;
                match self.issuer.claim("i-1", rate, now) {
                    ClaimAnswer::Granted => self.granted.push(now),
                    ClaimAnswer::Denied(pause) => self.paused_until[node] = now + pause,
                }
            }
        }
    }

    fn granted_since(&self, start: time::Instant) -> usize {
        self.granted.iter().filter(|at| **at >= start).count()
    }

    fn most_in_window(&self) -> usize {
        let in_window = |end: &time::Instant| {
            let mut granted = self.granted.iter();
            let first = granted.position(|at| *at + WINDOW > *end).unwrap();
            let last = self.granted.iter().filter(|at| **at <= *end).count();
            last - first
        };
        self.granted.iter().map(in_window).max().unwrap_or(0)
    }
}

/// Guards against a limit that is exceeded by the number of nodes, or lies idle
/// because a small part of it for each node is worth nothing.
#[tokio::test(start_paused = true)]
async fn limit_is_kept_and_used_by_any_number_of_nodes() {
    for (nodes, rate) in [
        (1, 2.2),
        (7, 2.2),
        (9, 4.7),
        (60, 2.2),
        (300, 4.7),
        (300, 80.0),
    ] {
        let mut simulation = Simulation::new(nodes, 1);
        simulation.run(nodes, 2.0 * rate, rate, SETTLE_TIME).await;
        let start = time::Instant::now();
        simulation.claims = 0;
        let length = std_time::Duration::from_secs(60);
        simulation.run(nodes, 2.0 * rate, rate, length).await;
        let used = simulation.granted_since(start) as f64 / (rate * length.as_secs_f64());
        let claims = simulation.claims as f64 / length.as_secs_f64();
        println!("{nodes} nodes, {rate} a second: {used:.2} used, {claims:.1} claims a second");
        assert!((0.85..=1.04).contains(&used), "{nodes} nodes: {used}");
        let most = simulation.most_in_window() as f64;
        assert!(
            most <= rate * WINDOW.as_secs_f64() * 1.07 + 3.0,
            "{nodes} nodes: {most}"
        );
    }
}

/// Guards against a node with all the callers that is starved by those that had
/// some before, and against a flood of claims where demand is high.
#[tokio::test(start_paused = true)]
async fn limit_is_used_where_the_callers_are_and_claims_are_bounded() {
    let rate = 2.2;
    let mut simulation = Simulation::new(300, 2);
    simulation.run(300, 600.0, rate, SETTLE_TIME).await;
    simulation.claims = 0;
    let length = std_time::Duration::from_secs(20);
    simulation.run(300, 600.0, rate, length).await;
    let claims = simulation.claims as f64 / length.as_secs_f64();
    assert!(claims <= 65.0, "{claims} claims a second");
    simulation.run(1, 2.0 * rate, rate, SETTLE_TIME).await;
    let start = time::Instant::now();
    let length = std_time::Duration::from_secs(120);
    simulation.run(1, 2.0 * rate, rate, length).await;
    let used = simulation.granted_since(start) as f64 / (rate * length.as_secs_f64());
    assert!(used >= 0.85, "{used}");
}

/// Guards against a runner that named zero and is never asked again.
#[tokio::test(start_paused = true)]
async fn limit_of_zero_lets_a_request_pass_now_and_then() {
    let mut simulation = Simulation::new(7, 3);
    let length = std_time::Duration::from_secs(120);
    simulation.run(7, 20.0, 0.0, length).await;
    assert!((5..=14).contains(&simulation.granted.len()));
    assert!(simulation.most_in_window() <= 5);
}

/// Guards against permits that are saved up under a high limit and spent under a
/// low one.
#[tokio::test(start_paused = true)]
async fn lower_limit_holds_at_once() {
    let mut simulation = Simulation::new(7, 4);
    simulation.run(7, 400.0, 200.0, SETTLE_TIME).await;
    let start = time::Instant::now();
    simulation.run(7, 400.0, 2.0, WINDOW).await;
    assert!(simulation.granted_since(start) <= 12);
}
