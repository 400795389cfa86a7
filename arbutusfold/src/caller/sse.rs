//! Completions on the wire: whole, or as server-sent events.

use std::sync;

use bytes::Bytes;
use futures_util::stream as futures_stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body;
use serde::Serialize;

use crate::caller;
use crate::complete;
use crate::event;
use crate::id;
use crate::node;
use crate::traffic;
use crate::upstream;

/// Usual size of one server-sent event, in bytes.
const EVENT_CAPACITY_BYTES: usize = 256;

/// What every piece of one answer repeats.
pub(super) struct AnswerFrame {
    request: id::RequestId,
    id: String,
    created: u64,
    model: id::ModelName,
}

/// A completion as callers see it, whole or one piece of it.
#[derive(Serialize)]
pub(super) struct CompletionObject<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    text: &'a str,
    index: u32,
    logprobs: Option<()>,
    finish_reason: Option<&'static str>,
}

/// Tokens of a whole answer.
#[derive(Serialize)]
pub(super) struct TokenUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl TokenUsage {
    /// Counts an answer of `tokens`; prompts are not counted.
    pub(super) fn new(tokens: u64) -> Self {
        Self {
            prompt_tokens: 0,
            completion_tokens: tokens,
            total_tokens: tokens,
        }
    }
}

impl AnswerFrame {
    /// Creates the frame of an answer that begins now.
    pub(super) fn new(request: &str, model: &str) -> Self {
        Self {
            request: request.to_owned(),
            id: format!("cmpl-{request}"),
            created: event::unix_millis() / 1_000,
            model: model.to_owned(),
        }
    }

    /// Returns the whole answer or one piece of it.
    pub(super) fn object<'a>(
        &'a self,
        text: &'a str,
        finish: Option<upstream::FinishReason>,
        usage: Option<TokenUsage>,
    ) -> CompletionObject<'a> {
        CompletionObject {
            id: &self.id,
            object: "text_completion",
            created: self.created,
            model: &self.model,
            choices: [CompletionChoice {
                text,
                index: 0,
                logprobs: None,
                finish_reason: finish.map(upstream::FinishReason::as_str),
            }],
            usage,
        }
    }

    fn to_event(&self, piece: &complete::AnswerPiece) -> Bytes {
        let object = self.object(&piece.text, piece.finish, None);
        let mut event = Vec::with_capacity(EVENT_CAPACITY_BYTES);
        event.extend_from_slice(b"data: ");
        // Strings and numbers always serialize into memory.
        let _ = serde_json::to_writer(&mut event, &object);
        event.extend_from_slice(b"\n\n");
        Bytes::from(event)
    }
}

struct StreamState {
    core: sync::Arc<node::NodeCore>,
    driver: complete::CompletionDriver,
    frame: AnswerFrame,
    first: Option<complete::AnswerPiece>,
    tokens: u64,
    phase: StreamPhase,
    /// Given up as soon as the answer is complete or failed.
    pass: Option<traffic::EntryGuard>,
    _flight: node::InFlightGuard,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamPhase {
    Pieces,
    Done,
    Closed,
}

/// Returns an answer that sends each token as an event once it is there.
pub(super) fn stream_answer(
    core: &sync::Arc<node::NodeCore>,
    driver: complete::CompletionDriver,
    frame: AnswerFrame,
    first: Option<complete::AnswerPiece>,
    flight: node::InFlightGuard,
    pass: traffic::EntryGuard,
) -> caller::CallerAnswer {
    // A box keeps the stream from moving the whole state at each token.
    let state = Box::new(StreamState {
        core: sync::Arc::clone(core),
        driver,
        frame,
        first,
        tokens: 0,
        phase: StreamPhase::Pieces,
        pass: Some(pass),
        _flight: flight,
    });
    let frames = futures_stream::unfold(state, |mut state| async move {
        let data = next_event(&mut state).await?;
        Some((Ok(body::Frame::data(data)), state))
    });
    let mut answer = http::Response::new(StreamBody::new(frames).boxed_unsync());
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("text/event-stream"),
    );
    answer.headers_mut().insert(
        http::header::CACHE_CONTROL,
        http::HeaderValue::from_static("no-cache"),
    );
    answer
}

async fn next_event(state: &mut StreamState) -> Option<Bytes> {
    match state.phase {
        StreamPhase::Closed => return None,
        StreamPhase::Done => {
            state.phase = StreamPhase::Closed;
            caller::finished(&state.core, &state.frame.request, state.tokens);
            return Some(Bytes::from_static(b"data: [DONE]\n\n"));
        }
        StreamPhase::Pieces => {}
    }
    let piece = match state.first.take() {
        Some(piece) => Ok(Some(piece)),
        None => state.driver.next().await,
    };
    match piece {
        Ok(Some(piece)) => {
            state.tokens += 1;
            if let Some(pass) = &mut state.pass {
                pass.note_token();
            }
            if piece.finish.is_some() {
                state.phase = StreamPhase::Done;
                if let Some(mut pass) = state.pass.take() {
                    pass.note_answered();
                }
            }
            Some(state.frame.to_event(&piece))
        }
        Ok(None) => None,
        Err(error) => {
            state.phase = StreamPhase::Closed;
            state.pass = None;
            caller::refuse(&state.core, &state.frame.request, &error);
            Some(Bytes::from(format!("data: {}\n\n", error.to_json())))
        }
    }
}
