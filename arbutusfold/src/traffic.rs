//! The shell around admission, limits, retries and permits.
//!
//! The decisions are in [`admission`], [`limit`], [`retry`], [`breaker`] and
//! [`suspect`]; here requests wait for them and messages carry them.

mod attempt;
mod entry;
mod peers;

pub use attempt::FailedCall;
pub use entry::{EntryKind, EntryPass, EntryRequest};
pub use peers::{keep, register};

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

/// Completions that a node runs at a time before it has observed any.
const COMPLETION_SLOTS: usize = 512;

/// Calls of plain services that a node runs at a time before it has observed any.
const SERVICE_SLOTS: usize = 256;

/// Admission of one node's requests.
pub struct TrafficDesk {
    host: id::HostName,
    recorder: sync::Arc<event::EventRecorder>,
    members: sync::Arc<member::MemberView>,
    post: sync::Arc<peer::PeerEndpoint>,
    state: sync::Mutex<TrafficState>,
}

/// What the requests of a node share.
struct TrafficState {
    next_ticket: id::TicketNumber,
    gates: [GateState; EntryKind::ALL.len()],
    holder: limit::holder::ShareHolder,
    keeper: limit::allocator::ShareAllocator,
    budget: retry::RetryBudget,
    breakers: Vec<ServiceBreakers>,
    suspects: suspect::tracker::SuspectTracker,
    isolation: suspect::isolation::IsolationQueue,
    admissions: Vec<AdmissionWaiter>,
    permits: Vec<PermitWaiter>,
    turns: Vec<TurnWaiter>,
    /// Runs that the isolating node knows of.
    suspected: Vec<suspect::RunNumber>,
    flights: Vec<RequestFlight>,
    crashes: Vec<NotedCrash>,
    /// Nodes alive at the last look, by name.
    alive: Vec<id::HostName>,
    /// When they last changed.
    settled: time::Instant,
}

/// A gate with the limit that sets its slots.
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

/// A request under way at this node.
struct RequestFlight {
    ticket: id::TicketNumber,
    kind: EntryKind,
    organisation: id::OrganisationName,
    expected: u64,
    fingerprint: suspect::RequestFingerprint,
    deadline: time::Instant,
    /// Run that holds a permit or asks for one.
    run: Option<suspect::RunNumber>,
    /// Upstream that died under the present attempt.
    death: Option<id::UpstreamName>,
    /// Last crash of this request.
    mark: Option<suspect::CrashId>,
    admitted: Option<time::Instant>,
    /// Whether it runs in a suspect's turn.
    isolated: bool,
}

/// A crash that was noted, until its upstream shows whether it died.
struct NotedCrash {
    mark: suspect::CrashId,
    fingerprint: suspect::RequestFingerprint,
    organisation: id::OrganisationName,
    noted: time::Instant,
}

/// The nodes of organisations as membership knows them.
struct MemberNodes<'a> {
    host: &'a str,
    members: &'a member::MemberView,
}

impl suspect::tracker::AssignedNodes for MemberNodes<'_> {
    fn assigned(&self, organisation: &str) -> Vec<id::HostName> {
        let nodes = self.members.nodes_for(organisation);
        match nodes.is_empty() {
            // Before it has met a peer, a node stands alone.
            true => vec![self.host.to_owned()],
            false => nodes,
        }
    }
}

impl TrafficDesk {
    /// Creates the desk of a node that starts.
    pub fn new(
        host: id::HostName,
        incarnation: id::IncarnationNumber,
        recorder: sync::Arc<event::EventRecorder>,
        members: sync::Arc<member::MemberView>,
        post: sync::Arc<peer::PeerEndpoint>,
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
            gates: [gate(COMPLETION_SLOTS), gate(SERVICE_SLOTS)],
            holder: limit::holder::ShareHolder::default(),
            keeper: limit::allocator::ShareAllocator::default(),
            budget: retry::RetryBudget::default(),
            breakers: Vec::new(),
            suspects: suspect::tracker::SuspectTracker::new(host.clone(), incarnation),
            isolation: suspect::isolation::IsolationQueue::default(),
            admissions: Vec::new(),
            permits: Vec::new(),
            turns: Vec::new(),
            suspected: Vec::new(),
            flights: Vec::new(),
            crashes: Vec::new(),
            alive: Vec::new(),
            settled: now,
        };
        Self {
            host,
            recorder,
            members,
            post,
            state: sync::Mutex::new(state),
        }
    }

    /// Returns how many requests wait for admission.
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
    fn flight(&mut self, ticket: id::TicketNumber) -> Option<&mut RequestFlight> {
        let place = self
            .flights
            .binary_search_by_key(&ticket, |flight| flight.ticket)
            .ok()?;
        self.flights.get_mut(place)
    }

    /// Passes an event to a gate and its decisions to those who wait.
    fn admit(&mut self, kind: EntryKind, event: admission::AdmissionEvent, now: time::Instant) {
        for action in self.gates[kind as usize].gate.handle(event, now) {
            let (ticket, refusal) = match action {
                admission::AdmissionAction::Admit(ticket) => {
                    if let Some(flight) = self.flight(ticket) {
                        flight.admitted = Some(now);
                    }
                    (ticket, None)
                }
                admission::AdmissionAction::Refuse(ticket, refusal) => (ticket, Some(refusal)),
            };
            let waiter = self
                .admissions
                .iter()
                .position(|waiter| waiter.ticket == ticket);
            if let Some(place) = waiter {
                // A caller that left meanwhile gives its place back by itself.
                let _ = self.admissions.swap_remove(place).sender.send(refusal);
            }
        }
    }
}
