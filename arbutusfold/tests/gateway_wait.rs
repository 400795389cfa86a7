//! Streams that wait at a node for room or for a retry.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::core;
use gateway_script::{
    LAST_CHUNK, STREAM_HEAD, assert_whole, call, chunk, events, rejection, script, start_runners,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time;

/// A model whose runners have memory for two requests each, and callers who leave after
/// 2 s without an event.
const DOCUMENT: &str = r#"{"version":1,"routes":[
    {"name":"first","hostname":"h","prefix":"/s/","type":"streaming","resumable":true,"priority":0,
    "timeoutMs":2500,"goalMs":50,"gapAimMs":50,"maxAttempts":2,"public":true,"service":"s"},
    {"name":"last","hostname":"h","prefix":"/last/","type":"streaming","resumable":true,"priority":2,
    "timeoutMs":2500,"goalMs":50,"gapAimMs":50,"maxAttempts":2,"public":true,"service":"s"}],
    "services":[{"name":"s","healthPath":"/health","maxConns":10,"protocol":"h1","tls":false,
    "engine":{"slots":8,"kvCapacity":500,"stepMs":2.0,"usual":{"prompt":100,"answer":100}}}]}"#;

fn node(wait_limit: usize) -> sync::Arc<core::GatewayCore> {
    let mut settings = gateway_network::core_of(&gateway_network::record(1))
        .settings
        .clone();
    settings.wait_limit = wait_limit;
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    sync::Arc::new(core::GatewayCore::new(settings, logger))
}

/// A stream of one event and, after a pause, another one.
fn stream(pause_ms: u64) -> gateway_script::Script {
    let head = format!("{STREAM_HEAD}{}", events(1..=1));
    script(&[(0, head), (pause_ms, events(2..=2))])
}

fn milliseconds(time: u64) -> std_time::Duration {
    std_time::Duration::from_millis(time)
}

/// Starts two streams that fill the only runner until `busy_ms` have passed; further
/// streams are answered by `next`.
async fn start_full(
    wait_limit: usize,
    busy_ms: u64,
    next: Vec<gateway_script::Script>,
) -> (
    sync::Arc<core::GatewayCore>,
    net::SocketAddr,
    sync::Arc<atomic::AtomicUsize>,
) {
    let scripts = [stream(busy_ms), stream(busy_ms)].into_iter().chain(next);
    let runners = start_runners(1, scripts.collect()).await;
    let core = node(wait_limit);
    let address = gateway_script::start_core(&core, DOCUMENT, &runners).await;
    for _ in 0..2 {
        tokio::spawn(call(address, "/s/x"));
        time::sleep(milliseconds(50)).await;
    }
    (core, address, runners.runs)
}

fn events_of(core: &core::GatewayCore) -> Vec<u16> {
    let records = core.recorder.about("request-1");
    records.iter().map(|record| record.number).collect()
}

fn retry_after(answer: &str) -> f64 {
    let line = answer
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.unwrap().trim().parse().unwrap()
}

/// Without the setting a full runner leads to a refusal at once, with a return after
/// one to two seconds.
#[tokio::test]
async fn nobody_waits_without_the_setting() {
    let (core, address, runs) = start_full(0, 600, vec![stream(0)]).await;
    let started = time::Instant::now();
    let answer = call(address, "/s/x").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.ends_with("no path has room"), "{answer}");
    assert!((1.0..=2.0).contains(&retry_after(&answer)), "{answer}");
    assert!(started.elapsed() < milliseconds(300));
    assert_eq!(runs.load(atomic::Ordering::SeqCst), 2);
    assert!(
        !events_of(&core)
            .iter()
            .any(|number| (112..=114).contains(number))
    );
    let demand = core.demand.lock().unwrap();
    assert!(demand.own().ranks.is_empty() && demand.own().organisations.is_empty());
}

/// Room that comes within the caller's patience is waited for.
#[tokio::test]
async fn stream_waits_until_another_one_ends() {
    let (core, address, _) = start_full(8, 600, vec![stream(0)]).await;
    let answer = call(address, "/s/x").await;
    assert_whole(&answer, 2);
    let seen = events_of(&core);
    assert!(seen.contains(&112) && seen.contains(&113), "{seen:?}");
    assert_eq!(
        (core.admission.waiting(), core.metrics.waited.get()),
        (0, 1)
    );
}

/// The place of a caller that leaves is free at once, and nothing is sent for it.
#[tokio::test]
async fn caller_that_leaves_frees_its_place() {
    let (core, address, runs) = start_full(8, 1_500, vec![stream(0)]).await;
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = "GET /s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: request-2\r\n\r\n";
    socket.write_all(head.as_bytes()).await.unwrap();
    time::sleep(milliseconds(200)).await;
    assert_eq!(core.admission.waiting(), 1);
    drop(socket);
    time::sleep(milliseconds(200)).await;
    assert_eq!(core.admission.waiting(), 0);
    let mut records = core.recorder.about("request-2").into_iter();
    let ended = records.find(|record| record.number == 113).unwrap();
    assert!(ended.detail.starts_with("outcome=left"), "{}", ended.detail);
    assert_eq!(runs.load(atomic::Ordering::SeqCst), 2);
}

/// A wait ends while the caller is still there to hear when to return.
#[tokio::test]
async fn wait_ends_before_the_caller_leaves() {
    let (core, address, _) = start_full(8, 2_400, Vec::new()).await;
    let started = time::Instant::now();
    let answer = call(address, "/last/x").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(started.elapsed() < milliseconds(2_000));
    // A third of the 2.5 s that the caller has at the start is the most.
    assert!(retry_after(&answer) <= 0.84, "{answer}");
    assert!(events_of(&core).contains(&114));
}

/// Of two that wait, the one of the higher rank gets the room that comes first.
#[tokio::test]
async fn higher_rank_goes_first() {
    let (core, address, _) = start_full(8, 700, vec![stream(300), stream(0)]).await;
    let low = tokio::spawn(call(address, "/last/x"));
    time::sleep(milliseconds(100)).await;
    let high = tokio::spawn(call(address, "/s/x"));
    time::sleep(milliseconds(100)).await;
    assert_eq!(core.admission.waiting(), 2);
    assert_whole(&high.await.unwrap(), 2);
    let low = low.await.unwrap();
    assert!(
        low.starts_with("HTTP/1.1 200") || low.starts_with("HTTP/1.1 503"),
        "{low}"
    );
    let records = core.recorder.about("request-1");
    let ends = records.iter().filter(|record| record.number == 113);
    let first = ends.min_by_key(|record| record.at_ms).unwrap();
    assert!(first.detail.contains("rank=0"), "{}", first.detail);
}

/// Starts a runner that answers each stream with one event and keeps the heads of their
/// requests.
async fn start_listener() -> (
    gateway_script::TestRunners,
    sync::Arc<sync::Mutex<Vec<String>>>,
) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let runners = gateway_script::TestRunners {
        addresses: vec![listener.local_addr().unwrap()],
        runs: sync::Arc::default(),
        left: sync::Arc::default(),
    };
    let heads: sync::Arc<sync::Mutex<Vec<String>>> = sync::Arc::default();
    let seen = sync::Arc::clone(&heads);
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let seen = sync::Arc::clone(&seen);
            tokio::spawn(async move {
                let head = gateway_script::read_head(&mut socket).await?;
                let answer = match head.starts_with("GET /v1/report") {
                    true => gateway_script::answer(404, "no report"),
                    false => {
                        seen.lock().unwrap().push(head);
                        format!("{STREAM_HEAD}{}{LAST_CHUNK}", chunk(&events(1..=1)))
                    }
                };
                socket.write_all(answer.as_bytes()).await.ok()
            });
        }
    });
    (runners, heads)
}

/// The route orders requests of an organisation in admission, and runners are told the
/// priority of the organisation as before.
#[tokio::test]
async fn runners_are_told_one_priority_where_ranks_differ() {
    let (runners, heads) = start_listener().await;
    let core = node(8);
    let organisation = r#""tenants":[{"name":"o","apiKeys":["k"],"priority":1}],"services""#;
    let document = DOCUMENT.replace("\"services\"", organisation);
    let address = gateway_script::start_core(&core, &document, &runners).await;
    for path in ["/s/x", "/last/x"] {
        let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: request-1\r\n\
             Authorization: Bearer k\r\nConnection: close\r\n\r\n"
        );
        socket.write_all(head.as_bytes()).await.unwrap();
        let mut answer = String::new();
        let read = socket.read_to_string(&mut answer);
        time::timeout(milliseconds(2_000), read)
            .await
            .unwrap()
            .unwrap();
        assert_whole(&answer, 1);
    }
    let heads = heads.lock().unwrap().clone();
    let told = heads.iter().flat_map(|head| head.lines());
    let told: Vec<_> = told
        .filter_map(|line| line.strip_prefix("Request-Priority: "))
        .collect();
    assert_eq!(told, ["1", "1"], "{heads:?}");
    core.tick(time::Instant::now());
    let own = core.demand.lock().unwrap().own().clone();
    let ranks: Vec<_> = own.ranks.iter().map(|rank| rank.rank).collect();
    assert_eq!(ranks, [16, 18]);
}

/// A full queue refuses at once.
#[tokio::test]
async fn full_queue_refuses_at_once() {
    let (core, address, _) = start_full(1, 1_500, Vec::new()).await;
    let waits = tokio::spawn(call(address, "/s/x"));
    time::sleep(milliseconds(100)).await;
    let started = time::Instant::now();
    let answer = call(address, "/last/x").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(started.elapsed() < milliseconds(300));
    assert_eq!(core.admission.waiting(), 1);
    waits.abort();
}

/// A request that a runner rejected waits for a retry, which the budget grants again
/// within the caller's patience. Without the setting it is refused.
#[tokio::test]
async fn rejected_request_waits_for_a_retry() {
    for (wait_limit, expected) in [(0, "HTTP/1.1 503"), (8, "HTTP/1.1 200")] {
        let rejected = script(&[(0, rejection(503, "Request-Id: request-1\r\n"))]);
        let runners = start_runners(2, vec![rejected, stream(0)]).await;
        let core = node(wait_limit);
        let address = gateway_script::start_core(&core, DOCUMENT, &runners).await;
        let grant = async {
            time::sleep(milliseconds(300)).await;
            gateway_script::grant_retries(&core);
        };
        let (answer, ()) = tokio::join!(call(address, "/s/x"), grant);
        assert!(answer.starts_with(expected), "{wait_limit}: {answer}");
    }
}

/// What waits, arrives and runs at a node is what it tells the others.
#[tokio::test]
async fn node_tells_its_waits_arrivals_and_use() {
    let (core, address, _) = start_full(8, 1_000, Vec::new()).await;
    let waits = tokio::spawn(call(address, "/last/x"));
    time::sleep(milliseconds(200)).await;
    core.tick(time::Instant::now());
    let own = core.demand.lock().unwrap().own().clone();
    let ranks: Vec<_> = own
        .ranks
        .iter()
        .map(|rank| (rank.rank, rank.waiting))
        .collect();
    assert_eq!(ranks, [(0, 0), (34, 1)]);
    // Two arrivals within the 2 s over which the rate is averaged.
    let rate = own.ranks[0].arrivals_per_second;
    assert!((0.7..=1.0).contains(&rate), "{rate}");
    let uses = own.organisations.iter();
    let uses: Vec<_> = uses.map(|held| (held.in_flight, held.waiting)).collect();
    assert_eq!(uses, [(2, 1)]);
    waits.abort();
}

/// All hosts have started at one moment and the store does not answer yet: a request
/// waits for the document for a part of its caller's patience, and is refused with a
/// time to return if none comes.
#[tokio::test]
async fn request_waits_for_the_first_document() {
    let core = node(8);
    let address = gateway_script::serve_node(&core).await;
    let refused = call(address, "/s/x").await;
    assert!(refused.ends_with("no document is known yet"), "{refused}");
    assert!(retry_after(&refused) >= 0.5, "{refused}");
    let started = time::Instant::now();
    let waiting = tokio::spawn(call(address, "/s/x"));
    time::sleep(milliseconds(100)).await;
    let runners = start_runners(1, vec![stream(0)]).await;
    gateway_script::start_core(&core, DOCUMENT, &runners).await;
    assert_whole(&waiting.await.unwrap(), 2);
    assert!(started.elapsed() < milliseconds(900));
    let without = node(0);
    let address = gateway_script::serve_node(&without).await;
    let started = time::Instant::now();
    let refused = call(address, "/s/x").await;
    assert!(refused.ends_with("no document is known yet"), "{refused}");
    assert!(started.elapsed() < milliseconds(300));
}
