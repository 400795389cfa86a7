//! Tests of which deaths of runners count for a request.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::gateway::crash;
use arbutusfold::suspect;
use tokio::time;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn death(runner: &str) -> suspect::CrashId {
    suspect::CrashId {
        upstream: runner.to_owned(),
        incarnation: 1,
    }
}

#[tokio::test(start_paused = true)]
async fn runners_that_got_the_request_together_count_as_one_death() {
    let trace = crash::CrashTrace::default();
    trace.begin(
        &names(&["a", "b", "c"]),
        crash::RunKind::Fresh,
        time::Instant::now(),
    );
    time::advance(std_time::Duration::from_millis(300)).await;
    let counted = trace.record(&death("b"), false, time::Instant::now());
    let age = std_time::Duration::from_millis(300);
    assert_eq!(counted, Some((age, crash::RunKind::Fresh)));
    assert_eq!(trace.record(&death("c"), false, time::Instant::now()), None);
    // A runner that replaced the dead one got the request by itself.
    trace.begin(
        &names(&["d"]),
        crash::RunKind::Repeated,
        time::Instant::now(),
    );
    assert!(
        trace
            .record(&death("d"), false, time::Instant::now())
            .is_some()
    );
    let crashes: Vec<_> = trace
        .crashes()
        .into_iter()
        .map(|record| record.crash)
        .collect();
    assert_eq!(crashes, [death("b"), death("d")]);
}

#[tokio::test(start_paused = true)]
async fn death_of_a_runner_that_never_got_the_request_does_not_count() {
    let trace = crash::CrashTrace::default();
    trace.begin(&names(&["a"]), crash::RunKind::Fresh, time::Instant::now());
    assert_eq!(trace.record(&death("b"), false, time::Instant::now()), None);
    assert!(trace.crashes().is_empty());
}

/// Guards against a death that is missed because the runner answered a check for
/// another request shortly before.
#[tokio::test(start_paused = true)]
async fn live_runner_is_checked_again_and_a_dead_one_is_not() {
    let mut checks = crash::CrashChecks::default();
    let started = time::Instant::now();
    checks.result(&death("live"), started).set(false).unwrap();
    checks.result(&death("dead"), started).set(true).unwrap();
    let soon = started + std_time::Duration::from_millis(10);
    assert_eq!(checks.result(&death("live"), soon).get(), Some(&false));
    let later = started + std_time::Duration::from_millis(200);
    assert_eq!(checks.result(&death("live"), later).get(), None);
    assert_eq!(checks.result(&death("dead"), later).get(), Some(&true));
}
