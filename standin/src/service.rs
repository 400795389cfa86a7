//! Stand-in for a plain service, which counts what it ran.

use std::collections;
use std::net;
use std::sync;

use hyper::body;

use crate::fault;
use crate::server;

/// Number of runs by request body.
type RunCounts = sync::Arc<sync::Mutex<collections::BTreeMap<String, u64>>>;

/// Runs the service on `address`.
///
/// # Errors
///
/// When the address cannot be opened.
pub async fn run(address: net::SocketAddr) -> anyhow::Result<()> {
    let counts = RunCounts::default();
    let faults = fault::FaultSwitch::default();
    let switch = faults.clone();
    server::serve(address, faults, move |request| {
        answer(sync::Arc::clone(&counts), switch.clone(), request)
    })
    .await
}

async fn answer(
    counts: RunCounts,
    faults: fault::FaultSwitch,
    request: http::Request<body::Incoming>,
) -> server::StandinAnswer {
    let lock = || counts.lock().unwrap_or_else(sync::PoisonError::into_inner);
    if request.uri().path() == "/counts" {
        return Some(server::json(&*lock()));
    }
    let body: serde_json::Value = server::read_json(request).await.unwrap_or_default();
    let run = {
        let mut counts = lock();
        let count = counts.entry(body.to_string()).or_default();
        *count += 1;
        *count
    };
    if faults.take_lost() {
        return None;
    }
    Some(server::json(&serde_json::json!({"done": body, "run": run})))
}
