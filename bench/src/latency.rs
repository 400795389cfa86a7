//! Times to the first token and between tokens at 80% load.

use std::rc;
use std::time as std_time;

use arbutusfold::document;
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::engine;
use crate::fleet;
use crate::report;
use crate::saturation;
use crate::way;
use crate::world;

/// Part of the bound that callers ask for.
const LOAD: f64 = 0.8;

/// Time before the measurement.
const WARM_UP: std_time::Duration = std_time::Duration::from_secs(14);

/// Time of the measurement.
const MEASURED: std_time::Duration = std_time::Duration::from_secs(8);

/// Tokens of a prompt.
const PROMPT_TOKENS: std::ops::Range<u32> = 100..600;

/// Prefixes that half of the requests share.
const PREFIXES: u64 = 64;

/// Tokens of a shared prefix.
const PREFIX_TOKENS: u32 = 80;

/// Longest time to the first token for 95 in 100, in milliseconds.
const FIRST_TARGET_MS: f64 = 480.0;

/// Longest time between tokens for 95 in 100, in milliseconds.
const GAP_TARGET_MS: f64 = 42.0;

/// Measures every way on both users' fleets.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("latency", seed);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    for fleet in fleet::users(&mut rng) {
        for (name, way) in ways() {
            let late = saturation::REPORT_LATE;
            let outcome = world::run(&fleet, way, late, seed, |world| load(world, seed))?;
            let live = name == "planned";
            let first = live.then_some(report::FigureTarget::AtMost(FIRST_TARGET_MS));
            let gap = live.then_some(report::FigureTarget::AtMost(GAP_TARGET_MS));
            report.add(
                fleet.name,
                name,
                "first token, p95 ms",
                outcome.first,
                first,
            );
            report.add(fleet.name, name, "between tokens, p95 ms", outcome.gap, gap);
            report.add(fleet.name, name, "load, % of the bound", outcome.load, None);
            report.add(
                fleet.name,
                name,
                "places for prompts, 1/s",
                outcome.prefilled,
                None,
            );
            report.add(fleet.name, name, "streams lost", outcome.lost as f64, None);
        }
    }
    Ok(report)
}

fn ways() -> Vec<(&'static str, way::ChoiceWay)> {
    let mut ways = way::ChoiceWay::all();
    let mut options = way::ChoiceWay::planned().options();
    options.affinity = false;
    ways.insert(
        1,
        ("planned, no affinity", way::ChoiceWay::Planned(options)),
    );
    ways
}

struct LatencyOutcome {
    first: f64,
    gap: f64,
    load: f64,
    prefilled: f64,
    lost: u64,
}

async fn load(world: rc::Rc<world::BenchWorld>, seed: u64) -> anyhow::Result<LatencyOutcome> {
    let arrivals = tokio::task::spawn_local(arrive(rc::Rc::clone(&world), seed));
    time::sleep(WARM_UP).await;
    world.measuring.set(true);
    let from = time::Instant::now();
    let prefilled = world.pool.prefilled.get();
    time::sleep(MEASURED).await;
    arrivals.abort();
    let rate = world.rate(from, time::Instant::now());
    let prefilled = (world.pool.prefilled.get() - prefilled) as f64;
    let stats = world.stats.borrow();
    Ok(LatencyOutcome {
        first: stats.first.value_at_quantile(0.95) as f64 / 1_000.0,
        gap: stats.gaps.value_at_quantile(0.95) as f64 / 1_000.0,
        load: 100.0 * rate / world.bound() as f64,
        prefilled: prefilled / MEASURED.as_secs_f64(),
        lost: stats.lost,
    })
}

/// Sends requests at random times so that the places they take, prompts
/// included, come to the load.
async fn arrive(world: rc::Rc<world::BenchWorld>, seed: u64) {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let answer = f64::from(saturation::ANSWER_TOKENS.start + saturation::ANSWER_TOKENS.end) / 2.0;
    let prompt = (PROMPT_TOKENS.start + PROMPT_TOKENS.end) / 2;
    let places = answer + f64::from(engine::prefill_places(prompt));
    let rate = LOAD * world.bound() as f64 / places;
    let mut next = time::Instant::now();
    let mut node = 0;
    loop {
        let unit: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        next += std_time::Duration::from_secs_f64(-unit.ln() / rate);
        time::sleep_until(next).await;
        let shared = rng.random_bool(0.5);
        let prefix = rng.random_range(0..PREFIXES);
        let order = world::StreamOrder {
            prompt_tokens: rng.random_range(PROMPT_TOKENS),
            prefix: shared.then_some((prefix, PREFIX_TOKENS)),
            max_tokens: rng.random_range(saturation::ANSWER_TOKENS),
            priority: document::RequestPriority::Interactive,
        };
        node = (node + 1) % world.fleet.nodes;
        let world = rc::Rc::clone(&world);
        tokio::task::spawn_local(async move { world.stream(node, order).await });
    }
}
