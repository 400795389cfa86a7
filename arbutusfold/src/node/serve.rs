//! The serving of connections, until a stop lets each finish by its own rules.

use std::future;
use std::sync;
use std::time as std_time;

use futures_util::FutureExt;
use hyper::body;
use hyper_util::rt;
use hyper_util::server::{conn, graceful};
use tokio::sync::watch;
use tokio::time;

use super::NodeCore;
use crate::caller;
use crate::id;

/// Longest time that the head of a request may take.
const HEAD_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(10);

/// Time between the end of listening and the end of connections that idle.
const CLOSE_GRACE: std_time::Duration = std_time::Duration::from_millis(100);

/// Counts a request as in flight while it lives.
pub struct FlightCount {
    core: sync::Arc<NodeCore>,
    request: id::RequestId,
}

impl FlightCount {
    /// Counts a request.
    pub fn new(core: &sync::Arc<NodeCore>, request: &str) -> Self {
        core.metrics.in_flight.inc();
        core.flights.begin(request);
        Self {
            core: sync::Arc::clone(core),
            request: request.to_owned(),
        }
    }
}

impl Drop for FlightCount {
    fn drop(&mut self) {
        self.core.metrics.in_flight.dec();
        self.core.flights.end(&self.request);
    }
}

/// Serves connections until `closed`, then lets each finish by its own rules.
pub(super) async fn serve<A, F>(
    listener: tokio::net::TcpListener,
    core: sync::Arc<NodeCore>,
    mut closed: watch::Receiver<bool>,
    answer: A,
) where
    A: Fn(sync::Arc<NodeCore>, http::Request<body::Incoming>) -> F + Copy + Send + 'static,
    F: future::Future<Output = Result<caller::CallerAnswer, std::convert::Infallible>>
        + Send
        + 'static,
{
    let mut builder = conn::auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIME_LIMIT);
    builder.http2().timer(rt::TokioTimer::new());
    let watcher = graceful::GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|closed| *closed) => {
                // What waits to be accepted is still served.
                match listener.accept().now_or_never() {
                    Some(accepted) => accepted,
                    None => break,
                }
            }
        };
        let Ok((socket, _)) = accepted else {
            // Too many open files: wait for some to close.
            time::sleep(std_time::Duration::from_millis(20)).await;
            continue;
        };
        // Without it small writes would wait for acknowledgements.
        let _ = socket.set_nodelay(true);
        let core = sync::Arc::clone(&core);
        let service = tower::service_fn(move |request| answer(sync::Arc::clone(&core), request));
        let service = hyper_util::service::TowerToHyperService::new(service);
        let connection = builder
            .serve_connection(rt::TokioIo::new(socket), service)
            .into_owned();
        let connection = watcher.watch(connection);
        // A broken connection concerns its caller alone.
        tokio::spawn(async move { drop(connection.await) });
    }
    drop(listener);
    // A connection that was just accepted may have its request on the way.
    time::sleep(CLOSE_GRACE).await;
    watcher.shutdown().await;
}
