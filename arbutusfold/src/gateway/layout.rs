//! Assignment of layers to runners.
//!
//! All runners split the model at the same boundaries, so that a stage of one
//! path can replace the same stage of another. Runners without layers get them
//! one after the other, the fastest first. Each gets the span with the fewest
//! copies in its failure domain.

use arbutusfold_platform::{document, runner};

/// Target fraction of a runner's memory for layers; the rest holds contexts.
const LAYER_MEMORY_TARGET: f64 = 0.65;

/// Largest fraction of a runner's memory that layers may use.
const LAYER_MEMORY_LIMIT: f64 = 0.85;

/// Weight of copies in the whole fleet relative to those in the own failure
/// domain.
const FLEET_WEIGHT: f64 = 0.1;

/// Weight of the speed of copies relative to their number.
const SPEED_WEIGHT: f64 = 0.2;

/// The properties of a runner that the layout depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutRunner {
    /// Failure domain.
    pub domain: String,
    /// Name of its accelerator card.
    pub card: String,
    /// Layers that it holds or is loading.
    pub layers: Option<runner::LayerSpan>,
}

/// A span of layers assigned to a runner without layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayerAssignment {
    /// Index of the runner in the list given to [`plan`].
    pub runner: usize,
    /// Layers that it has to load.
    pub layers: runner::LayerSpan,
}

/// Number and total speed of the copies of one unit of layers.
#[derive(Clone, Copy, Debug, Default)]
struct UnitCoverage {
    copies: f64,
    speed: f64,
}

/// Room for contexts in the copies of a unit of layers, in requests of the expected
/// length.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UnitRoom {
    /// Room in all copies.
    pub whole: f64,
    /// Room that is left after the loss of the copy with the most.
    pub after_loss: f64,
}

/// Returns the layer boundaries at which all runners split the model.
pub fn boundaries(engine: &document::EngineSpec) -> Vec<u32> {
    let units = unit_count(engine);
    (0..=units)
        .map(|unit| unit * engine.layers / units)
        .collect()
}

/// Returns the fewest and the most layers that runners with each of the engine's cards
/// get.
pub fn span_limits(engine: &document::EngineSpec) -> Vec<(u32, u32)> {
    let units = unit_count(engine);
    let limits = |card: &document::CardSpec| {
        let most = max_span_layers(engine, units, card.memory_mb);
        (engine.layers / units, most.min(engine.layers))
    };
    engine.cards.iter().map(limits).collect()
}

/// Assigns spans to the runners without layers, the fastest first.
///
/// A runner whose card the engine does not know gets none.
pub fn plan(engine: &document::EngineSpec, runners: &[LayoutRunner]) -> Vec<LayerAssignment> {
    if engine.cards.is_empty() {
        return Vec::new();
    }
    let bounds = boundaries(engine);
    let mut runners = runners.to_vec();
    let mut free: Vec<_> = (0..runners.len())
        .filter(|index| runners[*index].layers.is_none())
        .collect();
    free.sort_by(|one, other| {
        let factor = |index: usize| {
            engine
                .card(&runners[index].card)
                .map_or(f64::MAX, |card| card.step_factor)
        };
        factor(*one).total_cmp(&factor(*other))
    });
    let mut assignments = Vec::new();
    for index in free {
        let Some(card) = engine.card(&runners[index].card) else {
            continue;
        };
        let Some(layers) = best_span(engine, &bounds, &runners, index, card) else {
            continue;
        };
        runners[index].layers = Some(layers);
        assignments.push(LayerAssignment {
            runner: index,
            layers,
        });
    }
    assignments
}

/// Returns the number of runners that hold each unit of layers.
pub fn copies(engine: &document::EngineSpec, runners: &[LayoutRunner]) -> Vec<usize> {
    let bounds = boundaries(engine);
    let held = |unit: runner::LayerSpan| {
        let layers = runners.iter().filter_map(|runner| runner.layers);
        layers.filter(|layers| layers.covers(unit)).count()
    };
    units(&bounds).map(held).collect()
}

/// Returns the room for contexts in the copies of each unit of layers.
pub fn room(engine: &document::EngineSpec, runners: &[LayoutRunner]) -> Vec<UnitRoom> {
    let bounds = boundaries(engine);
    let unit_room = |unit: runner::LayerSpan| {
        let rooms = runners.iter().filter_map(|runner| {
            let held = runner.layers.filter(|held| held.covers(unit))?;
            Some(context_room(engine, engine.card(&runner.card)?, held.len()))
        });
        let (whole, most) = rooms.fold((0.0, 0.0_f64), |(whole, most), room| {
            (whole + room, most.max(room))
        });
        UnitRoom {
            whole,
            after_loss: whole - most,
        }
    };
    units(&bounds).map(unit_room).collect()
}

/// Returns the memory that a card with this many layers has for contexts, in tokens
/// of context times layers; negative if the layers do not fit.
pub fn context_capacity(
    engine: &document::EngineSpec,
    card: &document::CardSpec,
    layers: u32,
) -> f64 {
    let free_mb = card.memory_mb - f64::from(layers) * engine.layer_mb;
    let token_layer_bytes = engine.token_bytes / f64::from(engine.layers);
    free_mb * 1e6 / token_layer_bytes.max(1.0)
}

/// Returns how many contexts of the expected length a card with this many layers
/// has room for.
pub fn context_room(engine: &document::EngineSpec, card: &document::CardSpec, layers: u32) -> f64 {
    let tokens = (engine.prompt_tokens + engine.answer_tokens).max(1.0);
    let room = context_capacity(engine, card, layers) / (tokens * f64::from(layers.max(1)));
    room.max(0.0)
}

fn best_span(
    engine: &document::EngineSpec,
    bounds: &[u32],
    runners: &[LayoutRunner],
    index: usize,
    card: &document::CardSpec,
) -> Option<runner::LayerSpan> {
    let domain = &runners[index].domain;
    let local = coverage(
        engine,
        bounds,
        runners.iter().filter(|runner| runner.domain == *domain),
    );
    let all = coverage(engine, bounds, runners.iter());
    let gains: Vec<_> = local
        .iter()
        .zip(&all)
        .map(|(local, all)| gain(local) + FLEET_WEIGHT * gain(all))
        .collect();
    let most = max_span_layers(engine, (bounds.len() - 1) as u32, card.memory_mb);
    let mut best: Option<(f64, runner::LayerSpan)> = None;
    for from in 0..gains.len() {
        let ends = (from + 1..bounds.len()).take_while(|end| bounds[*end] - bounds[from] <= most);
        let Some(end) = ends.last() else { continue };
        let sum: f64 = gains[from..end].iter().sum();
        let layers = runner::LayerSpan {
            from: bounds[from],
            to: bounds[end],
        };
        if best.is_none_or(|(best_sum, _)| sum > best_sum + f64::EPSILON) {
            best = Some((sum, layers));
        }
    }
    best.map(|(_, layers)| layers)
}

/// Returns the value of one more copy of a unit.
fn gain(cover: &UnitCoverage) -> f64 {
    let scarcity = 1.0 / (1.0 + cover.copies).powi(3);
    scarcity + SPEED_WEIGHT * scarcity / (1.0 + cover.speed)
}

fn coverage<'a>(
    engine: &document::EngineSpec,
    bounds: &[u32],
    runners: impl Iterator<Item = &'a LayoutRunner>,
) -> Vec<UnitCoverage> {
    let mut covers = vec![UnitCoverage::default(); bounds.len() - 1];
    for runner in runners {
        let Some(held) = runner.layers else { continue };
        let speed = engine
            .card(&runner.card)
            .map_or(0.0, |card| 1.0 / card.step_factor.max(0.001));
        for (cover, unit) in covers.iter_mut().zip(units(bounds)) {
            if held.covers(unit) {
                cover.copies += 1.0;
                cover.speed += speed;
            }
        }
    }
    covers
}

fn units(bounds: &[u32]) -> impl Iterator<Item = runner::LayerSpan> {
    bounds.windows(2).map(|pair| runner::LayerSpan {
        from: pair[0],
        to: pair[1],
    })
}

/// Returns the number of units that the layers are split into.
fn unit_count(engine: &document::EngineSpec) -> u32 {
    let smallest = engine.cards.iter().map(|card| card.memory_mb);
    let smallest = smallest.fold(f64::INFINITY, f64::min);
    engine.layers.div_ceil(unit_layers(engine, smallest))
}

/// Returns the number of layers that fit into the target fraction of a memory,
/// at least one.
fn unit_layers(engine: &document::EngineSpec, memory_mb: f64) -> u32 {
    let fits = (LAYER_MEMORY_TARGET * memory_mb / engine.layer_mb.max(0.001)).floor();
    (fits as u32).clamp(1, engine.layers)
}

/// Returns the largest number of layers of one runner: the number of whole
/// units nearest to the target fraction of its memory, within the limit.
fn max_span_layers(engine: &document::EngineSpec, units: u32, memory_mb: f64) -> u32 {
    let unit = f64::from(engine.layers) / f64::from(units);
    let layers = memory_mb / engine.layer_mb.max(0.001);
    let nearest = LAYER_MEMORY_TARGET * layers + unit / 2.0;
    nearest.min(LAYER_MEMORY_LIMIT * layers).max(1.0).floor() as u32
}
