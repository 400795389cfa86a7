//! Concurrency limits follow the observed latency.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::concurrency::{ConcurrencyLimit, LimitPolicy};
use tokio::time;

const POLICIES: [LimitPolicy; 2] = [LimitPolicy::Aimd, LimitPolicy::Gradient];

/// Observes a latency of `millis` for ten seconds with the whole limit in use.
fn observe(limit: &mut ConcurrencyLimit, millis: u64, now: &mut time::Instant) {
    for _ in 0..1_000 {
        *now += std_time::Duration::from_millis(10);
        let latency = std_time::Duration::from_millis(millis);
        limit.observe(latency, limit.limit(), *now);
    }
}

#[tokio::test(start_paused = true)]
async fn a_limit_grows_while_its_upstream_is_fast_and_shrinks_under_congestion() {
    for policy in POLICIES {
        let mut now = time::Instant::now();
        let mut limit = ConcurrencyLimit::new(policy, 32, now);
        observe(&mut limit, 200, &mut now);
        let grown = limit.limit();
        assert!(grown > 32, "{policy:?}: {grown}");
        observe(&mut limit, 2_000, &mut now);
        let shrunk = limit.limit();
        assert!(shrunk < grown / 2, "{policy:?}: {shrunk} after {grown}");
        assert!(shrunk >= 16, "{policy:?}: {shrunk}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_limit_and_small_latencies_change_nothing() {
    for policy in POLICIES {
        let mut now = time::Instant::now();
        let mut limit = ConcurrencyLimit::new(policy, 512, now);
        for millis in [5, 80] {
            for _ in 0..1_000 {
                now += std_time::Duration::from_millis(10);
                limit.observe(std_time::Duration::from_millis(millis), 3, now);
            }
        }
        assert_eq!(limit.limit(), 512, "{policy:?}");
    }
}
