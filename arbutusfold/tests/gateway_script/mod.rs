//! Test fixture: a node in front of runners whose answers are scripted.

#![allow(dead_code, clippy::unwrap_used)]

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

use crate::gateway_network;

/// Routes whose attempts count as silent after 150 ms without a response head, and
/// after 100 ms without an event.
pub const DOCUMENT: &str = r#"{"version":1,"routes":[
    {"name":"plain","hostname":"h","prefix":"/p/","type":"idempotent","timeoutMs":2500,
    "goalMs":50,"maxAttempts":2,"public":true,"service":"s"},
    {"name":"once","hostname":"h","prefix":"/once/","type":"non_idempotent","timeoutMs":2500,
    "goalMs":50,"maxAttempts":2,"public":true,"service":"s"},
    {"name":"stream","hostname":"h","prefix":"/s/","type":"streaming","resumable":true,
    "timeoutMs":2500,"goalMs":50,"gapAimMs":50,"maxAttempts":2,"public":true,"service":"s"},
    {"name":"three","hostname":"h","prefix":"/three/","type":"streaming","resumable":true,
    "timeoutMs":2500,"goalMs":50,"gapAimMs":50,"maxAttempts":3,"public":true,"service":"s"}],
    "services":[{"name":"s","healthPath":"/health","maxConns":10,"protocol":"h1","tls":false}]}"#;

/// Head of a stream. What follows it in a script is sent in chunks, the last of which
/// comes at the end of the script.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";

/// End of a body in chunks.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// Returns one chunk of a body.
pub fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

/// Parts of the answer to one run, each sent after a pause in milliseconds. The
/// connection closes after the last one.
pub type Script = Vec<(u64, String)>;

/// Counts of the runs at some runners.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    /// Number of runs that began.
    pub runs: sync::Arc<atomic::AtomicUsize>,
    /// Number of runs whose connection the node closed before their end.
    pub left: sync::Arc<atomic::AtomicUsize>,
}

/// Runner whose answers are scripted.
pub struct TestRunners {
    /// Addresses of the runners.
    pub addresses: Vec<net::SocketAddr>,
    /// Number of runs that began.
    pub runs: sync::Arc<atomic::AtomicUsize>,
    /// Number of runs whose connection the node closed before their end.
    pub left: sync::Arc<atomic::AtomicUsize>,
}

/// Starts runners whose connections are answered by `play`, which counts runs that begin
/// and those whose connection the node closed before their end.
pub async fn start_playing<F>(
    count: usize,
    play: impl Fn(tokio::net::TcpStream, RunCounts) -> F + Send + Sync + 'static,
) -> TestRunners
where
    F: Future<Output = Option<()>> + Send + 'static,
{
    let counts = RunCounts::default();
    let play = sync::Arc::new(play);
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        let (play, counts) = (sync::Arc::clone(&play), counts.clone());
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(play(socket, counts.clone()));
            }
        });
    }
    TestRunners {
        addresses,
        runs: counts.runs,
        left: counts.left,
    }
}

/// Starts runners; the run that begins as number `n` at any of them is answered by
/// `scripts[n]`.
pub async fn start_runners(count: usize, scripts: Vec<Script>) -> TestRunners {
    let scripts = sync::Arc::new(scripts);
    start_playing(count, move |socket, counts| {
        let scripts = sync::Arc::clone(&scripts);
        async move { play(socket, &scripts, &counts.runs, &counts.left).await }
    })
    .await
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
    let mut is_chunked = false;
    for (pause_ms, part) in script {
        tokio::select! {
            () = time::sleep(std_time::Duration::from_millis(*pause_ms)) => {}
            _ = socket.read_u8() => {
                left.fetch_add(1, atomic::Ordering::SeqCst);
                return None;
            }
        }
        let (head, body) = match part.split_once(STREAM_HEAD) {
            Some((before, body)) => {
                is_chunked = true;
                (format!("{before}{STREAM_HEAD}"), body)
            }
            None => (String::new(), part.as_str()),
        };
        let body = match is_chunked && !body.is_empty() {
            true => chunk(body),
            false => body.to_owned(),
        };
        socket
            .write_all(format!("{head}{body}").as_bytes())
            .await
            .ok()?;
    }
    if is_chunked {
        socket.write_all(LAST_CHUNK.as_bytes()).await.ok()?;
    }
    Some(())
}

/// Reads until the empty line after a head.
pub async fn read_head(socket: &mut tokio::net::TcpStream) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        head.push(char::from(socket.read_u8().await.ok()?));
    }
    Some(head)
}

/// Returns a complete answer.
pub fn answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nResponse-Stamp: s\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns a rejection with these header lines, each with its end.
pub fn rejection(status: u16, lines: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nNot-Executed: 1\r\n{lines}Content-Length: 0\r\n\r\n")
}

/// Returns the events of a stream with these numbers.
pub fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers
        .map(|number| format!("id: {number}\ndata: x\n\n"))
        .collect()
}

/// Starts a node that knows these runners.
pub async fn start_node(runners: &TestRunners) -> (sync::Arc<core::GatewayCore>, net::SocketAddr) {
    let core = gateway_network::core_of(&gateway_network::record(1));
    let address = start_core(&core, DOCUMENT, runners).await;
    (core, address)
}

/// Starts a node with this state that knows a document and these runners.
pub async fn start_core(
    core: &sync::Arc<core::GatewayCore>,
    document: &str,
    runners: &TestRunners,
) -> net::SocketAddr {
    let row = |key: &str, value: String| mirror::MirrorRow {
        key: key.to_owned(),
        version: store::RowVersion::new(0, 1),
        value: Some(Bytes::from(value)),
    };
    let key = store::WatchedTable::DOCUMENT_KEY;
    core.merge(
        store::WatchedTable::Operator,
        vec![row(key, document.to_owned())],
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
    serve_node(core).await
}

/// Serves callers of a node; returns the address.
pub async fn serve_node(core: &sync::Arc<core::GatewayCore>) -> net::SocketAddr {
    core.suspects_known.send_replace(true);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = sync::Arc::clone(core);
    tokio::spawn(async move {
        let (_closing, closed) = watch::channel(false);
        let limits = serve::ServeLimits::default();
        let answer = move |request| forward::handle(sync::Arc::clone(&handler), request);
        serve::serve(listener, limits, closed, answer).await;
    });
    address
}

/// Lets the budget of the node hold some retries.
pub fn grant_retries(core: &core::GatewayCore) {
    let now = time::Instant::now();
    let mut budget = core.budget.lock().unwrap();
    (0..1_000).for_each(|_| budget.note_request("s", now));
}

/// Sends a request with the id `request-1`; returns the complete answer as text.
pub async fn call(node: net::SocketAddr, path: &str) -> String {
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

/// Returns a script of these parts.
pub fn script(parts: &[(u64, String)]) -> Script {
    parts.to_vec()
}

/// A run without any answer.
pub fn silent() -> Script {
    script(&[(10_000, String::new())])
}

/// Asserts that a stream came to its caller complete, in order and once.
pub fn assert_whole(answer: &str, last: u64) {
    let lines = answer.lines();
    let numbers: Vec<u64> = lines
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect();
    assert_eq!(numbers, (1..=last).collect::<Vec<_>>(), "{answer}");
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}
