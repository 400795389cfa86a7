//! Choice of a route for one attempt.

use std::cmp;

use rand::RngExt;
use tokio::time;

use crate::id;
use crate::plan;
use crate::route;
use crate::upstream;

/// Draws after which the planned routes are looked through one by one.
const DRAW_LIMIT: usize = 8;

/// Weight of the evidence against an upstream in the score of its routes.
const EVIDENCE_WEIGHT: f64 = 4.0;

/// Prompt tokens that an engine computes in the time of one generated token.
const PREFILL_FACTOR: f64 = 16.0;

/// Bytes of a prompt that make up its prefix.
const PREFIX_BYTES: usize = 256;

/// Bytes of text for one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// Model to run.
    pub model: &'a str,
    /// Prompt of the request.
    pub prompt: &'a str,
    /// Route of the attempt before, of which as much as possible is kept.
    pub previous: &'a [upstream::RouteStage],
    /// Upstreams that failed this request; taken only where no other holds the layers.
    pub avoid: &'a [id::UpstreamName],
}

impl route::RouteKeeper {
    /// Chooses a route that covers every layer of a model once.
    pub fn choose(
        &self,
        query: &ChoiceQuery<'_>,
        now: time::Instant,
        rng: &mut impl rand::Rng,
    ) -> Option<Vec<upstream::RouteStage>> {
        let model = self.model(query.model)?;
        let chooser = RouteChooser {
            keeper: self,
            model,
            query,
            now,
        };
        let stages = chooser
            .mend(rng)
            .or_else(|| chooser.draw(rng))
            .or_else(|| chooser.assemble(true))
            .or_else(|| chooser.assemble(false))?;
        Some(stages.iter().map(|stage| chooser.address(stage)).collect())
    }
}

/// Digest of the part of a prompt that engines may have cached.
fn prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let hash = blake3::hash(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    let mut digest = [0; 8];
    digest.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(digest)
}

/// Mixes two digests into one.
fn mix(one: u64, other: u64) -> u64 {
    let mixed = (one ^ other).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

struct RouteChooser<'a> {
    keeper: &'a route::RouteKeeper,
    model: &'a route::ModelRoutes,
    query: &'a ChoiceQuery<'a>,
    now: time::Instant,
}

impl RouteChooser<'_> {
    /// Draws planned routes by weight and takes the one that is least loaded.
    fn draw(&self, rng: &mut impl rand::Rng) -> Option<Vec<plan::PlannedStage>> {
        let mut best: Option<(f64, usize)> = None;
        let mut found = 0;
        for _ in 0..DRAW_LIMIT.max(self.keeper.options.draws) {
            if found == self.keeper.options.draws {
                break;
            }
            let position = self.draw_one(rng)?;
            if !self.is_usable(position) {
                continue;
            }
            found += 1;
            let score = self.score(position);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, position));
            }
        }
        let best = best.or_else(|| self.search())?;
        let position = self.affine(best).unwrap_or(best.1);
        Some(self.model.routes[position].stages.clone())
    }

    fn draw_one(&self, rng: &mut impl rand::Rng) -> Option<usize> {
        let total = *self.model.sums.last()?;
        let ticket = rng.random_range(0..total);
        Some(self.model.sums.partition_point(|sum| *sum <= ticket))
    }

    fn search(&self) -> Option<(f64, usize)> {
        (0..self.model.routes.len())
            .filter(|position| self.is_usable(*position))
            .map(|position| (self.score(position), position))
            .min_by(|one, other| one.0.total_cmp(&other.0))
    }

    /// Returns the route that the prompt's prefix belongs to, where the
    /// prefill that it saves is longer than the queue that it adds.
    fn affine(&self, best: (f64, usize)) -> Option<usize> {
        let saved = self.prefill(best.1);
        if !self.keeper.options.affinity || self.query.prompt.len() < PREFIX_BYTES {
            return None;
        }
        let prefix = prefix(self.query.prompt);
        let (_, position) = self
            .model
            .routes
            .iter()
            .enumerate()
            .map(|(position, route)| (rendezvous(prefix, route), position))
            .max_by(|one, other| one.0.total_cmp(&other.0))?;
        let pays = self.is_usable(position) && self.score(position) - best.0 <= saved;
        pays.then_some(position)
    }

    /// Returns the seconds that the prefill of the prompt takes on a route.
    fn prefill(&self, position: usize) -> f64 {
        let tokens = (self.query.prompt.len() / BYTES_PER_TOKEN) as f64;
        self.model.routes[position]
            .stages
            .iter()
            .map(|stage| tokens / (self.keeper.slots[stage.slot].rate as f64 * PREFILL_FACTOR))
            .sum()
    }

    fn is_usable(&self, position: usize) -> bool {
        self.model.routes[position]
            .stages
            .iter()
            .all(|stage| self.runs(stage, true))
    }

    /// Tells whether an upstream can run a stage now.
    fn runs(&self, stage: &plan::PlannedStage, avoiding: bool) -> bool {
        let slot = &self.keeper.slots[stage.slot];
        let avoided = avoiding && self.query.avoid.contains(&slot.spec.name);
        !avoided
            && slot.is_usable(self.now)
            && slot
                .holds(&self.model.spec)
                .is_some_and(|held| held.from <= stage.layers.from && stage.layers.to <= held.to)
    }

    /// Returns the seconds that one token of a route is expected to take.
    fn score(&self, position: usize) -> f64 {
        let route = &self.model.routes[position];
        let passes: f64 = route
            .stages
            .iter()
            .map(|stage| self.pass_time(stage.slot))
            .sum();
        passes + route.delay.as_secs_f64()
    }

    /// Returns the seconds in which an upstream passes a token of each of its attempts.
    fn pass_time(&self, slot: usize) -> f64 {
        let slot = &self.keeper.slots[slot];
        let options = &self.keeper.options;
        let running = slot.load.total(options.source, self.keeper.peers, self.now);
        let doubt = 1.0 + EVIDENCE_WEIGHT * slot.evidence(self.now);
        doubt * (running + 1.0) / slot.rate as f64
    }

    /// Keeps what is alive of the route before and replaces the rest.
    fn mend(&self, rng: &mut impl rand::Rng) -> Option<Vec<plan::PlannedStage>> {
        let previous = self.query.previous;
        let kept: Vec<_> = previous.iter().map(|stage| self.keep(stage)).collect();
        if kept.iter().all(Option::is_none) {
            return None;
        }
        kept.into_iter()
            .zip(previous)
            .map(|(kept, stage)| kept.or_else(|| self.replace(stage.layers, rng)))
            .collect()
    }

    fn keep(&self, stage: &upstream::RouteStage) -> Option<plan::PlannedStage> {
        let planned = plan::PlannedStage {
            slot: self.keeper.position(&stage.upstream)?,
            layers: stage.layers,
        };
        self.runs(&planned, true).then_some(planned)
    }

    /// Draws two upstreams by their rates and takes the one that is less loaded.
    ///
    /// The least loaded of all would get the work of every node at once.
    fn replace(
        &self,
        layers: upstream::LayerRange,
        rng: &mut impl rand::Rng,
    ) -> Option<plan::PlannedStage> {
        let fitting: Vec<_> = self
            .model
            .members
            .iter()
            .map(|&slot| plan::PlannedStage { slot, layers })
            .filter(|stage| self.runs(stage, true))
            .collect();
        let one = self.draw_stage(&fitting, rng)?;
        let other = self.draw_stage(&fitting, rng)?;
        match self.pass_time(one.slot) <= self.pass_time(other.slot) {
            true => Some(one),
            false => Some(other),
        }
    }

    fn draw_stage(
        &self,
        fitting: &[plan::PlannedStage],
        rng: &mut impl rand::Rng,
    ) -> Option<plan::PlannedStage> {
        let rate = |stage: &plan::PlannedStage| self.keeper.slots[stage.slot].rate;
        let total: u64 = fitting.iter().map(rate).sum();
        if total == 0 {
            return None;
        }
        let mut ticket = rng.random_range(0..total);
        fitting.iter().copied().find(|stage| {
            let found = ticket < rate(stage);
            ticket = ticket.saturating_sub(rate(stage));
            found
        })
    }

    /// Puts a route together from the longest ranges, least loaded first.
    fn assemble(&self, avoiding: bool) -> Option<Vec<plan::PlannedStage>> {
        let mut stages = Vec::new();
        let mut next = 0;
        while next < self.model.spec.layers {
            let stage = self
                .model
                .members
                .iter()
                .filter_map(|&slot| self.reach(slot, next))
                .filter(|stage| self.runs(stage, avoiding))
                .min_by(|one, other| self.compare(one, other))?;
            next = stage.layers.to;
            stages.push(stage);
        }
        Some(stages)
    }

    fn reach(&self, slot: usize, from: id::LayerIndex) -> Option<plan::PlannedStage> {
        let held = self.keeper.slots[slot].holds(&self.model.spec)?;
        let layers = upstream::LayerRange { from, to: held.to };
        (held.from <= from && from < held.to).then_some(plan::PlannedStage { slot, layers })
    }

    fn compare(&self, one: &plan::PlannedStage, other: &plan::PlannedStage) -> cmp::Ordering {
        let load = || {
            self.pass_time(one.slot)
                .total_cmp(&self.pass_time(other.slot))
        };
        other.layers.to.cmp(&one.layers.to).then_with(load)
    }

    fn address(&self, stage: &plan::PlannedStage) -> upstream::RouteStage {
        let slot = &self.keeper.slots[stage.slot];
        upstream::RouteStage {
            upstream: slot.spec.name.clone(),
            incarnation: slot.incarnation,
            address: slot.spec.address,
            layers: stage.layers,
        }
    }
}

/// Weight of a route for a prefix by weighted rendezvous hashing.
fn rendezvous(prefix: u64, route: &route::ReadyRoute) -> f64 {
    let unit = (mix(prefix, route.digest) >> 11) as f64 / (1_u64 << 53) as f64;
    -(route.weight as f64) / unit.max(f64::MIN_POSITIVE).ln()
}
