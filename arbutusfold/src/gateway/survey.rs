//! Survey of slow runners by the leader of each failure domain.
//!
//! From outside, a slow runner cannot be distinguished from a busy one; only
//! its own report shows the difference. The leader alone requests the reports
//! for all nodes of its domain, since each report has a cost.

use std::sync;
use std::time as std_time;

use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::leader;
use crate::gateway::runner_call;

/// Time between two surveys. Runners stay slow for several seconds.
const SURVEY_PERIOD: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Timeout for a report; a live runner answers in a few milliseconds.
const REPORT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);

/// Slowdown relative to its usual times from which a runner is reported as slow.
const SLOW_FACTOR: f64 = 1.2;

/// Slowdown that is assumed for a runner that sent no report.
const MISSING_REPORT_FACTOR: f64 = 50.0;

/// Fraction of the runners above which missing reports are attributed to a
/// fault of this node.
const MISSING_REPORT_FRACTION: f64 = 0.34;

/// Surveys the runners while this node leads its failure domain.
pub async fn run(core: sync::Arc<core::GatewayCore>) {
    let mut ticks = time::interval(SURVEY_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let slow = match core.is_leading() && !core.is_stopping() {
            true => survey(&core).await,
            false => Vec::new(),
        };
        let mut loads = lock(&core.loads);
        let before = loads.slow_runners().len();
        let count = slow.len();
        loads.set_slow_runners(slow);
        drop(loads);
        if before != count {
            let domain = &core.settings.domain;
            core.note(
                event::EventCode::SlowRunners,
                domain,
                format!("slow={count} before={before}"),
            );
        }
    }
}

async fn survey(core: &core::GatewayCore) -> Vec<leader::SlowRunner> {
    let now = time::Instant::now();
    let targets: Vec<_> = lock(&core.fleet)
        .runners()
        .iter()
        .filter(|state| state.record.domain == core.settings.domain && state.is_usable(now))
        .filter(|state| state.layers().is_some() && state.record.card.is_some())
        .map(|state| (state.key, state.record.address))
        .collect();
    let calls = targets.iter().map(|(key, address)| async move {
        let report = runner_call::report(&*core.dialer, *address, REPORT_TIMEOUT).await;
        (*key, report.ok().map(|report| report.slowness))
    });
    let reports = futures_util::future::join_all(calls).await;
    slow_runners(&reports)
}

/// Returns the slow runners among the surveyed ones, sorted by key.
///
/// The factor of a runner is `None` if it sent no report.
pub fn slow_runners(reports: &[(leader::RunnerKey, Option<f64>)]) -> Vec<leader::SlowRunner> {
    let missing_count = reports
        .iter()
        .filter(|(_, factor)| factor.is_none())
        .count();
    let isolated = missing_count as f64 > MISSING_REPORT_FRACTION * reports.len() as f64;
    let missing_factor = match isolated {
        true => 1.0,
        false => MISSING_REPORT_FACTOR,
    };
    let factors = reports
        .iter()
        .map(|(key, factor)| (*key, factor.unwrap_or(missing_factor)));
    let mut slow: Vec<_> = factors
        .filter(|(_, factor)| *factor >= SLOW_FACTOR)
        .map(|(key, factor)| leader::SlowRunner::new(key, factor))
        .collect();
    slow.sort_unstable_by_key(|slow| slow.runner);
    slow
}
