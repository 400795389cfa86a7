//! Suspects over several nodes whose messages are late, doubled or lost.
//!
//! The oracle is plain: it counts the upstreams that each request crashed.
//! Assumed: nodes agree on the organisation's nodes, and the two keepers of a
//! request's permits do not lose their memory.

#![allow(clippy::unwrap_used)]

use std::collections;
use std::time as std_time;

use arbutusfold::id;
use arbutusfold::suspect;
use arbutusfold::suspect::{claim, host};
use proptest::strategy::Strategy;
use proptest::{prop_assert, test_runner};
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Cases when the environment names no number.
const CASES: u32 = 300;

const SEED: [u8; 32] = [4; 32];

const STEP: std_time::Duration = std_time::Duration::from_millis(10);

/// Longest time that a run can last.
const RUN_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Requests below this number crash what runs them.
const POISONS: u8 = 2;

/// A faulty network and what callers do.
#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    nodes: usize,
    upstreams: usize,
    /// Messages lost, in percent.
    loss: u32,
    /// Longest delay in steps.
    delay: u32,
    arrivals: Vec<Arrival>,
}

/// A caller sends or resends a request.
#[derive(Clone, Debug)]
struct Arrival {
    step: u32,
    node: usize,
    request: u8,
}

fn plans(loss: std::ops::Range<u32>) -> impl Strategy<Value = Plan> {
    let arrival = (1..400_u32, 0..6_usize, 0..6_u8).prop_map(|(step, node, request)| Arrival {
        step,
        node,
        request,
    });
    (
        proptest::num::u64::ANY,
        1..6_usize,
        2..6_usize,
        loss,
        0..40_u32,
        proptest::collection::vec(arrival, 1..40),
    )
        .prop_map(|(seed, nodes, upstreams, loss, delay, arrivals)| Plan {
            seed,
            nodes,
            upstreams,
            loss,
            delay,
            arrivals,
        })
}

struct Assigned(Vec<id::HostName>);

impl host::AssignedNodes for Assigned {
    fn assigned(&self, _organisation: &str) -> Vec<id::HostName> {
        self.0.clone()
    }
}

#[derive(Debug)]
struct ActiveRun {
    node: usize,
    run: u64,
    request: u8,
    upstream: usize,
    until: u32,
}

struct Message {
    at: u32,
    from: usize,
    to: usize,
    body: suspect::SuspectMessage,
}

/// Nodes, upstreams and the network between them.
struct Fleet {
    plan: Plan,
    random: rand_chacha::ChaCha8Rng,
    names: Assigned,
    hosts: Vec<host::SuspectHost>,
    incarnations: Vec<u64>,
    now: time::Instant,
    step: u32,
    network: Vec<Message>,
    begun: collections::BTreeMap<(usize, u64), u8>,
    active: Vec<ActiveRun>,
    /// Upstreams crashed by each request.
    crashes: collections::BTreeMap<u8, u32>,
    /// Crashes that each request was present at.
    present: collections::BTreeMap<u8, u32>,
    answered: collections::BTreeSet<u8>,
    quarantined: collections::BTreeSet<u8>,
    refused: u32,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let names: Vec<_> = (0..plan.nodes).map(|node| format!("n{node}")).collect();
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed),
            hosts: names
                .iter()
                .map(|name| host::SuspectHost::new(name.clone(), 1))
                .collect(),
            names: Assigned(names),
            incarnations: vec![1; plan.upstreams],
            now: time::Instant::now(),
            step: 0,
            network: Vec::new(),
            begun: collections::BTreeMap::new(),
            active: Vec::new(),
            crashes: collections::BTreeMap::new(),
            present: collections::BTreeMap::new(),
            answered: collections::BTreeSet::new(),
            quarantined: collections::BTreeSet::new(),
            refused: 0,
            plan,
        }
    }

    fn run(&mut self) {
        let last = self.plan.arrivals.iter().map(|arrival| arrival.step).max();
        let last = last.unwrap_or(0) + 2_000;
        while self.step < last {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        self.now += STEP;
        let step = self.step;
        let due: Vec<_> = self
            .plan
            .arrivals
            .iter()
            .filter(|arrival| arrival.step == step)
            .cloned()
            .collect();
        for arrival in due {
            self.begin(arrival.node % self.plan.nodes, arrival.request);
        }
        let messages: Vec<_> = self
            .network
            .extract_if(.., |message| message.at <= step)
            .collect();
        for message in messages {
            let from = self.names.0[message.from].clone();
            self.handle(message.to, host::SuspectEvent::Hear(from, message.body));
        }
        while let Some(place) = self.active.iter().position(|run| run.until <= step) {
            let run = self.active.swap_remove(place);
            self.finish(run);
        }
        for node in 0..self.plan.nodes {
            self.handle(node, host::SuspectEvent::Tick);
        }
    }

    fn begin(&mut self, node: usize, request: u8) {
        let run = self.hosts[node].number();
        self.begun.insert((node, run), request);
        let request = claim::RunRequest {
            fingerprint: suspect::fingerprint("a", "assistant", &[request]),
            organisation: "a".to_owned(),
            assigned: self.names.0.clone(),
            lasts: RUN_LIMIT,
        };
        self.handle(node, host::SuspectEvent::Begin(run, request));
    }

    fn handle(&mut self, node: usize, event: host::SuspectEvent) {
        let actions = self.hosts[node].handle(event, &self.names, self.now);
        for action in actions {
            match action {
                claim::ClaimAction::Send(to, body) => self.send(node, &to, &body),
                claim::ClaimAction::Start(run) => self.start(node, run),
                claim::ClaimAction::Refuse(run, refusal) => {
                    self.refused += 1;
                    if refusal == claim::RunRefusal::Quarantined {
                        self.quarantined.insert(self.begun[&(node, run)]);
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, body: &suspect::SuspectMessage) {
        let to = self.names.0.iter().position(|name| name == to).unwrap();
        let copies = 1 + u32::from(self.random.random_range(0..10) == 0);
        for _ in 0..copies {
            if self.random.random_range(0..100) < self.plan.loss {
                continue;
            }
            let at = self.step + 1 + self.random.random_range(0..=self.plan.delay);
            let body = body.clone();
            self.network.push(Message { at, from, to, body });
        }
    }

    fn start(&mut self, node: usize, run: u64) {
        let request = self.begun[&(node, run)];
        let upstream = self.random.random_range(0..self.plan.upstreams);
        let until = self.step + self.random.random_range(1..60);
        self.active.push(ActiveRun {
            node,
            run,
            request,
            upstream,
            until,
        });
    }

    fn finish(&mut self, run: ActiveRun) {
        if run.request >= POISONS {
            self.answered.insert(run.request);
            let event = host::SuspectEvent::End(run.run, suspect::RunEnd::Answered);
            self.handle(run.node, event);
            return;
        }
        *self.crashes.entry(run.request).or_default() += 1;
        let mark = suspect::CrashMark {
            upstream: format!("u{}", run.upstream),
            incarnation: self.incarnations[run.upstream],
        };
        self.incarnations[run.upstream] += 1;
        let upstream = run.upstream;
        let mut victims: Vec<_> = self
            .active
            .extract_if(.., |other| other.upstream == upstream)
            .collect();
        victims.push(run);
        for victim in victims {
            *self.present.entry(victim.request).or_default() += 1;
            let end = suspect::RunEnd::Crashed(mark.clone());
            self.handle(victim.node, host::SuspectEvent::End(victim.run, end));
            self.begin(victim.node, victim.request);
        }
    }
}

fn runner() -> test_runner::TestRunner {
    let cases = std::env::var("ARBUTUSFOLD_FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(CASES);
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let random = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &SEED);
    test_runner::TestRunner::new_with_rng(config, random)
}

#[tokio::test(start_paused = true)]
async fn no_request_crashes_more_than_two_upstreams() {
    let checked = runner().run(&plans(0..70), |plan| {
        let mut fleet = Fleet::new(plan);
        fleet.run();
        for (request, crashes) in &fleet.crashes {
            prop_assert!(*crashes <= 2, "request {request} crashed {crashes}");
        }
        Ok(())
    });
    checked.unwrap();
}

#[tokio::test(start_paused = true)]
async fn only_what_was_at_two_crashes_is_quarantined() {
    let checked = runner().run(&plans(0..1), |plan| {
        let mut fleet = Fleet::new(plan);
        fleet.run();
        for request in &fleet.quarantined {
            let present = fleet.present.get(request).copied().unwrap_or(0);
            prop_assert!(present >= 2, "request {request} was at {present} crashes");
        }
        for arrival in &fleet.plan.arrivals {
            let request = arrival.request;
            let known = fleet.answered.contains(&request) || fleet.quarantined.contains(&request);
            prop_assert!(
                known || fleet.refused > 0,
                "request {request} had no answer and no refusal"
            );
        }
        Ok(())
    });
    checked.unwrap();
}
