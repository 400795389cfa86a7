//! Selects a route for one attempt.

use std::cmp;

use rand::RngExt;
use tokio::time;

use crate::id;
use crate::plan;
use crate::route;
use crate::upstream;

/// Maximum number of random draws before all planned routes are scanned.
const DRAW_LIMIT: usize = 8;

/// Weight of an upstream's suspicion score in the score of its routes.
const SUSPICION_WEIGHT: f64 = 4.0;

/// Number of prompt tokens that an engine processes in the time it needs to
/// generate one token.
const PREFILL_FACTOR: f64 = 16.0;

/// Length of a prompt's prefix in bytes.
const PREFIX_BYTES: usize = 256;

/// Assumed bytes of text per prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Input for choosing a route.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Model to run.
    pub model: &'a str,
    /// Prompt of the request.
    pub prompt: &'a str,
    /// Route of the previous attempt; its usable stages are kept.
    pub previous: &'a [upstream::RouteStage],
    /// Upstreams that failed this request; used only if no route exists without
    /// them.
    pub avoid: &'a [id::UpstreamName],
}

impl route::RouteTable {
    /// Chooses a route that covers every layer of a model exactly once.
    pub fn choose(
        &self,
        query: &ChoiceQuery<'_>,
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> Option<Vec<upstream::RouteStage>> {
        let model = self.model(query.model)?;
        let chooser = RouteChooser {
            table: self,
            model,
            query,
            now,
        };
        let stages = chooser
            .reuse_previous(rng)
            .or_else(|| chooser.draw_planned(rng))
            .or_else(|| chooser.assemble(true))
            .or_else(|| chooser.assemble(false))?;
        Some(
            stages
                .iter()
                .map(|stage| chooser.route_stage(stage))
                .collect(),
        )
    }
}

/// Returns a digest of the prompt's prefix, which engines may have cached.
fn prefix_digest(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let hash = blake3::hash(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    let mut digest = [0; 8];
    digest.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(digest)
}

/// Combines two digests into one.
fn mix(one: u64, other: u64) -> u64 {
    let mixed = (one ^ other).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

struct RouteChooser<'a> {
    table: &'a route::RouteTable,
    model: &'a route::ModelRoutes,
    query: &'a ChoiceQuery<'a>,
    now: time::Instant,
}

impl RouteChooser<'_> {
    /// Draws planned routes at random by weight and returns the one with the best
    /// score.
    ///
    /// The route with affinity for the prompt's prefix takes precedence.
    fn draw_planned(&self, rng: &mut impl rand::Rng) -> Option<Vec<plan::PlannedStage>> {
        let mut best: Option<(f64, usize)> = None;
        let mut drawn = 0;
        for _ in 0..DRAW_LIMIT.max(self.table.options.draws) {
            if drawn == self.table.options.draws {
                break;
            }
            let position = self.draw_route(rng)?;
            if !self.is_usable(position) {
                continue;
            }
            drawn += 1;
            let score = self.score(position);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, position));
            }
        }
        let best = best.or_else(|| self.best_usable())?;
        let position = self.affinity_route(best).unwrap_or(best.1);
        Some(self.model.routes[position].stages.clone())
    }

    /// Draws one planned route at random by weight.
    fn draw_route(&self, rng: &mut impl rand::Rng) -> Option<usize> {
        let total = *self.model.cumulative_weights.last()?;
        let point = rng.random_range(0..total);
        Some(
            self.model
                .cumulative_weights
                .partition_point(|sum| *sum <= point),
        )
    }

    /// Returns the usable route with the best score, and the score.
    fn best_usable(&self) -> Option<(f64, usize)> {
        (0..self.model.routes.len())
            .filter(|position| self.is_usable(*position))
            .map(|position| (self.score(position), position))
            .min_by(|one, other| one.0.total_cmp(&other.0))
    }

    /// Returns the route with affinity for the prompt's prefix, if the prefill
    /// time that it saves is not less than the queueing time that it adds.
    fn affinity_route(&self, best: (f64, usize)) -> Option<usize> {
        let saved = self.prefill_seconds(best.1);
        if !self.table.options.affinity || self.query.prompt.len() < PREFIX_BYTES {
            return None;
        }
        let prefix = prefix_digest(self.query.prompt);
        let (_, position) = self
            .model
            .routes
            .iter()
            .enumerate()
            .map(|(position, route)| (rendezvous_weight(prefix, route), position))
            .max_by(|one, other| one.0.total_cmp(&other.0))?;
        let worthwhile = self.is_usable(position) && self.score(position) - best.0 <= saved;
        worthwhile.then_some(position)
    }

    /// Estimates the prefill time of the prompt on a route in seconds.
    fn prefill_seconds(&self, position: usize) -> f64 {
        let tokens = (self.query.prompt.len() / BYTES_PER_TOKEN) as f64;
        self.model.routes[position]
            .stages
            .iter()
            .map(|stage| tokens / (self.table.slots[stage.slot].rate as f64 * PREFILL_FACTOR))
            .sum()
    }

    fn is_usable(&self, position: usize) -> bool {
        self.model.routes[position]
            .stages
            .iter()
            .all(|stage| self.can_run(stage, true))
    }

    /// Returns whether an upstream can run a stage now; `avoiding` excludes the
    /// upstreams that failed the request.
    fn can_run(&self, stage: &plan::PlannedStage, avoiding: bool) -> bool {
        let slot = &self.table.slots[stage.slot];
        let avoided = avoiding && self.query.avoid.contains(&slot.spec.name);
        !avoided
            && slot.is_usable(self.now)
            && slot
                .holds(&self.model.spec)
                .is_some_and(|held| held.from <= stage.layers.from && stage.layers.to <= held.to)
    }

    /// Returns the expected time per token on a route in seconds; lower is better.
    fn score(&self, position: usize) -> f64 {
        let route = &self.model.routes[position];
        let compute_time: f64 = route
            .stages
            .iter()
            .map(|stage| self.token_time(stage.slot))
            .sum();
        compute_time + route.delay.as_secs_f64()
    }

    /// Estimates the seconds in which an upstream processes one token of each of
    /// its attempts and of a new one, scaled up by its suspicion score.
    fn token_time(&self, slot: usize) -> f64 {
        let slot = &self.table.slots[slot];
        let options = &self.table.options;
        let running = slot.load.total(options.source, self.table.peers, self.now);
        let penalty = 1.0 + SUSPICION_WEIGHT * slot.suspicion(self.now);
        penalty * (running + 1.0) / slot.rate as f64
    }

    /// Reuses the usable stages of the previous route and replaces the others.
    fn reuse_previous(&self, rng: &mut impl rand::Rng) -> Option<Vec<plan::PlannedStage>> {
        let previous = self.query.previous;
        let kept: Vec<_> = previous
            .iter()
            .map(|stage| self.keep_stage(stage))
            .collect();
        if kept.iter().all(Option::is_none) {
            return None;
        }
        kept.into_iter()
            .zip(previous)
            .map(|(kept, stage)| kept.or_else(|| self.replace_stage(stage.layers, rng)))
            .collect()
    }

    fn keep_stage(&self, stage: &upstream::RouteStage) -> Option<plan::PlannedStage> {
        let planned = plan::PlannedStage {
            slot: self.table.position(&stage.upstream)?,
            layers: stage.layers,
        };
        self.can_run(&planned, true).then_some(planned)
    }

    /// Draws two upstreams at random by rate and returns the less loaded one.
    ///
    /// Always taking the least loaded upstream would make every node send its
    /// work to the same one at once.
    fn replace_stage(
        &self,
        layers: upstream::LayerRange,
        rng: &mut impl rand::Rng,
    ) -> Option<plan::PlannedStage> {
        let candidates: Vec<_> = self
            .model
            .members
            .iter()
            .map(|&slot| plan::PlannedStage { slot, layers })
            .filter(|stage| self.can_run(stage, true))
            .collect();
        let one = self.draw_stage(&candidates, rng)?;
        let other = self.draw_stage(&candidates, rng)?;
        match self.token_time(one.slot) <= self.token_time(other.slot) {
            true => Some(one),
            false => Some(other),
        }
    }

    fn draw_stage(
        &self,
        candidates: &[plan::PlannedStage],
        rng: &mut impl rand::Rng,
    ) -> Option<plan::PlannedStage> {
        let rate = |stage: &plan::PlannedStage| self.table.slots[stage.slot].rate;
        let total: u64 = candidates.iter().map(rate).sum();
        if total == 0 {
            return None;
        }
        let mut point = rng.random_range(0..total);
        candidates.iter().copied().find(|stage| {
            let found = point < rate(stage);
            point = point.saturating_sub(rate(stage));
            found
        })
    }

    /// Builds a route greedily: each stage reaches as far as possible, and ties go
    /// to the less loaded upstream.
    fn assemble(&self, avoiding: bool) -> Option<Vec<plan::PlannedStage>> {
        let mut stages = Vec::new();
        let mut next = 0;
        while next < self.model.spec.layers {
            let stage = self
                .model
                .members
                .iter()
                .filter_map(|&slot| self.stage_from(slot, next))
                .filter(|stage| self.can_run(stage, avoiding))
                .min_by(|one, other| self.compare_stages(one, other))?;
            next = stage.layers.to;
            stages.push(stage);
        }
        Some(stages)
    }

    /// Returns the stage of an upstream from a layer to the end of its range.
    fn stage_from(&self, slot: usize, from: id::LayerIndex) -> Option<plan::PlannedStage> {
        let held = self.table.slots[slot].holds(&self.model.spec)?;
        let layers = upstream::LayerRange { from, to: held.to };
        (held.from <= from && from < held.to).then_some(plan::PlannedStage { slot, layers })
    }

    fn compare_stages(
        &self,
        one: &plan::PlannedStage,
        other: &plan::PlannedStage,
    ) -> cmp::Ordering {
        let load = || {
            self.token_time(one.slot)
                .total_cmp(&self.token_time(other.slot))
        };
        other.layers.to.cmp(&one.layers.to).then_with(load)
    }

    fn route_stage(&self, stage: &plan::PlannedStage) -> upstream::RouteStage {
        let slot = &self.table.slots[stage.slot];
        upstream::RouteStage {
            upstream: slot.spec.name.clone(),
            incarnation: slot.incarnation,
            address: slot.spec.address,
            layers: stage.layers,
        }
    }
}

/// Returns the weight of a route for a prefix in weighted rendezvous hashing.
fn rendezvous_weight(prefix: u64, route: &route::WeightedRoute) -> f64 {
    let unit = (mix(prefix, route.digest) >> 11) as f64 / (1_u64 << 53) as f64;
    -(route.weight as f64) / unit.max(f64::MIN_POSITIVE).ln()
}
