//! Rejections of runners, and what they prove of the request that was sent.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::sync::atomic;

use gateway_script::{answer, call, grant_retries, rejection, start_node, start_runners};

/// Header lines of rejections that do not belong to the request `request-1`.
const FOREIGN_LINES: [&str; 2] = ["", "Request-Id: request-0\r\n"];

const STATUSES: [u16; 4] = [503, 429, 421, 400];

/// Guards against a request that is said not to have run, or is sent to a second
/// runner, though the first one runs it: that runner writes an earlier rejection
/// once more before its answer.
#[tokio::test]
async fn earlier_rejection_does_not_prove_that_a_request_has_not_run() {
    for status in STATUSES {
        for lines in FOREIGN_LINES {
            let repeated = vec![(0, rejection(status, lines)), (80, answer(200, "ran"))];
            let sound = vec![(0, answer(200, "second"))];
            let runners = start_runners(2, vec![repeated, sound]).await;
            let (core, node) = start_node(&runners).await;
            grant_retries(&core);
            let answer = call(node, "/once/x").await;
            assert!(
                answer.starts_with("HTTP/1.1 502"),
                "{status} {lines:?}: {answer}"
            );
            let runs = runners.runs.load(atomic::Ordering::SeqCst);
            assert_eq!(runs, 1, "{status} {lines:?}");
        }
    }
}

/// A rejection that names the request proves that it has not run, so another runner
/// serves it.
#[tokio::test]
async fn rejection_that_names_the_request_leads_to_another_runner() {
    for status in STATUSES {
        let rejected = vec![(0, rejection(status, "Request-Id: request-1\r\n"))];
        let sound = vec![(0, answer(200, "sound"))];
        let runners = start_runners(2, vec![rejected, sound]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, "/once/x").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{status}: {answer}");
    }
}

/// Guards against a read that ends with an earlier rejection: it may run again.
#[tokio::test]
async fn earlier_rejection_sends_a_read_to_another_runner() {
    for lines in FOREIGN_LINES {
        let repeated = vec![(0, rejection(503, lines)), (80, answer(200, "ran"))];
        let sound = vec![(0, answer(200, "sound"))];
        let runners = start_runners(2, vec![repeated, sound]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, "/p/x").await;
        assert!(answer.ends_with("sound"), "{lines:?}: {answer}");
    }
}
