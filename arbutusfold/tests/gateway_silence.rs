//! Runs that fall silent at a node, and what the node does beside them.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{core, forward, mirror};
use arbutusfold::serve;
use arbutusfold_platform::store;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time;

/// Routes whose attempts count as silent after 150 ms without a response head, and
/// after 100 ms without an event.
const DOCUMENT: &str = r#"{"version":1,"routes":[
    {"name":"plain","hostname":"h","prefix":"/p/","type":"idempotent","timeoutMs":2500,
    "goalMs":50,"maxAttempts":2,"public":true,"service":"s"},
    {"name":"stream","hostname":"h","prefix":"/s/","type":"streaming","resumable":true,
    "timeoutMs":2500,"goalMs":50,"gapAimMs":50,"maxAttempts":2,"public":true,"service":"s"},
    {"name":"three","hostname":"h","prefix":"/three/","type":"streaming","resumable":true,
    "timeoutMs":2500,"goalMs":50,"gapAimMs":50,"maxAttempts":3,"public":true,"service":"s"}],
    "services":[{"name":"s","healthPath":"/health","maxConns":10,"protocol":"h1","tls":false}]}"#;

/// Head of a stream, whose body ends with its connection.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n";

/// Parts of the answer to one run, each sent after a pause in milliseconds. The
/// connection closes after the last one.
type Script = Vec<(u64, String)>;

/// Runner whose answers are scripted.
struct TestRunners {
    addresses: Vec<net::SocketAddr>,
    /// Number of runs that began.
    runs: sync::Arc<atomic::AtomicUsize>,
    /// Number of runs whose connection the node closed before their end.
    left: sync::Arc<atomic::AtomicUsize>,
}

/// Starts runners; the run that begins as number `n` at any of them is answered by
/// `scripts[n]`.
async fn start_runners(count: usize, scripts: Vec<Script>) -> TestRunners {
    let scripts = sync::Arc::new(scripts);
    let runs = sync::Arc::new(atomic::AtomicUsize::new(0));
    let left = sync::Arc::new(atomic::AtomicUsize::new(0));
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let scripts = sync::Arc::clone(&scripts);
        let counts = (sync::Arc::clone(&runs), sync::Arc::clone(&left));
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (scripts, (runs, left)) = (sync::Arc::clone(&scripts), counts.clone());
                tokio::spawn(async move { play(socket, &scripts, &runs, &left).await });
            }
        });
    }
    TestRunners {
        addresses,
        runs,
        left,
    }
}

async fn play(
    mut socket: tokio::net::TcpStream,
    scripts: &[Script],
    runs: &atomic::AtomicUsize,
    left: &atomic::AtomicUsize,
) -> Option<()> {
    let head = read_head(&mut socket).await?;
    if head.starts_with("GET /v1/report") {
        let answer = answer(404, "no report");
        return socket.write_all(answer.as_bytes()).await.ok();
    }
    let script = scripts.get(runs.fetch_add(1, atomic::Ordering::SeqCst))?;
    for (pause_ms, part) in script {
        tokio::select! {
            () = time::sleep(std_time::Duration::from_millis(*pause_ms)) => {}
            _ = socket.read_u8() => {
                left.fetch_add(1, atomic::Ordering::SeqCst);
                return None;
            }
        }
        socket.write_all(part.as_bytes()).await.ok()?;
    }
    Some(())
}

/// Reads until the empty line after a head.
async fn read_head(socket: &mut tokio::net::TcpStream) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        head.push(char::from(socket.read_u8().await.ok()?));
    }
    Some(head)
}

/// Returns a complete answer.
fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nResponse-Stamp: s\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns the events of a stream with these numbers.
fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers
        .map(|number| format!("id: {number}\ndata: x\n\n"))
        .collect()
}

/// Starts a node that knows these runners.
async fn start_node(runners: &TestRunners) -> (sync::Arc<core::GatewayCore>, net::SocketAddr) {
    let core = gateway_network::core_of(&gateway_network::record(1));
    let row = |key: &str, value: String| mirror::MirrorRow {
        key: key.to_owned(),
        version: 1,
        value: Some(Bytes::from(value)),
    };
    let key = store::WatchedTable::DOCUMENT_KEY;
    core.merge(
        store::WatchedTable::Operator,
        vec![row(key, DOCUMENT.to_owned())],
    );
    let entry = |(index, address): (usize, &net::SocketAddr)| {
        let value = format!(
            r#"{{"service":"s","address":"{address}","zone":"d-1","slots":4,"state":"ready",
            "born":1,"models":[]}}"#
        );
        row(&format!("i-{index}"), value)
    };
    let rows = runners.addresses.iter().enumerate().map(entry).collect();
    core.merge(store::WatchedTable::Runners, rows);
    core.suspects_known.send_replace(true);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = sync::Arc::clone(&core);
    tokio::spawn(async move {
        let (_closing, closed) = watch::channel(false);
        let limits = serve::ServeLimits::default();
        let answer = move |request| forward::handle(sync::Arc::clone(&handler), request);
        serve::serve(listener, limits, closed, answer).await;
    });
    (core, address)
}

/// Lets the budget of the node hold some retries.
fn grant_retries(core: &core::GatewayCore) {
    let now = time::Instant::now();
    let mut budget = core.budget.lock().unwrap();
    (0..1_000).for_each(|_| budget.note_request("s", now));
}

/// Returns how many retries the budget of the node holds, and takes them.
fn take_retries(core: &core::GatewayCore) -> usize {
    let mut budget = core.budget.lock().unwrap();
    let taken = (0..1_000).take_while(|_| budget.take("s", time::Instant::now()));
    taken.count()
}

/// Sends a request with the id `request-1`; returns the complete answer as text.
async fn call(node: net::SocketAddr, path: &str) -> String {
    let mut socket = tokio::net::TcpStream::connect(node).await.unwrap();
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: request-1\r\nConnection: close\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = socket.read_to_end(&mut bytes);
    // A connection that breaks leaves an incomplete answer, which the test shows.
    let _ = time::timeout(std_time::Duration::from_secs(5), read)
        .await
        .unwrap();
    String::from_utf8(bytes).unwrap()
}

fn script(parts: &[(u64, String)]) -> Script {
    parts.to_vec()
}

/// A run without any answer.
fn silent() -> Script {
    script(&[(10_000, String::new())])
}

/// Asserts that a stream came to its caller complete, in order and once.
fn assert_whole(answer: &str, last: u64) {
    let lines = answer.lines();
    let numbers: Vec<u64> = lines
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    assert_eq!(numbers, (1..=last).collect::<Vec<_>>(), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
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
