//! Runs a state machine test with a fixed seed and counts its steps.

use std::sync;
use std::sync::atomic;

use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Variable that sets the number of cases of a longer run.
const CASES_VARIABLE: &str = "ARBUTUSFOLD_FUZZ_CASES";

/// A run of one state machine test.
#[derive(Clone, Copy, Debug)]
pub struct FuzzPlan {
    /// Seed of the generator.
    pub seed: u64,
    /// Cases, unless the environment sets another number.
    pub cases: u32,
    /// Steps of one case.
    pub steps: usize,
}

/// Runs `T` and returns the number of steps.
///
/// # Panics
///
/// When a case fails; the message holds its shortest form.
pub fn run<T: StateMachineTest>(plan: FuzzPlan) -> usize
where
    <T::Reference as ReferenceStateMachine>::State: std::fmt::Debug,
{
    let cases = std::env::var(CASES_VARIABLE)
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(plan.cases);
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 400,
        ..test_runner::Config::default()
    };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&plan.seed.to_le_bytes());
    let random = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &seed);
    let mut runner = test_runner::TestRunner::new_with_rng(config.clone(), random);
    let strategy = T::Reference::sequential_strategy(plan.steps);
    let counted = sync::Arc::new(atomic::AtomicUsize::new(0));
    let outcome = runner.run(&strategy, |(state, transitions, seen)| {
        counted.fetch_add(transitions.len(), atomic::Ordering::Relaxed);
        T::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
    counted.load(atomic::Ordering::Relaxed)
}
