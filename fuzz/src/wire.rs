//! Instances of the membership code over a wire that delays and drops.
//!
//! The wire does nothing else; time is the paused clock of the runtime.

use std::collections;
use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold::event;
use arbutusfold::member;
use arbutusfold::peer;
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Step of the clock.
const STEP: std_time::Duration = std_time::Duration::from_millis(10);

/// Steps between two ticks of one node.
const TICK_STEPS: u64 = 2;

/// Key that the nodes share.
const KEY: [u8; 32] = [7; 32];

/// A message on its way.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FlyingMessage {
    due: time::Instant,
    order: u64,
    to: net::SocketAddr,
    bytes: Vec<u8>,
}

/// State of the wire behind its lock.
struct WireState {
    rng: rand_chacha::ChaCha8Rng,
    flying: collections::BinaryHeap<std::cmp::Reverse<FlyingMessage>>,
    cuts: collections::BTreeSet<(net::SocketAddr, net::SocketAddr)>,
    deaf: collections::BTreeMap<net::SocketAddr, f64>,
    loss: f64,
    delay: std_time::Duration,
    sent_messages: u64,
    sent_bytes: u64,
}

/// The wire.
pub struct FakeWire {
    state: sync::Mutex<WireState>,
}

/// One node's end of the wire.
struct WireEnd {
    from: net::SocketAddr,
    wire: sync::Arc<FakeWire>,
}

impl peer::PeerTransport for WireEnd {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        let mut state = self.wire.lock();
        state.sent_messages += 1;
        state.sent_bytes += message.len() as u64;
        let loss = state.deaf.get(&to).copied().unwrap_or(state.loss);
        if state.cuts.contains(&(self.from, to)) || state.rng.random_bool(loss) {
            return;
        }
        let stretch: f64 = state.rng.random_range(1.0..2.0);
        let due = time::Instant::now() + state.delay.mul_f64(stretch);
        let order = state.sent_messages;
        state.flying.push(std::cmp::Reverse(FlyingMessage {
            due,
            order,
            to,
            bytes: message.to_vec(),
        }));
    }
}

impl FakeWire {
    fn lock(&self) -> sync::MutexGuard<'_, WireState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// What a node of the fleet is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It runs.
    Running,
    /// It is paused; what is sent to it waits.
    Frozen,
    /// It is dead; what is sent to it is lost.
    Dead,
}

/// Something that a node decided, and when.
#[derive(Clone, Debug)]
pub struct NodeNews {
    /// When.
    pub at: time::Instant,
    /// What.
    pub action: member::MemberAction,
}

/// A node of the fleet.
pub struct FakeNode {
    /// Its record at its start.
    pub record: member::MemberRecord,
    /// What it is doing.
    pub state: NodeState,
    /// Its membership.
    pub driver: sync::Arc<member::MemberDriver>,
    /// Its post.
    pub post: sync::Arc<peer::PeerEndpoint>,
    /// Its view of the members.
    pub view: sync::Arc<member::MemberView>,
    /// What it decided.
    pub news: Vec<NodeNews>,
    waiting: Vec<Vec<u8>>,
    heard: sync::Arc<HeardNews>,
}

/// Where a node stands.
#[derive(Clone, Debug)]
pub struct NodePlace {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its failure domain.
    pub domain: String,
    /// Number of its addresses.
    pub address: usize,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Instances of the membership code and the wire between them.
pub struct FakeFleet {
    /// Nodes in the order in which they were started.
    pub nodes: Vec<FakeNode>,
    wire: sync::Arc<FakeWire>,
    steps: u64,
    seed: u64,
}

/// Returns the address of that number at which a node hears peers.
pub fn peer_address(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_000))
}

/// Returns the address of that number at which a node serves callers.
pub fn caller_address(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 8_000))
}

impl FakeFleet {
    /// Creates a fleet without nodes.
    pub fn new(seed: u64, loss: f64, delay: std_time::Duration) -> Self {
        let state = WireState {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            flying: collections::BinaryHeap::new(),
            cuts: collections::BTreeSet::new(),
            deaf: collections::BTreeMap::new(),
            loss,
            delay,
            sent_messages: 0,
            sent_bytes: 0,
        };
        Self {
            nodes: Vec::new(),
            wire: sync::Arc::new(FakeWire {
                state: sync::Mutex::new(state),
            }),
            steps: 0,
            seed,
        }
    }

    /// Creates a fleet of `count` serving nodes in one region that have met.
    pub async fn settled(
        seed: u64,
        count: usize,
        loss: f64,
        delay: std_time::Duration,
        wait: std_time::Duration,
    ) -> Self {
        let mut fleet = Self::new(seed, loss, delay);
        for number in 0..count {
            fleet.start_plain(number);
        }
        fleet.run(wait).await;
        fleet
    }

    /// Starts node `number` in the first region, over three failure domains.
    pub fn start_plain(&mut self, number: usize) -> usize {
        self.start(NodePlace {
            name: format!("entry-{number}"),
            region: "peru-central".to_owned(),
            domain: format!("pe-{}", number % 3),
            address: number,
            incarnation: 1_000 + self.steps,
        })
    }

    /// Starts a node that knows the first node's address and serves at once.
    pub fn start(&mut self, place: NodePlace) -> usize {
        let address = peer_address(place.address);
        let record = member::MemberRecord {
            name: place.name.clone(),
            incarnation: place.incarnation,
            revision: 1,
            region: place.region,
            domain: place.domain,
            callers: caller_address(place.address),
            peers: address,
            version: 0,
            phase: member::MemberPhase::Serving,
        };
        let view = sync::Arc::new(member::MemberView::default());
        let post = sync::Arc::new(peer::PeerEndpoint::new(
            place.name,
            address,
            place.incarnation,
            peer::MessageSigner::new(vec![KEY]),
            sync::Arc::clone(&view),
        ));
        post.attach(sync::Arc::new(WireEnd {
            from: address,
            wire: sync::Arc::clone(&self.wire),
        }));
        let seeds = vec![peer_address(0), peer_address(1)];
        let keeper = member::MemberProtocol::new(record.clone(), seeds, time::Instant::now());
        let driver = sync::Arc::new(member::MemberDriver::new(
            keeper,
            self.seed ^ self.nodes.len() as u64,
            sync::Arc::clone(&post),
            sync::Arc::clone(&view),
            sync::Arc::new(event::EventRecorder::silent()),
        ));
        let heard = sync::Arc::new(HeardNews {
            driver: sync::Arc::clone(&driver),
            news: sync::Mutex::default(),
        });
        post.register(peer::MessageKind::Membership, heard.clone());
        // A node at the same address takes the place of an earlier one.
        self.nodes
            .iter_mut()
            .filter(|node| node.record.peers == address)
            .for_each(|node| node.state = NodeState::Dead);
        self.nodes.push(FakeNode {
            record,
            state: NodeState::Running,
            driver,
            post,
            view,
            news: Vec::new(),
            waiting: Vec::new(),
            heard,
        });
        self.nodes.len() - 1
    }

    /// Kills a node.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].state = NodeState::Dead;
        self.nodes[node].waiting.clear();
    }

    /// Pauses a node.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].state = NodeState::Frozen;
    }

    /// Lets a paused node go on; it looks at what is due before what waited
    /// for it arrives.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].state = NodeState::Running;
        self.step(node, member::MemberEvent::Tick);
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        for bytes in waiting {
            self.hear(node, &bytes);
        }
    }

    /// Cuts the wire from one node to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        let ends = self.ends(from, to);
        self.wire.lock().cuts.insert(ends);
    }

    /// Mends every cut.
    pub fn mend(&mut self) {
        self.wire.lock().cuts.clear();
    }

    /// Sets the part of messages that is lost.
    pub fn set_loss(&mut self, loss: f64) {
        self.wire.lock().loss = loss;
    }

    /// Sets the part of messages to one node that is lost.
    pub fn set_deafness(&mut self, node: usize, loss: f64) {
        let address = self.nodes[node].record.peers;
        self.wire.lock().deaf.insert(address, loss);
    }

    /// Returns the hosts that a node counted as gone, in order.
    pub fn buried_by(&self, node: usize) -> Vec<String> {
        let news = self.nodes[node].news.iter();
        news.filter_map(|news| match &news.action {
            member::MemberAction::Gone { name, .. } => Some(name.clone()),
            _ => None,
        })
        .collect()
    }

    /// Returns the messages and bytes sent by all nodes so far.
    pub fn sent(&self) -> (u64, u64) {
        let state = self.wire.lock();
        (state.sent_messages, state.sent_bytes)
    }

    /// Gives an event to a node.
    pub fn step(&mut self, node: usize, event: member::MemberEvent) {
        let now = time::Instant::now();
        let node = &mut self.nodes[node];
        let news = node.driver.step(event, now);
        node.news
            .extend(news.into_iter().map(|action| NodeNews { at: now, action }));
    }

    /// Lets time pass.
    pub async fn run(&mut self, duration: std_time::Duration) {
        let end = time::Instant::now() + duration;
        while time::Instant::now() < end {
            time::advance(STEP).await;
            self.steps += 1;
            self.deliver();
            for node in 0..self.nodes.len() {
                let due = (self.steps + node as u64).is_multiple_of(TICK_STEPS);
                if due && self.nodes[node].state == NodeState::Running {
                    self.step(node, member::MemberEvent::Tick);
                }
            }
        }
    }

    /// Lets time pass until `done`; returns how long that took.
    pub async fn run_until(
        &mut self,
        limit: std_time::Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<std_time::Duration> {
        let start = time::Instant::now();
        while time::Instant::now().duration_since(start) < limit {
            if done(self) {
                return Some(time::Instant::now().duration_since(start));
            }
            self.run(STEP).await;
        }
        None
    }

    /// Tells whether node `viewer` counts the host of node `node` as alive.
    pub fn sees(&self, viewer: usize, node: usize) -> bool {
        let name = &self.nodes[node].record.name;
        self.nodes[viewer].view.contact(name).is_some()
    }

    /// Returns the nodes that run.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].state == NodeState::Running)
    }

    /// Tells whether every running node sees all that run and no others.
    pub fn agrees(&self) -> bool {
        self.running().all(|viewer| {
            (0..self.nodes.len()).all(|node| {
                let same_name = self.nodes[node].record.name == self.nodes[viewer].record.name;
                let runs = self.nodes[node].state == NodeState::Running;
                let elsewhere = self.nodes[node].record.region != self.nodes[viewer].record.region;
                let renewed = self.nodes[node + 1..].iter().any(|later| {
                    later.record.name == self.nodes[node].record.name
                        && later.state == NodeState::Running
                });
                same_name || elsewhere || renewed || self.sees(viewer, node) == runs
            })
        })
    }

    /// Returns how often a running node counted another as gone.
    pub fn deaths(&self) -> usize {
        let news = self.nodes.iter().flat_map(|node| &node.news);
        news.filter(|news| matches!(news.action, member::MemberAction::Gone { .. }))
            .count()
    }

    fn ends(&self, from: usize, to: usize) -> (net::SocketAddr, net::SocketAddr) {
        (self.nodes[from].record.peers, self.nodes[to].record.peers)
    }

    fn deliver(&mut self) {
        let now = time::Instant::now();
        loop {
            let next = {
                let mut state = self.wire.lock();
                match state.flying.peek() {
                    Some(first) if first.0.due <= now => state.flying.pop(),
                    _ => None,
                }
            };
            let Some(std::cmp::Reverse(message)) = next else {
                return;
            };
            let place = self
                .nodes
                .iter()
                .rposition(|node| node.record.peers == message.to && node.state != NodeState::Dead);
            let Some(place) = place else { continue };
            match self.nodes[place].state {
                NodeState::Frozen => self.nodes[place].waiting.push(message.bytes),
                NodeState::Running | NodeState::Dead => self.hear(place, &message.bytes),
            }
        }
    }

    fn hear(&mut self, node: usize, bytes: &[u8]) {
        let node = &mut self.nodes[node];
        // What cannot be opened is dropped, as the live node does.
        let _ = node.post.receive(bytes);
        node.news.append(&mut node.heard.take());
    }
}

/// Hands messages to the membership and keeps what it decides.
struct HeardNews {
    driver: sync::Arc<member::MemberDriver>,
    news: sync::Mutex<Vec<NodeNews>>,
}

impl HeardNews {
    fn take(&self) -> Vec<NodeNews> {
        let mut news = self
            .news
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        std::mem::take(&mut *news)
    }
}

impl peer::MessageHandler for HeardNews {
    fn handle(&self, sender: &str, body: &[u8]) {
        let at = time::Instant::now();
        let decided = self.driver.receive(sender, body, at);
        let decided = decided.into_iter().map(|action| NodeNews { at, action });
        self.news
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .extend(decided);
    }
}
