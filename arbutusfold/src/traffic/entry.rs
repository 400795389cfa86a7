//! How a request enters: its organisation's share, its permit, its place.

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

/// Time after which a caller refused for want of a permit may come back.
const PERMIT_PAUSE: std_time::Duration = std_time::Duration::from_secs(1);

/// Time by which a permit outlasts its request's deadline.
const PERMIT_MARGIN: std_time::Duration = std_time::Duration::from_secs(5);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// A completion by a model.
    Completion,
    /// A call of a plain service.
    Service,
}

impl EntryKind {
    /// Every kind, in the order of their gates.
    pub const ALL: [Self; 2] = [Self::Completion, Self::Service];
}

/// A request that asks to enter.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
    /// Request id, for events.
    pub request: &'a str,
    /// What it asks for.
    pub kind: EntryKind,
    /// Organisation that sent it.
    pub organisation: &'a document::OrganisationSpec,
    /// Fingerprint, the same for each resend.
    pub fingerprint: suspect::RequestFingerprint,
    /// Whether it runs under a permit; a recorded call runs once in any case.
    pub permit: bool,
    /// Most tokens of its answer; 1 for a call of a service.
    pub max_tokens: u64,
    /// Time by which it must be answered.
    pub deadline: time::Instant,
}

/// The place of a request that entered; dropping it frees the place.
pub struct EntryPass {
    desk: sync::Arc<traffic::TrafficDesk>,
    ticket: id::TicketNumber,
    tokens: u64,
    answered: bool,
}

impl EntryPass {
    /// Returns the ticket that names the request inside its node.
    pub fn ticket(&self) -> id::TicketNumber {
        self.ticket
    }

    /// Notes a delivered token.
    pub fn note_token(&mut self) {
        self.tokens += 1;
        if self.tokens == 1 {
            self.desk.note_first(self.ticket);
        }
    }

    /// Notes that the answer is complete.
    pub fn note_answered(&mut self) {
        self.answered = true;
    }
}

impl Drop for EntryPass {
    fn drop(&mut self) {
        self.desk.leave(self.ticket, self.tokens, self.answered);
    }
}

/// A request that waits for its share; dropping it frees the place in line.
struct ShareWait<'a> {
    desk: &'a traffic::TrafficDesk,
    organisation: &'a str,
    tokens: u64,
    waiting: bool,
}

impl Drop for ShareWait<'_> {
    fn drop(&mut self) {
        if self.waiting {
            self.desk
                .lock()
                .holder
                .cancel(self.organisation, self.tokens);
        }
    }
}

impl traffic::TrafficDesk {
    /// Lets a request in, after its turn.
    ///
    /// # Errors
    ///
    /// [`caller::CallerError`] when the request does not run.
    pub async fn enter(
        self: &sync::Arc<Self>,
        request: &EntryRequest<'_>,
    ) -> Result<EntryPass, caller::CallerError> {
        let expected = self.lock().gates[request.kind as usize]
            .gate
            .expected_cost(&request.organisation.name, request.max_tokens);
        self.await_share(request, expected).await?;
        let pass = self.open_flight(request, expected);
        if request.permit {
            self.await_permit(pass.ticket, request.request)
                .await
                .map_err(|refusal| permit_refused(refusal, caller::RunOutcome::No))?;
        }
        self.await_place(&pass, request).await?;
        Ok(pass)
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
        let mut wait = ShareWait {
            desk: self,
            organisation,
            tokens,
            waiting: false,
        };
        let mut waited = std_time::Duration::ZERO;
        loop {
            let asked = limit::holder::ShareRequest {
                organisation,
                limit,
                nodes,
                tokens,
                waited,
            };
            let now = time::Instant::now();
            let verdict = self.lock().holder.acquire(&asked, now);
            wait.waiting = false;
            match verdict {
                limit::holder::ShareVerdict::Pass => return Ok(()),
                limit::holder::ShareVerdict::Wait(pause) => {
                    wait.waiting = true;
                    time::sleep(pause).await;
                    waited += pause;
                }
                limit::holder::ShareVerdict::Refuse(pause) => {
                    let subject = request.request;
                    self.recorder
                        .record(event::EventCode::LimitReached, subject, organisation);
                    return Err(refused(
                        http::StatusCode::TOO_MANY_REQUESTS,
                        "limit_reached",
                        "the organisation's limit is reached",
                        pause,
                    ));
                }
            }
        }
    }

    fn open_flight(self: &sync::Arc<Self>, request: &EntryRequest<'_>, expected: u64) -> EntryPass {
        let mut state = self.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.budget.note_request(&request.organisation.name);
        state.flights.push(traffic::RequestFlight {
            ticket,
            kind: request.kind,
            organisation: request.organisation.name.clone(),
            expected,
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            run: None,
            death: None,
            mark: None,
            admitted: None,
            isolated: false,
        });
        drop(state);
        EntryPass {
            desk: sync::Arc::clone(self),
            ticket,
            tokens: 0,
            answered: false,
        }
    }

    /// Begins a run of a request that is under way and waits for its permit.
    pub(super) async fn await_permit(
        &self,
        ticket: id::TicketNumber,
        subject: &str,
    ) -> Result<(), claim::RunRefusal> {
        let now = time::Instant::now();
        let receiver = {
            let mut state = self.lock();
            let run = state.suspects.next_run_number();
            let Some(flight) = state.flight(ticket) else {
                return Err(claim::RunRefusal::NoReply);
            };
            flight.run = Some(run);
            let request = claim::RunRequest {
                fingerprint: flight.fingerprint,
                organisation: flight.organisation.clone(),
                assigned: self.nodes().assigned(&flight.organisation),
                time_limit: flight.deadline.saturating_duration_since(now) + PERMIT_MARGIN,
                exemption: None,
            };
            let (sender, receiver) = oneshot::channel();
            state.permits.push(traffic::PermitWaiter { run, sender });
            self.suspect(&mut state, tracker::SuspectEvent::Begin(run, request), now);
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

    async fn await_place(
        &self,
        pass: &EntryPass,
        request: &EntryRequest<'_>,
    ) -> Result<(), caller::CallerError> {
        let now = time::Instant::now();
        let (sender, receiver) = oneshot::channel();
        let asked = admission::AdmissionRequest {
            organisation: request.organisation.name.clone(),
            weight: request.organisation.weight,
            priority: request.organisation.priority,
            max_tokens: request.max_tokens,
            deadline: request.deadline,
        };
        {
            let mut state = self.lock();
            let ticket = pass.ticket;
            state
                .admissions
                .push(traffic::AdmissionWaiter { ticket, sender });
            let event = admission::AdmissionEvent::Arrive(ticket, asked);
            state.admit(request.kind, event, now);
        }
        match receiver.await {
            Ok(None) => Ok(()),
            Ok(Some(refusal)) => {
                let code = refusal.cause.code();
                self.recorder
                    .record(event::EventCode::AdmissionRefused, request.request, code);
                Err(refused(
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    code,
                    "the request cannot be served in time now",
                    refusal.retry_after,
                ))
            }
            Err(_) => Err(refused(
                http::StatusCode::SERVICE_UNAVAILABLE,
                "stopping",
                "the host is stopping",
                PERMIT_PAUSE,
            )),
        }
    }

    /// Notes the first token, whose delay tells how crowded upstreams are.
    fn note_first(&self, ticket: id::TicketNumber) {
        let now = time::Instant::now();
        let mut state = self.lock();
        let Some(flight) = state.flight(ticket) else {
            return;
        };
        let kind = flight.kind;
        let Some(admitted) = flight.admitted else {
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

    /// Ends a request, whatever became of it.
    fn leave(&self, ticket: id::TicketNumber, tokens: u64, answered: bool) {
        let now = time::Instant::now();
        let mut state = self.lock();
        state.admissions.retain(|waiter| waiter.ticket != ticket);
        let found = state
            .flights
            .binary_search_by_key(&ticket, |flight| flight.ticket);
        let Ok(place) = found else { return };
        let flight = state.flights.remove(place);
        let event = match answered {
            true => admission::AdmissionEvent::Finish(ticket, tokens),
            false => admission::AdmissionEvent::Leave(ticket),
        };
        state.admit(flight.kind, event, now);
        if answered {
            state.budget.note_success(&flight.organisation);
            state
                .holder
                .reconcile(&flight.organisation, flight.expected, tokens);
        }
        let Some(run) = flight.run else { return };
        let end = match (answered, &flight.death) {
            (true, _) => suspect::RunEnd::Answered,
            (false, Some(upstream)) => suspect::RunEnd::Crashed(suspect::CrashId {
                upstream: upstream.clone(),
                incarnation: run,
            }),
            (false, None) => suspect::RunEnd::NoCrash,
        };
        self.end_run(&mut state, run, end, now);
    }

    /// Ends a run, and its turn if it was a suspect's.
    pub(super) fn end_run(
        &self,
        state: &mut traffic::TrafficState,
        run: suspect::RunNumber,
        end: suspect::RunEnd,
        now: time::Instant,
    ) {
        state.permits.retain(|waiter| waiter.run != run);
        self.suspect(state, tracker::SuspectEvent::End(run, end), now);
        self.end_turn(state, run, now);
    }
}

/// Returns the refusal of a run without a permit.
pub(super) fn permit_refused(
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
            PERMIT_PAUSE,
        ),
        claim::RunRefusal::NoReply => (
            http::StatusCode::SERVICE_UNAVAILABLE,
            "permit_unavailable",
            "no peer could tell whether the request may run",
            PERMIT_PAUSE,
        ),
    };
    refused(status, code, message, pause).with_ran(ran)
}

fn refused(
    status: http::StatusCode,
    code: &'static str,
    message: &str,
    pause: std_time::Duration,
) -> caller::CallerError {
    caller::CallerError::new(status, code, message).with_pause(pause)
}
