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
const PERIOD_LEAST: std_time::Duration = std_time::Duration::from_millis(100);

/// Time added to the period for each node of the domain, so that the cost of
/// a lead does not grow with their number.
const PERIOD_PER_NODE: std_time::Duration = std_time::Duration::from_millis(7);

/// Periods after which what was told is forgotten.
const MEMORY_PERIODS: u32 = 5;

/// Standard deviations of its own load by which a node tells growth from chance.
const CHANCE_DEVIATIONS: f64 = 2.0;

/// Runners that a request stands at, for the deviation of a count that adds
/// each request at all of them.
const USUAL_STAGES: f64 = 4.0;

/// Part of the time to notice a lost dependency after which a node that heard
/// of no contact with the store watches it itself.
pub const PATIENCE_PART: f64 = 0.45;

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
    /// Factor on its usual times, in tenths.
    pub tenths: u16,
}

impl SlowRunner {
    /// Notes that a runner takes `factor` times as long as usual.
    pub fn new(runner: RunnerKey, factor: f64) -> Self {
        // A number out of range becomes the nearest one.
        let tenths = (factor * 10.0).round() as u16;
        Self { runner, tenths }
    }
}

/// What nodes and leads tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeadMessage {
    /// A node tells its lead what it has under way.
    Node(Vec<RunnerLoad>),
    /// A lead tells other leads of its domain.
    Domain(LeadWord),
    /// A lead tells its nodes of all domains.
    Fleet(LeadWord),
}

/// What a lead knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadWord {
    /// Load by runner.
    pub loads: Vec<RunnerLoad>,
    /// Runners that are slow, by key.
    pub slow: Vec<SlowRunner>,
    /// Milliseconds since the lead heard the store, or another lead did.
    pub store_age_ms: u32,
    /// A number that grows with every row of the store that the lead knows.
    pub latest: u64,
}

/// Something heard, with its sender.
#[derive(Clone, Debug)]
struct HeardWord {
    host: id::HostName,
    heard: time::Instant,
    word: LeadWord,
}

/// What one node heard as a member of its domain and as its lead.
#[derive(Clone, Debug, Default)]
pub struct LeadBook {
    /// Loads of the nodes that take this node for their lead, by host.
    nodes: Vec<HeardWord>,
    /// Words of other domains' leads, by host.
    domains: Vec<HeardWord>,
    /// The latest word of the own lead.
    fleet: Option<HeardWord>,
    /// Own load as told last.
    told: Vec<RunnerLoad>,
    /// Requests of the own load that the latest word of the lead counts.
    counted: u32,
    /// Slow runners by this node's own survey, by key.
    survey: Vec<SlowRunner>,
}

impl LeadBook {
    /// Takes a message of a node or a lead.
    pub fn hear(&mut self, host: &str, message: LeadMessage, now: time::Instant) {
        let heard = |word| HeardWord {
            host: host.to_owned(),
            heard: now,
            word,
        };
        match message {
            LeadMessage::Node(loads) => put(
                &mut self.nodes,
                heard(LeadWord {
                    loads,
                    ..LeadWord::default()
                }),
            ),
            LeadMessage::Domain(word) => put(&mut self.domains, heard(word)),
            LeadMessage::Fleet(word) => {
                self.fleet = Some(heard(word));
                self.counted = total(&self.told);
            }
        }
    }

    /// Forgets what was heard long ago.
    pub fn forget(&mut self, period: std_time::Duration, now: time::Instant) {
        let limit = period * MEMORY_PERIODS;
        let fresh = |held: &HeardWord| now.saturating_duration_since(held.heard) < limit;
        self.nodes.retain(fresh);
        self.domains.retain(fresh);
        self.fleet = self.fleet.take().filter(fresh);
    }

    /// Notes the own load as it is told to the lead.
    pub fn note_told(&mut self, loads: Vec<RunnerLoad>) {
        self.told = loads;
    }

    /// Returns the word of this node's domain, to be told to other leads.
    pub fn domain_word(&self, own: LeadWord) -> LeadWord {
        let nodes = self.nodes.iter().map(|held| &held.word.loads);
        LeadWord {
            loads: add_up(nodes.chain([&own.loads])),
            slow: self.survey.clone(),
            ..own
        }
    }

    /// Returns the word of all domains, to be told to the nodes of this one.
    pub fn fleet_word(&self, domain: &LeadWord, now: time::Instant) -> LeadWord {
        let others = || self.domains.iter();
        let ages = others().map(|held| held.word.store_age_ms.saturating_add(age_ms(held, now)));
        LeadWord {
            loads: add_up(others().map(|held| &held.word.loads).chain([&domain.loads])),
            slow: {
                let slow = others().flat_map(|held| &held.word.slow);
                let mut slow: Vec<_> = slow.chain(&domain.slow).copied().collect();
                slow.sort_unstable_by_key(|slow| slow.runner);
                slow
            },
            store_age_ms: ages.fold(domain.store_age_ms, u32::min),
            latest: others().fold(domain.latest, |latest, held| latest.max(held.word.latest)),
        }
    }

    /// Returns the load of all other nodes at a runner.
    pub fn others(&self, runner: RunnerKey) -> RunnerLoad {
        let all = self
            .fleet
            .as_ref()
            .map(|held| find(&held.word.loads, runner))
            .unwrap_or_default();
        let own = find(&self.told, runner);
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
    pub fn unheard(&self, in_flight: u32, nodes: usize) -> f64 {
        let others = nodes.saturating_sub(1) as f64;
        let word = self.fleet.as_ref();
        // A node that has just started counts as much as any other in the word.
        let mean = word.map_or(0.0, |held| f64::from(total(&held.word.loads))) / (others + 1.0);
        let counted = word.map_or(0.0, |_| f64::from(self.counted)).max(mean);
        let chance = CHANCE_DEVIATIONS * (USUAL_STAGES * counted).sqrt();
        let grown = f64::from(in_flight) - counted - chance;
        match grown > 0.0 {
            true => others * grown / f64::from(in_flight),
            false => 0.0,
        }
    }

    /// Notes the slow runners of a survey, by key.
    pub fn note_survey(&mut self, slow: Vec<SlowRunner>) {
        self.survey = slow;
    }

    /// Returns the slow runners of the latest own survey.
    pub fn survey(&self) -> &[SlowRunner] {
        &self.survey
    }

    /// Returns the factor on a runner's usual times; 1 where none is told.
    pub fn slowness(&self, runner: RunnerKey) -> f64 {
        let slow = self.fleet.as_ref().map(|held| &held.word.slow);
        let found = slow.and_then(|slow| {
            let place = slow.binary_search_by_key(&runner, |slow| slow.runner);
            place.ok().map(|place| f64::from(slow[place].tenths) / 10.0)
        });
        found.unwrap_or(1.0)
    }

    /// Tells whether a lead was heard that had the store's answer within `patience`.
    pub fn is_led(&self, patience: std_time::Duration, now: time::Instant) -> bool {
        self.fleet.as_ref().is_some_and(|held| {
            let age = age_ms(held, now).saturating_add(held.word.store_age_ms);
            u128::from(age) < patience.as_millis()
        })
    }
}

/// Returns the nodes that lead their domains.
///
/// The highest hash of domain and host leads, so that a lost node moves the
/// duty of its own domain alone.
pub fn leads(members: &[member::MemberRecord]) -> Vec<&member::MemberRecord> {
    let mut domains: Vec<_> = members.iter().map(|record| &record.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    let lead = |domain: &id::DomainName| {
        let candidates = members.iter().filter(|record| record.domain == *domain);
        candidates.max_by_key(|record| {
            let staying = record.phase != member::MemberPhase::Leaving;
            (staying, member::hash(&[domain, &record.name]))
        })
    };
    domains.into_iter().filter_map(lead).collect()
}

/// Returns the time between two words in a domain of so many nodes.
pub fn period(nodes: usize) -> std_time::Duration {
    (PERIOD_PER_NODE * nodes as u32).max(PERIOD_LEAST)
}

/// Returns the short name of a runner.
pub fn runner_key(id: &str) -> RunnerKey {
    let hash = blake3::hash(id.as_bytes());
    let mut key = [0; size_of::<RunnerKey>()];
    key.copy_from_slice(&hash.as_bytes()[..size_of::<RunnerKey>()]);
    RunnerKey::from_le_bytes(key)
}

fn put(held: &mut Vec<HeardWord>, fresh: HeardWord) {
    match held.binary_search_by(|word| word.host.cmp(&fresh.host)) {
        Ok(place) => held[place] = fresh,
        Err(place) => held.insert(place, fresh),
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
    found.map(|place| loads[place]).unwrap_or_default()
}

fn age_ms(held: &HeardWord, now: time::Instant) -> u32 {
    let age = now.saturating_duration_since(held.heard).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}
