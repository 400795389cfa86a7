//! Times at which refused callers come back.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::gateway::returns;
use tokio::time;

const LEFT: std_time::Duration = std_time::Duration::from_secs(20);

fn seconds(time: f64) -> std_time::Duration {
    std_time::Duration::from_secs_f64(time)
}

/// Returns the share of callers who come back after the end of an outage in which all
/// nodes started at one moment and have no document. They arrive evenly and come back
/// once.
fn returned_after(outage_s: f64, return_after: impl Fn(f64, f64) -> f64) -> f64 {
    let callers = 1_000;
    let is_late = |caller: &u32| {
        let arrived = outage_s * f64::from(*caller) / f64::from(callers);
        let draw = f64::from(caller * 619 % callers) / f64::from(callers);
        arrived + return_after(arrived, draw) >= outage_s
    };
    (0..callers).filter(is_late).count() as f64 / f64::from(callers)
}

/// Load: all nodes start at one moment, and the store ends all calls for 2 to 6 s.
#[test]
fn callers_return_after_an_outage_that_all_nodes_share() {
    let planned = |arrived: f64, draw: f64| {
        returns::unready_return(seconds(arrived), true, LEFT, draw).as_secs_f64()
    };
    for outage_s in [2.0, 3.0, 4.0, 5.0, 6.0] {
        let constant = returned_after(outage_s, |_, _| 2.0);
        let forecast = returned_after(outage_s, planned);
        println!("outage {outage_s} s: constant {constant:.3}, forecast {forecast:.3}");
        assert!(
            forecast >= 0.75 && forecast >= constant,
            "{outage_s}: {forecast}"
        );
    }
}

/// Load: one node starts while all others serve; its callers find another one.
#[test]
fn callers_of_a_node_that_just_started_return_soon() {
    let time = returns::unready_return(seconds(0.05), false, LEFT, 1.0);
    assert!(time >= seconds(0.5) && time <= seconds(0.7), "{time:?}");
}

/// Callers do not honour longer times.
#[test]
fn return_is_within_a_third_of_the_time_left() {
    for left in [0.3, 1.0, 6.0, 20.0] {
        for silent in [0.0, 1.0, 30.0] {
            for draw in [0.0, 0.5, 1.0] {
                let limit = seconds(left / 3.0 + 1e-6);
                let unready = returns::unready_return(seconds(silent), true, seconds(left), draw);
                let full = returns::return_time(seconds(silent), seconds(left), draw);
                assert!(
                    unready <= limit && full <= limit,
                    "{unready:?} {full:?} {limit:?}"
                );
            }
        }
    }
}

/// Load: many callers are refused at one moment.
#[test]
fn returns_are_spread_over_the_time_in_which_room_appears() {
    let times: Vec<_> = (0..=10)
        .map(|draw| returns::return_time(seconds(1.0), LEFT, f64::from(draw) / 10.0))
        .collect();
    assert_eq!(times[0], seconds(1.0));
    assert_eq!(times[10], seconds(2.0));
    assert!(times.is_sorted());
    // Beyond the caller's limit they still do not come as one.
    let first = returns::return_time(seconds(30.0), LEFT, 0.0);
    let last = returns::return_time(seconds(30.0), LEFT, 1.0);
    assert!(last - first >= seconds(1.0), "{first:?} {last:?}");
}

#[tokio::test(start_paused = true)]
async fn refused_caller_is_recognised_once_and_for_a_while() {
    let mut table = returns::ReturnTable::default();
    let now = time::Instant::now();
    table.note([1; 16], now);
    table.note([2; 16], now);
    assert!(!table.take(&[3; 16], now));
    assert!(table.take(&[1; 16], now + seconds(7.9)));
    assert!(!table.take(&[1; 16], now + seconds(7.9)));
    assert!(!table.take(&[2; 16], now + seconds(8.1)));
}

/// Load: more refused callers than a node remembers.
#[tokio::test(start_paused = true)]
async fn memory_of_refused_callers_is_bounded() {
    let mut table = returns::ReturnTable::default();
    let now = time::Instant::now();
    let key = |number: u32| {
        let mut key = [0; 16];
        key[..4].copy_from_slice(&number.to_be_bytes());
        key
    };
    (0..5_000).for_each(|number| table.note(key(number), now));
    let known = (0..5_000)
        .filter(|number| table.take(&key(*number), now))
        .count();
    assert_eq!(known, 4_096);
    assert!(table.is_empty());
}
