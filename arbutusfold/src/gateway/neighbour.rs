//! What a node knows of others as ways to runners.

use std::net;
use std::time as std_time;

use rand::seq::IndexedRandom;
use tokio::time;

use crate::id;

/// Time for which a node that failed as a way is left out.
pub const LEAVE_OUT_TIME: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Runners that a node did not reach within that time, from which on it is left out for
/// all of them. A request and its retry may crash two on their own.
const UNREACHED_LIMIT: usize = 3;

/// Time after which the load that a node reported says nothing any more.
const LOAD_TTL: std_time::Duration = std_time::Duration::from_secs(5);

/// Nodes of which the one with the smaller load is chosen. Two drawn at random
/// spread the load almost as well as the whole list, and nodes that choose at the
/// same moment do not choose the same one.
const CHOICES: usize = 2;

/// A node as a way to runners.
#[derive(Clone, Debug)]
struct NeighbourState {
    host: id::HostName,
    /// Tunnels from this node through it.
    open: u32,
    /// Tunnels that it reported to serve, and when.
    reported: Option<(u32, time::Instant)>,
    failed_at: Option<time::Instant>,
    /// Runners that it did not reach, without proof that this is due to them, and when;
    /// sorted.
    unreached: Vec<(net::SocketAddr, time::Instant)>,
}

/// The nodes that were used as ways to runners.
#[derive(Debug, Default)]
pub struct NeighbourBook {
    /// Nodes, sorted by host.
    states: Vec<NeighbourState>,
}

impl NeighbourBook {
    /// Chooses one of `hosts` at random, by its load, as a way to a runner, without
    /// those that failed or did not reach it a short time ago, or are in `tried`.
    pub fn choose<'a>(
        &self,
        hosts: &'a [id::HostName],
        runner: net::SocketAddr,
        tried: &[id::HostName],
        now: time::Instant,
    ) -> Option<&'a id::HostName> {
        let is_possible = |host: &&id::HostName| {
            let is_left_out = self.failed(host, now) || self.has_missed(host, runner, now);
            !is_left_out && !tried.contains(host)
        };
        let possible: Vec<_> = hosts.iter().filter(is_possible).collect();
        let drawn = possible.sample(&mut rand::rng(), CHOICES).copied();
        drawn.min_by_key(|host| self.load(host, now))
    }

    /// Records the number of tunnels that a node serves.
    pub fn note_load(&mut self, host: &str, load: u32, now: time::Instant) {
        self.get_mut(host).reported = Some((load, now));
    }

    /// Records that a node failed as a way; returns whether that is news.
    pub fn note_failed(&mut self, host: &str, now: time::Instant) -> bool {
        let is_known = self.failed(host, now);
        self.get_mut(host).failed_at = Some(now);
        !is_known
    }

    /// Records that a node did not reach a runner; returns whether it did not reach so
    /// many of late that this is hardly due to them.
    pub fn note_unreached(
        &mut self,
        host: &str,
        runner: net::SocketAddr,
        now: time::Instant,
    ) -> bool {
        let unreached = &mut self.get_mut(host).unreached;
        unreached.retain(|(other, at)| *other != runner && is_recent(*at, now));
        let index = unreached.partition_point(|(other, _)| *other < runner);
        unreached.insert(index, (runner, now));
        unreached.len() >= UNREACHED_LIMIT
    }

    /// Records that a node connected to a runner.
    pub fn note_worked(&mut self, host: &str) {
        let state = self.get_mut(host);
        state.failed_at = None;
        state.unreached.clear();
    }

    /// Adds a tunnel through a node.
    pub fn begin(&mut self, host: &str) {
        self.get_mut(host).open += 1;
    }

    /// Removes a tunnel through a node.
    pub fn end(&mut self, host: &str) {
        let state = self.get_mut(host);
        state.open = state.open.saturating_sub(1);
    }

    /// Forgets nodes that are not in `hosts`, which are sorted, and have no tunnels.
    pub fn retain(&mut self, hosts: &[id::HostName]) {
        self.states
            .retain(|state| state.open > 0 || hosts.binary_search(&state.host).is_ok());
    }

    fn failed(&self, host: &str, now: time::Instant) -> bool {
        let failed_at = self.get(host).and_then(|state| state.failed_at);
        failed_at.is_some_and(|failed_at| is_recent(failed_at, now))
    }

    /// Returns whether a node did not reach a runner a short time ago.
    fn has_missed(&self, host: &str, runner: net::SocketAddr, now: time::Instant) -> bool {
        let mut unreached = self
            .get(host)
            .into_iter()
            .flat_map(|state| &state.unreached);
        unreached.any(|(other, at)| *other == runner && is_recent(*at, now))
    }

    /// Returns the load of a node: what it reported, or this node's own tunnels if
    /// they are more.
    fn load(&self, host: &str, now: time::Instant) -> u32 {
        let Some(state) = self.get(host) else {
            return 0;
        };
        let recent = state
            .reported
            .filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_TTL);
        recent.map_or(0, |(load, _)| load).max(state.open)
    }

    fn get(&self, host: &str) -> Option<&NeighbourState> {
        let index = self.search(host).ok()?;
        Some(&self.states[index])
    }

    fn get_mut(&mut self, host: &str) -> &mut NeighbourState {
        let index = match self.search(host) {
            Ok(index) => index,
            Err(index) => {
                let state = NeighbourState {
                    host: host.to_owned(),
                    open: 0,
                    reported: None,
                    failed_at: None,
                    unreached: Vec::new(),
                };
                self.states.insert(index, state);
                index
            }
        };
        &mut self.states[index]
    }

    fn search(&self, host: &str) -> Result<usize, usize> {
        self.states
            .binary_search_by(|state| state.host.as_str().cmp(host))
    }
}

/// Returns whether a node is still left out for what happened then.
fn is_recent(at: time::Instant, now: time::Instant) -> bool {
    now.saturating_duration_since(at) < LEAVE_OUT_TIME
}
