//! Malformed requests get clear errors and harm no one else.

#![allow(clippy::unwrap_used)]

use std::net;
use std::process;
use std::time;

use arbutusfold_standin::{fleet, model};
use proptest::strategy::{Strategy, ValueTree};
use proptest::{collection, prelude, sample, test_runner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task;

const LAYERS: u32 = 4;

/// Malformed requests sent.
const CASES: usize = 10_000;

/// Requests sent at the same time.
const BATCH: usize = 50;

/// Longest wait for one answer.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Growth of the node's memory that is not taken for a leak.
const MEMORY_GROWTH_LIMIT_BYTES: u64 = 64 << 20;

const SEED: [u8; 32] = *b"malformed requests, seed number1";

/// One way to spoil a request.
#[derive(Clone, Debug)]
enum SpoilStep {
    Flip(sample::Index, u8),
    Insert(sample::Index, Vec<u8>),
    Remove(sample::Index, usize),
    Cut(sample::Index),
}

fn good_requests() -> Vec<Vec<u8>> {
    let body = r#"{"model": "assistant", "prompt": "veil", "max_tokens": 1, "stream": false}"#;
    let deposit = r#"{"amount": 1}"#;
    let key = fleet::CALLER_KEY;
    let posts = [
        ("/v1/completions", body),
        ("/v1/services/booking/deposits", deposit),
    ];
    let mut requests: Vec<Vec<u8>> = posts
        .into_iter()
        .map(|(path, body)| {
            format!(
                "POST {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n\
                 Idempotency-Key: k\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes()
        })
        .collect();
    for path in ["/v1/addresses?caller=a", "/v1/models"] {
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n\r\n");
        requests.push(request.into_bytes());
    }
    requests.push(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0".to_vec());
    requests
}

fn malformed_body() -> impl Strategy<Value = Vec<u8>> {
    let bodies = prelude::prop_oneof![
        r#"\{"model": (null|7|"nobody"|\[\]), "prompt": "a"\}"#,
        r#"\{"model": "assistant", "prompt": ("a"|7|\{\}), "max_tokens": (0|-1|4294967296|1e9|"7"|32769)\}"#,
        r#"(\[|\{){1,200}"#,
        r#"[\x00-\x7f]{0,80}"#,
    ];
    bodies.prop_map(|body: String| {
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n\
             Content-Length: {}\r\n\r\n",
            fleet::CALLER_KEY,
            body.len()
        );
        [head.into_bytes(), body.into_bytes()].concat()
    })
}

fn spoiled_request() -> impl Strategy<Value = Vec<u8>> {
    let step = prelude::prop_oneof![
        (prelude::any::<sample::Index>(), prelude::any::<u8>())
            .prop_map(|(place, byte)| SpoilStep::Flip(place, byte)),
        (
            prelude::any::<sample::Index>(),
            collection::vec(prelude::any::<u8>(), 1..2_000)
        )
            .prop_map(|(place, bytes)| SpoilStep::Insert(place, bytes)),
        (prelude::any::<sample::Index>(), 1..40_usize)
            .prop_map(|(place, count)| SpoilStep::Remove(place, count)),
        prelude::any::<sample::Index>().prop_map(SpoilStep::Cut),
    ];
    (sample::select(good_requests()), collection::vec(step, 1..4))
        .prop_map(|(request, steps)| steps.into_iter().fold(request, spoil))
}

fn spoil(mut request: Vec<u8>, step: SpoilStep) -> Vec<u8> {
    if request.is_empty() {
        return request;
    }
    match step {
        SpoilStep::Flip(place, byte) => {
            let place = place.index(request.len());
            request[place] ^= byte;
        }
        SpoilStep::Insert(place, bytes) => {
            let place = place.index(request.len());
            request.splice(place..place, bytes);
        }
        SpoilStep::Remove(place, count) => {
            let place = place.index(request.len());
            let end = (place + count).min(request.len());
            request.drain(place..end);
        }
        SpoilStep::Cut(place) => request.truncate(place.index(request.len())),
    }
    request
}

/// Sends bytes, closes the sending half and reads to the end.
async fn exchange(address: net::SocketAddr, request: Vec<u8>) -> Vec<u8> {
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    // The node may close before all is sent.
    let _ = socket.write_all(&request).await;
    let _ = socket.shutdown().await;
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    answer
}

fn check_answer(request: &[u8], answer: &[u8]) {
    let shown = String::from_utf8_lossy(request).into_owned();
    let Ok(answer) = std::str::from_utf8(answer) else {
        // Frames of HTTP/2 begin with its settings.
        assert_eq!(answer.get(3), Some(&4), "{shown:?}: {answer:?}");
        return;
    };
    let Some(rest) = answer.strip_prefix("HTTP/1.") else {
        let closed = answer.is_empty() || answer.as_bytes().get(3) == Some(&4);
        assert!(closed, "{shown:?}: {answer:?}");
        return;
    };
    let status: u16 = rest[2..5].parse().unwrap();
    assert_ne!(status, 500, "{shown:?}: {answer:?}");
    let body = answer.split_once("\r\n\r\n").map_or("", |parts| parts.1);
    let json = answer.contains("content-type: application/json");
    if status >= 400 && json {
        // Another answer may follow: spoiling may make two requests of one.
        let mut values = serde_json::Deserializer::from_str(body).into_iter();
        let body: serde_json::Value = values.next().unwrap().unwrap();
        for field in ["code", "message", "ran"] {
            assert!(body["error"][field].is_string(), "{shown:?}: {body}");
        }
    }
}

fn memory_bytes(process: u32) -> u64 {
    let process = procfs::process::Process::new(process.cast_signed()).unwrap();
    process.statm().unwrap().resident * procfs::page_size()
}

fn open_files(process: u32) -> usize {
    let process = procfs::process::Process::new(process.cast_signed()).unwrap();
    process.fd_count().unwrap()
}

async fn complete(address: net::SocketAddr) -> serde_json::Value {
    let order = r#"{"model": "assistant", "prompt": "veil", "max_tokens": 5}"#;
    let answer = fleet::call(
        address,
        http::Method::POST,
        "/v1/completions",
        fleet::CALLER_KEY,
        &[],
        order.to_owned(),
    );
    let (status, body) = answer.await.unwrap();
    assert_eq!(status, 200, "{body}");
    serde_json::from_str(&body).unwrap()
}

#[tokio::test]
async fn malformed_requests_get_errors_and_leak_nothing() {
    let directory = std::env::temp_dir().join(format!("arbutusfold-malformed-{}", process::id()));
    let options = fleet::FleetOptions {
        nodes: 1,
        domains: 1,
        layers: LAYERS,
        ranges: 1,
        replicas: 1,
        step: time::Duration::ZERO,
        answer_keep: time::Duration::from_millis(200),
        directory: directory.clone(),
    };
    let mut fleet = fleet::TestFleet::start(options).await.unwrap();
    fleet.submit(0, &fleet.document()).await.unwrap();
    let address = fleet.nodes[0].callers;
    let node = fleet.nodes[0].process.id();
    complete(address).await;

    let random = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    let config = test_runner::Config::default();
    let mut runner = test_runner::TestRunner::new_with_rng(config, random);
    let strategy = prelude::prop_oneof![2 => spoiled_request(), 1 => malformed_body()];
    let mut memory = 0;
    for batch in 0..CASES / BATCH {
        let mut running = task::JoinSet::new();
        for _ in 0..BATCH {
            let request = strategy.new_tree(&mut runner).unwrap().current();
            running.spawn(async move {
                let answer = tokio::time::timeout(ANSWER_LIMIT, exchange(address, request.clone()));
                (request, answer.await)
            });
        }
        for (request, answer) in running.join_all().await {
            let answer = answer
                .unwrap_or_else(|_| panic!("no answer: {:?}", String::from_utf8_lossy(&request)));
            check_answer(&request, &answer);
        }
        // The first tenth warms caches and pools.
        if batch == CASES / BATCH / 10 {
            memory = memory_bytes(node);
        }
    }

    let answer = complete(address).await;
    let expected = model::expected("assistant", LAYERS, "veil", 5);
    assert_eq!(answer["choices"][0]["text"], expected);
    assert!(fleet.nodes[0].process.ended().is_none());
    let log = std::fs::read_to_string(directory.join("entry-0.log")).unwrap();
    assert!(!log.contains("panicked"), "the node panicked");
    let grown = memory_bytes(node).saturating_sub(memory);
    assert!(grown < MEMORY_GROWTH_LIMIT_BYTES, "grown by {grown} bytes");
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let files = open_files(node);
    assert!(files < 100, "{files} files are open");
    let (_, metrics) = fleet::call(
        fleet.nodes[0].operators,
        http::Method::GET,
        "/metrics",
        "",
        &[],
        String::new(),
    )
    .await
    .unwrap();
    assert!(metrics.contains("arbutusfold_in_flight 0"), "{metrics}");
    println!("{CASES} requests, grown by {grown} bytes, {files} open files");
}
