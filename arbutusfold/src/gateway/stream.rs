//! Streaming requests: started on a path of runners, and rerouted or resumed
//! when runners fail.

use std::time as std_time;

use arbutusfold_platform::{head, link};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync::mpsc;
use tokio::time;

use crate::event;
use crate::gateway::admission;
use crate::gateway::answer_body;
use crate::gateway::answer_end;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::event_stream;
use crate::gateway::forward;
use crate::gateway::held;
use crate::gateway::request;
use crate::gateway::response;
use crate::gateway::runner_call;
use crate::gateway::selector;
use crate::gateway::stall;
use crate::gateway::stream_path;
use crate::id;

/// Time between two requests for a report to the first runner of a silent stream.
const REPORT_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Timeout for such a report; a live runner sends it within a few milliseconds.
const REPORT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

/// Most events buffered for a slow caller.
const EVENT_BUFFER: usize = 32;

/// One attempt of a stream on a path of runners.
struct StreamAttempt {
    /// Head of the response.
    parts: http::response::Parts,
    body: body::Incoming,
    /// What tells where the body ends.
    framing: head::BodyFraming,
    /// How the body ended, once it has.
    end: Option<answer_end::AnswerEnd>,
    /// Judges an end that only the connection states.
    judge: answer_end::EndJudge,
    _link: link::HttpLink,
    path: stream_path::StreamPath,
    splitter: event_stream::EventSplitter,
    /// When the first runner was last asked for a report.
    report_requested: Option<time::Instant>,
}

/// Result of reading the next event of an attempt.
enum StreamRead {
    Event(event_stream::StreamEvent),
    /// The stream is complete.
    Ended,
    /// The stream was cut off or is invalid.
    Broken(held::RunFault),
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

/// A stream whose next event for the caller has arrived.
struct StartedStream {
    attempt: StreamAttempt,
    /// The event, or `None` if the stream is complete.
    first: Option<event_stream::StreamEvent>,
    /// Position after the event.
    cursor: event_stream::EventCursor,
}

/// Result of starting a stream.
enum StartOutcome {
    Started(Box<StartedStream>),
    /// A complete response of a runner that is not a stream.
    Response(response::GatewayResponse),
}

/// Result of one attempt to start a stream.
enum AttemptEnd {
    Started(Box<StartedStream>),
    /// A complete response of a runner that is not a stream.
    Response(http::response::Parts, Bytes),
    /// The attempt failed.
    Failed(request::AttemptReach, String),
    /// The run is silent and may go on.
    Silent(BoxFuture<'static, HeldEnd>, String),
    /// Nothing was sent.
    Unavailable(String),
    /// Nothing was sent; room or a retry may become free.
    Withheld(String),
    /// The deadline of the request has passed.
    TimedOut,
}

type HeldStreams = held::HeldRuns<StartOutcome>;
type HeldEnd = held::HeldEnd<StartOutcome>;

/// Serves a request of a streaming route.
pub async fn serve(mut request: request::CallerRequest) -> response::GatewayResponse {
    let core = std::sync::Arc::clone(&request.core);
    let mut cursor = event_stream::EventCursor::after(request.head.resume_after);
    let held = HeldStreams::default();
    let mut ticket = admission::AdmissionTicket::new(&request);
    let started = match start(&mut request, &mut ticket, &mut cursor, held, None).await {
        Ok(StartOutcome::Started(started)) => started,
        Ok(StartOutcome::Response(response)) => {
            return forward::finish(&core, &request, Ok(response));
        }
        Err(refusal) => return forward::finish(&core, &request, Err(refusal)),
    };
    let first_seconds = request.started.elapsed().as_secs_f64();
    core.metrics.first_seconds.observe(first_seconds);
    ticket.note_first_event();
    let (sender, chunks) = mpsc::channel(EVENT_BUFFER);
    let body = response::ChannelBody::new(chunks);
    let mut response = http::Response::new(body.boxed_unsync());
    let parts = &started.attempt.parts;
    *response.status_mut() = parts.status;
    *response.headers_mut() = head::encode_answer(&parts.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    core.metrics.in_flight.inc();
    tokio::spawn(async move {
        let core = std::sync::Arc::clone(&request.core);
        let caller = sender.clone();
        let pump = StreamPump {
            request,
            ticket,
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
    ticket: admission::AdmissionTicket,
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
                self.ticket.note_answered();
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
                    // A caller that reads nothing must not hold its runners for longer
                    // than the request may take.
                    let sent = self.sender.send(event.bytes);
                    match time::timeout_at(self.request.deadline, sent).await {
                        Ok(Ok(())) => {}
                        Ok(Err(_)) => return PumpEnd::CallerLeft,
                        Err(_) => return PumpEnd::Failed("deadline passed".to_owned()),
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
            let broken = match attempt.step(&mut self.request).await {
                StreamStep::Event(event) => {
                    let verdict = self.cursor.accept(&event);
                    if verdict == event_stream::EventVerdict::Deliver {
                        return Ok((attempt, Some(event)));
                    }
                    let Some(cause) = verdict.fault() else {
                        continue;
                    };
                    Some(cause.to_owned())
                }
                StreamStep::Ended => return Ok((attempt, None)),
                StreamStep::TimedOut => return Err("deadline passed".to_owned()),
                StreamStep::Broken(cause) => Some(cause),
                StreamStep::Stalled(silent) => {
                    let cause = attempt.path.abandon(&mut self.request, &silent);
                    self.request.note_held(&attempt.path.target, &cause);
                    None
                }
            };
            let from = attempt.path.target.runners.clone();
            let after = self.cursor.last().unwrap_or(0);
            let mut held = HeldStreams::default();
            match broken {
                Some(cause) => {
                    drop(attempt);
                    let detail = format!("reach=Ran cause={cause} {}", self.request.describe());
                    self.request.note(event::EventCode::AttemptFailed, detail);
                }
                None => held.push(attempt.wait_silent(self.cursor)),
            }
            let failed = Some(request::AttemptReach::Ran);
            let (request, ticket) = (&mut self.request, &mut self.ticket);
            let started = start(request, ticket, &mut self.cursor, held, failed);
            return match started.await {
                Ok(StartOutcome::Started(started)) => {
                    let to = &started.attempt.path.target.runners;
                    if *to != from {
                        self.request.core.metrics.resumed.inc();
                        let (from, to) = (from.join(">"), to.join(">"));
                        let detail = format!("from={from} to={to} after={after}");
                        self.request.note(event::EventCode::StreamResumed, detail);
                    }
                    Ok((started.attempt, started.first))
                }
                Ok(StartOutcome::Response(response)) => {
                    Err(format!("status {} on resume", response.status().as_u16()))
                }
                Err(refusal) => Err(refusal.cause),
            };
        }
    }
}

/// Starts the stream on a path, beside the silent runs in `held`, and waits for the
/// next event of any of them. The first run that delivers it continues the stream;
/// the others are dropped. `failed` tells how far an earlier attempt came, if there
/// was one. A response that is not a stream ends only a stream of which the caller has
/// nothing yet.
async fn start(
    request: &mut request::CallerRequest,
    ticket: &mut admission::AdmissionTicket,
    cursor: &mut event_stream::EventCursor,
    mut held: HeldStreams,
    mut failed: Option<request::AttemptReach>,
) -> Result<StartOutcome, response::GatewayRefusal> {
    let is_resumption = failed.is_some();
    let mut response = None;
    let mut cause = "the stream broke off".to_owned();
    ticket.begin(request, is_resumption);
    loop {
        if request.time_left().is_zero() {
            return Err(request.timeout_refusal());
        }
        let position = *cursor;
        let attempt = async {
            if let Some(reach) = failed
                && !request.claim_retry(reach).await
            {
                return AttemptEnd::Withheld(cause.clone());
            }
            try_start(request, ticket, position, is_resumption).await
        };
        let end = match held.race(attempt).await {
            held::RaceEnd::Held(outcome) => {
                return Ok(regain(request, cursor, outcome));
            }
            held::RaceEnd::Attempt(end) => end,
        };
        forward::note_failures(request, &mut held, &mut response);
        let (reach, attempt_cause) = match end {
            AttemptEnd::Started(started) => {
                *cursor = started.cursor;
                request.silent.clear();
                return Ok(StartOutcome::Started(started));
            }
            AttemptEnd::Response(parts, bytes) => {
                let cause = format!("status {}", parts.status.as_u16());
                let is_final = !is_resumption && !parts.status.is_server_error();
                response = Some(forward::relay(&parts, bytes));
                if is_final {
                    request.note_answered();
                    return response
                        .map(StartOutcome::Response)
                        .ok_or_else(|| request.refusal(&cause));
                }
                (request::AttemptReach::Ran, cause)
            }
            AttemptEnd::Failed(reach, cause) => (reach, cause),
            AttemptEnd::Silent(run, cause) => {
                held.push(run);
                (request::AttemptReach::Ran, cause)
            }
            AttemptEnd::TimedOut => return Err(request.timeout_refusal()),
            AttemptEnd::Withheld(_) if held.is_empty() && ticket.wait(request, failed).await => {
                continue;
            }
            AttemptEnd::Unavailable(cause) | AttemptEnd::Withheld(cause) if held.is_empty() => {
                return response
                    .map(StartOutcome::Response)
                    .ok_or_else(|| request.refusal(&cause));
            }
            AttemptEnd::Unavailable(_) | AttemptEnd::Withheld(_) => {
                let reach = failed.unwrap_or(request::AttemptReach::Ran);
                request.note_unsent(reach);
                if let Some(outcome) = held.wait(request.restart_wait(reach)).await {
                    return Ok(regain(request, cursor, outcome));
                }
                forward::note_failures(request, &mut held, &mut response);
                continue;
            }
        };
        let detail = format!(
            "reach={reach:?} cause={attempt_cause} {}",
            request.describe()
        );
        request.note(event::EventCode::AttemptFailed, detail);
        failed = Some(reach);
        cause = attempt_cause;
    }
}

/// Continues with a silent run that went on or gave a final response.
fn regain(
    request: &mut request::CallerRequest,
    cursor: &mut event_stream::EventCursor,
    outcome: StartOutcome,
) -> StartOutcome {
    let mut started = match outcome {
        StartOutcome::Started(started) => started,
        StartOutcome::Response(_) => {
            request.note_answered();
            return outcome;
        }
    };
    *cursor = started.cursor;
    request.silent.clear();
    request.note_regained(&started.attempt.path.target);
    match &started.first {
        Some(event) => {
            request.note_begun();
            started.attempt.path.note_event(request, event.number);
        }
        None => started.attempt.note_end(request),
    }
    StartOutcome::Started(started)
}

/// Starts the stream on a path and waits for its first event after `cursor`.
async fn try_start(
    request: &mut request::CallerRequest,
    ticket: &mut admission::AdmissionTicket,
    cursor: event_stream::EventCursor,
    is_resumption: bool,
) -> AttemptEnd {
    if !ticket.check(request, is_resumption) {
        return AttemptEnd::Withheld(selector::PathError::NoCapacity.to_string());
    }
    let target = match request.acquire_target().await {
        Ok(target) => target,
        Err(error) => {
            let is_passing = ticket.note_missing(request, error);
            let cause = error.to_string();
            return match is_passing {
                true => AttemptEnd::Withheld(cause),
                false => AttemptEnd::Unavailable(cause),
            };
        }
    };
    ticket.note_sent();
    let mut path = stream_path::StreamPath::new(request, target);
    let outcome = match request.dispatch(&path.target, cursor.last()).await {
        Ok(sent) => wait_answer(request, &mut path, sent).await,
        Err(outcome) => outcome,
    };
    match outcome {
        request::AttemptOutcome::Head { response, link } if response.status().is_success() => {
            let judge = request.end_judge(&path.target);
            let attempt = StreamAttempt::new(response, link, path, judge);
            attempt.first_event(request, cursor).await
        }
        request::AttemptOutcome::Head { response, link } => {
            let (parts, body) = response.into_parts();
            lock(&request.core.fleet).note_error(&path.target.runners[0]);
            request.exclude(&path.target.runners[0]);
            let reader = request.body_reader(&path.target);
            let bytes = match parts.status.is_server_error() {
                true => reader.read_failure(&parts, body).await,
                false => {
                    let whole = reader.read(&parts, body).await.ok();
                    whole.map(|whole| {
                        request.note_answer_end(whole.end);
                        whole.bytes
                    })
                }
            };
            drop(link);
            match bytes {
                Some(bytes) => AttemptEnd::Response(parts, bytes),
                None => {
                    let cause = format!("status {}", parts.status.as_u16());
                    AttemptEnd::Failed(request::AttemptReach::Ran, cause)
                }
            }
        }
        request::AttemptOutcome::Silent { answer, cause } => {
            request.note_held(&path.target, &cause);
            let id = request.head.request.clone();
            let reader = request.body_reader(&path.target);
            let run = wait_head(id, answer, path, cursor, is_resumption, reader);
            AttemptEnd::Silent(run.boxed(), cause)
        }
        request::AttemptOutcome::Unanswered { reach, cause } => AttemptEnd::Failed(reach, cause),
        request::AttemptOutcome::TimedOut => AttemptEnd::TimedOut,
    }
}

/// Waits for the response head of a request that was sent, and replaces stages that
/// fail before it arrives.
async fn wait_answer(
    request: &mut request::CallerRequest,
    path: &mut stream_path::StreamPath,
    mut sent: request::SentRequest,
) -> request::AttemptOutcome {
    loop {
        let wake = tokio::select! {
            biased;
            answered = sent.wait() => return request.conclude(&path.target, sent, answered).await,
            wake = path.wake(request) => wake,
        };
        let failed = match wake {
            stream_path::PathWake::Failed(failed) => failed,
            stream_path::PathWake::Due => {
                path.tend(request).await;
                continue;
            }
        };
        let cause = stream_path::RerouteCause::Failed;
        if !failed.is_empty() && !path.replace(request, &failed, cause).await {
            let cause = path.abandon(request, &failed);
            let answer = sent.into_answer();
            return request::AttemptOutcome::Silent { answer, cause };
        }
    }
}

/// Waits for the response head of a silent run, then for its first event after
/// `cursor`.
async fn wait_head(
    id: id::RequestId,
    answer: request::PendingAnswer,
    path: stream_path::StreamPath,
    cursor: event_stream::EventCursor,
    is_resumption: bool,
    reader: answer_body::BodyReader,
) -> HeldEnd {
    let (response, link) = match answer.wait_valid(&id).await {
        Ok(answered) => answered,
        Err(fault) => return Err(fault.at(path.target, false)),
    };
    if !response.status().is_success() {
        let (parts, body) = response.into_parts();
        let fault = match is_resumption || parts.status.is_server_error() {
            true => {
                let bytes = reader.read_failure(&parts, body).await;
                held::RunFault::reported(held::FailureResponse { parts, bytes })
            }
            false => match reader.read(&parts, body).await {
                Ok(whole) => {
                    let response = forward::relay(&parts, whole.bytes);
                    return Ok(StartOutcome::Response(response));
                }
                Err(error) => error.into_fault(),
            },
        };
        drop(link);
        return Err(fault.at(path.target, false));
    }
    let attempt = StreamAttempt::new(response, link, path, reader.judge);
    attempt.wait_silent(cursor).await
}

/// Reads the next event of a body. May be cancelled.
async fn read_event(
    body: &mut body::Incoming,
    splitter: &mut event_stream::EventSplitter,
    framing: head::BodyFraming,
) -> StreamRead {
    let fault = |cause: &str, sign, connection| held::RunFault {
        end: Some(answer_end::AnswerEnd::new(framing, connection)),
        ..held::RunFault::ran(cause, sign)
    };
    let crashed = Some(crash::CrashSign::Body);
    loop {
        if let Some(event) = splitter.next_event() {
            return StreamRead::Event(event);
        }
        if splitter.is_over_limit() {
            let open = answer_end::ConnectionEnd::Open;
            return StreamRead::Broken(fault("an event is too long", None, open));
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                }
            }
            Some(Err(error)) => {
                let connection = answer_end::ConnectionEnd::of_error(&error);
                let is_blamed = connection != answer_end::ConnectionEnd::WayLost;
                let (what, sign) = match is_blamed {
                    true => ("the runner broke off", crashed),
                    false => ("the way to the runner broke", None),
                };
                return StreamRead::Broken(held::RunFault {
                    is_blamed,
                    ..fault(&format!("{what}: {error}"), sign, connection)
                });
            }
            None if splitter.is_partial() => {
                let cause = "the runner ended in the middle of an event";
                let connection = answer_end::AnswerEnd::complete(framing).connection;
                return StreamRead::Broken(fault(cause, crashed, connection));
            }
            None => return StreamRead::Ended,
        }
    }
}

impl StreamAttempt {
    fn new(
        response: http::Response<body::Incoming>,
        link: link::HttpLink,
        mut path: stream_path::StreamPath,
        judge: answer_end::EndJudge,
    ) -> Self {
        path.note_head();
        let (parts, body) = response.into_parts();
        Self {
            framing: answer_body::framing(&parts, &body),
            end: None,
            parts,
            body,
            judge,
            _link: link,
            path,
            splitter: event_stream::EventSplitter::default(),
            report_requested: None,
        }
    }

    /// Waits for the first event after `cursor`.
    async fn first_event(
        mut self,
        request: &mut request::CallerRequest,
        mut cursor: event_stream::EventCursor,
    ) -> AttemptEnd {
        let ran = request::AttemptReach::Ran;
        loop {
            let first = match self.step(request).await {
                StreamStep::Event(event) => {
                    let verdict = cursor.accept_first(&event);
                    if let Some(cause) = verdict.fault() {
                        return AttemptEnd::Failed(ran, cause.to_owned());
                    }
                    if verdict == event_stream::EventVerdict::Duplicate {
                        continue;
                    }
                    Some(event)
                }
                StreamStep::Ended => None,
                StreamStep::Broken(cause) => return AttemptEnd::Failed(ran, cause),
                StreamStep::Stalled(silent) => {
                    let cause = self.path.abandon(request, &silent);
                    request.note_held(&self.path.target, &cause);
                    return AttemptEnd::Silent(self.wait_silent(cursor).boxed(), cause);
                }
                StreamStep::TimedOut => return AttemptEnd::TimedOut,
            };
            return AttemptEnd::Started(Box::new(StartedStream {
                attempt: self,
                first,
                cursor,
            }));
        }
    }

    /// Waits without a time limit for the next event after `cursor`.
    async fn wait_silent(mut self, mut cursor: event_stream::EventCursor) -> HeldEnd {
        let fault = loop {
            let first = match self.read().await {
                StreamRead::Event(event) => {
                    let verdict = match self.path.has_events {
                        true => cursor.accept(&event),
                        false => cursor.accept_first(&event),
                    };
                    if let Some(cause) = verdict.fault() {
                        break held::RunFault::ran(cause, None);
                    }
                    if verdict == event_stream::EventVerdict::Duplicate {
                        continue;
                    }
                    Some(event)
                }
                StreamRead::Ended => match self.judge_end(self.path.last_event).await {
                    Ok(()) => None,
                    Err(fault) => break fault,
                },
                StreamRead::Broken(fault) => break fault,
            };
            return Ok(StartOutcome::Started(Box::new(StartedStream {
                attempt: self,
                first,
                cursor,
            })));
        };
        Err(fault.at(self.path.target, self.path.has_events))
    }

    /// Reads the next event. May be cancelled.
    async fn read(&mut self) -> StreamRead {
        read_event(&mut self.body, &mut self.splitter, self.framing).await
    }

    /// Waits for the next event; reroutes the stream if it stalls or if a runner of its
    /// path has failed or leaves.
    async fn step(&mut self, request: &mut request::CallerRequest) -> StreamStep {
        let waited_since = time::Instant::now();
        loop {
            let woken = tokio::select! {
                biased;
                read = read_event(&mut self.body, &mut self.splitter, self.framing) => Err(read),
                wake = self.path.wake(request) => Ok(wake),
            };
            let (silent, cause) = match woken {
                Err(StreamRead::Event(event)) => {
                    request.note_begun();
                    self.path.note_event(request, event.number);
                    return StreamStep::Event(event);
                }
                Err(StreamRead::Broken(fault)) => return self.note_broken(request, fault),
                Err(StreamRead::Ended) => match self.judge_end(waited_since).await {
                    Ok(()) => {
                        self.note_end(request);
                        return StreamStep::Ended;
                    }
                    Err(fault) => return self.note_broken(request, fault),
                },
                Ok(stream_path::PathWake::Failed(failed)) => {
                    (failed, stream_path::RerouteCause::Failed)
                }
                Ok(stream_path::PathWake::Due) => {
                    if request.time_left().is_zero() {
                        return StreamStep::TimedOut;
                    }
                    if self.path.tend(request).await {
                        continue;
                    }
                    let silent = self.find_silent(request).await;
                    let cause = stream_path::RerouteCause::Silent;
                    (silent.unwrap_or_default(), cause)
                }
            };
            if !silent.is_empty() && !self.path.replace(request, &silent, cause).await {
                return StreamStep::Stalled(silent);
            }
        }
    }

    /// Judges the end of a stream that is complete by its framing and was waited for since
    /// `waited_since`.
    ///
    /// A first runner that gives up on a later one may end the stream like a whole one.
    async fn judge_end(&mut self, waited_since: time::Instant) -> Result<(), held::RunFault> {
        let silence = waited_since.elapsed();
        let end = self.judge.judge(self.framing, self.judge.deadline).await;
        self.end = Some(end);
        if let Some(fault) = end.lost_fault() {
            return Err(fault);
        }
        if !end.is_stated() && self.path.has_failed_stage(silence, &self.judge).await {
            let cause = "a later runner failed before the stream ended";
            return Err(held::RunFault {
                is_blamed: false,
                end: Some(end),
                ..held::RunFault::ran(cause, None)
            });
        }
        Ok(())
    }

    fn note_broken(
        &self,
        request: &mut request::CallerRequest,
        fault: held::RunFault,
    ) -> StreamStep {
        request.note_fault(&self.path.target, &fault, self.path.has_events);
        StreamStep::Broken(fault.cause)
    }

    fn note_end(&self, request: &mut request::CallerRequest) {
        request.note_answered();
        if let Some(end) = self.end {
            request.note_answer_end(end);
        }
        request.note_length();
        let mut fleet = lock(&request.core.fleet);
        self.path
            .target
            .runners
            .iter()
            .for_each(|id| fleet.note_success(id));
    }

    /// Returns the indices of the runners at fault if the stream has stalled and
    /// should switch to other runners.
    async fn find_silent(&mut self, request: &request::CallerRequest) -> Option<Vec<usize>> {
        let policy = self.path.policy();
        let silence = self.path.last_event.elapsed();
        if !stall::is_overdue(silence, policy) {
            return None;
        }
        if self
            .report_requested
            .is_none_or(|requested| requested.elapsed() >= REPORT_PERIOD)
        {
            self.report_requested = Some(time::Instant::now());
            let report = runner_call::report(
                &*request.core.dialer,
                self.path.target.address,
                REPORT_TIMEOUT,
            )
            .await;
            let index = match report {
                Ok(report) => self
                    .path
                    .target
                    .stalled_stage(&request.head.request, &report),
                Err(_) => Some(0),
            };
            if let Some(index) = index {
                return Some(vec![index]);
            }
        }
        let now = time::Instant::now();
        let fleet = lock(&request.core.fleet);
        let runners = self.path.target.runners.iter();
        let stages: Vec<_> = runners.map(|id| fleet.silence(id, now)).collect();
        match stall::check(self.path.last_event.elapsed(), &stages, policy) {
            stall::StallVerdict::Wait => None,
            stall::StallVerdict::Switch(indices) => Some(indices),
        }
    }
}
