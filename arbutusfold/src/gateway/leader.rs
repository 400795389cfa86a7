//! One node of each failure domain speaks for the others of its domain.
//!
//! The lead watches the store, adds up what the nodes of its domain have
//! under way at the runners, and tells them both, with what the leads of the
//! other domains told it. So a node exchanges a few messages with one other
//! node however large the fleet is. Which node leads follows from the list of
//! members; two nodes that both think they lead do no harm, and a node that
//! hears no lead watches the store itself.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::member;

/// Shortest time between two words of a lead.
const PERIOD_MIN: std_time::Duration = std_time::Duration::from_millis(100);

/// Time added to the period for each node of the domain, so that the cost of
/// a lead does not grow with their number.
const PERIOD_PER_NODE: std_time::Duration = std_time::Duration::from_millis(7);

/// Periods after which what was told is forgotten.
const EXPIRY_PERIODS: u32 = 5;

/// Standard deviations of its own load by which a node tells growth from chance.
const NOISE_DEVIATIONS: f64 = 2.0;

/// Runners that a request stands at, for the deviation of a count that adds
/// each request at all of them.
const TYPICAL_STAGES: f64 = 4.0;

/// Part of the time to notice a lost dependency after which a node that heard
/// of no contact with the store watches it itself.
pub const STORE_AGE_FRACTION: f64 = 0.45;

/// Short name of a runner in messages between nodes.
pub type RunnerKey = u32;

/// Load on one runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: RunnerKey,
    /// Requests under way there.
    pub in_flight: u32,
    /// Tokens of context of these, times the layers that they pass there.
    pub token_layers: u64,
}

/// A runner that is slower than usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlowRunner {
    /// The runner.
    pub runner: RunnerKey,
    /// Factor on its usual times, in factor_tenths.
    pub factor_tenths: u16,
}

impl SlowRunner {
    /// Notes that a runner takes `factor` times as long as usual.
    pub fn new(runner: RunnerKey, factor: f64) -> Self {
        // A number out of range becomes the nearest one.
        let factor_tenths = (factor * 10.0).round() as u16;
        Self {
            runner,
            factor_tenths,
        }
    }
}

/// What nodes and leads tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaderMessage {
    /// A node tells its lead what it has under way.
    NodeLoads(Vec<RunnerLoad>),
    /// A lead tells other leads of its domain.
    DomainSummary(LoadSummary),
    /// A lead tells its nodes of all domains.
    FleetSummary(LoadSummary),
}

/// What a lead knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Load by runner.
    pub loads: Vec<RunnerLoad>,
    /// Runners that are slow, by key.
    pub slow: Vec<SlowRunner>,
    /// Milliseconds since the lead heard the store, or another lead did.
    pub store_age_ms: u32,
    /// A number that grows with every row of the store that the lead knows.
    pub store_version: u64,
}

/// Something heard, with its sender.
#[derive(Clone, Debug)]
struct ReceivedSummary {
    host: id::HostName,
    received_at: time::Instant,
    summary: LoadSummary,
}

/// What one node heard as a member of its domain and as its lead.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Loads of the nodes that take this node for their lead, by host.
    nodes: Vec<ReceivedSummary>,
    /// Words of other domains' leads, by host.
    domains: Vec<ReceivedSummary>,
    /// The latest word of the own lead.
    fleet: Option<ReceivedSummary>,
    /// Own load as told last.
    sent: Vec<RunnerLoad>,
    /// Requests of the own load that the latest word of the lead counts.
    counted: u32,
    /// Slow runners by this node's own survey, by key.
    slow: Vec<SlowRunner>,
}

impl LoadView {
    /// Takes a message of a node or a lead.
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
        }
    }

    /// Forgets what was heard long ago.
    pub fn expire(&mut self, period: std_time::Duration, now: time::Instant) {
        let limit = period * EXPIRY_PERIODS;
        let fresh = |received: &ReceivedSummary| {
            now.saturating_duration_since(received.received_at) < limit
        };
        self.nodes.retain(fresh);
        self.domains.retain(fresh);
        self.fleet = self.fleet.take().filter(fresh);
    }

    /// Notes the own load as it is told to the lead.
    pub fn set_sent(&mut self, loads: Vec<RunnerLoad>) {
        self.sent = loads;
    }

    /// Returns the word of this node's domain, to be told to other leads.
    pub fn domain_summary(&self, own: LoadSummary) -> LoadSummary {
        let nodes = self.nodes.iter().map(|received| &received.summary.loads);
        LoadSummary {
            loads: add_up(nodes.chain([&own.loads])),
            slow: self.slow.clone(),
            ..own
        }
    }

    /// Returns the word of all domains, to be told to the nodes of this one.
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

    /// Returns the load of all other nodes at a runner.
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

    /// Returns the load of all other nodes that no word counts yet, for each
    /// own request, where `in_flight` are under way here and `nodes` serve.
    ///
    /// The other nodes' load is taken to have grown as the own one has since
    /// the latest word. So nodes that start together, or that a burst meets
    /// together, do not all choose the runners that were idle by that word.
    pub fn unreported_load(&self, in_flight: u32, nodes: usize) -> f64 {
        let others = nodes.saturating_sub(1) as f64;
        let summary = self.fleet.as_ref();
        // A node that has just started counts as much as any other in the word.
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

    /// Notes the slow runners of a survey, by key.
    pub fn set_slow_runners(&mut self, slow: Vec<SlowRunner>) {
        self.slow = slow;
    }

    /// Returns the slow runners of the latest own survey.
    pub fn slow_runners(&self) -> &[SlowRunner] {
        &self.slow
    }

    /// Returns the factor on a runner's usual times; 1 where none is told.
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

    /// Tells whether a lead was heard that had the store's answer within `patience`.
    pub fn leader_reaches_store(&self, limit: std_time::Duration, now: time::Instant) -> bool {
        self.fleet.as_ref().is_some_and(|received| {
            let age = age_ms(received, now).saturating_add(received.summary.store_age_ms);
            u128::from(age) < limit.as_millis()
        })
    }
}

/// Returns the nodes that lead their domains.
///
/// The highest hash of domain and host leads, so that a lost node moves the
/// duty of its own domain alone.
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

/// Returns the time between two words in a domain of so many nodes.
pub fn report_period(nodes: usize) -> std_time::Duration {
    (PERIOD_PER_NODE * nodes as u32).max(PERIOD_MIN)
}

/// Returns the short name of a runner.
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
            sum.in_flight += load.in_flight;
            sum.token_layers += load.token_layers;
        }
        same
    });
    loads
}

fn total(loads: &[RunnerLoad]) -> u32 {
    loads.iter().map(|load| load.in_flight).sum()
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
