//! HTTP server of a node, with limits that keep a slow or faulty client from
//! affecting others.

use std::convert;
use std::future;
use std::io;
use std::net as std_net;
use std::sync;
use std::time as std_time;

use futures_util::FutureExt;
use hyper::body;
use hyper_util::rt;
use hyper_util::server::{conn, graceful};
use tokio::net;
use tokio::sync as tokio_sync;
use tokio::sync::watch;
use tokio::{task, time};
use tokio_io_timeout::TimeoutStream;

mod linger;

/// Delay before accepting again after the system failed to accept a connection.
const ACCEPT_RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(20);

/// Time between closing the listener and closing idle connections.
const SHUTDOWN_GRACE: std_time::Duration = std_time::Duration::from_millis(100);

/// Limits on the time and resources that clients may use.
#[derive(Clone, Debug)]
pub struct ServeLimits {
    /// Maximum time for receiving the header of a request.
    pub header_timeout: std_time::Duration,
    /// Maximum size of the header of a request in bytes.
    pub header_bytes: usize,
    /// Maximum time for which a client that doesn't read can block a write.
    pub write_timeout: std_time::Duration,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
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

/// Serves connections until `closed` is true, then shuts down each one
/// gracefully.
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
    let builder = connection_builder(&limits);
    let shutdown = graceful::GracefulShutdown::new();
    let permits = sync::Arc::new(tokio_sync::Semaphore::new(limits.connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = async { closed.wait_for(|closed| *closed).await.is_ok() } => {
                match accept_waiting(&listener).await {
                    Some(accepted) => accepted,
                    None => break,
                }
            }
        };
        let Ok((socket, _)) = accepted else {
            // Probably too many open files: wait until some are closed.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = sync::Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        // Otherwise small writes would wait for acknowledgements.
        let _ = socket.set_nodelay(true);
        let service =
            hyper_util::service::TowerToHyperService::new(tower::service_fn(answer.clone()));
        let stream = linger::LingeringStream::new(socket);
        let mut stream = Box::pin(TimeoutStream::new(stream));
        stream
            .as_mut()
            .set_write_timeout_pinned(Some(limits.write_timeout));
        let connection = builder
            .serve_connection(rt::TokioIo::new(stream), service)
            .into_owned();
        let connection = shutdown.watch(connection);
        tokio::spawn(async move {
            // An error of a connection affects only its client.
            let _ = connection.await;
            drop(permit);
        });
    }
    // New connections are refused while the open ones finish.
    drop(listener);
    // The request of a connection that was just accepted may still be in transit.
    time::sleep(SHUTDOWN_GRACE).await;
    shutdown.shutdown().await;
}

/// An accepted connection with the address of its client.
type Accepted = io::Result<(net::TcpStream, std_net::SocketAddr)>;

/// Accepts a connection that is already in the backlog; those are still served.
async fn accept_waiting(listener: &net::TcpListener) -> Option<Accepted> {
    let accepted = accept_now(listener);
    if accepted.is_some() {
        return accepted;
    }
    // Lets the runtime learn of connections since its last look.
    task::yield_now().await;
    accept_now(listener)
}

fn accept_now(listener: &net::TcpListener) -> Option<Accepted> {
    // A task that has done much is told that nothing is there, so that it yields.
    task::coop::unconstrained(listener.accept()).now_or_never()
}

fn connection_builder(limits: &ServeLimits) -> conn::auto::Builder<rt::TokioExecutor> {
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
