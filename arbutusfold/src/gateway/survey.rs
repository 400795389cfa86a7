//! Leads ask the runners of their failure domain how slow they are.
//!
//! A slow runner looks like a busy one from outside; only its own report
//! tells. One node asks for all, since each report has a price.

use std::sync;
use std::time as std_time;

use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::lead;
use crate::gateway::runner_call;

/// Time between two surveys; slow spells last for seconds.
const SURVEY_PERIOD: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Longest time for a report; a live runner takes a few milliseconds.
const REPORT_LIMIT: std_time::Duration = std_time::Duration::from_millis(400);

/// Factor on its usual times from which a runner is told to be slow.
const SLOW_FACTOR: f64 = 1.2;

/// Surveys the runners while this node leads its failure domain.
pub async fn keep(core: sync::Arc<core::GatewayCore>) {
    let mut ticks = time::interval(SURVEY_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let slow = match core.is_leading() && !core.is_stopping() {
            true => survey(&core).await,
            false => Vec::new(),
        };
        let mut leads = lock(&core.leads);
        let before = leads.survey().len();
        let count = slow.len();
        leads.note_survey(slow);
        drop(leads);
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

async fn survey(core: &core::GatewayCore) -> Vec<lead::SlowRunner> {
    let now = time::Instant::now();
    let asked: Vec<_> = lock(&core.fleet)
        .runners()
        .iter()
        .filter(|state| state.record.domain == core.settings.domain && state.is_usable(now))
        .filter(|state| state.layers().is_some() && state.record.card.is_some())
        .map(|state| (state.key, state.record.address))
        .collect();
    let reports = asked.iter().map(|(key, address)| async move {
        let report = runner_call::report(*address, REPORT_LIMIT).await;
        // A runner without a report is found by its streams.
        let factor = report.ok()?.slowness;
        (factor >= SLOW_FACTOR).then(|| lead::SlowRunner::new(*key, factor))
    });
    let mut slow: Vec<_> = futures_util::future::join_all(reports)
        .await
        .into_iter()
        .flatten()
        .collect();
    slow.sort_unstable_by_key(|slow| slow.runner);
    slow
}
