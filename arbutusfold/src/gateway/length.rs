//! Lengths of answers relative to what was expected of them, learned by route.
//!
//! A caller's estimate is right at the median at best, so half of the answers
//! outgrow memory that is reserved by it. The distribution of the ratio tells how
//! much more to reserve, and how much more an answer takes that is longer already.

use crate::id;

/// Upper bound of the first bucket of ratios.
const LOWEST_RATIO: f64 = 0.125;

/// Buckets for each doubling of the ratio; neighbours differ by a tenth.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Buckets of a histogram; the last one ends at 64 times the first bound.
const BUCKETS: usize = 49;

/// Weight that earlier answers keep when one ends, so that about the latest 200
/// answers count.
const KEPT_WEIGHT: f64 = 0.995;

/// Weight of answers from which a histogram is used. Its median then has about ten
/// answers on each side.
const MIN_WEIGHT: f64 = 20.0;

/// Quantile of the lengths that memory is reserved for. A stream fills its
/// reservation only at its end, and one that outgrows it is counted again, so the
/// streams of a runner together need less than a higher quantile would hold for them.
const RESERVED_QUANTILE: f64 = 0.5;

/// Smallest factor between two estimates for the same answer, which bounds their
/// number.
const MIN_GROWTH: f64 = 1.5;

/// Most routes with a histogram. Documents replace routes over time.
const ROUTE_LIMIT: usize = 256;

/// Decaying histogram of the ratio of real to expected lengths.
#[derive(Clone, Debug)]
pub struct LengthRatios {
    weights: [f64; BUCKETS],
}

impl Default for LengthRatios {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
        }
    }
}

impl LengthRatios {
    /// Adds the ratio of an answer that is complete.
    pub fn observe(&mut self, ratio: f64) {
        self.weights
            .iter_mut()
            .for_each(|weight| *weight *= KEPT_WEIGHT);
        let place = ((ratio / LOWEST_RATIO).log2() * BUCKETS_PER_DOUBLING).ceil();
        // The cast saturates, so a ratio below the first bound falls into its bucket.
        self.weights[(place as usize).min(BUCKETS - 1)] += 1.0;
    }

    /// Returns the ratio that this fraction of the answers longer than `reached` stay
    /// within, or `None` without enough answers.
    pub fn quantile(&self, fraction: f64, reached: f64) -> Option<f64> {
        let weight: f64 = self.weights.iter().sum();
        if weight < MIN_WEIGHT {
            return None;
        }
        let first = (0..BUCKETS).find(|index| upper_bound(*index) > reached)?;
        let left: f64 = self.weights[first..].iter().sum();
        let mut missing = fraction * left;
        for index in first..BUCKETS {
            let weight = self.weights[index];
            if weight > 0.0 && weight >= missing {
                let above = 1.0 - missing / weight;
                return Some(upper_bound(index) / (above / BUCKETS_PER_DOUBLING).exp2());
            }
            missing -= weight;
        }
        None
    }
}

fn upper_bound(bucket: usize) -> f64 {
    LOWEST_RATIO * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2()
}

/// The histograms of all routes.
#[derive(Clone, Debug, Default)]
pub struct LengthBook {
    /// Histograms, sorted by route.
    routes: Vec<(id::RouteName, LengthRatios)>,
}

impl LengthBook {
    /// Adds a complete answer of `tokens` where `expected` tokens were expected.
    pub fn observe(&mut self, route: &str, expected: f64, tokens: f64) {
        if expected <= 0.0 || tokens <= 0.0 {
            return;
        }
        let index = match self.search(route) {
            Ok(index) => index,
            Err(_) if self.routes.len() >= ROUTE_LIMIT => return self.routes.clear(),
            Err(index) => {
                let fresh = (route.to_owned(), LengthRatios::default());
                self.routes.insert(index, fresh);
                index
            }
        };
        self.routes[index].1.observe(tokens / expected);
    }

    /// Returns the length to reserve memory for, in tokens, for an answer that has
    /// `reached` tokens already. Without enough answers of its route this is what is
    /// `expected`, until the answer outgrows it.
    pub fn reserved(&self, route: &str, expected: f64, reached: f64) -> f64 {
        let ratios = self.search(route).ok().map(|index| &self.routes[index].1);
        let ratio = ratios.and_then(|ratios| {
            let reached_ratio = reached / expected.max(1.0);
            ratios.quantile(RESERVED_QUANTILE, reached_ratio)
        });
        let estimate = ratio.map_or(expected, |ratio| ratio * expected);
        match estimate > reached {
            true => estimate,
            false => reached * MIN_GROWTH,
        }
    }

    /// Returns the next estimate for an answer that outgrew its latest one.
    pub fn corrected(&self, route: &str, expected: f64, reached: f64) -> f64 {
        let next = self.reserved(route, expected, reached);
        next.max(reached * MIN_GROWTH)
    }

    fn search(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|(name, _)| name.as_str().cmp(route))
    }
}
