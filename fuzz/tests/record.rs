//! The record of marked requests against an oracle: at most one run, no false
//! "not run", and every outcome settled once the faults are over.

#![allow(clippy::unwrap_used)]

use std::collections;
use std::sync;
use std::time as std_time;

use arbutusfold::{event, platform, record};
use arbutusfold_fuzz::{fake, freeze, runner};
use async_trait::async_trait;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use tokio::{task, time};

const NODES: usize = 3;
const KEYS: usize = 3;
const UPSTREAM_DEADLINE: std_time::Duration = std_time::Duration::from_secs(2);
const TRIP: std_time::Duration = std_time::Duration::from_millis(20);
const HOUR: std_time::Duration = std_time::Duration::from_secs(3_600);
const WALL_BASE_MS: u64 = 1_700_000_000_000;

/// What the upstreams do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamMode {
    Answer,
    RefuseConnection,
    LoseCall,
    LoseAnswer,
    Slow,
}

#[derive(Clone, Debug)]
enum Step {
    Send {
        node: usize,
        key: usize,
        body: usize,
    },
    Race {
        key: usize,
    },
    Advance {
        ms: u64,
    },
    Kill {
        node: usize,
    },
    Freeze {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    Weather {
        outage: bool,
        faults: u32,
    },
    Upstream(UpstreamMode),
    Retain {
        node: usize,
    },
    Sleep {
        node: usize,
        key: usize,
        after_ms: u64,
        refuse: bool,
        retain: bool,
    },
    Settle,
}

#[derive(Debug)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let key = 0..KEYS;
        let body = prop_oneof![9 => Just(0_usize), 1 => Just(1)];
        let mode = prop_oneof![
            Just(UpstreamMode::Answer),
            Just(UpstreamMode::RefuseConnection),
            Just(UpstreamMode::LoseCall),
            Just(UpstreamMode::LoseAnswer),
            Just(UpstreamMode::Slow),
        ];
        let pause = prop_oneof![
            Just(1_u64),
            Just(12),
            Just(25),
            Just(400),
            Just(2_000),
            Just(4_000)
        ];
        prop_oneof![
            32 => (node.clone(), key.clone(), body)
                .prop_map(|(node, key, body)| Step::Send { node, key, body }),
            12 => key.prop_map(|key| Step::Race { key }),
            32 => pause.prop_map(|ms| Step::Advance { ms }),
            4 => node.clone().prop_map(|node| Step::Kill { node }),
            12 => node.clone().prop_map(|node| Step::Freeze { node }),
            12 => node.clone().prop_map(|node| Step::Thaw { node }),
            8 => (any::<bool>(), 0_u32..80)
                .prop_map(|(outage, faults)| Step::Weather { outage, faults }),
            4 => Just(Step::Weather { outage: false, faults: 0 }),
            8 => mode.prop_map(Step::Upstream),
            1 => node.prop_map(|node| Step::Retain { node }),
            2 => (0..NODES, 0..KEYS, 0_u64..80, any::<bool>(), any::<bool>()).prop_map(
                |(node, key, after_ms, refuse, retain)| Step::Sleep {
                    node,
                    key,
                    after_ms,
                    refuse,
                    retain,
                }
            ),
            2 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

/// An attempt as the oracle sees it.
#[derive(Debug)]
struct Attempt {
    key: usize,
    body: usize,
    node: usize,
    received: time::Instant,
    ran: Option<(time::Instant, Vec<u8>)>,
    answer: Option<Result<Vec<u8>, record::KeyedError>>,
    dead: bool,
}

/// All that happened, seen from outside.
#[derive(Debug, Default)]
struct Oracle {
    attempts: Vec<Attempt>,
    /// Keys of which the outcome may stay unknown: a host died or a call was lost.
    excused: collections::BTreeSet<usize>,
    ran_twice: Option<usize>,
}

impl Oracle {
    fn run(&mut self, index: usize) -> Vec<u8> {
        let attempt = &mut self.attempts[index];
        if attempt.ran.is_some() {
            self.ran_twice = Some(index);
        }
        // Bytes that are not text must come back as they are.
        let answer = vec![0xff, 0x00, index as u8, (index >> 8) as u8];
        attempt.ran = Some((time::Instant::now(), answer.clone()));
        answer
    }

    fn check(&self) {
        assert_eq!(self.ran_twice, None, "double run of one attempt");
        for (index, attempt) in self.attempts.iter().enumerate() {
            let others = self
                .attempts
                .iter()
                .filter(|other| other.key == attempt.key);
            let runs: Vec<_> = others
                .filter_map(|other| other.ran.as_ref().map(|ran| (other, ran)))
                .collect();
            if let Some((at, _)) = &attempt.ran {
                let near = runs.iter().filter(|(_, (other, _))| {
                    at.max(other).duration_since(*at.min(other)) < record::RETENTION - HOUR
                });
                assert_eq!(near.count(), 1, "double run of key {}", attempt.key);
            }
            match &attempt.answer {
                Some(Err(record::KeyedError::NotRun { .. })) => {
                    assert!(attempt.ran.is_none(), "false not run of attempt {index}");
                    let (received, key) = (attempt.received, attempt.key);
                    for (other, (at, _)) in &runs {
                        let before = *at < received
                            && received.duration_since(*at) < record::RETENTION - HOUR;
                        let stale =
                            other.received + record::DISPATCH_WINDOW < received && *at >= received;
                        assert!(!before && !stale, "false not run of key {key}");
                    }
                }
                Some(Err(record::KeyedError::Reused)) => {
                    assert!(attempt.ran.is_none(), "attempt {index} ran after all");
                }
                Some(Ok(answer)) => {
                    let first = runs.iter().find(|(_, (_, given))| given == answer);
                    let (first, _) = first.expect("an answer that nobody gave");
                    assert_eq!(first.body, attempt.body, "answer of another call");
                }
                Some(Err(_)) | None => {}
            }
        }
    }
}

type SharedOracle = sync::Arc<sync::Mutex<Oracle>>;

struct Dispatch {
    oracle: SharedOracle,
    mode: sync::Arc<sync::Mutex<UpstreamMode>>,
    index: usize,
}

#[async_trait]
impl record::CallDispatch for Dispatch {
    async fn dispatch(&self, _: usize) -> Result<record::RecordedAnswer, record::DispatchError> {
        let lost = || record::DispatchError::Lost {
            reason: "lost".to_owned(),
        };
        time::sleep(std_time::Duration::from_millis(2)).await;
        let mode = *self.mode.lock().unwrap();
        let delay = match mode {
            UpstreamMode::RefuseConnection => {
                return Err(record::DispatchError::NotSent {
                    reason: "connection refused".to_owned(),
                });
            }
            UpstreamMode::Slow => 1_500,
            _ => 5,
        };
        if matches!(mode, UpstreamMode::LoseCall | UpstreamMode::LoseAnswer) {
            let mut oracle = self.oracle.lock().unwrap();
            let key = oracle.attempts[self.index].key;
            oracle.excused.insert(key);
        }
        // Once sent, the call goes on whatever becomes of the host.
        let (oracle, index) = (sync::Arc::clone(&self.oracle), self.index);
        let run = tokio::spawn(async move {
            time::sleep(std_time::Duration::from_millis(delay)).await;
            let sent = mode != UpstreamMode::LoseCall;
            sent.then(|| oracle.lock().unwrap().run(index))
        });
        let body = run.await.unwrap().ok_or_else(lost)?;
        match mode {
            UpstreamMode::LoseAnswer => Err(lost()),
            _ => Ok(record::RecordedAnswer {
                status: 200,
                content_type: "application/octet-stream".to_owned(),
                body,
            }),
        }
    }
}

struct Node {
    keeper: sync::Arc<record::RecordKeeper>,
    switch: freeze::FreezeSwitch,
    tasks: task::JoinSet<()>,
}

struct World {
    runtime: tokio::runtime::Runtime,
    table: fake::FakeTable,
    oracle: SharedOracle,
    mode: sync::Arc<sync::Mutex<UpstreamMode>>,
    nodes: Vec<Node>,
    begun: time::Instant,
}

impl World {
    fn new(seed: u64) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let guard = runtime.enter();
        let table = fake::FakeTable::new(seed, TRIP);
        let begun = time::Instant::now();
        let nodes = (0..NODES).map(|_| start_node(&table, begun)).collect();
        drop(guard);
        Self {
            table,
            nodes,
            begun,
            oracle: SharedOracle::default(),
            mode: sync::Arc::new(sync::Mutex::new(UpstreamMode::Answer)),
            runtime,
        }
    }

    fn advance(&self, by: std_time::Duration) {
        self.runtime.block_on(async { time::sleep(by).await });
    }

    fn wall_ms(&self) -> u64 {
        let _guard = self.runtime.enter();
        WALL_BASE_MS + self.begun.elapsed().as_millis() as u64
    }

    fn send(&mut self, node: usize, key: usize, body: usize) -> usize {
        let _guard = self.runtime.enter();
        let received = time::Instant::now();
        let index = {
            let mut oracle = self.oracle.lock().unwrap();
            oracle.attempts.push(Attempt {
                key,
                body,
                node,
                received,
                ran: None,
                answer: None,
                dead: false,
            });
            oracle.attempts.len() - 1
        };
        let node = &mut self.nodes[node];
        let keeper = sync::Arc::clone(&node.keeper);
        let dispatcher = Dispatch {
            oracle: sync::Arc::clone(&self.oracle),
            mode: sync::Arc::clone(&self.mode),
            index,
        };
        let attempt = async move {
            let call = record::KeyedCall {
                key: record_key(key),
                digest: format!("body-{body}"),
                received,
                upstream_count: 2,
                timeout: UPSTREAM_DEADLINE,
                dispatcher: &dispatcher,
            };
            let answer = record::run_keyed(&keeper, &call).await;
            let answer = answer.map(|answer| answer.body);
            dispatcher.oracle.lock().unwrap().attempts[index].answer = Some(answer);
        };
        node.tasks.spawn(node.switch.wrap(attempt));
        index
    }

    fn kill(&mut self, place: usize) {
        let fresh = {
            let _guard = self.runtime.enter();
            start_node(&self.table, self.begun)
        };
        let killed = std::mem::replace(&mut self.nodes[place], fresh);
        let unsettled = killed.keeper.unsettled() > 0;
        let mut oracle = self.oracle.lock().unwrap();
        let oracle = &mut *oracle;
        let attempts = oracle.attempts.iter_mut();
        for attempt in attempts.filter(|attempt| attempt.node == place) {
            let in_flight = attempt.answer.is_none() && !attempt.dead;
            attempt.dead |= in_flight;
            if in_flight || unsettled {
                oracle.excused.insert(attempt.key);
            }
        }
    }

    /// Wakes a host; a call that it slept past the deadline stays unknown.
    fn thaw(&mut self, place: usize) {
        if !self.nodes[place].switch.is_frozen() {
            return;
        }
        let _guard = self.runtime.enter();
        let mut oracle = self.oracle.lock().unwrap();
        let oracle = &mut *oracle;
        for attempt in &oracle.attempts {
            let in_flight = attempt.node == place && attempt.answer.is_none() && !attempt.dead;
            if in_flight && attempt.received.elapsed() >= UPSTREAM_DEADLINE {
                oracle.excused.insert(attempt.key);
            }
        }
        self.nodes[place].switch.set(false);
    }

    /// Ends every fault and asks for each key once more.
    fn settle(&mut self) {
        self.table.set_weather(fake::TableWeather::default());
        *self.mode.lock().unwrap() = UpstreamMode::Answer;
        (0..NODES).for_each(|node| self.thaw(node));
        self.advance(std_time::Duration::from_secs(40));
        {
            let oracle = self.oracle.lock().unwrap();
            let silent = oracle
                .attempts
                .iter()
                .position(|attempt| attempt.answer.is_none() && !attempt.dead);
            assert_eq!(silent, None, "an attempt without an answer");
        }
        let asked: Vec<_> = (0..KEYS)
            .map(|key| self.send(key % NODES, key, 0))
            .collect();
        self.advance(std_time::Duration::from_secs(1));
        let oracle = self.oracle.lock().unwrap();
        for index in asked {
            let attempt = &oracle.attempts[index];
            let settled = matches!(
                attempt.answer,
                Some(Ok(_)) | Some(Err(record::KeyedError::Reused))
            );
            assert!(
                settled || oracle.excused.contains(&attempt.key),
                "key {} is not settled: {:?}",
                attempt.key,
                attempt.answer
            );
        }
    }

    /// Pauses a host in the middle of a request that is sent again elsewhere.
    fn sleep(&mut self, place: usize, key: usize, after_ms: u64, refuse: bool, retain: bool) {
        let other = (place + 1) % NODES;
        self.thaw(place);
        self.thaw(other);
        self.send(place, key, 0);
        self.advance(std_time::Duration::from_millis(after_ms));
        self.nodes[place].switch.set(true);
        if retain {
            self.retain(other);
        } else {
            self.advance(record::DISPATCH_WINDOW * 2);
        }
        if refuse {
            *self.mode.lock().unwrap() = UpstreamMode::RefuseConnection;
        }
        self.send(other, key, 0);
        self.advance(std_time::Duration::from_millis(500));
        *self.mode.lock().unwrap() = UpstreamMode::Answer;
        self.thaw(place);
        self.advance(std_time::Duration::from_millis(500));
    }

    /// Excuses what an outage or a pause keeps from being settled.
    fn excuse_unsettled(&mut self) {
        let mut oracle = self.oracle.lock().unwrap();
        let oracle = &mut *oracle;
        for attempt in &oracle.attempts {
            let in_flight = attempt.answer.is_none() && !attempt.dead;
            if in_flight || self.nodes[attempt.node].keeper.unsettled() > 0 {
                oracle.excused.insert(attempt.key);
            }
        }
    }

    /// Lets the time of all rows pass and removes them.
    fn retain(&mut self, node: usize) {
        self.advance(std_time::Duration::from_secs(10));
        self.excuse_unsettled();
        // Retries over a day of outage would only cost time.
        self.table.set_weather(fake::TableWeather::default());
        self.advance(record::RETENTION + HOUR);
        let keeper = sync::Arc::clone(&self.nodes[node].keeper);
        let now_ms = self.wall_ms();
        // A sweep that failed goes on with the next one.
        let _ = self.runtime.block_on(async { keeper.sweep(now_ms).await });
    }
}

fn start_node(table: &fake::FakeTable, begun: time::Instant) -> Node {
    let clock = move || WALL_BASE_MS + begun.elapsed().as_millis() as u64;
    let table: sync::Arc<dyn platform::TableClient> = sync::Arc::new(table.clone());
    let keeper = sync::Arc::new(record::RecordKeeper::with_clock(
        table,
        sync::Arc::new(event::EventRecorder::silent()),
        "entry".to_owned(),
        sync::Arc::new(clock),
    ));
    keeper.set_nodes(NODES);
    let switch = freeze::FreezeSwitch::default();
    let mut tasks = task::JoinSet::new();
    let looped = sync::Arc::clone(&keeper);
    tasks.spawn(switch.wrap(async move { looped.run().await }));
    Node {
        keeper,
        switch,
        tasks,
    }
}

fn record_key(key: usize) -> record::RecordKey {
    record::RecordKey {
        organisation: "novia-lima".to_owned(),
        service: "booking".to_owned(),
        idempotency: format!("deposit-{key}"),
    }
}

struct RecordTest;

impl StateMachineTest for RecordTest {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        match step {
            Step::Send { node, key, body } => {
                world.send(node, key, body);
            }
            Step::Race { key } => {
                for node in 0..NODES {
                    world.send(node, key, 0);
                }
            }
            Step::Advance { ms } => world.advance(std_time::Duration::from_millis(ms)),
            Step::Kill { node } => world.kill(node),
            Step::Freeze { node } => world.nodes[node].switch.set(true),
            Step::Thaw { node } => world.thaw(node),
            Step::Weather { outage, faults } => {
                world
                    .table
                    .set_weather(fake::TableWeather { outage, faults });
            }
            Step::Upstream(mode) => *world.mode.lock().unwrap() = mode,
            Step::Retain { node } => world.retain(node),
            Step::Sleep {
                node,
                key,
                after_ms,
                refuse,
                retain,
            } => world.sleep(node, key, after_ms, refuse, retain),
            Step::Settle => world.settle(),
        }
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        world.oracle.lock().unwrap().check();
    }

    fn teardown(mut world: World, _: u64) {
        world.settle();
        world.oracle.lock().unwrap().check();
    }
}

#[test]
fn marked_requests_run_at_most_once() {
    let plan = runner::FuzzPlan {
        seed: 5,
        cases: 1_200,
        steps: 50,
    };
    let steps = runner::run::<RecordTest>(plan);
    println!("record: {steps} steps");
}
