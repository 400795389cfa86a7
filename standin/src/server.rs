//! The HTTP server that stand-ins share.

use std::convert;
use std::future;
use std::net;

use arbutusfold::listen;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators};
use hyper::{body, service};
use hyper_util::rt;
use hyper_util::server::conn;

use crate::fault;

/// Body of an answer.
pub type AnswerBody = combinators::UnsyncBoxBody<Bytes, convert::Infallible>;

/// Answer of a stand-in; `None` closes the connection without one.
pub type StandinAnswer = Option<http::Response<AnswerBody>>;

/// Serves `answer` on `address` over HTTP/1.1 and HTTP/2.
///
/// # Errors
///
/// When the address cannot be opened.
pub async fn serve<A, F>(
    address: net::SocketAddr,
    faults: fault::FaultSwitch,
    answer: A,
) -> anyhow::Result<()>
where
    A: Fn(http::Request<body::Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = StandinAnswer> + Send + 'static,
{
    let listener = listen::open(address)?;
    loop {
        let (socket, _) = listener.accept().await?;
        socket.set_nodelay(true)?;
        let answer = answer.clone();
        let faults = faults.clone();
        let handler = service::service_fn(move |request: http::Request<body::Incoming>| {
            let answer = answer.clone();
            let faults = faults.clone();
            async move {
                let given = match request.uri().path() {
                    fault::FAULT_PATH => change_faults(&faults, request).await,
                    _ if faults.plan().outage => Some(status(503)),
                    _ => {
                        faults.wait().await;
                        answer(request).await
                    }
                };
                given.ok_or("the answer is lost")
            }
        });
        tokio::spawn(async move {
            let mut builder = conn::auto::Builder::new(rt::TokioExecutor::new());
            builder.http2().max_concurrent_streams(4_096);
            let served = builder.serve_connection(rt::TokioIo::new(socket), handler);
            // A broken connection concerns its client alone.
            let _ = served.await;
        });
    }
}

async fn change_faults(
    faults: &fault::FaultSwitch,
    request: http::Request<body::Incoming>,
) -> StandinAnswer {
    match read_json(request).await {
        Some(plan) => {
            faults.set(plan);
            Some(status(200))
        }
        None => Some(status(400)),
    }
}

/// Reads a request's body as JSON.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    request: http::Request<body::Incoming>,
) -> Option<T> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}

/// Returns an empty answer.
pub fn status(code: u16) -> http::Response<AnswerBody> {
    let mut answer = http::Response::new(Full::default().boxed_unsync());
    *answer.status_mut() =
        http::StatusCode::from_u16(code).unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    answer
}

/// Returns an answer that holds `value` as JSON.
pub fn json<T: serde::Serialize>(value: &T) -> http::Response<AnswerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = http::Response::new(Full::new(Bytes::from(body)).boxed_unsync());
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    answer
}
