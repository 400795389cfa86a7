//! Runs that fall silent at a node, and what the node does beside them.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::core;
use gateway_script::{
    STREAM_HEAD, answer, assert_whole, call, events, grant_retries, script, silent, start_node,
    start_runners,
};
use tokio::time;

/// Returns how many retries the budget of the node holds, and takes them.
fn take_retries(core: &core::GatewayCore) -> usize {
    let mut budget = core.budget.lock().unwrap();
    let taken = (0..1_000).take_while(|_| budget.take("s", time::Instant::now()));
    taken.count()
}

/// A held run that ends with a failure leaves the attempt beside it alone, which may
/// be the last one that the route allows.
#[tokio::test]
async fn failure_of_a_held_run_ends_no_other_attempt() {
    let failing = script(&[(300, answer(500, "failed"))]);
    let sound = script(&[(600, answer(200, "sound"))]);
    let runners = start_runners(2, vec![failing, sound]).await;
    let (core, node) = start_node(&runners).await;
    grant_retries(&core);
    let answer = call(node, "/p/x").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(runners.runs.load(atomic::Ordering::SeqCst), 2);
}

/// The failure that a held run ended with reaches the caller if nothing better does.
#[tokio::test]
async fn failure_of_a_held_run_is_relayed_if_no_other_run_answers() {
    for path in ["/p/x", "/s/x"] {
        let failing = script(&[(400, answer(500, "failed"))]);
        let runners = start_runners(1, vec![failing]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, path).await;
        assert!(answer.starts_with("HTTP/1.1 500"), "{path} {answer}");
    }
}

/// A silent run that ends with a final answer which is no stream has answered the
/// request.
#[tokio::test]
async fn final_answer_of_a_held_run_of_a_stream_is_relayed() {
    let refusing = script(&[(400, answer(400, "no such session"))]);
    let runners = start_runners(2, vec![refusing, silent()]).await;
    let (core, node) = start_node(&runners).await;
    grant_retries(&core);
    let answer = call(node, "/s/x").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

/// An answer to the resumption of a stream that is no stream ends nothing while the
/// silent run may go on.
#[tokio::test]
async fn stream_outlasts_a_resumption_that_is_answered_with_a_failure() {
    for status in [400, 500] {
        let head = (0, format!("{STREAM_HEAD}{}", events(1..=2)));
        let paused = script(&[head, (900, events(3..=4))]);
        let failing = script(&[(0, answer(status, "failed"))]);
        let runners = start_runners(2, vec![paused, failing]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, "/s/x").await;
        assert_eq!(runners.runs.load(atomic::Ordering::SeqCst), 2);
        assert_whole(&answer, 4);
    }
}

/// A retry that finds no runner is not taken from the budget, which others need.
#[tokio::test]
async fn retries_that_find_no_runner_take_nothing_from_the_budget() {
    for path in ["/p/x", "/s/x"] {
        let head = (0, format!("{STREAM_HEAD}{}", events(1..=2)));
        let paused = match path {
            "/s/x" => script(&[head, (1_200, events(3..=4))]),
            _ => script(&[(1_200, answer(200, "late"))]),
        };
        let runners = start_runners(1, vec![paused]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, path).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{path} {answer}");
        let (untouched, _) = start_node(&runners).await;
        grant_retries(&untouched);
        let whole = take_retries(&untouched);
        assert!(whole > 10, "{whole}");
        assert_eq!(take_retries(&core), whole, "{path}");
    }
}

/// A request whose run is silent for good gets another one as soon as the budget
/// allows it.
#[tokio::test]
async fn silent_run_gets_a_companion_once_the_budget_allows_it() {
    for path in ["/p/x", "/s/x"] {
        let stream = format!("{STREAM_HEAD}{}", events(1..=2));
        let sound = match path {
            "/s/x" => script(&[(0, stream)]),
            _ => script(&[(0, answer(200, "sound"))]),
        };
        let runners = start_runners(2, vec![silent(), sound]).await;
        let (core, node) = start_node(&runners).await;
        let call = tokio::spawn(async move { call(node, path).await });
        time::sleep(std_time::Duration::from_millis(500)).await;
        grant_retries(&core);
        let answer = call.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{path} {answer}");
    }
}

/// A stream that waits without a permit says so once.
#[tokio::test]
async fn wait_without_a_permit_is_logged_once() {
    let head = (0, format!("{STREAM_HEAD}{}", events(1..=2)));
    let paused = script(&[head, (1_500, events(3..=4))]);
    let runners = start_runners(2, vec![paused]).await;
    let (core, node) = start_node(&runners).await;
    assert_whole(&call(node, "/s/x").await, 4);
    let records = core.recorder.about("request-1");
    let refused = records
        .iter()
        .filter(|record| record.name == "RetryRefused");
    assert_eq!(refused.count(), 1, "{records:#?}");
}

/// A stream whose run falls silent several times comes in order and once, also while
/// another run has the same events.
#[tokio::test]
async fn stream_outlasts_several_silences_in_a_row() {
    let part = |number| (350, events(number..=number));
    let head = (0, format!("{STREAM_HEAD}{}", events(1..=1)));
    let paused = script(&[head, part(2), part(3), part(4), part(5)]);
    let beside = script(&[(400, format!("{STREAM_HEAD}{}", events(2..=5)))]);
    for other in [silent(), beside] {
        let runners = start_runners(2, vec![paused.clone(), other]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        assert_whole(&call(node, "/s/x").await, 5);
        assert_eq!(runners.runs.load(atomic::Ordering::SeqCst), 2);
    }
}

/// A request is not refused as if it had not run while a silent run of it may go on.
#[tokio::test]
async fn rejection_beside_a_held_run_is_no_refusal() {
    let late = script(&[(900, answer(200, "late"))]);
    let rejecting = script(&[(0, answer(421, "rejected"))]);
    let runners = start_runners(2, vec![late, rejecting]).await;
    let (core, node) = start_node(&runners).await;
    grant_retries(&core);
    let answer = call(node, "/p/x").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Requests whose runs are all silent end in time.
#[tokio::test]
async fn silent_runs_end_at_the_deadline() {
    for path in ["/p/x", "/s/x", "/three/x"] {
        let runners = start_runners(3, vec![silent(), silent(), silent()]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let started = time::Instant::now();
        let answer = call(node, path).await;
        let took = started.elapsed();
        assert!(answer.starts_with("HTTP/1.1 504"), "{path} {answer}");
        assert!(
            took < std_time::Duration::from_millis(2_900),
            "{path} {took:?}"
        );
    }
}

/// A runner whose run was given up for another one may resume the stream when that one
/// breaks off: a silence is no failure.
#[tokio::test]
async fn runner_that_was_silent_resumes_a_stream_that_breaks_off_elsewhere() {
    let head = (0, format!("{STREAM_HEAD}{}", events(1..=2)));
    let paused = script(&[head, (10_000, String::new())]);
    let broken = script(&[(0, format!("{STREAM_HEAD}{}id: 4", events(3..=3)))]);
    let resumed = script(&[(0, format!("{STREAM_HEAD}{}", events(4..=5)))]);
    let runners = start_runners(2, vec![paused, broken, resumed]).await;
    let (core, node) = start_node(&runners).await;
    grant_retries(&core);
    let answer = call(node, "/three/x").await;
    assert_whole(&answer, 5);
}

/// All runs of a request end soon after its caller has left, the silent ones too.
#[tokio::test]
async fn silent_runs_end_when_their_caller_leaves() {
    for path in ["/p/x", "/s/x", "/three/x"] {
        let head = (0, format!("{STREAM_HEAD}{}", events(1..=2)));
        let first = match path {
            "/three/x" => script(&[head, (10_000, String::new())]),
            _ => silent(),
        };
        let runners = start_runners(3, vec![first, silent(), silent()]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let caller = tokio::spawn(async move { call(node, path).await });
        time::sleep(std_time::Duration::from_millis(500)).await;
        let runs = runners.runs.load(atomic::Ordering::SeqCst);
        assert!(runs >= 2, "{path} {runs}");
        caller.abort();
        time::sleep(std_time::Duration::from_millis(300)).await;
        let left = runners.left.load(atomic::Ordering::SeqCst);
        assert_eq!(left, runs, "{path}");
    }
}
