//! Failure detection among peers: rounds of direct and indirect probes, which
//! last longer while this node itself runs late.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Time between two ticks of the loop that runs the probes.
pub const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(20);

/// Time without an answer after which indirect probes are sent through other peers.
const INDIRECT_DELAY: std_time::Duration = std_time::Duration::from_millis(50);

/// Length of one round: a direct probe, then indirect ones.
const ROUND_LENGTH: std_time::Duration = std_time::Duration::from_millis(175);

/// Time without an answer after which a relay reports an indirect probe as failed.
pub const RELAY_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(60);

/// Failed rounds without an answer in between after which a peer is suspected.
const SUSPECT_ROUNDS: u32 = 2;

/// Failed rounds without an answer in between after which a peer counts as dead.
const DEAD_ROUNDS: u32 = 4;

/// Failed rounds after which a peer counts as dead where no other peer could relay
/// an indirect probe.
const DEAD_ROUNDS_WITHOUT_RELAYS: u32 = 12;

/// Greatest lag of the loop that is taken into account in the length of rounds.
const MAX_LAG: std_time::Duration = std_time::Duration::from_millis(200);

/// Number that matches an answer to its probe.
pub type ProbeNonce = u64;

/// A peer that was probed and has not answered yet.
#[derive(Clone, Debug)]
struct OpenProbe {
    target: id::HostName,
    nonce: ProbeNonce,
    /// Rounds that failed.
    failed: u32,
    /// When the current round started.
    started: time::Instant,
    /// Whether indirect probes were requested in this round.
    indirect: bool,
    /// Whether a relay got no answer from the peer in this round either.
    confirmed: bool,
    /// Whether no other peer could relay an indirect probe in this round.
    no_relays: bool,
}

/// Next step of an open probe, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Send a direct probe.
    Send {
        /// Peer to probe.
        target: id::HostName,
        /// Number of the probe.
        nonce: ProbeNonce,
    },
    /// Ask other peers to relay an indirect probe.
    SendIndirect {
        /// Peer to probe.
        target: id::HostName,
        /// Number of the probe.
        nonce: ProbeNonce,
    },
    /// Suspect the peer of being dead.
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

/// Lag of the loop of this node.
///
/// A node that runs late also reads answers late, so its rounds last longer. A
/// node that was paused may have answers that it has not read yet, so it needs
/// other nodes to confirm that a peer does not answer.
#[derive(Clone, Debug, Default)]
struct LocalHealth {
    last_tick: Option<time::Instant>,
    /// Decaying maximum of the delay of ticks.
    lag: std_time::Duration,
}

impl LocalHealth {
    fn observe(&mut self, now: time::Instant) {
        let gap = self
            .last_tick
            .map_or(std_time::Duration::ZERO, |last_tick| {
                now.duration_since(last_tick)
            });
        self.last_tick = Some(now);
        let late = gap.saturating_sub(TICK_PERIOD).min(MAX_LAG);
        self.lag = (self.lag * 7 / 8).max(late);
    }
}

/// Open probes of one node, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct ProbeSet {
    open: Vec<OpenProbe>,
    local_health: LocalHealth,
    last_nonce: ProbeNonce,
}

impl ProbeSet {
    /// Records a tick of the loop to measure its lag.
    pub fn observe(&mut self, now: time::Instant) {
        self.local_health.observe(now);
    }

    /// Opens a probe of a peer unless one is open, and returns its first step.
    pub fn begin(&mut self, target: &str, now: time::Instant) -> Option<ProbeStep> {
        let index = self
            .open
            .partition_point(|probe| probe.target.as_str() < target);
        if self
            .open
            .get(index)
            .is_some_and(|probe| probe.target == target)
        {
            return None;
        }
        let nonce = self.next_nonce();
        self.open.insert(
            index,
            OpenProbe {
                target: target.to_owned(),
                nonce,
                failed: 0,
                started: now,
                indirect: false,
                confirmed: false,
                no_relays: false,
            },
        );
        Some(ProbeStep::Send {
            target: target.to_owned(),
            nonce,
        })
    }

    /// Closes the probe that an answer belongs to and returns its peer.
    pub fn acknowledge(&mut self, nonce: ProbeNonce) -> Option<id::HostName> {
        let index = self.open.iter().position(|probe| probe.nonce == nonce)?;
        Some(self.open.remove(index).target)
    }

    /// Records that a relay got no answer from the peer either.
    pub fn confirm(&mut self, nonce: ProbeNonce) {
        if let Some(probe) = self.open.iter_mut().find(|probe| probe.nonce == nonce) {
            probe.confirmed = true;
        }
    }

    /// Records that no other peer could relay an indirect probe.
    pub fn note_no_relays(&mut self, nonce: ProbeNonce) {
        if let Some(probe) = self.open.iter_mut().find(|probe| probe.nonce == nonce) {
            probe.no_relays = true;
        }
    }

    /// Closes the probe of a peer without an outcome.
    pub fn cancel(&mut self, target: &str) {
        self.open.retain(|probe| probe.target != target);
    }

    /// Returns an unused number, also for a probe that is relayed for another node.
    pub fn next_nonce(&mut self) -> ProbeNonce {
        self.last_nonce += 1;
        self.last_nonce
    }

    /// Returns the steps that are due.
    ///
    /// A round counts as failed only if a relay got no answer from the peer either,
    /// or if there was no relay. A message from a relay shows that this node receives
    /// messages, so the missing answer is not its own fault.
    pub fn due(&mut self, now: time::Instant) -> Vec<ProbeStep> {
        let mut steps = Vec::new();
        let mut dead = Vec::new();
        let extension = self.local_health.lag * 2;
        for probe in &mut self.open {
            let age = now.duration_since(probe.started);
            let target = probe.target.clone();
            let nonce = probe.nonce;
            if !probe.indirect && age >= INDIRECT_DELAY + extension {
                probe.indirect = true;
                steps.push(ProbeStep::SendIndirect { target, nonce });
                continue;
            }
            if age < ROUND_LENGTH + extension {
                continue;
            }
            probe.failed += u32::from(probe.confirmed || probe.no_relays);
            if probe.failed >= probe.dead_rounds() {
                dead.push(nonce);
                steps.push(ProbeStep::Dead { target });
                continue;
            }
            if probe.failed == SUSPECT_ROUNDS {
                let target = target.clone();
                steps.push(ProbeStep::Suspect { target });
            }
            probe.restart(now);
            steps.push(ProbeStep::Send { target, nonce });
        }
        self.open.retain(|probe| !dead.contains(&probe.nonce));
        steps
    }
}

impl OpenProbe {
    /// Starts the next round.
    fn restart(&mut self, now: time::Instant) {
        self.started = now;
        self.indirect = false;
        self.confirmed = false;
        self.no_relays = false;
    }

    /// Returns the number of failed rounds after which the peer counts as dead.
    fn dead_rounds(&self) -> u32 {
        match self.no_relays {
            true => DEAD_ROUNDS_WITHOUT_RELAYS,
            false => DEAD_ROUNDS,
        }
    }
}
