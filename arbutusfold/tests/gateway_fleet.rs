//! Tests of the runners known to one node.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::gateway::{demand, fleet, leader, mirror};
use arbutusfold_platform::store;
use bytes::Bytes;
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

fn entry(state: &str, born: u64, layers: &str) -> Bytes {
    Bytes::from(format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"{state}",
        "born":{born},"type":"l4","models":[{{"name":"m"{layers}}}]}}"#
    ))
}

const LAYERS: &str = r#","layers":{"from":0,"target":10}"#;

fn row(version: u64, value: Option<Bytes>) -> mirror::MirrorRow {
    mirror::MirrorRow {
        key: "i-1".to_owned(),
        version: store::RowVersion::new(0, version),
        value,
    }
}

fn one_runner() -> fleet::RunnerFleet {
    let mut fleet = fleet::RunnerFleet::default();
    let found = fleet.update(&row(1, Some(entry("ready", 1, LAYERS))), None);
    assert!(matches!(found, Some(fleet::FleetChange::Found(..))));
    fleet
}

#[tokio::test(start_paused = true)]
async fn leaving_runner_gets_no_requests() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    let change = fleet.update(&row(2, Some(entry("draining", 1, LAYERS))), None);
    assert_eq!(change, Some(fleet::FleetChange::Leaving("i-1".to_owned())));
    assert!(!fleet.get("i-1").unwrap().is_usable(now));
}

/// Guards against requests to a runner that has said in an answer that it leaves,
/// while its entry still says that it is ready.
#[tokio::test(start_paused = true)]
async fn runner_whose_answer_says_that_it_leaves_gets_no_requests_until_it_restarts() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    assert!(
        !fleet.note_leaving("i-1", 8),
        "an answer of another process"
    );
    assert!(fleet.get("i-1").unwrap().is_usable(now));
    assert!(fleet.note_leaving("i-1", 1));
    assert!(!fleet.note_leaving("i-1", 1));
    fleet.update(&row(2, Some(entry("ready", 1, LAYERS))), None);
    assert!(!fleet.get("i-1").unwrap().is_usable(now));
    fleet.update(&row(3, Some(entry("ready", 2, LAYERS))), None);
    assert!(fleet.get("i-1").unwrap().is_usable(now));
    // A runner that leaves does not lose its entry by an outage of the store.
    assert!(fleet.note_leaving("i-1", 2));
    fleet.update(&row(4, None), Some(now + fleet::RESTORE_GRACE));
    assert!(fleet.get("i-1").is_none());
}

/// Guards against requests to a runner within the time for which it wanted none,
/// also if a later answer names a shorter one or lifts a limit.
#[tokio::test(start_paused = true)]
async fn runner_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    fleet.refuse("i-1", now + MS * 3_000);
    fleet.refuse("i-1", now + MS * 1_000);
    fleet.pause("i-1", now + MS * 500);
    fleet.note_success("i-1");
    let lifted = fleet::RunnerLimit {
        rate: None,
        seen_at: now,
    };
    fleet.note_limit("i-1", 1, lifted);
    let pause_left = |fleet: &fleet::RunnerFleet, now| fleet.get("i-1").unwrap().pause_left(now);
    assert_eq!(pause_left(&fleet, now), Some(MS * 3_000));
    assert_eq!(pause_left(&fleet, now + MS * 3_000), None);
    fleet.update(&row(2, Some(entry("ready", 2, LAYERS))), None);
    assert_eq!(pause_left(&fleet, now), None);
}

#[tokio::test(start_paused = true)]
async fn restarted_runner_loses_its_layers_and_failure_history() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    fleet.note_failure("i-1", now);
    fleet.note_progress("i-1", now);
    let change = fleet.update(&row(2, Some(entry("ready", 9, ""))), None);
    assert!(matches!(change, Some(fleet::FleetChange::Changed(..))));
    let state = fleet.get("i-1").unwrap();
    assert_eq!(state.layers(), None);
    assert!(!state.is_avoided(now) && state.failure_rate == 0.0);
    assert_eq!(fleet.silence("i-1", now), None);
}

#[tokio::test(start_paused = true)]
async fn runner_that_lacks_its_layers_counts_as_empty_until_its_entry_changes() {
    let mut fleet = one_runner();
    fleet.note_missing_layers("i-1");
    assert_eq!(fleet.get("i-1").unwrap().layers(), None);
    fleet.update(&row(2, Some(entry("ready", 1, LAYERS))), None);
    assert_eq!(fleet.get("i-1").unwrap().layers(), None);
    let other = r#","layers":{"from":10,"target":20}"#;
    fleet.update(&row(3, Some(entry("ready", 1, other))), None);
    assert!(fleet.get("i-1").unwrap().layers().is_some());
}

/// The platform removes the entries of live runners during an outage of the
/// store and restores them within two seconds.
#[tokio::test(start_paused = true)]
async fn entry_removed_around_an_outage_stays_valid_for_the_grace_period() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    let grace_end = now + fleet::RESTORE_GRACE;
    assert_eq!(
        fleet.update(&row(2, None), Some(grace_end)),
        Some(fleet::FleetChange::Kept("i-1".to_owned(), grace_end))
    );
    assert!(fleet.get("i-1").unwrap().is_usable(now + MS * 2_000));
    assert!(fleet.expire(now + MS * 2_000).is_empty());
    assert!(!fleet.get("i-1").unwrap().is_usable(grace_end));
    assert_eq!(fleet.expire(grace_end).len(), 1);
    assert!(fleet.get("i-1").is_none());
}

#[tokio::test(start_paused = true)]
async fn restored_entry_stays_valid() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    fleet.update(&row(2, None), Some(now + fleet::RESTORE_GRACE));
    fleet.update(&row(3, Some(entry("ready", 1, LAYERS))), None);
    assert!(fleet.expire(now + MS * 9_000).is_empty());
    assert!(fleet.get("i-1").unwrap().is_usable(now + MS * 9_000));
}

#[tokio::test(start_paused = true)]
async fn entry_removed_while_draining_or_without_an_outage_is_dropped_at_once() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    assert!(fleet.update(&row(2, None), None).is_some());
    assert!(fleet.get("i-1").is_none());
    let mut fleet = one_runner();
    fleet.update(&row(2, Some(entry("draining", 1, LAYERS))), None);
    fleet.update(&row(3, None), Some(now + fleet::RESTORE_GRACE));
    assert!(fleet.get("i-1").is_none());
}

#[tokio::test(start_paused = true)]
async fn unreadable_entry_removes_only_its_own_runner() {
    let mut fleet = one_runner();
    let mut bad = row(2, Some(Bytes::from_static(b"\xff\x00")));
    bad.key = "i-2".to_owned();
    let change = fleet.update(&bad, None);
    assert!(matches!(change, Some(fleet::FleetChange::Unreadable(..))));
    assert_eq!(fleet.runners().len(), 1);
    bad.key = "i-1".to_owned();
    fleet.update(&bad, None);
    assert!(fleet.runners().is_empty());
}

#[tokio::test(start_paused = true)]
async fn consecutive_failures_lengthen_the_avoidance_and_a_success_ends_it() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    let first = fleet.note_failure("i-1", now).unwrap();
    let now = now + first;
    let second = fleet.note_failure("i-1", now).unwrap();
    assert!(second > first);
    assert!(fleet.get("i-1").unwrap().is_avoided(now));
    fleet.note_success("i-1");
    assert!(!fleet.get("i-1").unwrap().is_avoided(now));
    assert_eq!(fleet.note_failure("i-1", now), Some(first));
}

/// A runner that pauses fails all requests that are under way there together. It must
/// not be avoided for longer the more of them there are.
#[tokio::test(start_paused = true)]
async fn failures_of_one_moment_count_once() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    let avoidance = fleet.note_failure("i-1", now).unwrap();
    for _ in 0..20 {
        assert_eq!(fleet.note_failure("i-1", now), None);
    }
    assert!(!fleet.get("i-1").unwrap().is_avoided(now + avoidance));
}

/// After a failure a runner gets one request, and the next ones only once that one
/// shows that it works.
#[tokio::test(start_paused = true)]
async fn runner_that_failed_is_tried_with_one_request() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    let later = now + fleet.note_failure("i-1", now).unwrap();
    fleet.begin("i-1", 100);
    assert!(fleet.get("i-1").unwrap().is_avoided(later));
    fleet.note_regained("i-1", later);
    assert!(!fleet.get("i-1").unwrap().is_avoided(later));
}

#[tokio::test(start_paused = true)]
async fn load_is_counted_while_requests_are_under_way() {
    let mut fleet = one_runner();
    fleet.begin("i-1", 700);
    fleet.begin("i-1", 300);
    fleet.end("i-1", 700);
    let state = fleet.get("i-1").unwrap();
    assert_eq!((state.in_flight, state.token_layers), (1, 300));
    // The end of a request on an unknown runner is ignored.
    fleet.end("i-9", 5);
}

/// A node that was cut off learns of removed entries late. It must apply them
/// within the contact time, so it must not grant them the full grace period.
#[tokio::test(start_paused = true)]
async fn node_that_was_cut_off_keeps_no_removed_runner_beyond_the_contact_time() {
    let contact = 3_000 * MS;
    let failed_at = time::Instant::now();
    let restored_at = failed_at + 1_400 * MS;
    let outage = fleet::StoreOutage {
        failed_at,
        restored_at: Some(restored_at),
    };
    let until = outage.grace_end(contact, restored_at).unwrap();
    assert!(until < failed_at + contact, "{:?}", until - failed_at);
    // An outage that goes on also removes the entries of live runners.
    let ongoing = fleet::StoreOutage {
        failed_at: restored_at - 400 * MS,
        restored_at: None,
    };
    assert_eq!(
        ongoing.grace_end(contact, restored_at),
        Some(restored_at + fleet::RESTORE_GRACE)
    );
    // The period ends with the return of the entries, however late a removal is.
    let restored = fleet::StoreOutage {
        restored_at: Some(restored_at),
        ..ongoing
    };
    assert_eq!(
        restored.grace_end(contact, restored_at + 1_500 * MS),
        Some(restored_at + fleet::RESTORE_GRACE)
    );
    // Long after the end of the outage a removal takes effect at once.
    assert_eq!(outage.grace_end(contact, restored_at + contact), None);
}

/// Guards against requests to a runner that left during a cut of this node, when
/// a peer tells of the removal before the store answers this node again.
#[tokio::test(start_paused = true)]
async fn removal_learned_from_a_peer_after_a_cut_applies_within_contact() {
    let contact = 3_000 * MS;
    let failed_at = time::Instant::now();
    let outage = fleet::StoreOutage {
        failed_at,
        restored_at: None,
    };
    time::advance(900 * MS).await;
    let grace_end = outage.grace_end(contact, time::Instant::now());
    assert!(grace_end.is_none_or(|until| until <= failed_at + contact));
}

/// A runner that refused a connection stays out of all paths, also when the others
/// are full, until one request may try again or its entry tells of a new process.
#[tokio::test(start_paused = true)]
async fn runner_whose_process_is_gone_gets_no_requests_for_a_while() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    assert_eq!(fleet.note_unreachable("i-1", 8, now), None, "other process");
    assert!(fleet.get("i-1").unwrap().is_usable(now));
    let pause = fleet.note_unreachable("i-1", 1, now).unwrap();
    assert!(!fleet.get("i-1").unwrap().is_usable(now + pause / 2));
    assert_eq!(fleet.note_unreachable("i-1", 1, now + pause / 2), None);
    assert!(fleet.get("i-1").unwrap().is_usable(now + pause));
    fleet.note_unreachable("i-1", 1, now + pause).unwrap();
    fleet.update(&row(2, Some(entry("ready", 2, LAYERS))), None);
    assert!(fleet.get("i-1").unwrap().is_usable(now + pause));
}

#[tokio::test(start_paused = true)]
async fn runner_is_checked_once_at_a_time() {
    let now = time::Instant::now();
    let mut fleet = one_runner();
    assert!(fleet.begin_check("i-1", now));
    assert!(!fleet.begin_check("i-1", now + 100 * MS));
    assert!(fleet.begin_check("i-1", now + 500 * MS));
    assert!(!fleet.begin_check("i-2", now));
}

/// Guards against a verdict of a leader that outlives its summaries or the process that
/// it names.
#[tokio::test(start_paused = true)]
async fn runner_that_a_leader_found_failed_gets_no_requests_for_a_while() {
    let now = time::Instant::now();
    let hold = 1_000 * MS;
    let mut fleet = one_runner();
    let failed = |incarnation, age_ms| demand::FailedRunner {
        runner: leader::runner_key("i-1"),
        incarnation,
        age_ms,
    };
    let id = "i-1".to_owned();
    assert!(fleet.set_failed(&[failed(8, 0)], hold, now).is_empty());
    assert!(fleet.set_failed(&[failed(1, 2_000)], hold, now).is_empty());
    assert!(fleet.get("i-1").unwrap().is_usable(now));
    let changes = fleet.set_failed(&[failed(1, 40)], hold, now);
    assert_eq!(changes, [fleet::FleetChange::Failed(id.clone(), 40 * MS)]);
    assert!(fleet.set_failed(&[failed(1, 60)], hold, now).is_empty());
    assert!(!fleet.get("i-1").unwrap().is_usable(now + 999 * MS));
    assert!(fleet.get("i-1").unwrap().is_usable(now + hold));
    assert_eq!(fleet.failed(now + 10 * MS), [failed(1, 70)]);
    // The own refusal of a connection counts apart from it.
    assert_eq!(fleet.note_unreachable("i-1", 1, now), None);
    let changes = fleet.set_failed(&[], hold, now);
    assert_eq!(changes, [fleet::FleetChange::Regained(id)]);
    assert!(fleet.note_unreachable("i-1", 1, now).is_some());
    assert!(fleet.set_failed(&[], hold, now).is_empty());
    assert!(!fleet.get("i-1").unwrap().is_usable(now));
    fleet.set_failed(&[failed(1, 0)], hold, now);
    fleet.update(&row(2, Some(entry("ready", 2, LAYERS))), None);
    assert!(fleet.get("i-1").unwrap().is_usable(now));
}
