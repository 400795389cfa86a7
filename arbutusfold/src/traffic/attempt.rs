//! Attempts after the first: budget, permit and a suspect's turn.

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

/// Least time that another attempt needs.
const ATTEMPT_TIME: std_time::Duration = std_time::Duration::from_millis(100);

/// Time after which a caller refused a retry may come back.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_secs(1);

/// Time between two calls for a turn.
const TURN_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest time that a suspect waits for its turn.
const TURN_PATIENCE: std_time::Duration = std_time::Duration::from_secs(30);

/// An attempt of a plain service's call that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedCall<'a> {
    /// Service.
    pub service: &'a str,
    /// Upstream that was called.
    pub upstream: &'a str,
    /// Whether the call reached it.
    pub sent: bool,
    /// Whether its connection broke.
    pub died: bool,
    /// Time by which the call must be answered.
    pub deadline: time::Instant,
}

#[async_trait]
impl complete::RetryGate for traffic::TrafficDesk {
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
            needed: ATTEMPT_TIME,
        };
        let subject = &context.request.id;
        if let Some(error) = self.charge(&context.request.organisation, end, subject, now) {
            return complete::RetryVerdict::Refuse(error.with_ran(context.ran));
        }
        let incarnation = context.failed_stage.map(|stage| stage.incarnation);
        let ticket = context.request.ticket;
        let again = self
            .run_again(ticket, incarnation, context.progress, subject)
            .await;
        match again {
            Ok(avoid) => complete::RetryVerdict::Retry { avoid },
            Err(refusal) => {
                complete::RetryVerdict::Refuse(entry::permit_refused(refusal, context.ran))
            }
        }
    }

    fn note_crash(
        &self,
        request: &complete::CompletionRequest,
        upstream: &str,
        _now: time::Instant,
    ) {
        self.note_death(request.ticket, upstream, &request.id);
    }

    fn note_route(&self, request: &complete::CompletionRequest, route: &[upstream::RouteStage]) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let Some(flight) = state.flight(request.ticket) else {
            return;
        };
        let Some(run) = flight
            .run
            .filter(|_| flight.mark.is_some() && !flight.isolated)
        else {
            return;
        };
        let time_limit = flight.deadline.saturating_duration_since(now);
        let upstreams = route.iter().map(|stage| stage.upstream.clone()).collect();
        let call = isolation::IsolationRequest::Resume {
            run,
            upstreams,
            time_limit,
        };
        state.suspected.push(run);
        self.call_isolation(&mut state, call, now);
    }
}

impl traffic::TrafficDesk {
    /// Pays for a retry; returns the refusal when it may not be made.
    fn charge(
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
        Some(caller::CallerError::new(status, code, message).with_pause(RETRY_PAUSE))
    }

    /// Notes that an upstream died under the present attempt of a request.
    fn note_death(&self, ticket: id::TicketNumber, upstream: &str, subject: &str) {
        if let Some(flight) = self.lock().flight(ticket) {
            flight.death = Some(upstream.to_owned());
        }
        self.recorder
            .record(event::EventCode::SuspectNoted, subject, upstream);
    }

    /// Gets the permit for another attempt after a death, and its turn.
    ///
    /// Without a death the present permit goes on. A request that had given
    /// tokens goes on at once; any other waits until it is the only such
    /// suspect that runs. Returns the upstreams that it must avoid.
    async fn run_again(
        &self,
        ticket: id::TicketNumber,
        incarnation: Option<id::IncarnationNumber>,
        progress: bool,
        subject: &str,
    ) -> Result<Vec<id::UpstreamName>, suspect::claim::RunRefusal> {
        let now = time::Instant::now();
        {
            let mut state = self.lock();
            let Some(flight) = state.flight(ticket) else {
                return Ok(Vec::new());
            };
            let Some((upstream, run)) = flight.death.take().zip(flight.run) else {
                return Ok(Vec::new());
            };
            let mark = suspect::CrashId {
                upstream,
                incarnation: incarnation.unwrap_or(run),
            };
            flight.isolated = false;
            flight.mark = Some(mark.clone());
            let noted = traffic::NotedCrash {
                mark: mark.clone(),
                fingerprint: flight.fingerprint,
                organisation: flight.organisation.clone(),
                noted: now,
            };
            if progress {
                let organisation = &noted.organisation;
                state
                    .suspects
                    .exempt_crash(&noted.fingerprint, organisation, &mark, now);
            }
            state.crashes.push(noted);
            self.end_run(&mut state, run, suspect::RunEnd::Crashed(mark), now);
        }
        self.await_permit(ticket, subject).await?;
        match progress {
            true => Ok(Vec::new()),
            false => self.await_turn(ticket).await,
        }
    }

    /// Waits until no other suspect without tokens runs.
    async fn await_turn(
        &self,
        ticket: id::TicketNumber,
    ) -> Result<Vec<id::UpstreamName>, suspect::claim::RunRefusal> {
        let (run, deadline, mut receiver) = {
            let mut state = self.lock();
            let Some(flight) = state.flight(ticket) else {
                return Ok(Vec::new());
            };
            let Some(run) = flight.run else {
                return Ok(Vec::new());
            };
            flight.isolated = true;
            let deadline = flight.deadline.min(time::Instant::now() + TURN_PATIENCE);
            state.suspected.push(run);
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
                let call = isolation::IsolationRequest::Turn { run, time_limit };
                self.call_isolation(&mut state, call, now);
            }
            if let Ok(avoid) = time::timeout(TURN_PERIOD, &mut receiver).await {
                return avoid.map_err(|_| suspect::claim::RunRefusal::NoReply);
            }
        }
    }

    /// Tells whether a plain service's upstream may be called now.
    pub fn may_call(&self, service: &str, upstreams: &[id::UpstreamName], upstream: &str) -> bool {
        let now = time::Instant::now();
        let mut state = self.lock();
        let pool = state.pool(service);
        pool.set_upstreams(upstreams);
        pool.acquire(upstream, now) != breaker::BreakerPass::Blocked
    }

    /// Notes that an upstream of a plain service answered.
    pub fn note_call(&self, service: &str, upstream: &str) {
        let change = self.lock().pool(service).note_success(upstream);
        self.record_breaker(change, upstream);
    }

    /// Notes a failed call and tells whether the next upstream may be tried.
    ///
    /// # Errors
    ///
    /// [`caller::CallerError`] when the call may not be tried again.
    pub async fn retry_call(
        &self,
        pass: &entry::EntryPass,
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
        if failed.died {
            self.note_death(pass.ticket(), failed.upstream, request);
        }
        let end = retry::AttemptEnd {
            not_run: !failed.sent,
            idempotent: true,
            progress: false,
            deadline: failed.deadline,
            needed: ATTEMPT_TIME,
        };
        if let Some(error) = self.charge(organisation, end, request, now) {
            return Err(error.with_ran(ran));
        }
        self.run_again(pass.ticket(), None, false, request)
            .await
            .map(drop)
            .map_err(|refusal| entry::permit_refused(refusal, ran))
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
            .binary_search_by(|known| known.service.as_str().cmp(service));
        let place = found.unwrap_or_else(|place| {
            let fresh = traffic::ServiceBreakers {
                service: service.to_owned(),
                pool: breaker::BreakerPool::default(),
            };
            self.breakers.insert(place, fresh);
            place
        });
        &mut self.breakers[place].pool
    }
}
