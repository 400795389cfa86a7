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
use crate::gateway::response;
use crate::gateway::runner_call;
use crate::gateway::runs;
use crate::gateway::stall;

/// Time between two looks at a silent stream.
const SILENCE_TICK: std_time::Duration = std_time::Duration::from_millis(100);

/// Time between two questions to the first runner of a silent stream.
const ASK_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Longest time for the answer to such a question; a live runner takes a few
/// milliseconds.
const REPORT_LIMIT: std_time::Duration = std_time::Duration::from_millis(250);

/// How often one run may be led over other runners.
const DETOUR_LIMIT: u32 = 3;

/// Events that may wait for a slow caller.
const EVENT_BUFFER: usize = 32;

/// Least time that callers wait for the next event before they leave.
const PATIENCE_LEAST: std_time::Duration = std_time::Duration::from_secs(2);

/// Objectives that callers wait for the next event.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Usual pauses that callers wait for the next event.
const PATIENCE_GAPS: u32 = 8;

/// Objective of a route that names none.
const DEFAULT_OBJECTIVE: std_time::Duration = std_time::Duration::from_millis(500);

/// Usual pause of a route that names none.
const DEFAULT_GAP: std_time::Duration = std_time::Duration::from_millis(200);

/// One run of a stream at a path of runners.
struct StreamRun {
    body: body::Incoming,
    _link: link::HttpLink,
    guard: runs::RunGuard,
    target: runs::RunTarget,
    splitter: event_stream::EventSplitter,
    /// When the latest event came, or the run began.
    active: time::Instant,
    begun: bool,
    /// When the first runner was asked what the stream waits for.
    asked: Option<time::Instant>,
    /// How often it was led over other runners.
    detours: u32,
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
    TimeOver,
}

/// A stream whose first event is there.
struct BegunStream {
    parts: http::response::Parts,
    run: StreamRun,
    first: Option<event_stream::StreamEvent>,
}

/// What came of the begin of a stream.
enum StreamBegin {
    Begun(Box<BegunStream>),
    /// A runner's final answer that is no stream.
    Response(response::GatewayResponse),
}

/// Serves a request of a streaming route.
pub async fn serve(mut run: runs::CallerRun) -> response::GatewayResponse {
    let core = std::sync::Arc::clone(&run.core);
    let mut cursor = event_stream::EventCursor::after(run.head.resume_after);
    let begun = match begin(&mut run, &mut cursor).await {
        Ok(StreamBegin::Begun(begun)) => begun,
        Ok(StreamBegin::Response(response)) => return forward::finish(&core, &run, Ok(response)),
        Err(refusal) => return forward::finish(&core, &run, Err(refusal)),
    };
    let first_seconds = run.started.elapsed().as_secs_f64();
    core.metrics.first_seconds.observe(first_seconds);
    let (sender, parts) = mpsc::channel(EVENT_BUFFER);
    let body = response::ChannelBody::new(parts);
    let mut response = http::Response::new(body.boxed_unsync());
    *response.status_mut() = begun.parts.status;
    *response.headers_mut() = head::encode_answer(&begun.parts.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    core.metrics.in_flight.inc();
    tokio::spawn(async move {
        let core = std::sync::Arc::clone(&run.core);
        let left = sender.clone();
        let pump = StreamPump {
            run,
            cursor,
            sender,
            events: 0,
            gap: std_time::Duration::ZERO,
            first_seconds,
        };
        pump.pump(*begun, &left).await;
        core.metrics.in_flight.dec();
    });
    response
}

/// Carries the events of a stream to its caller.
struct StreamPump {
    run: runs::CallerRun,
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
    async fn pump(mut self, begun: BegunStream, left: &mpsc::Sender<Bytes>) {
        let end = tokio::select! {
            () = left.closed() => PumpEnd::CallerLeft,
            end = self.carry(begun) => end,
        };
        let metrics = &self.run.core.metrics;
        metrics
            .total_seconds
            .observe(self.run.started.elapsed().as_secs_f64());
        metrics.gap_seconds.observe(self.gap.as_secs_f64());
        let facts = format!(
            "events={} last={} first_ms={} gap_ms={} {}",
            self.events,
            self.cursor.last().unwrap_or(0),
            (self.first_seconds * 1_000.0) as u64,
            self.gap.as_millis(),
            self.run.describe()
        );
        let service = &self.run.service;
        match end {
            PumpEnd::Complete => {
                forward::count_request(&self.run.core, service, http::StatusCode::OK);
                let detail = format!("status=200 {facts}");
                self.run.note(event::EventCode::RequestAnswered, detail);
            }
            PumpEnd::CallerLeft => {
                metrics.abandoned.inc();
                self.run.note(event::EventCode::CallerLeft, facts);
            }
            PumpEnd::Failed(cause) => {
                forward::count_request(&self.run.core, service, http::StatusCode::BAD_GATEWAY);
                let detail = format!("broken off cause={cause} {facts}");
                self.run.note(event::EventCode::RequestRefused, detail);
            }
        }
    }

    async fn carry(&mut self, begun: BegunStream) -> PumpEnd {
        let mut stream = begun.run;
        let mut event = begun.first;
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
            let next = self.next(stream).await;
            self.gap = self.gap.max(paused.elapsed());
            match next {
                Ok((next_stream, next_event)) => {
                    stream = next_stream;
                    event = next_event;
                }
                Err(cause) => return PumpEnd::Failed(cause),
            }
        }
    }

    /// Returns the next event for the caller, of this run or of one that
    /// takes its place.
    async fn next(
        &mut self,
        mut stream: StreamRun,
    ) -> Result<(StreamRun, Option<event_stream::StreamEvent>), String> {
        loop {
            let cause = match stream.step(&mut self.run).await {
                StreamStep::Event(event) => match self.cursor.accept(&event) {
                    event_stream::EventVerdict::Deliver => return Ok((stream, Some(event))),
                    event_stream::EventVerdict::Repeated => continue,
                    event_stream::EventVerdict::Gap => "an event is missing".to_owned(),
                },
                StreamStep::Ended => return Ok((stream, None)),
                StreamStep::TimeOver => return Err("no time left".to_owned()),
                StreamStep::Broken(cause) => cause,
                StreamStep::Stalled(silent) => stream.leave(&mut self.run, &silent),
            };
            let from = stream.target.runners.join(">");
            drop(stream);
            let detail = format!("ran=true cause={cause} {}", self.run.describe());
            self.run.note(event::EventCode::AttemptFailed, detail);
            if !self.run.may_send_again(true) {
                return Err(cause);
            }
            match begin(&mut self.run, &mut self.cursor).await {
                Ok(StreamBegin::Begun(begun)) => {
                    self.run.core.metrics.resumed.inc();
                    let detail = format!(
                        "from={from} to={} after={}",
                        self.run.trail,
                        self.cursor.last().unwrap_or(0)
                    );
                    self.run.note(event::EventCode::StreamResumed, detail);
                    return Ok((begun.run, begun.first));
                }
                Ok(StreamBegin::Response(response)) => {
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
async fn begin(
    run: &mut runs::CallerRun,
    cursor: &mut event_stream::EventCursor,
) -> Result<StreamBegin, response::GatewayRefusal> {
    loop {
        if run.time_left().is_zero() {
            return Err(run.time_over());
        }
        let target = match run.choose() {
            Ok(target) => target,
            Err(lack) => return Err(run.refuse(&lack.to_string())),
        };
        let guard = runs::RunGuard::new(&run.core, &target);
        let (ran, cause) = match run.send(&target, cursor.last()).await {
            runs::SendOutcome::Head { response, link } if response.status().is_success() => {
                let (parts, body) = response.into_parts();
                let mut stream = StreamRun {
                    body,
                    _link: link,
                    guard,
                    target,
                    splitter: event_stream::EventSplitter::default(),
                    active: time::Instant::now(),
                    begun: false,
                    asked: None,
                    detours: 0,
                };
                match stream.first(run, cursor).await {
                    Ok(first) => {
                        return Ok(StreamBegin::Begun(Box::new(BegunStream {
                            parts,
                            run: stream,
                            first,
                        })));
                    }
                    Err(Some(cause)) => (true, cause),
                    Err(None) => return Err(run.time_over()),
                }
            }
            runs::SendOutcome::Head { response, link } => {
                let (parts, body) = response.into_parts();
                let read = link::read_body(body, runs::RESPONSE_LIMIT_BYTES);
                let read = time::timeout(run.time_left(), read).await;
                drop(link);
                lock(&run.core.fleet).note_error(&target.runners[0]);
                run.exclude(&target.runners[0]);
                let cause = format!("status {}", parts.status.as_u16());
                if !parts.status.is_server_error() || !run.may_send_again(true) {
                    return match read {
                        Ok(Ok(bytes)) => Ok(StreamBegin::Response(forward::relay(&parts, bytes))),
                        _ => Err(run.refuse(&cause)),
                    };
                }
                run.note(event::EventCode::AttemptFailed, cause);
                continue;
            }
            runs::SendOutcome::NotRun { cause } => (false, cause),
            runs::SendOutcome::Broken { cause } => (true, cause),
            runs::SendOutcome::TimedOut => return Err(run.time_over()),
        };
        let detail = format!("ran={ran} cause={cause} {}", run.describe());
        run.note(event::EventCode::AttemptFailed, detail);
        if !run.may_send_again(ran) {
            return Err(run.refuse(&cause));
        }
    }
}

impl StreamRun {
    /// Waits for the first event that the caller lacks.
    ///
    /// The error holds the cause of a break, or nothing when time is over.
    async fn first(
        &mut self,
        run: &mut runs::CallerRun,
        cursor: &mut event_stream::EventCursor,
    ) -> Result<Option<event_stream::StreamEvent>, Option<String>> {
        loop {
            match self.step(run).await {
                StreamStep::Event(event) => match cursor.accept(&event) {
                    event_stream::EventVerdict::Deliver => return Ok(Some(event)),
                    event_stream::EventVerdict::Repeated => {}
                    event_stream::EventVerdict::Gap => {
                        return Err(Some("an event is missing".to_owned()));
                    }
                },
                StreamStep::Ended => return Ok(None),
                StreamStep::Broken(cause) => return Err(Some(cause)),
                StreamStep::Stalled(silent) => return Err(Some(self.leave(run, &silent))),
                StreamStep::TimeOver => return Err(None),
            }
        }
    }

    /// Waits for what comes next.
    async fn step(&mut self, run: &mut runs::CallerRun) -> StreamStep {
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.note_event(run);
                return StreamStep::Event(event);
            }
            if self.splitter.is_overfull() {
                run.fail(&self.target.runners[0], "an event is too long");
                return StreamStep::Broken("an event is too long".to_owned());
            }
            match time::timeout(SILENCE_TICK, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Ok(Some(Err(error))) => {
                    let cause = format!("the runner broke off: {error}");
                    run.fail(&self.target.runners[0], &cause);
                    return StreamStep::Broken(cause);
                }
                Ok(None) if self.splitter.is_partial() => {
                    let cause = "the runner ended in the middle of an event".to_owned();
                    run.fail(&self.target.runners[0], &cause);
                    return StreamStep::Broken(cause);
                }
                Ok(None) => {
                    let mut fleet = lock(&run.core.fleet);
                    self.target
                        .runners
                        .iter()
                        .for_each(|id| fleet.note_success(id));
                    return StreamStep::Ended;
                }
                Err(_) => {
                    if run.time_left().is_zero() {
                        return StreamStep::TimeOver;
                    }
                    let Some(silent) = self.silent(run).await else {
                        continue;
                    };
                    if !self.detour(run, &silent).await {
                        return StreamStep::Stalled(silent);
                    }
                }
            }
        }
    }

    fn note_event(&mut self, run: &runs::CallerRun) {
        let now = time::Instant::now();
        self.active = now;
        self.begun = true;
        let mut fleet = lock(&run.core.fleet);
        self.target
            .runners
            .iter()
            .for_each(|id| fleet.note_progress(id, now));
    }

    /// Returns the places of the runners at fault, if it is time to leave.
    async fn silent(&mut self, run: &runs::CallerRun) -> Option<Vec<usize>> {
        let policy = self.policy(run);
        let silence = self.active.elapsed();
        if !stall::is_long(silence, policy) {
            return None;
        }
        if self.asked.is_none_or(|asked| asked.elapsed() >= ASK_PERIOD) {
            self.asked = Some(time::Instant::now());
            let report = runner_call::report(self.target.address, REPORT_LIMIT).await;
            let place = match report {
                Ok(report) => self.target.fault_of(&run.head.request, &report),
                Err(_) => Some(0),
            };
            if let Some(place) = place {
                return Some(vec![place]);
            }
        }
        let now = time::Instant::now();
        let fleet = lock(&run.core.fleet);
        let runners = self.target.runners.iter();
        let stages: Vec<_> = runners.map(|id| fleet.silence(id, now)).collect();
        match stall::judge(self.active.elapsed(), &stages, policy) {
            stall::StallVerdict::Wait => None,
            stall::StallVerdict::Leave(places) => Some(places),
        }
    }

    fn policy(&self, run: &runs::CallerRun) -> stall::SilencePolicy {
        let objective = run.rule.objective.unwrap_or(DEFAULT_OBJECTIVE);
        let gap = run.rule.gap_objective.unwrap_or(DEFAULT_GAP);
        stall::SilencePolicy {
            usual: if self.begun { gap } else { objective },
            patience: PATIENCE_LEAST
                .max(objective * PATIENCE_OBJECTIVES)
                .max(gap * PATIENCE_GAPS),
        }
    }

    /// Leads the stream over other runners in place of the silent ones.
    async fn detour(&mut self, run: &mut runs::CallerRun, silent: &[usize]) -> bool {
        if silent.is_empty() || silent.contains(&0) || self.detours >= DETOUR_LIMIT {
            return false;
        }
        self.detours += 1;
        self.blame(run, silent);
        let Some(target) = run.choose_detour(&self.target, silent) else {
            return false;
        };
        let reroute = order::RunnerOrder::Reroute {
            request: run.head.request.clone(),
            path: target.path.clone(),
        };
        run.core.metrics.orders.inc();
        let (first, guard) = (&target.runners[0], order::OrderGuard::default());
        let answer = runner_call::order(target.address, first, &reroute, guard).await;
        let detail = format!(
            "silence_ms={} from={} to={} answer={answer:?}",
            self.active.elapsed().as_millis(),
            self.target.runners.join(">"),
            target.runners.join(">")
        );
        run.note(event::EventCode::StreamRerouted, detail);
        let taken = matches!(
            answer,
            Ok(order::OrderAnswer::Begun | order::OrderAnswer::Holds)
        );
        if taken {
            self.guard = runs::RunGuard::new(&run.core, &target);
            run.trail = target.runners.join(">");
            self.target = target;
            // The new stages read all tokens so far before the next event.
            self.active = time::Instant::now();
        }
        taken
    }

    /// Leaves silent runners out; a lone one is told to be at fault.
    fn blame(&self, run: &mut runs::CallerRun, silent: &[usize]) {
        let runners = &self.target.runners;
        match silent {
            [place] if *place < runners.len() => run.fail(&runners[*place], "silent"),
            // Where several are silent most of them only wait for another.
            _ => silent
                .iter()
                .filter_map(|place| runners.get(*place))
                .for_each(|id| run.exclude(id)),
        }
    }

    /// Notes the silent runners and returns the cause for the log.
    fn leave(&self, run: &mut runs::CallerRun, silent: &[usize]) -> String {
        let ids: Vec<_> = silent
            .iter()
            .filter_map(|place| self.target.runners.get(*place))
            .collect();
        self.blame(run, silent);
        let names: Vec<_> = ids.iter().map(|id| id.as_str()).collect();
        format!(
            "silent for {} ms at {}",
            self.active.elapsed().as_millis(),
            names.join(",")
        )
    }
}
