//! Decides whether a failed request may be retried: retry budget, permit and
//! isolation of suspects.

use std::time as std_time;

use async_trait::async_trait;
use tokio::sync::oneshot;
use tokio::time;

use crate::breaker;
use crate::caller;
use crate::complete;
use crate::event;
use crate::id;
use crate::retry;
use crate::suspect;
use crate::suspect::isolation;
use crate::traffic;
use crate::traffic::entry;
use crate::upstream;

/// Minimum time before the deadline that another attempt needs.
const MIN_ATTEMPT_TIME: std_time::Duration = std_time::Duration::from_millis(100);

/// Delay suggested to a caller whose request was not retried.
const RETRY_AFTER: std_time::Duration = std_time::Duration::from_secs(1);

/// Interval at which a waiting suspect requests its turn.
const TURN_REQUEST_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);

/// Maximum time that a suspect waits for its turn.
const TURN_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(30);

/// A failed attempt of a call of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall<'a> {
    /// Service.
    pub service: &'a str,
    /// Upstream that was called.
    pub upstream: &'a str,
    /// Whether the call may have reached the upstream.
    pub sent: bool,
    /// Whether the connection was lost during the call.
    pub disconnected: bool,
    /// Deadline of the call.
    pub deadline: time::Instant,
}

#[async_trait]
impl complete::RetryGate for traffic::TrafficController {
    async fn may_retry(
        &self,
        context: &complete::RetryContext<'_>,
        now: time::Instant,
    ) -> complete::RetryVerdict {
        let end = retry::AttemptEnd {
            not_run: !context.sent,
            idempotent: true,
            progress: context.progress,
            deadline: context.request.deadline,
            needed: MIN_ATTEMPT_TIME,
        };
        let subject = &context.request.id;
        if let Some(error) = self.charge_retry(&context.request.organisation, end, subject, now) {
            return complete::RetryVerdict::Refuse(error.with_ran(context.ran));
        }
        let incarnation = context.failed_stage.map(|stage| stage.incarnation);
        let ticket = context.request.ticket;
        let permitted = self
            .begin_retry(ticket, incarnation, context.progress, subject)
            .await;
        match permitted {
            Ok(avoid) => complete::RetryVerdict::Retry { avoid },
            Err(refusal) => {
                complete::RetryVerdict::Refuse(entry::permit_error(refusal, context.ran))
            }
        }
    }

    fn note_crash(
        &self,
        request: &complete::CompletionRequest,
        upstream: &str,
        _now: time::Instant,
    ) {
        self.record_crash(request.ticket, upstream, &request.id);
    }

    fn note_route(&self, request: &complete::CompletionRequest, route: &[upstream::RouteStage]) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let Some(active) = state.active_request(request.ticket) else {
            return;
        };
        let Some(run) = active
            .run
            .filter(|_| active.crash.is_some() && !active.isolated)
        else {
            return;
        };
        let time_limit = active.deadline.saturating_duration_since(now);
        let upstreams = route.iter().map(|stage| stage.upstream.clone()).collect();
        let isolation_request = isolation::IsolationRequest::Resume {
            run,
            upstreams,
            time_limit,
        };
        state.suspect_runs.push(run);
        self.request_isolation(&mut state, isolation_request, now);
    }
}

impl traffic::TrafficController {
    /// Takes a retry from the budget; returns an error if it is not allowed.
    fn charge_retry(
        &self,
        organisation: &str,
        end: retry::AttemptEnd,
        subject: &str,
        now: time::Instant,
    ) -> Option<caller::CallerError> {
        let verdict = self.lock().budget.decide(organisation, end, now);
        let (code, message) = match verdict {
            retry::RetryVerdict::Retry => return None,
            retry::RetryVerdict::NotIdempotent => ("outcome_unknown", "the call may have run"),
            retry::RetryVerdict::BudgetSpent => {
                ("retry_budget_spent", "too many attempts failed lately")
            }
            retry::RetryVerdict::DeadlineNear => ("deadline_near", "too little time is left"),
        };
        self.recorder
            .record(event::EventCode::RetryRefused, subject, code);
        let status = http::StatusCode::SERVICE_UNAVAILABLE;
        Some(caller::CallerError::new(status, code, message).with_pause(RETRY_AFTER))
    }

    /// Records that an upstream crashed during the current attempt of a request.
    fn record_crash(&self, ticket: id::TicketNumber, upstream: &str, subject: &str) {
        if let Some(active) = self.lock().active_request(ticket) {
            active.failed_upstream = Some(upstream.to_owned());
        }
        self.recorder
            .record(event::EventCode::SuspectNoted, subject, upstream);
    }

    /// Obtains a new permit for a retry after a crash, and an isolation turn if
    /// needed.
    ///
    /// If no upstream crashed during the last attempt, the current permit stays
    /// in use. If that attempt produced tokens, the retry needs no turn;
    /// otherwise it waits until no other suspect without tokens runs. Returns
    /// the upstreams that the retry must avoid.
    async fn begin_retry(
        &self,
        ticket: id::TicketNumber,
        incarnation: Option<id::IncarnationNumber>,
        progress: bool,
        subject: &str,
    ) -> Result<Vec<id::UpstreamName>, suspect::claim::RunRefusal> {
        let now = time::Instant::now();
        {
            let mut state = self.lock();
            let Some(active) = state.active_request(ticket) else {
                return Ok(Vec::new());
            };
            let Some((upstream, run)) = active.failed_upstream.take().zip(active.run) else {
                return Ok(Vec::new());
            };
            let crash = suspect::CrashId {
                upstream,
                incarnation: incarnation.unwrap_or(run),
            };
            active.isolated = false;
            active.crash = Some(crash.clone());
            let recorded = traffic::RecordedCrash {
                id: crash.clone(),
                fingerprint: active.fingerprint,
                organisation: active.organisation.clone(),
                recorded_at: now,
            };
            if progress {
                let organisation = &recorded.organisation;
                state
                    .suspects
                    .exempt_crash(&recorded.fingerprint, organisation, &crash, now);
            }
            state.crashes.push(recorded);
            self.end_run(&mut state, run, suspect::RunEnd::Crashed(crash), now);
        }
        self.await_permit(ticket, subject).await?;
        match progress {
            true => Ok(Vec::new()),
            false => self.await_isolation(ticket).await,
        }
    }

    /// Waits for the isolation turn of a suspect without tokens.
    async fn await_isolation(
        &self,
        ticket: id::TicketNumber,
    ) -> Result<Vec<id::UpstreamName>, suspect::claim::RunRefusal> {
        let (run, deadline, mut receiver) = {
            let mut state = self.lock();
            let Some(active) = state.active_request(ticket) else {
                return Ok(Vec::new());
            };
            let Some(run) = active.run else {
                return Ok(Vec::new());
            };
            active.isolated = true;
            let deadline = active.deadline.min(time::Instant::now() + TURN_TIMEOUT);
            state.suspect_runs.push(run);
            let (sender, receiver) = oneshot::channel();
            state.turns.push(traffic::TurnWaiter { run, sender });
            (run, deadline, receiver)
        };
        loop {
            let now = time::Instant::now();
            if now >= deadline {
                return Err(suspect::claim::RunRefusal::NoReply);
            }
            {
                let mut state = self.lock();
                let time_limit = deadline.saturating_duration_since(now);
                let isolation_request = isolation::IsolationRequest::Turn { run, time_limit };
                self.request_isolation(&mut state, isolation_request, now);
            }
            if let Ok(avoid) = time::timeout(TURN_REQUEST_INTERVAL, &mut receiver).await {
                return avoid.map_err(|_| suspect::claim::RunRefusal::NoReply);
            }
        }
    }

    /// Returns whether the circuit breaker lets a call of a plain service pass
    /// to this upstream.
    pub fn may_call(&self, service: &str, upstreams: &[id::UpstreamName], upstream: &str) -> bool {
        let now = time::Instant::now();
        let mut state = self.lock();
        let pool = state.pool(service);
        pool.set_upstreams(upstreams);
        pool.acquire(upstream, now) != breaker::BreakerPass::Blocked
    }

    /// Records that an upstream of a plain service answered.
    pub fn record_success(&self, service: &str, upstream: &str) {
        let change = self.lock().pool(service).note_success(upstream);
        self.record_breaker(change, upstream);
    }

    /// Records a failed call and waits until the next upstream may be tried.
    ///
    /// # Errors
    ///
    /// [`caller::CallerError`] if the call must not be retried.
    pub async fn retry_call(
        &self,
        guard: &entry::EntryGuard,
        organisation: &str,
        request: &str,
        failed: &FailedCall<'_>,
    ) -> Result<(), caller::CallerError> {
        let now = time::Instant::now();
        let change = self
            .lock()
            .pool(failed.service)
            .note_failure(failed.upstream, now);
        self.record_breaker(change, failed.upstream);
        let ran = match failed.sent {
            true => caller::RunOutcome::Unknown,
            false => caller::RunOutcome::No,
        };
        if failed.disconnected {
            self.record_crash(guard.ticket(), failed.upstream, request);
        }
        let end = retry::AttemptEnd {
            not_run: !failed.sent,
            idempotent: true,
            progress: false,
            deadline: failed.deadline,
            needed: MIN_ATTEMPT_TIME,
        };
        if let Some(error) = self.charge_retry(organisation, end, request, now) {
            return Err(error.with_ran(ran));
        }
        self.begin_retry(guard.ticket(), None, false, request)
            .await
            .map(drop)
            .map_err(|refusal| entry::permit_error(refusal, ran))
    }

    fn record_breaker(&self, change: breaker::BreakerChange, upstream: &str) {
        let code = match change {
            breaker::BreakerChange::Unchanged => return,
            breaker::BreakerChange::Ejected => event::EventCode::UpstreamEjected,
            breaker::BreakerChange::Restored => event::EventCode::UpstreamRestored,
            breaker::BreakerChange::Capped => event::EventCode::EjectionCapped,
        };
        self.recorder.record(code, upstream, "");
    }
}

impl traffic::TrafficState {
    fn pool(&mut self, service: &str) -> &mut breaker::BreakerPool {
        let found = self
            .breakers
            .binary_search_by(|breakers| breakers.service.as_str().cmp(service));
        let index = found.unwrap_or_else(|index| {
            let created = traffic::ServiceBreakers {
                service: service.to_owned(),
                pool: breaker::BreakerPool::default(),
            };
            self.breakers.insert(index, created);
            index
        });
        &mut self.breakers[index].pool
    }
}
