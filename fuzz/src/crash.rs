//! Nodes that run crashing requests over a faulty network.

use std::collections;
use std::time as std_time;

use arbutusfold::id;
use arbutusfold::suspect;
use arbutusfold::suspect::{claim, isolation, tracker};
use rand::{RngExt, SeedableRng};
use tokio::time;

const STEP: std_time::Duration = std_time::Duration::from_millis(10);

/// Longest time that a run can last.
const RUN_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Requests below this number crash what runs them.
pub const POISONS: u8 = 2;

/// A faulty network and what callers do.
#[derive(Clone, Debug)]
pub struct CrashPlan {
    /// Seed of delays, losses and durations.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Messages lost, in percent.
    pub loss: u32,
    /// Longest delay in steps.
    pub delay: u32,
    /// What callers send.
    pub arrivals: Vec<CrashArrival>,
}

/// A caller sends or resends a request.
#[derive(Clone, Debug)]
pub struct CrashArrival {
    /// Step at which it is sent, from 1.
    pub step: u32,
    /// Node that gets it.
    pub node: usize,
    /// Request.
    pub request: u8,
}

struct Assigned(Vec<id::HostName>);

impl tracker::AssignedNodes for Assigned {
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
pub struct CrashFleet {
    plan: CrashPlan,
    random: rand_chacha::ChaCha8Rng,
    names: Assigned,
    hosts: Vec<tracker::SuspectTracker>,
    incarnations: Vec<u64>,
    now: time::Instant,
    step: u32,
    network: Vec<Message>,
    begun: collections::BTreeMap<(usize, u64), u8>,
    active: Vec<ActiveRun>,
    /// Keeps suspects apart; its messages are not lost here.
    isolation: isolation::IsolationQueue,
    /// Suspects that have a permit and wait for their turn.
    turns: Vec<(usize, u64)>,
    /// Upstreams crashed by each request.
    pub crashes: collections::BTreeMap<u8, u32>,
    /// Crashes that each request was present at.
    pub present: collections::BTreeMap<u8, u32>,
    /// Requests that were answered.
    pub answered: collections::BTreeSet<u8>,
    /// Requests that were quarantined.
    pub quarantined: collections::BTreeSet<u8>,
    /// Runs that were refused.
    pub refused: u32,
}

impl CrashFleet {
    /// Creates a fleet that has run nothing.
    pub fn new(plan: CrashPlan) -> Self {
        let names: Vec<_> = (0..plan.nodes).map(|node| format!("n{node}")).collect();
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed),
            hosts: names
                .iter()
                .map(|name| tracker::SuspectTracker::new(name.clone(), 1))
                .collect(),
            names: Assigned(names),
            incarnations: vec![1; plan.upstreams],
            now: time::Instant::now(),
            step: 0,
            network: Vec::new(),
            begun: collections::BTreeMap::new(),
            active: Vec::new(),
            isolation: isolation::IsolationQueue::default(),
            turns: Vec::new(),
            crashes: collections::BTreeMap::new(),
            present: collections::BTreeMap::new(),
            answered: collections::BTreeSet::new(),
            quarantined: collections::BTreeSet::new(),
            refused: 0,
            plan,
        }
    }

    /// Runs until nothing is left to happen.
    pub fn run(&mut self) {
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
            self.handle(
                message.to,
                tracker::SuspectEvent::Message(from, message.body),
            );
        }
        self.ask_turns();
        while let Some(place) = self.active.iter().position(|run| run.until <= step) {
            let run = self.active.swap_remove(place);
            self.finish(run);
        }
        for node in 0..self.plan.nodes {
            self.handle(node, tracker::SuspectEvent::Tick);
        }
    }

    fn begin(&mut self, node: usize, request: u8) {
        let run = self.hosts[node].next_run_number();
        self.begun.insert((node, run), request);
        let request = claim::RunRequest {
            fingerprint: suspect::fingerprint("a", "assistant", &[request]),
            organisation: "a".to_owned(),
            assigned: self.names.0.clone(),
            time_limit: RUN_LIMIT,
            exemption: None,
        };
        self.handle(node, tracker::SuspectEvent::Begin(run, request));
    }

    fn handle(&mut self, node: usize, event: tracker::SuspectEvent) {
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
        let to = self.names.0.iter().position(|name| name == to);
        let Some(to) = to else { return };
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

    /// Starts a run; one whose request was at a crash waits for its turn.
    fn start(&mut self, node: usize, run: u64) {
        let request = self.begun[&(node, run)];
        match self.present.contains_key(&request) {
            true => self.turns.push((node, run)),
            false => self.launch(node, run),
        }
    }

    fn ask_turns(&mut self) {
        for (node, run) in std::mem::take(&mut self.turns) {
            let time_limit = RUN_LIMIT;
            let call = isolation::IsolationRequest::Turn { run, time_limit };
            let answer = self.isolation.handle(&self.names.0[node], call, self.now);
            match answer {
                Some(isolation::IsolationReply::Turn { .. }) => self.launch(node, run),
                _ => self.turns.push((node, run)),
            }
        }
    }

    fn launch(&mut self, node: usize, run: u64) {
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

    fn end_turn(&mut self, node: usize, run: u64) {
        let call = isolation::IsolationRequest::End(run);
        self.isolation.handle(&self.names.0[node], call, self.now);
    }

    fn finish(&mut self, run: ActiveRun) {
        self.end_turn(run.node, run.run);
        if run.request >= POISONS {
            self.answered.insert(run.request);
            let event = tracker::SuspectEvent::End(run.run, suspect::RunEnd::Answered);
            self.handle(run.node, event);
            return;
        }
        *self.crashes.entry(run.request).or_default() += 1;
        let mark = suspect::CrashId {
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
            self.end_turn(victim.node, victim.run);
            *self.present.entry(victim.request).or_default() += 1;
            let end = suspect::RunEnd::Crashed(mark.clone());
            self.handle(victim.node, tracker::SuspectEvent::End(victim.run, end));
            self.begin(victim.node, victim.request);
        }
    }
}
