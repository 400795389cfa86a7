//! Address answers under random stops, deaths and starts, against callers
//! that keep what they were given.

#![allow(clippy::unwrap_used)]

use std::net;
use std::time;

use arbutusfold::drain;
use arbutusfold::member;
use arbutusfold_fuzz::wire;
use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Hosts that run at the start, over three failure domains.
const HOSTS: usize = 9;

/// Most hosts that are started in all.
const HOST_LIMIT: usize = 24;

/// How long callers keep an answer.
const KEEP: time::Duration = time::Duration::from_secs(3);

/// Longest time for what is in flight at the end of a stop.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Time in which a death must be known.
const KNOWN_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// Time in which a stop must be known.
const LEAVE_LIMIT: time::Duration = time::Duration::from_millis(500);

const DELAY: time::Duration = time::Duration::from_millis(1);

/// What is done.
#[derive(Clone, Debug)]
enum AnswerStep {
    /// A caller asks a host, both by number.
    Ask { caller: usize, host: usize },
    /// A host is told to stop.
    Stop(usize),
    /// A host dies.
    Kill(usize),
    /// A fresh host starts.
    Start,
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// What the oracle knows of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HostState {
    Serving,
    Stopping,
    Dead,
}

/// The oracle: which hosts were told what.
#[derive(Clone, Debug)]
struct AnswerOracle {
    hosts: Vec<HostState>,
}

impl AnswerOracle {
    fn serving(&self) -> usize {
        let serving = self
            .hosts
            .iter()
            .filter(|host| **host == HostState::Serving);
        serving.count()
    }
}

impl ReferenceStateMachine for AnswerOracle {
    type State = Self;
    type Transition = AnswerStep;

    fn init_state() -> BoxedStrategy<Self> {
        let hosts = vec![HostState::Serving; HOSTS];
        Just(Self { hosts }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<AnswerStep> {
        let count = state.hosts.len();
        prop_oneof![
            6 => (0..50_usize, 0..count).prop_map(|(caller, host)| AnswerStep::Ask { caller, host }),
            2 => (0..count).prop_map(AnswerStep::Stop),
            1 => (0..count).prop_map(AnswerStep::Kill),
            2 => Just(AnswerStep::Start),
            4 => (10..2_000_u64).prop_map(AnswerStep::Wait),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &AnswerStep) -> bool {
        match step {
            AnswerStep::Ask { host, .. } => state
                .hosts
                .get(*host)
                .is_some_and(|host| *host != HostState::Dead),
            AnswerStep::Stop(host) | AnswerStep::Kill(host) => {
                state.hosts.get(*host) == Some(&HostState::Serving) && state.serving() > 4
            }
            AnswerStep::Start => state.hosts.len() < HOST_LIMIT,
            AnswerStep::Wait(_) => true,
        }
    }

    fn apply(mut state: Self, step: &AnswerStep) -> Self {
        match step {
            AnswerStep::Stop(host) => state.hosts[*host] = HostState::Stopping,
            AnswerStep::Kill(host) => state.hosts[*host] = HostState::Dead,
            AnswerStep::Start => state.hosts.push(HostState::Serving),
            AnswerStep::Ask { .. } | AnswerStep::Wait(_) => {}
        }
        state
    }
}

/// An answer that a caller keeps.
struct KeptAnswer {
    addresses: Vec<net::SocketAddr>,
    given: tokio::time::Instant,
}

/// A host under test.
struct TestHost {
    node: usize,
    keeper: drain::DrainSequence,
    /// Whether it accepts connections.
    listening: bool,
    /// When it was told to stop or died.
    ended: Option<tokio::time::Instant>,
    killed: bool,
}

/// The fleet under test.
struct AnswersUnderTest {
    runtime: tokio::runtime::Runtime,
    fleet: wire::FakeFleet,
    hosts: Vec<TestHost>,
    answers: Vec<KeptAnswer>,
}

impl AnswersUnderTest {
    fn now(&self) -> tokio::time::Instant {
        let _entered = self.runtime.enter();
        self.runtime.block_on(async { tokio::time::Instant::now() })
    }

    fn add_host(&mut self, node: usize) {
        self.hosts.push(TestHost {
            node,
            keeper: drain::DrainSequence::new(KEEP, STOP_LIMIT),
            listening: true,
            ended: None,
            killed: false,
        });
    }

    /// Gives an event to the stop of a host and carries out what it decides.
    fn drain(&mut self, host: usize, event: drain::DrainEvent) {
        let now = self.now();
        let node = self.hosts[host].node;
        match self.hosts[host].keeper.handle(event, now) {
            Some(drain::DrainAction::Announce) => {
                self.hosts[host].ended = Some(now);
                let leaving = member::MemberEvent::Phase(member::MemberPhase::Leaving);
                self.step(node, leaving);
            }
            Some(drain::DrainAction::Close) => {
                self.hosts[host].listening = false;
                self.drain(host, drain::DrainEvent::Closed);
            }
            Some(drain::DrainAction::Exit { .. }) => {
                self.step(node, member::MemberEvent::Left);
                self.fleet.kill(node);
            }
            None => {}
        }
    }

    fn step(&mut self, node: usize, event: member::MemberEvent) {
        let Self { runtime, fleet, .. } = self;
        runtime.block_on(async { fleet.step(node, event) });
    }

    fn run(&mut self, duration: time::Duration) {
        let slice = time::Duration::from_millis(20);
        let slices = duration.as_millis() / slice.as_millis() + 1;
        for _ in 0..slices {
            let Self { runtime, fleet, .. } = self;
            runtime.block_on(fleet.run(slice));
            for host in 0..self.hosts.len() {
                self.drain(host, drain::DrainEvent::Tick);
            }
            self.check_answers();
        }
    }

    fn host_at(&self, address: net::SocketAddr) -> &TestHost {
        let place = self
            .hosts
            .iter()
            .position(|host| wire::caller_address(host.node) == address);
        &self.hosts[place.unwrap()]
    }

    /// Checks every answer that callers still keep.
    fn check_answers(&mut self) {
        let now = self.now();
        self.answers
            .retain(|kept| now.duration_since(kept.given) < KEEP);
        for kept in &self.answers {
            for address in &kept.addresses {
                let host = self.host_at(*address);
                assert!(
                    host.listening || host.killed,
                    "{address} stopped listening while a caller keeps it"
                );
            }
            // Hosts of a domain that lives whole are still there.
            let alive = kept
                .addresses
                .iter()
                .any(|address| self.host_at(*address).listening);
            let domain_lives = (0..3).any(|domain| {
                let hosts = self.hosts.iter().filter(|host| host.node % 3 == domain);
                let mut named =
                    hosts.filter(|host| kept.addresses.contains(&wire::caller_address(host.node)));
                named.all(|host| !host.killed)
            });
            assert!(alive || !domain_lives, "a caller has no live address left");
        }
    }

    fn ask(&mut self, caller: usize, host: usize) {
        let now = self.now();
        if !self.hosts[host].listening {
            return;
        }
        let node = self.hosts[host].node;
        let addresses = self.fleet.nodes[node]
            .view
            .addresses_for(&format!("caller-{caller}"), None);
        assert!(!addresses.is_empty(), "an empty answer");
        for address in &addresses {
            let named = self.host_at(*address);
            let limit = if named.killed {
                KNOWN_LIMIT
            } else {
                LEAVE_LIMIT
            };
            let late = named
                .ended
                .is_some_and(|ended| now.duration_since(ended) > limit);
            assert!(!late, "{address} is named too long after its end");
        }
        let alive: Vec<_> = self
            .hosts
            .iter()
            .filter(|host| host.ended.is_none())
            .map(|host| host.node % 3)
            .collect();
        for domain in 0..3 {
            let named = addresses
                .iter()
                .any(|address| self.host_at(*address).node % 3 == domain);
            assert!(
                named || !alive.contains(&domain),
                "domain {domain} is not named"
            );
        }
        self.answers.push(KeptAnswer {
            addresses,
            given: now,
        });
    }
}

impl StateMachineTest for AnswersUnderTest {
    type SystemUnderTest = Self;
    type Reference = AnswerOracle;

    fn init_test(_state: &AnswerOracle) -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let wait = time::Duration::from_secs(3);
        let fleet = runtime.block_on(wire::FakeFleet::settled(41, HOSTS, 0.0, DELAY, wait));
        let mut under = Self {
            runtime,
            fleet,
            hosts: Vec::new(),
            answers: Vec::new(),
        };
        (0..HOSTS).for_each(|node| under.add_host(node));
        under
    }

    fn apply(mut under: Self, _state: &AnswerOracle, step: AnswerStep) -> Self {
        match step {
            AnswerStep::Ask { caller, host } => under.ask(caller, host),
            AnswerStep::Stop(host) => under.drain(host, drain::DrainEvent::Signal),
            AnswerStep::Kill(host) => {
                let now = under.now();
                under.fleet.kill(under.hosts[host].node);
                under.hosts[host].listening = false;
                under.hosts[host].killed = true;
                under.hosts[host].ended = Some(now);
            }
            AnswerStep::Start => {
                let number = under.hosts.len();
                let Self { runtime, fleet, .. } = &mut under;
                let node = runtime.block_on(async { fleet.start_plain(number) });
                under.add_host(node);
                // Until the fleet has met it, its domain counts as it was.
                under.run(time::Duration::from_millis(700));
            }
            AnswerStep::Wait(millis) => under.run(time::Duration::from_millis(millis)),
        }
        under
    }
}

fn config() -> test_runner::Config {
    let cases = std::env::var("ARBUTUSFOLD_FUZZ_CASES").ok();
    test_runner::Config {
        cases: cases.and_then(|cases| cases.parse().ok()).unwrap_or(24),
        failure_persistence: None,
        rng_algorithm: test_runner::RngAlgorithm::ChaCha,
        rng_seed: test_runner::RngSeed::Fixed(7),
        max_shrink_iters: 200,
        ..test_runner::Config::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn callers_always_find_a_live_host(sequential 1..30 => AnswersUnderTest);
}
