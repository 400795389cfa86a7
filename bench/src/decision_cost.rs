//! Processor time of one decision against the number of runners.

use std::time as std_time;

use arbutusfold::{choose, document, route, upstream};
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::report;

/// Numbers of runners.
const SIZES: [usize; 5] = [30, 100, 300, 600, 1_000];

/// Models that share them.
const MODELS: usize = 4;

/// Failure domains.
const DOMAINS: usize = 12;

/// Decisions that are measured.
const DECISIONS: u32 = 20_000;

/// Longest time of a decision at the largest size, in microseconds.
const TARGET_US: f64 = 20.0;

/// Measures decisions at every size.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    runtime.block_on(async {
        let mut report = report::ScenarioReport::new("decision-cost", seed);
        let mut points = Vec::new();
        for size in SIZES {
            let cost = decide(size, seed)?;
            let fleet = format!("{size} runners");
            let target = (size == 1_000).then_some(report::FigureTarget::AtMost(TARGET_US));
            report.add(&fleet, "planned", "decision, mean us", cost.mean, target);
            report.add(&fleet, "planned", "decision, p99 us", cost.p99, target);
            report.add(&fleet, "planned", "plan of one model, ms", cost.plan, None);
            points.push((size as f64, cost.mean));
        }
        let slope = slope(&points) * 1_000.0;
        report.add("all", "planned", "slope, us for 1,000 runners", slope, None);
        Ok(report)
    })
}

struct DecisionCost {
    mean: f64,
    p99: f64,
    plan: f64,
}

/// Processor time is the real clock's: the paused one stands still meanwhile.
fn decide(size: usize, seed: u64) -> anyhow::Result<DecisionCost> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let now = time::Instant::now();
    let mut keeper = keeper(size, &mut rng, now);
    let planning = std_time::Instant::now();
    let planned = keeper.refresh(now).len().max(1);
    let plan = planning.elapsed().as_secs_f64() * 1_000.0 / planned as f64;
    let prompts: Vec<_> = (0..256)
        .map(|index| format!("{index:08}").repeat(64))
        .collect();
    let mut times = report::histogram()?;
    for turn in 0..DECISIONS {
        let model = format!("model-{}", turn as usize % MODELS);
        let prompt = &prompts[rng.random_range(0..prompts.len())];
        let query = choose::ChoiceQuery {
            model: &model,
            prompt,
            previous: &[],
            avoid: &[],
        };
        let begun = std_time::Instant::now();
        let chosen = keeper.choose(&query, now, &mut rng);
        times.saturating_record(begun.elapsed().as_nanos() as u64);
        let chosen = chosen.ok_or_else(|| anyhow::anyhow!("no route for {model}"))?;
        keeper.begin(&chosen, now);
    }
    Ok(DecisionCost {
        mean: times.mean() / 1_000.0,
        p99: times.value_at_quantile(0.99) as f64 / 1_000.0,
        plan,
    })
}

fn keeper(size: usize, rng: &mut impl rand::Rng, now: time::Instant) -> route::RouteTable {
    let names: Vec<_> = (0..size)
        .map(|index| format!("runner-{index:04}"))
        .collect();
    let document = document(&names);
    let mut keeper = route::RouteTable::new(route::ChoiceOptions::default());
    keeper.configure(&document);
    keeper.set_peers(399);
    for (index, name) in names.iter().enumerate() {
        let from = (index / MODELS % 4) as u32 * 8;
        let report = upstream::EngineReport {
            incarnation: 1,
            held: vec![upstream::HeldLayers {
                model: format!("model-{}", index % MODELS),
                version: "1".to_owned(),
                layers: upstream::LayerRange { from, to: from + 8 },
            }],
            running: rng.random_range(0..100),
            waiting: 0,
            tokens_per_second: rng.random_range(1_000..9_000),
            leaving: false,
            fencing: 0,
            age_ms: 0,
        };
        keeper.apply_report(name, &report, now);
    }
    keeper
}

fn document(names: &[String]) -> document::ConfigDocument {
    let models = 0..MODELS;
    let model = |index: usize| format!("model-{index}");
    document::ConfigDocument {
        models: models
            .clone()
            .map(|index| document::ModelSpec {
                name: model(index),
                layers: 32,
                version: "1".to_owned(),
            })
            .collect(),
        pipelines: models
            .map(|index| document::PipelineSpec {
                name: model(index),
                model: model(index),
                upstreams: names.iter().skip(index).step_by(MODELS).cloned().collect(),
                replicas: 1,
            })
            .collect(),
        upstreams: names
            .iter()
            .enumerate()
            .map(|(index, name)| document::UpstreamSpec {
                name: name.clone(),
                address: ([127, 0, 0, 1], 1 + index as u16).into(),
                domain: format!("domain-{}", index / MODELS / 4 % DOMAINS),
                accelerator: "h".to_owned(),
                capacity_layers: 8,
                checks_fencing: false,
            })
            .collect(),
        ..document::ConfigDocument::default()
    }
}

/// Returns the slope of the least squares line through points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let along: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let square: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    along / square
}
