//! Processor time of one admission decision, by the wall clock.

use std::time as std_time;

use arbutusfold::admission;
use arbutusfold::document;
use arbutusfold::limit;
use arbutusfold::limit::holder;
use arbutusfold::suspect;
use arbutusfold::suspect::{claim, ledger, tracker};
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::report;

/// Decisions that are timed.
const DECISIONS: u64 = 50_000;

/// Requests that run at a time.
const SLOTS: usize = 512;

/// Requests that wait while decisions are timed.
const WAITING: u64 = 4_000;

struct LoneNode(Vec<String>);

impl tracker::AssignedNodes for LoneNode {
    fn assigned(&self, _organisation: &str) -> Vec<String> {
        self.0.clone()
    }
}

/// Measures the scenario.
///
/// # Errors
///
/// None at present.
pub fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("admission-cost", seed);
    for organisations in [10, 840, 8_400] {
        let fleet = format!("{organisations} organisations");
        let mut add = |part: &str, times: Vec<std_time::Duration>| {
            for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
                let figure = format!("{part}, {name}, us");
                report.add(
                    &fleet,
                    "wall clock",
                    &figure,
                    micros(&times, quantile),
                    None,
                );
            }
        };
        add("gate: arrive and finish", gate(seed, organisations));
        add("share of the limit: ask", share(seed, organisations));
        add("permit: begin and end", permit(seed, organisations));
    }
    for (entries, body) in [(0, 800), (10, 800), (4_096, 800), (4_096, 65_536)] {
        let times = standing(entries, body);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let figure = format!("ledger of crashes: fingerprint and look-up, {name}, us");
            let size = format!("{entries} requests, body of {body} bytes");
            let value = micros(&times, quantile);
            report.add(&size, "wall clock", &figure, value, None);
        }
    }
    Ok(report)
}

fn micros(times: &[std_time::Duration], quantile: f64) -> f64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    let place = (times.len() as f64 * quantile) as usize;
    times
        .get(place)
        .map_or(0.0, |time| time.as_secs_f64() * 1e6)
}

fn names(organisations: usize) -> Vec<String> {
    (0..organisations)
        .map(|index| format!("organisation-{index:04}"))
        .collect()
}

/// Times an arrival and the finish that admits a waiting request.
fn gate(seed: u64, organisations: usize) -> Vec<std_time::Duration> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let names = names(organisations);
    let now = time::Instant::now();
    let mut gate = admission::AdmissionGate::new(SLOTS, admission::QUEUE_LIMIT);
    let mut running = Vec::new();
    let mut arrive = |gate: &mut admission::AdmissionGate, ticket, running: &mut Vec<u64>| {
        let request = admission::AdmissionRequest {
            organisation: names[random.random_range(0..organisations)].clone(),
            weight: 1,
            priority: document::RequestPriority::Interactive,
            max_tokens: 200,
            deadline: now + std_time::Duration::from_secs(10_000),
        };
        let event = admission::AdmissionEvent::Arrive(ticket, request);
        note(gate.handle(event, now), running);
    };
    let waiting = SLOTS as u64 + WAITING;
    for ticket in 0..waiting {
        arrive(&mut gate, ticket, &mut running);
    }
    let mut times = Vec::new();
    for ticket in waiting..waiting + DECISIONS {
        let began = std_time::Instant::now();
        arrive(&mut gate, ticket, &mut running);
        let done = running.swap_remove(ticket as usize % running.len());
        let event = admission::AdmissionEvent::Finish(done, 100);
        note(gate.handle(event, now), &mut running);
        times.push(began.elapsed());
    }
    times
}

fn note(actions: Vec<admission::AdmissionAction>, running: &mut Vec<u64>) {
    running.extend(actions.iter().filter_map(|action| match action {
        admission::AdmissionAction::Admit(ticket) => Some(*ticket),
        admission::AdmissionAction::Refuse(..) => None,
    }));
}

fn share(seed: u64, organisations: usize) -> Vec<std_time::Duration> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let names = names(organisations);
    let began = time::Instant::now();
    let mut holder = holder::ShareHolder::default();
    let mut times = Vec::new();
    for step in 0..DECISIONS {
        let now = began + std_time::Duration::from_micros(step * 100);
        let request = holder::ShareRequest {
            organisation: &names[random.random_range(0..organisations)],
            limit: limit::ShareRate {
                requests: 100_000,
                tokens: 1_000_000,
            },
            nodes: 3,
            tokens: 100,
            waited: std_time::Duration::ZERO,
        };
        let began = std_time::Instant::now();
        let verdict = holder.acquire(&request, now);
        times.push(began.elapsed());
        if matches!(verdict, holder::ShareVerdict::Wait(_)) {
            holder.cancel(request.organisation, request.tokens);
        }
    }
    times
}

/// Times the permit of a request that was not seen before, kept by this node.
fn permit(seed: u64, organisations: usize) -> Vec<std_time::Duration> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let names = names(organisations);
    let nodes = LoneNode(vec!["node".to_owned()]);
    let mut host = tracker::SuspectTracker::new("node".to_owned(), 1);
    let now = time::Instant::now();
    let mut times = Vec::new();
    for step in 0..DECISIONS {
        let organisation = &names[random.random_range(0..organisations)];
        let prompt = step.to_le_bytes();
        let began = std_time::Instant::now();
        let run = host.next_run_number();
        let request = claim::RunRequest {
            fingerprint: suspect::fingerprint(organisation, "assistant", &prompt),
            organisation: organisation.clone(),
            assigned: nodes.0.clone(),
            time_limit: std_time::Duration::from_secs(120),
            exemption: None,
        };
        host.handle(tracker::SuspectEvent::Begin(run, request), &nodes, now);
        let end = suspect::RunEnd::Answered;
        host.handle(tracker::SuspectEvent::End(run, end), &nodes, now);
        times.push(began.elapsed());
        if step % 1_000 == 0 {
            host.handle(tracker::SuspectEvent::Tick, &nodes, now);
        }
    }
    times
}

/// Times the look-up of a request under which no upstream died.
fn standing(entries: u64, body_bytes: usize) -> Vec<std_time::Duration> {
    let now = time::Instant::now();
    let mut ledger = ledger::CrashLedger::default();
    for entry in 0..entries {
        let fingerprint = suspect::fingerprint("house", "/get/look", &entry.to_le_bytes());
        let record = ledger::CrashRecord {
            crash: suspect::CrashId {
                upstream: "i-3f8552c996".to_owned(),
                incarnation: entry,
            },
            progressed: false,
            repeated: false,
            trial: false,
        };
        ledger.record(&fingerprint, &[record], now);
    }
    let body = vec![7; body_bytes];
    let look = || {
        let began = std_time::Instant::now();
        // Without entries no request is digested.
        if !ledger.is_empty() {
            let fingerprint = suspect::fingerprint("house", "/get/look", &body);
            std::hint::black_box(ledger.standing(&fingerprint, &[], now));
        }
        began.elapsed()
    };
    (0..DECISIONS).map(|_| look()).collect()
}
