//! Streams that break off and whose next run answers with an error.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::sync::atomic;

use gateway_script::{
    STREAM_HEAD, Script, answer, assert_whole, call, events, grant_retries, rejection, start_node,
    start_runners,
};

/// A run that sends events up to a number and ends in the middle of the next one.
fn broken(from: u64, to: u64) -> Script {
    let begun = format!("{STREAM_HEAD}{}id: {}\ndata", events(from..=to), to + 1);
    vec![(0, begun)]
}

/// Answers that continue no stream, each with its name.
fn errors() -> Vec<(&'static str, Script)> {
    let typed = "HTTP/1.1 500 X\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n\
        Content-Length: 16\r\n\r\ndata: an error\n\n";
    let ending = |head: &str, body: &str| vec![(0, format!("{head}{body}"))];
    let json = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Type: application/json\r\n\r\n";
    let named = rejection(503, "Request-Id: request-1\r\n");
    vec![
        ("plain error", vec![(0, answer(500, "an error"))]),
        ("rejection", vec![(0, named)]),
        ("error of the caller", vec![(0, answer(404, "an error"))]),
        (
            "error with the type of a stream",
            vec![(0, typed.to_owned())],
        ),
        (
            "error that is no answer",
            vec![(0, "an error\r\n\r\n".to_owned())],
        ),
        ("text after a sound head", ending(STREAM_HEAD, "an error")),
        (
            "event without a number",
            ending(STREAM_HEAD, "data: an error\n\n"),
        ),
        (
            "event of another kind",
            ending(STREAM_HEAD, "event: error\ndata: an error\n\n"),
        ),
        (
            "answer of another type",
            ending(json, "{\"an\": \"error\"}\n\n"),
        ),
        (
            "head in the body",
            ending(STREAM_HEAD, "HTTP/1.1 500 X\r\nan: error\r\n\r\n"),
        ),
    ]
}

/// Asserts that a caller got these events and nothing else, and that its stream does
/// not look complete.
fn assert_cut(name: &str, answer: &str, last: u64) {
    let lines = answer.lines();
    let numbers: Vec<u64> = lines
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    assert_eq!(numbers, (1..=last).collect::<Vec<_>>(), "{name}: {answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{name}: {answer}");
    assert!(!answer.contains("error"), "{name}: {answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{name}: {answer}");
}

/// Guards against the text or the head of an error in the middle of a stream, and
/// against a stream that ends with it as if it were complete.
#[tokio::test]
async fn error_of_the_next_run_is_no_part_of_a_broken_stream() {
    for (name, error) in errors() {
        let runners = start_runners(2, vec![broken(1, 3), error]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, "/s/x").await;
        assert_eq!(runners.runs.load(atomic::Ordering::SeqCst), 2, "{name}");
        assert_cut(name, &answer, 3);
    }
}

/// Guards against the same where the stream was resumed once before.
#[tokio::test]
async fn error_of_the_third_run_is_no_part_of_a_broken_stream() {
    for (name, error) in errors() {
        let runners = start_runners(3, vec![broken(1, 3), broken(4, 6), error]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, "/three/x").await;
        assert_eq!(runners.runs.load(atomic::Ordering::SeqCst), 3, "{name}");
        assert_cut(name, &answer, 6);
    }
}

/// A run after the error continues the stream.
#[tokio::test]
async fn run_after_an_error_continues_a_broken_stream() {
    for (name, error) in errors() {
        let rest = vec![(0, format!("{STREAM_HEAD}{}", events(4..=6)))];
        let runners = start_runners(3, vec![broken(1, 3), error, rest]).await;
        let (core, node) = start_node(&runners).await;
        grant_retries(&core);
        let answer = call(node, "/three/x").await;
        assert!(!answer.contains("error"), "{name}: {answer}");
        assert_whole(&answer, 6);
    }
}

/// Comments, which servers send to keep a connection open, are no errors.
#[tokio::test]
async fn run_that_begins_with_a_comment_continues_a_broken_stream() {
    let rest = vec![(0, format!("{STREAM_HEAD}: open\n\n{}", events(4..=6)))];
    let runners = start_runners(2, vec![broken(1, 3), rest]).await;
    let (core, node) = start_node(&runners).await;
    grant_retries(&core);
    assert_whole(&call(node, "/s/x").await, 6);
}
