//! Completions: attempts over routes until the answer is complete.

use std::sync;
use std::time as std_time;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use tokio::time;

use crate::caller;
use crate::client;
use crate::document;
use crate::event;
use crate::id;
use crate::node;
use crate::route;
use crate::stream;
use crate::upstream;

/// Attempts after which an answer is given up.
const ATTEMPT_LIMIT: id::AttemptNumber = 6;

/// Silence of a route after which it counts as stalled.
const STALL_LIMIT: std_time::Duration = std_time::Duration::from_millis(400);

/// Time between two looks for a route while none exists.
const ROUTE_WAIT: std_time::Duration = std_time::Duration::from_millis(50);

/// Longest time to wait for a route while none exists.
const ROUTE_WAIT_LIMIT: std_time::Duration = std_time::Duration::from_millis(2_000);

/// Time after which a caller that was refused for want of a route may come back.
const REFUSAL_PAUSE: std_time::Duration = std_time::Duration::from_secs(1);

/// A completion as a caller asks for it.
#[derive(Clone, Debug)]
pub struct CompletionOrder {
    /// Request id.
    pub request: id::RequestId,
    /// Model to run.
    pub model: document::ModelSpec,
    /// Organisation that the caller belongs to.
    pub organisation: id::OrganisationName,
    /// Priority of the request.
    pub priority: document::RequestPriority,
    /// Prompt.
    pub prompt: String,
    /// Number of tokens in the whole answer.
    pub max_tokens: id::TokenIndex,
    /// Time by which the answer must be complete.
    pub deadline: time::Instant,
}

/// What is known when an attempt ended before its answer was complete.
#[derive(Clone, Copy, Debug)]
pub struct AttemptNotice<'a> {
    /// Completion that the attempt belongs to.
    pub order: &'a CompletionOrder,
    /// Ordinal of the attempt.
    pub attempt: id::AttemptNumber,
    /// Whether the completion ran in any attempt so far.
    pub ran: caller::RunOutcome,
    /// Stages of the attempt.
    pub route: &'a [upstream::RouteStage],
    /// Stage that is to blame, where it is known.
    pub blamed: Option<&'a upstream::RouteStage>,
}

/// Whether a further attempt may be made.
#[derive(Clone, Debug)]
pub enum RetryVerdict {
    /// It may be made.
    Retry,
    /// The caller gets this answer instead.
    Refuse(caller::CallerError),
}

/// Decides about attempts after the first, and hears of deaths.
pub trait RetryGate: Send + Sync {
    /// Tells whether the completion may be attempted again.
    fn may_retry(&self, notice: &AttemptNotice<'_>, now: time::Instant) -> RetryVerdict;

    /// Notes that the completion was running on an upstream that died.
    fn note_death(&self, order: &CompletionOrder, upstream: &str, now: time::Instant);
}

/// A gate that allows every attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenGate;

impl RetryGate for OpenGate {
    fn may_retry(&self, _notice: &AttemptNotice<'_>, _now: time::Instant) -> RetryVerdict {
        RetryVerdict::Retry
    }

    fn note_death(&self, _order: &CompletionOrder, _upstream: &str, _now: time::Instant) {}
}

/// A piece of an answer for the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerPiece {
    /// Text of one token.
    pub text: String,
    /// Set on the last piece.
    pub finish: Option<upstream::FinishReason>,
}

/// Makes one answer, piece by piece.
///
/// Dropping it closes the stream towards the upstream, which cancels the work.
pub struct CompletionDriver {
    core: sync::Arc<node::NodeCore>,
    order: CompletionOrder,
    answer: stream::AnswerState,
    open: Option<OpenAttempt>,
    ran: caller::RunOutcome,
    ended: bool,
}

struct OpenAttempt {
    body: hyper::body::Incoming,
    buffer: BytesMut,
    _guard: FlightGuard,
}

/// Counts an attempt against its upstreams while it lives.
struct FlightGuard {
    core: sync::Arc<node::NodeCore>,
    route: Vec<upstream::RouteStage>,
}

impl FlightGuard {
    fn new(core: &sync::Arc<node::NodeCore>, route: &[upstream::RouteStage]) -> Self {
        for stage in route {
            core.upstreams
                .change(&stage.upstream, stage.address, |state| state.in_flight += 1);
        }
        Self {
            core: sync::Arc::clone(core),
            route: route.to_vec(),
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        for stage in &self.route {
            self.core
                .upstreams
                .change(&stage.upstream, stage.address, |state| {
                    state.in_flight = state.in_flight.saturating_sub(1);
                });
        }
    }
}

/// Why an attempt ended before its answer was complete.
struct AttemptFailure {
    reason: String,
}

impl CompletionDriver {
    /// Creates a driver that has not begun.
    pub fn new(core: sync::Arc<node::NodeCore>, order: CompletionOrder) -> Self {
        let answer = stream::AnswerState::new(order.request.clone(), order.model.layers);
        Self {
            core,
            order,
            answer,
            open: None,
            ran: caller::RunOutcome::No,
            ended: false,
        }
    }

    /// Returns the next piece, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// [`caller::CallerError`] when the answer cannot be completed.
    pub async fn next(&mut self) -> Result<Option<AnswerPiece>, caller::CallerError> {
        while !self.ended {
            if time::Instant::now() >= self.order.deadline {
                return Err(self.give_up("the deadline has passed"));
            }
            let step = match &self.open {
                None => self.begin().await?,
                Some(_) => self.read_piece().await,
            };
            match step {
                Ok(None) => {}
                Ok(Some(piece)) => {
                    self.ended = piece.finish.is_some();
                    return Ok(Some(piece));
                }
                Err(failure) => self.fail_attempt(&failure)?,
            }
        }
        Ok(None)
    }

    async fn begin(
        &mut self,
    ) -> Result<Result<Option<AnswerPiece>, AttemptFailure>, caller::CallerError> {
        let route = self.find_route().await?;
        let attempt = self.answer.begin(route.clone());
        let detail = route
            .iter()
            .map(|stage| {
                format!(
                    "{}[{}..{}]",
                    stage.upstream, stage.layers.from, stage.layers.to
                )
            })
            .collect::<Vec<_>>()
            .join(" ");
        self.core.recorder.record(
            event::EventCode::RouteChosen,
            &self.order.request,
            format!("attempt {attempt}: {detail}"),
        );
        let guard = FlightGuard::new(&self.core, &route);
        let opened = time::timeout(STALL_LIMIT, self.open_stream(route)).await;
        Ok(match opened {
            Ok(Ok(body)) => {
                self.note_ran(caller::RunOutcome::Unknown);
                self.open = Some(OpenAttempt {
                    body,
                    buffer: BytesMut::new(),
                    _guard: guard,
                });
                Ok(None)
            }
            Ok(Err(error)) => {
                self.note_sent(&error);
                Err(AttemptFailure {
                    reason: error.to_string(),
                })
            }
            Err(_) => {
                self.note_ran(caller::RunOutcome::Unknown);
                Err(AttemptFailure {
                    reason: "the first stage did not answer".to_owned(),
                })
            }
        })
    }

    async fn find_route(&self) -> Result<Vec<upstream::RouteStage>, caller::CallerError> {
        let limit = time::Instant::now() + ROUTE_WAIT_LIMIT;
        loop {
            let now = time::Instant::now();
            let states = self.core.upstreams.snapshot();
            if let Some(route) = route::choose(&self.order.model, &states, now) {
                return Ok(route);
            }
            if now >= limit || now >= self.order.deadline {
                return Err(self.give_up("no route covers every layer"));
            }
            time::sleep(ROUTE_WAIT).await;
        }
    }

    async fn open_stream(
        &self,
        route: Vec<upstream::RouteStage>,
    ) -> Result<hyper::body::Incoming, client::ClientError> {
        let address = route[0].address;
        let request = upstream::StageRequest {
            request: self.order.request.clone(),
            attempt: self.answer.attempt(),
            model: self.order.model.name.clone(),
            prompt: self.order.prompt.clone(),
            delivered: self.answer.delivered().to_vec(),
            max_tokens: self.order.max_tokens,
            route,
            hop: 0,
        };
        let body = serde_json::to_vec(&request).map_err(|error| client::ClientError::NotSent {
            reason: error.to_string(),
        })?;
        let uri = format!("http://{address}{}", upstream::RUN_PATH);
        let request = http::Request::post(uri)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| client::ClientError::NotSent {
                reason: error.to_string(),
            })?;
        let response = self.core.engines.send(request).await?;
        let status = response.status().as_u16();
        if status != 200 {
            let body = client::read_body(response.into_body()).await?;
            return Err(client::ClientError::Status {
                status,
                body: String::from_utf8_lossy(&body).into_owned(),
            });
        }
        Ok(response.into_body())
    }

    async fn read_piece(&mut self) -> Result<Option<AnswerPiece>, AttemptFailure> {
        let Some(open) = &mut self.open else {
            return Ok(None);
        };
        if let Some(line) = split_line(&mut open.buffer) {
            return Ok(self.take_line(&line));
        }
        let frame = time::timeout(STALL_LIMIT, open.body.frame())
            .await
            .map_err(|_| AttemptFailure {
                reason: "the route stalled".to_owned(),
            })?;
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    open.buffer.extend_from_slice(&data);
                }
                Ok(None)
            }
            Some(Err(error)) => Err(AttemptFailure {
                reason: error.to_string(),
            }),
            None => Err(AttemptFailure {
                reason: "the stream ended early".to_owned(),
            }),
        }
    }

    fn take_line(&mut self, line: &[u8]) -> Option<AnswerPiece> {
        let checked = serde_json::from_slice::<upstream::StageToken>(line)
            .map_err(|error| error.to_string())
            .and_then(|token| match self.answer.accept(&token) {
                Ok(()) => Ok(token),
                Err(error) => Err(error.to_string()),
            });
        match checked {
            Ok(token) => {
                self.note_ran(caller::RunOutcome::Yes);
                self.core.metrics.tokens.inc();
                Some(AnswerPiece {
                    text: token.text,
                    finish: token.finish,
                })
            }
            Err(reason) => {
                self.core.metrics.dropped.inc();
                let subject = &self.order.request;
                self.core
                    .recorder
                    .record(event::EventCode::TokenDropped, subject, reason);
                None
            }
        }
    }

    fn fail_attempt(&mut self, failure: &AttemptFailure) -> Result<(), caller::CallerError> {
        self.open = None;
        let attempt = self.answer.attempt();
        // The first stage is blamed: the node has no evidence of the others.
        if let Some(stage) = self.answer.route().first() {
            self.core.upstreams.note_failure(&stage.upstream);
        }
        self.core.recorder.record(
            event::EventCode::AttemptFailed,
            &self.order.request,
            format!("attempt {attempt}: {}", failure.reason),
        );
        if attempt >= ATTEMPT_LIMIT {
            return Err(self.give_up("every attempt failed"));
        }
        let notice = AttemptNotice {
            order: &self.order,
            attempt,
            ran: self.ran,
            route: self.answer.route(),
            blamed: self.answer.route().first(),
        };
        let verdict = self.core.gate.may_retry(&notice, time::Instant::now());
        if let RetryVerdict::Refuse(error) = verdict {
            return Err(error);
        }
        self.core.metrics.retries.inc();
        Ok(())
    }

    fn note_sent(&mut self, error: &client::ClientError) {
        match error {
            // An error status comes before anything runs.
            client::ClientError::NotSent { .. } | client::ClientError::Status { .. } => {}
            client::ClientError::Lost { .. } => self.note_ran(caller::RunOutcome::Unknown),
        }
    }

    /// Raises the outcome; what once ran cannot become undone.
    fn note_ran(&mut self, ran: caller::RunOutcome) {
        if self.ran != caller::RunOutcome::Yes {
            self.ran = ran;
        }
    }

    fn give_up(&self, message: &str) -> caller::CallerError {
        caller::CallerError::new(http::StatusCode::SERVICE_UNAVAILABLE, "no_answer", message)
            .with_ran(self.ran)
            .with_pause(REFUSAL_PAUSE)
    }
}

/// Takes the first whole line off a buffer.
fn split_line(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line = buffer.split_to(end);
    buffer.advance(1);
    Some(line)
}
