//! Tokens a second against the bound while callers ask for more than fits.

use std::time as std_time;

use rand::SeedableRng;
use tokio::time;

use crate::fleet;
use crate::report;
use crate::way;
use crate::world;

/// Age of the load that engines report.
pub(crate) const REPORT_LATE: std_time::Duration = std_time::Duration::from_secs(2);

/// Callers for each place in a batch.
pub(crate) const CALLERS_PER_PLACE: usize = 4;

/// Tokens of an answer.
pub(crate) const ANSWER_TOKENS: std::ops::Range<u32> = 50..350;

/// Time before the measurement.
const WARM_UP: std_time::Duration = std_time::Duration::from_secs(6);

/// Time of the measurement.
const MEASURED: std_time::Duration = std_time::Duration::from_secs(12);

/// Least part of the bound, in per cent.
const TARGET: f64 = 92.0;

/// Measures every way on both users' fleets.
pub(crate) fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut report = report::ScenarioReport::new("saturation", seed);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    for fleet in fleet::users(&mut rng) {
        for (name, way) in way::ChoiceWay::all() {
            let outcome = world::run(&fleet, way, REPORT_LATE, seed, saturate)?;
            let target = match way {
                way::ChoiceWay::Planned(_) => Some(report::FigureTarget::AtLeast(TARGET)),
                _ => None,
            };
            let part = 100.0 * outcome.rate / outcome.bound;
            report.add(fleet.name, name, "of the bound, %", part, target);
            report.add(fleet.name, name, "tokens/s", outcome.rate, None);
        }
        let bound = world::run(&fleet, way::ChoiceWay::planned(), REPORT_LATE, seed, bound)?;
        report.add(fleet.name, "bound", "tokens/s", bound, None);
    }
    Ok(report)
}

struct SaturationOutcome {
    rate: f64,
    bound: f64,
}

async fn saturate(world: std::rc::Rc<world::BenchWorld>) -> anyhow::Result<SaturationOutcome> {
    world.start_callers(callers(&world.fleet), ANSWER_TOKENS);
    time::sleep(WARM_UP).await;
    let from = time::Instant::now();
    time::sleep(MEASURED).await;
    Ok(SaturationOutcome {
        rate: world.rate(from, time::Instant::now()),
        bound: world.bound() as f64,
    })
}

async fn bound(world: std::rc::Rc<world::BenchWorld>) -> anyhow::Result<f64> {
    Ok(world.bound() as f64)
}

/// Returns the callers that saturate a fleet.
pub(crate) fn callers(fleet: &fleet::FleetSpec) -> usize {
    let places: u32 = fleet.runners.iter().map(|spec| spec.kind.batch).sum();
    places as usize * CALLERS_PER_PLACE
}
