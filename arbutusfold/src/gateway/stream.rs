//! Streaming requests: started on a path of runners, and rerouted or resumed
//! when runners fail.

use std::time as std_time;

use arbutusfold_platform::{head, link, order};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync::mpsc;
use tokio::time;

use crate::event;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::event_stream;
use crate::gateway::forward;
use crate::gateway::request;
use crate::gateway::response;
use crate::gateway::runner_call;
use crate::gateway::stall;

/// Time between two checks of a silent stream.
const SILENCE_CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Time between two requests for a report to the first runner of a silent stream.
const REPORT_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Timeout for such a report; a live runner sends it within a few milliseconds.
const REPORT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

/// Most reroutes of one attempt.
const REROUTE_LIMIT: u32 = 3;

/// Most events buffered for a slow caller.
const EVENT_BUFFER: usize = 32;

/// Shortest time that callers are assumed to wait for the next event.
const MIN_PATIENCE: std_time::Duration = std_time::Duration::from_secs(2);

/// Callers are assumed to wait for an event at least this multiple of the
/// route's latency objective.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Callers are assumed to wait for an event at least this multiple of the
/// route's objective for pauses.
const PATIENCE_GAPS: u32 = 8;

/// Latency objective of a route that sets none.
const DEFAULT_OBJECTIVE: std_time::Duration = std_time::Duration::from_millis(500);

/// Objective for pauses of a route that sets none.
const DEFAULT_GAP: std_time::Duration = std_time::Duration::from_millis(200);

/// One attempt of a stream on a path of runners.
struct StreamAttempt {
    body: body::Incoming,
    _link: link::HttpLink,
    guard: request::LoadGuard,
    target: request::AttemptTarget,
    splitter: event_stream::EventSplitter,
    /// Time of the latest event, of the latest reroute or of the start.
    last_event: time::Instant,
    /// Whether this attempt has had an event.
    has_events: bool,
    /// When the first runner was last asked for a report.
    report_requested: Option<time::Instant>,
    /// Number of reroutes so far.
    reroutes: u32,
}

/// Result of waiting for the next event.
enum StreamStep {
    Event(event_stream::StreamEvent),
    /// The stream is complete.
    Ended,
    /// The stream was cut off or is invalid.
    Broken(String),
    /// The stream is silent because of the runners at these indices, and could not
    /// be rerouted. The list is empty if the cause is unknown.
    Stalled(Vec<usize>),
    /// The deadline of the request has passed.
    TimedOut,
}

/// A stream whose first event has arrived.
struct StartedStream {
    parts: http::response::Parts,
    attempt: StreamAttempt,
    first: Option<event_stream::StreamEvent>,
}

/// Result of starting a stream.
enum StartOutcome {
    Started(Box<StartedStream>),
    /// A final response of a runner that is not a stream.
    Response(response::GatewayResponse),
}

/// Serves a request of a streaming route.
pub async fn serve(mut request: request::CallerRequest) -> response::GatewayResponse {
    let core = std::sync::Arc::clone(&request.core);
    let mut cursor = event_stream::EventCursor::after(request.head.resume_after);
    let started = match start(&mut request, &mut cursor).await {
        Ok(StartOutcome::Started(started)) => started,
        Ok(StartOutcome::Response(response)) => {
            return forward::finish(&core, &request, Ok(response));
        }
        Err(refusal) => return forward::finish(&core, &request, Err(refusal)),
    };
    let first_seconds = request.started.elapsed().as_secs_f64();
    core.metrics.first_seconds.observe(first_seconds);
    let (sender, chunks) = mpsc::channel(EVENT_BUFFER);
    let body = response::ChannelBody::new(chunks);
    let mut response = http::Response::new(body.boxed_unsync());
    *response.status_mut() = started.parts.status;
    *response.headers_mut() = head::encode_answer(&started.parts.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    core.metrics.in_flight.inc();
    tokio::spawn(async move {
        let core = std::sync::Arc::clone(&request.core);
        let caller = sender.clone();
        let pump = StreamPump {
            request,
            cursor,
            sender,
            events: 0,
            gap: std_time::Duration::ZERO,
            first_seconds,
        };
        pump.run(*started, &caller).await;
        core.metrics.in_flight.dec();
    });
    response
}

/// Task that sends the events of a stream to its caller.
struct StreamPump {
    request: request::CallerRequest,
    cursor: event_stream::EventCursor,
    sender: mpsc::Sender<Bytes>,
    events: u64,
    gap: std_time::Duration,
    first_seconds: f64,
}

/// How a stream to a caller ended.
enum PumpEnd {
    Complete,
    CallerLeft,
    Failed(String),
}

impl StreamPump {
    async fn run(mut self, started: StartedStream, caller: &mpsc::Sender<Bytes>) {
        let end = tokio::select! {
            () = caller.closed() => PumpEnd::CallerLeft,
            end = self.forward_events(started) => end,
        };
        let metrics = &self.request.core.metrics;
        metrics
            .total_seconds
            .observe(self.request.started.elapsed().as_secs_f64());
        metrics.gap_seconds.observe(self.gap.as_secs_f64());
        let summary = format!(
            "events={} last={} first_ms={} gap_ms={} {}",
            self.events,
            self.cursor.last().unwrap_or(0),
            (self.first_seconds * 1_000.0) as u64,
            self.gap.as_millis(),
            self.request.describe()
        );
        let service = &self.request.service;
        match end {
            PumpEnd::Complete => {
                forward::count_request(&self.request.core, service, http::StatusCode::OK);
                let detail = format!("status=200 {summary}");
                self.request.note(event::EventCode::RequestAnswered, detail);
            }
            PumpEnd::CallerLeft => {
                metrics.abandoned.inc();
                self.request.note(event::EventCode::CallerLeft, summary);
            }
            PumpEnd::Failed(cause) => {
                forward::count_request(&self.request.core, service, http::StatusCode::BAD_GATEWAY);
                let detail = format!("stream failed cause={cause} {summary}");
                self.request.note(event::EventCode::RequestRefused, detail);
            }
        }
    }

    async fn forward_events(&mut self, started: StartedStream) -> PumpEnd {
        let mut attempt = started.attempt;
        let mut event = started.first;
        loop {
            match event {
                Some(event) => {
                    self.events += 1;
                    if self.sender.send(event.bytes).await.is_err() {
                        return PumpEnd::CallerLeft;
                    }
                }
                None => {
                    // An empty chunk marks the response as complete.
                    return match self.sender.send(Bytes::new()).await {
                        Ok(()) => PumpEnd::Complete,
                        Err(_) => PumpEnd::CallerLeft,
                    };
                }
            }
            let paused = time::Instant::now();
            let next = self.next_event(attempt).await;
            self.gap = self.gap.max(paused.elapsed());
            match next {
                Ok((next_attempt, next_event)) => {
                    attempt = next_attempt;
                    event = next_event;
                }
                Err(cause) => return PumpEnd::Failed(cause),
            }
        }
    }

    /// Returns the next event for the caller, from this attempt or from another
    /// one that resumes the stream.
    async fn next_event(
        &mut self,
        mut attempt: StreamAttempt,
    ) -> Result<(StreamAttempt, Option<event_stream::StreamEvent>), String> {
        loop {
            let cause = match attempt.step(&mut self.request).await {
                StreamStep::Event(event) => match self.cursor.accept(&event) {
                    event_stream::EventVerdict::Deliver => return Ok((attempt, Some(event))),
                    event_stream::EventVerdict::Duplicate => continue,
                    event_stream::EventVerdict::Gap => "an event is missing".to_owned(),
                },
                StreamStep::Ended => return Ok((attempt, None)),
                StreamStep::TimedOut => return Err("deadline passed".to_owned()),
                StreamStep::Broken(cause) => cause,
                StreamStep::Stalled(silent) => attempt.abandon(&mut self.request, &silent),
            };
            let from = attempt.target.runners.join(">");
            drop(attempt);
            let detail = format!("reach=Ran cause={cause} {}", self.request.describe());
            self.request.note(event::EventCode::AttemptFailed, detail);
            if !self.request.claim_retry(request::AttemptReach::Ran).await {
                return Err(cause);
            }
            match start(&mut self.request, &mut self.cursor).await {
                Ok(StartOutcome::Started(started)) => {
                    self.request.core.metrics.resumed.inc();
                    let detail = format!(
                        "from={from} to={} after={}",
                        self.request.latest_runners,
                        self.cursor.last().unwrap_or(0)
                    );
                    self.request.note(event::EventCode::StreamResumed, detail);
                    return Ok((started.attempt, started.first));
                }
                Ok(StartOutcome::Response(response)) => {
                    return Err(format!("status {} on resume", response.status().as_u16()));
                }
                Err(refusal) => return Err(refusal.cause),
            }
        }
    }
}

/// Starts the stream on a path and waits for its first event.
async fn start(
    request: &mut request::CallerRequest,
    cursor: &mut event_stream::EventCursor,
) -> Result<StartOutcome, response::GatewayRefusal> {
    loop {
        if request.time_left().is_zero() {
            return Err(request.timeout_refusal());
        }
        let target = match request.acquire_target().await {
            Ok(target) => target,
            Err(error) => return Err(request.refusal(&error.to_string())),
        };
        let guard = request::LoadGuard::new(&request.core, &target);
        let (reach, cause) = match request.send(&target, cursor.last()).await {
            request::AttemptOutcome::Head { response, link } if response.status().is_success() => {
                let (parts, body) = response.into_parts();
                let mut attempt = StreamAttempt {
                    body,
                    _link: link,
                    guard,
                    target,
                    splitter: event_stream::EventSplitter::default(),
                    last_event: time::Instant::now(),
                    has_events: false,
                    report_requested: None,
                    reroutes: 0,
                };
                match attempt.first_event(request, cursor).await {
                    Ok(first) => {
                        return Ok(StartOutcome::Started(Box::new(StartedStream {
                            parts,
                            attempt,
                            first,
                        })));
                    }
                    Err(Some(cause)) => (request::AttemptReach::Ran, cause),
                    Err(None) => return Err(request.timeout_refusal()),
                }
            }
            request::AttemptOutcome::Head { response, link } => {
                let (parts, body) = response.into_parts();
                let read = link::read_body(body, request::RESPONSE_LIMIT_BYTES);
                let read = time::timeout(request.time_left(), read).await;
                drop(link);
                lock(&request.core.fleet).note_error(&target.runners[0]);
                request.exclude(&target.runners[0]);
                let cause = format!("status {}", parts.status.as_u16());
                if !parts.status.is_server_error() && matches!(read, Ok(Ok(_))) {
                    request.note_answered();
                }
                if !parts.status.is_server_error()
                    || !request.claim_retry(request::AttemptReach::Ran).await
                {
                    return match read {
                        Ok(Ok(bytes)) => Ok(StartOutcome::Response(forward::relay(&parts, bytes))),
                        _ => Err(request.refusal(&cause)),
                    };
                }
                request.note(event::EventCode::AttemptFailed, cause);
                continue;
            }
            request::AttemptOutcome::Unanswered { reach, cause } => (reach, cause),
            request::AttemptOutcome::TimedOut => return Err(request.timeout_refusal()),
        };
        let detail = format!("reach={reach:?} cause={cause} {}", request.describe());
        request.note(event::EventCode::AttemptFailed, detail);
        if !request.claim_retry(reach).await {
            return Err(request.refusal(&cause));
        }
    }
}

impl StreamAttempt {
    /// Waits for the first event that the caller does not have yet.
    ///
    /// The error is the cause of a failure, or `None` if the deadline has passed.
    async fn first_event(
        &mut self,
        request: &mut request::CallerRequest,
        cursor: &mut event_stream::EventCursor,
    ) -> Result<Option<event_stream::StreamEvent>, Option<String>> {
        loop {
            match self.step(request).await {
                StreamStep::Event(event) => match cursor.accept(&event) {
                    event_stream::EventVerdict::Deliver => return Ok(Some(event)),
                    event_stream::EventVerdict::Duplicate => {}
                    event_stream::EventVerdict::Gap => {
                        return Err(Some("an event is missing".to_owned()));
                    }
                },
                StreamStep::Ended => return Ok(None),
                StreamStep::Broken(cause) => return Err(Some(cause)),
                StreamStep::Stalled(silent) => return Err(Some(self.abandon(request, &silent))),
                StreamStep::TimedOut => return Err(None),
            }
        }
    }

    /// Waits for the next event; reroutes the stream if it stalls.
    async fn step(&mut self, request: &mut request::CallerRequest) -> StreamStep {
        loop {
            if let Some(event) = self.splitter.next_event() {
                request.note_begun();
                self.note_event(request);
                return StreamStep::Event(event);
            }
            if self.splitter.is_over_limit() {
                request.fail_runner(&self.target.runners[0], "an event is too long");
                return StreamStep::Broken("an event is too long".to_owned());
            }
            match time::timeout(SILENCE_CHECK_PERIOD, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Ok(Some(Err(error))) => {
                    if link::is_way_lost(&error) {
                        return StreamStep::Broken(format!("the way to the runner broke: {error}"));
                    }
                    let cause = format!("the runner broke off: {error}");
                    request.fail_runner(&self.target.runners[0], &cause);
                    request.check_crash(&self.target, 0, crash::CrashSign::Body, self.has_events);
                    return StreamStep::Broken(cause);
                }
                Ok(None) if self.splitter.is_partial() => {
                    let cause = "the runner ended in the middle of an event".to_owned();
                    request.fail_runner(&self.target.runners[0], &cause);
                    request.check_crash(&self.target, 0, crash::CrashSign::Body, self.has_events);
                    return StreamStep::Broken(cause);
                }
                Ok(None) => {
                    request.note_answered();
                    let mut fleet = lock(&request.core.fleet);
                    self.target
                        .runners
                        .iter()
                        .for_each(|id| fleet.note_success(id));
                    return StreamStep::Ended;
                }
                Err(_) => {
                    if request.time_left().is_zero() {
                        return StreamStep::TimedOut;
                    }
                    let Some(silent) = self.find_silent(request).await else {
                        continue;
                    };
                    for stage in &silent {
                        let sign = crash::CrashSign::Silence;
                        request.check_crash(&self.target, *stage, sign, self.has_events);
                    }
                    if !self.reroute(request, &silent).await {
                        return StreamStep::Stalled(silent);
                    }
                }
            }
        }
    }

    fn note_event(&mut self, request: &request::CallerRequest) {
        let now = time::Instant::now();
        self.last_event = now;
        self.has_events = true;
        let mut fleet = lock(&request.core.fleet);
        self.target
            .runners
            .iter()
            .for_each(|id| fleet.note_progress(id, now));
    }

    /// Returns the indices of the runners at fault if the stream has stalled and
    /// should switch to other runners.
    async fn find_silent(&mut self, request: &request::CallerRequest) -> Option<Vec<usize>> {
        let policy = self.policy(request);
        let silence = self.last_event.elapsed();
        if !stall::is_overdue(silence, policy) {
            return None;
        }
        if self
            .report_requested
            .is_none_or(|requested| requested.elapsed() >= REPORT_PERIOD)
        {
            self.report_requested = Some(time::Instant::now());
            let report =
                runner_call::report(&*request.core.dialer, self.target.address, REPORT_TIMEOUT)
                    .await;
            let index = match report {
                Ok(report) => self.target.stalled_stage(&request.head.request, &report),
                Err(_) => Some(0),
            };
            if let Some(index) = index {
                return Some(vec![index]);
            }
        }
        let now = time::Instant::now();
        let fleet = lock(&request.core.fleet);
        let runners = self.target.runners.iter();
        let stages: Vec<_> = runners.map(|id| fleet.silence(id, now)).collect();
        match stall::check(self.last_event.elapsed(), &stages, policy) {
            stall::StallVerdict::Wait => None,
            stall::StallVerdict::Switch(indices) => Some(indices),
        }
    }

    fn policy(&self, request: &request::CallerRequest) -> stall::SilencePolicy {
        let objective = request.rule.objective.unwrap_or(DEFAULT_OBJECTIVE);
        let gap = request.rule.gap_objective.unwrap_or(DEFAULT_GAP);
        stall::SilencePolicy {
            expected: if self.has_events { gap } else { objective },
            patience: MIN_PATIENCE
                .max(objective * PATIENCE_OBJECTIVES)
                .max(gap * PATIENCE_GAPS),
        }
    }

    /// Replaces the silent runners of a running stream by others; returns whether
    /// the first runner accepted the new path.
    async fn reroute(&mut self, request: &mut request::CallerRequest, silent: &[usize]) -> bool {
        if silent.is_empty() || silent.contains(&0) || self.reroutes >= REROUTE_LIMIT {
            return false;
        }
        if request.is_held_back().await {
            return false;
        }
        self.reroutes += 1;
        self.exclude_silent(request, silent);
        let Some(target) = request.choose_reroute(&self.target, silent) else {
            return false;
        };
        let reroute_order = order::RunnerOrder::Reroute {
            request: request.head.request.clone(),
            path: target.path.clone(),
        };
        request.core.metrics.orders.inc();
        let (first, guard) = (&target.runners[0], order::OrderGuard::default());
        let answer = runner_call::order(
            &*request.core.dialer,
            target.address,
            first,
            &reroute_order,
            guard,
        )
        .await;
        let detail = format!(
            "silence_ms={} from={} to={} answer={answer:?}",
            self.last_event.elapsed().as_millis(),
            self.target.runners.join(">"),
            target.runners.join(">")
        );
        request.note(event::EventCode::StreamRerouted, detail);
        let taken = matches!(
            answer,
            Ok(order::OrderAnswer::Begun | order::OrderAnswer::Holds)
        );
        if taken {
            self.guard = request::LoadGuard::new(&request.core, &target);
            request.latest_runners = target.runners.join(">");
            let before = &self.target.runners;
            let added: Vec<_> = target
                .runners
                .iter()
                .filter(|id| !before.contains(id))
                .cloned()
                .collect();
            request.begin_run(&added);
            self.target = target;
            // The new stages process all tokens so far before the next event.
            self.last_event = time::Instant::now();
        }
        taken
    }

    /// Excludes silent runners; a single one is also recorded as failed.
    fn exclude_silent(&self, request: &mut request::CallerRequest, silent: &[usize]) {
        let runners = &self.target.runners;
        match silent {
            [index] if *index < runners.len() => request.fail_runner(&runners[*index], "silent"),
            // If several are silent, most of them only wait for another one.
            _ => silent
                .iter()
                .filter_map(|index| runners.get(*index))
                .for_each(|id| request.exclude(id)),
        }
    }

    /// Excludes the silent runners and returns the cause, for the caller and the log.
    fn abandon(&self, request: &mut request::CallerRequest, silent: &[usize]) -> String {
        let ids: Vec<_> = silent
            .iter()
            .filter_map(|index| self.target.runners.get(*index))
            .collect();
        self.exclude_silent(request, silent);
        let names: Vec<_> = ids.iter().map(|id| id.as_str()).collect();
        format!(
            "silent for {} ms at {}",
            self.last_event.elapsed().as_millis(),
            names.join(",")
        )
    }
}
