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
pub struct BodyCut;

/// Body of an answer; an error closes the connection, so that a broken answer
/// never looks complete.
pub type GatewayBody = combinators::UnsyncBoxBody<Bytes, BodyCut>;

/// Answer of a gateway.
pub type GatewayAnswer = http::Response<GatewayBody>;

/// Body whose parts come by a channel; it is complete only after an empty part.
#[derive(Debug)]
pub struct ChannelBody {
    parts: mpsc::Receiver<Bytes>,
    ended: bool,
}

impl ChannelBody {
    /// Creates the body of what is sent by `parts`.
    pub fn new(parts: mpsc::Receiver<Bytes>) -> Self {
        Self {
            parts,
            ended: false,
        }
    }
}

impl body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyCut>>> {
        if self.ended {
            return task::Poll::Ready(None);
        }
        let part = task::ready!(self.parts.poll_recv(context));
        task::Poll::Ready(match part {
            Some(part) if part.is_empty() => {
                self.ended = true;
                None
            }
            Some(part) => Some(Ok(body::Frame::data(part))),
            None => {
                self.ended = true;
                Some(Err(BodyCut))
            }
        })
    }
}

/// Returns a body that is there as a whole.
pub fn whole(bytes: Bytes) -> GatewayBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a short answer in plain text.
pub fn plain(status: http::StatusCode, text: &str) -> GatewayAnswer {
    let mut answer = http::Response::new(whole(Bytes::copy_from_slice(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Returns a complete answer in JSON.
pub fn json(bytes: Vec<u8>) -> GatewayAnswer {
    let mut answer = http::Response::new(whole(Bytes::from(bytes)));
    let kind = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

/// Why a request gets no answer of a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayRefusal {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Cause, for the caller and the log.
    pub cause: String,
    /// When to come back, for a request that has not run and never will.
    pub pause: Option<std_time::Duration>,
}

impl GatewayRefusal {
    /// Creates a refusal of a request that has not run and never will.
    pub fn not_run(cause: impl Into<String>, pause: std_time::Duration) -> Self {
        Self {
            status: http::StatusCode::SERVICE_UNAVAILABLE,
            cause: cause.into(),
            pause: Some(pause),
        }
    }

    /// Creates the failure of a request that may have run.
    pub fn failed(status: http::StatusCode, cause: impl Into<String>) -> Self {
        Self {
            status,
            cause: cause.into(),
            pause: None,
        }
    }

    /// Returns the refusal as an answer.
    pub fn to_answer(&self) -> GatewayAnswer {
        let mut answer = plain(self.status, &self.cause);
        if let Some(pause) = self.pause {
            let seconds = format!("{:.2}", pause.as_secs_f64());
            if let Ok(seconds) = http::HeaderValue::from_str(&seconds) {
                answer
                    .headers_mut()
                    .insert(http::header::RETRY_AFTER, seconds);
            }
        }
        answer
    }
}
