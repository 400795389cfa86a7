//! Ways of choosing a route: the live one and the baselines.

use std::cell;

use arbutusfold::{choose, route, upstream};
use rand::RngExt;
use tokio::time;

use crate::fleet;

/// A way of choosing.
#[derive(Clone, Copy, Debug)]
pub enum ChoiceWay {
    /// The router's own.
    Planned(route::ChoiceOptions),
    /// The next upstream in turn that holds the next layer.
    RoundRobin,
    /// The upstream that last reported the fewest attempts.
    LeastReported,
    /// Any upstream that holds the next layer.
    Random,
    /// The first upstream in the document that holds the next layer.
    FirstFit,
}

impl ChoiceWay {
    /// Ways that every scenario compares.
    pub fn all() -> Vec<(&'static str, ChoiceWay)> {
        vec![
            ("planned", Self::planned()),
            ("round robin", Self::RoundRobin),
            ("least reported", Self::LeastReported),
            ("random", Self::Random),
            ("first fit", Self::FirstFit),
        ]
    }

    /// Returns the way that runs live.
    pub fn planned() -> Self {
        Self::Planned(route::ChoiceOptions::default())
    }

    /// Returns the options of the keeper.
    pub fn options(self) -> route::ChoiceOptions {
        match self {
            ChoiceWay::Planned(options) => options,
            _ => route::ChoiceOptions::default(),
        }
    }

    /// Chooses a route.
    pub fn choose(
        self,
        keeper: &route::RouteTable,
        query: &choose::ChoiceQuery<'_>,
        turn: &cell::Cell<usize>,
        rng: &mut impl rand::Rng,
    ) -> Option<Vec<upstream::RouteStage>> {
        let now = time::Instant::now();
        if let ChoiceWay::Planned(_) = self {
            return keeper.choose(query, now, rng);
        }
        let usable = keeper.usable(fleet::MODEL, now);
        let layers = keeper.layers(fleet::MODEL)?;
        let mut stages = Vec::new();
        let mut next = 0;
        while next < layers {
            let fitting: Vec<_> = usable
                .iter()
                .filter(|one| one.stage.layers.from <= next && next < one.stage.layers.to)
                .filter(|one| !query.avoid.contains(&one.stage.upstream))
                .collect();
            let taken = self.pick(&fitting, turn, rng)?;
            let mut stage = taken.stage.clone();
            stage.layers.from = next;
            next = stage.layers.to;
            stages.push(stage);
        }
        Some(stages)
    }

    fn pick<'a>(
        self,
        fitting: &[&'a route::UsableUpstream],
        turn: &cell::Cell<usize>,
        rng: &mut impl rand::Rng,
    ) -> Option<&'a route::UsableUpstream> {
        if fitting.is_empty() {
            return None;
        }
        let position = match self {
            ChoiceWay::RoundRobin => {
                turn.set(turn.get() + 1);
                turn.get() % fitting.len()
            }
            ChoiceWay::Random => rng.random_range(0..fitting.len()),
            ChoiceWay::LeastReported => {
                return fitting
                    .iter()
                    .min_by(|one, other| one.reported.total_cmp(&other.reported))
                    .copied();
            }
            ChoiceWay::FirstFit | ChoiceWay::Planned(_) => 0,
        };
        Some(fitting[position])
    }
}
