//! Configuration against an oracle: never back, one winner, accepted is in force.

#![allow(clippy::unwrap_used)]

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::{config, document, event, platform};
use arbutusfold_fuzz::{fake, freeze, runner};
use arbutusfold_standin::platform as standin;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::{RngExt, SeedableRng};
use tokio::{runtime, task, time};

const NODES: usize = 4;

/// What submissions were told over all cases, to show that the steps bite.
static ACCEPTED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
static CONFLICTS: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
static NOT_ACCEPTED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
static UNKNOWN: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Time of one look at what nodes have to say to each other.
const SLICE: std_time::Duration = std_time::Duration::from_millis(50);

/// Calm after which every node that hears a holder must hold the document.
const CALM: std_time::Duration = std_time::Duration::from_secs(5);

/// Messages between nodes in a hundred that are lost.
const LOST_MESSAGES: u32 = 5;

#[derive(Clone, Debug)]
enum Step {
    Submit { node: usize, stale: bool },
    Race { left: usize, right: usize },
    FailAfterAcceptance(usize),
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize),
    Join(usize),
    Weather { outage: bool, faults: u32 },
    Spoil { whole: bool },
    Restore,
    Wait(u64),
    Calm,
}

/// Any step may follow any other, so the choice of steps needs no model.
#[derive(Clone, Debug)]
struct ConfigReference;

impl ReferenceStateMachine for ConfigReference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        prop_oneof![
            12 => (node.clone(), prop::bool::weighted(0.15))
                .prop_map(|(node, stale)| Step::Submit { node, stale }),
            6 => (node.clone(), node.clone()).prop_map(|(left, right)| Step::Race { left, right }),
            4 => node.clone().prop_map(Step::FailAfterAcceptance),
            3 => node.clone().prop_map(Step::Kill),
            6 => node.clone().prop_map(Step::Start),
            3 => node.clone().prop_map(Step::Freeze),
            6 => node.clone().prop_map(Step::Thaw),
            2 => node.clone().prop_map(Step::Cut),
            4 => node.prop_map(Step::Join),
            8 => (prop::bool::weighted(0.3), prop::sample::select(vec![0_u32, 0, 20, 60]))
                .prop_map(|(outage, faults)| Step::Weather { outage, faults }),
            1 => any::<bool>().prop_map(|whole| Step::Spoil { whole }),
            1 => Just(Step::Restore),
            10 => (20_u64..2_000).prop_map(Step::Wait),
            4 => Just(Step::Calm),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// What a submission was told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Verdict {
    Open,
    Accepted(u64),
    Refused,
}

/// Verdicts by the digest of the submitted text, which is never the same twice.
type Verdicts = sync::Arc<sync::Mutex<collections::BTreeMap<String, Verdict>>>;

struct FuzzNode {
    keeper: sync::Arc<config::ConfigManager>,
    switch: freeze::FreezeSwitch,
    tasks: Vec<task::JoinHandle<()>>,
    cut: bool,
    highest: u64,
}

impl Drop for FuzzNode {
    fn drop(&mut self) {
        self.tasks.iter().for_each(task::JoinHandle::abort);
    }
}

struct ConfigWorld {
    runtime: runtime::Runtime,
    table: fake::FakeTable,
    backup: standin::TableStore,
    nodes: Vec<Option<FuzzNode>>,
    verdicts: Verdicts,
    /// Digest of the document of each version, which never changes.
    digests: collections::BTreeMap<u64, String>,
    random: rand_chacha::ChaCha8Rng,
    texts: u64,
    restored: bool,
}

impl ConfigWorld {
    fn new() -> Self {
        let runtime = runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let mut world = Self {
            table: fake::FakeTable::new(7, std_time::Duration::from_millis(10)),
            backup: standin::TableStore::default(),
            nodes: Vec::new(),
            verdicts: Verdicts::default(),
            digests: collections::BTreeMap::new(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(11),
            texts: 0,
            restored: false,
            runtime,
        };
        world.nodes = (0..NODES).map(|index| Some(world.start(index))).collect();
        world
    }

    fn start(&self, index: usize) -> FuzzNode {
        let recorder = sync::Arc::new(event::EventRecorder::silent());
        let table: sync::Arc<dyn platform::TableClient> = sync::Arc::new(self.table.clone());
        let keeper = config::ConfigManager::new(table, recorder, name_of(index));
        let keeper = sync::Arc::new(keeper);
        let switch = freeze::FreezeSwitch::default();
        let looking = sync::Arc::clone(&keeper);
        let look = switch.wrap(async move {
            loop {
                let _ = looking.refresh().await;
                time::sleep(std_time::Duration::from_millis(500)).await;
            }
        });
        FuzzNode {
            keeper,
            tasks: vec![self.runtime.spawn(look)],
            switch,
            cut: false,
            highest: 0,
        }
    }

    fn running(&self, index: usize) -> Option<&FuzzNode> {
        let node = self.nodes[index].as_ref()?;
        (!node.switch.is_frozen()).then_some(node)
    }

    fn connected(&self, index: usize) -> Option<&FuzzNode> {
        self.running(index).filter(|node| !node.cut)
    }

    fn head(&self) -> Option<config::ConfigHead> {
        let row = self.table.peek("config", "head")?;
        serde_json::from_value(row.value).ok()
    }

    fn fresh_text(&mut self) -> String {
        self.texts += 1;
        let organisations: Vec<_> = (0..24)
            .map(|index| {
                let digest = document::digest_key(&format!("{index}-{}", self.texts));
                serde_json::json!({"name": format!("organisation-{index}"), "key_digests": [digest]})
            })
            .collect();
        serde_json::json!({
            "models": [], "pipelines": [], "upstreams": [], "organisations": organisations,
        })
        .to_string()
    }

    fn submit(&mut self, index: usize, stale: bool, then_fail: bool) {
        let text = self.fresh_text();
        let head = self.head().map_or(0, |head| head.version);
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        let base = head.max(node.keeper.version());
        let base = base.saturating_sub(u64::from(stale));
        let digest = document::digest_key(&text);
        let verdicts = sync::Arc::clone(&self.verdicts);
        verdicts
            .lock()
            .unwrap()
            .insert(digest.clone(), Verdict::Open);
        let keeper = sync::Arc::clone(&node.keeper);
        let table = self.table.clone();
        let work = node.switch.wrap(async move {
            let verdict = match keeper.submit(base, "operator", text).await {
                Ok(version) => {
                    count(&ACCEPTED);
                    if then_fail {
                        table.set_weather(fake::TableWeather {
                            outage: true,
                            faults: 0,
                        });
                    }
                    Verdict::Accepted(version)
                }
                Err(config::ConfigError::Unknown { .. }) => {
                    count(&UNKNOWN);
                    Verdict::Open
                }
                Err(config::ConfigError::Conflict(_)) => {
                    count(&CONFLICTS);
                    Verdict::Refused
                }
                Err(config::ConfigError::NotAccepted(_)) => {
                    count(&NOT_ACCEPTED);
                    Verdict::Refused
                }
                Err(error) => panic!("{error}"),
            };
            verdicts.lock().unwrap().insert(digest, verdict);
        });
        node.tasks.push(self.runtime.spawn(work));
    }

    /// Writes a document that does not hold or has another digest, as a faulty tool might.
    fn spoil(&mut self, whole: bool) {
        let Some(head) = self.head() else { return };
        let version = head.version + 1;
        let text = match whole {
            true => r#"{"models": 3}"#,
            false => r#"{"models": [], "pipelines": [], "upstreams": [], "organisations": []}"#,
        };
        let digest = document::digest_key(if whole { text } else { "another text" });
        let head = config::ConfigHead { version, digest };
        let write = |table: &str, key: String, value| platform::RowWrite {
            table: table.to_owned(),
            key,
            value: Some(value),
        };
        let key = format!("{version:020}");
        let transaction = platform::TableTransaction {
            checks: Vec::new(),
            writes: vec![
                write("config", "head".to_owned(), serde_json::json!(head)),
                write("config_documents", key, serde_json::json!(text)),
            ],
        };
        self.table.with_store(|store| store.commit(transaction));
    }

    fn advance(&mut self, span: std_time::Duration) {
        let end = self.now() + span;
        while self.now() < end {
            let slice = SLICE.min(end - self.now());
            self.runtime.block_on(async { time::sleep(slice).await });
            self.exchange();
            self.check();
        }
    }

    fn now(&self) -> time::Instant {
        self.runtime.block_on(async { time::Instant::now() })
    }

    /// Carries what nodes have to say to each other.
    fn exchange(&mut self) {
        let now = self.now();
        for index in 0..NODES {
            let Some(node) = self.running(index) else {
                continue;
            };
            let others = (0..NODES).filter(|other| *other != index && !node.cut);
            for other in others {
                if let Some(teller) = self.connected(other) {
                    let version = teller.keeper.version();
                    node.keeper.observe_version(&name_of(other), version, now);
                }
            }
            node.keeper.tick(now);
        }
        // An answer may bring questions; a document travels within few rounds.
        for _ in 0..64 {
            let posts: Vec<_> = (0..NODES).flat_map(|index| self.posts_of(index)).collect();
            if posts.is_empty() {
                return;
            }
            for post in posts {
                let lost = self.random.random_range(0..100) < LOST_MESSAGES;
                if let Some(node) = self.connected(post.to).filter(|_| !lost) {
                    node.keeper.receive(&name_of(post.from), &post.message, now);
                }
            }
        }
    }

    fn posts_of(&self, from: usize) -> Vec<CarriedPost> {
        let Some(node) = self.running(from) else {
            return Vec::new();
        };
        let posts = node.keeper.take_outbound();
        let posts = posts.into_iter().filter(|_| !node.cut);
        posts
            .flat_map(|post| {
                let wanted = post.to;
                let targets = (0..NODES)
                    .filter(move |to| wanted.as_ref().is_none_or(|name| *name == name_of(*to)));
                targets
                    .filter(|to| *to != from)
                    .map(|to| CarriedPost {
                        from,
                        to,
                        message: post.message.clone(),
                    })
                    .collect::<Vec<_>>()
            })
            .collect()
    }

    /// The oracle.
    fn check(&mut self) {
        let verdicts = self.verdicts.lock().unwrap().clone();
        for node in self.nodes.iter_mut().flatten() {
            let version = node.keeper.version();
            assert!(version >= node.highest, "reverted to {version}");
            node.highest = version;
        }
        // A store that was put back may give a number twice.
        if self.restored {
            return;
        }
        for node in self.nodes.iter().flatten() {
            let Some(held) = node.keeper.current() else {
                continue;
            };
            let verdict = verdicts.get(&held.digest);
            assert!(verdict.is_some(), "in force but never submitted");
            assert_ne!(verdict, Some(&Verdict::Refused), "refused but in force");
            let known = self
                .digests
                .entry(held.version)
                .or_insert(held.digest.clone());
            assert_eq!(*known, held.digest, "two documents of one version");
        }
        for (digest, verdict) in verdicts {
            if let Verdict::Accepted(version) = verdict {
                let known = self.digests.entry(version).or_insert(digest.clone());
                assert_eq!(*known, digest, "two winners of one version");
            }
        }
    }

    /// After a calm every node holds what a node that it hears held before.
    fn calm(&mut self) {
        let newest = self.heard().into_iter().max().unwrap_or(0);
        self.advance(CALM);
        let least = self.heard().into_iter().min().unwrap_or(newest);
        assert!(least >= newest, "{newest} accepted but {least} in force");
    }

    fn heard(&self) -> Vec<u64> {
        (0..NODES)
            .filter_map(|index| self.connected(index))
            .map(|node| node.keeper.version())
            .collect()
    }
}

struct CarriedPost {
    from: usize,
    to: usize,
    message: Vec<u8>,
}

fn count(counter: &atomic::AtomicUsize) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

fn name_of(index: usize) -> String {
    format!("entry-{index}")
}

struct ConfigFuzz;

impl StateMachineTest for ConfigFuzz {
    type SystemUnderTest = ConfigWorld;
    type Reference = ConfigReference;

    fn init_test((): &()) -> ConfigWorld {
        ConfigWorld::new()
    }

    fn apply(mut world: ConfigWorld, (): &(), step: Step) -> ConfigWorld {
        match step {
            Step::Submit { node, stale } => world.submit(node, stale, false),
            Step::Race { left, right } => {
                world.submit(left, false, false);
                world.submit(right, false, false);
            }
            Step::FailAfterAcceptance(node) => {
                world.submit(node, false, true);
                world.advance(std_time::Duration::from_millis(100));
                world.calm();
            }
            Step::Kill(node) => world.nodes[node] = None,
            Step::Start(node) => {
                if world.nodes[node].is_none() {
                    world.nodes[node] = Some(world.start(node));
                }
            }
            Step::Freeze(node) => set_frozen(&world, node, true),
            Step::Thaw(node) => set_frozen(&world, node, false),
            Step::Cut(node) => set_cut(&mut world, node, true),
            Step::Join(node) => set_cut(&mut world, node, false),
            Step::Weather { outage, faults } => {
                let weather = fake::TableWeather { outage, faults };
                world.table.set_weather(weather);
            }
            Step::Spoil { whole } => world.spoil(whole),
            Step::Restore => {
                let backup = world.backup.clone();
                let swap = |store: &mut _| std::mem::replace(store, backup);
                world.backup = world.table.with_store(swap);
                world.restored = true;
            }
            Step::Wait(span) => world.advance(std_time::Duration::from_millis(span)),
            Step::Calm => world.calm(),
        }
        world.advance(SLICE);
        world
    }
}

fn set_frozen(world: &ConfigWorld, node: usize, frozen: bool) {
    if let Some(node) = &world.nodes[node] {
        node.switch.set(frozen);
    }
}

fn set_cut(world: &mut ConfigWorld, node: usize, cut: bool) {
    if let Some(node) = &mut world.nodes[node] {
        node.cut = cut;
    }
}

#[test]
fn configuration_goes_forward_only() {
    let plan = runner::FuzzPlan {
        seed: 5,
        cases: 640,
        steps: 50,
    };
    let steps = runner::run::<ConfigFuzz>(plan);
    let told = [&ACCEPTED, &CONFLICTS, &NOT_ACCEPTED, &UNKNOWN]
        .map(|counter| counter.load(atomic::Ordering::Relaxed));
    println!("{steps} steps; accepted, conflicts, not accepted, unknown: {told:?}");
    assert!(told.iter().all(|told| *told > 0), "{told:?}");
    assert!(steps >= 30_000 || std::env::var("ARBUTUSFOLD_FUZZ_CASES").is_ok());
}
