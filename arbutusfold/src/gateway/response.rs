//! Answers of a gateway and their bodies.

use std::pin;
use std::task;
use std::time as std_time;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, combinators};
use hyper::body;
use tokio::sync::mpsc;

/// Why an answer's body ended before it was complete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the answer broke off")]
pub struct BodyError;

/// Body of an answer; an error closes the connection, so that a broken answer
/// never looks complete.
pub type GatewayBody = combinators::UnsyncBoxBody<Bytes, BodyError>;

/// Answer of a gateway.
pub type GatewayResponse = http::Response<GatewayBody>;

/// Body whose parts come by a channel; it is complete only after an empty part.
#[derive(Debug)]
pub struct ChannelBody {
    chunks: mpsc::Receiver<Bytes>,
    ended: bool,
}

impl ChannelBody {
    /// Creates the body of what is sent by `chunks`.
    pub fn new(chunks: mpsc::Receiver<Bytes>) -> Self {
        Self {
            chunks,
            ended: false,
        }
    }
}

impl body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyError>>> {
        if self.ended {
            return task::Poll::Ready(None);
        }
        let chunk = task::ready!(self.chunks.poll_recv(context));
        task::Poll::Ready(match chunk {
            Some(chunk) if chunk.is_empty() => {
                self.ended = true;
                None
            }
            Some(chunk) => Some(Ok(body::Frame::data(chunk))),
            None => {
                self.ended = true;
                Some(Err(BodyError))
            }
        })
    }
}

/// Returns a body that is there as a whole.
pub fn full_body(bytes: Bytes) -> GatewayBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a short answer in plain text.
pub fn plain(status: http::StatusCode, text: &str) -> GatewayResponse {
    let mut response = http::Response::new(full_body(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns a complete answer in JSON.
pub fn json(bytes: Vec<u8>) -> GatewayResponse {
    let mut response = http::Response::new(full_body(Bytes::from(bytes)));
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Why a request gets no answer of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRefusal {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Cause, for the caller and the log.
    pub cause: String,
    /// When to come back, for a request that has not run and never will.
    pub retry_after: Option<std_time::Duration>,
}

impl GatewayRefusal {
    /// Creates a refusal of a request that has not run and never will.
    pub fn not_run(cause: impl Into<String>, retry_after: std_time::Duration) -> Self {
        Self {
            status: http::StatusCode::SERVICE_UNAVAILABLE,
            cause: cause.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Creates the failure of a request that may have run.
    pub fn failed(status: http::StatusCode, cause: impl Into<String>) -> Self {
        Self {
            status,
            cause: cause.into(),
            retry_after: None,
        }
    }

    /// Returns the refusal as an answer.
    pub fn to_response(&self) -> GatewayResponse {
        let mut response = plain(self.status, &self.cause);
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(seconds) = http::HeaderValue::from_str(&seconds) {
                response
                    .headers_mut()
                    .insert(http::header::RETRY_AFTER, seconds);
            }
        }
        response
    }
}
