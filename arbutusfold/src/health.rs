//! Health monitoring of upstreams.
//!
//! Each upstream is polled for its report by a few nodes, its watchers. They
//! publish changes of its state to their peers at once, and changes of its load
//! as coarse levels at a limited rate. Observations spread by gossip; a periodic
//! exchange of digests makes up for lost messages. A node that polled an upstream
//! itself prefers its own result to the observations of others.

use std::net;
use std::time as std_time;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::gossip;
use crate::id;
use crate::member;
use crate::upstream;

pub mod driver;
mod observation;

pub use driver::HealthDriver;
pub use observation::{HealthObservation, ObservationVersion};

/// Number of nodes that watch one upstream.
const WATCHERS_PER_UPSTREAM: usize = 3;

/// Time between two polls of one upstream.
const POLL_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Failed polls in a row after which an upstream counts as lost.
const FAILED_POLL_LIMIT: u32 = 2;

/// Shortest time from one publication to the next that is due to load alone.
const LOAD_UPDATE_PERIOD: std_time::Duration = std_time::Duration::from_secs(10);

/// Time between two rounds of gossip while observations are queued.
const GOSSIP_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Number of peers to which a gossip message is sent.
const GOSSIP_FANOUT: usize = 3;

/// Most observations in one gossip message.
const OBSERVATIONS_PER_MESSAGE: usize = 16;

/// Time between two exchanges of digests with a peer.
const ANTI_ENTROPY_PERIOD: std_time::Duration = std_time::Duration::from_secs(5);

/// Time between two attempts of a new node to fetch all observations from a peer.
const FETCH_PERIOD: std_time::Duration = std_time::Duration::from_millis(300);

/// Time after the first configuration at which a new node counts as ready with
/// the observations that it has.
const READY_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);

/// Time between two periodic updates of the routing table.
const UPDATE_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// An upstream whose health is monitored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedUpstream {
    /// Name in the configuration document.
    pub name: id::UpstreamName,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Failure domain of the upstream.
    pub domain: id::DomainName,
}

/// Result of a poll of an upstream.
#[derive(Clone, Debug)]
pub enum PollOutcome {
    /// The upstream sent its report.
    Report(Box<upstream::EngineReport>),
    /// No valid report arrived within the time limit.
    Failed,
    /// No connection was made.
    Unreachable,
}

/// Messages of kind [`Health`](crate::peer::MessageKind::Health).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// Observations that the receiver may lack.
    Observations(Vec<HealthObservation>),
    /// Digests of the observations that the sender has, by bucket.
    Digests(Vec<u64>),
    /// Request of a new node for all observations.
    Fetch,
    /// All observations that the sender has.
    Snapshot(Vec<HealthObservation>),
}

/// Input of the health monitor.
#[derive(Clone, Debug)]
pub enum HealthEvent {
    /// The periodic timer fired.
    Tick,
    /// A configuration took effect; it has these upstreams.
    Document(Vec<WatchedUpstream>),
    /// The membership changed.
    Members {
        /// Live members of the own region, sorted by name.
        members: Vec<member::MemberRecord>,
        /// Failure domains of other regions, sorted.
        remote_domains: Vec<id::DomainName>,
    },
    /// A poll of an upstream ended.
    Polled {
        /// Name of the upstream.
        upstream: id::UpstreamName,
        /// Result of the poll.
        outcome: PollOutcome,
    },
    /// A call to an upstream failed, or the host list shows it as leaving.
    Suspected(id::UpstreamName),
    /// A message arrived.
    Received {
        /// Host that sent it.
        sender: id::HostName,
        /// The message.
        message: HealthMessage,
    },
}

/// Output of the health monitor, to be carried out by its driver.
#[derive(Clone, Debug)]
pub enum HealthAction {
    /// Request the report of an upstream.
    Poll {
        /// Name of the upstream.
        upstream: id::UpstreamName,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Send a message to peers chosen at random.
    SendRandom {
        /// Number of peers.
        peers: usize,
        /// The message.
        message: HealthMessage,
    },
    /// Send a message to known nodes of other regions.
    SendRegions(HealthMessage),
    /// Send a message to one peer.
    Reply {
        /// The peer.
        to: id::HostName,
        /// The message.
        message: HealthMessage,
    },
    /// Update the state of an upstream in the routing table.
    UpdateRoutes {
        /// Name of the upstream.
        upstream: id::UpstreamName,
        /// Its address.
        address: net::SocketAddr,
        /// Report with its current age; `None` while the upstream is lost.
        report: Option<Box<upstream::EngineReport>>,
    },
}

/// State that a node keeps of one upstream.
#[derive(Clone, Debug)]
struct UpstreamWatch {
    spec: WatchedUpstream,
    /// Whether this node is one of its watchers.
    assigned: bool,
    /// Whether a [`HealthEvent::Suspected`] arrived since its last report.
    suspected: bool,
    /// Whether a poll is in progress.
    polling: bool,
    next_poll: time::Instant,
    /// Polls that failed in a row.
    failed_polls: u32,
    /// Last result of this node; set only while the node watches or suspects it.
    local: Option<observation::LocalObservation>,
    /// When this node last published an observation of it.
    last_published: Option<time::Instant>,
    /// Observations of the watchers, this node included.
    observations: observation::ObservationSet,
}

/// Tracks the health of all upstreams on one node.
///
/// It does no input or output: it turns events into actions.
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    host: id::HostName,
    /// Version of the last observation that this node published.
    version: ObservationVersion,
    /// Sorted by name of the upstream.
    watches: Vec<UpstreamWatch>,
    members: Vec<member::MemberRecord>,
    remote_domains: Vec<id::DomainName>,
    gossip_queue: gossip::UpdateQueue<(id::UpstreamName, id::HostName), HealthObservation>,
    /// When the first configuration took effect.
    configured: Option<time::Instant>,
    /// Whether a peer sent all of its observations.
    fetched: bool,
    next_gossip: time::Instant,
    next_anti_entropy: time::Instant,
    next_fetch: time::Instant,
    next_update: time::Instant,
}

impl HealthMonitor {
    /// Creates a monitor without upstreams or observations.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber, now: time::Instant) -> Self {
        Self {
            host,
            version: ObservationVersion {
                incarnation,
                sequence: 0,
            },
            watches: Vec::new(),
            members: Vec::new(),
            remote_domains: Vec::new(),
            gossip_queue: gossip::UpdateQueue::default(),
            configured: None,
            fetched: false,
            next_gossip: now,
            next_anti_entropy: now + ANTI_ENTROPY_PERIOD,
            next_fetch: now,
            next_update: now,
        }
    }

    /// Returns whether the node knows enough about the upstreams to serve callers.
    ///
    /// That is so once it has an observation of every upstream, or at the latest
    /// `READY_TIMEOUT` after the first configuration.
    pub fn is_ready(&self, now: time::Instant) -> bool {
        let Some(configured) = self.configured else {
            return false;
        };
        let known = self
            .watches
            .iter()
            .all(|watch| watch.local.is_some() || !watch.observations.is_empty());
        known || now.duration_since(configured) >= READY_TIMEOUT
    }

    /// Returns the number of upstreams that this node watches.
    pub fn watched_count(&self) -> usize {
        self.watches.iter().filter(|watch| watch.assigned).count()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        event: HealthEvent,
        now: time::Instant,
        rng: &mut impl Rng,
    ) -> Vec<HealthAction> {
        let mut out = Vec::new();
        match event {
            HealthEvent::Tick => self.tick(now, rng, &mut out),
            HealthEvent::Document(specs) => self.configure(specs, now, rng),
            HealthEvent::Members {
                members,
                remote_domains,
            } => {
                self.members = members;
                self.remote_domains = remote_domains;
                self.assign_watches(now, rng);
            }
            HealthEvent::Polled { upstream, outcome } => {
                self.handle_poll(&upstream, outcome, now, &mut out);
            }
            HealthEvent::Suspected(upstream) => {
                let watch = self.find(&upstream);
                if let Some(watch) = watch.filter(|watch| !watch.suspected) {
                    watch.suspected = true;
                    watch.next_poll = now;
                }
            }
            HealthEvent::Received { sender, message } => {
                self.handle_message(&sender, message, now, &mut out);
            }
        }
        out
    }

    fn find(&mut self, upstream: &str) -> Option<&mut UpstreamWatch> {
        let found = self
            .watches
            .binary_search_by(|watch| watch.spec.name.as_str().cmp(upstream));
        Some(&mut self.watches[found.ok()?])
    }

    fn tick(&mut self, now: time::Instant, rng: &mut impl Rng, out: &mut Vec<HealthAction>) {
        for watch in &mut self.watches {
            if (watch.assigned || watch.suspected) && !watch.polling && now >= watch.next_poll {
                watch.polling = true;
                watch.next_poll = now + POLL_PERIOD;
                out.push(HealthAction::Poll {
                    upstream: watch.spec.name.clone(),
                    address: watch.spec.address,
                });
            }
        }
        if now >= self.next_gossip && !self.gossip_queue.is_empty() {
            self.next_gossip = now + GOSSIP_PERIOD;
            let copies = gossip::transmit_limit(self.members.len());
            let observations = self.gossip_queue.take(OBSERVATIONS_PER_MESSAGE, copies);
            out.push(HealthAction::SendRandom {
                peers: GOSSIP_FANOUT,
                message: HealthMessage::Observations(observations),
            });
        }
        if now >= self.next_anti_entropy {
            self.next_anti_entropy = now + ANTI_ENTROPY_PERIOD;
            let message = HealthMessage::Digests(self.digests());
            // On average one node of the region sends digests to other regions
            // in each period.
            if rng.random_range(0..self.members.len().max(1)) == 0 {
                out.push(HealthAction::SendRegions(message.clone()));
            }
            out.push(HealthAction::SendRandom { peers: 1, message });
        }
        if !self.fetched && self.configured.is_some() && now >= self.next_fetch {
            self.next_fetch = now + FETCH_PERIOD;
            out.push(HealthAction::SendRandom {
                peers: 1,
                message: HealthMessage::Fetch,
            });
        }
        if now >= self.next_update {
            self.next_update = now + UPDATE_PERIOD;
            let updates = self
                .watches
                .iter()
                .filter_map(|watch| watch.routing_update(now));
            out.extend(updates);
        }
    }

    fn configure(&mut self, specs: Vec<WatchedUpstream>, now: time::Instant, rng: &mut impl Rng) {
        let mut watches: Vec<_> = specs
            .into_iter()
            .map(|spec| {
                let existing = self.watches.iter().find(|watch| watch.spec == spec);
                existing.cloned().unwrap_or_else(|| UpstreamWatch {
                    spec,
                    assigned: false,
                    suspected: false,
                    polling: false,
                    next_poll: now,
                    failed_polls: 0,
                    local: None,
                    last_published: None,
                    observations: observation::ObservationSet::default(),
                })
            })
            .collect();
        watches.sort_by(|left, right| left.spec.name.cmp(&right.spec.name));
        self.watches = watches;
        self.configured.get_or_insert(now);
        self.assign_watches(now, rng);
    }

    /// Determines which upstreams this node watches.
    fn assign_watches(&mut self, now: time::Instant, rng: &mut impl Rng) {
        let staying: Vec<_> = self
            .members
            .iter()
            .filter(|record| record.phase != member::MemberPhase::Leaving)
            .collect();
        let table = member::RankTable::new(&staying);
        for watch in &mut self.watches {
            let remote = self
                .remote_domains
                .binary_search(&watch.spec.domain)
                .is_ok();
            let assigned = !remote
                && table
                    .top(&watch.spec.name, WATCHERS_PER_UPSTREAM)
                    .into_iter()
                    .any(|index| staying[index].name == self.host);
            if assigned && !watch.assigned {
                // Jitter keeps the watchers of one upstream from polling at the same time.
                let jitter = rng.random_range(0.0..0.3);
                watch.next_poll = now + POLL_PERIOD.mul_f64(jitter);
            }
            if !assigned && !watch.suspected {
                watch.local = None;
            }
            watch.assigned = assigned;
            let members = &self.members;
            watch.observations.update_members(remote, now, |name| {
                members
                    .binary_search_by(|record| record.name.as_str().cmp(name))
                    .is_ok()
            });
        }
    }

    fn handle_poll(
        &mut self,
        upstream: &str,
        outcome: PollOutcome,
        now: time::Instant,
        out: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.find(upstream) else {
            return;
        };
        watch.polling = false;
        let report = match outcome {
            PollOutcome::Report(report) => Some(report),
            PollOutcome::Failed if watch.failed_polls + 1 < FAILED_POLL_LIMIT => {
                watch.failed_polls += 1;
                watch.next_poll = now;
                return;
            }
            PollOutcome::Failed | PollOutcome::Unreachable => None,
        };
        watch.failed_polls = 0;
        watch.suspected &= report.is_none();
        let change = watch.record_report(report, now);
        out.extend(watch.routing_update(now));
        if !watch.assigned && !watch.suspected {
            // The observations of the watchers count again from here on.
            watch.local = None;
        }
        if !watch.assigned || change == observation::ReportChange::Insignificant {
            return;
        }
        watch.last_published = Some(now);
        let report = watch.local.as_ref().and_then(|local| local.report.clone());
        self.version.sequence += 1;
        let observation = HealthObservation {
            upstream: upstream.to_owned(),
            watcher: self.host.clone(),
            version: self.version,
            report,
        };
        if let Some(watch) = self.find(upstream) {
            watch.observations.insert(observation.clone(), now);
        }
        if change == observation::ReportChange::State {
            let message = HealthMessage::Observations(vec![observation.clone()]);
            out.push(HealthAction::SendRegions(message.clone()));
            out.push(HealthAction::SendRandom {
                peers: GOSSIP_FANOUT,
                message,
            });
        }
        self.gossip_queue.put(observation.key(), observation);
    }

    fn handle_message(
        &mut self,
        sender: &str,
        message: HealthMessage,
        now: time::Instant,
        out: &mut Vec<HealthAction>,
    ) {
        match message {
            HealthMessage::Observations(observations) => self.merge(observations, now, out),
            HealthMessage::Snapshot(observations) => {
                self.fetched = true;
                self.merge(observations, now, out);
            }
            HealthMessage::Fetch => {
                let observations = self.select_observations(|_| true);
                out.push(HealthAction::Reply {
                    to: sender.to_owned(),
                    message: HealthMessage::Snapshot(observations),
                });
            }
            HealthMessage::Digests(digests) => {
                let own = self.digests();
                let differs = |observation: &HealthObservation| {
                    let bucket = observation::bucket_of(&observation.upstream);
                    digests.get(bucket) != own.get(bucket)
                };
                let observations = self.select_observations(differs);
                if !observations.is_empty() {
                    out.push(HealthAction::Reply {
                        to: sender.to_owned(),
                        message: HealthMessage::Observations(observations),
                    });
                }
            }
        }
    }

    fn merge(
        &mut self,
        observations: Vec<HealthObservation>,
        now: time::Instant,
        out: &mut Vec<HealthAction>,
    ) {
        for observation in observations {
            if observation.watcher == self.host {
                continue;
            }
            let Some(watch) = self.find(&observation.upstream) else {
                continue;
            };
            if !watch.observations.insert(observation.clone(), now) {
                continue;
            }
            out.extend(watch.routing_update(now));
            self.gossip_queue.put(observation.key(), observation);
        }
    }

    fn select_observations(
        &self,
        wanted: impl Fn(&HealthObservation) -> bool,
    ) -> Vec<HealthObservation> {
        let observations = self
            .watches
            .iter()
            .flat_map(|watch| watch.observations.iter());
        observations
            .filter(|observation| wanted(observation))
            .cloned()
            .collect()
    }

    /// Returns digests of the observed states, by bucket.
    fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0; observation::DIGEST_BUCKETS];
        for watch in &self.watches {
            let bucket = observation::bucket_of(&watch.spec.name);
            digests[bucket] ^= watch.observations.digest();
        }
        digests
    }
}

impl UpstreamWatch {
    /// Stores a poll result of this node and returns how it differs from the
    /// state last published.
    fn record_report(
        &mut self,
        report: Option<Box<upstream::EngineReport>>,
        now: time::Instant,
    ) -> observation::ReportChange {
        let previous = self.local.as_ref().map(|local| &local.published);
        let suppress_load = self
            .last_published
            .is_some_and(|published| now.duration_since(published) < LOAD_UPDATE_PERIOD);
        let report = report.map(|report| *report);
        let change = match previous {
            None => observation::ReportChange::State,
            Some(published) => {
                observation::classify_change(published.as_ref(), report.as_ref(), suppress_load)
            }
        };
        let published = match (&change, &self.local) {
            (observation::ReportChange::Insignificant, Some(local)) => local.published.clone(),
            _ => report.clone(),
        };
        self.local = Some(observation::LocalObservation {
            report,
            published,
            received: now,
        });
        change
    }

    /// Returns the update of the routing table: the result of this node if there is
    /// one, else the majority of the watchers.
    fn routing_update(&self, now: time::Instant) -> Option<HealthAction> {
        let report = match &self.local {
            Some(local) => local.aged(now),
            // Observations of other nodes do not clear a suspicion of this node.
            None if self.suspected => return None,
            None => self.observations.majority_report(now)?,
        };
        Some(HealthAction::UpdateRoutes {
            upstream: self.spec.name.clone(),
            address: self.spec.address,
            report: report.map(Box::new),
        })
    }
}
