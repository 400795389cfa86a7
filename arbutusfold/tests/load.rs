//! Load estimates from late reports.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::load;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn late_report_counts_own_attempts_once() {
    let mut estimate = load::LoadEstimate::default();
    for _ in 0..3 {
        estimate.begin(tokio::time::Instant::now());
    }
    tokio::time::advance(SECOND).await;
    let taken = tokio::time::Instant::now();
    tokio::time::advance(SECOND).await;
    for _ in 0..4 {
        estimate.begin(tokio::time::Instant::now());
    }
    tokio::time::advance(SECOND).await;
    // Ten ran when it was taken: three of this node and seven of others.
    estimate.hear(10, taken);
    let now = tokio::time::Instant::now();
    assert_eq!(estimate.total(load::LoadSource::Corrected, 8, now), 14.0);
    assert_eq!(estimate.total(load::LoadSource::Reported, 8, now), 10.0);
    assert_eq!(estimate.total(load::LoadSource::Own, 8, now), 7.0);
    // After one half-life the seven count half, eight peers' shares the rest.
    assert_eq!(
        estimate.total(load::LoadSource::Blend, 8, now),
        7.0 + 3.5 + 28.0
    );
}

#[tokio::test(start_paused = true)]
async fn overtaken_report_is_passed_over() {
    let mut estimate = load::LoadEstimate::default();
    let early = tokio::time::Instant::now();
    tokio::time::advance(SECOND).await;
    let late = tokio::time::Instant::now();
    estimate.hear(5, late);
    estimate.hear(50, early);
    assert_eq!(estimate.total(load::LoadSource::Corrected, 0, late), 5.0);
}

#[tokio::test(start_paused = true)]
async fn ended_attempts_leave_the_estimate() {
    let mut estimate = load::LoadEstimate::default();
    let now = tokio::time::Instant::now();
    estimate.begin(now);
    estimate.end(now);
    estimate.end(now);
    assert_eq!(estimate.own(), 0);
}
