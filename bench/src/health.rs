//! Health of upstreams at several sizes: traffic, processor time, news.

use std::collections;
use std::time;

use arbutusfold::health::{
    HealthAction, HealthEvent, HealthMessage, HealthMonitor, PollOutcome, WatchedUpstream,
};
use arbutusfold::{member, peer, upstream};
use arbutusfold_fuzz::wire;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time as clock;

use crate::cost;
use crate::member::WIRE_OVERHEAD;
use crate::report::{FigureTarget, ScenarioReport};

/// Nodes of one region, with 2.5 upstreams each.
const SIZES: [usize; 4] = [25, 50, 100, 400];

/// Step of the clock.
const STEP: time::Duration = time::Duration::from_millis(100);

/// Steps in which the fleet settles.
const SETTLE_STEPS: usize = 100;

/// Steps over which traffic is counted.
const STEADY_STEPS: usize = 600;

/// Bytes of one asked report on the wire beside its JSON: HTTP/2 frames and
/// headers both ways, TCP and IP.
const ASK_OVERHEAD: f64 = 220.0;

/// Keepers, and messages between them.
struct HealthWorld {
    rng: rand_chacha::ChaCha8Rng,
    members: Vec<member::MemberRecord>,
    keepers: Vec<HealthMonitor>,
    reports: Vec<upstream::EngineReport>,
    specs: Vec<WatchedUpstream>,
    flying: Vec<(usize, usize, HealthMessage)>,
    asked: Vec<(usize, usize)>,
    shown_leaving: collections::BTreeSet<(usize, usize)>,
    signer: peer::MessageSigner,
    asks: u64,
    messages: u64,
    bytes: u64,
}

/// Measures the sharing of health.
///
/// # Errors
///
/// When the system does not tell processor time.
pub fn measure(seed: u64) -> anyhow::Result<ScenarioReport> {
    let mut report = ScenarioReport::new("health", seed);
    for size in SIZES {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()?;
        runtime.block_on(measure_size(&mut report, seed, size))?;
    }
    Ok(report)
}

async fn measure_size(report: &mut ScenarioReport, seed: u64, size: usize) -> anyhow::Result<()> {
    let upstreams = size * 5 / 2;
    let fleet = format!("{size} nodes, {upstreams} upstreams");
    let mut world = HealthWorld::new(seed, size, upstreams);
    world.run(SETTLE_STEPS).await;
    (world.asks, world.messages, world.bytes) = (0, 0, 0);
    let begun = cost::processor_time()?;
    world.run(STEADY_STEPS).await;
    let used = cost::processor_time()?.saturating_sub(begun);
    let per_node = size as f64 * STEP.as_secs_f64() * STEADY_STEPS as f64;
    let json = serde_json::to_vec(&world.reports[0])?.len() as f64;
    let asks = world.asks as f64 / per_node;
    let asked = asks * (json + ASK_OVERHEAD);
    let told = (world.bytes as f64 + (world.messages * WIRE_OVERHEAD) as f64) / per_node;
    report.add(
        &fleet,
        "steady",
        "reports asked a second and node",
        asks,
        None,
    );
    report.add(
        &fleet,
        "steady",
        "bytes a second and node, asking",
        asked,
        None,
    );
    report.add(
        &fleet,
        "steady",
        "bytes a second and node, telling",
        told,
        None,
    );
    let share = used.as_secs_f64() / per_node * 100.0;
    report.add(
        &fleet,
        "steady",
        "processor, % of a core a node, without HTTP",
        share,
        None,
    );

    let mut most = 0.0_f64;
    for upstream in 0..5 {
        let taken = world.leave(upstream).await;
        most = most.max(taken.as_secs_f64());
    }
    let target = Some(FigureTarget::AtMost(3.0));
    report.add(
        &fleet,
        "leaving",
        "most seconds until all know it",
        most,
        target,
    );
    Ok(())
}

impl HealthWorld {
    fn new(seed: u64, size: usize, upstreams: usize) -> Self {
        let now = clock::Instant::now();
        let mut members: Vec<_> = (0..size).map(record).collect();
        members.sort_by(|left, right| left.name.cmp(&right.name));
        let specs: Vec<_> = (0..upstreams)
            .map(|number| WatchedUpstream {
                name: format!("runner-{number:04}"),
                address: wire::caller_address(number),
                domain: format!("domain-{}", number % 12),
            })
            .collect();
        let reports = (0..upstreams).map(|_| engine_report()).collect();
        let keepers = members
            .iter()
            .map(|record| HealthMonitor::new(record.name.clone(), 1, now))
            .collect();
        let mut world = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            members,
            keepers,
            reports,
            specs,
            flying: Vec::new(),
            asked: Vec::new(),
            shown_leaving: collections::BTreeSet::new(),
            signer: peer::MessageSigner::new(vec![[3; 32]]),
            asks: 0,
            messages: 0,
            bytes: 0,
        };
        for node in 0..size {
            let members = HealthEvent::Members {
                members: world.members.clone(),
                remote_domains: Vec::new(),
            };
            world.give(node, members);
            let document = HealthEvent::Document(world.specs.clone());
            world.give(node, document);
        }
        world
    }

    async fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step().await;
        }
    }

    async fn step(&mut self) {
        clock::advance(STEP).await;
        // The load of each upstream changes about every other second.
        for report in &mut self.reports {
            if self.rng.random_bool(0.05) {
                report.running = self.rng.random_range(0..32);
            }
        }
        for (node, upstream) in std::mem::take(&mut self.asked) {
            let asked = HealthEvent::Polled {
                upstream: self.specs[upstream].name.clone(),
                outcome: PollOutcome::Report(Box::new(self.reports[upstream].clone())),
            };
            self.give(node, asked);
        }
        for (from, to, message) in std::mem::take(&mut self.flying) {
            let sender = self.members[from].name.clone();
            self.give(to, HealthEvent::Received { sender, message });
        }
        for node in 0..self.keepers.len() {
            self.give(node, HealthEvent::Tick);
        }
    }

    /// Lets an upstream leave and returns how long it takes until every node
    /// shows it as leaving.
    async fn leave(&mut self, upstream: usize) -> time::Duration {
        let begun = clock::Instant::now();
        self.reports[upstream].leaving = true;
        let all = self.keepers.len();
        let limit = begun + time::Duration::from_secs(20);
        while clock::Instant::now() < limit {
            let shown = self.shown_leaving.range((upstream, 0)..(upstream + 1, 0));
            if shown.count() == all {
                break;
            }
            self.step().await;
        }
        begun.elapsed()
    }

    fn give(&mut self, node: usize, event: HealthEvent) {
        let now = clock::Instant::now();
        let actions = self.keepers[node].handle(event, now, &mut self.rng);
        for action in actions {
            match action {
                HealthAction::Poll { upstream, .. } => {
                    self.asks += 1;
                    let place = self
                        .specs
                        .binary_search_by(|spec| spec.name.cmp(&upstream))
                        .unwrap_or_default();
                    self.asked.push((node, place));
                }
                HealthAction::SendRandom { peers, message } => {
                    let others: Vec<_> = (0..self.keepers.len()).filter(|to| *to != node).collect();
                    let chosen: Vec<_> = others.sample(&mut self.rng, peers).copied().collect();
                    for to in chosen {
                        self.send(node, to, message.clone());
                    }
                }
                HealthAction::Reply { to, message } => {
                    let place = self.members.iter().position(|record| record.name == to);
                    self.send(node, place.unwrap_or_default(), message);
                }
                HealthAction::SendRegions(_) => {}
                HealthAction::UpdateRoutes {
                    upstream, report, ..
                } => {
                    if report.is_some_and(|report| report.leaving) {
                        let place = self
                            .specs
                            .binary_search_by(|spec| spec.name.cmp(&upstream))
                            .unwrap_or_default();
                        self.shown_leaving.insert((place, node));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: HealthMessage) {
        self.messages += 1;
        let envelope = peer::PeerEnvelope {
            kind: peer::MessageKind::Health.number(),
            sender: self.members[from].name.clone(),
            incarnation: 1_700_000_000_000_000,
            receiver: 1_700_000_000_000_000,
            sequence: self.messages,
            broadcast: None,
            body: postcard::to_stdvec(&message).unwrap_or_default(),
        };
        let address = self.members[to].peers;
        let sealed = self.signer.sign(address, &envelope).unwrap_or_default();
        self.bytes += sealed.len() as u64;
        if self.signer.verify(address, &sealed).is_ok() {
            self.flying.push((from, to, message));
        }
    }
}

fn record(number: usize) -> member::MemberRecord {
    member::MemberRecord {
        name: format!("entry-{number:03}"),
        incarnation: 1,
        revision: 1,
        region: "region".to_owned(),
        domain: format!("domain-{}", number % 12),
        callers: wire::caller_address(number),
        peers: wire::peer_address(number),
        version: 0,
        phase: member::MemberPhase::Serving,
    }
}

fn engine_report() -> upstream::EngineReport {
    upstream::EngineReport {
        incarnation: 1_700_000_000_000_000,
        held: vec![upstream::HeldLayers {
            model: "assistant".to_owned(),
            version: "1".to_owned(),
            layers: upstream::LayerRange { from: 0, to: 20 },
        }],
        running: 0,
        waiting: 0,
        tokens_per_second: 2_600,
        leaving: false,
        fencing: 0,
        age_ms: 0,
    }
}
