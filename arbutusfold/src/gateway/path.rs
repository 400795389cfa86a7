//! Choice of a path over runners that covers every layer once.
//!
//! A path is the cheapest way through the layer boundaries, by the expected
//! time of one request over the stages under the load known now.

use arbutusfold_platform::{document, runner};

/// Extra time of a path that enters another failure domain than the node's,
/// in milliseconds; it keeps traffic local while load is even.
const REMOTE_ENTRY_MS: f64 = 40.0;

/// Factor on the time that a request's activations take on the shared pipe
/// between failure domains; others wait behind them.
const PIPE_CONTENTION_FACTOR: f64 = 60.0;

/// Extra time of a stage whose memory is full, in milliseconds: it outweighs
/// any difference of speed.
pub const FULL_PENALTY_MS: f64 = 60_000.0;

/// Expected time from which a path is not worth trying: it has a full stage or
/// several that failed lately, and an early refusal lets its caller return.
pub const MAX_COST_MS: f64 = 60_000.0;

/// Extra time of a stage that failed lately, in milliseconds; it is taken
/// only where no other stage is left.
pub const AVOIDED_PENALTY_MS: f64 = 20_000.0;

/// Extra time of a stage by its share of failures, in milliseconds.
pub const FAILING_PENALTY_MS: f64 = 2_000.0;

/// Time that each further stage costs for each event, in milliseconds.
const HOP_MS: f64 = 0.4;

/// What a runner offers to a path.
#[derive(Clone, Debug, PartialEq)]
pub struct StageCandidate {
    /// Place of the runner in its caller's list.
    pub runner: usize,
    /// Place of its failure domain in its caller's list.
    pub domain: usize,
    /// Layers that it holds.
    pub layers: runner::LayerSpan,
    /// Factor on the time of token steps.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub read_factor: f64,
    /// Requests that are under way there, over all nodes, by estimate.
    pub in_flight: f64,
    /// Tokens of context, times layers, that still fit.
    pub free_token_layers: f64,
    /// Time added to its cost, in milliseconds.
    pub penalty_ms: f64,
}

/// What a path is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct PathQuery<'a> {
    /// Engine of the service.
    pub engine: &'a document::EngineSpec,
    /// Layers that the path is to cover.
    pub layers: runner::LayerSpan,
    /// Place of the failure domain that the path is entered from, if any
    /// runner is there.
    pub domain: Option<usize>,
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens of the answer, as expected.
    pub answer: f64,
}

/// One stage of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathStage {
    /// Place of the runner in its caller's list.
    pub runner: usize,
    /// Layers that it runs.
    pub layers: runner::LayerSpan,
}

/// A path with its expected time.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenPath {
    /// Stages in order.
    pub stages: Vec<PathStage>,
    /// Expected time of the request in milliseconds, with penalties.
    pub cost_ms: f64,
}

/// The best way to one boundary that ends in one failure domain.
#[derive(Clone, Copy, Debug)]
struct ReachedBoundary {
    cost: f64,
    /// Offer of the last stage and the state before it.
    candidate: usize,
    from: usize,
    domain_before: usize,
}

/// Chooses the cheapest path over the layers, or none when one has no holder.
///
/// `jitter` returns factors near 1 that keep nodes from choosing alike.
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
    let stride = f64::from(engine.stride);
    let context = (query.prompt + query.answer / 2.0) / 1_000.0;
    // A stream is at one stage at a time, so its share of the layers is its
    // share of the time there.
    let batch = candidate.in_flight * share;
    let each = engine.sequence_ms + engine.context_ms * context;
    let pass = stride * candidate.step_factor * share * (engine.step_ms + each * (batch + 1.0));
    let events = query.answer / stride;
    let read = match engine.read_per_second > 0.0 {
        true => candidate.read_factor * share * query.prompt * 1_000.0 / engine.read_per_second,
        false => 0.0,
    };
    let full = FULL_PENALTY_MS * f64::from(is_full(candidate, layers, query));
    // A stream mostly finds a pass under way and waits for half of it.
    events * (1.5 * pass + HOP_MS) + read * (1.0 + batch / 2.0) + full + candidate.penalty_ms
}

/// Tells whether a request has no room at a stage over so many layers.
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

/// Time that a crossing between failure domains costs a request.
fn crossing_ms(query: &PathQuery<'_>) -> f64 {
    let Some(pipe_mbps) = query.engine.pipe_mbps.filter(|pipe| *pipe > 0.0) else {
        return 0.0;
    };
    let bytes = query.engine.activation_bytes * (query.prompt + query.answer);
    PIPE_CONTENTION_FACTOR * bytes * 8.0 / (pipe_mbps * 1_000.0)
}

/// Returns the cheapest way to a cut for a stage in `domain`.
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
        // A runner stands once in a path: it also runs what lies between its
        // two stages, since it holds all of it.
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
