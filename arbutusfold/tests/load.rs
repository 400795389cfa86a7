//! Load estimates from delayed reports.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::load;

const SECOND: time::Duration = time::Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn late_report_counts_local_attempts_once() {
    let mut estimate = load::LoadEstimate::default();
    for _ in 0..3 {
        estimate.begin(tokio::time::Instant::now());
    }
    tokio::time::advance(SECOND).await;
    let measured_at = tokio::time::Instant::now();
    tokio::time::advance(SECOND).await;
    for _ in 0..4 {
        estimate.begin(tokio::time::Instant::now());
    }
    tokio::time::advance(SECOND).await;
    // Ten attempts ran at `measured_at`: three of this node and seven of others.
    estimate.record_report(10, measured_at);
    let now = tokio::time::Instant::now();
    assert_eq!(estimate.total(load::LoadSource::Corrected, 8, now), 14.0);
    assert_eq!(estimate.total(load::LoadSource::Reported, 8, now), 10.0);
    assert_eq!(estimate.total(load::LoadSource::Local, 8, now), 7.0);
    // After one half-life (2 s) the seven remote attempts have weight 0.5, and the
    // expected load of eight peers (56 attempts) has the other half.
    assert_eq!(
        estimate.total(load::LoadSource::Blended, 8, now),
        7.0 + 3.5 + 28.0
    );
}

#[tokio::test(start_paused = true)]
async fn older_report_is_ignored() {
    let mut estimate = load::LoadEstimate::default();
    let early = tokio::time::Instant::now();
    tokio::time::advance(SECOND).await;
    let late = tokio::time::Instant::now();
    estimate.record_report(5, late);
    estimate.record_report(50, early);
    assert_eq!(estimate.total(load::LoadSource::Corrected, 0, late), 5.0);
}

#[tokio::test(start_paused = true)]
async fn ended_attempts_leave_the_estimate() {
    let mut estimate = load::LoadEstimate::default();
    let now = tokio::time::Instant::now();
    estimate.begin(now);
    estimate.end(now);
    estimate.end(now);
    assert_eq!(estimate.local(), 0);
}
