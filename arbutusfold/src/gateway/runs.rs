//! One request of a caller and its sends to runners.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::{document, head, link, runner};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use rand::RngExt;
use tokio::time;

use crate::event;
use crate::gateway::answer;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::fleet;
use crate::gateway::offer;
use crate::gateway::path;
use crate::gateway::routing;
use crate::gateway::runner_call;
use crate::id;

/// Longest time to connect to a runner; a live one takes a few milliseconds.
const CONNECT_LIMIT: std_time::Duration = std_time::Duration::from_millis(300);

/// Sends of one request, those included that runners turned away.
const SEND_LIMIT: u32 = 4;

/// Objectives for which a send waits for its answer while another may follow.
const HEAD_OBJECTIVES: u32 = 3;

/// Least time left with which a request is sent.
const LEAST_TIME: std_time::Duration = std_time::Duration::from_millis(20);

/// Longest answer of a plain service in bytes.
pub const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Shortest time after which a caller refused at a model is asked to return.
const PAUSE_MODEL: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Time after which a caller refused at a plain service is asked to return.
const PAUSE_SHORT: std_time::Duration = std_time::Duration::from_millis(300);

/// A request of a caller with what was done for it.
pub struct CallerRun {
    /// State of the node.
    pub core: sync::Arc<core::GatewayCore>,
    /// Document that was in force when it came.
    pub table: sync::Arc<routing::RoutingTable>,
    /// Its route.
    pub rule: document::RouteRule,
    /// Service that it goes to.
    pub service: id::ServiceName,
    /// Its head.
    pub head: head::CallerHead,
    /// Its head as sent.
    pub parts: http::request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Organisation that its key belongs to.
    pub organisation: Option<id::OrganisationName>,
    /// Rank, 0 is first.
    pub priority: u8,
    /// When it came.
    pub started: time::Instant,
    /// When its final answer is due.
    pub limit: time::Instant,
    /// Runners that are not tried again.
    pub excluded: Vec<id::UpstreamName>,
    /// Sends that ran or may have run.
    pub runs: u32,
    /// All sends.
    pub sends: u32,
    /// Runners of the latest send, for the log.
    pub trail: String,
}

/// One runner on a path.
#[derive(Clone, Debug, PartialEq)]
struct RunStage {
    runner: id::UpstreamName,
    domain: id::DomainName,
    part: head::PathPart,
}

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RunTarget {
    /// Runners in order; the first one gets the request.
    pub runners: Vec<id::UpstreamName>,
    /// Their failure domains.
    pub domains: Vec<id::DomainName>,
    /// Path for the head; empty where one runner does all.
    pub path: Vec<head::PathPart>,
    /// Address of the first runner.
    pub address: std::net::SocketAddr,
    /// Tokens of context times layers, by runner.
    pub load: Vec<u64>,
}

impl RunTarget {
    /// Returns the target over these stages for so many tokens of context, or
    /// none where it has no stage or too many.
    fn new(stages: Vec<RunStage>, engine: &document::EngineSpec, tokens: f64) -> Option<Self> {
        let first = stages.first()?;
        if stages.len() > head::PATH_PART_LIMIT {
            return None;
        }
        let single = stages.len() == 1 && engine.cards.is_empty();
        let load = |stage: &RunStage| (tokens * f64::from(stage.part.layers.len())) as u64;
        Some(Self {
            address: first.part.address,
            runners: stages.iter().map(|stage| stage.runner.clone()).collect(),
            domains: stages.iter().map(|stage| stage.domain.clone()).collect(),
            load: stages.iter().map(load).collect(),
            path: match single {
                true => Vec::new(),
                false => stages.iter().map(|stage| stage.part).collect(),
            },
        })
    }

    /// Returns the place of the runner that the first one says it waits for.
    pub fn fault_of(&self, request: &str, report: &runner::RunnerReport) -> Option<usize> {
        let mut stalled = report.stalled.iter();
        let address = stalled
            .find(|stalled| stalled.request == request)?
            .address?;
        self.path.iter().position(|part| part.address == address)
    }

    fn stage(&self, place: usize) -> RunStage {
        RunStage {
            runner: self.runners[place].clone(),
            domain: self.domains[place].clone(),
            part: self.path[place],
        }
    }
}

/// What became of one send.
#[derive(Debug)]
pub enum SendOutcome {
    /// The runner answered; the answer may still break off.
    Head {
        /// Head and unread body.
        response: http::Response<body::Incoming>,
        /// Connection that carries it.
        link: link::HttpLink,
    },
    /// It did not run.
    NotRun {
        /// Cause.
        cause: String,
    },
    /// It may have run and brought no answer.
    Broken {
        /// Cause.
        cause: String,
    },
    /// No answer came in the time it had.
    TimedOut,
}

/// Counts a send as under way at its runners while it lives.
pub struct RunGuard {
    core: sync::Arc<core::GatewayCore>,
    load: Vec<(id::UpstreamName, u64)>,
}

impl RunGuard {
    /// Counts a send.
    pub fn new(core: &sync::Arc<core::GatewayCore>, target: &RunTarget) -> Self {
        let load: Vec<_> = target
            .runners
            .iter()
            .cloned()
            .zip(target.load.iter().copied())
            .collect();
        let mut fleet = lock(&core.fleet);
        load.iter().for_each(|(id, load)| fleet.begin(id, *load));
        drop(fleet);
        Self {
            core: sync::Arc::clone(core),
            load,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut fleet = lock(&self.core.fleet);
        self.load.iter().for_each(|(id, load)| fleet.end(id, *load));
    }
}

impl CallerRun {
    /// Tells whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.rule.kind {
            document::RouteKind::Idempotent => true,
            document::RouteKind::NonIdempotent => false,
            document::RouteKind::Streaming => self.rule.resumable,
        }
    }

    /// Returns the time left until its final answer is due.
    pub fn time_left(&self) -> std_time::Duration {
        self.limit.saturating_duration_since(time::Instant::now())
    }

    /// Tells whether one more send may follow, and pays for it.
    pub fn may_send_again(&self, ran: bool) -> bool {
        let allowed = match ran {
            true => self.is_repeatable() && self.runs < self.rule.attempts,
            false => true,
        };
        let possible = allowed && self.sends < SEND_LIMIT && self.time_left() > LEAST_TIME;
        if !possible {
            return false;
        }
        let paid = lock(&self.core.budget).take(&self.service, time::Instant::now());
        match paid {
            true => {
                self.core.metrics.retries.inc();
            }
            false => {
                let detail = format!("service={} budget spent", self.service);
                self.note(event::EventCode::RetryRefused, detail);
            }
        }
        paid
    }

    /// Records an event about the request.
    pub fn note(&self, code: event::EventCode, detail: impl Into<String>) {
        self.core.note(code, &self.head.request, detail);
    }

    /// Describes the request for the log.
    pub fn describe(&self) -> String {
        format!(
            "route={} service={} organisation={} document={} priority={} runs={} sends={} runners={} ms={}",
            self.rule.name,
            self.service,
            self.organisation.as_deref().unwrap_or("none"),
            self.table.version(),
            self.priority,
            self.runs,
            self.sends,
            self.trail,
            self.started.elapsed().as_millis(),
        )
    }

    /// Chooses where to send the request.
    ///
    /// # Errors
    ///
    /// [`offer::PathLack`] when it cannot be sent anywhere now.
    pub fn choose(&self) -> Result<RunTarget, offer::PathLack> {
        let spec = self.table.service(&self.service);
        match spec.and_then(|spec| spec.engine.as_ref()) {
            Some(engine) => self.choose_path(engine),
            None => self.choose_runner().ok_or(offer::PathLack::NoHolder),
        }
    }

    /// Chooses a runner of a plain service by load, failures and distance.
    fn choose_runner(&self) -> Option<RunTarget> {
        let now = time::Instant::now();
        let fleet = lock(&self.core.fleet);
        let cost = |state: &fleet::RunnerState| {
            let busy = f64::from(state.in_flight) / f64::from(state.record.slots);
            let far = state.record.domain != self.core.settings.domain;
            let avoided = state.is_avoided(now);
            busy + 4.0 * state.failure_rate + 0.5 * f64::from(far) + 100.0 * f64::from(avoided)
        };
        let usable = self.usable(&fleet, now);
        let best = usable.min_by(|one, other| cost(one).total_cmp(&cost(other)))?;
        Some(RunTarget {
            runners: vec![best.record.id.clone()],
            domains: vec![best.record.domain.clone()],
            path: Vec::new(),
            address: best.record.address,
            load: vec![0],
        })
    }

    /// Chooses a path over the runners of a model.
    ///
    /// The refusal tells callers when to return, if every path is crowded.
    fn choose_path(&self, engine: &document::EngineSpec) -> Result<RunTarget, offer::PathLack> {
        let stages =
            self.plan_stages(engine, engine.all_layers(), &self.core.settings.domain, &[])?;
        RunTarget::new(stages, engine, self.tokens(engine)).ok_or(offer::PathLack::NoHolder)
    }

    /// Chooses other runners for the silent stages of a run.
    ///
    /// The first stage stays, since it holds the connection.
    pub fn choose_detour(&self, target: &RunTarget, silent: &[usize]) -> Option<RunTarget> {
        let engine = self.table.service(&self.service)?.engine.as_ref()?;
        if silent.contains(&0) || target.path.is_empty() {
            return None;
        }
        let mut stages: Vec<RunStage> = Vec::new();
        let mut place = 0;
        while place < target.path.len() {
            let from = target.path[place].layers.from;
            if !silent.contains(&place) {
                stages.push(target.stage(place));
                place += 1;
                continue;
            }
            while place < target.path.len() && silent.contains(&place) {
                place += 1;
            }
            let layers = runner::LayerSpan {
                from,
                to: target.path[place - 1].layers.to,
            };
            let domain = stages.last().map(|stage| stage.domain.clone())?;
            let other = self.plan_stages(engine, layers, &domain, &target.runners);
            stages.extend(other.ok()?);
        }
        RunTarget::new(stages, engine, self.tokens(engine))
    }

    /// Plans stages over some layers, without the runners that are `taken`.
    fn plan_stages(
        &self,
        engine: &document::EngineSpec,
        layers: runner::LayerSpan,
        domain: &str,
        taken: &[id::UpstreamName],
    ) -> Result<Vec<RunStage>, offer::PathLack> {
        let now = time::Instant::now();
        let leads = lock(&self.core.loads);
        let fleet = lock(&self.core.fleet);
        let usable = self.usable(&fleet, now);
        let states: Vec<_> = usable
            .filter(|state| !taken.contains(&state.record.id))
            .collect();
        let mut domains: Vec<_> = states
            .iter()
            .map(|state| state.record.domain.as_str())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        let query = path::PathQuery {
            engine,
            layers,
            domain: domains.binary_search(&domain).ok(),
            prompt: self.prompt(engine),
            answer: self.expected_answer(engine),
        };
        let choose = |unheard: f64| {
            let view = offer::OfferView {
                engine,
                leads: &leads,
                unheard,
                now,
            };
            view.choose(&states, &domains, &query)
        };
        let unheard = leads.unreported_load(fleet.in_flight(), self.core.members.fleet_size());
        let chosen = match choose(unheard) {
            // What is only estimated refuses nobody.
            Err(_) if unheard > 0.0 => choose(0.0)?,
            chosen => chosen?,
        };
        let stage = |stage: &path::PathStage| RunStage {
            runner: states[stage.place].record.id.clone(),
            domain: states[stage.place].record.domain.clone(),
            part: head::PathPart {
                address: states[stage.place].record.address,
                layers: stage.layers,
            },
        };
        Ok(chosen.stages.iter().map(stage).collect())
    }

    fn usable<'a>(
        &'a self,
        fleet: &'a fleet::RunnerFleet,
        now: time::Instant,
    ) -> impl Iterator<Item = &'a fleet::RunnerState> {
        fleet.runners().iter().filter(move |state| {
            state.record.service == self.service
                && state.is_usable(now)
                && !self.excluded.contains(&state.record.id)
        })
    }

    fn prompt(&self, engine: &document::EngineSpec) -> f64 {
        let prompt = self.head.prompt_tokens;
        prompt.map_or(engine.prompt_tokens, f64::from)
    }

    /// Tokens of context that the request takes.
    fn tokens(&self, engine: &document::EngineSpec) -> f64 {
        self.prompt(engine) + self.expected_answer(engine)
    }

    /// Tokens of the answer as expected.
    fn expected_answer(&self, engine: &document::EngineSpec) -> f64 {
        let limit = self.head.answer_limit.map_or(f64::MAX, f64::from);
        let usual = match engine.answer_tokens > 0.0 {
            true => engine.answer_tokens,
            false => limit,
        };
        self.head.answer_hint.map_or(usual, f64::from).min(limit)
    }

    /// Sends the request once and waits for the head of its answer.
    ///
    /// A stream goes on after `resume_after`.
    pub async fn send(&mut self, target: &RunTarget, resume_after: Option<u64>) -> SendOutcome {
        self.sends += 1;
        self.trail = target.runners.join(">");
        let connect = CONNECT_LIMIT.min(self.time_left());
        let mut link = match link::HttpLink::open(target.address, connect).await {
            Ok(link) => link,
            Err(error) => {
                let cause = error.to_string();
                self.fail(&target.runners[0], &cause);
                return SendOutcome::NotRun { cause };
            }
        };
        let Some(request) = self.encode(target, resume_after) else {
            let cause = "the request cannot be passed on".to_owned();
            return SendOutcome::NotRun { cause };
        };
        let limit = self.head_limit();
        let answer = time::timeout(limit, link.send(request)).await;
        let response = match answer {
            Err(_) if !self.time_left().is_zero() => {
                self.runs += 1;
                let cause = format!("no answer in {} ms", limit.as_millis());
                self.find_fault(target, &cause).await;
                return SendOutcome::Broken { cause };
            }
            Err(_) => {
                self.runs += 1;
                return SendOutcome::TimedOut;
            }
            Ok(Err(error)) => {
                self.runs += 1;
                let cause = error.to_string();
                self.fail(&target.runners[0], &cause);
                return SendOutcome::Broken { cause };
            }
            Ok(Ok(response)) => response,
        };
        self.judge(target, response, link)
    }

    /// Returns how long this send may wait for the head of an answer: to the
    /// end where it is the last one, less where another may follow.
    fn head_limit(&self) -> std_time::Duration {
        let last = !self.is_repeatable() || self.runs + 1 >= self.rule.attempts;
        let objective = self.rule.objective.filter(|_| !last);
        let limit = objective.map_or(self.time_left(), |objective| objective * HEAD_OBJECTIVES);
        limit.min(self.time_left())
    }

    /// Leaves out the runner that a send without an answer waited for.
    async fn find_fault(&mut self, target: &RunTarget, cause: &str) {
        let first = &target.runners[0];
        if target.path.is_empty() {
            return self.fail(first, cause);
        }
        match runner_call::report(target.address, CONNECT_LIMIT).await {
            Err(cause) => self.fail(first, &cause),
            Ok(report) => match target.fault_of(&self.head.request, &report) {
                Some(place) => self.fail(&target.runners[place], cause),
                None => self.exclude(first),
            },
        }
    }

    fn encode(
        &self,
        target: &RunTarget,
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

    fn judge(
        &mut self,
        target: &RunTarget,
        response: http::Response<body::Incoming>,
        link: link::HttpLink,
    ) -> SendOutcome {
        let (status, headers) = (response.status(), response.headers());
        if head::is_foreign(headers, &self.head.request) {
            self.runs += 1;
            let cause = "answer to another request".to_owned();
            self.fail(&target.runners[0], &cause);
            return SendOutcome::Broken { cause };
        }
        if head::is_not_run(status, headers) {
            let fault = head::fault_address(headers);
            let cause = self.blame(target, status, fault);
            return SendOutcome::NotRun { cause };
        }
        self.runs += 1;
        let whole = head::is_proved(headers) && !head::is_encoded(headers);
        if status.is_success() && !whole {
            let cause = "answer without the runner's proof".to_owned();
            self.fail(&target.runners[0], &cause);
            return SendOutcome::Broken { cause };
        }
        SendOutcome::Head { response, link }
    }

    /// Notes the runner that turned the request away.
    fn blame(
        &mut self,
        target: &RunTarget,
        status: http::StatusCode,
        fault: Option<std::net::SocketAddr>,
    ) -> String {
        let named = target
            .path
            .iter()
            .position(|part| Some(part.address) == fault)
            .unwrap_or(0);
        let id = target.runners[named].clone();
        let cause = format!("status {} of {id}", status.as_u16());
        let now = time::Instant::now();
        let mut fleet = lock(&self.core.fleet);
        if status == http::StatusCode::MISDIRECTED_REQUEST {
            fleet.note_missing_layers(&id);
        }
        fleet.note_refusal(&id, now);
        drop(fleet);
        self.exclude(&id);
        cause
    }

    /// Notes that a runner failed the request and leaves it out from now on.
    pub fn fail(&mut self, id: &str, cause: &str) {
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
        self.exclude(id);
    }

    /// Leaves a runner out from now on.
    pub fn exclude(&mut self, id: &str) {
        if !self.excluded.iter().any(|held| held == id) {
            self.excluded.push(id.to_owned());
        }
    }

    /// Returns when a refused caller is to come back: a model has room again
    /// once streams that run now have ended, a plain service much sooner.
    fn pause(&self) -> std_time::Duration {
        let spec = self.table.service(&self.service);
        match spec.is_some_and(|spec| spec.engine.is_some()) {
            true => PAUSE_MODEL.mul_f64(1.0 + rand::rng().random::<f64>()),
            false => PAUSE_SHORT,
        }
    }

    /// Returns the refusal of a request that cannot be sent now.
    pub fn refuse(&self, cause: &str) -> answer::GatewayRefusal {
        match self.runs {
            0 => answer::GatewayRefusal::not_run(cause, self.pause()),
            _ => answer::GatewayRefusal::failed(http::StatusCode::BAD_GATEWAY, cause),
        }
    }

    /// Returns the refusal of a request whose time is over.
    pub fn time_over(&self) -> answer::GatewayRefusal {
        let cause = "no answer in time";
        match self.runs {
            0 => answer::GatewayRefusal::not_run(cause, self.pause()),
            _ => answer::GatewayRefusal::failed(http::StatusCode::GATEWAY_TIMEOUT, cause),
        }
    }
}
