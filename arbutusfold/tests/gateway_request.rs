//! Attempts of requests at runners whose processes do not exist.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{core, held, mirror, request, routing, selector, trial};
use arbutusfold_platform::{head, store};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time;

const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/p/",
    "type":"idempotent","timeoutMs":2000,"goalMs":20,"maxAttempts":2,"public":true,"service":"s"}],
    "services":[{"name":"s","healthPath":"/health","maxConns":10,"protocol":"h1","tls":false}]}"#;

fn row(key: &str, value: String) -> mirror::MirrorRow {
    mirror::MirrorRow {
        key: key.to_owned(),
        version: store::RowVersion::new(0, 1),
        value: Some(Bytes::from(value)),
    }
}

/// Returns a node that knows runners at these addresses, `i-0` at the first one.
fn node(runners: &[net::SocketAddr]) -> sync::Arc<core::GatewayCore> {
    let core = gateway_network::core_of(&gateway_network::record(1));
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
    let rows = runners.iter().enumerate().map(entry).collect();
    core.merge(store::WatchedTable::Runners, rows);
    core
}

fn request(core: &sync::Arc<core::GatewayCore>) -> request::CallerRequest {
    let table = core.routing().unwrap();
    let routing::RouteVerdict::Allowed {
        rule,
        priority,
        rank,
        ..
    } = table.decide("h", "/p/x", None)
    else {
        panic!("no route");
    };
    let now = time::Instant::now();
    let call = request::AdmittedCall {
        rule: rule.clone(),
        priority,
        rank,
        service: "s".to_owned(),
        head: head::CallerHead {
            request: "request-1".to_owned(),
            ..head::CallerHead::default()
        },
        parts: http::Request::get("/p/x").body(()).unwrap().into_parts().0,
        body: Bytes::new(),
        organisation: None,
        started: now,
        deadline: now + std_time::Duration::from_secs(2),
        table: sync::Arc::clone(&table),
    };
    request::CallerRequest::new(core, call)
}

/// Returns an address at which no process listens.
fn closed_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A runner that refused one request's connection is not the last resort of the
/// next one, which is refused at once for the true cause.
#[tokio::test]
async fn runner_whose_process_is_gone_is_no_last_resort() {
    let core = node(&[closed_address()]);
    let mut first = request(&core);
    let target = first.acquire_target().await.unwrap();
    first.send(&target, None).await;
    let next = request(&core).acquire_target().await;
    assert_eq!(next, Err(selector::PathError::Unreachable));
}

/// A node that reaches no runner may be cut off from all of them, so it takes none
/// for gone and avoids none.
#[tokio::test]
async fn node_that_reaches_no_runner_takes_none_for_gone() {
    let core = node(&[closed_address(), closed_address()]);
    let mut first = request(&core);
    for _ in 0..2 {
        let target = first.acquire_target().await.unwrap();
        first.send(&target, None).await;
    }
    assert!(request(&core).acquire_target().await.is_ok());
    let fleet = core.fleet.lock().unwrap();
    let now = time::Instant::now();
    let runners = fleet.runners().iter();
    assert!(runners.into_iter().all(|state| !state.is_avoided(now)));
}

/// A node that reaches another runner knows that the one that refused it is gone.
#[tokio::test]
async fn node_that_reaches_another_runner_takes_a_closed_one_for_gone() {
    let live = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = live.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = live.accept().await {
            let answer = "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n";
            socket.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    let core = node(&[closed_address(), address]);
    let mut first = request(&core);
    let target = first.acquire_target().await.unwrap();
    assert_eq!(target.runners, ["i-0"]);
    first.send(&target, None).await;
    let now = time::Instant::now();
    let fleet = core.fleet.lock().unwrap();
    assert!(fleet.get("i-0").unwrap().is_unreachable(now));
}

/// An attempt that reached no runner is no retry: a request may go on without any
/// budget, which a node that has just started does not have.
#[tokio::test]
async fn attempt_that_reached_no_runner_takes_no_retry() {
    let core = node(&[closed_address(), closed_address()]);
    let mut request = request(&core);
    let target = request.acquire_target().await.unwrap();
    let outcome = request.send(&target, None).await;
    let request::AttemptOutcome::Unanswered { reach, .. } = outcome else {
        panic!("a runner answered");
    };
    assert!(!request.claim_retry(request::AttemptReach::NotRun).await);
    assert!(request.claim_retry(reach).await, "{reach:?}");
    assert_eq!(request.executed, 0);
    let other = request.acquire_target().await.unwrap();
    assert_ne!(other.runners, target.runners);
}

/// A runner that is silent on connecting may exist, so it stays usable.
#[tokio::test]
async fn runner_that_does_not_answer_a_connection_is_not_held_for_gone() {
    // The queue of this listener holds one connection; further ones get no answer.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let held = net::TcpStream::connect(address).unwrap();
    let core = node(&[address]);
    let mut first = request(&core);
    let target = first.acquire_target().await.unwrap();
    first.send(&target, None).await;
    assert!(request(&core).acquire_target().await.is_ok());
    drop((held, listener));
}

/// A trial that a silent runner rejects after all did not run, so it counts neither as
/// a run nor against the request.
#[tokio::test]
async fn late_rejection_of_a_trial_is_no_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut sockets = Vec::new();
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            // Other connections ask whether the runner is alive; only the request is
            // answered.
            let mut head = [0; 8];
            let read = time::timeout(std_time::Duration::from_millis(10), socket.read(&mut head));
            if matches!(read.await, Ok(Ok(8))) && head != *b"GET /v1/" {
                time::sleep(std_time::Duration::from_millis(100)).await;
                let head = "HTTP/1.1 421 X\r\nRequest-Id: request-1\r\nContent-Length: 0\r\n\r\n";
                socket.write_all(head.as_bytes()).await.unwrap();
            }
            sockets.push(socket);
        }
    });
    let core = node(&[address]);
    let mut request = request(&core);
    request.trial = trial::claim(&core, &request.fingerprint()).await;
    assert!(request.trial.is_some());
    let target = request.acquire_target().await.unwrap();
    let outcome = request.send(&target, None).await;
    let request::AttemptOutcome::Silent { answer, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(request.executed, 1);
    let mut runs = held::HeldRuns::<()>::default();
    runs.push(async move {
        let fault = answer.wait_valid("request-1").await.unwrap_err();
        Err(fault.at(target, false))
    });
    assert!(runs.wait(std_time::Duration::from_secs(1)).await.is_none());
    request.note_held_failures(&mut runs);
    assert_eq!(request.executed, 0);
    let state = request.trial.as_ref().map(|permit| permit.state);
    assert_eq!(state, Some(trial::PermitState::Rejected));
}
