//! The runners known to one node: their entries in the store, the node's own
//! load on them and its record of their failures and progress.

use std::net;
use std::time as std_time;

use arbutusfold_platform::{runner, store};
use tokio::time;

use crate::gateway::demand;
use crate::gateway::leader;
use crate::gateway::mirror;
use crate::id;

/// Time for which an entry stays valid after it was removed around an outage of
/// the store. The platform restores the entries of live runners in about 2 s.
pub const RESTORE_GRACE: std_time::Duration = std_time::Duration::from_millis(2_300);

/// Fraction of the time limit for detecting a lost dependency. Within it, a node
/// that was cut off applies the removals that it missed; the rest of the limit
/// is left for requests on their way.
const APPLY_FRACTION: f64 = 0.9;

/// Time for which a runner is avoided after its first failure.
const AVOID_START: std_time::Duration = std_time::Duration::from_millis(500);

/// Longest time for which a runner is avoided after a failure.
const AVOID_LIMIT: std_time::Duration = std_time::Duration::from_secs(8);

/// Time for which a runner is avoided after it refused a request.
pub const AVOID_REFUSAL: std_time::Duration = std_time::Duration::from_millis(400);

/// Time for which a runner gets no requests after it refused a connection, unless
/// its entry tells of a new process before.
const UNREACHABLE_TIME: std_time::Duration = std_time::Duration::from_millis(500);

/// Times that a failure is held after its leader last saw it. A leader that is lost or
/// cut off from the runners no longer sees them fail, but is still passed on.
const AGE_HOLDS: u32 = 2;

/// Why the entry of a runner at the address of a node is not used.
const NODE_ADDRESS: &str = "address: belongs to a node";

/// Weight of the latest result in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// An outage of the store as one node observed it.
#[derive(Clone, Copy, Debug)]
pub struct StoreOutage {
    /// Start of the latest call that failed.
    pub failed_at: time::Instant,
    /// When the store answered this node or its leader again, or `None` during
    /// the outage.
    pub restored_at: Option<time::Instant>,
}

impl StoreOutage {
    /// Returns the end of the grace period of an entry that is removed now, or
    /// `None` if the removal takes effect at once.
    ///
    /// A node cannot distinguish an outage of the store, which also removes the
    /// entries of live runners, from a cut of its own connection. In the second
    /// case it must apply removals within `contact` of the end of the cut, and
    /// the cut did not end before `failed_at`. In the first case the entries are
    /// back soon after the end of the outage, however late a removal arrives.
    pub fn grace_end(
        &self,
        contact: std_time::Duration,
        now: time::Instant,
    ) -> Option<time::Instant> {
        let restored_at = self.restored_at.unwrap_or(now);
        let cut_end = self.failed_at + contact.mul_f64(APPLY_FRACTION);
        let until = cut_end.min(restored_at + RESTORE_GRACE);
        (now < until).then_some(until)
    }

    /// Describes the outage for the log.
    pub fn describe(&self, now: time::Instant) -> String {
        let age_ms = |at| now.saturating_duration_since(at).as_millis();
        let restored = self
            .restored_at
            .map_or("never".to_owned(), |at| age_ms(at).to_string());
        format!(
            "failed_ms={} restored_ms={restored}",
            age_ms(self.failed_at)
        )
    }
}

/// Limit of a runner as its latest known answer states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerLimit {
    /// Requests per second that it takes from all nodes together, or `None` if
    /// the answer lifted the limit.
    pub rate: Option<f64>,
    /// When the answer arrived at the node that received it.
    pub seen_at: time::Instant,
}

/// What a leader found of a runner's process that failed.
#[derive(Clone, Copy, Debug)]
struct FailureVerdict {
    /// When the process was last seen to fail.
    seen_at: time::Instant,
    /// End of the verdict unless a leader repeats it.
    until: time::Instant,
}

/// A runner and this node's load on it.
#[derive(Clone, Debug)]
pub struct RunnerState {
    /// Its entry in the store.
    pub record: runner::RunnerRecord,
    /// Version of the entry.
    pub version: store::RowVersion,
    /// Its key in messages between nodes.
    pub key: leader::RunnerKey,
    /// Number of this node's requests in flight there.
    pub in_flight: u32,
    /// Context tokens of these requests, each multiplied by the number of
    /// layers that the request uses on this runner.
    pub token_layers: u64,
    /// Moving average of failures, from 0 to 1.
    pub failure_rate: f64,
    /// When the latest event of any stream through it arrived.
    last_progress: Option<time::Instant>,
    /// Consecutive failures; those of one moment count once.
    failures: u32,
    /// Until when further failures belong to the latest one that counts.
    failing_until: Option<time::Instant>,
    avoided_until: Option<time::Instant>,
    /// Until when no process is assumed to listen at its address.
    unreachable_until: Option<time::Instant>,
    /// Set while its process is assumed to have failed, as a leader found.
    verdict: Option<FailureVerdict>,
    /// When this node last checked whether a process listens there.
    checked_at: Option<time::Instant>,
    /// Set when it answered that it does not hold the layers of its entry;
    /// cleared when the layers of the entry change or the runner restarts.
    layers_missing: bool,
    /// Whether an answer of its process said that it leaves. Its entry may not
    /// show that yet.
    answered_leaving: bool,
    /// When this node first knew that it leaves.
    leaving_since: Option<time::Instant>,
    /// End of the grace period if its entry was removed around an outage.
    grace_end: Option<time::Instant>,
    /// Its limit, if an answer ever named one.
    limit: Option<RunnerLimit>,
    /// Until when this node gets no permit to send requests there.
    paused_until: Option<time::Instant>,
    /// Until when it wants no requests of this node, as it said in a refusal.
    refused_until: Option<time::Instant>,
}

impl RunnerState {
    /// Returns for how long this node may send no requests there, because it gets
    /// no permit or the runner wants none.
    pub fn pause_left(&self, now: time::Instant) -> Option<std_time::Duration> {
        let until = self.paused_until.max(self.refused_until);
        let until = until.filter(|until| now < *until)?;
        Some(until - now)
    }

    /// Returns its limit, if one is in force.
    pub fn limit(&self) -> Option<RunnerLimit> {
        self.limit.filter(|limit| limit.rate.is_some())
    }

    /// Returns whether requests may be sent to it at all.
    pub fn is_usable(&self, now: time::Instant) -> bool {
        !self.is_leaving()
            && !self.is_unreachable(now)
            && self.grace_end.is_none_or(|until| now < until)
    }

    /// Returns whether it refused a connection a short time ago, which shows that its
    /// process does not exist, or a leader found its process to have failed.
    pub fn is_unreachable(&self, now: time::Instant) -> bool {
        let is_failed = self.failed_age(now).is_some();
        is_failed || self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Returns the time since its process was last seen to fail, if a leader found
    /// that.
    pub fn failed_age(&self, now: time::Instant) -> Option<std_time::Duration> {
        let verdict = self.verdict.filter(|verdict| now < verdict.until)?;
        Some(now.saturating_duration_since(verdict.seen_at))
    }

    /// Returns whether its entry or one of its answers says that it leaves.
    fn is_leaving(&self) -> bool {
        self.record.leaving || self.answered_leaving
    }

    /// Returns whether requests go to it only if no other runner is left. After a
    /// failure it gets one request at a time until one succeeds.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        let is_tried = self.failures > 0 && self.in_flight > 0;
        is_tried || self.avoided_until.is_some_and(|until| now < until)
    }

    fn end_failures(&mut self) {
        self.failures = 0;
        self.failing_until = None;
        self.avoided_until = None;
    }

    /// Returns the layers that it holds, as far as known.
    pub fn layers(&self) -> Option<runner::LayerSpan> {
        let layers = self.record.layers.filter(|_| !self.layers_missing);
        layers.filter(|layers| !layers.is_empty())
    }

    /// Returns whether a restart or an order changed the layers that it holds.
    fn is_changed(&self, record: &runner::RunnerRecord) -> bool {
        self.record.started_ms != record.started_ms || self.record.layers != record.layers
    }
}

/// A change of the fleet, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetChange {
    /// A new runner registered.
    Found(id::UpstreamName, String),
    /// A runner is leaving.
    Leaving(id::UpstreamName),
    /// A runner's entry was removed, with the cause.
    Lost(id::UpstreamName, &'static str),
    /// A runner's entry was removed around an outage of the store and stays
    /// valid until this time.
    Kept(id::UpstreamName, time::Instant),
    /// A runner restarted or holds other layers.
    Changed(id::UpstreamName, String),
    /// An entry could not be decoded or names a node; its runner is dropped.
    Unreadable(id::UpstreamName, String),
    /// A leader found a runner's process to have failed; with the time since it was
    /// last seen to fail.
    Failed(id::UpstreamName, std_time::Duration),
    /// A leader does not count a runner as failed any more.
    Regained(id::UpstreamName),
}

/// The runners of all services.
#[derive(Clone, Debug, Default)]
pub struct RunnerFleet {
    /// Runners, sorted by id.
    runners: Vec<RunnerState>,
    /// Entries that name no runner to use, with the reason, sorted by id.
    unreadable: Vec<(id::UpstreamName, String)>,
    /// Addresses of nodes, in ascending order.
    node_addresses: Vec<net::SocketAddr>,
}

impl RunnerFleet {
    /// Applies a changed entry.
    ///
    /// A removed entry stays valid until `grace_end`, which is set around an
    /// outage of the store, unless its runner was leaving.
    pub fn update(
        &mut self,
        row: &mirror::MirrorRow,
        grace_end: Option<time::Instant>,
    ) -> Option<FleetChange> {
        let Some(value) = &row.value else {
            self.forget_unreadable(&row.key);
            return self.remove(&row.key, grace_end);
        };
        match runner::decode_record(&row.key, value) {
            Ok(record) if self.is_node(record.address) => {
                self.reject(&row.key, NODE_ADDRESS.to_owned())
            }
            Ok(record) => {
                self.forget_unreadable(&row.key);
                self.upsert(record, row.version)
            }
            Err(error) => self.reject(&row.key, error.to_string()),
        }
    }

    /// Sets the sorted addresses of nodes and drops the runners there: a request that
    /// was sent to one would come back to the fleet. Returns the changes, and the
    /// entries to apply again since their addresses belong to no node any more.
    pub fn set_nodes(
        &mut self,
        addresses: Vec<net::SocketAddr>,
    ) -> (Vec<FleetChange>, Vec<id::UpstreamName>) {
        if addresses == self.node_addresses {
            return (Vec::new(), Vec::new());
        }
        self.node_addresses = addresses;
        let runners = self.runners.iter().map(|state| &state.record);
        let at_nodes = runners.filter(|record| self.is_node(record.address));
        let ids: Vec<_> = at_nodes.map(|record| record.id.clone()).collect();
        let rejected = ids
            .iter()
            .filter_map(|id| self.reject(id, NODE_ADDRESS.to_owned()));
        let changes = rejected.collect();
        let entries = self.unreadable.iter();
        let held_back = entries.filter(|(_, reason)| reason == NODE_ADDRESS);
        (changes, held_back.map(|(id, _)| id.clone()).collect())
    }

    fn is_node(&self, address: net::SocketAddr) -> bool {
        self.node_addresses.binary_search(&address).is_ok()
    }

    /// Drops the runner of an entry that names none to use; returns a change unless
    /// the entry was rejected for the same reason before.
    fn reject(&mut self, id: &str, reason: String) -> Option<FleetChange> {
        self.remove(id, None);
        match self.search_unreadable(id) {
            Ok(index) if self.unreadable[index].1 == reason => return None,
            Ok(index) => self.unreadable[index].1.clone_from(&reason),
            Err(index) => self
                .unreadable
                .insert(index, (id.to_owned(), reason.clone())),
        }
        Some(FleetChange::Unreadable(id.to_owned(), reason))
    }

    fn forget_unreadable(&mut self, id: &str) {
        if let Ok(index) = self.search_unreadable(id) {
            self.unreadable.remove(index);
        }
    }

    fn search_unreadable(&self, id: &str) -> Result<usize, usize> {
        self.unreadable
            .binary_search_by(|(other, _)| other.as_str().cmp(id))
    }

    /// Drops the runners whose entries were not restored within the grace period.
    pub fn expire(&mut self, now: time::Instant) -> Vec<FleetChange> {
        let is_expired = |state: &RunnerState| state.grace_end.is_some_and(|until| now >= until);
        let expired = self.runners.iter().filter(|state| is_expired(state));
        let changes =
            expired.map(|state| FleetChange::Lost(state.record.id.clone(), "entry not restored"));
        let changes = changes.collect();
        self.runners.retain(|state| !is_expired(state));
        changes
    }

    /// Returns all runners, sorted by id.
    pub fn runners(&self) -> &[RunnerState] {
        &self.runners
    }

    /// Returns the number of this node's requests in flight, each counted once
    /// for every runner on its path.
    pub fn in_flight(&self) -> u32 {
        self.runners.iter().map(|state| state.in_flight).sum()
    }

    /// Returns the runner with this id.
    pub fn get(&self, id: &str) -> Option<&RunnerState> {
        self.search(id).ok().map(|index| &self.runners[index])
    }

    /// Returns the id of the runner at an address.
    pub fn id_at(&self, address: net::SocketAddr) -> Option<&id::UpstreamName> {
        let mut runners = self.runners.iter();
        let found = runners.find(|state| state.record.address == address);
        found.map(|state| &state.record.id)
    }

    /// Adds a request to the load on a runner.
    pub fn begin(&mut self, id: &str, token_layers: u64) {
        if let Some(state) = self.find_mut(id) {
            state.in_flight += 1;
            state.token_layers += token_layers;
        }
    }

    /// Adds to the memory of a request on a runner.
    pub fn grow(&mut self, id: &str, token_layers: u64) {
        if let Some(state) = self.find_mut(id) {
            state.token_layers = state.token_layers.saturating_add(token_layers);
        }
    }

    /// Removes a request from the load on a runner.
    pub fn end(&mut self, id: &str, token_layers: u64) {
        if let Some(state) = self.find_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.token_layers = state.token_layers.saturating_sub(token_layers);
        }
    }

    /// Records an event of a stream through a runner.
    pub fn note_progress(&mut self, id: &str, now: time::Instant) {
        if let Some(state) = self.find_mut(id) {
            state.last_progress = Some(now);
        }
    }

    /// Returns when the latest event of any stream through a runner arrived.
    pub fn progressed_at(&self, id: &str) -> Option<time::Instant> {
        self.get(id)?.last_progress
    }

    /// Returns since when this node knows that the process of a runner leaves, if it
    /// does.
    pub fn leaving_since(
        &self,
        id: &str,
        started_ms: id::IncarnationNumber,
    ) -> Option<time::Instant> {
        let state = self.get(id)?;
        let is_same = state.record.started_ms.unwrap_or(0) == started_ms;
        state.leaving_since.filter(|_| is_same)
    }

    /// Returns whether the process of a runner that started at `started_ms` is known
    /// not to exist any more: nothing listens at its address, or the entry names a
    /// later process.
    pub fn is_gone(&self, id: &str, started_ms: id::IncarnationNumber, now: time::Instant) -> bool {
        let Some(state) = self.get(id) else {
            return false;
        };
        let known = state.record.started_ms.unwrap_or(0);
        match known == started_ms {
            true => state.is_unreachable(now),
            false => started_ms != 0 && known > started_ms,
        }
    }

    /// Returns the time since the latest event of any stream through a runner,
    /// or `None` if there was none.
    pub fn silence(&self, id: &str, now: time::Instant) -> Option<std_time::Duration> {
        let last_progress = self.get(id)?.last_progress?;
        Some(now.saturating_duration_since(last_progress))
    }

    /// Records a successful answer of a runner.
    pub fn note_success(&mut self, id: &str) {
        if let Some(state) = self.find_mut(id) {
            state.failure_rate *= 1.0 - FAILURE_WEIGHT;
            state.end_failures();
        }
    }

    /// Records that a silent run went on through a runner.
    pub fn note_regained(&mut self, id: &str, now: time::Instant) {
        if let Some(state) = self.find_mut(id) {
            state.last_progress = Some(now);
            state.end_failures();
        }
    }

    /// Records a failure and returns the time for which the runner is avoided, or
    /// `None` if it is avoided already.
    ///
    /// Requests that are under way together fail together, so a failure within the
    /// time of the one before does not count. The time doubles with each consecutive
    /// failure that counts, up to a limit.
    pub fn note_failure(&mut self, id: &str, now: time::Instant) -> Option<std_time::Duration> {
        let state = self.find_mut(id)?;
        if state.failing_until.is_some_and(|until| now < until) {
            return None;
        }
        state.failure_rate += FAILURE_WEIGHT * (1.0 - state.failure_rate);
        let avoidance = (AVOID_START * (1 << state.failures.min(8))).min(AVOID_LIMIT);
        state.failures += 1;
        state.failing_until = Some(now + avoidance);
        state.avoided_until = state.avoided_until.max(state.failing_until);
        Some(avoidance)
    }

    /// Records that nothing listens at the address of a runner's process; returns for
    /// how long the runner gets no requests, or `None` if that is known already or
    /// the runner has restarted.
    pub fn note_unreachable(
        &mut self,
        id: &str,
        started_ms: id::IncarnationNumber,
        now: time::Instant,
    ) -> Option<std_time::Duration> {
        let state = self.find_mut(id)?;
        let is_other_process = state.record.started_ms.unwrap_or(0) != started_ms;
        if is_other_process || state.is_unreachable(now) {
            return None;
        }
        state.unreachable_until = Some(now + UNREACHABLE_TIME);
        Some(UNREACHABLE_TIME)
    }

    /// Applies the runners, sorted by key, whose processes a leader found to have
    /// failed. Each of them gets no requests for `hold`, unless its entry tells of a new
    /// process before; the others get requests again. Failures that were last seen over
    /// `AGE_HOLDS` times as long ago are ignored. Returns the changes.
    pub fn set_failed(
        &mut self,
        failed: &[demand::FailedRunner],
        hold: std_time::Duration,
        now: time::Instant,
    ) -> Vec<FleetChange> {
        let states = self.runners.iter_mut();
        let changes = states.filter_map(|state| {
            let found = failed.binary_search_by_key(&state.key, |failed| failed.runner);
            let incarnation = state.record.started_ms.unwrap_or(0);
            let found = found.ok().map(|index| failed[index]);
            let found = found.filter(|failed| failed.incarnation == incarnation);
            let age = found.map(|failed| std_time::Duration::from_millis(failed.age_ms.into()));
            let age = age.filter(|age| *age < hold * AGE_HOLDS);
            let verdict = age.map(|age| FailureVerdict {
                // A clock that started lately cannot go back so far.
                seen_at: now.checked_sub(age).unwrap_or(now),
                until: now + hold,
            });
            let was_failed = std::mem::replace(&mut state.verdict, verdict).is_some();
            match age {
                Some(age) if !was_failed => Some(FleetChange::Failed(state.record.id.clone(), age)),
                None if was_failed => Some(FleetChange::Regained(state.record.id.clone())),
                _ => None,
            }
        });
        changes.collect()
    }

    /// Returns the runners that a leader found to have failed.
    pub fn failed(&self, now: time::Instant) -> Vec<demand::FailedRunner> {
        let failed = self.runners.iter().filter_map(|state| {
            let age = state.failed_age(now)?;
            Some(demand::FailedRunner {
                runner: state.key,
                incarnation: state.record.started_ms.unwrap_or(0),
                age_ms: demand::milliseconds(age),
            })
        });
        failed.collect()
    }

    /// Returns whether this node should check now whether a process listens at the
    /// address of a runner; it returns `true` at most once in a while.
    pub fn begin_check(&mut self, id: &str, now: time::Instant) -> bool {
        let Some(state) = self.find_mut(id) else {
            return false;
        };
        let is_due = state
            .checked_at
            .is_none_or(|checked_at| now.saturating_duration_since(checked_at) >= UNREACHABLE_TIME);
        if is_due {
            state.checked_at = Some(now);
        }
        is_due
    }

    /// Records that a runner refused a request, for example because it was short
    /// of memory for a moment.
    pub fn note_refusal(&mut self, id: &str, now: time::Instant) {
        if let Some(state) = self.find_mut(id) {
            let until = now + AVOID_REFUSAL;
            state.avoided_until = Some(
                state
                    .avoided_until
                    .map_or(until, |current| current.max(until)),
            );
        }
    }

    /// Records a failed answer of a runner that works otherwise. It raises the
    /// failure rate, but the runner is not avoided.
    pub fn note_error(&mut self, id: &str) {
        if let Some(state) = self.find_mut(id) {
            state.failure_rate += FAILURE_WEIGHT * (1.0 - state.failure_rate);
        }
    }

    /// Records the limit of a runner's process, unless a later answer is known;
    /// returns whether it differs from the one before.
    pub fn note_limit(
        &mut self,
        id: &str,
        started_ms: id::IncarnationNumber,
        limit: RunnerLimit,
    ) -> bool {
        let Some(state) = self.find_mut(id) else {
            return false;
        };
        let is_other_process = state.record.started_ms.unwrap_or(0) != started_ms;
        let is_later = state
            .limit
            .is_some_and(|known| known.seen_at > limit.seen_at);
        if is_other_process || is_later {
            return false;
        }
        let before = state.limit().and_then(|limit| limit.rate);
        state.limit = Some(limit);
        if limit.rate.is_none() {
            state.paused_until = None;
        }
        before != limit.rate
    }

    /// Records that an answer of a runner's process says that it leaves; returns
    /// whether that is new.
    pub fn note_leaving(&mut self, id: &str, started_ms: id::IncarnationNumber) -> bool {
        let state = self.find_mut(id);
        let state = state.filter(|state| state.record.started_ms.unwrap_or(0) == started_ms);
        state.is_some_and(|state| {
            let was_leaving = state.is_leaving();
            state.answered_leaving = true;
            state.leaving_since.get_or_insert_with(time::Instant::now);
            !was_leaving
        })
    }

    /// Records that this node gets no permit for a runner for some time.
    pub fn pause(&mut self, id: &str, until: time::Instant) {
        if let Some(state) = self.find_mut(id) {
            state.paused_until = Some(until);
        }
    }

    /// Records that a runner wants no requests of this node for some time.
    pub fn refuse(&mut self, id: &str, until: time::Instant) {
        if let Some(state) = self.find_mut(id) {
            state.refused_until = state.refused_until.max(Some(until));
        }
    }

    /// Records that a runner does not hold the layers of its entry.
    pub fn note_missing_layers(&mut self, id: &str) {
        if let Some(state) = self.find_mut(id) {
            state.layers_missing = true;
        }
    }

    fn upsert(
        &mut self,
        mut record: runner::RunnerRecord,
        version: store::RowVersion,
    ) -> Option<FleetChange> {
        match self.search(&record.id) {
            Ok(index) => {
                let state = &mut self.runners[index];
                let id = record.id.clone();
                let is_same_process = state.record.started_ms == record.started_ms;
                if is_same_process && state.version.era < version.era {
                    // The copy that the store came back from may be from before the
                    // process began to leave.
                    record.leaving |= state.record.leaving;
                }
                let left = record.leaving && !state.is_leaving();
                let changed = state.is_changed(&record);
                if state.record.started_ms != record.started_ms {
                    state.failure_rate = 0.0;
                    state.end_failures();
                    state.unreachable_until = None;
                    state.verdict = None;
                    state.checked_at = None;
                    state.last_progress = None;
                    state.limit = None;
                    state.paused_until = None;
                    state.refused_until = None;
                    state.answered_leaving = false;
                    state.leaving_since = None;
                }
                if record.leaving {
                    state.leaving_since.get_or_insert_with(time::Instant::now);
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
                let leaving_since = record.leaving.then(time::Instant::now);
                let state = RunnerState {
                    key: leader::runner_key(&record.id),
                    record,
                    version,
                    in_flight: 0,
                    token_layers: 0,
                    failure_rate: 0.0,
                    last_progress: None,
                    failures: 0,
                    failing_until: None,
                    avoided_until: None,
                    unreachable_until: None,
                    verdict: None,
                    checked_at: None,
                    layers_missing: false,
                    answered_leaving: false,
                    leaving_since,
                    grace_end: None,
                    limit: None,
                    paused_until: None,
                    refused_until: None,
                };
                self.runners.insert(index, state);
                Some(change)
            }
        }
    }

    fn remove(&mut self, id: &str, grace_end: Option<time::Instant>) -> Option<FleetChange> {
        let index = self.search(id).ok()?;
        if let Some(until) = grace_end.filter(|_| !self.runners[index].is_leaving()) {
            self.runners[index].grace_end = grace_end;
            return Some(FleetChange::Kept(id.to_owned(), until));
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
        record.started_ms.unwrap_or(0),
    )
}
