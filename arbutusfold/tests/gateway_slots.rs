//! Slots of the runners that receive requests.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use arbutusfold::gateway::path;
use arbutusfold_platform::runner;
use gateway_fixture::{engine, query};
use rand::{RngExt, SeedableRng};

const SLOTS: f64 = 192.0;
const HOSTS: usize = 28;

/// Time after which each node knows what the others have in flight.
const REPORT_MS: f64 = 200.0;

/// Time for which a stream holds its slot.
const STREAM_MS: f64 = 2_500.0;

/// A stream and where it was sent.
struct OpenStream {
    host: usize,
    first: usize,
    begun_ms: f64,
}

/// A fast runner for the first layers beside slow ones, and one for the rest.
fn candidates() -> Vec<path::StageCandidate> {
    let candidate = |(runner, from, to, step_factor)| path::StageCandidate {
        runner,
        domain: 0,
        layers: runner::LayerSpan { from, to },
        step_factor,
        read_factor: step_factor,
        in_flight: 0.0,
        slots: SLOTS,
        free_token_layers: f64::MAX,
        unread_token_layers: 0.0,
        penalty_ms: 0.0,
    };
    let runners = [
        (0, 0, 20, 1.4),
        (1, 0, 20, 15.0),
        (2, 0, 20, 15.0),
        (3, 20, 80, 3.0),
    ];
    runners.into_iter().map(candidate).collect()
}

/// Lets nodes send 110 streams a second, more than the slots of the fast runner hold.
/// Returns the most streams that any runner had as the first one.
fn most_in_flight(is_timed: bool, seed: u64) -> usize {
    let engine = engine();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let timing = path::PathTiming {
        first_limit_ms: 250.0,
        gap_limit_ms: 250.0,
        domains: 1,
        links: Vec::new(),
        alike: 1.0,
    };
    let mut streams: Vec<OpenStream> = Vec::new();
    let (mut now, mut most) = (0.0, 0);
    while now < 20_000.0 {
        now += -1_000.0 / 110.0 * (1.0 - rng.random::<f64>()).ln();
        let host = rng.random_range(0..HOSTS);
        let reported = (now / REPORT_MS).floor() * REPORT_MS;
        streams.retain(|stream| stream.begun_ms + STREAM_MS > now - REPORT_MS);
        let is_open = |stream: &OpenStream, seen: f64| {
            stream.begun_ms <= seen && stream.begun_ms + STREAM_MS > seen
        };
        let mut seen = candidates();
        for stream in &streams {
            let seen_at = if stream.host == host { now } else { reported };
            if is_open(stream, seen_at) {
                seen[stream.first].in_flight += 1.0;
                seen[3].in_flight += 1.0;
            }
        }
        let query = path::PathQuery {
            timing: is_timed.then_some(&timing),
            ..query(&engine, 0)
        };
        let chosen = path::choose(&seen, &query, || 1.0 + 0.1 * rng.random::<f64>()).unwrap();
        // A taken slot makes a runner wait, and is no reason for a refusal.
        assert!(chosen.penalty_ms < path::MAX_COST_MS);
        let first = chosen.stages[0].runner;
        streams.push(OpenStream {
            host,
            first,
            begun_ms: now,
        });
        let open = streams
            .iter()
            .filter(|stream| stream.first == first && is_open(stream, now));
        most = most.max(open.count());
    }
    most
}

/// All streams prefer the fastest runner, at which those beyond its slots would wait.
#[test]
fn streams_beyond_the_slots_of_the_fastest_runner_begin_elsewhere() {
    for seed in 0..3 {
        let (before, after) = (most_in_flight(false, seed), most_in_flight(true, seed));
        println!("seed {seed}: {before} -> {after} streams in {SLOTS} slots");
        assert!(before as f64 > SLOTS);
        assert!(after as f64 <= SLOTS);
    }
}

/// Only the first runner of a path needs a slot, and a taken one is better than none.
#[test]
fn taken_slots_are_used_where_no_other_runner_is_left() {
    let engine = engine();
    let timing = path::PathTiming {
        first_limit_ms: 250.0,
        gap_limit_ms: 250.0,
        domains: 1,
        links: Vec::new(),
        alike: 1.0,
    };
    let query = path::PathQuery {
        timing: Some(&timing),
        ..query(&engine, 0)
    };
    let mut candidates = candidates();
    candidates[3].in_flight = 2.0 * SLOTS;
    let chosen = path::choose(&candidates, &query, || 1.0).unwrap();
    assert_eq!(chosen.stages[0].runner, 0);
    assert!(chosen.cost_ms < 15_000.0);
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.in_flight = SLOTS);
    let chosen = path::choose(&candidates, &query, || 1.0).unwrap();
    assert_eq!(chosen.stages[0].runner, 0);
    assert!(chosen.penalty_ms < path::MAX_COST_MS);
}
