//! Streams: begun at a path of runners, resumed at another one when it breaks.

use std::time as std_time;

use arbutusfold_platform::{head, link, order};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync::mpsc;
use tokio::time;

use crate::event;
use crate::gateway::core::lock;
use crate::gateway::event_stream;
use crate::gateway::forward;
use crate::gateway::request;
use crate::gateway::response;
use crate::gateway::runner_call;
use crate::gateway::stall;

/// Time between two looks at a silent stream.
const SILENCE_CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Time between two questions to the first runner of a silent stream.
const REPORT_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Longest time for the answer to such a question; a live runner takes a few
/// milliseconds.
const REPORT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

/// How often one run may be led over other runners.
const REROUTE_LIMIT: u32 = 3;

/// Events that may wait for a slow caller.
const EVENT_BUFFER: usize = 32;

/// Least time that callers wait for the next event before they leave.
const MIN_PATIENCE: std_time::Duration = std_time::Duration::from_secs(2);

/// Objectives that callers wait for the next event.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Usual pauses that callers wait for the next event.
const PATIENCE_GAPS: u32 = 8;

/// Objective of a route that names none.
const DEFAULT_OBJECTIVE: std_time::Duration = std_time::Duration::from_millis(500);

/// Usual pause of a route that names none.
const DEFAULT_GAP: std_time::Duration = std_time::Duration::from_millis(200);

/// One run of a stream at a path of runners.
struct StreamAttempt {
    body: body::Incoming,
    _link: link::HttpLink,
    guard: request::LoadGuard,
    target: request::AttemptTarget,
    splitter: event_stream::EventSplitter,
    /// When the latest event came, or the run began.
    last_event: time::Instant,
    has_events: bool,
    /// When the first runner was asked what the stream waits for.
    report_requested: Option<time::Instant>,
    /// How often it was led over other runners.
    reroutes: u32,
}

/// What comes next in a run.
enum StreamStep {
    Event(event_stream::StreamEvent),
    /// The stream is complete.
    Ended,
    /// It broke off.
    Broken(String),
    /// These runners are silent.
    Stalled(Vec<usize>),
    /// The time of the request is over.
    TimedOut,
}

/// A stream whose first event is there.
struct StartedStream {
    parts: http::response::Parts,
    attempt: StreamAttempt,
    first: Option<event_stream::StreamEvent>,
}

/// What came of the begin of a stream.
enum StartOutcome {
    Started(Box<StartedStream>),
    /// A runner's final answer that is no stream.
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

/// Carries the events of a stream to its caller.
struct StreamPump {
    request: request::CallerRequest,
    cursor: event_stream::EventCursor,
    sender: mpsc::Sender<Bytes>,
    events: u64,
    gap: std_time::Duration,
    first_seconds: f64,
}

/// How a stream ended.
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
                let detail = format!("broken off cause={cause} {summary}");
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
                    // The empty part says that the answer is complete.
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

    /// Returns the next event for the caller, of this run or of one that
    /// takes its place.
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
                StreamStep::TimedOut => return Err("no time left".to_owned()),
                StreamStep::Broken(cause) => cause,
                StreamStep::Stalled(silent) => attempt.abandon(&mut self.request, &silent),
            };
            let from = attempt.target.runners.join(">");
            drop(attempt);
            let detail = format!("ran=true cause={cause} {}", self.request.describe());
            self.request.note(event::EventCode::AttemptFailed, detail);
            if !self.request.claim_retry(true) {
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
                    return Err(format!(
                        "resumed with status {}",
                        response.status().as_u16()
                    ));
                }
                Err(refusal) => return Err(refusal.cause),
            }
        }
    }
}

/// Begins the stream at a path and waits for its first event.
async fn start(
    request: &mut request::CallerRequest,
    cursor: &mut event_stream::EventCursor,
) -> Result<StartOutcome, response::GatewayRefusal> {
    loop {
        if request.time_left().is_zero() {
            return Err(request.timeout_refusal());
        }
        let target = match request.choose_target() {
            Ok(target) => target,
            Err(error) => return Err(request.refusal(&error.to_string())),
        };
        let guard = request::LoadGuard::new(&request.core, &target);
        let (ran, cause) = match request.send(&target, cursor.last()).await {
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
                    Err(Some(cause)) => (true, cause),
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
                if !parts.status.is_server_error() || !request.claim_retry(true) {
                    return match read {
                        Ok(Ok(bytes)) => Ok(StartOutcome::Response(forward::relay(&parts, bytes))),
                        _ => Err(request.refusal(&cause)),
                    };
                }
                request.note(event::EventCode::AttemptFailed, cause);
                continue;
            }
            request::AttemptOutcome::NotRun { cause } => (false, cause),
            request::AttemptOutcome::Broken { cause } => (true, cause),
            request::AttemptOutcome::TimedOut => return Err(request.timeout_refusal()),
        };
        let detail = format!("ran={ran} cause={cause} {}", request.describe());
        request.note(event::EventCode::AttemptFailed, detail);
        if !request.claim_retry(ran) {
            return Err(request.refusal(&cause));
        }
    }
}

impl StreamAttempt {
    /// Waits for the first event that the caller lacks.
    ///
    /// The error holds the cause of a break, or nothing when time is over.
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

    /// Waits for what comes next.
    async fn step(&mut self, request: &mut request::CallerRequest) -> StreamStep {
        loop {
            if let Some(event) = self.splitter.next_event() {
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
                    let cause = format!("the runner broke off: {error}");
                    request.fail_runner(&self.target.runners[0], &cause);
                    return StreamStep::Broken(cause);
                }
                Ok(None) if self.splitter.is_partial() => {
                    let cause = "the runner ended in the middle of an event".to_owned();
                    request.fail_runner(&self.target.runners[0], &cause);
                    return StreamStep::Broken(cause);
                }
                Ok(None) => {
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

    /// Returns the places of the runners at fault, if it is time to leave.
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
            let report = runner_call::report(self.target.address, REPORT_TIMEOUT).await;
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

    /// Leads the stream over other runners in place of the silent ones.
    async fn reroute(&mut self, request: &mut request::CallerRequest, silent: &[usize]) -> bool {
        if silent.is_empty() || silent.contains(&0) || self.reroutes >= REROUTE_LIMIT {
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
        let answer = runner_call::order(target.address, first, &reroute_order, guard).await;
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
            self.target = target;
            // The new stages read all tokens so far before the next event.
            self.last_event = time::Instant::now();
        }
        taken
    }

    /// Leaves silent runners out; a lone one is told to be at fault.
    fn exclude_silent(&self, request: &mut request::CallerRequest, silent: &[usize]) {
        let runners = &self.target.runners;
        match silent {
            [index] if *index < runners.len() => request.fail_runner(&runners[*index], "silent"),
            // Where several are silent most of them only wait for another.
            _ => silent
                .iter()
                .filter_map(|index| runners.get(*index))
                .for_each(|id| request.exclude(id)),
        }
    }

    /// Notes the silent runners and returns the cause for the log.
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
