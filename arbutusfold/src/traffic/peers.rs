//! What nodes tell each other of demand, shares, permits and suspects.

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

/// Time between two looks at what is due.
const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(20);

/// Time after a crash from which a report was asked for later: older calls
/// have run out by then.
const REPORT_DELAY: std_time::Duration = std_time::Duration::from_millis(1_100);

/// Time within which an upstream's report can show that it did not die.
const CRASH_DOUBT: std_time::Duration = std_time::Duration::from_secs(10);

/// Takes messages about demand and shares.
struct DemandHandler {
    core: sync::Weak<node::NodeCore>,
}

impl peer::MessageHandler for DemandHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        let message = postcard::from_bytes::<limit::LimitMessage>(body);
        if let (Some(core), Ok(message)) = (self.core.upgrade(), message) {
            core.traffic.hear_limit(&core, sender, message);
        }
    }
}

/// Takes messages about permits and suspects.
struct SuspectHandler {
    core: sync::Weak<node::NodeCore>,
}

impl peer::MessageHandler for SuspectHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        let message = postcard::from_bytes::<suspect::SuspectMessage>(body);
        if let (Some(core), Ok(message)) = (self.core.upgrade(), message) {
            core.traffic.hear_suspect(sender, message);
        }
    }
}

/// Registers the handlers of this slice's messages.
pub fn register(core: &sync::Arc<node::NodeCore>) {
    let demand = DemandHandler {
        core: sync::Arc::downgrade(core),
    };
    let suspects = SuspectHandler {
        core: sync::Arc::downgrade(core),
    };
    core.post
        .register(peer::MessageKind::Demand, sync::Arc::new(demand));
    core.post
        .register(peer::MessageKind::Suspect, sync::Arc::new(suspects));
}

/// Keeps queues, shares and permits current.
pub async fn keep(core: sync::Arc<node::NodeCore>) {
    let mut ticks = time::interval(TICK_PERIOD);
    let mut reported = time::Instant::now();
    loop {
        ticks.tick().await;
        let now = time::Instant::now();
        core.traffic.watch_members(now);
        core.traffic.tick(now);
        let due = now.duration_since(reported) >= limit::DEMAND_PERIOD;
        if due || core.traffic.lock().holder.needs_report() {
            reported = now;
            core.traffic.report_demand(&core, now);
        }
    }
}

impl traffic::TrafficDesk {
    fn tick(&self, now: time::Instant) {
        let mut state = self.lock();
        for kind in entry::EntryKind::ALL {
            state.admit(kind, admission::AdmissionEvent::Tick, now);
        }
        self.suspect(&mut state, tracker::SuspectEvent::Tick, now);
        state
            .crashes
            .retain(|crash| now.duration_since(crash.noted) < CRASH_DOUBT);
    }

    /// Notes which nodes came and went.
    fn watch_members(&self, now: time::Instant) {
        let members = self.members.alive();
        let mut alive: Vec<_> = members.into_iter().map(|known| known.name).collect();
        alive.sort_unstable();
        let mut state = self.lock();
        if alive == state.alive {
            return;
        }
        let gone: Vec<_> = state
            .alive
            .iter()
            .filter(|host| alive.binary_search(host).is_err())
            .cloned()
            .collect();
        state.alive = alive;
        state.settled = now;
        for host in gone {
            state.isolation.remove_node(&host);
            self.suspect(&mut state, tracker::SuspectEvent::NodeLost(host), now);
        }
        self.suspect(&mut state, tracker::SuspectEvent::AssignmentChanged, now);
    }

    /// Notes that an upstream answered this node under an incarnation.
    ///
    /// Where a crash of that incarnation was noted, only a link had broken.
    pub fn note_report(&self, upstream: &str, incarnation: id::IncarnationNumber) {
        let mut state = self.lock();
        if state.crashes.is_empty() {
            return;
        }
        let now = time::Instant::now();
        let alive: Vec<_> = state
            .crashes
            .extract_if(.., |crash| {
                let asked_later = now.duration_since(crash.noted) >= REPORT_DELAY;
                let mark = &crash.mark;
                asked_later && mark.upstream == upstream && mark.incarnation == incarnation
            })
            .collect();
        for crash in alive {
            self.recorder
                .record(event::EventCode::SuspectCleared, upstream, "it lives");
            let event = tracker::SuspectEvent::RetractCrash {
                fingerprint: crash.fingerprint,
                organisation: crash.organisation,
                crash: crash.mark,
            };
            self.suspect(&mut state, event, now);
        }
    }

    /// Tells each keeper this node's demand.
    fn report_demand(&self, core: &node::NodeCore, now: time::Instant) {
        let mut state = self.lock();
        let report = state.holder.report(now);
        let nodes = self.nodes();
        state
            .keeper
            .retain(|organisation| nodes.assigned(organisation).first() == Some(&self.host));
        drop(state);
        let mut parts: Vec<(id::HostName, Vec<limit::DemandEntry>)> = Vec::new();
        for entry in report.entries {
            let Some(keeper) = nodes.assigned(&entry.organisation).into_iter().next() else {
                continue;
            };
            match parts.iter_mut().find(|(host, _)| *host == keeper) {
                Some((_, entries)) => entries.push(entry),
                None => parts.push((keeper, vec![entry])),
            }
        }
        for (keeper, entries) in parts {
            let number = report.number;
            let message = limit::LimitMessage::Demand(limit::DemandReport { number, entries });
            self.send_limit(core, &keeper, message);
        }
    }

    fn send_limit(&self, core: &node::NodeCore, to: &str, message: limit::LimitMessage) {
        if to == self.host {
            self.hear_limit(core, to, message);
        } else if let Ok(body) = postcard::to_stdvec(&message) {
            self.post.send(to, peer::MessageKind::Demand, &body);
        }
    }

    fn hear_limit(&self, core: &node::NodeCore, from: &str, message: limit::LimitMessage) {
        let now = time::Instant::now();
        match message {
            limit::LimitMessage::Grant(grant) => self.lock().holder.apply_grant(&grant, now),
            limit::LimitMessage::Demand(report) => {
                let number = report.number;
                let entries: Vec<_> = report
                    .entries
                    .iter()
                    .filter_map(|entry| self.lend(core, from, number, entry, now))
                    .collect();
                let grant = limit::GrantReport { number, entries };
                self.send_limit(core, from, limit::LimitMessage::Grant(grant));
            }
        }
    }

    /// Lends a share, if this node keeps the organisation's limit.
    fn lend(
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
            stable_since: state.settled,
        };
        Some(state.keeper.allocate(from, number, entry, &view, now))
    }

    fn hear_suspect(&self, from: &str, message: suspect::SuspectMessage) {
        let now = time::Instant::now();
        let mut state = self.lock();
        match message {
            suspect::SuspectMessage::IsolationRequest(call) => {
                if let Some(answer) = state.isolation.handle(from, call, now) {
                    self.send_suspect(from, &suspect::SuspectMessage::IsolationReply(answer));
                }
            }
            suspect::SuspectMessage::IsolationReply(answer) => state.take_turn(answer),
            message => {
                let event = tracker::SuspectEvent::Message(from.to_owned(), message);
                self.suspect(&mut state, event, now);
            }
        }
    }

    /// Passes an event to the permits and carries out what follows.
    pub(super) fn suspect(
        &self,
        state: &mut traffic::TrafficState,
        event: tracker::SuspectEvent,
        now: time::Instant,
    ) {
        for action in state.suspects.handle(event, &self.nodes(), now) {
            match action {
                claim::ClaimAction::Send(to, message) => self.send_suspect(&to, &message),
                claim::ClaimAction::Start(run) => state.decide_run(run, None),
                claim::ClaimAction::Refuse(run, refusal) => state.decide_run(run, Some(refusal)),
            }
        }
    }

    fn send_suspect(&self, to: &str, message: &suspect::SuspectMessage) {
        if let Ok(body) = postcard::to_stdvec(message) {
            self.post.send(to, peer::MessageKind::Suspect, &body);
        }
    }

    /// Calls the node that isolates suspects.
    pub(super) fn call_isolation(
        &self,
        state: &mut traffic::TrafficState,
        call: isolation::IsolationRequest,
        now: time::Instant,
    ) {
        let desk = state.alive.iter().max_by_key(|host| rank(host)).cloned();
        let Some(desk) = desk.filter(|desk| *desk != self.host) else {
            if let Some(answer) = state.isolation.handle(&self.host, call, now) {
                state.take_turn(answer);
            }
            return;
        };
        self.send_suspect(&desk, &suspect::SuspectMessage::IsolationRequest(call));
    }

    pub(super) fn end_turn(
        &self,
        state: &mut traffic::TrafficState,
        run: suspect::RunNumber,
        now: time::Instant,
    ) {
        state.turns.retain(|waiter| waiter.run != run);
        if state.suspected.contains(&run) {
            state.suspected.retain(|known| *known != run);
            self.call_isolation(state, isolation::IsolationRequest::End(run), now);
        }
    }
}

impl traffic::TrafficState {
    fn decide_run(&mut self, run: suspect::RunNumber, refusal: Option<claim::RunRefusal>) {
        if let Some(place) = self.permits.iter().position(|waiter| waiter.run == run) {
            // A caller that left meanwhile has ended the run.
            let _ = self.permits.swap_remove(place).sender.send(refusal);
        }
    }

    fn take_turn(&mut self, answer: isolation::IsolationReply) {
        let isolation::IsolationReply::Turn { run, avoid } = answer else {
            return;
        };
        if let Some(place) = self.turns.iter().position(|waiter| waiter.run == run) {
            let _ = self.turns.swap_remove(place).sender.send(avoid);
        }
    }
}

/// Returns a node's rank among those that may isolate suspects.
fn rank(host: &str) -> [u8; 32] {
    *blake3::hash(host.as_bytes()).as_bytes()
}
