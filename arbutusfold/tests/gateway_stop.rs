//! Requests around the end of a node that stops.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{core, stop};
use gateway_script::{answer, call, silent, start_node, start_runners};
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

/// Begins the stop of a node; callers may not know of it for `announced`, and it takes
/// `longest` in all.
fn begin_stop(
    core: &core::GatewayCore,
    announced: std_time::Duration,
    longest: std_time::Duration,
) {
    core.begin_stop();
    let now = time::Instant::now();
    core.stop_plan.send_replace(Some(stop::StopPlan {
        announced_at: now + announced,
        ends_at: now + longest,
    }));
}

/// Guards against requests that come late in a stop, are sent to a runner and cut at the
/// end of the process, among them some that may not be repeated.
#[tokio::test]
async fn request_that_cannot_end_before_the_node_is_refused_unrun() {
    // Plain routes have an objective of 50 ms, and a stream may take 2.5 s. The node answers
    // what is open 200 ms before its end.
    for (path, longest) in [("/once/x", 220), ("/p/x", 220), ("/s/x", 2_000)] {
        let runners = start_runners(1, vec![silent()]).await;
        let (core, node) = start_node(&runners).await;
        begin_stop(&core, std_time::Duration::ZERO, longest * MS);
        let began_at = time::Instant::now();
        let answer = call(node, path).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{path}: {answer}");
        let head = answer.to_ascii_lowercase();
        assert!(head.contains("retry-after: 0"), "{path}: {answer}");
        assert!(head.contains("connection: close"), "{path}: {answer}");
        assert!(began_at.elapsed() < 500 * MS, "{path}");
        let runs = runners.runs.load(atomic::Ordering::SeqCst);
        assert_eq!(runs, 0, "{path}");
    }
}

/// A stop refuses no request that it can finish, nor one of a caller that cannot know of
/// it yet.
#[tokio::test]
async fn request_that_can_end_before_the_node_is_served() {
    for (announced, longest) in [(0, 4_000), (0, 1_000), (1_000, 2_000)] {
        let runners = start_runners(1, vec![vec![(50, answer(200, "sound"))]]).await;
        let (core, node) = start_node(&runners).await;
        begin_stop(&core, announced * MS, longest * MS);
        let answer = call(node, "/once/x").await;
        assert!(answer.ends_with("sound"), "{longest}: {answer}");
    }
}

/// Guards against requests that end with their connection when the process ends, without
/// an answer.
#[tokio::test]
async fn request_that_is_open_at_the_end_of_a_stop_gets_an_answer() {
    for path in ["/once/x", "/p/x", "/s/x"] {
        let runners = start_runners(1, vec![silent()]).await;
        let (core, node) = start_node(&runners).await;
        let open = tokio::spawn(async move { call(node, path).await });
        time::sleep(200 * MS).await;
        let longest = 800 * MS;
        begin_stop(&core, 500 * MS, longest);
        let answer = time::timeout(longest, open).await.unwrap().unwrap();
        assert!(answer.starts_with("HTTP/1.1 502"), "{path}: {answer}");
    }
}
