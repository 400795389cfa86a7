//! Runs completions: starts attempts on routes until the answer is complete.

use std::pin;
use std::sync;
use std::time as std_time;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use tokio::time;

use crate::attempt;
use crate::caller;
use crate::choose;
use crate::client;
use crate::document;
use crate::event;
use crate::id;
use crate::node;
use crate::route;
use crate::stream;
use crate::upstream;

/// Time between two searches for a route while none exists.
const ROUTE_POLL_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);

/// Maximum wait for a route before the first token.
const ROUTE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_000);

/// Maximum wait for a route once a token was delivered.
const RESUME_ROUTE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(10);

/// Assumed bytes of text per prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Maximum delay between a due stall check and its timer; the timer is moved earlier
/// only if the delay would be longer.
const TIMER_SLACK: std_time::Duration = std_time::Duration::from_millis(50);

/// Time after which a caller whose completion failed may retry it.
const RETRY_AFTER: std_time::Duration = std_time::Duration::from_secs(1);

/// A caller's request for a completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Request id.
    pub id: id::RequestId,
    /// Model to run.
    pub model: document::ModelSpec,
    /// Ticket that identifies the request within its node.
    pub ticket: id::TicketNumber,
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

/// Input for the decision on a retry, after an attempt that did not complete the
/// answer.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext<'a> {
    /// Completion that the attempt belongs to.
    pub request: &'a CompletionRequest,
    /// Ordinal of the attempt.
    pub attempt: id::AttemptNumber,
    /// Whether the completion ran in any attempt so far.
    pub ran: caller::RunOutcome,
    /// Stages of the attempt.
    pub route: &'a [upstream::RouteStage],
    /// Stage that the failure is attributed to, if known.
    pub failed_stage: Option<&'a upstream::RouteStage>,
    /// False only if nothing of this attempt reached its first stage.
    pub sent: bool,
    /// Whether this attempt delivered a token.
    pub progress: bool,
}

/// Decision on a retry.
#[derive(Clone, Debug)]
pub enum RetryVerdict {
    /// Another attempt is allowed.
    Retry {
        /// Upstreams that the next attempts should avoid.
        avoid: Vec<id::UpstreamName>,
    },
    /// The completion fails with this error.
    Refuse(caller::CallerError),
}

/// Decides on attempts after the first, and records routes and crashes.
#[async_trait::async_trait]
pub trait RetryGate: Send + Sync {
    /// Decides whether the completion may be attempted again.
    async fn may_retry(&self, context: &RetryContext<'_>, now: time::Instant) -> RetryVerdict;

    /// Records that an upstream crashed while the completion was running on it.
    ///
    /// It is called before [`Self::may_retry`], once for each such attempt.
    fn note_crash(&self, request: &CompletionRequest, upstream: &str, now: time::Instant);

    /// Records the route of an attempt that begins.
    fn note_route(&self, _request: &CompletionRequest, _route: &[upstream::RouteStage]) {}
}

/// A gate that allows every attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenGate;

#[async_trait::async_trait]
impl RetryGate for OpenGate {
    async fn may_retry(&self, _context: &RetryContext<'_>, _now: time::Instant) -> RetryVerdict {
        RetryVerdict::Retry { avoid: Vec::new() }
    }

    fn note_crash(&self, _request: &CompletionRequest, _upstream: &str, _now: time::Instant) {}
}

/// A piece of an answer for the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerPiece {
    /// Text of one token.
    pub text: String,
    /// Set on the last piece.
    pub finish: Option<upstream::FinishReason>,
}

/// Runs one completion and returns its answer piece by piece.
///
/// Dropping it closes the stream to the upstream, which cancels the work there.
pub struct CompletionDriver {
    core: sync::Arc<node::NodeCore>,
    request: CompletionRequest,
    answer: stream::AnswerState,
    open: Option<OpenAttempt>,
    policy: attempt::AttemptPolicy,
    ran: caller::RunOutcome,
    ended: bool,
}

struct OpenAttempt {
    body: hyper::body::Incoming,
    buffer: BytesMut,
    /// Fires for the next stall check, up to `TIMER_SLACK` late. Moving it to a later
    /// time takes no lock.
    timer: pin::Pin<Box<time::Sleep>>,
    detector: attempt::StallDetector,
    estimator: stream::GapEstimator,
    guard: LoadGuard,
}

impl OpenAttempt {
    fn note_token(&mut self) {
        let now = time::Instant::now();
        self.estimator.note(now);
        self.guard.progress.note(now);
        self.detector.note_token(&self.estimator, now);
        let next = self.detector.next_check();
        let deadline = self.timer.deadline();
        if next > deadline || next + TIMER_SLACK < deadline {
            self.timer.as_mut().reset(next);
        }
    }

    /// Returns the next frame, or `None` if the attempt has stalled or `limit` has
    /// passed.
    async fn next_frame(&mut self, limit: time::Instant) -> Option<FrameResult> {
        loop {
            tokio::select! {
                biased;
                frame = self.body.frame() => return Some(frame),
                () = &mut self.timer => {}
            }
            let now = time::Instant::now();
            if now >= limit {
                return None;
            }
            if now >= self.detector.next_check() {
                let table = self.guard.core.routes.lock();
                let stalled = self.detector.has_stalled(&self.guard.route, &table, now);
                if stalled {
                    return None;
                }
            }
            self.timer
                .as_mut()
                .reset(self.detector.next_check().min(limit));
        }
    }
}

type FrameResult = Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>;

/// Counts an attempt as load of its upstreams until it is dropped.
struct LoadGuard {
    core: sync::Arc<node::NodeCore>,
    route: Vec<upstream::RouteStage>,
    progress: route::ProgressHandle,
    outcome: route::AttemptOutcome,
}

impl LoadGuard {
    fn new(core: &sync::Arc<node::NodeCore>, route: &[upstream::RouteStage]) -> Self {
        let progress = core.routes.lock().begin(route, time::Instant::now());
        Self {
            progress,
            core: sync::Arc::clone(core),
            route: route.to_vec(),
            outcome: route::AttemptOutcome::default(),
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now = time::Instant::now();
        self.core.routes.lock().end(&self.route, self.outcome, now);
    }
}

/// Result of one line of a stream.
enum LineOutcome {
    Piece(AnswerPiece),
    Dropped,
    Failed(attempt::AttemptFailure),
}

type AttemptStep = Result<Option<AnswerPiece>, attempt::AttemptFailure>;

impl CompletionDriver {
    /// Creates a driver; the first attempt starts with the first call of
    /// [`Self::next`].
    pub fn new(core: sync::Arc<node::NodeCore>, request: CompletionRequest) -> Self {
        // Callers may send the same request id many times, so it could not reveal a
        // token of another request. Engines get a fresh id instead.
        let answer = stream::AnswerState::new(id::new_request_id(), request.model.layers);
        Self {
            core,
            request,
            answer,
            open: None,
            policy: attempt::AttemptPolicy::default(),
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
            let step = match &self.open {
                None => self.begin_attempt().await?,
                Some(_) => self.read_piece().await,
            };
            match step {
                Ok(None) => {}
                Ok(Some(piece)) => {
                    if piece.finish.is_some() {
                        self.finish();
                    }
                    return Ok(Some(piece));
                }
                Err(failure) => self.handle_failure(&failure).await?,
            }
        }
        Ok(None)
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(mut open) = self.open.take() {
            open.guard.outcome.complete = true;
            open.guard.outcome.gap = open.estimator.average();
        }
    }

    async fn begin_attempt(&mut self) -> Result<AttemptStep, caller::CallerError> {
        let route = self.find_route().await?;
        let attempt = self.answer.begin(route.clone());
        self.core.recorder.record(
            event::EventCode::RouteChosen,
            &self.request.id,
            format!("attempt {attempt}: {}", format_route(&route)),
        );
        self.core.retry_gate.note_route(&self.request, &route);
        let guard = LoadGuard::new(&self.core, &route);
        let recent = self.core.routes.lock().recent_gap(&route);
        let begun = time::Instant::now();
        let estimator = stream::GapEstimator::new(recent);
        let limit =
            estimator.first_token_timeout(self.prefill_tokens()) * self.policy.timeout_factor();
        let due = (begun + limit).min(self.request.deadline);
        let opened = time::timeout_at(due, self.open_stream(route)).await;
        let detector = attempt::StallDetector::new(begun, limit);
        Ok(match opened {
            Ok(Ok(body)) => {
                self.note_ran(caller::RunOutcome::Unknown);
                self.open = Some(OpenAttempt {
                    body,
                    buffer: BytesMut::new(),
                    timer: Box::pin(time::sleep_until(detector.next_check())),
                    detector,
                    estimator,
                    guard,
                });
                Ok(None)
            }
            Ok(Err(error)) => Err(self.classify_error(error)),
            Err(_) => {
                self.note_ran(caller::RunOutcome::Unknown);
                Err(attempt::AttemptFailure::NoResponse)
            }
        })
    }

    /// Converts an error of the call to the first stage into a failure of the attempt.
    fn classify_error(&mut self, error: client::ClientError) -> attempt::AttemptFailure {
        match error {
            client::ClientError::NotSent { reason } => attempt::AttemptFailure::NotSent { reason },
            client::ClientError::Status { status: 409, .. } => attempt::AttemptFailure::Refused,
            client::ClientError::Status { status, .. } => {
                attempt::AttemptFailure::ErrorStatus { status }
            }
            client::ClientError::Lost { reason } => {
                self.note_ran(caller::RunOutcome::Unknown);
                attempt::AttemptFailure::ConnectionLost { reason }
            }
        }
    }

    /// Returns the estimated number of tokens that the next attempt must process
    /// before it generates one.
    fn prefill_tokens(&self) -> usize {
        self.request.prompt.len() / BYTES_PER_TOKEN + self.answer.delivered().len()
    }

    async fn find_route(&self) -> Result<Vec<upstream::RouteStage>, caller::CallerError> {
        let wait = match self.answer.delivered().is_empty() {
            true => ROUTE_TIMEOUT,
            false => RESUME_ROUTE_TIMEOUT,
        };
        let limit = (time::Instant::now() + wait).min(self.request.deadline);
        let query = choose::ChoiceQuery {
            model: &self.request.model.name,
            prompt: &self.request.prompt,
            previous: self.answer.route(),
            avoid: self.policy.avoid(),
        };
        loop {
            let now = time::Instant::now();
            if now >= self.request.deadline {
                return Err(self.no_answer("the deadline has passed"));
            }
            let route = self
                .core
                .routes
                .lock()
                .choose(&query, now, &mut rand::rng());
            if let Some(route) = route {
                return Ok(route);
            }
            if now >= limit {
                return Err(self.no_answer("no route covers every layer"));
            }
            time::sleep(ROUTE_POLL_INTERVAL).await;
        }
    }

    async fn open_stream(
        &self,
        route: Vec<upstream::RouteStage>,
    ) -> Result<hyper::body::Incoming, client::ClientError> {
        let address = route[0].address;
        let request = upstream::StageRequest {
            request: self.answer.request().to_owned(),
            attempt: self.answer.attempt(),
            model: self.request.model.name.clone(),
            priority: self.request.priority,
            prompt: self.request.prompt.clone(),
            delivered: self.answer.delivered().to_vec(),
            max_tokens: self.request.max_tokens,
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

    async fn read_piece(&mut self) -> AttemptStep {
        let Some(open) = &mut self.open else {
            return Ok(None);
        };
        if let Some(line) = split_line(&mut open.buffer) {
            return match self.handle_line(&line) {
                LineOutcome::Piece(piece) => Ok(Some(piece)),
                LineOutcome::Dropped => Ok(None),
                LineOutcome::Failed(failure) => Err(failure),
            };
        }
        match open.next_frame(self.request.deadline).await {
            Some(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    open.buffer.extend_from_slice(&data);
                }
                Ok(None)
            }
            Some(Some(Err(error))) => Err(attempt::AttemptFailure::ConnectionLost {
                reason: error.to_string(),
            }),
            Some(None) => Err(attempt::AttemptFailure::EndedEarly),
            None => Err(attempt::AttemptFailure::Stalled),
        }
    }

    fn handle_line(&mut self, line: &[u8]) -> LineOutcome {
        let token = match serde_json::from_slice::<upstream::TokenView<'_>>(line) {
            Ok(token) => token,
            Err(error) => return self.handle_fault(line, &error),
        };
        if let Err(error) = self.answer.accept(&token) {
            self.note_dropped(error.to_string());
            return match error.breaks_stream() {
                true => LineOutcome::Failed(attempt::AttemptFailure::InvalidToken(error)),
                false => LineOutcome::Dropped,
            };
        }
        self.note_token();
        LineOutcome::Piece(AnswerPiece {
            text: token.text.into_owned(),
            finish: token.finish,
        })
    }

    fn handle_fault(&mut self, line: &[u8], error: &serde_json::Error) -> LineOutcome {
        let fault = serde_json::from_slice::<upstream::StageFault>(line)
            .ok()
            .filter(|fault| self.answer.is_current(&fault.request, fault.attempt));
        let Some(fault) = fault else {
            self.note_dropped(error.to_string());
            return LineOutcome::Dropped;
        };
        LineOutcome::Failed(attempt::AttemptFailure::StageFailed {
            hop: fault.fault_hop,
            refused: fault.refused,
            unreached: fault.unreached,
        })
    }

    fn note_dropped(&self, reason: String) {
        self.core.metrics.dropped.inc();
        let subject = &self.request.id;
        self.core
            .recorder
            .record(event::EventCode::TokenDropped, subject, reason);
    }

    fn note_token(&mut self) {
        self.note_ran(caller::RunOutcome::Yes);
        self.policy.note_token();
        self.core.metrics.tokens.inc();
        if let Some(open) = &mut self.open {
            open.note_token();
        }
    }

    async fn handle_failure(
        &mut self,
        failure: &attempt::AttemptFailure,
    ) -> Result<(), caller::CallerError> {
        let now = time::Instant::now();
        let last_token = self.open.take().and_then(|open| open.estimator.last());
        let failed = attempt::FailedAttempt {
            route: self.answer.route(),
            failure,
            last_token,
        };
        let attribution = {
            let mut table = self.core.routes.lock();
            self.policy.attribute(&failed, &mut table, now)
        };
        let failed_stage = attribution.hop.and_then(|hop| self.answer.route().get(hop));
        if let Some(stage) = failed_stage.filter(|_| attribution.crashed) {
            self.core
                .retry_gate
                .note_crash(&self.request, &stage.upstream, now);
        }
        self.core.recorder.record(
            event::EventCode::AttemptFailed,
            &self.request.id,
            format!("attempt {}: {failure}", self.answer.attempt()),
        );
        if now >= self.request.deadline {
            return Err(self.no_answer("the deadline has passed"));
        }
        // The random generator is not `Send`, so it must not be held across an await.
        let step = self.policy.next_step(failure, &mut rand::rng());
        let pause = match step {
            attempt::NextStep::GiveUp(reason) => return Err(self.no_answer(reason)),
            attempt::NextStep::FreeRetry(pause) => pause,
            attempt::NextStep::Retry(pause) => {
                let context = RetryContext {
                    request: &self.request,
                    attempt: self.answer.attempt(),
                    ran: self.ran,
                    route: self.answer.route(),
                    failed_stage,
                    sent: !matches!(failure, attempt::AttemptFailure::NotSent { .. }),
                    progress: last_token.is_some(),
                };
                match self.core.retry_gate.may_retry(&context, now).await {
                    RetryVerdict::Refuse(error) => return Err(error),
                    RetryVerdict::Retry { avoid } => self.policy.add_avoided(avoid),
                }
                self.core.metrics.retries.inc();
                pause
            }
        };
        time::sleep_until((now + pause).min(self.request.deadline)).await;
        Ok(())
    }

    /// Updates whether the completion ran; `Yes` is final, since a later attempt
    /// cannot undo it.
    fn note_ran(&mut self, ran: caller::RunOutcome) {
        if self.ran != caller::RunOutcome::Yes {
            self.ran = ran;
        }
    }

    fn no_answer(&self, message: &str) -> caller::CallerError {
        caller::CallerError::new(http::StatusCode::SERVICE_UNAVAILABLE, "no_answer", message)
            .with_ran(self.ran)
            .with_pause(RETRY_AFTER)
    }
}

fn format_route(route: &[upstream::RouteStage]) -> String {
    route
        .iter()
        .map(|stage| {
            format!(
                "{}[{}..{}]",
                stage.upstream, stage.layers.from, stage.layers.to
            )
        })
        .collect::<Vec<_>>()
        .join(" ")
}

/// Removes the first complete line from a buffer and returns it without its
/// newline.
fn split_line(buffer: &mut BytesMut) -> Option<BytesMut> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line = buffer.split_to(end);
    buffer.advance(1);
    Some(line)
}
