//! Long prompts beside short ones on shared runners.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use arbutusfold::gateway::{demand, path, unread};
use arbutusfold_platform::runner;
use gateway_fixture::engine;
use rand::{RngExt, SeedableRng};

/// Runners that hold each quarter of the layers.
const COPIES: usize = 4;
const QUARTERS: usize = 4;
const RUNNERS: usize = COPIES * QUARTERS;
const HOSTS: usize = 8;

/// Time after which each node knows what the others had sent.
const REPORT_MS: f64 = 200.0;

/// Time for which a request counts as in flight.
const ANSWER_MS: f64 = 1_500.0;

const SHORT_PROMPT: f64 = 300.0;
const LONG_PROMPT: f64 = 8_000.0;

/// Factor of the runners on reading times.
const READ_FACTOR: f64 = 8.0;

/// Latency objective of the route.
const OBJECTIVE_MS: f64 = 500.0;

/// A prompt on its way over four runners.
struct SentPrompt {
    host: usize,
    runners: Vec<usize>,
    sent_ms: f64,
    read_ms: f64,
    tokens: f64,
}

/// Times to the first event in milliseconds, sorted.
#[derive(Default)]
struct Waits {
    short: Vec<f64>,
    long: Vec<f64>,
}

impl Waits {
    fn quantile(waits: &[f64], fraction: f64) -> f64 {
        waits[((waits.len() - 1) as f64 * fraction) as usize]
    }

    fn late(&self) -> f64 {
        let late = self.short.iter().filter(|wait| **wait > OBJECTIVE_MS);
        late.count() as f64 / self.short.len() as f64
    }
}

fn key(runner: usize) -> u32 {
    runner as u32
}

/// Backlogs of the prompts for which `counts` holds, sorted by runner.
fn backlogs(
    prompts: &[SentPrompt],
    counts: impl Fn(&SentPrompt) -> bool,
) -> Vec<demand::PromptBacklog> {
    let mut sums = unread::UnreadPrompts::default();
    for prompt in prompts.iter().filter(|prompt| counts(prompt)) {
        for runner in &prompt.runners {
            sums.begin(key(*runner), (prompt.tokens * 20.0) as u64);
        }
    }
    sums.backlogs().to_vec()
}

/// Lets hosts send requests of which every tenth has a long prompt. Each runner reads
/// one prompt after the other. Without `is_timed` paths are chosen by their load.
fn play(is_timed: bool, seed: u64) -> Waits {
    let engine = engine();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let timing = path::PathTiming {
        first_limit_ms: OBJECTIVE_MS / 2.0,
        gap_limit_ms: f64::INFINITY,
        domains: 1,
        links: Vec::new(),
        alike: 1.0,
    };
    let mut prompts: Vec<SentPrompt> = Vec::new();
    let mut free_ms = [0.0_f64; RUNNERS];
    let mut waits = Waits::default();
    let mut now = 0.0;
    while now < 60_000.0 {
        now += -22.0 * (1.0 - rng.random::<f64>()).ln();
        let host = rng.random_range(0..HOSTS);
        let is_long = rng.random_range(0..10) == 0;
        let tokens = if is_long { LONG_PROMPT } else { SHORT_PROMPT };
        prompts.retain(|prompt| prompt.read_ms + ANSWER_MS + REPORT_MS > now);
        let reported = (now / REPORT_MS).floor() * REPORT_MS;
        let own = backlogs(&prompts, |prompt| {
            prompt.host == host && prompt.read_ms > now
        });
        let others = backlogs(&prompts, |prompt| {
            prompt.host != host && prompt.sent_ms < reported && prompt.read_ms > reported
        });
        let is_known = |prompt: &&SentPrompt| {
            let seen = if prompt.host == host { now } else { reported };
            prompt.sent_ms < seen && prompt.read_ms + ANSWER_MS > seen
        };
        let candidate = |runner: usize| {
            let from = (runner / COPIES * 20) as u32;
            let mine = prompts.iter().filter(is_known);
            let in_flight = mine.filter(|prompt| prompt.runners.contains(&runner));
            let unread = [&own, &others].map(|list| unread::backlog(list, key(runner)));
            path::StageCandidate {
                runner,
                domain: 0,
                layers: runner::LayerSpan {
                    from,
                    to: from + 20,
                },
                step_factor: READ_FACTOR,
                read_factor: READ_FACTOR,
                in_flight: in_flight.count() as f64,
                slots: 192.0,
                free_token_layers: f64::MAX,
                unread_token_layers: unread.iter().sum(),
                penalty_ms: 0.0,
            }
        };
        let candidates: Vec<_> = (0..RUNNERS).map(candidate).collect();
        let query = path::PathQuery {
            prompt: tokens,
            context: tokens + 200.0,
            timing: is_timed.then_some(&timing),
            ..gateway_fixture::query(&engine, 0)
        };
        let chosen = path::choose(&candidates, &query, || 1.0 + 0.1 * rng.random::<f64>());
        let runners: Vec<_> = chosen
            .unwrap()
            .stages
            .iter()
            .map(|stage| stage.runner)
            .collect();
        assert_eq!(runners.len(), QUARTERS);
        let mut read_ms = now;
        for runner in &runners {
            read_ms = read_ms.max(free_ms[*runner])
                + unread::read_ms(&engine, READ_FACTOR, tokens * 20.0);
            free_ms[*runner] = read_ms;
        }
        let kind = if is_long {
            &mut waits.long
        } else {
            &mut waits.short
        };
        kind.push(read_ms - now);
        prompts.push(SentPrompt {
            host,
            runners,
            sent_ms: now,
            read_ms,
            tokens,
        });
    }
    waits.short.sort_unstable_by(f64::total_cmp);
    waits.long.sort_unstable_by(f64::total_cmp);
    waits
}

/// A tenth of the prompts is long and makes three quarters of what is to be read.
#[test]
fn short_prompts_pass_runners_that_read_long_ones() {
    for seed in 0..4 {
        let (before, after) = (play(false, seed), play(true, seed));
        println!(
            "seed {seed}: short p50 {:.0} -> {:.0} ms, p95 {:.0} -> {:.0} ms, late {:.3} -> {:.3}, long p50 {:.0} -> {:.0} ms, max {:.0} -> {:.0} ms",
            Waits::quantile(&before.short, 0.5),
            Waits::quantile(&after.short, 0.5),
            Waits::quantile(&before.short, 0.95),
            Waits::quantile(&after.short, 0.95),
            before.late(),
            after.late(),
            Waits::quantile(&before.long, 0.5),
            Waits::quantile(&after.long, 0.5),
            Waits::quantile(&before.long, 1.0),
            Waits::quantile(&after.long, 1.0),
        );
        let median = |waits: &Waits| Waits::quantile(&waits.short, 0.5);
        assert!(median(&after) <= 0.7 * median(&before));
        assert!(after.late() < before.late());
        // Long prompts are not starved for it.
        assert!(Waits::quantile(&after.long, 0.5) <= Waits::quantile(&before.long, 0.5));
        assert!(Waits::quantile(&after.long, 1.0) <= Waits::quantile(&before.long, 1.0));
    }
}

#[test]
fn backlog_ends_with_what_was_sent() {
    let mut sums = unread::UnreadPrompts::default();
    sums.begin(7, 100);
    sums.begin(3, 0);
    sums.begin(7, 20);
    sums.begin(5, 1);
    assert_eq!(unread::backlog(sums.backlogs(), 7) as u64, 120);
    assert_eq!(unread::backlog(sums.backlogs(), 3) as u64, 0);
    sums.end(7, 100);
    sums.end(5, 4);
    sums.end(9, 4);
    assert_eq!(sums.backlogs().len(), 1);
    sums.end(7, 20);
    assert!(sums.backlogs().is_empty());
}
