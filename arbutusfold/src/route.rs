//! Choice of the stages that a request passes.

use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::upstream;

/// Age from which a report no longer counts.
const REPORT_LIFE: std_time::Duration = std_time::Duration::from_secs(3);

/// Time for which an upstream that failed a call is passed over.
const FAILURE_PAUSE: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Chooses a route that covers every layer of a model once.
///
/// At each layer boundary the runner with the fewest requests is taken.
pub fn choose(
    model: &document::ModelSpec,
    states: &[upstream::UpstreamState],
    now: time::Instant,
) -> Option<Vec<upstream::RouteStage>> {
    let mut route = Vec::new();
    let mut next: id::LayerIndex = 0;
    while next < model.layers {
        let (state, incarnation, layers) = states
            .iter()
            .filter_map(|state| offer(state, model, next, now))
            .min_by_key(|(state, _, layers)| (state.in_flight, model.layers - layers.to))?;
        route.push(upstream::RouteStage {
            upstream: state.name.clone(),
            incarnation,
            address: state.address,
            layers,
        });
        next = layers.to;
    }
    Some(route)
}

fn offer<'a>(
    state: &'a upstream::UpstreamState,
    model: &document::ModelSpec,
    next: id::LayerIndex,
    now: time::Instant,
) -> Option<(
    &'a upstream::UpstreamState,
    id::IncarnationNumber,
    upstream::LayerRange,
)> {
    let (report, heard) = state.report.as_ref()?;
    let stale = now.duration_since(*heard) > REPORT_LIFE;
    let paused = state
        .failed
        .is_some_and(|failed| now.duration_since(failed) < FAILURE_PAUSE);
    if stale || paused || report.leaving {
        return None;
    }
    let held = report
        .held
        .iter()
        .find(|held| held.model == model.name && held.version == model.version)?;
    let from_next = held.layers.from <= next && next < held.layers.to;
    from_next.then_some((
        state,
        report.incarnation,
        upstream::LayerRange {
            from: next,
            to: held.layers.to,
        },
    ))
}
