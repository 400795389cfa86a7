//! Streams over paths whose later runners die or leave while the first one goes on.

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
use gateway_script::{LAST_CHUNK, STREAM_HEAD, assert_whole, chunk, events, read_head, serve_node};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;
use tokio::{task, time};

/// A route whose objective for pauses is 250 ms, to a model of two layers.
const DOCUMENT: &str = r#"{"version":1,"routes":[
    {"name":"stream","hostname":"h","prefix":"/s/","type":"streaming","resumable":true,
    "timeoutMs":8000,"goalMs":500,"gapAimMs":250,"maxAttempts":2,"public":true,"service":"s"}],
    "services":[{"name":"s","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false,
    "engine":{"slots":192,"kvTokenBytes":1000,"stride":1,
    "models":[{"name":"m","pace":1.0,"loadS":14.0,"warmS":1.0}],"step_ms":1.0,"per_seq_ms":0.01,
    "context_per_k":0.01,"read_per_s":100000.0,"loads_at_once":5,
    "usual":{"prompt":100,"answer":100},"layers":2,"layerMb":100.0,"activationBytes":100,
    "kinds":[{"name":"c","sizeMb":10000.0,"pace":1.0,"readX":1.0}]}}]}"#;

const FIRST_OBJECTIVE: std_time::Duration = ms(500);
const GAP_OBJECTIVE: std_time::Duration = ms(250);
const PROBING: &str = r#""probe_stages": true, "share_demand": true"#;
/// Time between two events of a stream.
const EVENT_PERIOD: std_time::Duration = ms(30);
/// Events before the first runner waits for an order.
const EVENTS_BEFORE: u64 = 5;

const fn ms(milliseconds: u64) -> std_time::Duration {
    std_time::Duration::from_millis(milliseconds)
}

/// What the first runner of all paths does.
struct FirstScript {
    /// Events of each stream.
    events: u64,
    /// Number of events after which streams wait for an order, if they do. A stream
    /// that waits before its first event sends no head.
    stalled_after: Option<u64>,
    /// Statuses of the answers to orders; later ones are accepted.
    refusals: Vec<u16>,
}

/// First runner of all paths. It sends events and takes orders.
struct FirstRunner {
    script: FirstScript,
    address: net::SocketAddr,
    /// Streams that wait for an order.
    waiting: watch::Sender<usize>,
    /// Paths of the streams and of the orders that were taken, in order.
    paths: sync::Mutex<Vec<String>>,
    /// What the report says of the streams that wait.
    stalled: sync::Mutex<Vec<serde_json::Value>>,
    /// Accepts connections.
    accepting: sync::Mutex<Option<task::JoinHandle<()>>>,
    /// Orders received.
    orders: atomic::AtomicUsize,
    /// Orders taken.
    taken: watch::Sender<usize>,
}

impl FirstRunner {
    async fn start(script: FirstScript) -> sync::Arc<Self> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let runner = sync::Arc::new(Self {
            script,
            address: listener.local_addr().unwrap(),
            waiting: watch::Sender::new(0),
            paths: sync::Mutex::default(),
            stalled: sync::Mutex::default(),
            accepting: sync::Mutex::default(),
            orders: atomic::AtomicUsize::new(0),
            taken: watch::Sender::new(0),
        });
        let serving = sync::Arc::clone(&runner);
        let accepting = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let runner = sync::Arc::clone(&serving);
                tokio::spawn(async move { runner.answer(socket).await });
            }
        });
        *runner.accepting.lock().unwrap() = Some(accepting);
        runner
    }

    /// Refuses further connections; open ones go on.
    async fn refuse(&self) {
        let accepting = self.accepting.lock().unwrap().take().unwrap();
        accepting.abort();
        let _ = accepting.await;
    }

    async fn answer(&self, mut socket: tokio::net::TcpStream) -> Option<()> {
        let head = read_head(&mut socket).await?;
        if head.starts_with("POST /v1/order") {
            return self.take_order(&mut socket, &head).await;
        }
        if head.starts_with("GET /v1/report") {
            let stalled = self.stalled.lock().unwrap().clone();
            let report = serde_json::json!({"stage": "both", "models": [], "stalled": stalled});
            let answer = gateway_script::answer(200, &report.to_string());
            return socket.write_all(answer.as_bytes()).await.ok();
        }
        let path = header(&head, "hop-count")?;
        let id = header(&head, "request-id")?;
        let waiting = serde_json::json!({"id": id, "address": second_of(&path)});
        self.paths.lock().unwrap().push(path);
        let mut taken = self.taken.subscribe();
        for number in 0..=self.script.events {
            let part = match number {
                0 => String::new(),
                1 => format!("{STREAM_HEAD}{}", chunk(&events(1..=1))),
                _ => chunk(&events(number..=number)),
            };
            socket.write_all(part.as_bytes()).await.ok()?;
            if self.script.stalled_after == Some(number) {
                self.stalled.lock().unwrap().push(waiting.clone());
                self.waiting.send_modify(|count| *count += 1);
                let _ = taken.changed().await;
            }
            time::sleep(EVENT_PERIOD).await;
        }
        socket.write_all(LAST_CHUNK.as_bytes()).await.ok()
    }

    async fn take_order(&self, socket: &mut tokio::net::TcpStream, head: &str) -> Option<()> {
        let length = header(head, "content-length")?.parse().ok()?;
        let mut body = vec![0; length];
        socket.read_exact(&mut body).await.ok()?;
        let order: serde_json::Value = serde_json::from_slice(&body).ok()?;
        let number = self.orders.fetch_add(1, atomic::Ordering::SeqCst);
        let status = self.script.refusals.get(number).copied().unwrap_or(200);
        if status == 200 {
            let path = order["path"].as_str()?.to_owned();
            self.paths.lock().unwrap().push(path);
            self.taken.send_modify(|count| *count += 1);
        }
        let answer = gateway_script::answer(status, "{}");
        socket.write_all(answer.as_bytes()).await.ok()
    }

    /// Returns the address of the second runner of the latest path.
    fn second(&self) -> net::SocketAddr {
        let paths = self.paths.lock().unwrap();
        second_of(paths.last().unwrap())
    }
}

/// Returns the address of the second runner of a path.
fn second_of(path: &str) -> net::SocketAddr {
    let part = path.split(',').nth(1).unwrap();
    part.trim().split('=').next().unwrap().parse().unwrap()
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = lines.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
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

/// A node in front of a first runner and some second ones.
struct TestPath {
    core: sync::Arc<core::GatewayCore>,
    node: net::SocketAddr,
    first: sync::Arc<FirstRunner>,
    seconds: Vec<SecondRunner>,
}

impl TestPath {
    async fn start(settings: &str, seconds: usize, script: FirstScript) -> Self {
        let core = gateway_network::core_with(&gateway_network::record(1), settings);
        let first = FirstRunner::start(script).await;
        let mut runners = Vec::new();
        for _ in 0..seconds {
            runners.push(SecondRunner::start().await);
        }
        let document = (store::WatchedTable::DOCUMENT_KEY, DOCUMENT.to_owned());
        merge(&core, store::WatchedTable::Operator, vec![document]);
        let later = runners.iter().enumerate();
        let mut entries = vec![entry(0, first.address, 0, "ready")];
        entries.extend(later.map(|(index, runner)| entry(index + 1, runner.address, 1, "ready")));
        let rows = entries
            .iter()
            .map(|(key, value)| (key.as_str(), value.clone()));
        merge(&core, store::WatchedTable::Runners, rows.collect());
        let node = serve_node(&core).await;
        gateway_script::grant_retries(&core);
        Self {
            core,
            node,
            first,
            seconds: runners,
        }
    }

    /// Waits until this number of streams wait for an order.
    async fn wait_stalled(&self, streams: usize) {
        let mut waiting = self.first.waiting.subscribe();
        waiting.wait_for(|count| *count >= streams).await.unwrap();
    }

    /// Ends the second runner at an address.
    async fn end(&mut self, address: net::SocketAddr) {
        let index = self.index(address);
        self.seconds.remove(index).end().await;
    }

    fn index(&self, address: net::SocketAddr) -> usize {
        let mut seconds = self.seconds.iter();
        seconds
            .position(|second| second.address == address)
            .unwrap()
    }

    fn records(&self, request: &str, name: &str) -> Vec<String> {
        let records = self.core.recorder.about(request).into_iter();
        let named = records.filter(|record| record.name == name);
        named.map(|record| record.detail).collect()
    }
}

/// Returns the key and the value of the entry of a runner with one layer.
fn entry(number: usize, address: net::SocketAddr, layer: u32, state: &str) -> (String, String) {
    let value = format!(
        r#"{{"service":"s","address":"{address}","zone":"d-1","slots":100,"state":"{state}",
        "born":1,"type":"c","models":[{{"name":"m","layers":{{"from":{layer},"target":{}}}}}]}}"#,
        layer + 1
    );
    (format!("i-{number}"), value)
}

fn merge(core: &core::GatewayCore, table: store::WatchedTable, rows: Vec<(&str, String)>) {
    let version = core
        .with_mirror(table, |mirror| mirror.latest_version())
        .next();
    let rows = rows.into_iter().map(|(key, value)| mirror::MirrorRow {
        key: key.to_owned(),
        version,
        value: Some(Bytes::from(value)),
    });
    core.merge(table, rows.collect());
}

/// A stream as its caller got it.
struct CalledStream {
    answer: String,
    /// Time to the first event.
    first: std_time::Duration,
    /// Longest pause between two events.
    pause: std_time::Duration,
}

async fn call(node: net::SocketAddr, id: &str) -> CalledStream {
    let mut socket = tokio::net::TcpStream::connect(node).await.unwrap();
    let head = format!(
        "POST /s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\
        Connection: close\r\nToken-Count: 100,400\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let started = time::Instant::now();
    let mut first = std_time::Duration::ZERO;
    let mut pause = std_time::Duration::ZERO;
    let mut latest: Option<time::Instant> = None;
    let mut buffer = vec![0; 4_096];
    loop {
        let read = time::timeout(ms(5_000), socket.read(&mut buffer));
        let size = read.await.unwrap().unwrap_or(0);
        if size == 0 {
            return CalledStream {
                answer,
                first,
                pause,
            };
        }
        let text = String::from_utf8_lossy(&buffer[..size]);
        if text.contains("id: ") {
            let now = time::Instant::now();
            pause = latest.map_or(pause, |latest| pause.max(now - latest));
            if latest.replace(now).is_none() {
                first = now - started;
            }
        }
        answer.push_str(&text);
    }
}

fn stalled(events: u64, refusals: Vec<u16>) -> FirstScript {
    FirstScript {
        events,
        stalled_after: Some(EVENTS_BEFORE),
        refusals,
    }
}

/// Load: a runner dies under several streams of a host. All go on within the objective
/// for pauses, and one connection serves their checks.
#[tokio::test]
async fn streams_over_a_runner_that_dies_go_on_within_their_objective() {
    let mut path = TestPath::start(PROBING, 2, stalled(10, Vec::new())).await;
    let node = path.node;
    // Both streams take the same second runner: the other one is not known yet.
    let spare = path.seconds.pop().unwrap();
    let (spare_key, spare_value) = entry(2, spare.address, 1, "draining");
    let rows = vec![(spare_key.as_str(), spare_value)];
    merge(&path.core, store::WatchedTable::Runners, rows);
    let calls: Vec<_> = (0..3)
        .map(|number| tokio::spawn(async move { call(node, &format!("request-{number}")).await }))
        .collect();
    path.wait_stalled(3).await;
    let (spare_key, spare_value) = entry(3, spare.address, 1, "ready");
    let rows = vec![(spare_key.as_str(), spare_value)];
    merge(&path.core, store::WatchedTable::Runners, rows);
    let second = path.first.second();
    path.end(second).await;
    for call in calls {
        let stream = call.await.unwrap();
        assert_whole(&stream.answer, 10);
        assert!(stream.pause < GAP_OBJECTIVE, "{:?}", stream.pause);
    }
    assert_eq!(path.first.second(), spare.address);
    assert_eq!(path.first.orders.load(atomic::Ordering::SeqCst), 3);
    let connections = path.core.metrics.stage_connections.get();
    assert!(connections <= 2, "{connections}");
    let failed = path.core.demand.lock().unwrap().own().failed.clone();
    assert_eq!(failed.len(), 1, "{failed:?}");
}

/// Load: a runner dies under streams that have no event yet. They go on with the
/// substitute within the objective for the first event, and take no retry.
#[tokio::test]
async fn stream_whose_runner_dies_before_its_first_event_begins_in_time() {
    let script = FirstScript {
        stalled_after: Some(0),
        ..stalled(10, Vec::new())
    };
    let mut path = TestPath::start(PROBING, 2, script).await;
    let node = path.node;
    let call = tokio::spawn(async move { call(node, "request-1").await });
    path.wait_stalled(1).await;
    let second = path.first.second();
    path.end(second).await;
    let stream = call.await.unwrap();
    assert_whole(&stream.answer, 10);
    assert!(stream.first < FIRST_OBJECTIVE, "{:?}", stream.first);
    assert_eq!(path.core.metrics.retries.get(), 0);
    assert_eq!(path.first.orders.load(atomic::Ordering::SeqCst), 1);
}

/// The check is off by default: the stream waits for twice its objective, and no
/// connection is opened.
#[tokio::test]
async fn stream_is_not_checked_unless_the_settings_say_so() {
    let mut path = TestPath::start("", 2, stalled(10, Vec::new())).await;
    let node = path.node;
    let call = tokio::spawn(async move { call(node, "request-1").await });
    path.wait_stalled(1).await;
    let second = path.first.second();
    path.end(second).await;
    let stream = call.await.unwrap();
    assert!(stream.pause >= 2 * GAP_OBJECTIVE, "{:?}", stream.pause);
    assert_eq!(path.core.metrics.stage_checks.get(), 0);
    assert!(path.records("request-1", "StreamChecked").is_empty());
}

/// Load: no runner answers this host any more. It replaces nothing.
#[tokio::test]
async fn host_that_reaches_no_runner_replaces_none() {
    let mut path = TestPath::start(PROBING, 2, stalled(10, Vec::new())).await;
    let node = path.node;
    let call = tokio::spawn(async move { call(node, "request-1").await });
    path.wait_stalled(1).await;
    path.first.refuse().await;
    while let Some(second) = path.seconds.pop() {
        second.end().await;
    }
    time::sleep(ms(400)).await;
    let checks = path.records("request-1", "StreamChecked");
    assert!(!checks.is_empty());
    assert!(
        checks.iter().all(|check| check.ends_with("failed=")),
        "{checks:?}"
    );
    assert_eq!(path.first.orders.load(atomic::Ordering::SeqCst), 0);
    call.abort();
}

/// Load: the substitutes are short of room. The next one is tried at once.
#[tokio::test]
async fn substitute_without_room_is_passed_over() {
    let mut path = TestPath::start(PROBING, 3, stalled(10, vec![409])).await;
    let node = path.node;
    let call = tokio::spawn(async move { call(node, "request-1").await });
    path.wait_stalled(1).await;
    let second = path.first.second();
    path.end(second).await;
    let stream = call.await.unwrap();
    assert_whole(&stream.answer, 10);
    assert!(stream.pause < GAP_OBJECTIVE, "{:?}", stream.pause);
    assert_eq!(path.first.orders.load(atomic::Ordering::SeqCst), 2);
}

/// Load: a runner leaves under a long and a short stream. The long one is moved while
/// the runner still serves; the short one ends there.
#[tokio::test]
async fn stream_that_outlives_a_leaving_runner_is_moved_before() {
    for (count, orders) in [(90, 1), (20, 0)] {
        let settings = r#""probe_stages": true, "drain_ms": 1000"#;
        let script = FirstScript {
            events: count,
            stalled_after: None,
            refusals: Vec::new(),
        };
        let path = TestPath::start(settings, 2, script).await;
        let node = path.node;
        let started = time::Instant::now();
        let call = tokio::spawn(async move { call(node, "request-1").await });
        time::sleep(ms(200)).await;
        let second = path.first.second();
        let (key, value) = entry(path.index(second) + 1, second, 1, "draining");
        merge(
            &path.core,
            store::WatchedTable::Runners,
            vec![(&key, value)],
        );
        let moved = path.first.taken.subscribe();
        let stream = call.await.unwrap();
        assert_whole(&stream.answer, count);
        assert_eq!(path.first.orders.load(atomic::Ordering::SeqCst), orders);
        let rerouted = path.records("request-1", "StreamRerouted");
        assert_eq!(rerouted.len(), orders, "{rerouted:?}");
        assert!(
            rerouted
                .iter()
                .all(|detail| detail.contains("cause=leaving"))
        );
        assert_eq!(moved.has_changed().unwrap(), orders > 0);
        assert!(started.elapsed() > ms(200));
    }
}
