//! Probing of peers: rounds of direct and indirect probes, and own health.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Time between two looks at what is due.
pub const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(20);

/// Time after which others are asked to probe a silent peer.
const INDIRECT_DELAY: std_time::Duration = std_time::Duration::from_millis(50);

/// Length of one round of probes.
const ROUND_LENGTH: std_time::Duration = std_time::Duration::from_millis(175);

/// Time after which a peer says that the one it probed for another is silent.
pub const RELAY_WAIT: std_time::Duration = std_time::Duration::from_millis(60);

/// Failed rounds after which a peer is suspected.
const SUSPECT_ROUNDS: u32 = 2;

/// Failed rounds in a row after which a peer counts as dead.
const DEATH_ROUNDS: u32 = 4;

/// Failed rounds after which a peer counts as dead where nobody could be asked.
const ALONE_ROUNDS: u32 = 12;

/// Most lateness of the own loop that makes rounds longer.
const LAG_LIMIT: std_time::Duration = std_time::Duration::from_millis(200);

/// Number that ties an answer to its probe.
pub type ProbeNonce = u64;

/// A peer that was probed and has not answered yet.
#[derive(Clone, Debug)]
struct OpenProbe {
    target: id::HostName,
    nonce: ProbeNonce,
    failed: u32,
    started: time::Instant,
    indirect: bool,
    /// Whether another peer was silent to a second node in this round.
    confirmed: bool,
    /// Whether there was nobody else to ask.
    alone: bool,
}

/// What is to be done about an open probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe the peer.
    Ask {
        /// Peer to probe.
        target: id::HostName,
        /// Number of the probe.
        nonce: ProbeNonce,
    },
    /// Ask others to probe the peer.
    AskOthers {
        /// Peer to probe.
        target: id::HostName,
        /// Number of the probe.
        nonce: ProbeNonce,
    },
    /// Suspect the peer.
    Suspect {
        /// Peer that did not answer.
        target: id::HostName,
    },
    /// Count the peer as dead.
    Dead {
        /// Peer that did not answer.
        target: id::HostName,
    },
}

/// How late this node's own loop runs.
///
/// A node that runs late hears answers late, so its rounds last longer. A
/// node that was paused finds answers waiting, and needs others to confirm.
#[derive(Clone, Debug, Default)]
struct OwnHealth {
    seen: Option<time::Instant>,
    lag: std_time::Duration,
}

impl OwnHealth {
    fn observe(&mut self, now: time::Instant) {
        let gap = self
            .seen
            .map_or(std_time::Duration::ZERO, |seen| now.duration_since(seen));
        self.seen = Some(now);
        let late = gap.saturating_sub(TICK_PERIOD).min(LAG_LIMIT);
        self.lag = (self.lag * 7 / 8).max(late);
    }
}

/// The probes of one node that are open.
#[derive(Clone, Debug, Default)]
pub struct ProbeSet {
    open: Vec<OpenProbe>,
    health: OwnHealth,
    last_nonce: ProbeNonce,
}

impl ProbeSet {
    /// Notes that the loop runs.
    pub fn observe(&mut self, now: time::Instant) {
        self.health.observe(now);
    }

    /// Opens a probe of a peer unless one is open.
    pub fn begin(&mut self, target: &str, now: time::Instant) -> Option<ProbeStep> {
        let place = self
            .open
            .partition_point(|held| held.target.as_str() < target);
        if self
            .open
            .get(place)
            .is_some_and(|held| held.target == target)
        {
            return None;
        }
        let nonce = self.next_nonce();
        self.open.insert(
            place,
            OpenProbe {
                target: target.to_owned(),
                nonce,
                failed: 0,
                started: now,
                indirect: false,
                confirmed: false,
                alone: false,
            },
        );
        Some(ProbeStep::Ask {
            target: target.to_owned(),
            nonce,
        })
    }

    /// Closes the probe of that number and returns its peer.
    pub fn answer(&mut self, nonce: ProbeNonce) -> Option<id::HostName> {
        let place = self.open.iter().position(|held| held.nonce == nonce)?;
        Some(self.open.remove(place).target)
    }

    /// Notes that the peer was silent to another node too.
    pub fn confirm(&mut self, nonce: ProbeNonce) {
        if let Some(probe) = self.open.iter_mut().find(|held| held.nonce == nonce) {
            probe.confirmed = true;
        }
    }

    /// Notes that there was nobody else to ask.
    pub fn note_alone(&mut self, nonce: ProbeNonce) {
        if let Some(probe) = self.open.iter_mut().find(|held| held.nonce == nonce) {
            probe.alone = true;
        }
    }

    /// Closes the probe of a peer without an outcome.
    pub fn cancel(&mut self, target: &str) {
        self.open.retain(|held| held.target != target);
    }

    /// Returns a number for a probe that is made for another node.
    pub fn next_nonce(&mut self) -> ProbeNonce {
        self.last_nonce += 1;
        self.last_nonce
    }

    /// Returns what is to be done now.
    ///
    /// A round counts as failed only if another node found the peer silent
    /// too. Then this node hears others, so the silence is not its own fault.
    pub fn due(&mut self, now: time::Instant) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        let mut dead = Vec::new();
        let stretch = self.health.lag * 2;
        for probe in &mut self.open {
            let age = now.duration_since(probe.started);
            let target = probe.target.clone();
            let nonce = probe.nonce;
            if !probe.indirect && age >= INDIRECT_DELAY + stretch {
                probe.indirect = true;
                steps.push(ProbeStep::AskOthers { target, nonce });
                continue;
            }
            if age < ROUND_LENGTH + stretch {
                continue;
            }
            probe.failed += u32::from(probe.confirmed || probe.alone);
            if probe.failed >= probe.limit() {
                dead.push(nonce);
                steps.push(ProbeStep::Dead { target });
                continue;
            }
            if probe.failed == SUSPECT_ROUNDS {
                let target = target.clone();
                steps.push(ProbeStep::Suspect { target });
            }
            probe.restart(now);
            steps.push(ProbeStep::Ask { target, nonce });
        }
        self.open.retain(|held| !dead.contains(&held.nonce));
        steps
    }
}

impl OpenProbe {
    fn restart(&mut self, now: time::Instant) {
        self.started = now;
        self.indirect = false;
        self.confirmed = false;
        self.alone = false;
    }

    fn limit(&self) -> u32 {
        match self.alone {
            true => ALONE_ROUNDS,
            false => DEATH_ROUNDS,
        }
    }
}
