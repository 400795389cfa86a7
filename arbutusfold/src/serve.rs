//! The HTTP server of a node, in which a slow or broken client harms only itself.

use std::convert;
use std::future;
use std::sync;
use std::time as std_time;

use futures_util::FutureExt;
use hyper::body;
use hyper_util::rt;
use hyper_util::server::{conn, graceful};
use tokio::net;
use tokio::sync as tokio_sync;
use tokio::sync::watch;
use tokio::time;
use tokio_io_timeout::TimeoutStream;

/// Time to wait before accepting again after the system refused.
const ACCEPT_RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(20);

/// Time between the end of listening and the end of connections that idle.
const SHUTDOWN_GRACE: std_time::Duration = std_time::Duration::from_millis(100);

/// What one client may take of a node.
#[derive(Clone, Debug)]
pub struct ServeLimits {
    /// Longest time that the head of a request may take.
    pub header_timeout: std_time::Duration,
    /// Longest head of a request in bytes.
    pub header_bytes: usize,
    /// Longest time that a client may leave an answer unread.
    pub write_timeout: std_time::Duration,
    /// Connections at the same time; more are closed at once.
    pub connections: usize,
    /// Requests at the same time on one HTTP/2 connection.
    pub streams: u32,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_timeout: std_time::Duration::from_secs(10),
            header_bytes: 64 << 10,
            write_timeout: std_time::Duration::from_secs(30),
            connections: 10_000,
            streams: 256,
        }
    }
}

/// Serves connections until `closed`, then lets each finish by its own rules.
pub async fn serve<A, F, B>(
    listener: net::TcpListener,
    limits: ServeLimits,
    mut closed: watch::Receiver<bool>,
    answer: A,
) where
    A: Fn(http::Request<body::Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = Result<http::Response<B>, convert::Infallible>> + Send + 'static,
    B: body::Body<Data = bytes::Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let builder = builder(&limits);
    let watcher = graceful::GracefulShutdown::new();
    let permits = sync::Arc::new(tokio_sync::Semaphore::new(limits.connections));
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
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = sync::Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        // Without it small writes would wait for acknowledgements.
        let _ = socket.set_nodelay(true);
        let service =
            hyper_util::service::TowerToHyperService::new(tower::service_fn(answer.clone()));
        let mut stream = Box::pin(TimeoutStream::new(socket));
        stream
            .as_mut()
            .set_write_timeout_pinned(Some(limits.write_timeout));
        let connection = builder
            .serve_connection(rt::TokioIo::new(stream), service)
            .into_owned();
        let connection = watcher.watch(connection);
        tokio::spawn(async move {
            // A broken connection concerns its client alone.
            let _ = connection.await;
            drop(permit);
        });
    }
    // New connections are refused while the old ones finish.
    drop(listener);
    // A connection that was just accepted may have its request on the way.
    time::sleep(SHUTDOWN_GRACE).await;
    watcher.shutdown().await;
}

fn builder(limits: &ServeLimits) -> conn::auto::Builder<rt::TokioExecutor> {
    let mut builder = conn::auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .max_concurrent_streams(limits.streams)
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    builder
}
