//! Admits requests: rate limit of the organisation, permit, then a slot.

use std::sync;
use std::time as std_time;

use tokio::sync::oneshot;
use tokio::time;

use crate::admission;
use crate::caller;
use crate::document;
use crate::event;
use crate::id;
use crate::limit;
use crate::suspect;
use crate::suspect::claim;
use crate::suspect::tracker;
use crate::suspect::tracker::AssignedNodes;
use crate::traffic;

/// Delay suggested to a caller whose request got no permit or whose node is
/// stopping.
const PERMIT_RETRY_AFTER: std_time::Duration = std_time::Duration::from_secs(1);

/// Time for which a permit remains valid after its request's deadline.
const PERMIT_MARGIN: std_time::Duration = std_time::Duration::from_secs(5);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// A completion by a model.
    Completion,
    /// A call of a plain service.
    Service,
}

impl EntryKind {
    /// All kinds, in the order of their gates.
    pub const ALL: [Self; 2] = [Self::Completion, Self::Service];
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
    /// Request id, for events.
    pub request: &'a str,
    /// Kind of the request.
    pub kind: EntryKind,
    /// Organisation that sent it.
    pub organisation: &'a document::OrganisationSpec,
    /// Fingerprint; resends of a request have the same one.
    pub fingerprint: suspect::RequestFingerprint,
    /// Whether it needs a permit; a recorded call does not, as it runs at most
    /// once anyway.
    pub permit: bool,
    /// Maximum number of generated tokens; 1 for a call of a service.
    pub max_tokens: u64,
    /// Deadline of the request.
    pub deadline: time::Instant,
}

/// An admitted request; dropping the guard frees its slot and ends its run.
pub struct EntryGuard {
    controller: sync::Arc<traffic::TrafficController>,
    ticket: id::TicketNumber,
    tokens: u64,
    answered: bool,
}

impl EntryGuard {
    /// Returns the ticket that identifies the request on its node.
    pub fn ticket(&self) -> id::TicketNumber {
        self.ticket
    }

    /// Counts a delivered token.
    pub fn note_token(&mut self) {
        self.tokens += 1;
        if self.tokens == 1 {
            self.controller.note_first_token(self.ticket);
        }
    }

    /// Marks the answer as complete.
    pub fn note_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        self.controller
            .leave(self.ticket, self.tokens, self.answered);
    }
}

/// A request that waits for its organisation's share of the rate limit;
/// dropping it removes it from the queue.
struct ShareWaiter<'a> {
    controller: &'a traffic::TrafficController,
    organisation: &'a str,
    tokens: u64,
    waiting: bool,
}

impl Drop for ShareWaiter<'_> {
    fn drop(&mut self) {
        if self.waiting {
            self.controller
                .lock()
                .holder
                .cancel(self.organisation, self.tokens);
        }
    }
}

impl traffic::TrafficController {
    /// Waits until the request is admitted.
    ///
    /// # Errors
    ///
    /// [`caller::CallerError`] if the request is not admitted.
    pub async fn enter(
        self: &sync::Arc<Self>,
        request: &EntryRequest<'_>,
    ) -> Result<EntryGuard, caller::CallerError> {
        let expected_cost = self.lock().gates[request.kind as usize]
            .gate
            .expected_cost(&request.organisation.name, request.max_tokens);
        self.await_share(request, expected_cost).await?;
        let guard = self.register_request(request, expected_cost);
        if request.permit {
            self.await_permit(guard.ticket, request.request)
                .await
                .map_err(|refusal| permit_error(refusal, caller::RunOutcome::No))?;
        }
        self.await_admission(&guard, request).await?;
        Ok(guard)
    }

    async fn await_share(
        &self,
        request: &EntryRequest<'_>,
        tokens: u64,
    ) -> Result<(), caller::CallerError> {
        let organisation = &request.organisation.name;
        let limit = limit::ShareRate::from_spec(request.organisation);
        if limit.is_unlimited() {
            return Ok(());
        }
        let assigned = self.nodes().assigned(organisation);
        let nodes = match assigned.contains(&self.host) {
            true => assigned.len(),
            false => 0,
        };
        let mut waiter = ShareWaiter {
            controller: self,
            organisation,
            tokens,
            waiting: false,
        };
        let mut waited = std_time::Duration::ZERO;
        loop {
            let share_request = limit::holder::ShareRequest {
                organisation,
                limit,
                nodes,
                tokens,
                waited,
            };
            let now = time::Instant::now();
            let verdict = self.lock().holder.acquire(&share_request, now);
            waiter.waiting = false;
            match verdict {
                limit::holder::ShareVerdict::Pass => return Ok(()),
                limit::holder::ShareVerdict::Wait(pause) => {
                    waiter.waiting = true;
                    time::sleep(pause).await;
                    waited += pause;
                }
                limit::holder::ShareVerdict::Refuse(pause) => {
                    let subject = request.request;
                    self.recorder
                        .record(event::EventCode::LimitReached, subject, organisation);
                    return Err(refusal_error(
                        http::StatusCode::TOO_MANY_REQUESTS,
                        "limit_reached",
                        "the organisation's limit is reached",
                        pause,
                    ));
                }
            }
        }
    }

    fn register_request(
        self: &sync::Arc<Self>,
        request: &EntryRequest<'_>,
        expected_cost: u64,
    ) -> EntryGuard {
        let mut state = self.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.budget.note_request(&request.organisation.name);
        state.active_requests.push(traffic::ActiveRequest {
            ticket,
            kind: request.kind,
            organisation: request.organisation.name.clone(),
            expected_cost,
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            run: None,
            failed_upstream: None,
            crash: None,
            admitted: None,
            isolated: false,
        });
        drop(state);
        EntryGuard {
            controller: sync::Arc::clone(self),
            ticket,
            tokens: 0,
            answered: false,
        }
    }

    /// Begins a run of a registered request and waits for its permit.
    pub(super) async fn await_permit(
        &self,
        ticket: id::TicketNumber,
        subject: &str,
    ) -> Result<(), claim::RunRefusal> {
        let now = time::Instant::now();
        let receiver = {
            let mut state = self.lock();
            let run = state.suspects.next_run_number();
            let Some(active) = state.active_request(ticket) else {
                return Err(claim::RunRefusal::NoReply);
            };
            active.run = Some(run);
            let request = claim::RunRequest {
                fingerprint: active.fingerprint,
                organisation: active.organisation.clone(),
                assigned: self.nodes().assigned(&active.organisation),
                time_limit: active.deadline.saturating_duration_since(now) + PERMIT_MARGIN,
                exemption: None,
            };
            let (sender, receiver) = oneshot::channel();
            state.permits.push(traffic::PermitWaiter { run, sender });
            self.handle_suspect_event(&mut state, tracker::SuspectEvent::Begin(run, request), now);
            receiver
        };
        match receiver.await {
            Ok(None) => Ok(()),
            Ok(Some(refusal)) => {
                if refusal == claim::RunRefusal::Quarantined {
                    self.recorder
                        .record(event::EventCode::SuspectQuarantined, subject, "");
                }
                Err(refusal)
            }
            Err(_) => Err(claim::RunRefusal::NoReply),
        }
    }

    async fn await_admission(
        &self,
        guard: &EntryGuard,
        request: &EntryRequest<'_>,
    ) -> Result<(), caller::CallerError> {
        let now = time::Instant::now();
        let (sender, receiver) = oneshot::channel();
        let admission_request = admission::AdmissionRequest {
            organisation: request.organisation.name.clone(),
            weight: request.organisation.weight,
            priority: request.organisation.priority,
            max_tokens: request.max_tokens,
            deadline: request.deadline,
        };
        {
            let mut state = self.lock();
            let ticket = guard.ticket;
            state
                .admissions
                .push(traffic::AdmissionWaiter { ticket, sender });
            let event = admission::AdmissionEvent::Arrive(ticket, admission_request);
            state.admit(request.kind, event, now);
        }
        match receiver.await {
            Ok(None) => Ok(()),
            Ok(Some(refusal)) => {
                let code = refusal.cause.code();
                self.recorder
                    .record(event::EventCode::AdmissionRefused, request.request, code);
                Err(refusal_error(
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    code,
                    "the request cannot be served in time now",
                    refusal.retry_after,
                ))
            }
            Err(_) => Err(refusal_error(
                http::StatusCode::SERVICE_UNAVAILABLE,
                "stopping",
                "the host is stopping",
                PERMIT_RETRY_AFTER,
            )),
        }
    }

    /// Adjusts the concurrency limit by the delay of the first token, which
    /// grows with the load of the upstreams.
    fn note_first_token(&self, ticket: id::TicketNumber) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let Some(active) = state.active_request(ticket) else {
            return;
        };
        let kind = active.kind;
        let Some(admitted) = active.admitted else {
            return;
        };
        let gate = &mut state.gates[kind as usize];
        let before = gate.concurrency.limit();
        let running = gate.gate.running();
        gate.concurrency
            .observe(now.duration_since(admitted), running, now);
        let slots = gate.concurrency.limit();
        if slots != before {
            state.admit(kind, admission::AdmissionEvent::Resize(slots), now);
        }
    }

    /// Removes a request that was answered, failed or abandoned.
    fn leave(&self, ticket: id::TicketNumber, tokens: u64, answered: bool) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.admissions.retain(|waiter| waiter.ticket != ticket);
        let found = state
            .active_requests
            .binary_search_by_key(&ticket, |active| active.ticket);
        let Ok(index) = found else { return };
        let active = state.active_requests.remove(index);
        let event = match answered {
            true => admission::AdmissionEvent::Finish(ticket, tokens),
            false => admission::AdmissionEvent::Leave(ticket),
        };
        state.admit(active.kind, event, now);
        if answered {
            state.budget.note_success(&active.organisation);
            state
                .holder
                .reconcile(&active.organisation, active.expected_cost, tokens);
        }
        let Some(run) = active.run else { return };
        let end = match (answered, &active.failed_upstream) {
            (true, _) => suspect::RunEnd::Answered,
            (false, Some(upstream)) => suspect::RunEnd::Crashed(suspect::CrashId {
                upstream: upstream.clone(),
                incarnation: run,
            }),
            (false, None) => suspect::RunEnd::NoCrash,
        };
        self.end_run(&mut state, run, end, now);
    }

    /// Ends a run, and its isolation turn if it is a suspect.
    pub(super) fn end_run(
        &self,
        state: &mut traffic::TrafficState,
        run: suspect::RunNumber,
        end: suspect::RunEnd,
        now: time::Instant,
    ) {
        state.permits.retain(|waiter| waiter.run != run);
        self.handle_suspect_event(state, tracker::SuspectEvent::End(run, end), now);
        self.end_turn(state, run, now);
    }
}

/// Converts the refusal of a permit to an error for the caller.
pub(super) fn permit_error(
    refusal: claim::RunRefusal,
    ran: caller::RunOutcome,
) -> caller::CallerError {
    let (status, code, message, pause) = match refusal {
        claim::RunRefusal::Quarantined => (
            http::StatusCode::UNPROCESSABLE_ENTITY,
            "request_quarantined",
            "upstreams died under this request; it is not run again for now",
            suspect::REVOKED_TTL,
        ),
        claim::RunRefusal::Busy => (
            http::StatusCode::SERVICE_UNAVAILABLE,
            "request_running",
            "the same request is running",
            PERMIT_RETRY_AFTER,
        ),
        claim::RunRefusal::NoReply => (
            http::StatusCode::SERVICE_UNAVAILABLE,
            "permit_unavailable",
            "no peer could tell whether the request may run",
            PERMIT_RETRY_AFTER,
        ),
    };
    refusal_error(status, code, message, pause).with_ran(ran)
}

fn refusal_error(
    status: http::StatusCode,
    code: &'static str,
    message: &str,
    pause: std_time::Duration,
) -> caller::CallerError {
    caller::CallerError::new(status, code, message).with_pause(pause)
}
