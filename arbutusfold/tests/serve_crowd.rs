//! Which connection gives way to a new one, under the crowd that it answers.

#![allow(clippy::unwrap_used)]

use std::net;
use std::time;

use arbutusfold::serve::crowd::{self, ConnectionPhase};

fn open(last: u8, phase: ConnectionPhase, age_ms: u64) -> crowd::ConnectionView {
    crowd::ConnectionView {
        address: net::Ipv4Addr::new(127, 0, 0, last).into(),
        phase,
        age: time::Duration::from_millis(age_ms),
    }
}

#[test]
fn crowd_that_never_sends_a_request_gives_way_before_kept_connections() {
    let mut views = vec![open(1, ConnectionPhase::Idle, 60_000); 50];
    views.push(open(2, ConnectionPhase::Opened, 1_500));
    views.push(open(2, ConnectionPhase::Opened, 2_500));
    assert_eq!(crowd::choose_yielding(&views), Some(51));
}

#[test]
fn crowd_that_stops_within_heads_bodies_or_answers_gives_way() {
    for phase in [
        ConnectionPhase::Head,
        ConnectionPhase::Body,
        ConnectionPhase::Blocked,
    ] {
        let views = [
            open(1, ConnectionPhase::Idle, 60_000),
            open(1, phase, 1_000),
            open(1, ConnectionPhase::Answering, 9_000),
        ];
        assert_eq!(crowd::choose_yielding(&views), Some(1), "{phase:?}");
    }
}

#[test]
fn crowd_of_idle_connections_of_one_address_gives_way_to_others() {
    let mut views = vec![open(1, ConnectionPhase::Idle, 100); 50];
    views[20] = open(1, ConnectionPhase::Idle, 200);
    views.extend([open(2, ConnectionPhase::Idle, 60_000); 3]);
    assert_eq!(crowd::choose_yielding(&views), Some(20));
}

#[test]
fn requests_that_are_being_handled_never_give_way() {
    let views = [open(1, ConnectionPhase::Answering, 60_000); 8];
    assert_eq!(crowd::choose_yielding(&views), None);
    assert_eq!(crowd::choose_yielding(&[]), None);
}
