//! Leaders of failure domains and the load summaries they exchange.
//!
//! The leader of a domain watches the store and adds up the requests that the
//! nodes of its domain have in flight at the runners. It reports both to these
//! nodes, merged with the summaries from the leaders of the other domains. A
//! node therefore exchanges a few messages with one other node, however large
//! the fleet is. The leader is computed from the list of members. Two nodes
//! that both act as leader do no harm, and a node that receives no summary
//! watches the store itself.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::gateway::claim;
use crate::gateway::demand;
use crate::id;
use crate::member;

/// Shortest time between two summaries of a leader.
pub const PERIOD_MIN: std_time::Duration = std_time::Duration::from_millis(100);

/// Part of the period for each node of the domain, so that the message rate of
/// a leader does not grow with their number.
const PERIOD_PER_NODE: std_time::Duration = std_time::Duration::from_millis(7);

/// Periods after which a received summary expires.
pub const EXPIRY_PERIODS: u32 = 5;

/// Standard deviations of its own load that a node attributes to noise; only
/// what exceeds them counts as growth.
const NOISE_DEVIATIONS: f64 = 2.0;

/// Typical number of runners on the path of a request. The load counts each
/// request once for every runner, which raises its standard deviation.
const TYPICAL_STAGES: f64 = 4.0;

/// Fraction of the time limit for detecting a lost dependency. A node whose
/// leader has not reached the store for that long, and for the time between two
/// summaries, watches it itself.
pub const STORE_AGE_FRACTION: f64 = 0.43;

/// Hash of a runner's id that identifies it in messages between nodes.
pub type RunnerKey = u32;

/// Load on a single runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: RunnerKey,
    /// Number of requests in flight there.
    pub in_flight: u32,
    /// Context tokens of these requests, each multiplied by the number of
    /// layers that the request uses on this runner.
    pub token_layers: u64,
}

/// A runner that is slower than usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowRunner {
    /// The runner.
    pub runner: RunnerKey,
    /// Slowdown relative to its usual times, in tenths.
    pub factor_tenths: u16,
}

impl SlowRunner {
    /// Creates the record of a runner that takes `factor` times as long as usual.
    pub fn new(runner: RunnerKey, factor: f64) -> Self {
        // The cast saturates, so a number out of range becomes the nearest one.
        let factor_tenths = (factor * 10.0).round() as u16;
        Self {
            runner,
            factor_tenths,
        }
    }
}

/// A message between the nodes and the leaders of failure domains.
///
/// Variants are encoded by their position, so new ones go behind the last; a release
/// that does not know one drops the message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// Sent by a node to its leader: the node's own requests in flight.
    NodeLoads(Vec<RunnerLoad>),
    /// Sent by a leader to the other leaders: the summary of its domain.
    DomainSummary(LoadSummary),
    /// Sent by a leader to the nodes of its domain: the summary of all domains.
    FleetSummary(LoadSummary),
    /// Sent by a node to its leader: the node's own demand. A leader sends what its
    /// nodes saw fail of another domain to that domain's leader in the same way.
    NodeDemand(demand::DemandSummary),
    /// Sent by a leader to the other leaders: the demand of its domain.
    DomainDemand(demand::DemandSummary),
    /// Sent by a leader to the nodes of its domain: the demand of all domains.
    FleetDemand(demand::DemandSummary),
    /// Asks a node to lend some of its unused retries.
    RetryClaim {
        /// Number of the claim at its sender.
        claim: claim::ClaimNumber,
        /// Service that the retries are for.
        service: id::ServiceName,
        /// Number of retries.
        wanted: u32,
    },
    /// Answer to such a claim.
    RetryLoan {
        /// Number of the claim at its sender.
        claim: claim::ClaimNumber,
        /// Number of retries that the sender of the claim may send.
        count: u32,
    },
}

impl LeaderMessage {
    /// Returns whether the message belongs to the exchange of demand, which nodes take
    /// part in by their settings.
    pub fn is_demand(&self) -> bool {
        !matches!(
            self,
            Self::NodeLoads(_) | Self::DomainSummary(_) | Self::FleetSummary(_)
        )
    }
}

/// Load and store state, summed over a domain or over the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Load on each runner, sorted by key.
    pub loads: Vec<RunnerLoad>,
    /// Slow runners, sorted by key.
    pub slow: Vec<SlowRunner>,
    /// Milliseconds since the store last answered this leader or, in the
    /// summary of the fleet, any leader.
    pub store_age_ms: u32,
    /// A number that grows with every row that the leader receives, for nodes of the
    /// release before; see
    /// [`GatewayCore::store_version`](crate::gateway::core::GatewayCore::store_version).
    pub store_version: u64,
}

/// A summary with its sender and the time of its receipt.
#[derive(Clone, Debug)]
struct ReceivedSummary {
    host: id::HostName,
    received_at: time::Instant,
    summary: LoadSummary,
}

/// The load on all runners as one node knows it, from the messages that it
/// received as a member of its domain or as its leader.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Loads of the nodes that treat this node as their leader, by host.
    nodes: Vec<ReceivedSummary>,
    /// Summaries of the leaders of other domains, by host.
    domains: Vec<ReceivedSummary>,
    /// The latest fleet summary of this node's leader.
    fleet: Option<ReceivedSummary>,
    /// Own load as last sent to the leader.
    sent: Vec<RunnerLoad>,
    /// Own requests that are counted in the latest fleet summary.
    counted: u32,
    /// Slow runners found by this node's own survey, sorted by key.
    slow: Vec<SlowRunner>,
    /// Time between two summaries.
    period: std_time::Duration,
}

impl LoadView {
    /// Stores a message from a node or a leader. Messages about demand are ignored.
    pub fn receive(&mut self, host: &str, message: LeaderMessage, now: time::Instant) {
        let received = |summary| ReceivedSummary {
            host: host.to_owned(),
            received_at: now,
            summary,
        };
        match message {
            LeaderMessage::NodeLoads(loads) => put(
                &mut self.nodes,
                received(LoadSummary {
                    loads,
                    ..LoadSummary::default()
                }),
            ),
            LeaderMessage::DomainSummary(summary) => put(&mut self.domains, received(summary)),
            LeaderMessage::FleetSummary(summary) => {
                self.fleet = Some(received(summary));
                self.counted = total(&self.sent);
            }
            LeaderMessage::NodeDemand(_)
            | LeaderMessage::DomainDemand(_)
            | LeaderMessage::FleetDemand(_)
            | LeaderMessage::RetryClaim { .. }
            | LeaderMessage::RetryLoan { .. } => {}
        }
    }

    /// Removes summaries that are older than `EXPIRY_PERIODS` periods.
    pub fn expire(&mut self, period: std_time::Duration, now: time::Instant) {
        self.period = period;
        let limit = period * EXPIRY_PERIODS;
        let fresh = |received: &ReceivedSummary| {
            now.saturating_duration_since(received.received_at) < limit
        };
        self.nodes.retain(fresh);
        self.domains.retain(fresh);
        self.fleet = self.fleet.take().filter(fresh);
    }

    /// Returns the time between two summaries.
    pub fn period(&self) -> std_time::Duration {
        self.period
    }

    /// Returns the time since the latest summary arrived, or `None` without one.
    pub fn summary_age(&self, now: time::Instant) -> Option<std_time::Duration> {
        let fleet = self.fleet.as_ref();
        fleet.map(|received| now.saturating_duration_since(received.received_at))
    }

    /// Stores the own load as it is sent to the leader.
    pub fn set_sent(&mut self, loads: Vec<RunnerLoad>) {
        self.sent = loads;
    }

    /// Returns the summary of this node's domain for the other leaders.
    pub fn domain_summary(&self, own: LoadSummary) -> LoadSummary {
        let nodes = self.nodes.iter().map(|received| &received.summary.loads);
        LoadSummary {
            loads: add_up(nodes.chain([&own.loads])),
            slow: self.slow.clone(),
            ..own
        }
    }

    /// Returns the summary of all domains for the nodes of this one.
    pub fn fleet_summary(&self, domain: &LoadSummary, now: time::Instant) -> LoadSummary {
        let others = || self.domains.iter();
        let ages = others().map(|received| {
            received
                .summary
                .store_age_ms
                .saturating_add(age_ms(received, now))
        });
        LoadSummary {
            loads: add_up(
                others()
                    .map(|received| &received.summary.loads)
                    .chain([&domain.loads]),
            ),
            slow: {
                let slow = others().flat_map(|received| &received.summary.slow);
                let mut slow: Vec<_> = slow.chain(&domain.slow).copied().collect();
                slow.sort_unstable_by_key(|slow| slow.runner);
                slow
            },
            store_age_ms: ages.fold(domain.store_age_ms, u32::min),
            store_version: others().fold(domain.store_version, |version, received| {
                version.max(received.summary.store_version)
            }),
        }
    }

    /// Returns the load of all other nodes on a runner.
    pub fn peer_load(&self, runner: RunnerKey) -> RunnerLoad {
        let all = self
            .fleet
            .as_ref()
            .map(|received| find(&received.summary.loads, runner))
            .unwrap_or_default();
        let own = find(&self.sent, runner);
        RunnerLoad {
            runner,
            in_flight: all.in_flight.saturating_sub(own.in_flight),
            token_layers: all.token_layers.saturating_sub(own.token_layers),
        }
    }

    /// Estimates the load of all other nodes that is not in the latest summary
    /// yet, as requests for each own request.
    ///
    /// `in_flight` is the own load, counted once for each runner; `nodes` is
    /// the size of the fleet.
    ///
    /// The load of the other nodes is assumed to have grown since the latest
    /// summary as much as the own load. This keeps nodes that start at the same
    /// time, or that receive the same burst, from all choosing the runners that
    /// were idle in that summary.
    pub fn unreported_load(&self, in_flight: u32, nodes: usize) -> f64 {
        let others = nodes.saturating_sub(1) as f64;
        let summary = self.fleet.as_ref();
        // A node that has just started assumes the mean load of the summary
        // as its own share.
        let mean = summary.map_or(0.0, |received| f64::from(total(&received.summary.loads)))
            / (others + 1.0);
        let counted = summary.map_or(0.0, |_| f64::from(self.counted)).max(mean);
        let noise = NOISE_DEVIATIONS * (TYPICAL_STAGES * counted).sqrt();
        let grown = f64::from(in_flight) - counted - noise;
        match grown > 0.0 {
            true => others * grown / f64::from(in_flight),
            false => 0.0,
        }
    }

    /// Stores the slow runners of a survey, sorted by key.
    pub fn set_slow_runners(&mut self, slow: Vec<SlowRunner>) {
        self.slow = slow;
    }

    /// Returns the slow runners of this node's latest survey.
    pub fn slow_runners(&self) -> &[SlowRunner] {
        &self.slow
    }

    /// Returns the slowdown of a runner relative to its usual times, or 1 if
    /// the latest summary names none.
    pub fn slowness(&self, runner: RunnerKey) -> f64 {
        let slow = self.fleet.as_ref().map(|received| &received.summary.slow);
        let found = slow.and_then(|slow| {
            let index = slow.binary_search_by_key(&runner, |slow| slow.runner);
            index
                .ok()
                .map(|index| f64::from(slow[index].factor_tenths) / 10.0)
        });
        found.unwrap_or(1.0)
    }

    /// Returns whether the latest summary comes from a leader that, directly or
    /// through another leader, got an answer from the store less than `limit` ago.
    pub fn leader_reaches_store(&self, limit: std_time::Duration, now: time::Instant) -> bool {
        !self.store_trust_left(limit, now).is_zero()
    }

    /// Returns the time for which the latest summary still shows, without another
    /// one, that a leader got an answer from the store less than `limit` ago.
    pub fn store_trust_left(
        &self,
        limit: std_time::Duration,
        now: time::Instant,
    ) -> std_time::Duration {
        self.fleet
            .as_ref()
            .map_or(std_time::Duration::ZERO, |received| {
                let age = age_ms(received, now).saturating_add(received.summary.store_age_ms);
                limit.saturating_sub(std_time::Duration::from_millis(age.into()))
            })
    }
}

/// Returns the leader of each domain.
///
/// The node with the highest hash of domain and host leads, and a leaving node
/// only if no other is left. The loss of a node can therefore change the leader
/// of its own domain only.
pub fn leaders(members: &[member::MemberRecord]) -> Vec<&member::MemberRecord> {
    let mut domains: Vec<_> = members.iter().map(|record| &record.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let leader = |domain: &id::DomainName| {
        let candidates = members.iter().filter(|record| record.domain == *domain);
        candidates.max_by_key(|record| {
            let staying = record.phase != member::MemberPhase::Leaving;
            (staying, member::hash(&[domain, &record.name]))
        })
    };
    domains.into_iter().filter_map(leader).collect()
}

/// Returns the time between two messages in a domain with this many nodes.
pub fn report_period(nodes: usize) -> std_time::Duration {
    (PERIOD_PER_NODE * nodes as u32).max(PERIOD_MIN)
}

/// Returns the key of the runner with this id.
pub fn runner_key(id: &str) -> RunnerKey {
    let hash = blake3::hash(id.as_bytes());
    let mut key = [0; size_of::<RunnerKey>()];
    key.copy_from_slice(&hash.as_bytes()[..size_of::<RunnerKey>()]);
    RunnerKey::from_le_bytes(key)
}

fn put(summaries: &mut Vec<ReceivedSummary>, fresh: ReceivedSummary) {
    match summaries.binary_search_by(|received| received.host.cmp(&fresh.host)) {
        Ok(index) => summaries[index] = fresh,
        Err(index) => summaries.insert(index, fresh),
    }
}

fn add_up<'a>(lists: impl Iterator<Item = &'a Vec<RunnerLoad>>) -> Vec<RunnerLoad> {
    let mut loads: Vec<RunnerLoad> = lists.flatten().copied().collect();
    loads.sort_unstable_by_key(|load| load.runner);
    loads.dedup_by(|load, sum| {
        let same = load.runner == sum.runner;
        if same {
            // The loads come from other nodes, and no sum of them may end this one.
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.token_layers = sum.token_layers.saturating_add(load.token_layers);
        }
        same
    });
    loads
}

fn total(loads: &[RunnerLoad]) -> u32 {
    let counts = loads.iter().map(|load| load.in_flight);
    counts.fold(0, u32::saturating_add)
}

fn find(loads: &[RunnerLoad], runner: RunnerKey) -> RunnerLoad {
    let found = loads.binary_search_by_key(&runner, |load| load.runner);
    found.map(|index| loads[index]).unwrap_or_default()
}

fn age_ms(received: &ReceivedSummary, now: time::Instant) -> u32 {
    let age = now
        .saturating_duration_since(received.received_at)
        .as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}
