//! Retry budgets of a gateway.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::gateway::budget;
use tokio::time;

const SERVICE: &str = "assistant";

const POLICY: budget::BudgetPolicy = budget::BudgetPolicy {
    share: 0.2,
    extra: 70.0,
    window: std_time::Duration::from_secs(10),
    has_peers: false,
};

fn take_all(budget: &mut budget::RetryBudget, now: time::Instant) -> usize {
    (0..1_000).take_while(|_| budget.take(SERVICE, now)).count()
}

#[tokio::test(start_paused = true)]
async fn nodes_take_parts_that_add_up_to_the_fleets_budget() {
    let started = time::Instant::now();
    let now = started + POLICY.window;
    let mut sum = 0;
    for _ in 0..7 {
        let mut budget = budget::RetryBudget::new(POLICY, started);
        budget.note_nodes(7);
        // A smaller fleet size, as during a partition, must not raise the share.
        budget.note_nodes(1);
        (0..100).for_each(|_| budget.note_request(SERVICE, now));
        sum += take_all(&mut budget, now);
    }
    let allowed = POLICY.share * 700.0 + POLICY.extra;
    assert!(sum > 0 && sum as f64 <= allowed, "{sum} of {allowed}");
}

#[tokio::test(start_paused = true)]
async fn restarted_node_takes_no_extra_for_a_window() {
    let started = time::Instant::now();
    let mut budget = budget::RetryBudget::new(POLICY, started);
    let soon = started + std_time::Duration::from_millis(500);
    assert_eq!(take_all(&mut budget, soon), 0);
    (0..100).for_each(|_| budget.note_request(SERVICE, soon));
    let allowed = (POLICY.share * 100.0) as usize;
    assert!((1..=allowed).contains(&take_all(&mut budget, soon)));
}

/// Guards against a node that is started while it is cut off from its peers and
/// takes the extra retries of the whole fleet.
#[tokio::test(start_paused = true)]
async fn node_that_has_met_no_peer_takes_no_extra() {
    let policy = budget::BudgetPolicy {
        has_peers: true,
        ..POLICY
    };
    let started = time::Instant::now();
    let mut sum = 0;
    for node in 0..7 {
        let mut budget = budget::RetryBudget::new(policy, started);
        // The last one is alone, the others know the whole fleet.
        budget.note_nodes(if node == 6 { 1 } else { 7 });
        sum += take_all(&mut budget, started + policy.window);
    }
    assert!(
        sum > 0 && sum as f64 <= policy.extra,
        "{sum} of {}",
        policy.extra
    );
}

#[tokio::test(start_paused = true)]
async fn budget_comes_back_after_the_window() {
    let started = time::Instant::now();
    let mut budget = budget::RetryBudget::new(POLICY, started);
    budget.note_nodes(1);
    let now = started + POLICY.window;
    let first = take_all(&mut budget, now);
    assert_eq!(take_all(&mut budget, now + POLICY.window / 2), 0);
    assert_eq!(take_all(&mut budget, now + POLICY.window * 2), first);
}

/// A retry that is given back may be taken again, but not twice, nor once it has left
/// the window.
#[tokio::test(start_paused = true)]
async fn retry_given_back_counts_in_its_own_window() {
    let started = time::Instant::now();
    let taken_at = started + POLICY.window;
    let mut budget = budget::RetryBudget::new(POLICY, started);
    let whole = take_all(&mut budget, taken_at);
    let later = taken_at + POLICY.window / 2;
    budget.give_back(SERVICE, taken_at);
    assert_eq!(take_all(&mut budget, later), 1);
    let after = taken_at + POLICY.window * 2;
    assert_eq!(take_all(&mut budget, after), whole);
    budget.give_back(SERVICE, taken_at);
    assert_eq!(take_all(&mut budget, after), 0);
}
