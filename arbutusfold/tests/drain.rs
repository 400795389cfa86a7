//! Order and deadlines of the steps of a graceful stop.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::drain::{ActiveRequests, DrainAction, DrainEvent, DrainSequence};
use tokio::time;

const ANSWER_KEEP: std_time::Duration = std_time::Duration::from_secs(10);
const STOP_LIMIT: std_time::Duration = std_time::Duration::from_secs(120);

#[test]
fn node_listens_until_cached_address_lists_expire() {
    let start = time::Instant::now();
    let mut sequence = DrainSequence::new(ANSWER_KEEP, STOP_LIMIT);
    assert_eq!(sequence.handle(DrainEvent::Tick, start), None);
    let announced = sequence.handle(DrainEvent::Signal, start);
    assert_eq!(announced, Some(DrainAction::Announce));
    assert_eq!(sequence.handle(DrainEvent::Tick, start + ANSWER_KEEP), None);
    let until = sequence.deadline().unwrap();
    assert!(until > start + ANSWER_KEEP);
    let closed = sequence.handle(DrainEvent::Tick, until);
    assert_eq!(closed, Some(DrainAction::Close));
    let ended = sequence.handle(DrainEvent::Closed, until);
    assert_eq!(ended, Some(DrainAction::Exit { cut: false }));
    assert_eq!(sequence.handle(DrainEvent::Signal, until), None);
    assert_eq!(sequence.deadline(), None);
}

#[test]
fn limit_ends_a_stop_that_waits_for_its_streams() {
    let start = time::Instant::now();
    let mut sequence = DrainSequence::new(ANSWER_KEEP, STOP_LIMIT);
    sequence.handle(DrainEvent::Signal, start);
    let until = sequence.deadline().unwrap();
    sequence.handle(DrainEvent::Tick, until);
    let before = until + STOP_LIMIT - std_time::Duration::from_millis(1);
    assert_eq!(sequence.handle(DrainEvent::Tick, before), None);
    let ended = sequence.handle(DrainEvent::Tick, until + STOP_LIMIT);
    assert_eq!(ended, Some(DrainAction::Exit { cut: true }));
}

#[test]
fn second_signal_ends_a_stop_at_once() {
    let start = time::Instant::now();
    for closing in [false, true] {
        let mut sequence = DrainSequence::new(ANSWER_KEEP, STOP_LIMIT);
        sequence.handle(DrainEvent::Signal, start);
        if closing {
            let until = sequence.deadline().unwrap();
            sequence.handle(DrainEvent::Tick, until);
        }
        let ended = sequence.handle(DrainEvent::Signal, start);
        assert_eq!(ended, Some(DrainAction::Exit { cut: true }));
    }
}

#[test]
fn requests_in_flight_are_listed_until_they_end() {
    let requests = ActiveRequests::default();
    for request in ["b", "a", "b"] {
        requests.begin(request);
    }
    requests.end("b");
    assert_eq!(requests.list(), ["a", "b"]);
    requests.end("b");
    requests.end("a");
    assert!(requests.list().is_empty());
}
