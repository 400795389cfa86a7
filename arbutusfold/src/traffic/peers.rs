//! Messages between nodes about rate limits, permits and suspects, and the
//! periodic work of traffic control.

use std::sync;
use std::time as std_time;

use tokio::time;

use crate::admission;
use crate::event;
use crate::id;
use crate::limit;
use crate::node;
use crate::peer;
use crate::suspect;
use crate::suspect::claim;
use crate::suspect::isolation;
use crate::suspect::tracker;
use crate::suspect::tracker::AssignedNodes;
use crate::traffic;
use crate::traffic::entry;

/// Interval of the periodic checks.
const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(20);

/// Minimum time from a crash to a report that shows the upstream alive.
///
/// Requests for reports that were sent before the crash have timed out by then.
const MIN_REPORT_DELAY: std_time::Duration = std_time::Duration::from_millis(1_100);

/// Time after a crash during which a report of the upstream can retract it.
const CRASH_RETRACTION_WINDOW: std_time::Duration = std_time::Duration::from_secs(10);

/// Handles messages about rate limits: demand reports and grants.
struct DemandHandler {
    core: sync::Weak<node::NodeCore>,
}

impl peer::MessageHandler for DemandHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        let message = postcard::from_bytes::<limit::LimitMessage>(body);
        if let (Some(core), Ok(message)) = (self.core.upgrade(), message) {
            core.traffic.handle_limit_message(&core, sender, message);
        }
    }
}

/// Handles messages about permits and isolation.
struct SuspectHandler {
    core: sync::Weak<node::NodeCore>,
}

impl peer::MessageHandler for SuspectHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        let message = postcard::from_bytes::<suspect::SuspectMessage>(body);
        if let (Some(core), Ok(message)) = (self.core.upgrade(), message) {
            core.traffic.handle_suspect_message(sender, message);
        }
    }
}

/// Registers the message handlers of this module.
pub fn register(core: &sync::Arc<node::NodeCore>) {
    let demand = DemandHandler {
        core: sync::Arc::downgrade(core),
    };
    let suspects = SuspectHandler {
        core: sync::Arc::downgrade(core),
    };
    core.endpoint
        .register(peer::MessageKind::Demand, sync::Arc::new(demand));
    core.endpoint
        .register(peer::MessageKind::Suspect, sync::Arc::new(suspects));
}

/// Runs the periodic updates of queues, rate limits and permits.
pub async fn run(core: sync::Arc<node::NodeCore>) {
    let mut ticks = time::interval(TICK_PERIOD);
    let mut last_report = time::Instant::now();
    loop {
        ticks.tick().await;
        let now = time::Instant::now();
        core.traffic.update_members(now);
        core.traffic.tick(now);
        let due = now.duration_since(last_report) >= limit::DEMAND_PERIOD;
        if due || core.traffic.lock().holder.needs_report() {
            last_report = now;
            core.traffic.report_demand(&core, now);
        }
    }
}

impl traffic::TrafficController {
    fn tick(&self, now: time::Instant) {
        let mut state = self.lock();
        for kind in entry::EntryKind::ALL {
            state.admit(kind, admission::AdmissionEvent::Tick, now);
        }
        self.handle_suspect_event(&mut state, tracker::SuspectEvent::Tick, now);
        state
            .crashes
            .retain(|crash| now.duration_since(crash.recorded_at) < CRASH_RETRACTION_WINDOW);
    }

    /// Compares the nodes alive with those of the last check and handles the
    /// changes.
    fn update_members(&self, now: time::Instant) {
        let members = self.members.alive();
        let mut alive: Vec<_> = members.into_iter().map(|known| known.name).collect();
        alive.sort_unstable();
        let mut state = self.lock();
        if alive == state.alive {
            return;
        }
        let lost: Vec<_> = state
            .alive
            .iter()
            .filter(|host| alive.binary_search(host).is_err())
            .cloned()
            .collect();
        state.alive = alive;
        state.stable_since = now;
        for host in lost {
            state.isolation.remove_node(&host);
            self.handle_suspect_event(&mut state, tracker::SuspectEvent::NodeLost(host), now);
        }
        self.handle_suspect_event(&mut state, tracker::SuspectEvent::AssignmentChanged, now);
    }

    /// Retracts the recorded crashes of an upstream that reported with the
    /// same incarnation.
    ///
    /// In that case the upstream did not crash; only the connection failed.
    pub fn note_report(&self, upstream: &str, incarnation: id::IncarnationNumber) {
        let mut state = self.lock();
        if state.crashes.is_empty() {
            return;
        }
        let now = time::Instant::now();
        let retracted: Vec<_> = state
            .crashes
            .extract_if(.., |crash| {
                let requested_after = now.duration_since(crash.recorded_at) >= MIN_REPORT_DELAY;
                let id = &crash.id;
                requested_after && id.upstream == upstream && id.incarnation == incarnation
            })
            .collect();
        for crash in retracted {
            self.recorder.record(
                event::EventCode::SuspectCleared,
                upstream,
                "the upstream is still alive",
            );
            let event = tracker::SuspectEvent::RetractCrash {
                fingerprint: crash.fingerprint,
                organisation: crash.organisation,
                crash: crash.id,
            };
            self.handle_suspect_event(&mut state, event, now);
        }
    }

    /// Sends this node's demand to the allocators of its organisations.
    fn report_demand(&self, core: &node::NodeCore, now: time::Instant) {
        let mut state = self.lock();
        let report = state.holder.report(now);
        let nodes = self.nodes();
        state
            .allocator
            .retain(|organisation| nodes.assigned(organisation).first() == Some(&self.host));
        drop(state);
        let mut entries_by_allocator: Vec<(id::HostName, Vec<limit::DemandEntry>)> = Vec::new();
        for entry in report.entries {
            let Some(allocator) = nodes.assigned(&entry.organisation).into_iter().next() else {
                continue;
            };
            match entries_by_allocator
                .iter_mut()
                .find(|(host, _)| *host == allocator)
            {
                Some((_, entries)) => entries.push(entry),
                None => entries_by_allocator.push((allocator, vec![entry])),
            }
        }
        for (allocator, entries) in entries_by_allocator {
            let number = report.number;
            let message = limit::LimitMessage::Demand(limit::DemandReport { number, entries });
            self.send_limit(core, &allocator, message);
        }
    }

    fn send_limit(&self, core: &node::NodeCore, to: &str, message: limit::LimitMessage) {
        if to == self.host {
            self.handle_limit_message(core, to, message);
        } else if let Ok(body) = postcard::to_stdvec(&message) {
            self.endpoint.send(to, peer::MessageKind::Demand, &body);
        }
    }

    fn handle_limit_message(
        &self,
        core: &node::NodeCore,
        from: &str,
        message: limit::LimitMessage,
    ) {
        let now = time::Instant::now();
        match message {
            limit::LimitMessage::Grant(grant) => self.lock().holder.apply_grant(&grant, now),
            limit::LimitMessage::Demand(report) => {
                let number = report.number;
                let entries: Vec<_> = report
                    .entries
                    .iter()
                    .filter_map(|entry| self.allocate_share(core, from, number, entry, now))
                    .collect();
                let grant = limit::GrantReport { number, entries };
                self.send_limit(core, from, limit::LimitMessage::Grant(grant));
            }
        }
    }

    /// Allocates a share if this node is the allocator of the organisation.
    fn allocate_share(
        &self,
        core: &node::NodeCore,
        from: &str,
        number: u64,
        entry: &limit::DemandEntry,
        now: time::Instant,
    ) -> Option<limit::GrantEntry> {
        let assigned = self.nodes().assigned(&entry.organisation);
        if assigned.first() != Some(&self.host) {
            return None;
        }
        let config = core.config.current()?;
        let spec = config
            .document
            .organisations
            .iter()
            .find(|spec| spec.name == entry.organisation)?;
        let mut state = self.lock();
        let state = &mut *state;
        let view = limit::allocator::AllocatorView {
            limit: limit::ShareRate::from_spec(spec),
            assigned: &assigned,
            alive: &state.alive,
            stable_since: state.stable_since,
        };
        Some(state.allocator.allocate(from, number, entry, &view, now))
    }

    fn handle_suspect_message(&self, from: &str, message: suspect::SuspectMessage) {
        let now = time::Instant::now();
        let mut state = self.lock();
        match message {
            suspect::SuspectMessage::IsolationRequest(request) => {
                if let Some(reply) = state.isolation.handle(from, request, now) {
                    self.send_suspect(from, &suspect::SuspectMessage::IsolationReply(reply));
                }
            }
            suspect::SuspectMessage::IsolationReply(reply) => state.handle_isolation_reply(reply),
            message => {
                let event = tracker::SuspectEvent::Message(from.to_owned(), message);
                self.handle_suspect_event(&mut state, event, now);
            }
        }
    }

    /// Passes an event to the suspect tracker and carries out its actions.
    pub(super) fn handle_suspect_event(
        &self,
        state: &mut traffic::TrafficState,
        event: tracker::SuspectEvent,
        now: time::Instant,
    ) {
        for action in state.suspects.handle(event, &self.nodes(), now) {
            match action {
                claim::ClaimAction::Send(to, message) => self.send_suspect(&to, &message),
                claim::ClaimAction::Start(run) => state.resolve_permit(run, None),
                claim::ClaimAction::Refuse(run, refusal) => {
                    state.resolve_permit(run, Some(refusal))
                }
            }
        }
    }

    fn send_suspect(&self, to: &str, message: &suspect::SuspectMessage) {
        if let Ok(body) = postcard::to_stdvec(message) {
            self.endpoint.send(to, peer::MessageKind::Suspect, &body);
        }
    }

    /// Sends a request to the isolation coordinator, which may be this node.
    pub(super) fn request_isolation(
        &self,
        state: &mut traffic::TrafficState,
        request: isolation::IsolationRequest,
        now: time::Instant,
    ) {
        let coordinator = state
            .alive
            .iter()
            .max_by_key(|host| coordinator_rank(host))
            .cloned();
        let Some(coordinator) = coordinator.filter(|coordinator| *coordinator != self.host) else {
            if let Some(reply) = state.isolation.handle(&self.host, request, now) {
                state.handle_isolation_reply(reply);
            }
            return;
        };
        self.send_suspect(
            &coordinator,
            &suspect::SuspectMessage::IsolationRequest(request),
        );
    }

    pub(super) fn end_turn(
        &self,
        state: &mut traffic::TrafficState,
        run: suspect::RunNumber,
        now: time::Instant,
    ) {
        state.turns.retain(|waiter| waiter.run != run);
        if state.suspect_runs.contains(&run) {
            state.suspect_runs.retain(|known| *known != run);
            self.request_isolation(state, isolation::IsolationRequest::End(run), now);
        }
    }
}

impl traffic::TrafficState {
    fn resolve_permit(&mut self, run: suspect::RunNumber, refusal: Option<claim::RunRefusal>) {
        if let Some(index) = self.permits.iter().position(|waiter| waiter.run == run) {
            // The receiver is gone if the caller left; dropping the guard then
            // ends the run.
            let _ = self.permits.swap_remove(index).sender.send(refusal);
        }
    }

    fn handle_isolation_reply(&mut self, reply: isolation::IsolationReply) {
        let isolation::IsolationReply::Turn { run, avoid } = reply else {
            return;
        };
        if let Some(index) = self.turns.iter().position(|waiter| waiter.run == run) {
            let _ = self.turns.swap_remove(index).sender.send(avoid);
        }
    }
}

/// Returns the rank of a node; the alive node with the highest rank is the
/// isolation coordinator.
fn coordinator_rank(host: &str) -> [u8; 32] {
    *blake3::hash(host.as_bytes()).as_bytes()
}
