//! Choice of a path over runners that covers every layer once.
//!
//! This is a shortest-path search over the boundaries between layers. The cost of
//! a stage is the expected time of the request there under the load known now.

use arbutusfold_platform::{document, runner};

/// Cost of a path that starts in another failure domain than the node's, in
/// milliseconds. It keeps traffic local while the load is even.
const REMOTE_ENTRY_MS: f64 = 40.0;

/// Factor on the transfer time of a request's activations over the shared link
/// between failure domains, because other requests wait behind them.
const PIPE_CONTENTION_FACTOR: f64 = 60.0;

/// Cost of a stage whose memory is full, in milliseconds. It outweighs any
/// difference in speed.
pub const FULL_PENALTY_MS: f64 = 60_000.0;

/// Cost from which a path is not tried. Such a path has a full stage or several
/// that failed recently; an early refusal lets the caller retry.
pub const MAX_COST_MS: f64 = 60_000.0;

/// Cost of a stage that failed recently, in milliseconds. It is used only if no
/// other stage is left.
pub const AVOIDED_PENALTY_MS: f64 = 20_000.0;

/// Cost of a stage whose recent requests all failed, in milliseconds; scaled by
/// the share of failures.
pub const FAILING_PENALTY_MS: f64 = 2_000.0;

/// Time per event for the hop to each stage, in milliseconds.
const HOP_MS: f64 = 0.4;

/// A runner as a candidate for a stage of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct StageCandidate {
    /// Index of the runner in the caller's list.
    pub runner: usize,
    /// Index of its failure domain in the caller's list.
    pub domain: usize,
    /// Layers that the runner holds.
    pub layers: runner::LayerSpan,
    /// Factor on the time of decoding steps.
    pub step_factor: f64,
    /// Factor on the time of processing prompts.
    pub read_factor: f64,
    /// Estimated requests in flight there, over all nodes.
    pub in_flight: f64,
    /// Free memory, in tokens of context times layers.
    pub free_token_layers: f64,
    /// Cost added for past failures, in milliseconds.
    pub penalty_ms: f64,
}

/// Request that a path is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct PathQuery<'a> {
    /// Engine of the service.
    pub engine: &'a document::EngineSpec,
    /// Layers that the path must cover.
    pub layers: runner::LayerSpan,
    /// Index of the failure domain that the path starts from, if any runner is
    /// there.
    pub domain: Option<usize>,
    /// Length of the prompt in tokens.
    pub prompt: f64,
    /// Expected length of the answer in tokens.
    pub answer: f64,
}

/// One stage of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathStage {
    /// Index of the runner in the caller's list.
    pub runner: usize,
    /// Layers that the runner runs.
    pub layers: runner::LayerSpan,
}

/// A path and its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenPath {
    /// Stages in order.
    pub stages: Vec<PathStage>,
    /// Expected time of the request in milliseconds, with penalties.
    pub cost_ms: f64,
}

/// The cheapest partial path up to one boundary whose last stage is in one
/// failure domain.
#[derive(Clone, Copy, Debug)]
struct ReachedBoundary {
    cost: f64,
    /// Index of the candidate for the last stage.
    candidate: usize,
    /// Index of the boundary before the last stage.
    from: usize,
    /// Failure domain of the stage before.
    domain_before: usize,
}

/// Chooses the cheapest path over the layers, or `None` if some layer has no
/// runner.
///
/// `jitter` returns factors near 1 that keep nodes from making the same choices.
pub fn choose(
    candidates: &[StageCandidate],
    query: &PathQuery<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Option<ChosenPath> {
    let boundaries = layer_boundaries(candidates, query.layers);
    let last = boundaries.len() - 1;
    let domains = candidates
        .iter()
        .map(|candidate| candidate.domain + 1)
        .max()?;
    let factors: Vec<_> = candidates.iter().map(|_| jitter()).collect();
    let crossing = crossing_ms(query);
    let mut reached: Vec<Option<ReachedBoundary>> = vec![None; boundaries.len() * domains];
    for boundary in 0..last {
        for (index, candidate) in candidates.iter().enumerate() {
            if boundaries[boundary] < candidate.layers.from
                || boundaries[boundary] >= candidate.layers.to
            {
                continue;
            }
            let Some((before, domain_before)) = cheapest_entry(
                &reached,
                boundary,
                domains,
                candidate.domain,
                query,
                crossing,
            ) else {
                continue;
            };
            for next in boundary + 1..=last {
                if boundaries[next] > candidate.layers.to {
                    break;
                }
                let layers = boundaries[next] - boundaries[boundary];
                let cost = before + factors[index] * stage_ms(candidate, layers, query);
                let best = &mut reached[next * domains + candidate.domain];
                if best.is_none_or(|best| cost < best.cost) {
                    *best = Some(ReachedBoundary {
                        cost,
                        candidate: index,
                        from: boundary,
                        domain_before,
                    });
                }
            }
        }
    }
    let ends = (0..domains).filter_map(|domain| {
        let end = reached[last * domains + domain]?;
        Some((end.cost, domain))
    });
    let (cost_ms, domain) = ends.min_by(|one, other| one.0.total_cmp(&other.0))?;
    let stages = backtrack(candidates, &boundaries, &reached, domains, domain);
    Some(ChosenPath { stages, cost_ms })
}

/// Returns the expected time of a request at a stage, in milliseconds.
pub fn stage_ms(candidate: &StageCandidate, layers: u32, query: &PathQuery<'_>) -> f64 {
    let engine = query.engine;
    let share = f64::from(layers) / f64::from(engine.layers);
    let stride = f64::from(engine.event_tokens);
    let context = (query.prompt + query.answer / 2.0) / 1_000.0;
    // A stream is processed by one stage at a time, so the fraction of its time
    // at a stage is the fraction of layers there.
    let batch = candidate.in_flight * share;
    let each = engine.sequence_ms + engine.context_ms * context;
    let pass = stride * candidate.step_factor * share * (engine.step_ms + each * (batch + 1.0));
    let events = query.answer / stride;
    let read = match engine.read_per_second > 0.0 {
        true => candidate.read_factor * share * query.prompt * 1_000.0 / engine.read_per_second,
        false => 0.0,
    };
    let full = FULL_PENALTY_MS * f64::from(is_full(candidate, layers, query));
    // A stream usually arrives during a pass and waits for half of it on average.
    events * (1.5 * pass + HOP_MS) + read * (1.0 + batch / 2.0) + full + candidate.penalty_ms
}

/// Returns whether the request does not fit into the memory of a stage with this
/// many layers.
pub fn is_full(candidate: &StageCandidate, layers: u32, query: &PathQuery<'_>) -> bool {
    (query.prompt + query.answer) * f64::from(layers) > candidate.free_token_layers
}

fn layer_boundaries(candidates: &[StageCandidate], layers: runner::LayerSpan) -> Vec<u32> {
    let ends = candidates
        .iter()
        .flat_map(|candidate| [candidate.layers.from, candidate.layers.to]);
    let mut boundaries: Vec<_> = ends
        .chain([layers.from, layers.to])
        .filter(|boundary| (layers.from..=layers.to).contains(boundary))
        .collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}

/// Returns the cost of a hop between failure domains, in milliseconds.
fn crossing_ms(query: &PathQuery<'_>) -> f64 {
    let Some(link_mbps) = query.engine.link_mbps.filter(|pipe| *pipe > 0.0) else {
        return 0.0;
    };
    let bytes = query.engine.activation_bytes * (query.prompt + query.answer);
    PIPE_CONTENTION_FACTOR * bytes * 8.0 / (link_mbps * 1_000.0)
}

/// Returns the cost of the cheapest partial path up to a boundary for a next
/// stage in `domain`, and the failure domain of its last stage.
fn cheapest_entry(
    reached: &[Option<ReachedBoundary>],
    boundary: usize,
    domains: usize,
    domain: usize,
    query: &PathQuery<'_>,
    crossing: f64,
) -> Option<(f64, usize)> {
    if boundary == 0 {
        let near = query.domain == Some(domain);
        return Some((if near { 0.0 } else { REMOTE_ENTRY_MS }, domain));
    }
    let entries = (0..domains).filter_map(|before| {
        let best = reached[boundary * domains + before]?;
        let crossed = if before == domain { 0.0 } else { crossing };
        Some((best.cost + crossed, before))
    });
    entries.min_by(|one, other| one.0.total_cmp(&other.0))
}

fn backtrack(
    candidates: &[StageCandidate],
    boundaries: &[u32],
    reached: &[Option<ReachedBoundary>],
    domains: usize,
    mut domain: usize,
) -> Vec<PathStage> {
    let mut stages: Vec<PathStage> = Vec::new();
    let mut boundary = boundaries.len() - 1;
    while let Some(step) = reached[boundary * domains + domain] {
        let runner = candidates[step.candidate].runner;
        let from = boundaries[step.from];
        // A runner may occur only once in a path. It then also runs the layers
        // between its two stages, since it holds all of them.
        if let Some(again) = stages.iter().position(|stage| stage.runner == runner) {
            let to = stages[again].layers.to;
            stages.drain(..again);
            stages[0].layers = runner::LayerSpan { from, to };
        } else {
            let layers = runner::LayerSpan {
                from,
                to: boundaries[boundary],
            };
            stages.insert(0, PathStage { runner, layers });
        }
        boundary = step.from;
        domain = step.domain_before;
        if boundary == 0 {
            break;
        }
    }
    stages
}
