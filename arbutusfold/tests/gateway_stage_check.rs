//! Which stages of a stream are replaced before the stream is late.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::gateway::stage_check;
use tokio::time;

const OBJECTIVE: std_time::Duration = ms(250);
const DRAIN: std_time::Duration = ms(3_000);

const fn ms(milliseconds: u64) -> std_time::Duration {
    std_time::Duration::from_millis(milliseconds)
}

/// Returns a stage that made progress at a time.
fn stage(progressed_at: time::Instant) -> stage_check::StageState {
    stage_check::StageState {
        progressed_at: Some(progressed_at),
        ..stage_check::StageState::default()
    }
}

/// Returns a stage that was checked and has made no progress since `began_at`.
fn checked(began_at: time::Instant, answer: stage_check::StageAnswer) -> stage_check::StageState {
    stage_check::StageState {
        probe: Some(stage_check::StageProbe {
            answer,
            began_at,
            ended_at: began_at + ms(40),
        }),
        ..stage(began_at - ms(125))
    }
}

fn find_failed(stages: &[stage_check::StageState], reaches_other: bool) -> Vec<usize> {
    let now = time::Instant::now();
    stage_check::find_failed(stages, reaches_other, OBJECTIVE, now)
}

/// Load: a tenth of the runners crash under many streams. Each stream of the host is due
/// at half of its objective, and only the stages that no other stream progresses through
/// are connected to.
#[tokio::test(start_paused = true)]
async fn crash_of_a_tenth_of_the_runners_is_found_at_half_of_the_objective() {
    let began_at = time::Instant::now();
    time::advance(ms(125)).await;
    let now = time::Instant::now();
    let stages = [stage(now), stage(began_at), stage(now - ms(20))];
    let due_at = stage_check::due_at(began_at, None, &stages, OBJECTIVE);
    assert_eq!(due_at, began_at + ms(125));
    let unproven = stage_check::unproven(&stages, now - ms(130), OBJECTIVE, now);
    assert_eq!(unproven, [1]);
    let refused = stage_check::StageAnswer::Refused;
    let stages = [stage(now), checked(now, refused), stage(now)];
    assert_eq!(find_failed(&stages, true), [1]);
    // Two runners of one path died together.
    let accepted = stage_check::StageAnswer::Accepted;
    let stages = [
        checked(now, refused),
        checked(now, accepted),
        checked(now, refused),
    ];
    assert!(!stage_check::lacks_contrast(&stages));
    assert_eq!(find_failed(&stages, false), [0, 2]);
}

/// Load: a runner that drops packets. It refuses nothing, so it is told by the contrast
/// to the stages that answer.
#[tokio::test(start_paused = true)]
async fn dark_runner_is_told_by_the_stages_that_answer() {
    let now = time::Instant::now() + ms(1_000);
    let (accepted, silent) = (
        stage_check::StageAnswer::Accepted,
        stage_check::StageAnswer::Silent,
    );
    let stages = [checked(now, accepted), checked(now, silent)];
    assert_eq!(find_failed(&stages, false), [1]);
    // An answer from before the check says nothing about the time of the check.
    let mut early = checked(now, accepted);
    early.probe = early.probe.map(|probe| stage_check::StageProbe {
        ended_at: now - ms(1),
        ..probe
    });
    let stages = [early, checked(now, silent)];
    assert!(stage_check::lacks_contrast(&stages));
    assert_eq!(find_failed(&stages, false), [0_usize; 0]);
    // A stream that made progress through it in the meantime clears it.
    let mut cleared = checked(now, silent);
    cleared.progressed_at = Some(now + ms(10));
    assert_eq!(find_failed(&[stages[0], cleared], true), [0_usize; 0]);
}

/// Load: all streams of a host stall because the host itself is cut off. Nothing is
/// replaced, whether connections hang or are refused.
#[tokio::test(start_paused = true)]
async fn cut_off_host_replaces_nothing() {
    let now = time::Instant::now() + ms(1_000);
    for answer in [
        stage_check::StageAnswer::Silent,
        stage_check::StageAnswer::Refused,
    ] {
        let stages = [checked(now, answer); 8];
        assert!(stage_check::lacks_contrast(&stages));
        assert_eq!(find_failed(&stages, false), [0_usize; 0]);
    }
}

/// Load: a runner that is slow again and again, and streams that wait for their turn. A
/// stream is checked at most once in a while, and a runner that serves others of the
/// host, or has just accepted a connection, is not connected to.
#[tokio::test(start_paused = true)]
async fn slow_runner_is_rarely_checked_and_never_replaced() {
    let now = time::Instant::now() + ms(10_000);
    let last_event = now - ms(200);
    let busy = [stage(now), stage(now - ms(30))];
    let due_at = stage_check::due_at(last_event, None, &busy, OBJECTIVE);
    assert!(due_at > now, "others make progress");
    let slow = [stage(last_event), stage(last_event)];
    let due_at = |checked_at| stage_check::due_at(last_event, checked_at, &slow, OBJECTIVE);
    assert_eq!(due_at(None), last_event + ms(125));
    assert!(due_at(Some(now)) > now + ms(50));
    let accepting = stage_check::StageState {
        accepted_at: Some(now - ms(70)),
        ..slow[0]
    };
    // One that accepted a connection before the silence may have died since.
    let stale = stage_check::StageState {
        accepted_at: Some(now - ms(210)),
        ..slow[0]
    };
    let unproven = stage_check::unproven(&[accepting, stale], last_event, OBJECTIVE, now);
    assert_eq!(unproven, [1]);
    let due_at = stage_check::due_at(last_event, Some(now - ms(70)), &[accepting; 2], OBJECTIVE);
    assert_eq!(due_at, now - ms(70) + stage_check::ACCEPT_TTL);
    let accepted = checked(now, stage_check::StageAnswer::Accepted);
    assert_eq!(find_failed(&[accepted; 2], true), [0_usize; 0]);
}

/// Load: a runner whose death another host, or the store, has told of. No connection is
/// needed, unless it still makes progress.
#[tokio::test(start_paused = true)]
async fn runner_that_is_known_to_be_gone_is_replaced_without_a_connection() {
    time::advance(ms(1_000)).await;
    let now = time::Instant::now();
    let gone = stage_check::StageState {
        is_gone: true,
        accepted_at: Some(now - ms(200)),
        ..stage(now - ms(130))
    };
    let stages = [stage(now), gone];
    let due_at = stage_check::due_at(now - ms(130), None, &stages, OBJECTIVE);
    assert_eq!(due_at, now - ms(5));
    assert_eq!(
        stage_check::unproven(&stages, now - ms(130), OBJECTIVE, now),
        [0_usize; 0]
    );
    assert_eq!(find_failed(&stages, false), [1]);
    let alive = stage_check::StageState {
        progressed_at: Some(now - ms(20)),
        ..gone
    };
    assert_eq!(find_failed(&[stage(now), alive], false), [0_usize; 0]);
}

/// Load: a runner leaves under short and long streams. The short ones end on it; the
/// long ones move in the time that it still serves, and not all at once.
#[tokio::test(start_paused = true)]
async fn long_streams_move_off_a_leaving_runner_and_short_ones_end_there() {
    // An event of three tokens every 30 ms.
    let stream = |events: u64, expected_tokens: f64| stage_check::StreamProgress {
        expected_tokens,
        token_limit: 1_000.0,
        tokens: 3 * events,
        events,
        elapsed: ms(30 * (events - 1)),
    };
    let short = stream(50, 195.0);
    assert_eq!(short.time_left(), Some(ms(450)));
    let long = stream(50, 450.0);
    assert_eq!(long.time_left(), Some(ms(3_000)));
    let leaving_for = ms(2_200);
    assert!(!stage_check::outlives(&short, leaving_for, DRAIN));
    assert!(stage_check::outlives(&long, leaving_for, DRAIN));
    // One that is longer than expected goes on, up to its limit.
    let over = stream(100, 180.0);
    assert_eq!(over.time_left(), Some(ms(750)));
    let bounded = stage_check::StreamProgress {
        token_limit: 300.0,
        ..over
    };
    assert_eq!(bounded.time_left(), Some(ms(0)));
    // Without a pace nothing is known.
    assert_eq!(stream(1, 450.0).time_left(), None);
    let since = time::Instant::now();
    let first = stage_check::leave_check_at(since, DRAIN, 0.0);
    let last = stage_check::leave_check_at(since, DRAIN, 1.0);
    assert_eq!(first, since + ms(2_100));
    assert!(last <= since + ms(2_400) && last > first);
}
