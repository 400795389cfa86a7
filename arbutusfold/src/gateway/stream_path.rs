//! The path of a running stream: its checks, and the runners that replace others.

use std::time as std_time;

use arbutusfold_platform::{document, order};
use derive_more::Display;
use futures_util::FutureExt;
use futures_util::future::{self, BoxFuture};
use rand::RngExt;
use tokio::sync::watch;
use tokio::time;

use crate::event;
use crate::gateway::answer_end;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::metrics;
use crate::gateway::request;
use crate::gateway::runner_call;
use crate::gateway::stage_check;
use crate::gateway::stage_probe;
use crate::gateway::stall;
use crate::id;

/// Time between two checks of a silent stream.
const SILENCE_CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// A stream whose events come slowly is checked after this multiple of its pace.
const SLOW_FACTOR: u32 = 2;

/// Most reroutes of one attempt.
const REROUTE_LIMIT: u32 = 3;

/// Most reroutes of one attempt away from runners that leave.
const LEAVE_REROUTE_LIMIT: u32 = 3;

/// Most orders of one reroute: substitutes may have no room.
const SUBSTITUTE_LIMIT: u32 = 3;

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

/// Returns how long callers of a route are assumed to wait for an event.
pub fn caller_patience(rule: &document::RouteRule) -> std_time::Duration {
    let objective = rule.objective.unwrap_or(DEFAULT_OBJECTIVE);
    let gap = rule.gap_objective.unwrap_or(DEFAULT_GAP);
    MIN_PATIENCE
        .max(objective * PATIENCE_OBJECTIVES)
        .max(gap * PATIENCE_GAPS)
}

/// Why runners of a running stream are replaced.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RerouteCause {
    /// They do not answer.
    #[display("failed")]
    Failed,
    /// No stream makes progress through them, or the first runner waits for them.
    #[display("silent")]
    Silent,
    /// They leave before the stream is expected to end.
    #[display("leaving")]
    Leaving,
}

/// What ended a wait of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathWake {
    /// The stages at these indices were found to have failed; there may be none.
    Failed(Vec<usize>),
    /// A decision is due.
    Due,
}

/// The runners of a stream, from its start to its end.
pub struct StreamPath {
    /// The runners.
    pub target: request::AttemptTarget,
    guard: request::LoadGuard,
    /// Time of the latest event, of the latest reroute or of the start.
    pub last_event: time::Instant,
    /// Objective for the first event.
    objective: std_time::Duration,
    /// Objective for pauses between events.
    gap: std_time::Duration,
    /// How long its caller is assumed to wait for an event.
    patience: std_time::Duration,
    /// Whether the stream has had an event on this path.
    pub has_events: bool,
    /// Events so far, and when the first of them came.
    events: u64,
    first_event_at: Option<time::Instant>,
    /// Number of reroutes so far.
    reroutes: u32,
    /// Number of attempts so far to move the stream away from runners that leave.
    leave_reroutes: u32,
    /// When to decide whether the stream stays on a stage that leaves.
    leave_at: Option<time::Instant>,
    /// Check of the stages that is under way.
    check: Option<BoxFuture<'static, Vec<usize>>>,
    /// When the stages were last checked.
    checked_at: Option<time::Instant>,
    /// Earliest time of the next check.
    check_at: time::Instant,
    /// Changes when another stream finds that a runner has failed.
    failures: watch::Receiver<u64>,
}

impl StreamPath {
    /// Creates the path of a stream that begins now.
    pub fn new(request: &request::CallerRequest, target: request::AttemptTarget) -> Self {
        let now = time::Instant::now();
        let mut path = Self {
            guard: request::LoadGuard::new(&request.core, &target),
            target,
            last_event: now,
            objective: request.rule.objective.unwrap_or(DEFAULT_OBJECTIVE),
            gap: request.rule.gap_objective.unwrap_or(DEFAULT_GAP),
            patience: caller_patience(&request.rule),
            has_events: false,
            events: 0,
            first_event_at: None,
            reroutes: 0,
            leave_reroutes: 0,
            leave_at: None,
            check: None,
            checked_at: None,
            check_at: now,
            failures: request.core.prober.failures(),
        };
        path.check_at += stage_check::patience(path.policy().expected);
        path
    }

    /// Records the head of the response.
    pub fn note_head(&mut self) {
        self.last_event = time::Instant::now();
        self.check = None;
    }

    /// Records an event.
    pub fn note_event(&mut self, request: &mut request::CallerRequest, number: Option<u64>) {
        request.note_event(number, &mut self.guard);
        let now = time::Instant::now();
        self.last_event = now;
        self.has_events = true;
        self.check = None;
        self.events += 1;
        self.first_event_at.get_or_insert(now);
        let expected = self.policy().expected;
        let pace = self.pace().min(expected);
        self.check_at = now + stage_check::patience(expected).max(pace * SLOW_FACTOR);
        self.note_leaving(request);
        let mut fleet = lock(&request.core.fleet);
        self.target
            .runners
            .iter()
            .for_each(|id| fleet.note_progress(id, now));
    }

    /// Returns the mean time between two events so far.
    fn pace(&self) -> std_time::Duration {
        let since = self.first_event_at.unwrap_or(self.last_event);
        let pauses = u32::try_from(self.events.saturating_sub(1)).unwrap_or(u32::MAX);
        (self.last_event - since) / pauses.max(1)
    }

    /// Waits until a stage is found to have failed or a decision is due. May be
    /// cancelled.
    pub async fn wake(&mut self, request: &request::CallerRequest) -> PathWake {
        let is_probed = request.core.settings.probe_stages;
        let mut wake_at = time::Instant::now() + SILENCE_CHECK_PERIOD;
        if is_probed && self.check.is_none() {
            wake_at = wake_at.min(self.check_at);
        }
        if let Some(leave_at) = self.leave_at {
            wake_at = wake_at.min(leave_at);
        }
        let check = &mut self.check;
        let checked = async {
            match check {
                Some(check) => check.await,
                None => future::pending().await,
            }
        };
        let failure = async {
            if !is_probed || self.failures.changed().await.is_err() {
                future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            failed = checked => {
                self.check = None;
                PathWake::Failed(failed)
            }
            () = failure => {
                let stages = self.stages();
                PathWake::Failed(stage_probe::known_failures(&request.core, &stages))
            }
            () = time::sleep_until(wake_at) => PathWake::Due,
        }
    }

    /// Carries out what is due; returns whether a check of the stages is under way.
    pub async fn tend(&mut self, request: &mut request::CallerRequest) -> bool {
        self.leave_early(request).await;
        if self.check.is_none() {
            self.check = self.begin_check(request);
        }
        self.check.is_some()
    }

    /// Replaces stages at fault; returns whether the stream goes on without them.
    pub async fn replace(
        &mut self,
        request: &mut request::CallerRequest,
        failed: &[usize],
        cause: RerouteCause,
    ) -> bool {
        for stage in failed {
            let sign = crash::CrashSign::Silence;
            request.check_crash(&self.target, *stage, sign, self.has_events);
        }
        self.reroute(request, failed, cause).await
    }

    /// Returns whether a later runner is found to have failed after a silence that is
    /// longer than expected. This protects answers, so it does not depend on the settings.
    pub async fn has_failed_stage(
        &mut self,
        silence: std_time::Duration,
        judge: &answer_end::EndJudge,
    ) -> bool {
        let core = &judge.core;
        let is_checked = silence > self.policy().expected;
        let stages = self.stages().into_iter().skip(1);
        let stages: Vec<_> = stages
            .filter(|stage| is_checked && !answer_end::may_end(core, stage))
            .collect();
        if stages.is_empty() {
            return false;
        }
        let stream = self.checked_stream(&judge.request, stages);
        let check = stage_probe::check(std::sync::Arc::clone(core), stream);
        let failed = time::timeout_at(judge.deadline, check).await;
        failed.is_ok_and(|failed| !failed.is_empty())
    }

    /// Returns the processes of the runners on the path.
    fn stages(&self) -> Vec<crash::RunnerInstance> {
        let stages = 0..self.target.runners.len();
        stages
            .filter_map(|stage| self.target.instance(stage))
            .collect()
    }

    /// Returns what a check of these stages needs to know.
    fn checked_stream(
        &self,
        request: &str,
        stages: Vec<crash::RunnerInstance>,
    ) -> stage_probe::CheckedStream {
        stage_probe::CheckedStream {
            request: request.to_owned(),
            stages,
            objective: self.policy().expected,
            last_event: self.last_event,
        }
    }

    /// Begins a check of the stages if one is due.
    fn begin_check(
        &mut self,
        request: &request::CallerRequest,
    ) -> Option<BoxFuture<'static, Vec<usize>>> {
        let now = time::Instant::now();
        if !request.core.settings.probe_stages || now < self.check_at {
            return None;
        }
        let stream = self.checked_stream(&request.head.request, self.stages());
        self.check_at = stage_probe::due_at(&request.core, &stream, self.checked_at);
        if now < self.check_at {
            return None;
        }
        self.checked_at = Some(now);
        self.check_at = now;
        let core = std::sync::Arc::clone(&request.core);
        Some(stage_probe::check(core, stream).boxed())
    }

    /// Moves the stream away from stages that leave, if it is expected to outlive one
    /// of them.
    async fn leave_early(&mut self, request: &mut request::CallerRequest) {
        let now = time::Instant::now();
        let Some(drain) = request.core.settings.drain_ms else {
            return;
        };
        if self.leave_at.is_none_or(|leave_at| now < leave_at) {
            return;
        }
        self.leave_at = Some(now + stage_check::leave_check_period(drain));
        let elapsed = self.first_event_at.map(|first| self.last_event - first);
        let progress = request.progress(self.events, elapsed.unwrap_or_default());
        let leaving = self.leaving_stages(request);
        let since = leaving.iter().map(|(_, since)| *since).min();
        let (Some(progress), Some(since)) = (progress, since) else {
            return;
        };
        let is_outlived = stage_check::outlives(&progress, now - since, drain);
        if is_outlived && self.leave_reroutes < LEAVE_REROUTE_LIMIT {
            self.leave_reroutes += 1;
            let stages: Vec<_> = leaving.iter().map(|(stage, _)| *stage).collect();
            self.reroute(request, &stages, RerouteCause::Leaving).await;
        }
    }

    /// Returns the stages after the first one that leave, and since when each does.
    fn leaving_stages(&self, request: &request::CallerRequest) -> Vec<(usize, time::Instant)> {
        let fleet = lock(&request.core.fleet);
        let runners = self.target.runners.iter().zip(&self.target.incarnations);
        let stages = runners.enumerate().skip(1);
        let leaving = stages.filter_map(|(stage, (id, started_ms))| {
            Some((stage, fleet.leaving_since(id, *started_ms)?))
        });
        leaving.collect()
    }

    /// Sets when to decide whether the stream stays, once a stage leaves.
    fn note_leaving(&mut self, request: &request::CallerRequest) {
        let Some(drain) = request.core.settings.drain_ms else {
            return;
        };
        let leaving = self.leaving_stages(request);
        let since = leaving.iter().map(|(_, since)| *since).min();
        self.leave_at = since.map(|since| {
            let spread = rand::rng().random::<f64>();
            let leave_at = stage_check::leave_check_at(since, drain, spread);
            self.leave_at.unwrap_or(leave_at)
        });
    }

    /// Returns how long the stream may be silent.
    pub fn policy(&self) -> stall::SilencePolicy {
        stall::SilencePolicy {
            expected: match self.has_events {
                true => self.gap,
                false => self.objective,
            },
            patience: self.patience,
        }
    }

    /// Replaces runners of a running stream by others; returns whether the first runner
    /// accepted the new path.
    async fn reroute(
        &mut self,
        request: &mut request::CallerRequest,
        replaced: &[usize],
        cause: RerouteCause,
    ) -> bool {
        let is_planned = cause == RerouteCause::Leaving;
        let is_spent = self.reroutes >= REROUTE_LIMIT && !is_planned;
        if replaced.is_empty() || replaced.contains(&0) || is_spent {
            return false;
        }
        if request.is_held_back().await {
            return false;
        }
        if !is_planned {
            self.reroutes += 1;
            self.exclude_failed(request, replaced, cause);
        }
        let orders = match request.core.settings.probe_stages {
            true => SUBSTITUTE_LIMIT,
            false => 1,
        };
        let mut refused = Vec::new();
        for _ in 0..orders {
            let Some(target) = request.choose_reroute(&self.target, replaced, &refused) else {
                return false;
            };
            let answer = self.order_path(request, &target, cause).await;
            match answer {
                Ok(order::OrderAnswer::Begun | order::OrderAnswer::Holds) => {
                    self.take_path(request, target, cause);
                    return true;
                }
                Ok(order::OrderAnswer::Conflict) => {
                    refused.extend(self.added(&target));
                }
                _ => return false,
            }
        }
        false
    }

    /// Orders the first runner to continue on another path.
    async fn order_path(
        &mut self,
        request: &request::CallerRequest,
        target: &request::AttemptTarget,
        cause: RerouteCause,
    ) -> Result<order::OrderAnswer, String> {
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
            "silence_ms={} cause={cause} from={} to={} answer={answer:?}",
            self.last_event.elapsed().as_millis(),
            self.target.runners.join(">"),
            target.runners.join(">")
        );
        request.note(event::EventCode::StreamRerouted, detail);
        answer
    }

    /// Records that the stream goes on through `target`.
    fn take_path(
        &mut self,
        request: &mut request::CallerRequest,
        target: request::AttemptTarget,
        cause: RerouteCause,
    ) {
        let labels = metrics::RerouteLabels {
            cause: cause.to_string(),
        };
        request.core.metrics.rerouted.get_or_create(&labels).inc();
        self.guard = request::LoadGuard::new(&request.core, &target);
        request.latest_runners = target.runners.join(">");
        request.begin_run(&self.added(&target));
        self.target = target;
        // The new stages process all tokens so far before the next event.
        let now = time::Instant::now();
        self.last_event = now;
        self.check_at = now + stage_check::patience(self.policy().expected);
        self.leave_at = None;
    }

    /// Returns the runners of `target` that are not on the present path.
    fn added(&self, target: &request::AttemptTarget) -> Vec<id::UpstreamName> {
        let before = &self.target.runners;
        let added = target.runners.iter().filter(|id| !before.contains(id));
        added.cloned().collect()
    }

    /// Excludes runners at fault and records which ones failed.
    fn exclude_failed(
        &self,
        request: &mut request::CallerRequest,
        failed: &[usize],
        cause: RerouteCause,
    ) {
        if cause == RerouteCause::Failed {
            let ids = failed
                .iter()
                .filter_map(|stage| self.target.runners.get(*stage));
            ids.for_each(|id| request.note_failed_runner(id, "no connection"));
        }
        self.exclude_silent(request, failed);
    }

    /// Excludes silent runners; a single one is also recorded as failed.
    fn exclude_silent(&self, request: &mut request::CallerRequest, silent: &[usize]) {
        let runners = &self.target.runners;
        match silent {
            [index] if *index < runners.len() => {
                request.note_failed_runner(&runners[*index], "silent");
            }
            // If several are silent, most of them only wait for another one.
            _ => {}
        }
        silent
            .iter()
            .filter_map(|index| runners.get(*index))
            .for_each(|id| request.exclude_silent(id));
    }

    /// Excludes the silent runners and returns the cause, for the caller and the log.
    pub fn abandon(&mut self, request: &mut request::CallerRequest, silent: &[usize]) -> String {
        let ids: Vec<_> = silent
            .iter()
            .filter_map(|index| self.target.runners.get(*index))
            .collect();
        self.exclude_silent(request, silent);
        self.check = None;
        let names: Vec<_> = ids.iter().map(|id| id.as_str()).collect();
        format!(
            "silent for {} ms at {}",
            self.last_event.elapsed().as_millis(),
            names.join(",")
        )
    }
}
