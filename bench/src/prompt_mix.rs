//! Time to the first event where long prompts share runners with short ones.

use arbutusfold::gateway::{demand, path, unread};
use arbutusfold_platform::{document, runner};
use rand::{RngExt, SeedableRng};

use crate::report;

const LAYERS: u32 = 80;

/// Runners that hold each part of the layers.
const COPIES: usize = 4;
const PARTS: usize = 4;
const RUNNERS: usize = COPIES * PARTS;
const PART_LAYERS: u32 = LAYERS / PARTS as u32;

const NODES: usize = 8;

/// Time after which each node knows what the others had sent.
const REPORT_MS: f64 = 200.0;

/// Time for which a request counts as in flight after its prompt was read.
const ANSWER_MS: f64 = 1_500.0;

/// Time in which requests come.
const LENGTH_MS: f64 = 30_000.0;

/// Lengths of prompts in tokens: their median, and the standard deviation of their
/// logarithm.
const PROMPT: f64 = 400.0;
const DEVIATION: f64 = 1.3;

/// Speed of an engine, in tokens over all layers; a median prompt then takes 32 ms.
const READ_PER_SECOND: f64 = 12_500.0;

/// Longest time to the first event that needs no other path: half of an objective of
/// 500 ms.
const LIMIT_MS: f64 = 250.0;

/// How the runners of a request are chosen.
#[derive(Clone, Copy)]
enum PathWay {
    /// By the path's times, with what is not read yet.
    Unread,
    /// The fewest requests in flight for each part.
    LeastLoad,
}

struct SentPrompt {
    node: usize,
    runners: Vec<usize>,
    sent_ms: f64,
    read_ms: f64,
    tokens: f64,
}

fn engine() -> document::EngineSpec {
    document::EngineSpec {
        slots: 192,
        event_tokens: 3,
        step_ms: 1.0,
        sequence_ms: 0.007,
        context_ms: 0.01,
        read_per_second: READ_PER_SECOND,
        loads_at_once: 1,
        prompt_tokens: PROMPT,
        answer_tokens: 200.0,
        layers: LAYERS,
        layer_mb: 1.0,
        token_bytes: 1.0,
        context_tokens: 1_000_000,
        activation_bytes: 1.0,
        link_mbps: None,
        load_time: std::time::Duration::from_secs(1),
        model: "model".to_owned(),
        cards: Vec::new(),
    }
}

/// Returns what is not read yet of the prompts for which `counts` holds, by runner.
fn backlogs(
    prompts: &[SentPrompt],
    counts: impl Fn(&SentPrompt) -> bool,
) -> Vec<demand::PromptBacklog> {
    let mut sums = unread::UnreadPrompts::default();
    for prompt in prompts.iter().filter(|prompt| counts(prompt)) {
        let work = (prompt.tokens * f64::from(PART_LAYERS)) as u64;
        let runners = prompt.runners.iter();
        runners.for_each(|runner| sums.begin(*runner as u32, work));
    }
    sums.backlogs().to_vec()
}

/// Returns the runners as a node knows them.
fn candidates(prompts: &[SentPrompt], node: usize, now: f64) -> Vec<path::StageCandidate> {
    let reported = (now / REPORT_MS).floor() * REPORT_MS;
    let seen = |prompt: &SentPrompt| if prompt.node == node { now } else { reported };
    let is_known = |prompt: &SentPrompt| prompt.sent_ms < seen(prompt);
    let unread = backlogs(prompts, |prompt| {
        is_known(prompt) && prompt.read_ms > seen(prompt)
    });
    let candidate = |runner: usize| {
        let from = (runner / COPIES) as u32 * PART_LAYERS;
        let in_flight = prompts.iter().filter(|prompt| {
            let is_running = prompt.read_ms + ANSWER_MS > seen(prompt);
            is_known(prompt) && is_running && prompt.runners.contains(&runner)
        });
        path::StageCandidate {
            runner,
            domain: 0,
            layers: runner::LayerSpan {
                from,
                to: from + PART_LAYERS,
            },
            step_factor: 1.0,
            read_factor: 1.0,
            in_flight: in_flight.count() as f64,
            slots: 192.0,
            free_token_layers: f64::MAX,
            unread_token_layers: unread::backlog(&unread, runner as u32),
            penalty_ms: 0.0,
        }
    };
    (0..RUNNERS).map(candidate).collect()
}

/// Returns the tokens and the time to the first event of each request, by length. Each
/// runner reads one prompt after the other; `load` is what comes as a part of what they
/// can read.
fn play(way: PathWay, load: f64, seed: u64) -> Vec<(f64, f64)> {
    let engine = engine();
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut choices = rand_chacha::ChaCha8Rng::seed_from_u64(seed + 1);
    let timing = path::PathTiming {
        first_limit_ms: LIMIT_MS,
        gap_limit_ms: f64::INFINITY,
        domains: 1,
        links: Vec::new(),
        alike: 1.0,
    };
    let mean = PROMPT * (DEVIATION.powi(2) / 2.0).exp();
    let mean_ms = unread::read_ms(&engine, 1.0, mean * f64::from(PART_LAYERS));
    let gap_ms = mean_ms / COPIES as f64 / load;
    let mut prompts: Vec<SentPrompt> = Vec::new();
    let mut free_ms = [0.0_f64; RUNNERS];
    let mut firsts = Vec::new();
    let mut now = 0.0;
    while now < LENGTH_MS {
        now -= gap_ms * (1.0 - random.random::<f64>()).ln();
        let node = random.random_range(0..NODES);
        let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let tokens = PROMPT * (normal * DEVIATION).exp();
        prompts.retain(|prompt| prompt.read_ms + ANSWER_MS + REPORT_MS > now);
        let candidates = candidates(&prompts, node, now);
        let query = path::PathQuery {
            engine: &engine,
            layers: engine.all_layers(),
            domain: Some(0),
            prompt: tokens,
            answer: engine.answer_tokens,
            context: tokens + engine.answer_tokens,
            timing: Some(&timing),
        };
        let runners: Vec<_> = match way {
            PathWay::LeastLoad => {
                let least = |copies: &[path::StageCandidate]| {
                    let keyed = copies
                        .iter()
                        .map(|copy| (copy.in_flight, choices.random::<f64>(), copy.runner));
                    keyed.min_by(|one, other| {
                        one.partial_cmp(other).unwrap_or(std::cmp::Ordering::Equal)
                    })
                };
                candidates
                    .chunks(COPIES)
                    .filter_map(least)
                    .map(|(.., runner)| runner)
                    .collect()
            }
            PathWay::Unread => {
                let jitter = || 1.0 + 0.1 * choices.random::<f64>();
                let chosen = path::choose(&candidates, &query, jitter);
                let stages = chosen.map(|chosen| chosen.stages).unwrap_or_default();
                stages.iter().map(|stage| stage.runner).collect()
            }
        };
        let stage_ms = unread::read_ms(&engine, 1.0, tokens * f64::from(PART_LAYERS));
        let mut read_ms = now;
        for runner in &runners {
            read_ms = read_ms.max(free_ms[*runner]) + stage_ms;
            free_ms[*runner] = read_ms;
        }
        firsts.push((tokens, read_ms - now));
        prompts.push(SentPrompt {
            node,
            runners,
            sent_ms: now,
            read_ms,
            tokens,
        });
    }
    firsts.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
    firsts
}

/// Measures the shortest and the longest tenth of the prompts.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("prompt-mix", seed);
    let ways = [
        ("unread prompts", PathWay::Unread),
        ("least load", PathWay::LeastLoad),
    ];
    for load in [0.3, 0.7] {
        let fleet = format!("{load:.1} of what is read");
        for (name, way) in ways {
            let firsts = play(way, load, seed);
            let tenth = firsts.len() / 10;
            let parts = [
                ("shortest tenth", &firsts[..tenth]),
                ("longest tenth", &firsts[firsts.len() - tenth..]),
            ];
            for (part, firsts) in parts {
                let mut times: Vec<_> = firsts.iter().map(|(_, time)| *time).collect();
                times.sort_unstable_by(f64::total_cmp);
                for (label, fraction) in [("p50", 0.5), ("p95", 0.95)] {
                    let time = times[(times.len() as f64 * fraction) as usize];
                    let figure = format!("{part}, first event, {label}, ms");
                    report.add(&fleet, name, &figure, time, None);
                }
            }
        }
    }
    Ok(report)
}
