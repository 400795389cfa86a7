//! Suspects over several nodes whose messages are late, doubled or lost.
//!
//! The oracle is plain: it counts the upstreams that each request crashed.
//! Assumed: nodes agree on the organisation's nodes, and the two keepers of a
//! request's permits do not lose their memory.

#![allow(clippy::unwrap_used)]

use arbutusfold_fuzz::crash::{CrashArrival, CrashFleet, CrashPlan};
use proptest::strategy::Strategy;
use proptest::{prop_assert, test_runner};

/// Cases when the environment names no number.
const CASES: u32 = 300;

const SEED: [u8; 32] = [4; 32];

fn plans(loss: std::ops::Range<u32>) -> impl Strategy<Value = CrashPlan> {
    let arrival =
        (1..400_u32, 0..6_usize, 0..6_u8).prop_map(|(step, node, request)| CrashArrival {
            step,
            node,
            request,
        });
    (
        proptest::num::u64::ANY,
        1..6_usize,
        2..6_usize,
        loss,
        0..40_u32,
        proptest::collection::vec(arrival, 1..40),
    )
        .prop_map(
            |(seed, nodes, upstreams, loss, delay, arrivals)| CrashPlan {
                seed,
                nodes,
                upstreams,
                loss,
                delay,
                arrivals,
            },
        )
}

fn runner() -> test_runner::TestRunner {
    let cases = std::env::var("ARBUTUSFOLD_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES);
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let random = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    test_runner::TestRunner::new_with_rng(config, random)
}

#[tokio::test(start_paused = true)]
async fn no_request_crashes_more_than_two_upstreams() {
    let checked = runner().run(&plans(0..70), |plan| {
        let mut fleet = CrashFleet::new(plan);
        fleet.run();
        for (request, crashes) in &fleet.crashes {
            prop_assert!(*crashes <= 2, "request {request} crashed {crashes}");
        }
        Ok(())
    });
    checked.unwrap();
}

#[tokio::test(start_paused = true)]
async fn only_what_was_at_two_crashes_is_quarantined() {
    let checked = runner().run(&plans(0..1), |plan| {
        let requests: Vec<_> = plan
            .arrivals
            .iter()
            .map(|arrival| arrival.request)
            .collect();
        let mut fleet = CrashFleet::new(plan);
        fleet.run();
        for request in &fleet.quarantined {
            let present = fleet.present.get(request).copied().unwrap_or(0);
            prop_assert!(present >= 2, "request {request} was at {present} crashes");
        }
        for request in requests {
            let known = fleet.answered.contains(&request) || fleet.quarantined.contains(&request);
            prop_assert!(
                known || fleet.refused > 0,
                "request {request} had no answer and no refusal"
            );
        }
        Ok(())
    });
    checked.unwrap();
}
