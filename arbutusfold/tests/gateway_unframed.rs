//! Answers of runners in each form and with each end of their connection.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::net;
use std::sync;
use std::sync::atomic;

use arbutusfold::gateway::core;
use arbutusfold_platform::head;
use gateway_script::{LAST_CHUNK, TestRunners, answer, call, chunk, events, read_head, start_node};
use tokio::io::AsyncWriteExt;

const FRAMINGS: [head::BodyFraming; 3] = [
    head::BodyFraming::Length,
    head::BodyFraming::Chunks,
    head::BodyFraming::Connection,
];

/// Routes of each kind, and whether they answer streams.
const ROUTES: [(&str, bool); 3] = [("/p/x", false), ("/once/x", false), ("/s/x", true)];

/// How a runner ends the connection of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunnerEnd {
    /// It closes it.
    Closed,
    /// It resets it.
    Reset,
}

/// Returns the head and the body of an answer as they are on the wire.
fn framed(status: u16, framing: head::BodyFraming, body: &str) -> (String, String) {
    let head = format!("HTTP/1.1 {status} X\r\nResponse-Stamp: s\r\n");
    match framing {
        head::BodyFraming::Length => {
            let length = body.len();
            let head = format!("{head}Content-Length: {length}\r\n\r\n");
            (head, body.to_owned())
        }
        head::BodyFraming::Chunks => (
            format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            format!("{}{LAST_CHUNK}", chunk(body)),
        ),
        head::BodyFraming::Connection => (format!("{head}\r\n"), body.to_owned()),
    }
}

/// Starts runners that answer each request with `bytes` and then end the connection.
async fn start_ending(count: usize, bytes: String, end: RunnerEnd) -> TestRunners {
    let bytes = sync::Arc::new(bytes);
    gateway_script::start_playing(count, move |mut socket, counts| {
        let bytes = sync::Arc::clone(&bytes);
        async move {
            let head = read_head(&mut socket).await?;
            if head.starts_with("GET /v1/report") {
                let report = answer(404, "no report");
                return socket.write_all(report.as_bytes()).await.ok();
            }
            counts.runs.fetch_add(1, atomic::Ordering::SeqCst);
            socket.write_all(bytes.as_bytes()).await.ok()?;
            if end == RunnerEnd::Reset {
                socket.set_zero_linger().ok()?;
            }
            Some(())
        }
    })
    .await
}

fn body_of(is_stream: bool) -> String {
    match is_stream {
        true => events(1..=3),
        false => "sound".to_owned(),
    }
}

/// Returns the body of a complete answer, `None` if it does not look whole.
fn whole_body(answer: &str) -> Option<String> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let length = fields.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    if let Some((_, length)) = length {
        return (body.len() == length.parse::<usize>().ok()?).then(|| body.to_owned());
    }
    let mut rest = body;
    let mut whole = String::new();
    loop {
        let (length, after) = rest.split_once("\r\n")?;
        let length = usize::from_str_radix(length, 16).ok()?;
        if length == 0 {
            return Some(whole);
        }
        whole.push_str(after.get(..length)?);
        rest = after.get(length + 2..)?;
    }
}

/// Asserts that sound answers of the runners count for nothing against them.
fn assert_unblamed(core: &core::GatewayCore, name: &str) {
    let now = tokio::time::Instant::now();
    let fleet = core.fleet.lock().unwrap();
    assert!(!fleet.runners().is_empty(), "{name}");
    for runner in fleet.runners() {
        assert!(!runner.is_avoided(now), "{name}: {}", runner.record.id);
        assert!(runner.failure_rate == 0.0, "{name}: {}", runner.record.id);
    }
    assert_eq!(core.metrics.retries.get(), 0, "{name}");
}

/// Calls a node again and again, and asserts that each answer is whole.
async fn call_often(node: net::SocketAddr, path: &str, body: &str) {
    for _ in 0..3 {
        let answer = call(node, path).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
        assert_eq!(whole_body(&answer).as_deref(), Some(body), "{path}");
    }
}

/// Guards against whole answers and streams of sound runners that end as broken since
/// only the end of their connection states the end of the body, and against runners that
/// are passed over and retries that are spent because of it.
#[tokio::test]
async fn answer_that_ends_with_its_connection_is_whole_and_blames_nobody() {
    for framing in FRAMINGS {
        for (path, is_stream) in ROUTES {
            let body = body_of(is_stream);
            let (head, bytes) = framed(200, framing, &body);
            let bytes = format!("{head}{bytes}");
            let runners = start_ending(2, bytes, RunnerEnd::Closed).await;
            let (core, node) = start_node(&runners).await;
            call_often(node, path, &body).await;
            let runs = runners.runs.load(atomic::Ordering::SeqCst);
            assert_eq!(runs, 3, "{path} {framing}");
            assert_unblamed(&core, &format!("{path} {framing}"));
        }
    }
}

/// Guards against failures and answers with other statuses that lose their bodies in the
/// same way.
#[tokio::test]
async fn failure_that_ends_with_its_connection_keeps_its_body() {
    for framing in FRAMINGS {
        for (path, status) in [("/once/x", 404), ("/once/x", 500), ("/s/x", 404)] {
            let (head, bytes) = framed(status, framing, "cause");
            let bytes = format!("{head}{bytes}");
            let runners = start_ending(1, bytes, RunnerEnd::Closed).await;
            let (_core, node) = start_node(&runners).await;
            let answer = call(node, path).await;
            let expected = format!("HTTP/1.1 {status}");
            assert!(answer.starts_with(&expected), "{framing} {path}: {answer}");
            let body = whole_body(&answer);
            assert_eq!(body.as_deref(), Some("cause"), "{framing} {path}");
        }
    }
}

/// Guards against an answer that looks whole though its connection was reset, at any
/// byte and in each form.
#[tokio::test]
async fn answer_whose_connection_is_reset_does_not_look_whole() {
    for framing in FRAMINGS {
        for (path, is_stream) in ROUTES {
            let (head, bytes) = framed(200, framing, &body_of(is_stream));
            let whole = format!("{head}{bytes}");
            // A stated end is the end, whatever becomes of the connection after it.
            let cuts = match framing {
                head::BodyFraming::Connection => whole.len() + 1,
                head::BodyFraming::Length | head::BodyFraming::Chunks => whole.len(),
            };
            for cut in 0..cuts {
                let bytes = whole[..cut].to_owned();
                let runners = start_ending(1, bytes, RunnerEnd::Reset).await;
                let (_core, node) = start_node(&runners).await;
                let answer = call(node, path).await;
                let is_whole = answer.starts_with("HTTP/1.1 200") && whole_body(&answer).is_some();
                assert!(!is_whole, "{path} {framing} {cut}: {answer}");
            }
        }
    }
}

/// Starts a runner whose process ends with its first answer, `bytes`: nothing listens at
/// its address any more when its connection is closed.
async fn start_dying(bytes: String) -> (net::SocketAddr, sync::Arc<atomic::AtomicUsize>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let runs = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counted = sync::Arc::clone(&runs);
    tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            // Connections that only show that the runner exists are closed unused.
            if read_head(&mut socket).await.is_none() {
                continue;
            }
            counted.fetch_add(1, atomic::Ordering::SeqCst);
            socket.write_all(bytes.as_bytes()).await.unwrap();
            drop(listener);
            return;
        }
    });
    (address, runs)
}

/// Guards against an answer or a stream that looks whole though the process of its runner
/// ended in the middle of it, which closes its connections in order as well. Requests that
/// may be repeated go on elsewhere.
#[tokio::test]
async fn answer_of_a_runner_that_ended_with_it_does_not_look_whole() {
    for (path, is_stream) in ROUTES {
        let whole = body_of(is_stream);
        let part = match is_stream {
            true => events(1..=2),
            false => "sou".to_owned(),
        };
        let (head, part) = framed(200, head::BodyFraming::Connection, &part);
        for has_other in [false, true] {
            let (address, runs) = start_dying(format!("{head}{part}")).await;
            let (other_head, other) = framed(200, head::BodyFraming::Connection, &whole);
            let others = usize::from(has_other);
            let other = format!("{other_head}{other}");
            let mut runners = start_ending(others, other, RunnerEnd::Closed).await;
            runners.addresses.insert(0, address);
            let (core, node) = start_node(&runners).await;
            gateway_script::grant_retries(&core);
            // The first request may go to either runner.
            let mut answers = Vec::new();
            while runs.load(atomic::Ordering::SeqCst) == 0 {
                answers.push(call(node, path).await);
            }
            let name = format!("{path} other={has_other}");
            let last = answers.pop().unwrap();
            let found = whole_body(&last).filter(|_| last.starts_with("HTTP/1.1 200"));
            let is_repeated = has_other && path != "/once/x";
            let expected = is_repeated.then_some(whole.as_str());
            assert_eq!(found.as_deref(), expected, "{name}: {last}");
            for answer in answers {
                assert!(answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
                assert_eq!(
                    whole_body(&answer).as_deref(),
                    Some(whole.as_str()),
                    "{name}"
                );
            }
        }
    }
}

/// Guards against an answer without a length that is changed, lost or cut on its way, at
/// any byte: its connection ends in order, so its caller gets what came. A stream that
/// stops in the middle of an event is no whole one.
#[tokio::test]
async fn answer_that_ends_with_its_connection_is_passed_on_to_the_byte() {
    for (path, is_stream) in ROUTES {
        let (head, body) = framed(200, head::BodyFraming::Connection, &body_of(is_stream));
        for cut in 0..=body.len() {
            let sent = &body[..cut];
            let runners = start_ending(1, format!("{head}{sent}"), RunnerEnd::Closed).await;
            let (_core, node) = start_node(&runners).await;
            let answer = call(node, path).await;
            let is_sound = !is_stream || sent.is_empty() || sent.ends_with("\n\n");
            let found = whole_body(&answer).filter(|_| answer.starts_with("HTTP/1.1 200"));
            let expected = is_sound.then(|| sent.to_owned());
            assert_eq!(found, expected, "{path} {cut}: {answer}");
            let runs = runners.runs.load(atomic::Ordering::SeqCst);
            assert_eq!(runs, 1, "{path} {cut}");
        }
    }
}

/// A transfer coding that is no chunking states no end, whatever the length says.
#[test]
fn framing_follows_the_last_transfer_coding() {
    let framing = |lines: &[(&str, &str)]| {
        let mut headers = http::HeaderMap::new();
        for (name, value) in lines {
            let name: http::HeaderName = name.parse().unwrap();
            headers.append(name, value.parse().unwrap());
        }
        head::body_framing(&headers)
    };
    let length = ("content-length", "5");
    assert_eq!(framing(&[]), head::BodyFraming::Connection);
    assert_eq!(framing(&[length]), head::BodyFraming::Length);
    for coding in ["chunked", "Chunked", "gzip, chunked"] {
        let coding = ("transfer-encoding", coding);
        assert_eq!(framing(&[coding]), head::BodyFraming::Chunks);
        assert_eq!(framing(&[coding, length]), head::BodyFraming::Chunks);
    }
    let gzip = ("transfer-encoding", "gzip");
    assert_eq!(framing(&[gzip, length]), head::BodyFraming::Connection);
    let chunked = ("transfer-encoding", "chunked");
    assert_eq!(framing(&[gzip, chunked]), head::BodyFraming::Chunks);
}
