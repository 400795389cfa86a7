//! Shares of a distributed rate limit never add up to more than the limit.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::limit::{self, ShareRate, allocator, holder, pacer};
use tokio::time;

const LIMIT: ShareRate = ShareRate {
    requests: 100,
    tokens: 0,
};

fn request(organisation: &str, nodes: usize) -> holder::ShareRequest<'_> {
    holder::ShareRequest {
        organisation,
        limit: LIMIT,
        nodes,
        tokens: 10,
        waited: std_time::Duration::ZERO,
    }
}

fn entry(requests: u64, held: u64, applied: u64) -> limit::DemandEntry {
    limit::DemandEntry {
        organisation: "a".to_owned(),
        wanted: ShareRate {
            requests,
            tokens: 0,
        },
        held: ShareRate {
            requests: held,
            tokens: 0,
        },
        applied,
        released: false,
    }
}

fn hosts(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[tokio::test(start_paused = true)]
async fn a_pacer_lets_no_more_than_its_rate_pass_in_any_second() {
    for (rate, allowed) in [(1, 1), (5, 5), (19, 19), (20, 21), (1_000, 1_051)] {
        let mut now = time::Instant::now();
        let mut pacer = pacer::RatePacer::new(rate as f64, now);
        let mut passed = Vec::new();
        for step in 0..5_000 {
            now += std_time::Duration::from_millis(1);
            let idle = (1_000..1_700).contains(&step);
            while !idle && pacer.delay(now) == Some(std_time::Duration::ZERO) {
                pacer.take(1.0, now);
                passed.push(step);
            }
        }
        let most = passed
            .iter()
            .map(|from| {
                passed
                    .iter()
                    .filter(|at| (*from..from + 1_000).contains(*at))
                    .count()
            })
            .max()
            .unwrap();
        assert!(most <= allowed, "{most} at rate {rate}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_node_without_a_grant_falls_back_to_its_floor() {
    let mut now = time::Instant::now();
    let mut holder = holder::ShareHolder::default();
    holder.acquire(&request("a", 3), now);
    let report = holder.report(now);
    let rate = ShareRate {
        requests: 60,
        tokens: 0,
    };
    let entries = vec![limit::GrantEntry {
        organisation: "a".to_owned(),
        rate,
    }];
    let grant = limit::GrantReport {
        number: report.number,
        entries,
    };
    holder.apply_grant(&grant, now + std_time::Duration::from_secs(1));
    now += limit::SHARE_LEASE - std_time::Duration::from_millis(1);
    assert_eq!(holder.report(now).entries[0].held.requests, 60);
    now += std_time::Duration::from_millis(1);
    assert_eq!(holder.report(now).entries[0].held.requests, 0);
    now += std_time::Duration::from_secs(1);
    let passed = (0..1_000)
        .filter(|step| {
            let at = now + std_time::Duration::from_millis(*step);
            let verdict = holder.acquire(&request("a", 3), at);
            if matches!(verdict, holder::ShareVerdict::Wait(_)) {
                holder.cancel("a", 10);
            }
            verdict == holder::ShareVerdict::Pass
        })
        .count();
    assert!(passed <= 3, "{passed} passed at a floor of 3");
    // A duplicate of the same answer has no effect after its lease expired.
    holder.apply_grant(&grant, now);
    assert_eq!(holder.report(now).entries[0].held.requests, 0);
}

#[tokio::test(start_paused = true)]
async fn a_share_is_not_granted_again_before_its_holder_confirms_the_release() {
    let began = time::Instant::now();
    let now = began + std_time::Duration::from_secs(60);
    let names = hosts(&["n1", "n2", "n3"]);
    let view = allocator::AllocatorView {
        limit: LIMIT,
        assigned: &names,
        alive: &names,
        stable_since: began,
    };
    let pool = limit::pool_of(LIMIT, 3).requests;
    let mut allocator = allocator::ShareAllocator::default();
    let first = allocator.allocate("n1", 1, &entry(500, 0, 0), &view, now);
    assert_eq!(first.rate.requests, pool);
    let second = allocator.allocate("n2", 1, &entry(500, 0, 0), &view, now);
    assert_eq!(second.rate.requests, 0);
    let first = allocator.allocate("n1", 2, &entry(500, pool, 1), &view, now);
    assert_eq!(first.rate.requests, pool / 2);
    // The first node has not yet confirmed the smaller share.
    let second = allocator.allocate("n2", 2, &entry(500, 0, 1), &view, now);
    assert_eq!(second.rate.requests, 0);
    allocator.allocate("n1", 3, &entry(500, pool / 2, 2), &view, now);
    let second = allocator.allocate("n2", 3, &entry(500, 0, 2), &view, now);
    assert_eq!(second.rate.requests, pool / 2);
}

#[tokio::test(start_paused = true)]
async fn a_new_allocator_grants_no_more_than_nodes_already_hold() {
    let began = time::Instant::now();
    let names = hosts(&["n1", "n2"]);
    let view = allocator::AllocatorView {
        limit: LIMIT,
        assigned: &names,
        alive: &names,
        stable_since: began,
    };
    let mut allocator = allocator::ShareAllocator::default();
    let grant = allocator.allocate("n1", 7, &entry(500, 30, 6), &view, began);
    assert_eq!(grant.rate.requests, 30);
    let later = began + limit::SHARE_LEASE;
    let grant = allocator.allocate("n1", 11, &entry(500, 30, 10), &view, later);
    assert_eq!(grant.rate.requests, limit::pool_of(LIMIT, 2).requests);
}

#[tokio::test(start_paused = true)]
async fn an_allocator_cut_off_from_most_nodes_grants_nothing() {
    let began = time::Instant::now();
    let now = began + std_time::Duration::from_secs(60);
    let names = hosts(&["n1", "n2", "n3"]);
    let mut allocator = allocator::ShareAllocator::default();
    let whole = allocator::AllocatorView {
        limit: LIMIT,
        assigned: &names,
        alive: &names,
        stable_since: began,
    };
    allocator.allocate("n1", 1, &entry(50, 0, 0), &whole, now);
    let left = hosts(&["n1"]);
    let alone = allocator::AllocatorView {
        assigned: &left,
        alive: &left,
        ..whole
    };
    let grant = allocator.allocate("n1", 2, &entry(50, 0, 1), &alone, now);
    assert_eq!(grant.rate.requests, 0);
    let grant = allocator.allocate("n1", 3, &entry(50, 0, 2), &whole, now);
    assert!(grant.rate.requests > 0);
}

#[tokio::test(start_paused = true)]
async fn a_burst_waits_in_order_and_the_excess_is_refused_at_once() {
    let now = time::Instant::now();
    let mut holder = holder::ShareHolder::default();
    let request = holder::ShareRequest {
        limit: ShareRate {
            requests: 1_000,
            tokens: 0,
        },
        ..request("a", 10)
    };
    assert_eq!(holder.acquire(&request, now), holder::ShareVerdict::Pass);
    let waits: Vec<_> = (0..12).map(|_| holder.acquire(&request, now)).collect();
    let millis = |millis| holder::ShareVerdict::Wait(std_time::Duration::from_millis(millis));
    assert_eq!(waits[0], millis(100));
    assert_eq!(waits[9], millis(1_000));
    assert!(matches!(waits[10], holder::ShareVerdict::Refuse(_)));
    holder.cancel("a", 10);
    assert_eq!(holder.acquire(&request, now), millis(1_000));
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_drain_at_the_rate_under_overload() {
    let began = time::Instant::now();
    let mut holder = holder::ShareHolder::default();
    let request = holder::ShareRequest {
        limit: ShareRate {
            requests: 100,
            tokens: 0,
        },
        ..request("a", 1)
    };
    let mut waiting: Vec<(u64, std_time::Duration)> = Vec::new();
    let mut passed = 0;
    for step in 0..10_000_u64 {
        let now = began + std_time::Duration::from_millis(step);
        let due: Vec<_> = waiting.extract_if(.., |(at, _)| *at <= step).collect();
        // 100 new requests per second arrive in addition to the waiting ones.
        let new = (step % 10 == 0).then_some((step, std_time::Duration::ZERO));
        for (_, waited) in due.into_iter().chain(new) {
            match holder.acquire(&holder::ShareRequest { waited, ..request }, now) {
                holder::ShareVerdict::Pass => passed += 1,
                holder::ShareVerdict::Wait(pause) => {
                    let millis = pause.as_millis() as u64 + 1;
                    waiting.push((step + millis, waited + pause));
                }
                holder::ShareVerdict::Refuse(_) => {}
            }
        }
    }
    // The floor of a single node is a tenth of the limit: 10 per second.
    assert!(
        (95..=101).contains(&passed),
        "{passed} passed in ten seconds"
    );
}
