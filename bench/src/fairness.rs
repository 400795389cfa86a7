//! What one organisation at ten times its share costs the others.

use std::time as std_time;

use arbutusfold::admission;
use arbutusfold::document;
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::report;

/// Requests that run at a time.
const SLOTS: usize = 512;

/// Time of one token.
const TOKEN_TIME: std_time::Duration = std_time::Duration::from_millis(20);

/// Most tokens of a request, which callers name.
const MAX_TOKENS: u64 = 200;

/// Time that is measured.
const LENGTH: std_time::Duration = std_time::Duration::from_secs(300);

/// Time by which a request must be answered.
const DEADLINE: std_time::Duration = std_time::Duration::from_secs(30);

/// Part of the capacity that is offered when each organisation asks for its share.
const LOAD: f64 = 0.9;

/// How many times its share the large organisation asks for.
const EXCESS: f64 = 10.0;

/// Event of the model, by time.
enum ModelEvent {
    Arrive(usize),
    Finish(u64),
}

/// One node's gate with its organisations.
struct GateModel {
    gate: admission::AdmissionGate,
    random: rand_chacha::ChaCha8Rng,
    organisations: usize,
    /// Organisations stand in one line, as without fair queues.
    one_line: bool,
    began: time::Instant,
    events: Vec<(time::Instant, u64, ModelEvent)>,
    sequence: u64,
    /// Organisation, tokens and arrival of each ticket.
    tickets: Vec<(usize, u64, time::Instant)>,
    answered: Vec<u64>,
    waits: Vec<std_time::Duration>,
}

impl GateModel {
    fn new(seed: u64, organisations: usize, one_line: bool) -> Self {
        Self {
            gate: admission::AdmissionGate::new(SLOTS, admission::QUEUE_LIMIT),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            organisations,
            one_line,
            began: time::Instant::now(),
            events: Vec::new(),
            sequence: 0,
            tickets: Vec::new(),
            answered: vec![0; organisations],
            waits: Vec::new(),
        }
    }

    /// Adds an event; the next one stays last.
    fn plan(&mut self, at: time::Instant, event: ModelEvent) {
        self.sequence += 1;
        let key = (at, self.sequence);
        let place = self
            .events
            .partition_point(|(known, sequence, _)| (*known, *sequence) > key);
        self.events.insert(place, (at, self.sequence, event));
    }

    /// Plans the next request of an organisation that asks `excess` times its share.
    fn plan_arrival(&mut self, organisation: usize, excess: f64, now: time::Instant) {
        let mean_tokens = MAX_TOKENS as f64 / 2.0;
        let capacity = SLOTS as f64 / TOKEN_TIME.as_secs_f64() / mean_tokens;
        let rate = capacity * LOAD / self.organisations as f64 * excess;
        let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / rate;
        let at = now + std_time::Duration::from_secs_f64(gap);
        self.plan(at, ModelEvent::Arrive(organisation));
    }

    fn run(&mut self, excess: f64) {
        let asked = |organisation| if organisation == 0 { excess } else { 1.0 };
        for organisation in 0..self.organisations {
            self.plan_arrival(organisation, asked(organisation), self.began);
        }
        while let Some((now, _, event)) = self.events.pop() {
            if now.duration_since(self.began) >= LENGTH {
                return;
            }
            let actions = match event {
                ModelEvent::Arrive(organisation) => {
                    self.plan_arrival(organisation, asked(organisation), now);
                    self.arrive(organisation, now)
                }
                ModelEvent::Finish(ticket) => {
                    let (organisation, tokens, _) = self.tickets[ticket as usize];
                    self.answered[organisation] += tokens;
                    let event = admission::AdmissionEvent::Finish(ticket, tokens);
                    self.gate.handle(event, now)
                }
            };
            for action in actions {
                if let admission::AdmissionAction::Admit(ticket) = action {
                    self.start(ticket, now);
                }
            }
        }
    }

    fn arrive(
        &mut self,
        organisation: usize,
        now: time::Instant,
    ) -> Vec<admission::AdmissionAction> {
        let ticket = self.tickets.len() as u64;
        let tokens = self.random.random_range(1..MAX_TOKENS);
        self.tickets.push((organisation, tokens, now));
        let line = if self.one_line { 0 } else { organisation };
        let request = admission::AdmissionRequest {
            organisation: format!("organisation-{line:04}"),
            weight: 1,
            priority: document::RequestPriority::Interactive,
            max_tokens: MAX_TOKENS,
            deadline: now + DEADLINE,
        };
        let event = admission::AdmissionEvent::Arrive(ticket, request);
        self.gate.handle(event, now)
    }

    fn start(&mut self, ticket: u64, now: time::Instant) {
        let (organisation, tokens, arrived) = self.tickets[ticket as usize];
        if organisation > 0 {
            self.waits.push(now.duration_since(arrived));
        }
        let at = now + TOKEN_TIME * tokens as u32;
        self.plan(at, ModelEvent::Finish(ticket));
    }

    /// Returns the tokens of all organisations but the large one.
    fn others(&self) -> u64 {
        self.answered[1..].iter().sum()
    }

    /// Returns the wait before admission at a quantile, in milliseconds.
    fn wait_ms(&mut self, quantile: f64) -> f64 {
        self.waits.sort_unstable();
        let place = (self.waits.len() as f64 * quantile) as usize;
        let wait = self.waits.get(place).copied().unwrap_or_default();
        wait.as_secs_f64() * 1_000.0
    }
}

/// Measures the scenario.
///
/// # Errors
///
/// None at present.
pub fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("fairness", seed);
    for organisations in [10, 63, 8_400] {
        for (way, one_line) in [("fair queues", false), ("one line", true)] {
            let mut usual = GateModel::new(seed, organisations, one_line);
            usual.run(1.0);
            let mut flooded = GateModel::new(seed, organisations, one_line);
            flooded.run(EXCESS);
            let fleet = format!("{organisations} organisations");
            let cost = 100.0 * (1.0 - flooded.others() as f64 / usual.others() as f64);
            let target = (!one_line).then_some(report::FigureTarget::AtMost(5.0));
            report.add(&fleet, way, "cost to the others, %", cost, target);
            let waits = [("usual", &mut usual), ("flooded", &mut flooded)];
            for (load, model) in waits {
                let figure = format!("others' wait before admission, {load}, p95, ms");
                report.add(&fleet, way, &figure, model.wait_ms(0.95), None);
            }
        }
    }
    Ok(report)
}
