//! Streams without a length whose first runner ends them after a later one has died.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{core, mirror};
use arbutusfold_platform::store;
use bytes::Bytes;
use futures_util::future;
use gateway_script::{events, read_head, serve_node};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::{task, time};

/// A route whose objective for pauses is 250 ms, to a model of two layers.
const DOCUMENT: &str = r#"{"version":1,"routes":[
    {"name":"stream","hostname":"h","prefix":"/s/","type":"streaming","resumable":true,
    "timeoutMs":4000,"goalMs":500,"gapAimMs":250,"maxAttempts":2,"public":true,"service":"s"}],
    "services":[{"name":"s","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false,
    "engine":{"slots":192,"kvTokenBytes":1000,"stride":1,
    "models":[{"name":"m","pace":1.0,"loadS":14.0,"warmS":1.0}],"step_ms":1.0,"per_seq_ms":0.01,
    "context_per_k":0.01,"read_per_s":100000.0,"loads_at_once":5,
    "usual":{"prompt":100,"answer":100},"layers":2,"layerMb":100.0,"activationBytes":100,
    "kinds":[{"name":"c","sizeMb":10000.0,"pace":1.0,"readX":1.0}]}}]}"#;

/// Settings of nodes that check the runners of silent streams, and of those that don't.
const SETTINGS: [&str; 2] = ["", r#""probe_stages": true, "share_demand": true"#];

/// Head of a stream whose end only its connection states.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n\r\n";

/// Events before the first runner falls silent, and those of the whole stream.
const EVENTS_BEFORE: u64 = 5;
const LAST_EVENT: u64 = 8;

const fn ms(milliseconds: u64) -> std_time::Duration {
    std_time::Duration::from_millis(milliseconds)
}

/// What a second run of the stream does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondRun {
    /// It sends the missing events and ends in order.
    Continued,
    /// It answers with status 500.
    Failed,
    /// It does not answer.
    Silent,
}

/// When the second runner dies, and when the first one ends the stream.
#[derive(Clone, Copy, Debug)]
struct EndScript {
    /// Silence before the second runner dies.
    before: std_time::Duration,
    /// Silence from then on.
    after: std_time::Duration,
    second_run: SecondRun,
}

impl EndScript {
    fn new(before: u64, after: u64, second_run: SecondRun) -> Self {
        Self {
            before: ms(before),
            after: ms(after),
            second_run,
        }
    }
}

/// First runners of all paths. The first run at any of them falls silent after some
/// events and is then ended in order.
struct FirstRunners {
    addresses: Vec<net::SocketAddr>,
    /// Heads of the requests, in order.
    heads: sync::Mutex<Vec<String>>,
    /// Number of runs that began.
    runs: atomic::AtomicUsize,
    /// Whether the first run is silent.
    silent: watch::Sender<bool>,
    /// Whether the first run is to end.
    ended: watch::Sender<bool>,
    second_run: SecondRun,
}

impl FirstRunners {
    async fn start(count: usize, second_run: SecondRun) -> sync::Arc<Self> {
        let mut listeners = Vec::new();
        for _ in 0..count {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
            listeners.push(listener.unwrap());
        }
        let addresses = listeners.iter().map(|one| one.local_addr().unwrap());
        let runners = sync::Arc::new(Self {
            addresses: addresses.collect(),
            heads: sync::Mutex::default(),
            runs: atomic::AtomicUsize::new(0),
            silent: watch::Sender::new(false),
            ended: watch::Sender::new(false),
            second_run,
        });
        for listener in listeners {
            let serving = sync::Arc::clone(&runners);
            tokio::spawn(async move {
                while let Ok((socket, _)) = listener.accept().await {
                    let runners = sync::Arc::clone(&serving);
                    tokio::spawn(async move { runners.answer(socket).await });
                }
            });
        }
        runners
    }

    async fn answer(&self, mut socket: tokio::net::TcpStream) -> Option<()> {
        let head = read_head(&mut socket).await?;
        if head.starts_with("POST /v1/order") {
            let refusal = gateway_script::answer(500, "{}");
            return socket.write_all(refusal.as_bytes()).await.ok();
        }
        if head.starts_with("GET /v1/report") {
            let report = r#"{"stage": "both", "models": [], "stalled": []}"#;
            let report = gateway_script::answer(200, report);
            return socket.write_all(report.as_bytes()).await.ok();
        }
        self.heads.lock().unwrap().push(head);
        let number = self.runs.fetch_add(1, atomic::Ordering::SeqCst);
        let bytes = match (number, self.second_run) {
            (0, _) => format!("{UNFRAMED_HEAD}{}", events(1..=EVENTS_BEFORE)),
            (1, SecondRun::Continued) => {
                format!("{UNFRAMED_HEAD}{}", events(EVENTS_BEFORE + 1..=LAST_EVENT))
            }
            (_, SecondRun::Silent) => String::new(),
            _ => gateway_script::answer(500, "failed"),
        };
        socket.write_all(bytes.as_bytes()).await.ok()?;
        if number == 0 {
            self.silent.send_replace(true);
            let mut ended = self.ended.subscribe();
            ended.wait_for(|is_ended| *is_ended).await.ok()?;
        } else if self.second_run == SecondRun::Silent {
            let mut byte = [0];
            let _ = socket.read(&mut byte).await;
        }
        Some(())
    }

    /// Returns the address of the second runner of the first run.
    fn second(&self) -> net::SocketAddr {
        let heads = self.heads.lock().unwrap();
        let mut lines = heads[0].lines().filter_map(|line| line.split_once(':'));
        let (_, path) = lines
            .find(|(name, _)| name.eq_ignore_ascii_case("hop-count"))
            .unwrap();
        let part = path.split(',').nth(1).unwrap();
        part.trim().split('=').next().unwrap().parse().unwrap()
    }
}

/// A second runner, which only accepts connections.
struct SecondRunner {
    address: net::SocketAddr,
    task: task::JoinHandle<()>,
}

impl SecondRunner {
    async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(async move { while listener.accept().await.is_ok() {} });
        Self { address, task }
    }

    /// Ends the process: its port refuses connections.
    async fn end(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Returns the key and the value of the entry of a runner with one layer.
fn entry(number: usize, address: net::SocketAddr, layer: u32) -> (String, String) {
    let value = format!(
        r#"{{"service":"s","address":"{address}","zone":"d-1","slots":100,"state":"ready",
        "born":1,"type":"c","models":[{{"name":"m","layers":{{"from":{layer},"target":{}}}}}]}}"#,
        layer + 1
    );
    (format!("i-{number}"), value)
}

fn merge(core: &core::GatewayCore, table: store::WatchedTable, rows: Vec<(String, String)>) {
    let version = core
        .with_mirror(table, |mirror| mirror.latest_version())
        .next();
    let rows = rows.into_iter().map(|(key, value)| mirror::MirrorRow {
        key,
        version,
        value: Some(Bytes::from(value)),
    });
    core.merge(table, rows.collect());
}

async fn call(node: net::SocketAddr) -> String {
    let mut socket = tokio::net::TcpStream::connect(node).await.unwrap();
    let head = "POST /s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: request-1\r\nContent-Length: 0\r\n\
        Connection: close\r\nToken-Count: 100,400\r\n\r\n";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A connection that breaks leaves an incomplete answer, which the test shows.
    let read = socket.read_to_end(&mut bytes);
    let _ = time::timeout(ms(8_000), read).await.unwrap();
    String::from_utf8(bytes).unwrap()
}

/// A stream as its caller got it, and what the node recorded of it.
struct CalledStream {
    answer: String,
    records: String,
    runs: usize,
}

impl CalledStream {
    fn is_whole(&self) -> bool {
        self.answer.starts_with("HTTP/1.1 200") && self.answer.ends_with("0\r\n\r\n")
    }

    fn numbers(&self) -> Vec<u64> {
        let lines = self.answer.lines();
        let numbers = lines.filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        numbers.collect()
    }
}

/// Calls a stream over some first runners and two second ones, of which the one on its
/// path dies if `is_dying`.
async fn call_over(
    settings: &str,
    firsts: usize,
    is_dying: bool,
    script: EndScript,
) -> CalledStream {
    let core = gateway_network::core_with(&gateway_network::record(1), settings);
    let first = FirstRunners::start(firsts, script.second_run).await;
    let mut seconds = vec![SecondRunner::start().await, SecondRunner::start().await];
    let document = (
        store::WatchedTable::DOCUMENT_KEY.to_owned(),
        DOCUMENT.to_owned(),
    );
    merge(&core, store::WatchedTable::Operator, vec![document]);
    let layers = first.addresses.iter().map(|address| (*address, 0));
    let later = seconds.iter().map(|second| (second.address, 1));
    let rows = layers.chain(later).enumerate();
    let rows = rows.map(|(number, (address, layer))| entry(number, address, layer));
    merge(&core, store::WatchedTable::Runners, rows.collect());
    let node = serve_node(&core).await;
    gateway_script::grant_retries(&core);
    let called = tokio::spawn(call(node));
    let mut silent = first.silent.subscribe();
    silent.wait_for(|is_silent| *is_silent).await.unwrap();
    time::sleep(script.before).await;
    if is_dying {
        let address = first.second();
        let mut addresses = seconds.iter().map(|second| second.address);
        let index = addresses.position(|other| other == address).unwrap();
        seconds.remove(index).end().await;
    }
    time::sleep(script.after).await;
    first.ended.send_replace(true);
    let answer = called.await.unwrap();
    let records = core.recorder.about("request-1").into_iter();
    let records = records.map(|record| format!("{} {}\n", record.name, record.detail));
    CalledStream {
        answer,
        records: records.collect(),
        runs: first.runs.load(atomic::Ordering::SeqCst),
    }
}

/// Asserts that a stream whose second runner died looks whole only with all its events.
async fn check_dying(settings: &str, firsts: usize, script: EndScript) {
    let stream = call_over(settings, firsts, true, script).await;
    let name = format!("{settings} firsts={firsts} {script:?}");
    let (answer, records) = (&stream.answer, &stream.records);
    let numbers = stream.numbers();
    let expected: Vec<_> = (1..).take(numbers.len()).collect();
    assert_eq!(numbers, expected, "{name}: {answer}");
    // Only another first runner can go on: the one that refused orders may not be asked.
    let is_continued = numbers.len() as u64 == LAST_EVENT;
    assert_eq!(
        stream.is_whole(),
        is_continued,
        "{name}: {answer}\n{records}"
    );
    if firsts > 1 && script.second_run == SecondRun::Continued {
        assert_eq!(stream.runs, 2, "{name}\n{records}");
        assert!(is_continued, "{name}: {answer}\n{records}");
    }
}

const SECOND_RUNS: [SecondRun; 3] = [SecondRun::Continued, SecondRun::Failed, SecondRun::Silent];

async fn check_all_dying(before: u64, after: u64) {
    for settings in SETTINGS {
        for firsts in [1, 2] {
            let scripts = SECOND_RUNS.map(|run| EndScript::new(before, after, run));
            let checks = scripts.map(|script| check_dying(settings, firsts, script));
            future::join_all(checks).await;
        }
    }
}

/// Guards against a stream that looks whole though its first runner gave up on a later
/// one that had died, and ended it in order between two events.
#[tokio::test]
async fn stream_whose_later_runner_died_does_not_look_whole_without_its_events() {
    check_all_dying(0, 700).await;
    check_all_dying(0, 1_500).await;
}

/// Guards against the same if the later runner dies in the middle of the silence, after
/// a check may have found it alive.
#[tokio::test]
async fn stream_whose_later_runner_died_during_its_silence_does_not_look_whole() {
    check_all_dying(600, 200).await;
}

/// Guards against the same if the first runner gives up before the silence is twice the
/// objective for pauses.
#[tokio::test]
async fn stream_whose_later_runner_died_shortly_before_its_end_does_not_look_whole() {
    check_all_dying(0, 300).await;
}

/// Guards against a whole stream that breaks off or is repeated because it ended after a
/// silence, with all its runners alive.
#[tokio::test]
async fn stream_whose_runners_live_is_whole_after_a_silence() {
    for settings in SETTINGS {
        for (firsts, after) in [(1, 300), (1, 700), (1, 1_500), (2, 700), (2, 1_500)] {
            let scripts = [SecondRun::Failed, SecondRun::Silent];
            let scripts = scripts.map(|run| EndScript::new(0, after, run));
            let checks = scripts.map(|script| async move {
                let name = format!("{settings} firsts={firsts} {script:?}");
                let stream = call_over(settings, firsts, false, script).await;
                let (answer, records) = (&stream.answer, &stream.records);
                assert!(stream.is_whole(), "{name}: {answer}\n{records}");
                let expected: Vec<_> = (1..=EVENTS_BEFORE).collect();
                assert_eq!(stream.numbers(), expected, "{name}: {answer}");
            });
            future::join_all(checks).await;
        }
    }
}
