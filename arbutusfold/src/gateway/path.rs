//! Choice of a path over runners that covers every layer once.
//!
//! This is a shortest-path search over the boundaries between layers. The cost of
//! a stage is the expected time of the request there under the load known now.
//! Where the unread prompts and the links are known, a path is also judged by the
//! times that callers see: to the first event and between events.

use arbutusfold_platform::{document, runner};

use crate::gateway::link_budget;
use crate::gateway::unread;

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

/// Cost of a crossing over a saturated link, or of a first stage whose runner has no
/// slot left, in milliseconds. It outweighs the time that any useful path takes, but
/// not a runner that failed recently.
const SATURATED_PENALTY_MS: f64 = 15_000.0;

/// Fraction of a runner's slots that paths may fill. Loads are known late, and a
/// request beyond the last slot waits until another one has ended.
const USABLE_SLOTS: f64 = 0.85;

/// Factor on [`FULL_PENALTY_MS`] where crossings are priced by their links. Paths
/// with several crossings then stay cheaper than a full stage.
const FULL_FACTOR: f64 = 100.0;

/// Cost of a millisecond by which a path exceeds a limit of [`PathTiming`]. A late
/// stream loses most of its value, whereas its whole time hardly matters.
const EXCESS_WEIGHT: f64 = 20.0;

/// Weight of a pause between events relative to the time to the first one. A long
/// pause recurs with every event.
const PAUSE_FACTOR: f64 = 5.0;

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
    /// Requests that it processes at a time as the first runner of their paths.
    pub slots: f64,
    /// Free memory, in tokens of context times layers.
    pub free_token_layers: f64,
    /// Prompts sent there and not read yet, over all nodes, in tokens times layers.
    pub unread_token_layers: f64,
    /// Cost added for past failures, in milliseconds.
    pub penalty_ms: f64,
}

/// What a path is judged by besides its cost.
#[derive(Clone, Debug)]
pub struct PathTiming {
    /// Longest time to the first event that needs no other path, in milliseconds.
    pub first_limit_ms: f64,
    /// Longest pause between events that needs no other path, in milliseconds.
    pub gap_limit_ms: f64,
    /// Number of failure domains.
    pub domains: usize,
    /// Use of the link between each two domains as a fraction of its bandwidth, at
    /// index `from * domains + to`; empty without links.
    pub links: Vec<f64>,
    /// Requests like this one that nodes are assumed to send before they see each
    /// other's, this one included.
    pub alike: f64,
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
    /// Length of the context that needs memory, in tokens.
    pub context: f64,
    /// Limits and links, if the path is judged by its times.
    pub timing: Option<&'a PathTiming>,
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
    /// Part of the cost for full and failing runners, in milliseconds.
    pub penalty_ms: f64,
    /// Expected time to the first event in milliseconds.
    pub first_ms: f64,
    /// Expected pause between events in milliseconds.
    pub gap_ms: f64,
    /// Number of hops between failure domains.
    pub crossings: u32,
}

impl ChosenPath {
    /// Returns by how much the path exceeds the limits, in milliseconds of the time to
    /// the first event.
    fn excess_ms(&self, timing: &PathTiming) -> f64 {
        let over = |time: f64, limit: f64| (time - limit).max(0.0);
        over(self.first_ms, timing.first_limit_ms)
            + PAUSE_FACTOR * over(self.gap_ms, timing.gap_limit_ms)
    }
}

/// Expected times of a part of a path, in milliseconds.
#[derive(Clone, Copy, Debug, Default, derive_more::Add, derive_more::AddAssign)]
struct PartTimes {
    /// Expected time of the request, with penalties.
    cost: f64,
    /// Part of the cost for full and failing runners.
    penalty: f64,
    /// Time to the first event.
    first: f64,
    /// Pause between events.
    gap: f64,
}

impl PartTimes {
    /// Returns the cost with a price on the time to the first event and on pauses.
    fn weighed(&self, excess_weight: f64) -> f64 {
        self.cost + excess_weight * (self.first + PAUSE_FACTOR * self.gap)
    }
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
/// runner. With a [`PathTiming`], time above its limits costs [`EXCESS_WEIGHT`].
///
/// `jitter` returns factors near 1 that keep nodes from making the same choices.
pub fn choose(
    candidates: &[StageCandidate],
    query: &PathQuery<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Option<ChosenPath> {
    let search = PathSearch {
        candidates,
        query,
        boundaries: layer_boundaries(candidates, query.layers),
        domains: candidates
            .iter()
            .map(|candidate| candidate.domain + 1)
            .max()?,
        factors: candidates.iter().map(|_| jitter()).collect(),
    };
    let cheapest = search.cheapest(0.0)?;
    let Some(timing) = query.timing else {
        return Some(cheapest);
    };
    if cheapest.excess_ms(timing) <= 0.0 {
        return Some(cheapest);
    }
    // The excess of a path is no sum over its stages. A price on the whole time is,
    // and finds the path with the least excess or one close to it.
    let others = [EXCESS_WEIGHT / 8.0, EXCESS_WEIGHT].map(|weight| search.cheapest(weight));
    let rank = |chosen: &ChosenPath| chosen.cost_ms + EXCESS_WEIGHT * chosen.excess_ms(timing);
    others
        .into_iter()
        .flatten()
        .chain([cheapest])
        .min_by(|one, other| rank(one).total_cmp(&rank(other)))
}

/// Search for a path over one set of candidates.
struct PathSearch<'a> {
    candidates: &'a [StageCandidate],
    query: &'a PathQuery<'a>,
    boundaries: Vec<u32>,
    domains: usize,
    /// Random factor on the cost of each candidate.
    factors: Vec<f64>,
}

impl PathSearch<'_> {
    /// Returns the path with the least cost, to which the time to the first event and
    /// the pauses are added with this weight.
    fn cheapest(&self, excess_weight: f64) -> Option<ChosenPath> {
        let (boundaries, domains) = (&self.boundaries, self.domains);
        let last = boundaries.len() - 1;
        let crossings = self.crossing_costs(excess_weight);
        let mut reached: Vec<Option<ReachedBoundary>> = vec![None; boundaries.len() * domains];
        for boundary in 0..last {
            for (index, candidate) in self.candidates.iter().enumerate() {
                if boundaries[boundary] < candidate.layers.from
                    || boundaries[boundary] >= candidate.layers.to
                {
                    continue;
                }
                let entry = self.cheapest_entry(&reached, boundary, candidate.domain, &crossings);
                let Some((before, domain_before)) = entry else {
                    continue;
                };
                for next in boundary + 1..=last {
                    if boundaries[next] > candidate.layers.to {
                        break;
                    }
                    let layers = boundaries[next] - boundaries[boundary];
                    let times = self.stage(index, layers, boundary == 0);
                    let cost = before + times.weighed(excess_weight);
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
        let (cost, domain) = ends.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let steps = backtrack(self.candidates, boundaries, &reached, domains, domain);
        let chosen = self.measure(steps);
        Some(match excess_weight > 0.0 {
            true => chosen,
            false => ChosenPath {
                cost_ms: cost,
                ..chosen
            },
        })
    }

    /// Returns the expected times of the stage at a candidate; `is_first` tells whether
    /// the part that is searched begins with it.
    fn stage(&self, index: usize, layers: u32, is_first: bool) -> PartTimes {
        let (candidate, query) = (&self.candidates[index], self.query);
        let factor = self.factors[index];
        let cost = factor * stage_ms(candidate, layers, query);
        if query.timing.is_none() {
            return PartTimes {
                cost,
                ..PartTimes::default()
            };
        }
        let pass = pass_ms(candidate, layers, query);
        let read = |tokens| unread::read_ms(query.engine, candidate.read_factor, tokens);
        let waiting = read(candidate.unread_token_layers);
        let reading = read(query.prompt * f64::from(layers));
        // Requests in flight at the runner of the first layers count as if all of them
        // began there, which is so for nearly all.
        let needs_slot = is_first && query.layers.from == 0;
        let is_taken = candidate.in_flight >= USABLE_SLOTS * candidate.slots;
        PartTimes {
            cost: cost
                + factor * waiting
                + SATURATED_PENALTY_MS * f64::from(needs_slot && is_taken),
            penalty: penalty_ms(candidate, layers, query),
            first: factor * (waiting + reading + 1.5 * pass) + HOP_MS,
            gap: pass + HOP_MS,
        }
    }

    /// Returns the expected times of a hop between two domains.
    fn crossing(&self, from: usize, to: usize) -> PartTimes {
        if from == to {
            return PartTimes::default();
        }
        let query = self.query;
        let floor = crossing_ms(query);
        let Some(timing) = query.timing else {
            return PartTimes {
                cost: floor,
                ..PartTimes::default()
            };
        };
        let used = timing.links.get(from * timing.domains + to).copied();
        let used = used.unwrap_or(0.0);
        let transfer = transfer_ms(query, query.prompt);
        let expected = used + timing.alike * link_budget::added_use(transfer);
        let saturated = floor + SATURATED_PENALTY_MS;
        let cost = match link_budget::is_saturated(expected) {
            true => saturated,
            false => (floor / link_budget::free_share(expected)).min(saturated),
        };
        let stride = f64::from(query.engine.event_tokens);
        let free = link_budget::free_share(used);
        PartTimes {
            cost,
            penalty: 0.0,
            first: transfer / free,
            gap: transfer_ms(query, stride) / free,
        }
    }

    /// Returns the cost of a hop between each two domains, at index
    /// `from * domains + to`.
    fn crossing_costs(&self, excess_weight: f64) -> Vec<f64> {
        let pairs = 0..self.domains * self.domains;
        let cost = |pair: usize| {
            let times = self.crossing(pair / self.domains, pair % self.domains);
            times.weighed(excess_weight)
        };
        pairs.map(cost).collect()
    }

    /// Returns the cost of the cheapest partial path up to a boundary for a next
    /// stage in `domain`, and the failure domain of its last stage.
    fn cheapest_entry(
        &self,
        reached: &[Option<ReachedBoundary>],
        boundary: usize,
        domain: usize,
        crossings: &[f64],
    ) -> Option<(f64, usize)> {
        if boundary == 0 {
            return Some((self.entry_ms(domain), domain));
        }
        let entries = (0..self.domains).filter_map(|before| {
            let best = reached[boundary * self.domains + before]?;
            Some((
                best.cost + crossings[before * self.domains + domain],
                before,
            ))
        });
        entries.min_by(|one, other| one.0.total_cmp(&other.0))
    }

    /// Returns the cost of a path that begins in a domain.
    fn entry_ms(&self, domain: usize) -> f64 {
        match self.query.domain == Some(domain) {
            true => 0.0,
            false => REMOTE_ENTRY_MS,
        }
    }

    /// Returns a path with its times.
    fn measure(&self, steps: Vec<CandidateStage>) -> ChosenPath {
        let domain = |step: &CandidateStage| self.candidates[step.candidate].domain;
        let first = steps
            .first()
            .map_or(0.0, |step| self.entry_ms(domain(step)));
        let mut times = PartTimes {
            cost: first,
            ..PartTimes::default()
        };
        for (index, step) in steps.iter().enumerate() {
            times += self.stage(step.candidate, step.stage.layers.len(), index == 0);
        }
        let pairs = steps.windows(2);
        let hops = pairs.map(|pair| (domain(&pair[0]), domain(&pair[1])));
        let hops: Vec<_> = hops.filter(|(from, to)| from != to).collect();
        for (from, to) in &hops {
            times += self.crossing(*from, *to);
        }
        ChosenPath {
            stages: steps.into_iter().map(|step| step.stage).collect(),
            cost_ms: times.cost,
            penalty_ms: times.penalty,
            first_ms: times.first,
            gap_ms: times.gap,
            crossings: hops.len() as u32,
        }
    }
}

/// A stage of a path and its candidate.
#[derive(Clone, Copy, Debug)]
struct CandidateStage {
    /// Index of the candidate.
    candidate: usize,
    stage: PathStage,
}

/// Returns the expected time of a request at a stage, in milliseconds.
pub fn stage_ms(candidate: &StageCandidate, layers: u32, query: &PathQuery<'_>) -> f64 {
    let engine = query.engine;
    let share = f64::from(layers) / f64::from(engine.layers);
    let events = query.answer / f64::from(engine.event_tokens);
    let read = unread::read_ms(
        engine,
        candidate.read_factor,
        query.prompt * f64::from(layers),
    );
    let batch = candidate.in_flight * share;
    // A stream usually arrives during a pass and waits for half of it on average.
    events * (1.5 * pass_ms(candidate, layers, query) + HOP_MS)
        + read * (1.0 + batch / 2.0)
        + penalty_ms(candidate, layers, query)
}

/// Returns the expected time of one pass at a stage, in milliseconds.
fn pass_ms(candidate: &StageCandidate, layers: u32, query: &PathQuery<'_>) -> f64 {
    let engine = query.engine;
    let share = f64::from(layers) / f64::from(engine.layers);
    let stride = f64::from(engine.event_tokens);
    let context = (query.prompt + query.answer / 2.0) / 1_000.0;
    // A stream is processed by one stage at a time, so the fraction of its time
    // at a stage is the fraction of layers there.
    let batch = candidate.in_flight * share;
    let each = engine.sequence_ms + engine.context_ms * context;
    stride * candidate.step_factor * share * (engine.step_ms + each * (batch + 1.0))
}

/// Returns the cost of a stage that is full or fails, in milliseconds.
fn penalty_ms(candidate: &StageCandidate, layers: u32, query: &PathQuery<'_>) -> f64 {
    let factor = match query.timing {
        Some(_) => FULL_FACTOR,
        None => 1.0,
    };
    let full = factor * FULL_PENALTY_MS * f64::from(is_full(candidate, layers, query));
    full + candidate.penalty_ms
}

/// Returns whether the request does not fit into the memory of a stage with this
/// many layers.
pub fn is_full(candidate: &StageCandidate, layers: u32, query: &PathQuery<'_>) -> bool {
    query.context * f64::from(layers) > candidate.free_token_layers
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

/// Returns the cost of a hop between failure domains over an idle link, in
/// milliseconds.
fn crossing_ms(query: &PathQuery<'_>) -> f64 {
    PIPE_CONTENTION_FACTOR * transfer_ms(query, query.prompt + query.answer)
}

/// Returns the time for the activations of tokens on an idle link between failure
/// domains, in milliseconds.
fn transfer_ms(query: &PathQuery<'_>, tokens: f64) -> f64 {
    let link_mbps = query.engine.link_mbps.filter(|link| *link > 0.0);
    let bytes = query.engine.activation_bytes * tokens;
    link_mbps.map_or(0.0, |link| bytes * 8.0 / (link * 1_000.0))
}

fn backtrack(
    candidates: &[StageCandidate],
    boundaries: &[u32],
    reached: &[Option<ReachedBoundary>],
    domains: usize,
    mut domain: usize,
) -> Vec<CandidateStage> {
    let mut stages: Vec<CandidateStage> = Vec::new();
    let mut boundary = boundaries.len() - 1;
    while let Some(step) = reached[boundary * domains + domain] {
        let runner = candidates[step.candidate].runner;
        let from = boundaries[step.from];
        // A runner may occur only once in a path. It then also runs the layers
        // between its two stages, since it holds all of them.
        if let Some(again) = stages.iter().position(|held| held.stage.runner == runner) {
            let to = stages[again].stage.layers.to;
            stages.drain(..again);
            stages[0].stage.layers = runner::LayerSpan { from, to };
        } else {
            let layers = runner::LayerSpan {
                from,
                to: boundaries[boundary],
            };
            let held = CandidateStage {
                candidate: step.candidate,
                stage: PathStage { runner, layers },
            };
            stages.insert(0, held);
        }
        boundary = step.from;
        domain = step.domain_before;
        if boundary == 0 {
            break;
        }
    }
    stages
}
