//! HTTP responses of a gateway and their bodies.

use std::pin;
use std::task;
use std::time as std_time;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, combinators};
use hyper::body;
use tokio::sync::mpsc;

/// Error of a response body that ended before it was complete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the response body is incomplete")]
pub struct BodyError;

/// Body of a response. An error in it closes the connection, so that a
/// truncated response never looks complete.
pub type GatewayBody = combinators::UnsyncBoxBody<Bytes, BodyError>;

/// Response of a gateway.
pub type GatewayResponse = http::Response<GatewayBody>;

/// Body whose chunks come from a channel. An empty chunk marks its end; a
/// channel that closes before that is an error.
#[derive(Debug)]
pub struct ChannelBody {
    chunks: mpsc::Receiver<Bytes>,
    ended: bool,
}

impl ChannelBody {
    /// Creates a body of the chunks received from `chunks`.
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

/// Returns a body of known content.
pub fn full_body(bytes: Bytes) -> GatewayBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a plain-text body.
pub fn plain(status: http::StatusCode, text: &str) -> GatewayResponse {
    let mut response = http::Response::new(full_body(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns a 200 response with a JSON body.
pub fn json(bytes: Vec<u8>) -> GatewayResponse {
    let mut response = http::Response::new(full_body(Bytes::from(bytes)));
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Refusal or failure of a request, sent instead of a runner's response.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRefusal {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Cause, sent to the caller and logged.
    pub cause: String,
    /// Value of the `Retry-After` header. Set only for a request that has not
    /// run and never will.
    pub retry_after: Option<std_time::Duration>,
}

impl GatewayRefusal {
    /// Refuses a request that has not run and never will, with status 503.
    pub fn not_run(cause: impl Into<String>, retry_after: std_time::Duration) -> Self {
        Self {
            status: http::StatusCode::SERVICE_UNAVAILABLE,
            cause: cause.into(),
            retry_after: Some(retry_after),
        }
    }

    /// Reports the failure of a request that may have run.
    pub fn failed(status: http::StatusCode, cause: impl Into<String>) -> Self {
        Self {
            status,
            cause: cause.into(),
            retry_after: None,
        }
    }

    /// Converts the refusal to a response.
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
