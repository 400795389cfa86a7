//! Runners as one node knows them: their entries, its own load on them and
//! what it saw of them.

use std::net;
use std::time as std_time;

use arbutusfold_platform::{runner, store};
use tokio::time;

use crate::gateway::leader;
use crate::gateway::mirror;
use crate::id;

/// Time for which an entry that went away around an outage of the store still
/// counts: the platform restores the entries of live runners in about 2 s.
pub const RESTORE_GRACE: std_time::Duration = std_time::Duration::from_millis(2_300);

/// Part of the time to notice a lost dependency within which a node that was
/// cut off obeys what changed meanwhile; the rest is for the way of requests.
const APPLY_FRACTION: f64 = 0.9;

/// First time for which a runner that failed is passed over.
const AVOID_START: std_time::Duration = std_time::Duration::from_millis(500);

/// Longest time for which a runner that failed is passed over.
const AVOID_LIMIT: std_time::Duration = std_time::Duration::from_secs(8);

/// Time for which a runner that turned a request away is passed over.
const AVOID_REFUSAL: std_time::Duration = std_time::Duration::from_millis(400);

/// Weight of the latest result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// A time without the store as one node saw it.
#[derive(Clone, Copy, Debug)]
pub struct StoreOutage {
    /// When the latest call that failed began.
    pub failed_at: time::Instant,
    /// When the store answered again, if it did.
    pub restored_at: Option<time::Instant>,
}

impl StoreOutage {
    /// Returns until when an entry that goes away now still counts, or none
    /// where it is gone.
    ///
    /// A node cannot tell whether the store was away, which takes entries of
    /// live runners with it, or the node itself was cut off. In that case it
    /// must obey within `contact` of the end of the cut, which came no sooner
    /// than `failed`.
    pub fn grace_end(
        &self,
        contact: std_time::Duration,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let Some(restored_at) = self.restored_at else {
            return Some(now + RESTORE_GRACE);
        };
        let until = (now + RESTORE_GRACE).min(self.failed_at + contact.mul_f64(APPLY_FRACTION));
        (now < until && now < restored_at + RESTORE_GRACE).then_some(until)
    }
}

/// A runner with this node's load on it.
#[derive(Clone, Debug)]
pub struct RunnerState {
    /// Its entry in the store.
    pub record: runner::RunnerRecord,
    /// Version of the entry.
    pub version: store::RowVersion,
    /// Its short name in messages between nodes.
    pub key: leader::RunnerKey,
    /// Requests of this node under way there.
    pub in_flight: u32,
    /// Tokens of context of these, times the layers that they pass there.
    pub token_layers: u64,
    /// Share of failures among the latest results, from 0 to 1.
    pub failure_rate: f64,
    /// When an event came of any stream that passes it.
    last_progress: Option<time::Instant>,
    failures: u32,
    avoided_until: Option<time::Instant>,
    /// Set when it answered that it does not hold the layers of its entry.
    layers_missing: bool,
    /// Until when it counts although its entry is gone.
    grace_end: Option<time::Instant>,
}

impl RunnerState {
    /// Tells whether requests may be sent to it at all.
    pub fn is_usable(&self, now: time::Instant) -> bool {
        !self.record.leaving && self.grace_end.is_none_or(|until| now < until)
    }

    /// Tells whether it is passed over as long as there are others.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns the layers that it holds as far as known.
    pub fn layers(&self) -> Option<runner::LayerSpan> {
        let layers = self.record.layers.filter(|_| !self.layers_missing);
        layers.filter(|layers| !layers.is_empty())
    }

    /// Tells whether a restart or an order changed what it holds.
    fn is_changed(&self, record: &runner::RunnerRecord) -> bool {
        self.record.born_ms != record.born_ms || self.record.layers != record.layers
    }
}

/// What changed in the fleet, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetChange {
    /// A runner appeared.
    Found(id::UpstreamName, String),
    /// A runner leaves.
    Leaving(id::UpstreamName),
    /// A runner's entry is gone.
    Lost(id::UpstreamName, &'static str),
    /// A runner started anew or holds other layers.
    Changed(id::UpstreamName, String),
    /// An entry could not be read and names no runner.
    Unreadable(id::UpstreamName, String),
}

/// The runners of all services.
#[derive(Clone, Debug, Default)]
pub struct RunnerFleet {
    /// Runners by id.
    runners: Vec<RunnerState>,
}

impl RunnerFleet {
    /// Takes a changed entry; around an outage of the store one that goes away
    /// counts until `grace_end`.
    pub fn update(
        &mut self,
        row: &mirror::MirrorRow,
        grace_end: Option<time::Instant>,
    ) -> Option<FleetChange> {
        let Some(value) = &row.value else {
            return self.remove(&row.key, grace_end);
        };
        match runner::decode_record(&row.key, value) {
            Ok(record) => self.upsert(record, row.version),
            Err(error) => {
                self.remove(&row.key, None);
                Some(FleetChange::Unreadable(row.key.clone(), error.to_string()))
            }
        }
    }

    /// Drops runners whose entries did not come back after an outage.
    pub fn expire(&mut self, now: time::Instant) -> Vec<FleetChange> {
        let is_expired = |state: &RunnerState| state.grace_end.is_some_and(|until| now >= until);
        let expired = self.runners.iter().filter(|state| is_expired(state));
        let changes =
            expired.map(|state| FleetChange::Lost(state.record.id.clone(), "not restored"));
        let changes = changes.collect();
        self.runners.retain(|state| !is_expired(state));
        changes
    }

    /// Returns every runner, by id.
    pub fn runners(&self) -> &[RunnerState] {
        &self.runners
    }

    /// Returns the requests of this node under way, counted at each runner.
    pub fn in_flight(&self) -> u32 {
        self.runners.iter().map(|state| state.in_flight).sum()
    }

    /// Returns a runner.
    pub fn get(&self, id: &str) -> Option<&RunnerState> {
        self.search(id).ok().map(|index| &self.runners[index])
    }

    /// Returns the id of the runner at an address.
    pub fn id_at(&self, address: net::SocketAddr) -> Option<&id::UpstreamName> {
        let mut runners = self.runners.iter();
        let found = runners.find(|state| state.record.address == address);
        found.map(|state| &state.record.id)
    }

    /// Notes a request that begins at a runner.
    pub fn begin(&mut self, id: &str, token_layers: u64) {
        if let Some(state) = self.find_mut(id) {
            state.in_flight += 1;
            state.token_layers += token_layers;
        }
    }

    /// Notes the end of a request.
    pub fn end(&mut self, id: &str, token_layers: u64) {
        if let Some(state) = self.find_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.token_layers = state.token_layers.saturating_sub(token_layers);
        }
    }

    /// Notes that an event came of a stream that passes a runner.
    pub fn note_progress(&mut self, id: &str, now: time::Instant) {
        if let Some(state) = self.find_mut(id) {
            state.last_progress = Some(now);
        }
    }

    /// Returns how long no event came of any stream that passes a runner.
    pub fn silence(&self, id: &str, now: time::Instant) -> Option<std_time::Duration> {
        let last_progress = self.get(id)?.last_progress?;
        Some(now.saturating_duration_since(last_progress))
    }

    /// Notes a request that a runner answered well.
    pub fn note_success(&mut self, id: &str) {
        if let Some(state) = self.find_mut(id) {
            state.failures = 0;
            state.failure_rate *= 1.0 - FAILURE_WEIGHT;
            state.avoided_until = None;
        }
    }

    /// Notes a failure and returns for how long the runner is passed over.
    pub fn note_failure(&mut self, id: &str, now: time::Instant) -> Option<std_time::Duration> {
        let state = self.find_mut(id)?;
        state.failure_rate += FAILURE_WEIGHT * (1.0 - state.failure_rate);
        let avoidance = (AVOID_START * (1 << state.failures.min(8))).min(AVOID_LIMIT);
        state.failures += 1;
        state.avoided_until = Some(now + avoidance);
        Some(avoidance)
    }

    /// Notes that a runner turned a request away, as one does that is short of
    /// memory for a moment.
    pub fn note_refusal(&mut self, id: &str, now: time::Instant) {
        if let Some(state) = self.find_mut(id) {
            let until = now + AVOID_REFUSAL;
            state.avoided_until = Some(state.avoided_until.map_or(until, |held| held.max(until)));
        }
    }

    /// Notes a failed answer of a runner that otherwise works.
    pub fn note_error(&mut self, id: &str) {
        if let Some(state) = self.find_mut(id) {
            state.failure_rate += FAILURE_WEIGHT * (1.0 - state.failure_rate);
        }
    }

    /// Notes that a runner does not hold the layers of its entry.
    pub fn note_missing_layers(&mut self, id: &str) {
        if let Some(state) = self.find_mut(id) {
            state.layers_missing = true;
        }
    }

    fn upsert(
        &mut self,
        record: runner::RunnerRecord,
        version: store::RowVersion,
    ) -> Option<FleetChange> {
        match self.search(&record.id) {
            Ok(index) => {
                let state = &mut self.runners[index];
                let id = record.id.clone();
                let left = record.leaving && !state.record.leaving;
                let changed = state.is_changed(&record);
                if state.record.born_ms != record.born_ms {
                    state.failures = 0;
                    state.failure_rate = 0.0;
                    state.avoided_until = None;
                    state.last_progress = None;
                }
                let detail = describe(&record);
                state.layers_missing &= !changed;
                state.record = record;
                state.version = version;
                state.grace_end = None;
                match (left, changed) {
                    (true, _) => Some(FleetChange::Leaving(id)),
                    (false, true) => Some(FleetChange::Changed(id, detail)),
                    (false, false) => None,
                }
            }
            Err(index) => {
                let change = FleetChange::Found(record.id.clone(), describe(&record));
                let state = RunnerState {
                    key: leader::runner_key(&record.id),
                    record,
                    version,
                    in_flight: 0,
                    token_layers: 0,
                    failure_rate: 0.0,
                    last_progress: None,
                    failures: 0,
                    avoided_until: None,
                    layers_missing: false,
                    grace_end: None,
                };
                self.runners.insert(index, state);
                Some(change)
            }
        }
    }

    fn remove(&mut self, id: &str, grace_end: Option<time::Instant>) -> Option<FleetChange> {
        let index = self.search(id).ok()?;
        if grace_end.is_some() && !self.runners[index].record.leaving {
            self.runners[index].grace_end = grace_end;
            return None;
        }
        self.runners.remove(index);
        Some(FleetChange::Lost(id.to_owned(), "entry removed"))
    }

    fn find_mut(&mut self, id: &str) -> Option<&mut RunnerState> {
        let index = self.search(id).ok()?;
        Some(&mut self.runners[index])
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.runners
            .binary_search_by(|state| state.record.id.as_str().cmp(id))
    }
}

fn describe(record: &runner::RunnerRecord) -> String {
    let layers = record.layers.map_or("none".to_owned(), |layers| {
        format!("{}-{}", layers.from, layers.to)
    });
    format!(
        "service={} address={} domain={} card={} layers={layers} born_ms={}",
        record.service,
        record.address,
        record.domain,
        record.card.as_deref().unwrap_or("unknown"),
        record.born_ms.unwrap_or(0),
    )
}
