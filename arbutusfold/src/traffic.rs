//! Traffic control of a node: admission, rate limits, retries and permits.
//!
//! [`admission`], [`limit`], [`retry`], [`breaker`] and [`suspect`] make the
//! decisions. This module lets requests wait for a decision and exchanges the
//! messages between nodes.

mod attempt;
mod entry;
mod peers;

pub use attempt::FailedCall;
pub use entry::{EntryGuard, EntryKind, EntryRequest};
pub use peers::{register, run};

use std::sync;

use tokio::sync::oneshot;
use tokio::time;

use crate::admission;
use crate::breaker;
use crate::concurrency;
use crate::event;
use crate::id;
use crate::limit;
use crate::member;
use crate::peer;
use crate::retry;
use crate::suspect;
use crate::suspect::claim;

/// Initial concurrency limit for completions, until some were observed.
const INITIAL_COMPLETION_SLOTS: usize = 512;

/// Initial concurrency limit for calls of plain services, until some were observed.
const INITIAL_SERVICE_SLOTS: usize = 256;

/// Admits requests to a node and decides about their retries.
pub struct TrafficController {
    host: id::HostName,
    recorder: sync::Arc<event::EventRecorder>,
    members: sync::Arc<member::MemberView>,
    endpoint: sync::Arc<peer::PeerEndpoint>,
    state: sync::Mutex<TrafficState>,
}

/// State shared by the requests of a node.
struct TrafficState {
    next_ticket: id::TicketNumber,
    gates: [GateState; EntryKind::ALL.len()],
    holder: limit::holder::ShareHolder,
    allocator: limit::allocator::ShareAllocator,
    budget: retry::RetryBudget,
    breakers: Vec<ServiceBreakers>,
    suspects: suspect::tracker::SuspectTracker,
    isolation: suspect::isolation::IsolationQueue,
    admissions: Vec<AdmissionWaiter>,
    permits: Vec<PermitWaiter>,
    turns: Vec<TurnWaiter>,
    /// Runs that were announced to the isolation coordinator.
    suspect_runs: Vec<suspect::RunNumber>,
    active_requests: Vec<ActiveRequest>,
    crashes: Vec<RecordedCrash>,
    /// Nodes that were alive at the last check, sorted by name.
    alive: Vec<id::HostName>,
    /// Time of the last change of `alive`.
    stable_since: time::Instant,
}

/// An admission gate and the concurrency limit that sets its slots.
struct GateState {
    gate: admission::AdmissionGate,
    concurrency: concurrency::ConcurrencyLimit,
}

struct ServiceBreakers {
    service: id::ServiceName,
    pool: breaker::BreakerPool,
}

struct AdmissionWaiter {
    ticket: id::TicketNumber,
    sender: oneshot::Sender<Option<admission::AdmissionRefusal>>,
}

struct PermitWaiter {
    run: suspect::RunNumber,
    sender: oneshot::Sender<Option<claim::RunRefusal>>,
}

struct TurnWaiter {
    run: suspect::RunNumber,
    sender: oneshot::Sender<Vec<id::UpstreamName>>,
}

/// A request in progress on this node.
struct ActiveRequest {
    ticket: id::TicketNumber,
    kind: EntryKind,
    organisation: id::OrganisationName,
    expected_cost: u64,
    fingerprint: suspect::RequestFingerprint,
    deadline: time::Instant,
    /// Run that holds or requests a permit.
    run: Option<suspect::RunNumber>,
    /// Upstream that crashed during the current attempt.
    failed_upstream: Option<id::UpstreamName>,
    /// Last crash during this request.
    crash: Option<suspect::CrashId>,
    admitted: Option<time::Instant>,
    /// Whether it waits for its isolation turn or runs in it.
    isolated: bool,
}

/// A recorded crash, kept while a report can still show that the upstream is alive.
struct RecordedCrash {
    id: suspect::CrashId,
    fingerprint: suspect::RequestFingerprint,
    organisation: id::OrganisationName,
    recorded_at: time::Instant,
}

/// Looks up the nodes of organisations in the membership view.
struct MemberNodes<'a> {
    host: &'a str,
    members: &'a member::MemberView,
}

impl suspect::tracker::AssignedNodes for MemberNodes<'_> {
    fn assigned(&self, organisation: &str) -> Vec<id::HostName> {
        let nodes = self.members.nodes_for(organisation);
        match nodes.is_empty() {
            // Until it has contacted a peer, a node serves all organisations alone.
            true => vec![self.host.to_owned()],
            false => nodes,
        }
    }
}

impl TrafficController {
    /// Creates a controller without any requests.
    pub fn new(
        host: id::HostName,
        incarnation: id::IncarnationNumber,
        recorder: sync::Arc<event::EventRecorder>,
        members: sync::Arc<member::MemberView>,
        endpoint: sync::Arc<peer::PeerEndpoint>,
    ) -> Self {
        let now = time::Instant::now();
        let gate = |slots: usize| GateState {
            gate: admission::AdmissionGate::new(slots, admission::QUEUE_LIMIT),
            concurrency: concurrency::ConcurrencyLimit::new(
                concurrency::LimitPolicy::Gradient,
                slots,
                now,
            ),
        };
        let state = TrafficState {
            next_ticket: 1,
            gates: [gate(INITIAL_COMPLETION_SLOTS), gate(INITIAL_SERVICE_SLOTS)],
            holder: limit::holder::ShareHolder::default(),
            allocator: limit::allocator::ShareAllocator::default(),
            budget: retry::RetryBudget::default(),
            breakers: Vec::new(),
            suspects: suspect::tracker::SuspectTracker::new(host.clone(), incarnation),
            isolation: suspect::isolation::IsolationQueue::default(),
            admissions: Vec::new(),
            permits: Vec::new(),
            turns: Vec::new(),
            suspect_runs: Vec::new(),
            active_requests: Vec::new(),
            crashes: Vec::new(),
            alive: Vec::new(),
            stable_since: now,
        };
        Self {
            host,
            recorder,
            members,
            endpoint,
            state: sync::Mutex::new(state),
        }
    }

    /// Returns the number of requests that wait for admission.
    pub fn waiting(&self) -> usize {
        let state = self.lock();
        state.gates.iter().map(|gate| gate.gate.waiting()).sum()
    }

    fn nodes(&self) -> MemberNodes<'_> {
        MemberNodes {
            host: &self.host,
            members: &self.members,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, TrafficState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl TrafficState {
    fn active_request(&mut self, ticket: id::TicketNumber) -> Option<&mut ActiveRequest> {
        let index = self
            .active_requests
            .binary_search_by_key(&ticket, |active| active.ticket)
            .ok()?;
        self.active_requests.get_mut(index)
    }

    /// Passes an event to a gate and sends its decisions to the waiting requests.
    fn admit(&mut self, kind: EntryKind, event: admission::AdmissionEvent, now: time::Instant) {
        for action in self.gates[kind as usize].gate.handle(event, now) {
            let (ticket, refusal) = match action {
                admission::AdmissionAction::Admit(ticket) => {
                    if let Some(active) = self.active_request(ticket) {
                        active.admitted = Some(now);
                    }
                    (ticket, None)
                }
                admission::AdmissionAction::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            let waiter = self
                .admissions
                .iter()
                .position(|waiter| waiter.ticket == ticket);
            if let Some(index) = waiter {
                // The receiver is gone if the caller left; dropping the
                // guard then frees the slot.
                let _ = self.admissions.swap_remove(index).sender.send(refusal);
            }
        }
    }
}
