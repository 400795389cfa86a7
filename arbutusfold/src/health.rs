//! Health of upstreams: a few nodes watch each one, the rest hear of it.
//!
//! A node asks the upstreams that it watches for their reports. What changes
//! in substance it tells its peers at once, load only coarsely and seldom.
//! Own evidence goes before what others say.

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
mod words;

pub use driver::HealthDriver;
pub use words::{HealthWord, WordAge};

/// Nodes that watch one upstream.
const WATCHERS: usize = 3;

/// Time between two reports asked of one upstream.
const ASK_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Reports that an upstream may miss in a row before it counts as lost.
const MISSED_REPORTS: u32 = 2;

/// Shortest time between two words on an upstream whose load alone changed.
const LOAD_PERIOD: std_time::Duration = std_time::Duration::from_secs(10);

/// Time between two rounds of gossip while there is news.
const GOSSIP_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Peers that hear one round of gossip.
const GOSSIP_PEERS: usize = 3;

/// Words that one message of gossip carries.
const WORDS_PER_MESSAGE: usize = 16;

/// Time between two comparisons with a peer.
const COMPARE_PERIOD: std_time::Duration = std_time::Duration::from_secs(5);

/// Time between two tries of a fresh node to hear all from a peer.
const FETCH_PERIOD: std_time::Duration = std_time::Duration::from_millis(300);

/// Time after which a fresh node goes on with what it has heard.
const READY_LIMIT: std_time::Duration = std_time::Duration::from_secs(2);

/// Time between two times that the state of an upstream is shown again.
const SHOW_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// An upstream that is to be watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedUpstream {
    /// Name in the configuration document.
    pub name: id::UpstreamName,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::DomainName,
}

/// How an upstream answered when asked for its report.
#[derive(Clone, Debug)]
pub enum AskOutcome {
    /// With its report.
    Report(Box<upstream::EngineReport>),
    /// Not in time or not in order.
    Silent,
    /// Nothing listens at its address.
    Refused,
}

/// Messages of kind Health.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// Words that the receiver may not know.
    Words(Vec<HealthWord>),
    /// Digests of what the sender knows, by bucket.
    Compare(Vec<u64>),
    /// The sender is fresh and asks for every word.
    Fetch,
    /// Every word that the sender knows.
    All(Vec<HealthWord>),
}

/// What happens to the keeper.
#[derive(Clone, Debug)]
pub enum HealthEvent {
    /// Time passed.
    Tick,
    /// A configuration came into force.
    Document(Vec<WatchedUpstream>),
    /// The members changed.
    Members {
        /// Members alive in the own region, by name.
        members: Vec<member::MemberRecord>,
        /// Failure domains of other regions, sorted.
        remote_domains: Vec<id::DomainName>,
    },
    /// An upstream answered or did not.
    Asked {
        /// Name of the upstream.
        upstream: id::UpstreamName,
        /// Its answer.
        outcome: AskOutcome,
    },
    /// A call to an upstream failed, or the host list shows it as leaving.
    Doubted(id::UpstreamName),
    /// A message arrived.
    Heard {
        /// Host that sent it.
        sender: id::HostName,
        /// The message.
        message: HealthMessage,
    },
}

/// What the keeper wants done.
#[derive(Clone, Debug)]
pub enum HealthAction {
    /// Ask an upstream for its report.
    Ask {
        /// Name of the upstream.
        upstream: id::UpstreamName,
        /// Its address.
        address: net::SocketAddr,
    },
    /// Send a message to some peers, chosen at random.
    Tell {
        /// Number of peers.
        peers: usize,
        /// The message.
        message: HealthMessage,
    },
    /// Send a message to known nodes of other regions.
    TellRegions(HealthMessage),
    /// Send a message to one peer.
    Reply {
        /// The peer.
        to: id::HostName,
        /// The message.
        message: HealthMessage,
    },
    /// Show the state of an upstream to the choice of routes.
    Show {
        /// Name of the upstream.
        upstream: id::UpstreamName,
        /// Its address.
        address: net::SocketAddr,
        /// Its report with its age; `None` while it is lost.
        report: Option<Box<upstream::EngineReport>>,
    },
}

/// What a node does about one upstream.
#[derive(Clone, Debug)]
struct UpstreamWatch {
    spec: WatchedUpstream,
    /// Whether this node watches it.
    own: bool,
    /// Whether a call of this node failed since it last answered.
    doubted: bool,
    asking: bool,
    next_ask: time::Instant,
    missed: u32,
    first_hand: Option<words::FirstHand>,
    told_load: Option<time::Instant>,
    heard: words::WordBook,
}

/// Keeps the health of all upstreams as this node knows it.
#[derive(Clone, Debug)]
pub struct HealthKeeper {
    host: id::HostName,
    age: WordAge,
    watches: Vec<UpstreamWatch>,
    members: Vec<member::MemberRecord>,
    remote_domains: Vec<id::DomainName>,
    rumours: gossip::UpdateQueue<(id::UpstreamName, id::HostName), HealthWord>,
    configured: Option<time::Instant>,
    fetched: bool,
    next_gossip: time::Instant,
    next_compare: time::Instant,
    next_fetch: time::Instant,
    next_show: time::Instant,
}

impl HealthKeeper {
    /// Creates the keeper of a node that has heard nothing.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber, now: time::Instant) -> Self {
        Self {
            host,
            age: WordAge {
                incarnation,
                sequence: 0,
            },
            watches: Vec::new(),
            members: Vec::new(),
            remote_domains: Vec::new(),
            rumours: gossip::UpdateQueue::default(),
            configured: None,
            fetched: false,
            next_gossip: now,
            next_compare: now + COMPARE_PERIOD,
            next_fetch: now,
            next_show: now,
        }
    }

    /// Tells whether enough is known of the upstreams to serve callers.
    pub fn is_ready(&self, now: time::Instant) -> bool {
        let Some(configured) = self.configured else {
            return false;
        };
        let known = self
            .watches
            .iter()
            .all(|watch| watch.first_hand.is_some() || !watch.heard.is_empty());
        known || now.duration_since(configured) >= READY_LIMIT
    }

    /// Returns the number of upstreams that this node watches.
    pub fn watched(&self) -> usize {
        self.watches.iter().filter(|watch| watch.own).count()
    }

    /// Takes an event and returns what is to be done.
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
                self.assign(now, rng);
            }
            HealthEvent::Asked { upstream, outcome } => {
                self.take_outcome(&upstream, outcome, now, &mut out);
            }
            HealthEvent::Doubted(upstream) => {
                let watch = self.find(&upstream);
                if let Some(watch) = watch.filter(|watch| !watch.doubted) {
                    watch.doubted = true;
                    watch.next_ask = now;
                }
            }
            HealthEvent::Heard { sender, message } => {
                self.hear(&sender, message, now, &mut out);
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
            if (watch.own || watch.doubted) && !watch.asking && now >= watch.next_ask {
                watch.asking = true;
                watch.next_ask = now + ASK_PERIOD;
                out.push(HealthAction::Ask {
                    upstream: watch.spec.name.clone(),
                    address: watch.spec.address,
                });
            }
        }
        if now >= self.next_gossip && !self.rumours.is_empty() {
            self.next_gossip = now + GOSSIP_PERIOD;
            let copies = gossip::transmit_limit(self.members.len());
            let words = self.rumours.take(WORDS_PER_MESSAGE, copies);
            out.push(HealthAction::Tell {
                peers: GOSSIP_PEERS,
                message: HealthMessage::Words(words),
            });
        }
        if now >= self.next_compare {
            self.next_compare = now + COMPARE_PERIOD;
            let message = HealthMessage::Compare(self.digests());
            // One node a period looks beyond the region.
            if rng.random_range(0..self.members.len().max(1)) == 0 {
                out.push(HealthAction::TellRegions(message.clone()));
            }
            out.push(HealthAction::Tell { peers: 1, message });
        }
        if !self.fetched && self.configured.is_some() && now >= self.next_fetch {
            self.next_fetch = now + FETCH_PERIOD;
            out.push(HealthAction::Tell {
                peers: 1,
                message: HealthMessage::Fetch,
            });
        }
        if now >= self.next_show {
            self.next_show = now + SHOW_PERIOD;
            let shown = self.watches.iter().filter_map(|watch| watch.show(now));
            out.extend(shown);
        }
    }

    fn configure(&mut self, specs: Vec<WatchedUpstream>, now: time::Instant, rng: &mut impl Rng) {
        let mut fresh: Vec<_> = specs
            .into_iter()
            .map(|spec| {
                let held = self.watches.iter().find(|watch| watch.spec == spec);
                held.cloned().unwrap_or_else(|| UpstreamWatch {
                    spec,
                    own: false,
                    doubted: false,
                    asking: false,
                    next_ask: now,
                    missed: 0,
                    first_hand: None,
                    told_load: None,
                    heard: words::WordBook::default(),
                })
            })
            .collect();
        fresh.sort_by(|left, right| left.spec.name.cmp(&right.spec.name));
        self.watches = fresh;
        self.configured.get_or_insert(now);
        self.assign(now, rng);
    }

    /// Decides which upstreams this node watches.
    fn assign(&mut self, now: time::Instant, rng: &mut impl Rng) {
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
            let own = !remote
                && table
                    .top(&watch.spec.name, WATCHERS)
                    .into_iter()
                    .any(|place| staying[place].name == self.host);
            if own && !watch.own {
                // Watchers of one upstream ask at different moments.
                let part = rng.random_range(0.0..0.3);
                watch.next_ask = now + ASK_PERIOD.mul_f64(part);
            }
            if !own && !watch.doubted {
                watch.first_hand = None;
            }
            watch.own = own;
            let members = &self.members;
            watch.heard.note_members(remote, now, |name| {
                members
                    .binary_search_by(|record| record.name.as_str().cmp(name))
                    .is_ok()
            });
        }
    }

    fn take_outcome(
        &mut self,
        upstream: &str,
        outcome: AskOutcome,
        now: time::Instant,
        out: &mut Vec<HealthAction>,
    ) {
        let Some(watch) = self.find(upstream) else {
            return;
        };
        watch.asking = false;
        let report = match outcome {
            AskOutcome::Report(report) => Some(report),
            AskOutcome::Silent if watch.missed + 1 < MISSED_REPORTS => {
                watch.missed += 1;
                watch.next_ask = now;
                return;
            }
            AskOutcome::Silent | AskOutcome::Refused => None,
        };
        watch.missed = 0;
        watch.doubted &= report.is_none();
        let news = watch.take(report, now);
        out.extend(watch.show(now));
        if !watch.own && !watch.doubted {
            // From here on the watchers' words count again.
            watch.first_hand = None;
        }
        if !watch.own || news == words::WordNews::None {
            return;
        }
        watch.told_load = Some(now);
        let report = watch
            .first_hand
            .as_ref()
            .and_then(|held| held.report.clone());
        self.age.sequence += 1;
        let word = HealthWord {
            upstream: upstream.to_owned(),
            watcher: self.host.clone(),
            age: self.age,
            report,
        };
        if let Some(watch) = self.find(upstream) {
            watch.heard.learn(word.clone(), now);
        }
        if news == words::WordNews::Hard {
            let message = HealthMessage::Words(vec![word.clone()]);
            out.push(HealthAction::TellRegions(message.clone()));
            out.push(HealthAction::Tell {
                peers: GOSSIP_PEERS,
                message,
            });
        }
        self.rumours.put(word.subject(), word);
    }

    fn hear(
        &mut self,
        sender: &str,
        message: HealthMessage,
        now: time::Instant,
        out: &mut Vec<HealthAction>,
    ) {
        match message {
            HealthMessage::Words(words) => self.learn(words, now, out),
            HealthMessage::All(words) => {
                self.fetched = true;
                self.learn(words, now, out);
            }
            HealthMessage::Fetch => {
                let words = self.known(|_| true);
                out.push(HealthAction::Reply {
                    to: sender.to_owned(),
                    message: HealthMessage::All(words),
                });
            }
            HealthMessage::Compare(digests) => {
                let own = self.digests();
                let differs = |word: &HealthWord| {
                    let bucket = words::bucket_of(&word.upstream);
                    digests.get(bucket) != own.get(bucket)
                };
                let words = self.known(differs);
                if !words.is_empty() {
                    out.push(HealthAction::Reply {
                        to: sender.to_owned(),
                        message: HealthMessage::Words(words),
                    });
                }
            }
        }
    }

    fn learn(&mut self, words: Vec<HealthWord>, now: time::Instant, out: &mut Vec<HealthAction>) {
        for word in words {
            if word.watcher == self.host {
                continue;
            }
            let Some(watch) = self.find(&word.upstream) else {
                continue;
            };
            if !watch.heard.learn(word.clone(), now) {
                continue;
            }
            out.extend(watch.show(now));
            self.rumours.put(word.subject(), word);
        }
    }

    fn known(&self, wanted: impl Fn(&HealthWord) -> bool) -> Vec<HealthWord> {
        let words = self.watches.iter().flat_map(|watch| watch.heard.words());
        words.filter(|word| wanted(word)).cloned().collect()
    }

    /// Returns digests of what is known in substance, by bucket.
    fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0; words::BUCKETS];
        for watch in &self.watches {
            let bucket = words::bucket_of(&watch.spec.name);
            digests[bucket] ^= watch.heard.digest();
        }
        digests
    }
}

impl UpstreamWatch {
    /// Takes an own report and tells what is new in it.
    fn take(
        &mut self,
        report: Option<Box<upstream::EngineReport>>,
        now: time::Instant,
    ) -> words::WordNews {
        let held = self.first_hand.as_ref().map(|held| &held.told);
        let quiet = self
            .told_load
            .is_some_and(|told| now.duration_since(told) < LOAD_PERIOD);
        let report = report.map(|report| *report);
        let news = match held {
            None => words::WordNews::Hard,
            Some(told) => words::compare(told.as_ref(), report.as_ref(), quiet),
        };
        let told = match (&news, &self.first_hand) {
            (words::WordNews::None, Some(held)) => held.told.clone(),
            _ => report.clone(),
        };
        self.first_hand = Some(words::FirstHand {
            report,
            told,
            heard: now,
        });
        news
    }

    /// Returns the state to show: own evidence, else what watchers say.
    fn show(&self, now: time::Instant) -> Option<HealthAction> {
        let report = match &self.first_hand {
            Some(held) => held.aged(now),
            // What others say does not end an own doubt.
            None if self.doubted => return None,
            None => self.heard.verdict(now)?,
        };
        Some(HealthAction::Show {
            upstream: self.spec.name.clone(),
            address: self.spec.address,
            report: report.map(Box::new),
        })
    }
}
