//! Runners that send bytes without end, in a head or in a body.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::core;
use gateway_script::{TestRunners, call, grant_retries, start_core};
use tokio::io::AsyncWriteExt;
use tokio::task;
use tokio::time;

/// Time in which another runner serves a request after the answer of the first one was
/// no use. Without end, it would take the 2.5 s of the routes.
const SERVED_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_200);

/// Bytes of one part of an endless answer, and the pause after it: 2 MB a second.
const PART_BYTES: usize = 20_000;
const PART_PAUSE: std_time::Duration = std_time::Duration::from_millis(10);

/// Most memory that answers of runners may take of a host with 64 MB.
const ACCOUNT_BYTES: usize = 16 << 20;

const SOUND: &str = "HTTP/1.1 200 X\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nsound";
const SOUND_STREAM: &str = "HTTP/1.1 200 X\r\nResponse-Stamp: s\r\nTransfer-Encoding: chunked\r\n\
    \r\nF\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";

/// Starts runners. The runs that begin while fewer than `endless_runs` have begun get
/// `head` and then `part` again and again, the others `sound`.
async fn start_runners(
    count: usize,
    endless_runs: usize,
    head: &str,
    part: Vec<u8>,
    sound: &'static str,
) -> TestRunners {
    let head = head.to_owned();
    gateway_script::start_playing(count, move |mut socket, counts| {
        let (head, part) = (head.clone(), part.clone());
        async move {
            let request = gateway_script::read_head(&mut socket).await?;
            if request.starts_with("GET /v1/report") {
                return None;
            }
            if counts.runs.fetch_add(1, atomic::Ordering::SeqCst) >= endless_runs {
                return socket.write_all(sound.as_bytes()).await.ok();
            }
            socket.write_all(head.as_bytes()).await.ok()?;
            while socket.write_all(&part).await.is_ok() {
                time::sleep(PART_PAUSE).await;
            }
            counts.left.fetch_add(1, atomic::Ordering::SeqCst);
            Some(())
        }
    })
    .await
}

/// Starts a node on a host with 64 MB.
async fn start_node(runners: &TestRunners) -> (sync::Arc<core::GatewayCore>, net::SocketAddr) {
    let core = gateway_network::core_with(&gateway_network::record(1), r#""memory_mb": 64"#);
    let address = start_core(&core, gateway_script::DOCUMENT, runners).await;
    grant_retries(&core);
    (core, address)
}

/// Guards against hosts that run out of memory, and requests that wait for the whole
/// body of a failure, which never ends, before another runner gets them.
#[tokio::test]
async fn failure_with_a_body_without_end_is_left_for_another_runner() {
    let head = "HTTP/1.1 500 X\r\nRequest-Id: request-1\r\nResponse-Stamp: s\r\n\r\n";
    for (path, sound) in [("/p/x", SOUND), ("/s/x", SOUND_STREAM)] {
        let part = vec![b'x'; PART_BYTES];
        let runners = start_runners(2, 1, head, part, sound).await;
        let (_core, node) = start_node(&runners).await;
        let began_at = time::Instant::now();
        let answer = call(node, path).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{path}: {answer}");
        let took = began_at.elapsed();
        assert!(took < SERVED_LIMIT, "{path}: {took:?}");
    }
}

/// Guards against hosts that run out of memory, since successful answers without end are
/// collected outside any account.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_take_no_more_than_the_account() {
    let head = "HTTP/1.1 200 X\r\nRequest-Id: request-1\r\nResponse-Stamp: s\r\n\
        Transfer-Encoding: chunked\r\n\r\n";
    let mut part = format!("{PART_BYTES:x}\r\n").into_bytes();
    part.extend(vec![b'x'; PART_BYTES]);
    part.extend(b"\r\n");
    let runners = start_runners(2, usize::MAX, head, part, SOUND).await;
    let (core, node) = start_node(&runners).await;
    let calls: Vec<_> = (0..40)
        .map(|_| tokio::spawn(async move { call(node, "/once/x").await }))
        .collect();
    let mut most = 0;
    while !calls.iter().all(task::JoinHandle::is_finished) {
        most = most.max(core.memory.as_ref().unwrap().used());
        time::sleep(PART_PAUSE).await;
    }
    for answer in calls {
        let answer = answer.await.unwrap();
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer:.200}");
    }
    // The requests themselves take a tenth of that.
    assert!(most > 2 << 20, "what is read is in the account: {most}");
    assert!(most <= ACCOUNT_BYTES, "{most}");
    let released = async {
        while core.memory.as_ref().unwrap().used() > 0 {
            time::sleep(PART_PAUSE).await;
        }
    };
    time::timeout(SERVED_LIMIT, released).await.unwrap();
}

/// Guards against nodes that read interim answers or header fields without end at the
/// full speed of the link, for as long as the request may take.
#[tokio::test]
async fn heads_without_end_are_not_read_to_the_deadline() {
    let interim = "HTTP/1.1 103 X\r\nX: x\r\n\r\n";
    let field = "X: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";
    for (head, unit, size) in [
        ("", interim, 20 * PART_BYTES),
        ("HTTP/1.1 200 X\r\n", field, PART_BYTES),
        ("HTTP/1.1 200 X\r\nX: ", "x", PART_BYTES),
    ] {
        let part = unit.repeat(size / unit.len()).into_bytes();
        let runners = start_runners(1, 1, head, part, SOUND).await;
        let (_core, node) = start_node(&runners).await;
        let began_at = time::Instant::now();
        let answer = call(node, "/once/x").await;
        let took = began_at.elapsed();
        assert!(answer.starts_with("HTTP/1.1 502"), "{unit:?}: {answer}");
        assert!(took < SERVED_LIMIT, "{unit:?}: {took:?}");
    }
}

/// Guards against hosts that run out of memory, since each stream collects an event that
/// does not end.
#[tokio::test]
async fn event_without_end_is_left_for_another_runner() {
    let head = "HTTP/1.1 200 X\r\nRequest-Id: request-1\r\nResponse-Stamp: s\r\n\r\ndata: ";
    let part = vec![b'x'; PART_BYTES];
    let runners = start_runners(2, 1, head, part, SOUND_STREAM).await;
    let (_core, node) = start_node(&runners).await;
    let began_at = time::Instant::now();
    let answer = call(node, "/s/x").await;
    assert!(answer.contains("id: 1"), "{answer:.200}");
    assert!(
        began_at.elapsed() < SERVED_LIMIT,
        "{:?}",
        began_at.elapsed()
    );
}
