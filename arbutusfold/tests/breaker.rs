//! Circuit breakers eject failing upstreams, up to a maximum part of the pool.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::breaker::{BreakerChange, BreakerPass, BreakerPool};
use tokio::time;

fn pool(count: usize) -> BreakerPool {
    let names: Vec<_> = (0..count).map(|index| format!("runner-{index}")).collect();
    let mut pool = BreakerPool::default();
    pool.set_upstreams(&names);
    pool
}

fn fail(pool: &mut BreakerPool, upstream: &str, now: time::Instant) -> BreakerChange {
    pool.note_failure(upstream, now);
    pool.note_failure(upstream, now);
    pool.note_failure(upstream, now)
}

#[tokio::test(start_paused = true)]
async fn a_failing_upstream_is_ejected_probed_once_and_restored() {
    let mut now = time::Instant::now();
    let mut pool = pool(4);
    assert_eq!(fail(&mut pool, "runner-0", now), BreakerChange::Ejected);
    assert_eq!(pool.acquire("runner-0", now), BreakerPass::Blocked);
    now += std_time::Duration::from_secs(1);
    assert_eq!(pool.acquire("runner-0", now), BreakerPass::Probe);
    assert_eq!(pool.acquire("runner-0", now), BreakerPass::Blocked);
    assert_eq!(pool.note_failure("runner-0", now), BreakerChange::Ejected);
    now += std_time::Duration::from_secs(1);
    assert_eq!(pool.acquire("runner-0", now), BreakerPass::Blocked);
    now += std_time::Duration::from_secs(1);
    assert_eq!(pool.acquire("runner-0", now), BreakerPass::Probe);
    assert_eq!(pool.note_success("runner-0"), BreakerChange::Restored);
    assert_eq!(pool.acquire("runner-0", now), BreakerPass::Normal);
}

#[tokio::test(start_paused = true)]
async fn ejection_never_exceeds_its_part_of_the_pool() {
    let now = time::Instant::now();
    for count in [1, 2, 3, 10, 33] {
        let mut pool = pool(count);
        for index in 0..count {
            fail(&mut pool, &format!("runner-{index}"), now);
        }
        assert!(pool.ejected() * 2 <= count, "{} of {count}", pool.ejected());
        assert_eq!(pool.ejected(), pool.ejected_max());
    }
}

#[tokio::test(start_paused = true)]
async fn a_late_success_does_not_restore_and_a_lost_probe_is_repeated() {
    let mut now = time::Instant::now();
    let mut pool = pool(2);
    fail(&mut pool, "runner-1", now);
    assert_eq!(pool.note_success("runner-1"), BreakerChange::Unchanged);
    assert!(!pool.is_closed("runner-1"));
    now += std_time::Duration::from_secs(1);
    assert_eq!(pool.acquire("runner-1", now), BreakerPass::Probe);
    now += std_time::Duration::from_secs(10);
    assert_eq!(pool.acquire("runner-1", now), BreakerPass::Probe);
}
