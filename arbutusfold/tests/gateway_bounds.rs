//! Events about bounds on callers are limited in number.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::gateway::bounds::{self, BoundCause};
use tokio::time;

#[tokio::test(start_paused = true)]
async fn crowd_that_meets_a_bound_often_makes_one_event_a_second_for_each_cause() {
    let log = bounds::BoundLog::default();
    let count = |cause| log.count(cause, time::Instant::now());
    assert_eq!(count(BoundCause::Memory), Some(1));
    for _ in 0..1_000 {
        assert_eq!(count(BoundCause::Memory), None);
    }
    assert_eq!(count(BoundCause::HeadTime), Some(1));
    time::advance(std_time::Duration::from_secs(1)).await;
    assert_eq!(count(BoundCause::Memory), Some(1_001));
    assert_eq!(count(BoundCause::Memory), None);
}
