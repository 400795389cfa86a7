//! Retries require idempotency or proof that nothing ran, budget and time.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::retry::{AttemptEnd, RetryBudget, RetryVerdict};
use tokio::time;

fn end(now: time::Instant) -> AttemptEnd {
    AttemptEnd {
        not_run: false,
        idempotent: true,
        progress: false,
        deadline: now + std_time::Duration::from_secs(60),
        needed: std_time::Duration::from_millis(100),
    }
}

#[tokio::test(start_paused = true)]
async fn what_may_have_run_and_may_not_repeat_is_not_retried() {
    let now = time::Instant::now();
    let mut budget = RetryBudget::default();
    let mut marked = end(now);
    marked.idempotent = false;
    assert_eq!(budget.decide("a", marked, now), RetryVerdict::NotIdempotent);
    marked.not_run = true;
    assert_eq!(budget.decide("a", marked, now), RetryVerdict::Retry);
}

#[tokio::test(start_paused = true)]
async fn no_retry_without_time() {
    let now = time::Instant::now();
    let mut late = end(now);
    late.deadline = now + std_time::Duration::from_millis(100);
    let verdict = RetryBudget::default().decide("a", late, now);
    assert_eq!(verdict, RetryVerdict::DeadlineNear);
}

#[tokio::test(start_paused = true)]
async fn an_organisation_cannot_spend_the_retries_of_others() {
    let now = time::Instant::now();
    let mut budget = RetryBudget::default();
    while budget.decide("a", end(now), now) == RetryVerdict::Retry {}
    assert_eq!(budget.decide("b", end(now), now), RetryVerdict::Retry);
    for _ in 0..10 {
        budget.note_success("a");
    }
    assert_eq!(budget.decide("a", end(now), now), RetryVerdict::Retry);
    assert_eq!(budget.decide("a", end(now), now), RetryVerdict::BudgetSpent);
}

#[tokio::test(start_paused = true)]
async fn a_full_outage_multiplies_load_by_at_most_a_fifth() {
    let now = time::Instant::now();
    let mut budget = RetryBudget::default();
    let requests = 300;
    let mut attempts = 0;
    for request in 0..requests {
        let organisation = format!("organisation-{}", request % 10);
        budget.note_request(&organisation);
        attempts += 1;
        // A retry costs the same after an attempt that could not be sent.
        while budget.decide(
            &organisation,
            AttemptEnd {
                not_run: true,
                ..end(now)
            },
            now,
        ) == RetryVerdict::Retry
        {
            attempts += 1;
        }
    }
    assert!(
        attempts * 10 <= requests * 12,
        "{attempts} attempts of {requests}"
    );
}

#[tokio::test(start_paused = true)]
async fn streams_with_progress_are_retried_without_budget() {
    let now = time::Instant::now();
    let mut budget = RetryBudget::default();
    while budget.decide("a", end(now), now) == RetryVerdict::Retry {}
    let served = AttemptEnd {
        progress: true,
        ..end(now)
    };
    assert_eq!(budget.decide("a", served, now), RetryVerdict::Retry);
}
