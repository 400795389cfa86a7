//! Lease and orders against an oracle: one holder at a time, fencing numbers
//! that only grow, and engines that end where the last holder wants them.

#![allow(clippy::unwrap_used)]

use std::collections;
use std::sync;
use std::time as std_time;

use arbutusfold::{lease, order, repair, upstream};
use arbutusfold_fuzz::{fake, freeze, runner};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use tokio::{task, time};

const NODES: usize = 3;
const ENGINES: usize = 2;
const TRIP: std_time::Duration = std_time::Duration::from_millis(20);
const SLICE: std_time::Duration = std_time::Duration::from_millis(50);
const ORDER_WAIT: std_time::Duration = std_time::Duration::from_millis(1_500);
const RECOVERY: std_time::Duration = lease::LEASE_DURATION.saturating_mul(3);

#[derive(Clone, Debug)]
enum Step {
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
    /// Orders take so long, and are lost or arrive late with this chance.
    Network {
        delay_ms: u64,
        late: u32,
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
        prop_oneof![
            12 => prop_oneof![Just(50_u64), Just(450), Just(1_000), Just(2_400), Just(4_000)]
                .prop_map(|ms| Step::Advance { ms }),
            1 => node.clone().prop_map(|node| Step::Kill { node }),
            4 => node.clone().prop_map(|node| Step::Freeze { node }),
            4 => node.prop_map(|node| Step::Thaw { node }),
            2 => (prop::bool::weighted(0.3), 0_u32..60)
                .prop_map(|(outage, faults)| Step::Weather { outage, faults }),
            1 => Just(Step::Weather { outage: false, faults: 0 }),
            2 => (0_u64..9_000, 0_u32..80)
                .prop_map(|(delay_ms, late)| Step::Network { delay_ms, late }),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

/// An engine that takes orders; the first one checks the fencing number.
#[derive(Debug, Default)]
struct Engine {
    checks: bool,
    held: Vec<upstream::HeldLayers>,
    highest: u64,
    under_way: u32,
}

#[derive(Debug, Default)]
struct Shared {
    engines: Vec<Engine>,
    delay: std_time::Duration,
    late: u32,
    sent: u64,
    /// What broke a promise; the first one is reported.
    broken: Option<&'static str>,
}

impl Shared {
    fn arrive(&mut self, engine: usize, order: order::EngineOrder) -> bool {
        let engine = &mut self.engines[engine];
        engine.under_way -= 1;
        if order.fencing < engine.highest {
            if !engine.checks {
                self.broken = Some("an old order reached an engine that does not check");
            }
            return false;
        }
        engine.highest = order.fencing;
        engine.held = order.target.held;
        true
    }
}

type SharedState = sync::Arc<sync::Mutex<Shared>>;
type SharedMachine = sync::Arc<sync::Mutex<lease::LeaseMachine>>;

struct Node {
    machine: SharedMachine,
    switch: freeze::FreezeSwitch,
    _tasks: task::JoinSet<()>,
}

struct World {
    runtime: tokio::runtime::Runtime,
    table: fake::FakeTable,
    shared: SharedState,
    nodes: Vec<Node>,
    holders: sync::Mutex<collections::BTreeMap<u64, u64>>,
    started: u64,
}

fn engine_name(engine: usize) -> String {
    format!("runner-{engine}")
}

/// The target that the holder with this fencing number wants.
fn wanted(fencing: u64) -> order::EngineTarget {
    order::EngineTarget {
        held: vec![upstream::HeldLayers {
            model: "assistant".to_owned(),
            version: "1".to_owned(),
            layers: upstream::LayerRange {
                from: 0,
                to: u32::try_from(fencing % 97).unwrap() + 1,
            },
        }],
        role: order::EngineRole::Mixed,
    }
}

fn ordered_upstreams(shared: &Shared) -> Vec<order::ReportedUpstream> {
    let engines = shared.engines.iter().enumerate();
    engines
        .map(|(place, engine)| order::ReportedUpstream {
            name: engine_name(place),
            checks_fencing: engine.checks,
            held: engine.held.clone(),
        })
        .collect()
}

/// One node: beats for the lease and orders while it holds it.
async fn run_node(table: fake::FakeTable, machine: SharedMachine, shared: SharedState) {
    let mut orders = order::OrderTracker::default();
    let mut ticks = time::interval(lease::LEASE_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let mut copy = machine.lock().unwrap().clone();
        repair::poll_lease(&table, &mut copy).await;
        *machine.lock().unwrap() = copy.clone();
        let now = time::Instant::now();
        let Some(held) = copy.held(now) else { continue };
        let upstreams = ordered_upstreams(&shared.lock().unwrap());
        // The first look at a new lease clears what was intended before it.
        let mut actions = orders.due_orders(held, &upstreams, now);
        for upstream in &upstreams {
            orders.set_target(&upstream.name, wanted(held.fencing));
        }
        actions.extend(orders.due_orders(held, &upstreams, now));
        for action in actions {
            let outcome = send(&table, &copy, held, &action, &shared).await;
            orders.record_outcome(&action, outcome, time::Instant::now());
        }
    }
}

async fn send(
    table: &fake::FakeTable,
    machine: &lease::LeaseMachine,
    held: lease::HeldLease,
    action: &order::OrderAction,
    shared: &SharedState,
) -> order::OrderOutcome {
    let may_send = match action.recheck_lease {
        true => repair::still_holds(table, machine, held).await,
        false => machine.held(time::Instant::now()).is_some(),
    };
    if !may_send {
        return order::OrderOutcome::Refused;
    }
    let engine = (0..ENGINES)
        .find(|engine| engine_name(*engine) == action.upstream)
        .unwrap();
    let delay = {
        let mut shared = shared.lock().unwrap();
        shared.sent += 1;
        let delay = match shared.sent.wrapping_mul(37) % 100 < u64::from(shared.late) {
            true => shared.delay,
            false => TRIP,
        };
        let known = &mut shared.engines[engine];
        known.under_way += 1;
        if known.under_way > 1 && !known.checks {
            shared.broken = Some("two orders under way to an engine that does not check");
        }
        delay
    };
    let order = action.order.clone();
    let arrived = sync::Arc::clone(shared);
    let trip = tokio::spawn(async move {
        time::sleep(delay).await;
        arrived.lock().unwrap().arrive(engine, order)
    });
    match time::timeout(ORDER_WAIT, trip).await {
        Ok(Ok(true)) => order::OrderOutcome::Accepted,
        Ok(_) => order::OrderOutcome::Refused,
        Err(_) => order::OrderOutcome::Unknown,
    }
}

impl World {
    fn new(seed: u64) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let engines = (0..ENGINES).map(|engine| Engine {
            checks: engine == 0,
            ..Engine::default()
        });
        let shared = Shared {
            engines: engines.collect(),
            ..Shared::default()
        };
        let mut world = Self {
            runtime,
            table: fake::FakeTable::new(seed, TRIP),
            shared: sync::Arc::new(sync::Mutex::new(shared)),
            nodes: Vec::new(),
            holders: sync::Mutex::default(),
            started: 0,
        };
        for place in 0..NODES {
            let node = world.start_node(place);
            world.nodes.push(node);
        }
        world
    }

    fn start_node(&mut self, place: usize) -> Node {
        let _guard = self.runtime.enter();
        self.started += 1;
        let machine = lease::LeaseMachine::new(format!("entry-{place}"), self.started);
        let machine = sync::Arc::new(sync::Mutex::new(machine));
        let switch = freeze::FreezeSwitch::default();
        let mut tasks = task::JoinSet::new();
        tasks.spawn(switch.wrap(run_node(
            self.table.clone(),
            sync::Arc::clone(&machine),
            sync::Arc::clone(&self.shared),
        )));
        Node {
            machine,
            switch,
            _tasks: tasks,
        }
    }

    fn holders(&self) -> Vec<(usize, lease::HeldLease)> {
        let _guard = self.runtime.enter();
        let now = time::Instant::now();
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter_map(|(place, node)| Some((place, node.machine.lock().unwrap().held(now)?)))
            .collect()
    }

    fn check(&self) {
        // A paused host counts too: it acts as soon as it wakes.
        let holders = self.holders();
        assert!(holders.len() <= 1, "two holders: {holders:?}");
        for (place, held) in holders {
            let mut known = self.holders.lock().unwrap();
            let owner = *known.entry(held.fencing).or_insert(place as u64);
            assert_eq!(owner, place as u64, "one fencing number for two holders");
            let last = *known.last_key_value().unwrap().0;
            assert_eq!(last, held.fencing, "a fencing number that went back");
        }
        if let Some(broken) = self.shared.lock().unwrap().broken {
            panic!("{broken}");
        }
    }

    /// Lets time pass and checks at each slice of it.
    fn advance(&self, by: std_time::Duration) {
        let mut left = by;
        while !left.is_zero() {
            let slice = left.min(SLICE);
            self.runtime.block_on(async { time::sleep(slice).await });
            self.check();
            left -= slice;
        }
    }

    fn settle(&mut self) {
        self.table.set_weather(fake::TableWeather::default());
        {
            let mut shared = self.shared.lock().unwrap();
            shared.late = 0;
        }
        self.nodes.iter().for_each(|node| node.switch.set(false));
        self.advance(RECOVERY);
        assert_eq!(self.holders().len(), 1, "no holder after three periods");
        self.advance(order::ORDER_LIFETIME * 2 + ORDER_WAIT);
        let fencing = self.holders()[0].1.fencing;
        let shared = self.shared.lock().unwrap();
        for engine in &shared.engines {
            let target = wanted(fencing).held;
            assert_eq!(engine.held, target, "an engine is not where it should be");
        }
    }
}

struct LeaseTest;

impl StateMachineTest for LeaseTest {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        match step {
            Step::Advance { ms } => world.advance(std_time::Duration::from_millis(ms)),
            Step::Kill { node } => {
                let fresh = world.start_node(node);
                world.nodes[node] = fresh;
            }
            Step::Freeze { node } => world.nodes[node].switch.set(true),
            Step::Thaw { node } => world.nodes[node].switch.set(false),
            Step::Weather { outage, faults } => {
                world
                    .table
                    .set_weather(fake::TableWeather { outage, faults });
            }
            Step::Network { delay_ms, late } => {
                let mut shared = world.shared.lock().unwrap();
                shared.delay = std_time::Duration::from_millis(delay_ms);
                shared.late = late;
            }
            Step::Settle => world.settle(),
        }
        world
    }

    fn check_invariants(world: &World, _: &u64) {
        world.check();
    }

    fn teardown(mut world: World, _: u64) {
        world.settle();
    }
}

#[test]
fn lease_has_one_holder_and_orders_never_go_back() {
    let plan = runner::FuzzPlan {
        seed: 6,
        cases: 600,
        steps: 50,
    };
    let steps = runner::run::<LeaseTest>(plan);
    println!("lease and orders: {steps} steps");
}
