//! A request of a caller and its attempts at runners.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::{document, head, link, runner};
use bytes::Bytes;
use futures_util::{FutureExt, future};
use http_body_util::Full;
use hyper::body;
use rand::RngExt;
use tokio::time;

use crate::event;
use crate::gateway::admission;
use crate::gateway::answer_body;
use crate::gateway::answer_end;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::demand;
use crate::gateway::dial;
use crate::gateway::fleet;
use crate::gateway::held;
use crate::gateway::leader;
use crate::gateway::link_budget;
use crate::gateway::metrics;
use crate::gateway::path;
use crate::gateway::path_load;
use crate::gateway::quarantine;
use crate::gateway::response;
use crate::gateway::retry_loan;
use crate::gateway::routing;
use crate::gateway::runner_call;
use crate::gateway::runner_limit;
use crate::gateway::selector;
use crate::gateway::stage_check;
use crate::gateway::trial;
use crate::id;
use crate::suspect;

/// Timeout for connecting to a runner; a live one accepts within a few
/// milliseconds.
const CONNECT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(300);

/// Most attempts of one request, including those that runners rejected.
pub const ATTEMPT_LIMIT: u32 = 4;

/// Most claims for a permit before a request is refused. Each one that is denied
/// keeps later requests from the same runner for a while.
const CLAIM_LIMIT: u32 = 4;

/// An attempt that may be followed by another one waits for the response head
/// for this multiple of the route's latency objective.
const HEAD_TIMEOUT_FACTOR: u32 = 3;

/// A request is not retried unless more than this time is left.
const MIN_TIME_LEFT: std_time::Duration = std_time::Duration::from_millis(20);

/// Time from an attempt that could not start, while a silent run is held, to the
/// next one. Room and retries are found again as other requests end.
const RESTART_PAUSE: std_time::Duration = std_time::Duration::from_millis(200);

/// A rejection that takes at least this long can be due to a runner that died
/// during the run; a runner that was dead before is named at once.
const LATE_REJECTION: std_time::Duration = std_time::Duration::from_millis(500);

/// Shortest `Retry-After` time for a request to a model; up to twice as long by
/// random jitter.
const MODEL_RETRY_AFTER: std_time::Duration = std_time::Duration::from_millis(1_000);

/// `Retry-After` time for a request to a plain service.
const PLAIN_RETRY_AFTER: std_time::Duration = std_time::Duration::from_millis(300);

/// A request of a caller and the state of its attempts.
pub struct CallerRequest {
    /// State of the node.
    pub core: sync::Arc<core::GatewayCore>,
    /// Document that was in force when the request arrived.
    pub table: sync::Arc<routing::RoutingTable>,
    /// Route of the request.
    pub rule: document::RouteRule,
    /// Service that the request is sent to.
    pub service: id::ServiceName,
    /// Decoded headers.
    pub head: head::CallerHead,
    /// Method, URI and headers as the caller sent them.
    pub parts: http::request::Parts,
    /// Complete body.
    pub body: Bytes,
    /// Organisation that the key belongs to.
    pub organisation: Option<id::OrganisationName>,
    /// Priority that runners are told; 0 is the highest.
    pub priority: u8,
    /// Rank in admission.
    pub rank: demand::RequestRank,
    /// Time of arrival.
    pub started: time::Instant,
    /// Time by which the response must be complete.
    pub deadline: time::Instant,
    /// Runners that get no further attempts.
    pub excluded: Vec<id::UpstreamName>,
    /// Runners that fell silent, which get no further attempts until another run
    /// delivers.
    pub silent: Vec<id::UpstreamName>,
    /// Attempts that ran or may have run.
    pub executed: u32,
    /// All attempts.
    pub attempts: u32,
    /// Runners of the latest attempt, for the log.
    pub latest_runners: String,
    /// Runs so far and the deaths of runners during them.
    pub trace: sync::Arc<crash::CrashTrace>,
    /// Runners of the runs of which nothing shows that they have ended, each with its
    /// index on the path.
    pub unfinished: Vec<(usize, crash::RunnerInstance)>,
    /// Permit for the trial, if the request may only run as one.
    pub trial: Option<trial::TrialPermit>,
    /// When the retry that was not sent yet was taken from the budget.
    pub unsent_retry: Option<time::Instant>,
    /// Until when the retry that was borrowed and not sent yet may be sent.
    pub unsent_loan: Option<time::Instant>,
    /// Whether a refused run was counted and logged since the latest attempt.
    pub is_refusal_noted: bool,
    /// Fingerprint, once it was needed.
    pub fingerprint: sync::OnceLock<suspect::RequestFingerprint>,
    /// Fingerprints of the shared parts of the prompt, once they were needed.
    pub part_keys: sync::OnceLock<Vec<suspect::RequestFingerprint>>,
    /// Whether a runner has begun an answer, which shows that no part of the prompt
    /// crashes runners.
    pub has_begun: bool,
    /// Number of the latest event that a run delivered, or that the caller had before.
    pub last_event: u64,
    /// Expected time to the first event on the latest path, in milliseconds, where it
    /// is estimated.
    pub expected_first_ms: Option<f64>,
    /// How the latest answer that ended did so, for the log.
    pub latest_end: Option<answer_end::AnswerEnd>,
}

/// One stage of a path: a runner and the layers that it runs.
#[derive(Clone, Debug, PartialEq)]
struct TargetStage {
    runner: id::UpstreamName,
    incarnation: id::IncarnationNumber,
    domain: id::DomainName,
    part: head::PathPart,
}

/// Stages that a path was planned with.
struct PlannedStages {
    stages: Vec<TargetStage>,
    /// Expected time to the first event in milliseconds.
    first_ms: f64,
}

/// Runners that an attempt is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptTarget {
    /// Runners in the order of the path; the request is sent to the first one.
    pub runners: Vec<id::UpstreamName>,
    /// Starts of the runners' processes in milliseconds since the Unix epoch; 0
    /// for an unknown one.
    pub incarnations: Vec<id::IncarnationNumber>,
    /// Failure domains of the runners.
    pub domains: Vec<id::DomainName>,
    /// Path for the request header; empty if one runner does all the work.
    pub path: Vec<head::PathPart>,
    /// Address of the first runner.
    pub address: std::net::SocketAddr,
    /// Load by runner: tokens of context times layers.
    pub load: Vec<u64>,
    /// What a run reads and transfers, where this is counted.
    pub work: Option<path_load::PathWork>,
}

impl AttemptTarget {
    /// Creates a target from stages for a context of `tokens`, or `None` if there
    /// are no stages or more than a path may have.
    fn new(stages: Vec<TargetStage>, engine: &document::EngineSpec, tokens: f64) -> Option<Self> {
        let first = stages.first()?;
        if stages.len() > head::PATH_PART_LIMIT {
            return None;
        }
        let single = stages.len() == 1 && engine.cards.is_empty();
        let load = |stage: &TargetStage| (tokens * f64::from(stage.part.layers.len())) as u64;
        Some(Self {
            address: first.part.address,
            runners: stages.iter().map(|stage| stage.runner.clone()).collect(),
            incarnations: stages.iter().map(|stage| stage.incarnation).collect(),
            domains: stages.iter().map(|stage| stage.domain.clone()).collect(),
            load: stages.iter().map(load).collect(),
            work: None,
            path: match single {
                true => Vec::new(),
                false => stages.iter().map(|stage| stage.part).collect(),
            },
        })
    }

    /// Returns the index of the runner that the first runner reports waiting for
    /// in this request.
    pub fn stalled_stage(&self, request: &str, report: &runner::RunnerReport) -> Option<usize> {
        let mut stalled = report.stalled.iter();
        let address = stalled.find(|stalled| stalled.request == request)?.address;
        self.stage_at(address)
    }

    /// Returns the index of the runner with this address on the path.
    fn stage_at(&self, address: Option<std::net::SocketAddr>) -> Option<usize> {
        self.path
            .iter()
            .position(|part| Some(part.address) == address)
    }

    /// Returns the process of a runner on the path.
    pub(crate) fn instance(&self, index: usize) -> Option<crash::RunnerInstance> {
        let address = match index {
            0 => self.address,
            _ => self.path.get(index)?.address,
        };
        Some(crash::RunnerInstance {
            crash: suspect::CrashId {
                upstream: self.runners.get(index)?.clone(),
                incarnation: *self.incarnations.get(index)?,
            },
            address,
        })
    }

    fn stage(&self, index: usize) -> TargetStage {
        TargetStage {
            runner: self.runners[index].clone(),
            incarnation: self.incarnations[index],
            domain: self.domains[index].clone(),
            part: self.path[index],
        }
    }
}

/// A request that was sent and whose response head has not arrived.
#[derive(derive_more::Debug)]
pub struct PendingAnswer {
    #[debug(skip)]
    answer: future::BoxFuture<
        'static,
        Result<(http::Response<body::Incoming>, link::HttpLink), link::LinkError>,
    >,
}

impl PendingAnswer {
    fn new(mut link: link::HttpLink, request: http::Request<Full<Bytes>>) -> Self {
        let answer = async move {
            let response = link.send(request).await?;
            Ok((response, link))
        };
        Self {
            answer: answer.boxed(),
        }
    }

    /// Waits for the response head. May be cancelled and called again until it has
    /// returned.
    ///
    /// # Errors
    ///
    /// [`link::LinkError::Lost`] if the connection breaks or the response is not valid.
    pub async fn wait(
        &mut self,
    ) -> Result<(http::Response<body::Incoming>, link::HttpLink), link::LinkError> {
        (&mut self.answer).await
    }

    /// Waits for the response head of the request with this id.
    ///
    /// # Errors
    ///
    /// The fault of the run if there is no valid answer, or the runner rejected the
    /// request.
    pub async fn wait_valid(
        mut self,
        request: &str,
    ) -> Result<(http::Response<body::Incoming>, link::HttpLink), held::RunFault> {
        let (response, link) = self
            .wait()
            .await
            .map_err(|error| held::RunFault::lost(&error, crash::CrashSign::Connection))?;
        let verdict = HeadVerdict::of(request, &response);
        let Some(fault) = verdict.fault() else {
            return Ok((response, link));
        };
        Err(held::RunFault {
            reach: match verdict {
                HeadVerdict::NotRun => AttemptReach::NotRun,
                _ => AttemptReach::Ran,
            },
            cause: fault.to_owned(),
            is_blamed: false,
            sign: None,
            response: None,
            end: None,
        })
    }
}

/// Response head and its connection, or the error that came instead; `None` if there
/// was no answer in time.
pub type SentAnswer =
    Option<Result<(http::Response<body::Incoming>, link::HttpLink), link::LinkError>>;

/// A request that was sent, and how long its response head is waited for.
#[derive(Debug)]
pub struct SentRequest {
    answer: PendingAnswer,
    sent_at: time::Instant,
    timeout: std_time::Duration,
}

impl SentRequest {
    /// Waits for the response head. May be cancelled and called again until it has
    /// returned.
    pub async fn wait(&mut self) -> SentAnswer {
        let deadline = self.sent_at + self.timeout;
        time::timeout_at(deadline, self.answer.wait()).await.ok()
    }

    /// Returns the response head that is still to come.
    pub fn into_answer(self) -> PendingAnswer {
        self.answer
    }
}

/// What a response head says about the run of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadVerdict {
    /// It belongs to the runner's answer.
    Answer,
    /// The runner did not run the request.
    NotRun,
    /// It answers another request.
    Foreign,
    /// It rejects a request that it does not name, which may be an earlier one.
    Unnamed,
    /// It lacks the proof that the runner ran the request.
    Unproved,
}

impl HeadVerdict {
    /// Judges the response head of the request with this id.
    pub fn of(request: &str, response: &http::Response<body::Incoming>) -> Self {
        let (status, headers) = (response.status(), response.headers());
        let is_valid = head::has_proof(headers) && !head::is_encoded(headers);
        let named = head::named_request(headers, request);
        if named == head::NamedRequest::Other {
            return Self::Foreign;
        }
        if head::is_not_run(status, headers) {
            return match named {
                head::NamedRequest::This => Self::NotRun,
                _ => Self::Unnamed,
            };
        }
        match status.is_success() && !is_valid {
            true => Self::Unproved,
            false => Self::Answer,
        }
    }

    /// Returns the cause of a failure of the attempt, for the caller and the log, or
    /// `None` if there is none.
    pub fn fault(self) -> Option<&'static str> {
        match self {
            Self::Answer => None,
            Self::NotRun => Some("rejected"),
            Self::Foreign => Some("answer to another request"),
            Self::Unnamed => Some("rejection that names no request"),
            Self::Unproved => Some("answer without the runner's proof"),
        }
    }
}

/// Result of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The runner sent a response head; the body may still be cut off.
    Head {
        /// Response with an unread body.
        response: http::Response<body::Incoming>,
        /// Connection that the body is read from.
        link: link::HttpLink,
    },
    /// The runner is silent; its response may still come.
    Silent {
        /// The response.
        answer: PendingAnswer,
        /// Cause, for the log.
        cause: String,
    },
    /// There is no usable response.
    Unanswered {
        /// How far the request came.
        reach: AttemptReach,
        /// Cause, for the caller and the log.
        cause: String,
    },
    /// The deadline of the request passed without a response.
    TimedOut,
}

/// How far an attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReach {
    /// No runner received the request.
    NotSent,
    /// A runner rejected the request without running it.
    NotRun,
    /// The request ran or may have run.
    Ran,
}

/// Counts an attempt as load of its runners until it is dropped.
pub struct LoadGuard {
    core: sync::Arc<core::GatewayCore>,
    load: Vec<(id::UpstreamName, u64)>,
    work: Option<path_load::WorkGuard>,
}

impl LoadGuard {
    /// Adds the load of an attempt to its runners.
    pub fn new(core: &sync::Arc<core::GatewayCore>, target: &AttemptTarget) -> Self {
        let load: Vec<_> = target
            .runners
            .iter()
            .cloned()
            .zip(target.load.iter().copied())
            .collect();
        let mut fleet = lock(&core.fleet);
        load.iter().for_each(|(id, load)| fleet.begin(id, *load));
        drop(fleet);
        let work = target.work.clone();
        Self {
            core: sync::Arc::clone(core),
            load,
            work: work.map(|work| path_load::WorkGuard::new(core, work)),
        }
    }

    /// Raises the memory that is reserved for the answer to `answer` tokens.
    fn raise(&mut self, answer: f64) {
        let Some(work) = self.work.as_mut().map(|guard| &mut guard.work) else {
            return;
        };
        let context = work.context + answer - work.answer;
        // All of the load is reserved for the same context.
        let factor = context / work.context.max(1.0);
        (work.answer, work.context) = (answer, context);
        let mut fleet = lock(&self.core.fleet);
        for (id, load) in &mut self.load {
            let added = (*load as f64 * (factor - 1.0)) as u64;
            fleet.grow(id, added);
            *load += added;
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut fleet = lock(&self.core.fleet);
        self.load.iter().for_each(|(id, load)| fleet.end(id, *load));
        drop(fleet);
        self.core.admission.wake();
    }
}

/// Returns whether a runner ran the request and failed it, which shows that the
/// request does not crash it.
fn is_own_failure(parts: &http::response::Parts) -> bool {
    parts.status == http::StatusCode::INTERNAL_SERVER_ERROR && head::has_proof(&parts.headers)
}

/// Records that nothing listens at the address of a runner's process.
pub(crate) fn note_unreachable(
    core: &core::GatewayCore,
    process: &suspect::CrashId,
    request: &str,
) {
    let (id, started_ms) = (&process.upstream, process.incarnation);
    let pause = lock(&core.fleet).note_unreachable(id, started_ms, time::Instant::now());
    if let Some(pause) = pause {
        core.note_failed(process);
        let detail = format!("request={request} pause_ms={}", pause.as_millis());
        core.note(event::EventCode::UpstreamUnreachable, id, detail);
    }
}

/// What is known of a request before its first attempt.
pub struct AdmittedCall {
    /// Document that was in force when the request arrived.
    pub table: sync::Arc<routing::RoutingTable>,
    /// Route of the request.
    pub rule: document::RouteRule,
    /// Service that the request is sent to.
    pub service: id::ServiceName,
    /// Decoded headers.
    pub head: head::CallerHead,
    /// Method, URI and headers as the caller sent them.
    pub parts: http::request::Parts,
    /// Complete body.
    pub body: Bytes,
    /// Organisation that the key belongs to.
    pub organisation: Option<id::OrganisationName>,
    /// Priority that runners are told; 0 is the highest.
    pub priority: u8,
    /// Rank in admission.
    pub rank: demand::RequestRank,
    /// Time of arrival.
    pub started: time::Instant,
    /// Time by which the response must be complete.
    pub deadline: time::Instant,
}

impl CallerRequest {
    /// Creates a request that has made no attempt yet.
    pub fn new(core: &sync::Arc<core::GatewayCore>, call: AdmittedCall) -> Self {
        Self {
            core: sync::Arc::clone(core),
            last_event: call.head.resume_after.unwrap_or(0),
            table: call.table,
            rule: call.rule,
            service: call.service,
            head: call.head,
            parts: call.parts,
            body: call.body,
            organisation: call.organisation,
            priority: call.priority,
            rank: call.rank,
            started: call.started,
            deadline: call.deadline,
            excluded: Vec::new(),
            silent: Vec::new(),
            executed: 0,
            attempts: 0,
            latest_runners: String::new(),
            trace: sync::Arc::default(),
            unfinished: Vec::new(),
            trial: None,
            unsent_retry: None,
            unsent_loan: None,
            is_refusal_noted: false,
            fingerprint: sync::OnceLock::new(),
            part_keys: sync::OnceLock::new(),
            has_begun: false,
            expected_first_ms: None,
            latest_end: None,
        }
    }

    /// Returns whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.rule.kind {
            document::RouteKind::Idempotent => true,
            document::RouteKind::NonIdempotent => false,
            document::RouteKind::Streaming => self.rule.resumable,
        }
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> std_time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Returns whether one more attempt is allowed and, if so, takes it from the
    /// retry budget, unless the last attempt, which came as far as `reach`, reached
    /// no runner.
    pub async fn claim_retry(&mut self, reach: AttemptReach) -> bool {
        if self.is_held_back().await {
            return false;
        }
        let possible = self.has_attempts(reach);
        if !possible || self.time_left() <= MIN_TIME_LEFT {
            if self.begin_refusal() {
                self.count_refused_run(if possible { "time" } else { "attempts" });
            }
            return false;
        }
        if reach == AttemptReach::NotSent {
            return true;
        }
        let now = time::Instant::now();
        let granted = lock(&self.core.budget).take(&self.service, now);
        match granted {
            true => self.unsent_retry = Some(now),
            false => self.unsent_loan = retry_loan::take(&self.core, &self.service).await,
        }
        let is_taken = granted || self.unsent_loan.is_some();
        if !is_taken && self.begin_refusal() {
            self.count_refused_run("budget");
            let detail = format!("service={} retry budget exhausted", self.service);
            self.note(event::EventCode::RetryRefused, detail);
        }
        is_taken
    }

    /// Records that no runner was found for an attempt after one that came as far as
    /// `reach`. The retry is not taken again after an attempt that reached no runner, so
    /// it is kept then.
    pub fn note_unsent(&mut self, reach: AttemptReach) {
        if reach != AttemptReach::NotSent {
            self.return_retry();
        }
    }

    /// Gives the budget back a retry that was not sent.
    pub fn return_retry(&mut self) {
        if let Some(taken_at) = self.unsent_retry.take() {
            lock(&self.core.budget).give_back(&self.service, taken_at);
        }
        if let Some(until) = self.unsent_loan.take() {
            lock(&self.core.budget).give_back_borrowed(&self.service, until);
        }
    }

    /// Returns whether the route and the kind of the request leave it another attempt
    /// after one that came as far as `reach`.
    pub fn has_attempts(&self, reach: AttemptReach) -> bool {
        let allowed = match reach {
            AttemptReach::Ran => self.is_repeatable() && self.executed < self.rule.max_attempts,
            AttemptReach::NotSent | AttemptReach::NotRun => true,
        };
        allowed && self.attempts < ATTEMPT_LIMIT
    }

    /// Returns how long silent runs are waited for before another attempt is sought
    /// after one that came as far as `reach`.
    pub fn restart_wait(&self, reach: AttemptReach) -> std_time::Duration {
        let left = self.time_left();
        match self.has_attempts(reach) {
            true => left.min(RESTART_PAUSE),
            false => left,
        }
    }

    /// Returns whether this is the first refused run since the latest attempt. A request
    /// that holds a silent run seeks another one many times.
    pub(crate) fn begin_refusal(&mut self) -> bool {
        !std::mem::replace(&mut self.is_refusal_noted, true)
    }

    /// Counts a run that was not started.
    pub(crate) fn count_refused_run(&self, cause: &'static str) {
        let labels = metrics::RunRefusalLabels { cause };
        self.core.metrics.refused_runs.get_or_create(&labels).inc();
    }

    /// Records an event about the request.
    pub fn note(&self, code: event::EventCode, detail: impl Into<String>) {
        self.core.note(code, &self.head.request, detail);
    }

    /// Describes the request for the log.
    pub fn describe(&self) -> String {
        let expected = self.expected_first_ms.map_or(String::new(), |expected| {
            format!(" expected_first_ms={}", expected as u64)
        });
        let end = self
            .latest_end
            .map_or(String::new(), |end| format!(" {end}"));
        format!(
            "route={} service={} organisation={} document={} priority={} runs={} sends={} runners={} ms={} stop={}",
            self.rule.name,
            self.service,
            self.organisation.as_deref().unwrap_or("none"),
            self.table.version(),
            self.priority,
            self.executed,
            self.attempts,
            self.latest_runners,
            self.started.elapsed().as_millis(),
            self.core.stop_phase(),
        ) + &end
            + &expected
    }

    /// Chooses the runners for the next attempt, and gets a permit if the first
    /// one named a limit. Without a permit, other runners are chosen.
    ///
    /// # Errors
    ///
    /// [`selector::PathError`] when no runners can serve the request now.
    pub async fn acquire_target(&mut self) -> Result<AttemptTarget, selector::PathError> {
        for _ in 0..CLAIM_LIMIT {
            let target = match self.choose_target() {
                Err(_) if self.limit_pauses().iter().any(Option::is_some) => break,
                chosen => chosen?,
            };
            if let Some(gone) = self.find_gone(&target).await {
                self.exclude(&gone);
                continue;
            }
            let first = &target.runners[0];
            if runner_limit::claim(&self.core, first, &self.head.request).await
                && self.is_usable(&target)
            {
                return Ok(target);
            }
        }
        match self.limit_pauses().iter().any(Option::is_some) {
            true => Err(selector::PathError::Limited),
            false => Err(selector::PathError::NoRunner),
        }
    }

    /// Returns a runner of the target that is dead already, if the request is sent
    /// as a trial: its death must not count against the request.
    async fn find_gone(&self, target: &AttemptTarget) -> Option<id::UpstreamName> {
        self.trial.as_ref()?;
        let stages = 0..target.runners.len();
        let instances = stages.filter_map(|stage| target.instance(stage));
        let checks = instances.map(async |instance| {
            let is_gone = crash::is_gone(&self.core, &instance).await;
            is_gone.then_some(instance.crash.upstream)
        });
        let gone = future::join_all(checks).await;
        gone.into_iter().flatten().next()
    }

    /// Returns whether all runners of a target may still get requests. One may have
    /// left, or asked for a pause, while the request waited for a permit.
    fn is_usable(&self, target: &AttemptTarget) -> bool {
        let now = time::Instant::now();
        let fleet = lock(&self.core.fleet);
        let is_usable =
            |state: &fleet::RunnerState| state.is_usable(now) && state.pause_left(now).is_none();
        let mut states = target.runners.iter().map(|id| fleet.get(id));
        states.all(|state| state.is_some_and(is_usable))
    }

    /// Returns for each usable runner of the service how long its limit keeps this
    /// node from it, if it does.
    fn limit_pauses(&self) -> Vec<Option<std_time::Duration>> {
        let now = time::Instant::now();
        let fleet = lock(&self.core.fleet);
        let runners = fleet.runners().iter();
        let usable =
            runners.filter(|state| state.record.service == self.service && state.is_usable(now));
        usable.map(|state| state.pause_left(now)).collect()
    }

    fn choose_target(&self) -> Result<AttemptTarget, selector::PathError> {
        let spec = self.table.service(&self.service);
        let chosen = match spec.and_then(|spec| spec.engine.as_ref()) {
            Some(engine) => self.choose_path(engine),
            None => self.choose_runner().ok_or(selector::PathError::NoRunner),
        };
        match chosen {
            Err(selector::PathError::NoRunner) if self.has_unreachable_runner() => {
                Err(selector::PathError::Unreachable)
            }
            chosen => chosen,
        }
    }

    /// Returns whether the process of some runner of the service does not exist.
    fn has_unreachable_runner(&self) -> bool {
        let now = time::Instant::now();
        let fleet = lock(&self.core.fleet);
        let mut runners = fleet.runners().iter();
        runners.any(|state| state.record.service == self.service && state.is_unreachable(now))
    }

    /// Chooses a runner of a plain service by its load, its failures and whether it
    /// is in another failure domain.
    fn choose_runner(&self) -> Option<AttemptTarget> {
        let now = time::Instant::now();
        let fleet = lock(&self.core.fleet);
        let cost = |state: &fleet::RunnerState| {
            let busy = f64::from(state.in_flight) / f64::from(state.record.slots);
            let far = state.record.domain != self.core.settings.domain;
            let avoided = state.is_avoided(now);
            busy + 4.0 * state.failure_rate + 0.5 * f64::from(far) + 100.0 * f64::from(avoided)
        };
        let usable = self.usable_runners(&fleet, now);
        let best = usable.min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
        Some(AttemptTarget {
            runners: vec![best.record.id.clone()],
            incarnations: vec![best.record.started_ms.unwrap_or(0)],
            domains: vec![best.record.domain.clone()],
            path: Vec::new(),
            address: best.record.address,
            load: vec![0],
            work: None,
        })
    }

    /// Chooses a path over the runners of a model.
    fn choose_path(
        &self,
        engine: &document::EngineSpec,
    ) -> Result<AttemptTarget, selector::PathError> {
        let planned =
            self.plan_stages(engine, engine.all_layers(), &self.core.settings.domain, &[])?;
        let target = AttemptTarget::new(planned.stages, engine, self.context_tokens(engine))
            .ok_or(selector::PathError::NoRunner)?;
        let work = self.work(engine, &target, &[]).map(|work| {
            let first_ms = planned.first_ms;
            path_load::PathWork { first_ms, ..work }
        });
        Ok(AttemptTarget { work, ..target })
    }

    /// Returns whether paths of an engine are judged by their times.
    fn is_timed(&self, engine: &document::EngineSpec) -> bool {
        let has_link = engine.link_mbps.is_some_and(|link| link > 0.0);
        self.core.settings.share_demand && (!engine.cards.is_empty() || has_link)
    }

    /// Returns what a run reads and transfers, except on the runners in `kept`, which
    /// have read all tokens, if this is counted.
    fn work(
        &self,
        engine: &document::EngineSpec,
        target: &AttemptTarget,
        kept: &[id::UpstreamName],
    ) -> Option<path_load::PathWork> {
        if !self.is_timed(engine) {
            return None;
        }
        let tokens = self.prompt_tokens(engine) + self.answered_tokens(engine);
        let layers = |index: usize| {
            let part = target.path.get(index);
            part.map_or(engine.layers, |part| part.layers.len())
        };
        let is_new = |index: &usize| !kept.contains(&target.runners[*index]);
        let unread = (0..target.runners.len()).filter(is_new).map(|index| {
            let token_layers = tokens * f64::from(layers(index));
            let key = leader::runner_key(&target.runners[index]);
            (key, token_layers as u64)
        });
        let domains = &target.domains;
        let hops = (1..domains.len()).filter(|index| domains[*index] != domains[index - 1]);
        let crossings = hops.map(|index| path_load::PathCrossing {
            link: link_budget::LinkKey {
                from: demand::name_key(&domains[index - 1]),
                to: demand::name_key(&domains[index]),
            },
            prompt_bytes: engine.activation_bytes * tokens * f64::from(is_new(&index)),
        });
        Some(path_load::PathWork {
            unread: unread.collect(),
            crossings: crossings.collect(),
            event_bytes: engine.activation_bytes * f64::from(engine.event_tokens),
            answer: self.reserved_answer(engine),
            context: self.context_tokens(engine),
            first_ms: 0.0,
        })
    }

    /// Chooses other runners for the silent stages of an attempt.
    ///
    /// The first stage cannot be replaced, since it holds the connection. Runners that
    /// have `refused` are not chosen.
    pub fn choose_reroute(
        &self,
        target: &AttemptTarget,
        silent: &[usize],
        refused: &[id::UpstreamName],
    ) -> Option<AttemptTarget> {
        let engine = self.table.service(&self.service)?.engine.as_ref()?;
        if silent.contains(&0) || target.path.is_empty() {
            return None;
        }
        let mut stages: Vec<TargetStage> = Vec::new();
        let mut index = 0;
        while index < target.path.len() {
            let from = target.path[index].layers.from;
            if !silent.contains(&index) {
                stages.push(target.stage(index));
                index += 1;
                continue;
            }
            while index < target.path.len() && silent.contains(&index) {
                index += 1;
            }
            let layers = runner::LayerSpan {
                from,
                to: target.path[index - 1].layers.to,
            };
            let domain = stages.last().map(|stage| stage.domain.clone())?;
            let chosen = stages.iter().map(|stage| &stage.runner);
            let excluded = target.runners.iter().chain(refused).chain(chosen);
            let excluded: Vec<_> = excluded.cloned().collect();
            let plan = |excluded: &[_]| self.plan_stages(engine, layers, &domain, excluded);
            let spread = self.core.settings.probe_stages;
            let some = spread.then(|| plan(&self.leave_out_half(&excluded)));
            // A detour over another failure domain costs all users of the link.
            let is_near = |planned: &PlannedStages| {
                let mut stages = planned.stages.iter();
                stages.all(|stage| stage.domain == domain)
            };
            let other = match some {
                Some(Ok(other)) if is_near(&other) => other,
                _ => plan(&excluded).ok()?,
            };
            stages.extend(other.stages);
        }
        let rerouted = AttemptTarget::new(stages, engine, self.context_tokens(engine))?;
        let work = self.work(engine, &rerouted, &target.runners);
        Some(AttemptTarget { work, ..rerouted })
    }

    /// Adds a random half of the runners of the service to `excluded`.
    ///
    /// All hosts replace a lost runner at the same moment and know nothing of each
    /// other's choice yet, so without it they would choose the same substitute.
    fn leave_out_half(&self, excluded: &[id::UpstreamName]) -> Vec<id::UpstreamName> {
        let fleet = lock(&self.core.fleet);
        let runners = fleet.runners().iter();
        let ids = runners.filter(|state| state.record.service == self.service);
        let mut rng = rand::rng();
        let left_out = ids.filter(|_| rng.random::<bool>());
        let left_out = left_out.map(|state| &state.record.id);
        left_out.chain(excluded).cloned().collect()
    }

    /// Plans the stages for `layers` without the `excluded` runners; `domain` is
    /// the failure domain that the path starts from.
    fn plan_stages(
        &self,
        engine: &document::EngineSpec,
        layers: runner::LayerSpan,
        domain: &str,
        excluded: &[id::UpstreamName],
    ) -> Result<PlannedStages, selector::PathError> {
        let now = time::Instant::now();
        let is_timed = self.is_timed(engine);
        let view = match is_timed {
            true => path_load::WorkView::read(&self.core, now),
            false => path_load::WorkView::default(),
        };
        let leads = lock(&self.core.loads);
        let fleet = lock(&self.core.fleet);
        let usable = self.usable_runners(&fleet, now);
        let states: Vec<_> = usable
            .filter(|state| !excluded.contains(&state.record.id))
            .collect();
        let mut domains: Vec<_> = states
            .iter()
            .map(|state| state.record.domain.as_str())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let nodes = self.core.members.fleet_size();
        let timing = is_timed.then(|| view.timing(engine, &self.rule, &domains, nodes));
        let answered = match is_timed {
            true => self.answered_tokens(engine),
            false => 0.0,
        };
        let answer = self.answer_tokens(engine) - answered;
        let query = path::PathQuery {
            engine,
            layers,
            domain: domains.binary_search(&domain).ok(),
            prompt: self.prompt_tokens(engine) + answered,
            answer: answer.max(0.0),
            context: self.context_tokens(engine),
            timing: timing.as_ref(),
        };
        let choose = |unreported: f64, query: &path::PathQuery<'_>| {
            let selector = selector::PathSelector {
                engine,
                leads: &leads,
                unreported,
                unread: [&view.own_prompts, &view.other_prompts],
                now,
            };
            selector.choose(&states, &domains, query)
        };
        let unreported = leads.unreported_load(fleet.in_flight(), nodes);
        let chosen = match choose(unreported, &query) {
            // Load that is only estimated must not cause a refusal.
            Err(_) if unreported > 0.0 => choose(0.0, &query),
            chosen => chosen,
        };
        let expected = query.prompt + query.answer;
        let chosen = match chosen {
            // Nor must memory that only long answers need.
            Err(selector::PathError::NoCapacity) if query.context > expected => {
                let context = expected;
                choose(0.0, &path::PathQuery { context, ..query })?
            }
            chosen => chosen?,
        };
        let stage = |stage: &path::PathStage| TargetStage {
            runner: states[stage.runner].record.id.clone(),
            incarnation: states[stage.runner].record.started_ms.unwrap_or(0),
            domain: states[stage.runner].record.domain.clone(),
            part: head::PathPart {
                address: states[stage.runner].record.address,
                layers: stage.layers,
            },
        };
        Ok(PlannedStages {
            stages: chosen.stages.iter().map(stage).collect(),
            first_ms: chosen.first_ms,
        })
    }

    fn usable_runners<'a>(
        &'a self,
        fleet: &'a fleet::RunnerFleet,
        now: time::Instant,
    ) -> impl Iterator<Item = &'a fleet::RunnerState> {
        fleet.runners().iter().filter(move |state| {
            state.record.service == self.service
                && state.is_usable(now)
                && state.pause_left(now).is_none()
                && !self.excluded.contains(&state.record.id)
                && !self.silent.contains(&state.record.id)
        })
    }

    fn prompt_tokens(&self, engine: &document::EngineSpec) -> f64 {
        let prompt = self.head.prompt_tokens;
        prompt.map_or(engine.prompt_tokens, f64::from)
    }

    /// Returns the length of the context that memory is reserved for, in tokens.
    pub fn context_tokens(&self, engine: &document::EngineSpec) -> f64 {
        self.prompt_tokens(engine) + self.reserved_answer(engine)
    }

    /// Returns the length of the answer that memory is reserved for, in tokens.
    fn reserved_answer(&self, engine: &document::EngineSpec) -> f64 {
        let expected = self.answer_tokens(engine);
        if !self.is_timed(engine) {
            return expected;
        }
        let reached = self.answered_tokens(engine);
        let lengths = lock(&self.core.lengths);
        let reserved = lengths.reserved(&self.rule.name, expected, reached);
        reserved.min(self.answer_limit())
    }

    /// Returns the number of tokens in the answer so far.
    fn answered_tokens(&self, engine: &document::EngineSpec) -> f64 {
        // Callers name the latest event that they have, so it may be any number.
        let events = u32::try_from(self.last_event).unwrap_or(u32::MAX);
        let tokens = f64::from(events) * f64::from(engine.event_tokens);
        tokens.min(self.answer_limit())
    }

    /// Returns the longest answer that the caller accepts, in tokens.
    fn answer_limit(&self) -> f64 {
        self.head.answer_limit.map_or(f64::MAX, f64::from)
    }

    /// Records an event of a run and reserves more memory if its answer outgrew what
    /// was reserved.
    pub fn note_event(&mut self, number: Option<u64>, guard: &mut LoadGuard) {
        // An event that does not continue the stream tells nothing about its length.
        if let Some(number) = number
            && self.last_event.checked_add(1) == Some(number)
        {
            self.last_event = number;
        }
        let Some(work) = &mut guard.work else {
            return;
        };
        work.note_event();
        let reserved = work.work.answer;
        let spec = self.table.service(&self.service);
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else {
            return;
        };
        let reached = self.answered_tokens(engine);
        if reached <= reserved || reserved >= self.answer_limit() {
            return;
        }
        let expected = self.answer_tokens(engine);
        let corrected = lock(&self.core.lengths).corrected(&self.rule.name, expected, reached);
        guard.raise(corrected.min(self.answer_limit()));
        self.core.metrics.corrected_reservations.inc();
    }

    /// Records the length of a complete answer.
    pub fn note_length(&self) {
        let spec = self.table.service(&self.service);
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        let Some(engine) = engine.filter(|engine| self.is_timed(engine)) else {
            return;
        };
        let expected = self.answer_tokens(engine);
        let tokens = self.answered_tokens(engine);
        lock(&self.core.lengths).observe(&self.rule.name, expected, tokens);
    }

    /// Returns how far the answer has come after `events` events in `elapsed`, or `None`
    /// if the service is no model.
    pub fn progress(
        &self,
        events: u64,
        elapsed: std_time::Duration,
    ) -> Option<stage_check::StreamProgress> {
        let engine = self.table.service(&self.service)?.engine.as_ref()?;
        Some(stage_check::StreamProgress {
            expected_tokens: self.answer_tokens(engine),
            token_limit: self.head.answer_limit.map_or(f64::MAX, f64::from),
            tokens: events * u64::from(engine.event_tokens.max(1)),
            events,
            elapsed,
        })
    }

    /// Returns the expected length of the answer in tokens.
    fn answer_tokens(&self, engine: &document::EngineSpec) -> f64 {
        let limit = self.answer_limit();
        let usual = match engine.answer_tokens > 0.0 {
            true => engine.answer_tokens,
            false => limit,
        };
        self.head.answer_hint.map_or(usual, f64::from).min(limit)
    }

    /// Sends the request once and waits for the head of the response.
    ///
    /// A resumed stream continues after the event `resume_after`.
    pub async fn send(
        &mut self,
        target: &AttemptTarget,
        resume_after: Option<u64>,
    ) -> AttemptOutcome {
        match self.dispatch(target, resume_after).await {
            Ok(mut sent) => {
                let answered = sent.wait().await;
                self.conclude(target, sent, answered).await
            }
            Err(outcome) => outcome,
        }
    }

    /// Sends the request once.
    ///
    /// A resumed stream continues after the event `resume_after`.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt if nothing was sent.
    pub async fn dispatch(
        &mut self,
        target: &AttemptTarget,
        resume_after: Option<u64>,
    ) -> Result<SentRequest, AttemptOutcome> {
        self.attempts += 1;
        self.is_refusal_noted = false;
        if let Some(work) = &target.work {
            self.expected_first_ms = Some(work.first_ms);
            let metrics = &self.core.metrics;
            metrics.path_crossings.inc_by(work.crossings.len() as u64);
            let seconds = work.first_ms / 1_000.0;
            metrics.expected_first_seconds.observe(seconds);
        }
        self.latest_runners = target.runners.join(">");
        let connect = CONNECT_TIMEOUT.min(self.time_left());
        let opened = dial::open_link(&*self.core.dialer, target.address, connect).await;
        let link = match opened {
            Ok(dialed) => {
                if let Some(via) = &dialed.via {
                    self.latest_runners.push_str(&format!(" via={via}"));
                }
                dialed.link
            }
            Err(error) => {
                let cause = error.to_string();
                match error.is_confirmed {
                    true => self.fail_runner(&target.runners[0], &cause),
                    // This node may be cut off from all runners.
                    false => self.exclude(&target.runners[0]),
                }
                if error.is_closed()
                    && let Some(instance) = target.instance(0)
                {
                    note_unreachable(&self.core, &instance.crash, &self.head.request);
                }
                return Err(AttemptOutcome::Unanswered {
                    reach: AttemptReach::NotSent,
                    cause,
                });
            }
        };
        let Some(request) = self.encode(target, resume_after) else {
            let cause = "the request cannot be passed on".to_owned();
            return Err(AttemptOutcome::Unanswered {
                reach: AttemptReach::NotSent,
                cause,
            });
        };
        let sent_at = time::Instant::now();
        if self.unsent_retry.take().is_some() {
            self.core.metrics.retries.inc();
        }
        self.unsent_loan = None;
        self.begin_run(&target.runners);
        let stages = 0..target.runners.len();
        let instances = stages.filter_map(|stage| Some((stage, target.instance(stage)?)));
        self.unfinished.extend(instances);
        let timeout = self.head_timeout();
        // Counted before the wait, in which this attempt may be dropped.
        self.executed += 1;
        Ok(SentRequest {
            answer: PendingAnswer::new(link, request),
            sent_at,
            timeout,
        })
    }

    /// Judges what a wait for the head of a response returned.
    pub async fn conclude(
        &mut self,
        target: &AttemptTarget,
        sent: SentRequest,
        answered: SentAnswer,
    ) -> AttemptOutcome {
        let SentRequest {
            answer,
            sent_at,
            timeout,
        } = sent;
        let (response, link) = match answered {
            None if !self.time_left().is_zero() => {
                let cause = format!("no answer in {} ms", timeout.as_millis());
                self.exclude_unresponsive(target, &cause).await;
                return AttemptOutcome::Silent { answer, cause };
            }
            None => {
                self.check_crash(target, 0, crash::CrashSign::Timeout, false);
                return AttemptOutcome::TimedOut;
            }
            Some(Err(error)) => {
                let fault = held::RunFault::lost(&error, crash::CrashSign::Connection);
                self.note_fault(target, &fault, false);
                return AttemptOutcome::Unanswered {
                    reach: AttemptReach::Ran,
                    cause: fault.cause,
                };
            }
            Some(Ok(answered)) => answered,
        };
        self.check_response(target, response, link, sent_at)
    }

    /// Returns how long this attempt may wait for the response head: until the
    /// deadline if it is the last one or the route has no latency objective, else
    /// [`HEAD_TIMEOUT_FACTOR`] times the objective.
    fn head_timeout(&self) -> std_time::Duration {
        let last = !self.is_repeatable() || self.executed + 1 >= self.rule.max_attempts;
        let objective = self.rule.objective.filter(|_| !last);
        let limit = objective.map_or(self.time_left(), |objective| {
            objective * HEAD_TIMEOUT_FACTOR
        });
        limit.min(self.time_left())
    }

    /// Excludes the runner that an unanswered attempt was waiting for: the one that
    /// the first runner's report names, else the first runner.
    async fn exclude_unresponsive(&mut self, target: &AttemptTarget, cause: &str) {
        let first = &target.runners[0];
        let report = match target.path.is_empty() {
            true => Err(cause.to_owned()),
            false => runner_call::report(&*self.core.dialer, target.address, CONNECT_TIMEOUT).await,
        };
        let stalled = match report {
            Err(cause) => {
                self.note_failed_runner(first, &cause);
                self.exclude_silent(first);
                Some(0)
            }
            Ok(report) => {
                let stalled = target.stalled_stage(&self.head.request, &report);
                if let Some(index) = stalled {
                    self.note_failed_runner(&target.runners[index], cause);
                }
                self.exclude_silent(&target.runners[stalled.unwrap_or(0)]);
                stalled
            }
        };
        if let Some(index) = stalled {
            self.check_crash(target, index, crash::CrashSign::Timeout, false);
        }
    }

    fn encode(
        &self,
        target: &AttemptTarget,
        resume_after: Option<u64>,
    ) -> Option<http::Request<Full<Bytes>>> {
        let runner_head = head::RunnerHead {
            deadline: self.time_left(),
            runner: &target.runners[0],
            organisation: self.organisation.as_deref(),
            path: &target.path,
            priority: Some(self.priority),
            resume_after,
        };
        let uri = self.parts.uri.path_and_query()?.as_str();
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = uri.parse().ok()?;
        *request.headers_mut() = head::encode_runner(&self.parts.headers, &runner_head);
        Some(request)
    }

    fn check_response(
        &mut self,
        target: &AttemptTarget,
        response: http::Response<body::Incoming>,
        link: link::HttpLink,
        sent_at: time::Instant,
    ) -> AttemptOutcome {
        let (status, headers) = (response.status(), response.headers());
        let verdict = HeadVerdict::of(&self.head.request, &response);
        let fault = verdict.fault().unwrap_or_default().to_owned();
        if matches!(verdict, HeadVerdict::Foreign | HeadVerdict::Unnamed) {
            self.fail_runner(&target.runners[0], &fault);
            return AttemptOutcome::Unanswered {
                reach: AttemptReach::Ran,
                cause: fault,
            };
        }
        if let Some(instance) = target.instance(0) {
            runner_limit::observe(&self.core, &instance.crash, headers, sent_at);
            if head::is_leaving(headers) {
                self.note_leaving(&instance.crash);
            }
        }
        if let Some(pause) = head::pause(status, headers) {
            self.note_pause(&target.runners[0], pause);
        }
        if verdict == HeadVerdict::NotRun {
            let stage = target.stage_at(head::fault_address(headers)).unwrap_or(0);
            self.executed -= 1;
            let cause = self.note_rejection(target, status, stage);
            if stage != 0 && sent_at.elapsed() >= LATE_REJECTION {
                self.check_crash(target, stage, crash::CrashSign::Rejection, false);
            }
            return AttemptOutcome::Unanswered {
                reach: AttemptReach::NotRun,
                cause,
            };
        }
        if verdict == HeadVerdict::Unproved {
            self.fail_runner(&target.runners[0], &fault);
            return AttemptOutcome::Unanswered {
                reach: AttemptReach::Ran,
                cause: fault,
            };
        }
        AttemptOutcome::Head { response, link }
    }

    /// Records that a runner's answer says that it leaves.
    fn note_leaving(&self, process: &suspect::CrashId) {
        let (id, started_ms) = (&process.upstream, process.incarnation);
        if lock(&self.core.fleet).note_leaving(id, started_ms) {
            let detail = format!("request={}", self.head.request);
            self.core
                .note(event::EventCode::UpstreamLeaving, id, detail);
        }
    }

    /// Records that a runner wants no requests of this node for some time.
    fn note_pause(&self, id: &str, pause: std_time::Duration) {
        lock(&self.core.fleet).refuse(id, time::Instant::now() + pause);
        let detail = format!(
            "request={} asked_by=runner pause_ms={}",
            self.head.request,
            pause.as_millis()
        );
        self.core.note(event::EventCode::UpstreamPaused, id, detail);
    }

    /// Records which runner rejected the request, excludes it and returns the cause.
    fn note_rejection(
        &mut self,
        target: &AttemptTarget,
        status: http::StatusCode,
        stage: usize,
    ) -> String {
        let id = target.runners[stage].clone();
        let cause = format!("status {} of {id}", status.as_u16());
        self.end_run(target);
        if let Some(permit) = &mut self.trial {
            permit.state = trial::PermitState::Rejected;
        }
        let now = time::Instant::now();
        let mut fleet = lock(&self.core.fleet);
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            fleet.note_missing_layers(&id);
        }
        fleet.note_refusal(&id, now);
        drop(fleet);
        if stage != 0
            && let Some(instance) = target.instance(stage)
        {
            self.check_listening(instance);
        }
        self.exclude(&id);
        cause
    }

    /// Checks in the background whether a process listens at the address of a later
    /// stage that rejected the request. The first runner names a stage in the same
    /// way whether it is dead or short of memory.
    fn check_listening(&self, instance: crash::RunnerInstance) {
        let now = time::Instant::now();
        if !lock(&self.core.fleet).begin_check(&instance.crash.upstream, now) {
            return;
        }
        let core = sync::Arc::clone(&self.core);
        let request = self.head.request.clone();
        tokio::spawn(async move {
            let opened = core.dialer.open(instance.address, CONNECT_TIMEOUT).await;
            if opened.is_err_and(|error| error.is_closed()) {
                note_unreachable(&core, &instance.crash, &request);
            }
        });
    }

    /// Records that a run has ended.
    fn end_run(&mut self, target: &AttemptTarget) {
        self.unfinished
            .retain(|(_, instance)| !target.runners.contains(&instance.crash.upstream));
    }

    /// Records that a runner reported a failure of the request.
    pub fn note_reported_failure(&mut self, target: &AttemptTarget, parts: &http::response::Parts) {
        if is_own_failure(parts) {
            self.note_survived();
        }
        lock(&self.core.fleet).note_error(&target.runners[0]);
        self.exclude(&target.runners[0]);
    }

    /// Returns what judges the ends of answers of the first runner.
    pub fn end_judge(&self, target: &AttemptTarget) -> answer_end::EndJudge {
        answer_end::EndJudge {
            core: sync::Arc::clone(&self.core),
            request: self.head.request.clone(),
            runner: target.instance(0),
            deadline: self.deadline,
        }
    }

    /// Returns the reader of the body of an answer of the first runner.
    pub fn body_reader(&self, target: &AttemptTarget) -> answer_body::BodyReader {
        answer_body::BodyReader {
            judge: self.end_judge(target),
            runner: target.address.ip(),
        }
    }

    /// Records why a run broke. If only the way to its runner was lost, the runner may
    /// still be at work.
    pub fn note_fault(&mut self, target: &AttemptTarget, fault: &held::RunFault, progressed: bool) {
        if let Some(end) = fault.end {
            self.note_answer_end(end);
        }
        if !fault.is_blamed {
            return;
        }
        self.end_run(target);
        self.fail_runner(&target.runners[0], &fault.cause);
        if let Some(sign) = fault.sign {
            self.check_crash(target, 0, sign, progressed);
        }
    }

    /// Records how an answer ended.
    pub fn note_answer_end(&mut self, end: answer_end::AnswerEnd) {
        self.latest_end = Some(end);
        let labels = metrics::AnswerEndLabels {
            framing: end.framing.to_string(),
            connection: end.connection.to_string(),
        };
        self.core.metrics.answer_ends.get_or_create(&labels).inc();
    }

    /// Records the runs that ended without delivering while they were held; returns
    /// the latest failure that a runner reported.
    pub fn note_held_failures<T>(
        &mut self,
        held: &mut held::HeldRuns<T>,
    ) -> Option<held::FailureResponse> {
        let mut reported = None;
        for failure in held.take_failures() {
            let (target, fault) = (&failure.target, failure.fault);
            match (fault.reach, &fault.response) {
                (AttemptReach::NotSent | AttemptReach::NotRun, _) => {
                    self.end_run(target);
                    self.executed -= 1;
                    let kind = self.trace.kind_at(&target.runners[0]);
                    let is_trial = kind == Some(crash::RunKind::Trial);
                    if let Some(permit) = self.trial.as_mut().filter(|_| is_trial) {
                        permit.state = trial::PermitState::Rejected;
                    }
                }
                (AttemptReach::Ran, Some(response)) => {
                    self.end_run(target);
                    self.note_reported_failure(target, &response.parts);
                }
                (AttemptReach::Ran, None) => self.note_fault(target, &fault, failure.progressed),
            }
            let held::RunFault { reach, cause, .. } = fault;
            reported = fault.response.or(reported);
            let detail = format!(
                "reach={reach:?} cause={cause} held=true runners={} ms={}",
                target.runners.join(">"),
                self.started.elapsed().as_millis()
            );
            self.note(event::EventCode::AttemptFailed, detail);
        }
        reported
    }

    /// Records that a silent run is kept while another one is sought.
    pub fn note_held(&self, target: &AttemptTarget, cause: &str) {
        let detail = format!("runners={} cause={cause}", target.runners.join(">"));
        self.note(event::EventCode::RunHeld, detail);
    }

    /// Records that a silent run went on.
    pub fn note_regained(&mut self, target: &AttemptTarget) {
        self.return_retry();
        self.latest_runners = target.runners.join(">");
        let now = time::Instant::now();
        let mut fleet = lock(&self.core.fleet);
        for id in &target.runners {
            fleet.note_regained(id, now);
        }
        drop(fleet);
        self.note(event::EventCode::RunRegained, self.describe());
    }

    /// Records that a runner failed the request and excludes it from further attempts.
    pub fn fail_runner(&mut self, id: &str, cause: &str) {
        self.note_failed_runner(id, cause);
        self.exclude(id);
    }

    /// Records that a runner failed the request or is silent.
    pub fn note_failed_runner(&self, id: &str, cause: &str) {
        let now = time::Instant::now();
        let pause = lock(&self.core.fleet).note_failure(id, now);
        if let Some(pause) = pause {
            let detail = format!(
                "request={} pause_ms={} cause={cause}",
                self.head.request,
                pause.as_millis()
            );
            self.core
                .note(event::EventCode::UpstreamAvoided, id, detail);
        }
    }

    /// Excludes a runner from further attempts.
    pub fn exclude(&mut self, id: &str) {
        if !self.excluded.iter().any(|held| held == id) {
            self.excluded.push(id.to_owned());
        }
    }

    /// Excludes a silent runner from further attempts until another run delivers.
    pub fn exclude_silent(&mut self, id: &str) {
        if !self.silent.iter().any(|silent| silent == id) {
            self.silent.push(id.to_owned());
        }
    }

    /// Returns the `Retry-After` time of a refusal. A model has capacity again when
    /// some running streams end; a plain service has it much sooner. If all runners
    /// named limits, the first of them that may be tried again decides.
    fn retry_after(&self) -> std_time::Duration {
        let spec = self.table.service(&self.service);
        let planned = admission::plan_return(self);
        let usual = match spec.is_some_and(|spec| spec.engine.is_some()) {
            true if let Some(planned) = planned => planned,
            true => MODEL_RETRY_AFTER.mul_f64(1.0 + rand::rng().random::<f64>()),
            false => PLAIN_RETRY_AFTER,
        };
        let pauses = self.limit_pauses();
        match pauses.iter().flatten().min() {
            Some(pause) if pauses.iter().all(Option::is_some) => *pause,
            Some(pause) => usual.max(*pause),
            None => usual,
        }
    }

    /// Returns the refusal of a request that cannot be sent now.
    pub fn refusal(&self, cause: &str) -> response::GatewayRefusal {
        let quarantine_left = self.quarantine_left();
        let cause = match quarantine_left {
            Some(_) => quarantine::CAUSE,
            None => cause,
        };
        let retry_after = quarantine_left.unwrap_or_else(|| self.retry_after());
        match self.executed {
            0 => response::GatewayRefusal::not_run(cause, retry_after),
            _ => response::GatewayRefusal::failed(http::StatusCode::BAD_GATEWAY, cause),
        }
    }

    /// Returns the refusal of a request whose deadline has passed.
    pub fn timeout_refusal(&self) -> response::GatewayRefusal {
        let cause = "no answer in time";
        match self.executed {
            0 => response::GatewayRefusal::not_run(cause, self.retry_after()),
            _ => response::GatewayRefusal::failed(http::StatusCode::GATEWAY_TIMEOUT, cause),
        }
    }
}
