//! Tokens a second after one of three failure domains falls silent.

use std::rc;
use std::time as std_time;

use rand::SeedableRng;
use tokio::time;

use crate::fleet;
use crate::report;
use crate::saturation;
use crate::way;
use crate::world;

/// Time before the loss.
const WARM_UP: std_time::Duration = std_time::Duration::from_secs(4);

/// Time in which the rest must be in use.
const RECOVERY: std_time::Duration = std_time::Duration::from_secs(1);

/// Time over which the rate is measured after that.
const MEASURED: std_time::Duration = std_time::Duration::from_secs(1);

/// Least part of what remains possible, in per cent.
const TARGET: f64 = 90.0;

/// Measures every way on both users' fleets, for each failure domain.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("domain-loss", seed);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    for fleet in fleet::users(&mut rng) {
        for (name, way) in way::ChoiceWay::all() {
            for domain in 0..fleet.domains.len() {
                let late = saturation::REPORT_LATE;
                let outcome = world::run(&fleet, way, late, seed, |world| lose(world, domain))?;
                let target = match way {
                    way::ChoiceWay::Planned(_) => Some(report::FigureTarget::AtLeast(TARGET)),
                    _ => None,
                };
                let figure = format!("without {}: of what remains, %", fleet.domains[domain]);
                let part = 100.0 * outcome.rate / outcome.bound;
                report.add(fleet.name, name, &figure, part, target);
                let figure = format!("without {}: streams lost", fleet.domains[domain]);
                report.add(fleet.name, name, &figure, outcome.lost as f64, None);
            }
        }
    }
    Ok(report)
}

struct LossOutcome {
    rate: f64,
    bound: f64,
    lost: u64,
}

async fn lose(world: rc::Rc<world::BenchWorld>, domain: usize) -> anyhow::Result<LossOutcome> {
    world.start_callers(saturation::callers(&world.fleet), saturation::ANSWER_TOKENS);
    time::sleep(WARM_UP).await;
    for (index, spec) in world.fleet.runners.iter().enumerate() {
        if spec.domain == domain {
            world.pool.silence(index);
        }
    }
    time::sleep(RECOVERY).await;
    let from = time::Instant::now();
    time::sleep(MEASURED).await;
    let rate = world.rate(from, time::Instant::now());
    Ok(LossOutcome {
        rate,
        bound: world.bound() as f64,
        lost: world.stats.borrow().lost,
    })
}
