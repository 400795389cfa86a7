//! HTTP server of a node, with limits that keep a slow or faulty client from
//! affecting others.

use std::convert;
use std::future;
use std::io;
use std::net as std_net;
use std::pin;
use std::sync;
use std::task as std_task;
use std::time as std_time;

use futures_util::FutureExt;
use hyper::{body, service};
use hyper_util::rt;
use hyper_util::server::{conn, graceful};
use tokio::net;
use tokio::sync::watch as tokio_watch;
use tokio::{task, time};
use tokio_io_timeout::TimeoutStream;

pub mod crowd;
mod linger;
mod watch;

/// Delay before accepting again after the system failed to accept a connection.
const ACCEPT_RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(20);

/// Time between closing the listener and closing idle connections.
const SHUTDOWN_GRACE: std_time::Duration = std_time::Duration::from_millis(100);

/// Delay of each request of a client that sends many ahead. It leaves the processor to
/// clients that wait for their answers.
const SENT_AHEAD_DELAY: std_time::Duration = std_time::Duration::from_millis(250);

/// Limits on the time and resources that clients may use.
#[derive(Clone, Debug)]
pub struct ServeLimits {
    /// Maximum time for receiving the header of a request.
    pub header_timeout: std_time::Duration,
    /// Maximum size of the header of a request in bytes.
    pub header_bytes: usize,
    /// Maximum time for which a client that doesn't read can block a write.
    pub write_timeout: std_time::Duration,
    /// Maximum time from the first byte of the header of a request to its end.
    pub head_time: Option<std_time::Duration>,
    /// Maximum number of header fields of a request.
    pub fields: usize,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
    /// Whether a connection that is stalled or idle is closed for a further one.
    pub is_yielding: bool,
    /// Maximum number of concurrent requests on one HTTP/2 connection; `None` serves
    /// HTTP/1 only.
    pub streams: Option<u32>,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_timeout: std_time::Duration::from_secs(10),
            header_bytes: 64 << 10,
            write_timeout: std_time::Duration::from_secs(30),
            head_time: None,
            fields: 100,
            connections: 10_000,
            is_yielding: false,
            streams: Some(256),
        }
    }
}

/// Cause for which a listener closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// It gave way to a new connection.
    Yielded,
    /// It is new, and no other connection gives way.
    Full,
    /// The head of a request took too long.
    HeadTime,
    /// Its client does not read an answer whose memory others need.
    Unread,
}

/// Decides on the limits of a listener while it serves, and learns what they do.
pub trait ServePolicy: Send + Sync + 'static {
    /// Returns the limits for a connection that opens now.
    fn limits(&self) -> ServeLimits;

    /// Returns the open connections that the listener's own are counted with.
    fn crowd(&self) -> sync::Arc<crowd::ConnectionCrowd> {
        sync::Arc::default()
    }

    /// Notes a connection that was closed because of a limit.
    fn note_closed(&self, _cause: CloseCause) {}

    /// Notes the number of open connections of the crowd.
    fn note_open(&self, _count: usize) {}
}

impl ServePolicy for ServeLimits {
    fn limits(&self) -> ServeLimits {
        self.clone()
    }
}

/// Extension of a request: the connection on which it came.
#[derive(Clone, Debug)]
pub struct RequestConnection(pub sync::Arc<crowd::ConnectionState>);

/// Body of an answer; its request is open until the body was sent.
struct AnswerBody<B> {
    body: B,
    _request: crowd::OpenRequest,
}

impl<B: body::Body + Unpin> body::Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
    ) -> std_task::Poll<Option<Result<body::Frame<B::Data>, B::Error>>> {
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// Serves connections until `closed` is true, then shuts down each one
/// gracefully.
pub async fn serve<A, F, B>(
    listener: net::TcpListener,
    policy: impl ServePolicy,
    mut closed: tokio_watch::Receiver<bool>,
    answer: A,
) where
    A: Fn(http::Request<body::Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = Result<http::Response<B>, convert::Infallible>> + Send + 'static,
    B: body::Body<Data = bytes::Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let policy = sync::Arc::new(policy);
    let shutdown = graceful::GracefulShutdown::new();
    let crowd = policy.crowd();
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
        let Ok((socket, address)) = accepted else {
            // Probably too many open files: wait until some are closed.
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let limits = policy.limits();
        let admitted = crowd.admit(address.ip(), limits.connections, limits.is_yielding);
        let Some((member, has_yielded)) = admitted else {
            policy.note_closed(CloseCause::Full);
            continue;
        };
        if has_yielded {
            policy.note_closed(CloseCause::Yielded);
        }
        policy.note_open(crowd.count());
        // Otherwise small writes would wait for acknowledgements.
        let _ = socket.set_nodelay(true);
        let state = sync::Arc::clone(&member.state);
        let stream = linger::LingeringStream::new(socket);
        let stream = watch::WatchedStream::new(stream, sync::Arc::clone(&state), limits.head_time);
        let mut stream = Box::pin(TimeoutStream::new(stream));
        stream
            .as_mut()
            .set_write_timeout_pinned(Some(limits.write_timeout));
        let answer = answer.clone();
        let service = service::service_fn(move |mut request: http::Request<body::Incoming>| {
            let has_body = !body::Body::is_end_stream(request.body());
            let open_request = state.begin_request(limits.is_yielding && has_body);
            let connection_state = sync::Arc::clone(&state);
            let connection = RequestConnection(sync::Arc::clone(&state));
            request.extensions_mut().insert(connection);
            let answered = answer(request);
            async move {
                if limits.is_yielding && connection_state.is_sending_ahead() {
                    time::sleep(SENT_AHEAD_DELAY).await;
                }
                let mut response = answered.await?;
                // Nobody reads the rest of a body whose request is answered.
                if connection_state.is_body_open() {
                    let close = http::HeaderValue::from_static("close");
                    let name = http::header::CONNECTION;
                    response.headers_mut().insert(name, close);
                }
                Ok::<_, convert::Infallible>(response.map(|body| AnswerBody {
                    body,
                    _request: open_request,
                }))
            }
        });
        let connection = connection_builder(&limits)
            .serve_connection(rt::TokioIo::new(stream), service)
            .into_owned();
        let connection = shutdown.watch(connection);
        let policy = sync::Arc::clone(&policy);
        let crowd = sync::Arc::clone(&crowd);
        tokio::spawn(async move {
            // An error of a connection affects only its client.
            tokio::select! {
                _ = connection => {}
                () = member.state.closed() => {
                    if member.is_listed() {
                        policy.note_closed(CloseCause::Unread);
                    }
                }
            }
            if member.state.is_late() {
                policy.note_closed(CloseCause::HeadTime);
            }
            drop(member);
            policy.note_open(crowd.count());
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
        .max_headers(limits.fields)
        .max_buf_size(limits.header_bytes);
    let Some(streams) = limits.streams else {
        return builder.http1_only();
    };
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .max_concurrent_streams(streams)
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout);
    builder
}
