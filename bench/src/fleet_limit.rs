//! How far a limit over the fleet is overshot in the worst second.

use std::time as std_time;

use arbutusfold::limit::{self, allocator, holder};
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::report;

const STEP: std_time::Duration = std_time::Duration::from_millis(5);

/// Steps of one run.
const STEPS: u64 = 12_000;

/// Steps of one second.
const SECOND_STEPS: u64 = 200;

/// Step at which the first keeper dies.
const DEATH_STEP: u64 = 6_000;

/// Steps after a death within which each node notices it, at its own time.
const NOTICE_STEPS: std::ops::Range<u64> = 300..350;

/// Steps at the beginning that are not counted for use.
const WARM_STEPS: u64 = 1_200;

/// Requests asked for, as a multiple of the limit.
const DEMAND: f64 = 3.0;

/// Tokens of one request.
const TOKENS: u64 = 10;

/// Runs over which the worst second is taken.
const RUNS: u64 = 20;

const ORGANISATION: &str = "novia-lima";

/// A fleet and its network.
#[derive(Clone, Copy)]
struct LimitPlan {
    nodes: usize,
    /// Nodes that callers reach by old addresses, not assigned.
    guests: usize,
    limit: u64,
    /// Messages lost, in percent.
    loss: u32,
    /// Longest delay of a message in steps.
    delay: u64,
    /// Whether the first keeper dies.
    death: bool,
    /// Whether each node's floor and pool are its own without a keeper.
    local: bool,
}

struct LimitNode {
    holder: holder::ShareHolder,
    keeper: allocator::ShareAllocator,
    /// Step at which it notices the death.
    notices: u64,
    settled: time::Instant,
    /// Requests that wait: step of the next asking and time waited.
    line: Vec<(u64, std_time::Duration)>,
}

struct LimitMessage {
    at: u64,
    from: usize,
    to: usize,
    body: limit::LimitMessage,
}

struct LimitFleet {
    plan: LimitPlan,
    random: rand_chacha::ChaCha8Rng,
    began: time::Instant,
    step: u64,
    names: Vec<String>,
    nodes: Vec<LimitNode>,
    network: Vec<LimitMessage>,
    /// Part of the demand that each node gets.
    parts: Vec<f64>,
    /// Requests let pass at each step.
    passed: Vec<u64>,
}

impl LimitFleet {
    fn new(plan: LimitPlan, seed: u64) -> Self {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let began = time::Instant::now();
        let count = plan.nodes + plan.guests;
        let nodes = (0..count)
            .map(|_| LimitNode {
                holder: holder::ShareHolder::default(),
                keeper: allocator::ShareAllocator::default(),
                notices: DEATH_STEP + random.random_range(NOTICE_STEPS),
                settled: began,
                line: Vec::new(),
            })
            .collect();
        Self {
            plan,
            random,
            began,
            step: 0,
            names: (0..count).map(|node| format!("n{node}")).collect(),
            nodes,
            network: Vec::new(),
            parts: vec![1.0 / count as f64; count],
            passed: Vec::new(),
        }
    }

    fn now(&self) -> time::Instant {
        self.began + STEP * self.step as u32
    }

    fn is_dead(&self, node: usize) -> bool {
        self.plan.death && node == 0 && self.step >= DEATH_STEP
    }

    /// Returns the assigned nodes as `node` sees them.
    fn assigned(&self, node: usize) -> Vec<String> {
        let noticed = self.plan.death && self.step >= self.nodes[node].notices;
        self.names[usize::from(noticed)..self.plan.nodes].to_vec()
    }

    fn alive(&self, node: usize) -> Vec<String> {
        let noticed = self.plan.death && self.step >= self.nodes[node].notices;
        self.names[usize::from(noticed)..].to_vec()
    }

    fn run(&mut self) {
        while self.step < STEPS {
            self.step += 1;
            if self.step.is_multiple_of(2 * SECOND_STEPS) {
                self.shift_demand();
            }
            self.deliver();
            let passed = (0..self.nodes.len()).map(|node| self.advance(node)).sum();
            self.passed.push(passed);
        }
    }

    /// Moves the callers to other nodes, at times all to one.
    fn shift_demand(&mut self) {
        let power = self.random.random_range(1..6);
        let raw: Vec<f64> = (0..self.nodes.len())
            .map(|_| self.random.random_range(0.0_f64..1.0).powi(power))
            .collect();
        let sum: f64 = raw.iter().sum();
        self.parts = raw.into_iter().map(|part| part / sum).collect();
    }

    fn deliver(&mut self) {
        let step = self.step;
        let due: Vec<_> = self
            .network
            .extract_if(.., |message| message.at <= step)
            .collect();
        for message in due {
            if !self.is_dead(message.to) {
                self.hear(message);
            }
        }
    }

    fn hear(&mut self, message: LimitMessage) {
        let now = self.now();
        let report = match message.body {
            limit::LimitMessage::Grant(grant) => {
                self.nodes[message.to].holder.apply_grant(&grant, now);
                return;
            }
            limit::LimitMessage::Demand(report) => report,
        };
        let assigned = self.assigned(message.to);
        if assigned.first() != Some(&self.names[message.to]) {
            return;
        }
        let alive = self.alive(message.to);
        let view = allocator::AllocatorView {
            limit: self.limit(),
            assigned: &assigned,
            alive: &alive,
            stable_since: self.nodes[message.to].settled,
        };
        let from = self.names[message.from].clone();
        let keeper = &mut self.nodes[message.to].keeper;
        let entries = report
            .entries
            .iter()
            .map(|entry| keeper.allocate(&from, report.number, entry, &view, now))
            .collect();
        let number = report.number;
        let grant = limit::LimitMessage::Grant(limit::GrantReport { number, entries });
        self.send(message.to, message.from, grant);
    }

    fn send(&mut self, from: usize, to: usize, body: limit::LimitMessage) {
        let local = from == to;
        if !local && self.random.random_range(0..100) < self.plan.loss {
            return;
        }
        let delay = match local {
            true => 0,
            false => self.random.random_range(0..=self.plan.delay),
        };
        let at = self.step + 1 + delay;
        self.network.push(LimitMessage { at, from, to, body });
    }

    fn limit(&self) -> limit::ShareRate {
        limit::ShareRate {
            requests: self.plan.limit,
            tokens: self.plan.limit * TOKENS,
        }
    }

    /// Runs one step of a node and returns the requests that passed.
    fn advance(&mut self, node: usize) -> u64 {
        if self.is_dead(node) {
            return 0;
        }
        let now = self.now();
        if self.plan.death && self.step == self.nodes[node].notices {
            self.nodes[node].settled = now;
        }
        let due = self.step.is_multiple_of(SECOND_STEPS);
        if !self.plan.local && (due || self.nodes[node].holder.needs_report()) {
            let report = self.nodes[node].holder.report(now);
            let keeper = self.assigned(node).first().cloned().unwrap_or_default();
            let keeper = self.names.iter().position(|name| *name == keeper);
            if let Some(keeper) = keeper.filter(|_| !report.entries.is_empty()) {
                self.send(node, keeper, limit::LimitMessage::Demand(report));
            }
        }
        let rate = self.plan.limit as f64 * DEMAND * self.parts[node] * STEP.as_secs_f64();
        let new = rate as u64 + u64::from(self.random.random_range(0.0..1.0) < rate.fract());
        let step = self.step;
        let mut asking: Vec<_> = self.nodes[node]
            .line
            .extract_if(.., |(at, _)| *at <= step)
            .collect();
        asking.extend((0..new).map(|_| (step, std_time::Duration::ZERO)));
        asking
            .into_iter()
            .map(|(_, waited)| self.ask(node, waited, now))
            .sum()
    }

    fn ask(&mut self, node: usize, waited: std_time::Duration, now: time::Instant) -> u64 {
        let assigned = self.assigned(node);
        let nodes = match assigned.contains(&self.names[node]) {
            true => assigned.len(),
            false => 0,
        };
        let limit = match self.plan.local {
            // Ten times the limit makes the floors of all nodes the whole limit each.
            true => self.limit().map(|rate| rate * 10 * nodes as u64),
            false => self.limit(),
        };
        let request = holder::ShareRequest {
            organisation: ORGANISATION,
            limit,
            nodes,
            tokens: TOKENS,
            waited,
        };
        let node = &mut self.nodes[node];
        match node.holder.acquire(&request, now) {
            holder::ShareVerdict::Pass => 1,
            holder::ShareVerdict::Refuse(_) => 0,
            holder::ShareVerdict::Wait(pause) => {
                let steps = pause.as_micros().div_ceil(STEP.as_micros()) as u64;
                let pause = STEP * steps as u32;
                node.line.push((self.step + steps, waited + pause));
                0
            }
        }
    }

    /// Returns the most requests of any second, as a part of the limit.
    fn worst(&self) -> f64 {
        let width = SECOND_STEPS as usize;
        let most = self
            .passed
            .windows(width)
            .map(|window| window.iter().sum::<u64>())
            .max();
        most.unwrap_or(0) as f64 / self.plan.limit as f64
    }

    /// Returns the mean use of the limit once shares have settled.
    fn usage(&self) -> f64 {
        let counted = &self.passed[WARM_STEPS as usize..];
        let seconds = counted.len() as f64 / SECOND_STEPS as f64;
        counted.iter().sum::<u64>() as f64 / seconds / self.plan.limit as f64
    }
}

/// Measures the scenario.
///
/// # Errors
///
/// None at present.
pub fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("fleet-limit", seed);
    let whole = LimitPlan {
        nodes: 3,
        guests: 0,
        limit: 100,
        loss: 0,
        delay: 1,
        death: false,
        local: false,
    };
    let faulty = LimitPlan {
        guests: 2,
        loss: 20,
        delay: 100,
        death: true,
        ..whole
    };
    let plans = [
        ("3 nodes, 100/s", whole),
        ("3 nodes, 10/s", LimitPlan { limit: 10, ..whole }),
        (
            "9 nodes, 1000/s",
            LimitPlan {
                nodes: 9,
                limit: 1_000,
                ..whole
            },
        ),
        ("3 nodes and 2 others, faults, 100/s", faulty),
        (
            "3 nodes and 2 others, faults, 10/s",
            LimitPlan {
                limit: 10,
                ..faulty
            },
        ),
        (
            "9 nodes and 2 others, faults, 1000/s",
            LimitPlan {
                nodes: 9,
                limit: 1_000,
                ..faulty
            },
        ),
    ];
    for (fleet, plan) in plans {
        for (way, local) in [("lent shares", false), ("each node alone", true)] {
            let mut worst: f64 = 0.0;
            let mut usage = 0.0;
            for run in 0..RUNS {
                let plan = LimitPlan { local, ..plan };
                let mut model = LimitFleet::new(plan, seed.wrapping_mul(RUNS).wrapping_add(run));
                model.run();
                worst = worst.max(model.worst());
                usage += model.usage() / RUNS as f64;
            }
            let target = (!local).then_some(report::FigureTarget::AtMost(1.1));
            report.add(fleet, way, "worst second, part of the limit", worst, target);
            report.add(fleet, way, "mean use, part of the limit", usage, None);
        }
    }
    Ok(report)
}
