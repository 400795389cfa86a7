//! Choice of a path over runners that covers every layer once.
//!
//! A path is the cheapest way through the layer boundaries, by the expected
//! time of one request over the stages under the load known now.

use arbutusfold_platform::{document, runner};

/// Extra time of a path that enters another failure domain than the node's,
/// in milliseconds; it keeps traffic local while load is even.
const ENTRY_CROSSING_MS: f64 = 40.0;

/// Factor on the time that a request's activations take on the shared pipe
/// between failure domains; others wait behind them.
const PIPE_SHARE_FACTOR: f64 = 60.0;

/// Extra time of a stage whose memory is full, in milliseconds: it outweighs
/// any difference of speed.
pub const FULL_MEMORY_MS: f64 = 60_000.0;

/// Expected time from which a path is not worth trying: it has a full stage or
/// several that failed lately, and an early refusal lets its caller return.
pub const CROWDED_MS: f64 = 60_000.0;

/// Extra time of a stage that failed lately, in milliseconds; it is taken
/// only where no other stage is left.
pub const AVOIDED_MS: f64 = 20_000.0;

/// Extra time of a stage by its share of failures, in milliseconds.
pub const FAILING_MS: f64 = 2_000.0;

/// Time that each further stage costs for each event, in milliseconds.
const HOP_MS: f64 = 0.4;

/// What a runner offers to a path.
#[derive(Clone, Debug, PartialEq)]
pub struct StageOffer {
    /// Place of the runner in its caller's list.
    pub place: usize,
    /// Place of its failure domain in its caller's list.
    pub domain: usize,
    /// Layers that it holds.
    pub layers: runner::LayerSpan,
    /// Factor on the time of token steps.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub read_factor: f64,
    /// Requests that are under way there, over all nodes, by estimate.
    pub streams: f64,
    /// Tokens of context, times layers, that still fit.
    pub room: f64,
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
    pub place: usize,
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
struct ReachedCut {
    cost: f64,
    /// Offer of the last stage and the state before it.
    offer: usize,
    from: usize,
    domain_before: usize,
}

/// Chooses the cheapest path over the layers, or none when one has no holder.
///
/// `jitter` returns factors near 1 that keep nodes from choosing alike.
pub fn choose(
    offers: &[StageOffer],
    query: &PathQuery<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Option<ChosenPath> {
    let cuts = cuts_of(offers, query.layers);
    let last = cuts.len() - 1;
    let domains = offers.iter().map(|offer| offer.domain + 1).max()?;
    let factors: Vec<_> = offers.iter().map(|_| jitter()).collect();
    let crossing = crossing_ms(query);
    let mut reached: Vec<Option<ReachedCut>> = vec![None; cuts.len() * domains];
    for cut in 0..last {
        for (index, offer) in offers.iter().enumerate() {
            if cuts[cut] < offer.layers.from || cuts[cut] >= offer.layers.to {
                continue;
            }
            let Some((before, domain_before)) =
                cheapest_way(&reached, cut, domains, offer.domain, query, crossing)
            else {
                continue;
            };
            for next in cut + 1..=last {
                if cuts[next] > offer.layers.to {
                    break;
                }
                let layers = cuts[next] - cuts[cut];
                let cost = before + factors[index] * stage_ms(offer, layers, query);
                let held = &mut reached[next * domains + offer.domain];
                if held.is_none_or(|held| cost < held.cost) {
                    *held = Some(ReachedCut {
                        cost,
                        offer: index,
                        from: cut,
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
    let stages = walk_back(offers, &cuts, &reached, domains, domain);
    Some(ChosenPath { stages, cost_ms })
}

/// Returns the expected time of a request at a stage, in milliseconds.
pub fn stage_ms(offer: &StageOffer, layers: u32, query: &PathQuery<'_>) -> f64 {
    let engine = query.engine;
    let share = f64::from(layers) / f64::from(engine.layers);
    let stride = f64::from(engine.stride);
    let context = (query.prompt + query.answer / 2.0) / 1_000.0;
    // A stream is at one stage at a time, so its share of the layers is its
    // share of the time there.
    let batch = offer.streams * share;
    let each = engine.sequence_ms + engine.context_ms * context;
    let pass = stride * offer.step_factor * share * (engine.step_ms + each * (batch + 1.0));
    let events = query.answer / stride;
    let read = match engine.read_per_second > 0.0 {
        true => offer.read_factor * share * query.prompt * 1_000.0 / engine.read_per_second,
        false => 0.0,
    };
    let full = FULL_MEMORY_MS * f64::from(is_full(offer, layers, query));
    // A stream mostly finds a pass under way and waits for half of it.
    events * (1.5 * pass + HOP_MS) + read * (1.0 + batch / 2.0) + full + offer.penalty_ms
}

/// Tells whether a request has no room at a stage over so many layers.
pub fn is_full(offer: &StageOffer, layers: u32, query: &PathQuery<'_>) -> bool {
    (query.prompt + query.answer) * f64::from(layers) > offer.room
}

fn cuts_of(offers: &[StageOffer], layers: runner::LayerSpan) -> Vec<u32> {
    let ends = offers
        .iter()
        .flat_map(|offer| [offer.layers.from, offer.layers.to]);
    let mut cuts: Vec<_> = ends
        .chain([layers.from, layers.to])
        .filter(|cut| (layers.from..=layers.to).contains(cut))
        .collect();
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// Time that a crossing between failure domains costs a request.
fn crossing_ms(query: &PathQuery<'_>) -> f64 {
    let Some(pipe_mbps) = query.engine.pipe_mbps.filter(|pipe| *pipe > 0.0) else {
        return 0.0;
    };
    let bytes = query.engine.activation_bytes * (query.prompt + query.answer);
    PIPE_SHARE_FACTOR * bytes * 8.0 / (pipe_mbps * 1_000.0)
}

/// Returns the cheapest way to a cut for a stage in `domain`.
fn cheapest_way(
    reached: &[Option<ReachedCut>],
    cut: usize,
    domains: usize,
    domain: usize,
    query: &PathQuery<'_>,
    crossing: f64,
) -> Option<(f64, usize)> {
    if cut == 0 {
        let near = query.domain == Some(domain);
        return Some((if near { 0.0 } else { ENTRY_CROSSING_MS }, domain));
    }
    let ways = (0..domains).filter_map(|before| {
        let held = reached[cut * domains + before]?;
        let crossed = if before == domain { 0.0 } else { crossing };
        Some((held.cost + crossed, before))
    });
    ways.min_by(|one, other| one.0.total_cmp(&other.0))
}

fn walk_back(
    offers: &[StageOffer],
    cuts: &[u32],
    reached: &[Option<ReachedCut>],
    domains: usize,
    mut domain: usize,
) -> Vec<PathStage> {
    let mut stages: Vec<PathStage> = Vec::new();
    let mut cut = cuts.len() - 1;
    while let Some(held) = reached[cut * domains + domain] {
        let place = offers[held.offer].place;
        let from = cuts[held.from];
        // A runner stands once in a path: it also runs what lies between its
        // two stages, since it holds all of it.
        if let Some(again) = stages.iter().position(|stage| stage.place == place) {
            let to = stages[again].layers.to;
            stages.drain(..again);
            stages[0].layers = runner::LayerSpan { from, to };
        } else {
            let layers = runner::LayerSpan {
                from,
                to: cuts[cut],
            };
            stages.insert(0, PathStage { place, layers });
        }
        cut = held.from;
        domain = held.domain_before;
        if cut == 0 {
            break;
        }
    }
    stages
}
