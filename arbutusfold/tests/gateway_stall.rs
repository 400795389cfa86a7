//! When a silent stream switches to other runners.

use std::time;

use arbutusfold::gateway::stall;

const POLICY: stall::SilencePolicy = stall::SilencePolicy {
    expected: time::Duration::from_millis(200),
    patience: time::Duration::from_secs(2),
};

fn ms(milliseconds: u64) -> time::Duration {
    time::Duration::from_millis(milliseconds)
}

#[test]
fn short_silence_is_waited_for() {
    let stages = [Some(ms(300)), None];
    assert_eq!(
        stall::check(ms(300), &stages, POLICY),
        stall::StallVerdict::Wait
    );
}

#[test]
fn unresponsive_runner_is_found_by_the_silence_of_all_its_streams() {
    let stages = [Some(ms(20)), Some(ms(480)), Some(ms(10))];
    let verdict = stall::check(ms(500), &stages, POLICY);
    assert_eq!(verdict, stall::StallVerdict::Switch(vec![1]));
}

#[test]
fn silence_of_all_runners_is_waited_for_at_first() {
    let stages = [Some(ms(500)), Some(ms(500))];
    assert_eq!(
        stall::check(ms(500), &stages, POLICY),
        stall::StallVerdict::Wait
    );
    let verdict = stall::check(ms(1_300), &stages, POLICY);
    assert_eq!(verdict, stall::StallVerdict::Switch(Vec::new()));
}

#[test]
fn stream_switches_before_its_caller_gives_up() {
    let stages = [Some(ms(5)), Some(ms(5))];
    let verdict = stall::check(ms(1_300), &stages, POLICY);
    assert_eq!(verdict, stall::StallVerdict::Switch(Vec::new()));
    assert!(ms(1_300) < POLICY.patience);
}
