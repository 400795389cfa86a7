//! The order of a graceful stop.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::drain::{DrainAction, DrainEvent, DrainKeeper, FlightList};
use tokio::time;

const KEEP: std_time::Duration = std_time::Duration::from_secs(10);
const LIMIT: std_time::Duration = std_time::Duration::from_secs(120);

#[test]
fn node_listens_until_given_answers_have_run_out() {
    let start = time::Instant::now();
    let mut keeper = DrainKeeper::new(KEEP, LIMIT);
    assert_eq!(keeper.handle(DrainEvent::Tick, start), None);
    let announced = keeper.handle(DrainEvent::Signal, start);
    assert_eq!(announced, Some(DrainAction::Announce));
    assert_eq!(keeper.handle(DrainEvent::Tick, start + KEEP), None);
    let until = keeper.wakes().unwrap();
    assert!(until > start + KEEP);
    let closed = keeper.handle(DrainEvent::Tick, until);
    assert_eq!(closed, Some(DrainAction::Close));
    let ended = keeper.handle(DrainEvent::Closed, until);
    assert_eq!(ended, Some(DrainAction::End { cut: false }));
    assert_eq!(keeper.handle(DrainEvent::Signal, until), None);
    assert_eq!(keeper.wakes(), None);
}

#[test]
fn limit_ends_a_stop_that_waits_for_its_streams() {
    let start = time::Instant::now();
    let mut keeper = DrainKeeper::new(KEEP, LIMIT);
    keeper.handle(DrainEvent::Signal, start);
    let until = keeper.wakes().unwrap();
    keeper.handle(DrainEvent::Tick, until);
    let before = until + LIMIT - std_time::Duration::from_millis(1);
    assert_eq!(keeper.handle(DrainEvent::Tick, before), None);
    let ended = keeper.handle(DrainEvent::Tick, until + LIMIT);
    assert_eq!(ended, Some(DrainAction::End { cut: true }));
}

#[test]
fn second_signal_ends_a_stop_at_once() {
    let start = time::Instant::now();
    for closing in [false, true] {
        let mut keeper = DrainKeeper::new(KEEP, LIMIT);
        keeper.handle(DrainEvent::Signal, start);
        if closing {
            let until = keeper.wakes().unwrap();
            keeper.handle(DrainEvent::Tick, until);
        }
        let ended = keeper.handle(DrainEvent::Signal, start);
        assert_eq!(ended, Some(DrainAction::End { cut: true }));
    }
}

#[test]
fn requests_in_flight_are_listed_until_they_end() {
    let flights = FlightList::default();
    for request in ["b", "a", "b"] {
        flights.begin(request);
    }
    flights.end("b");
    assert_eq!(flights.list(), ["a", "b"]);
    flights.end("b");
    flights.end("a");
    assert!(flights.list().is_empty());
}
