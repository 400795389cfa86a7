//! Answers of runners that stop at any point, and what their callers take for whole.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use gateway_script::{answer, call, chunk, events, start_node, start_runners};

/// Asserts that no caller takes the answer for a complete success.
fn assert_incomplete(name: &str, answer: &str) {
    let is_success = answer.starts_with("HTTP/1.1 200");
    let is_whole = answer.contains("content-length") || answer.ends_with("0\r\n\r\n");
    assert!(!is_success || !is_whole, "{name}: {answer}");
}

/// Guards against a success with an empty or short body that looks whole, from a runner
/// that stopped in the middle of its answer's head or body.
#[tokio::test]
async fn answer_that_stops_at_any_byte_does_not_look_whole() {
    let plain = answer(200, "sound");
    let stream = format!(
        "HTTP/1.1 200 X\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk(&events(1..=2))
    );
    for (path, whole) in [("/once/x", &plain), ("/p/x", &plain), ("/s/x", &stream)] {
        for end in 0..whole.len() {
            let runners = start_runners(1, vec![vec![(0, whole[..end].to_owned())]]).await;
            let (_core, node) = start_node(&runners).await;
            let answer = call(node, path).await;
            assert_incomplete(&format!("{path} {:?}", &whole[..end]), &answer);
        }
    }
}

/// A sound answer is whole in each way that states its end.
#[tokio::test]
async fn answer_that_states_its_end_is_whole() {
    let chunked = format!(
        "HTTP/1.1 200 X\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        chunk("sound")
    );
    let empty = "HTTP/1.1 204 X\r\nResponse-Stamp: s\r\n\r\n".to_owned();
    for (whole, status) in [(answer(200, "sound"), 200), (chunked, 200), (empty, 204)] {
        let runners = start_runners(1, vec![vec![(0, whole)]]).await;
        let (_core, node) = start_node(&runners).await;
        let answer = call(node, "/once/x").await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
    }
}
