//! Membership under random starts, deaths, pauses, cuts and loss, against an
//! oracle that knows what each host really does.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::member;
use arbutusfold_fuzz::wire;
use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Hosts that may run.
const HOSTS: usize = 9;

/// Time in which every change must be known once the wire is whole.
const KNOWN_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// Time in which hosts that were apart must have met again.
const MEET_LIMIT: time::Duration = time::Duration::from_secs(25);

const DELAY: time::Duration = time::Duration::from_millis(1);

/// What a host really does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    Absent,
    Running,
    Frozen,
}

/// What is done to the fleet.
#[derive(Clone, Debug)]
enum FleetStep {
    Start(usize),
    Kill(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize, usize),
    Mend,
    Loss(bool),
    Wait(u64),
    Settle,
}

/// The oracle.
#[derive(Clone, Debug)]
struct FleetOracle {
    hosts: [HostState; HOSTS],
    cut: bool,
}

impl ReferenceStateMachine for FleetOracle {
    type State = Self;
    type Transition = FleetStep;

    fn init_state() -> BoxedStrategy<Self> {
        let hosts = [HostState::Running; HOSTS];
        Just(Self { hosts, cut: false }).boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<FleetStep> {
        prop_oneof![
            2 => (0..HOSTS).prop_map(FleetStep::Start),
            2 => (0..HOSTS).prop_map(FleetStep::Kill),
            2 => (0..HOSTS).prop_map(FleetStep::Freeze),
            3 => (0..HOSTS).prop_map(FleetStep::Thaw),
            2 => (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| FleetStep::Cut(from, to)),
            1 => Just(FleetStep::Mend),
            1 => any::<bool>().prop_map(FleetStep::Loss),
            4 => (10..3_000_u64).prop_map(FleetStep::Wait),
            3 => Just(FleetStep::Settle),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &FleetStep) -> bool {
        let running = state
            .hosts
            .iter()
            .filter(|host| **host == HostState::Running)
            .count();
        match step {
            FleetStep::Start(host) => state.hosts[*host] == HostState::Absent,
            // Enough hosts stay that a second one can confirm a silence.
            FleetStep::Kill(host) | FleetStep::Freeze(host) => {
                state.hosts[*host] == HostState::Running && running > 4
            }
            FleetStep::Thaw(host) => state.hosts[*host] == HostState::Frozen,
            FleetStep::Cut(from, to) => from != to,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &FleetStep) -> Self {
        match step {
            FleetStep::Start(host) | FleetStep::Thaw(host) => {
                state.hosts[*host] = HostState::Running;
            }
            FleetStep::Kill(host) => state.hosts[*host] = HostState::Absent,
            FleetStep::Freeze(host) => state.hosts[*host] = HostState::Frozen,
            FleetStep::Cut(..) => state.cut = true,
            FleetStep::Mend | FleetStep::Settle => state.cut = false,
            FleetStep::Loss(_) | FleetStep::Wait(_) => {}
        }
        state
    }
}

/// The fleet under test.
struct FleetUnderTest {
    runtime: tokio::runtime::Runtime,
    fleet: wire::FakeFleet,
    /// Node that stands for each host, the newest process.
    nodes: [usize; HOSTS],
    /// Hosts that nothing was done to since their start.
    calm: [bool; HOSTS],
    /// Cuts, also when mended, disturb any verdict.
    cut_once: bool,
    lossy: bool,
}

impl FleetUnderTest {
    fn run(&mut self, duration: time::Duration) {
        self.runtime.block_on(self.fleet.run(duration));
    }

    /// Fails if a host that nothing was done to was counted as gone.
    fn check_calm(&self) {
        if self.cut_once {
            return;
        }
        for node in &self.fleet.nodes {
            for news in &node.news {
                let member::MemberAction::Gone { name, cause } = &news.action else {
                    continue;
                };
                let host: usize = name.trim_start_matches("entry-").parse().unwrap();
                assert!(
                    !self.calm[host],
                    "{} counts {name} as gone: {cause}",
                    node.record.name
                );
            }
        }
    }
}

impl StateMachineTest for FleetUnderTest {
    type SystemUnderTest = Self;
    type Reference = FleetOracle;

    fn init_test(_state: &FleetOracle) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let wait = time::Duration::from_secs(3);
        let fleet = runtime.block_on(wire::FakeFleet::settled(31, HOSTS, 0.0, DELAY, wait));
        Self {
            runtime,
            fleet,
            nodes: std::array::from_fn(|host| host),
            calm: [true; HOSTS],
            cut_once: false,
            lossy: false,
        }
    }

    fn apply(mut under: Self, state: &FleetOracle, step: FleetStep) -> Self {
        match step {
            FleetStep::Start(host) => under.nodes[host] = under.fleet.start_plain(host),
            FleetStep::Kill(host) => {
                under.calm[host] = false;
                under.fleet.kill(under.nodes[host]);
            }
            FleetStep::Freeze(host) => {
                under.calm[host] = false;
                under.fleet.freeze(under.nodes[host]);
            }
            FleetStep::Thaw(host) => under.fleet.thaw(under.nodes[host]),
            FleetStep::Cut(from, to) => {
                under.cut_once = true;
                under.fleet.cut(under.nodes[from], under.nodes[to]);
            }
            FleetStep::Mend => under.fleet.mend(),
            FleetStep::Loss(lossy) => {
                under.lossy = lossy;
                under.fleet.set_loss(if lossy { 0.05 } else { 0.0 });
            }
            FleetStep::Wait(millis) => under.run(time::Duration::from_millis(millis)),
            FleetStep::Settle => {
                under.fleet.mend();
                under.fleet.set_loss(0.0);
                let limit = match under.cut_once || state.hosts.contains(&HostState::Frozen) {
                    true => MEET_LIMIT,
                    false => KNOWN_LIMIT,
                };
                let agreed = under
                    .runtime
                    .block_on(under.fleet.run_until(limit, wire::FakeFleet::agrees));
                assert!(
                    agreed.is_some(),
                    "no agreement within {limit:?}: {:?}",
                    state.hosts
                );
                let loss = if under.lossy { 0.05 } else { 0.0 };
                under.fleet.set_loss(loss);
            }
        }
        under
    }

    fn check_invariants(under: &Self, _state: &FleetOracle) {
        under.check_calm();
    }
}

fn config() -> test_runner::Config {
    let cases = std::env::var("ARBUTUSFOLD_FUZZ_CASES").ok();
    test_runner::Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(24),
        failure_persistence: None,
        rng_algorithm: test_runner::RngAlgorithm::ChaCha,
        rng_seed: test_runner::RngSeed::Fixed(6),
        max_shrink_iters: 200,
        ..test_runner::Config::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn members_agree_with_what_hosts_really_do(sequential 1..24 => FleetUnderTest);
}
