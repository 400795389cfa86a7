//! Pauses of streams whose stage dies or falls silent.

use std::rc;
use std::time as std_time;

use rand::SeedableRng;
use tokio::time;

use crate::fleet;
use crate::report;
use crate::saturation;
use crate::way;
use crate::world;

/// Callers for each place in a batch: about half of what saturates.
const CALLERS_IN_PARTS: usize = 2;

/// Time before the first death.
const WARM_UP: std_time::Duration = std_time::Duration::from_secs(3);

/// Time between two deaths.
const DEATH_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);

/// Runners that die, one after the other.
const DEATHS: usize = 6;

/// Longest pause at the 99th percentile besides the prefill, in milliseconds.
const TARGET_MS: f64 = 500.0;

/// Measures deaths that are heard of and deaths that are not.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("stage-death", seed);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    for fleet in fleet::users(&mut rng) {
        for (name, silent) in [("killed", false), ("silent", true)] {
            let late = saturation::REPORT_LATE;
            let way = way::ChoiceWay::planned();
            let outcome = world::run(&fleet, way, late, seed, |world| die(world, silent))?;
            let most = Some(report::FigureTarget::AtMost(TARGET_MS));
            let none = Some(report::FigureTarget::AtMost(0.0));
            report.add(
                fleet.name,
                name,
                "pause besides prefill, p99 ms",
                outcome.p99,
                most,
            );
            report.add(
                fleet.name,
                name,
                "pause besides prefill, p50 ms",
                outcome.p50,
                None,
            );
            report.add(
                fleet.name,
                name,
                "streams resumed",
                outcome.resumed as f64,
                None,
            );
            report.add(fleet.name, name, "streams lost", outcome.lost as f64, none);
            report.add(
                fleet.name,
                name,
                "tokens dropped",
                outcome.dropped as f64,
                None,
            );
        }
    }
    Ok(report)
}

struct DeathOutcome {
    p50: f64,
    p99: f64,
    resumed: u64,
    lost: u64,
    dropped: u64,
}

async fn die(world: rc::Rc<world::BenchWorld>, silent: bool) -> anyhow::Result<DeathOutcome> {
    let places: u32 = world.fleet.runners.iter().map(|spec| spec.kind.batch).sum();
    let callers = places as usize / CALLERS_IN_PARTS;
    world.start_callers(callers, saturation::ANSWER_TOKENS);
    time::sleep(WARM_UP).await;
    world.measuring.set(true);
    for death in 0..DEATHS {
        // A stride that is prime to the fleet's size meets every range.
        let index = death * 7 % world.fleet.runners.len();
        match silent {
            true => world.pool.silence(index),
            false => world.pool.kill(index),
        }
        time::sleep(DEATH_PERIOD).await;
    }
    let stats = world.stats.borrow();
    let mut pauses = report::histogram()?;
    for resume in &stats.resumes {
        let besides = resume.pause.saturating_sub(resume.prefill);
        pauses.saturating_record(besides.as_micros() as u64);
    }
    Ok(DeathOutcome {
        p50: pauses.value_at_quantile(0.50) as f64 / 1_000.0,
        p99: pauses.value_at_quantile(0.99) as f64 / 1_000.0,
        resumed: pauses.len(),
        lost: stats.lost,
        dropped: stats.dropped,
    })
}
