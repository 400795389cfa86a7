//! Which runner holds which layers.
//!
//! All runners cut the model at the same boundaries, so that a stage of one
//! path can take the place of the same stage of another. Runners without
//! layers are filled one after the other, the fastest first, each with the
//! span that has the fewest copies in its failure domain.

use arbutusfold_platform::{document, runner};

/// Part of a runner's memory that layers are to fill; the rest holds contexts.
const LAYER_PART: f64 = 0.65;

/// Part of a runner's memory that layers may fill at most.
const LAYER_PART_MOST: f64 = 0.85;

/// Weight of copies in other failure domains against those in the own one.
const REMOTE_WEIGHT: f64 = 0.1;

/// Weight of the speed of copies against their number.
const RATE_WEIGHT: f64 = 0.2;

/// A runner as the layout sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutSlot {
    /// Failure domain.
    pub domain: String,
    /// Kind of its accelerator.
    pub card: String,
    /// Layers that it holds or loads.
    pub layers: Option<runner::LayerSpan>,
}

/// A span for a runner without layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LayoutChoice {
    /// Place of the runner among the slots.
    pub slot: usize,
    /// Layers that it is to hold.
    pub layers: runner::LayerSpan,
}

/// Copies of one unit of layers.
#[derive(Clone, Copy, Debug, Default)]
struct UnitCover {
    copies: f64,
    rate: f64,
}

/// Returns the boundaries at which all runners cut the model.
pub fn boundaries(engine: &document::EngineSpec) -> Vec<u32> {
    let smallest = engine.cards.iter().map(|card| card.memory_mb);
    let smallest = smallest.fold(f64::INFINITY, f64::min);
    let unit = unit_layers(engine, smallest);
    let units = engine.layers.div_ceil(unit);
    (0..=units)
        .map(|unit| unit * engine.layers / units)
        .collect()
}

/// Chooses spans for the runners without layers, the fastest first.
pub fn plan(engine: &document::EngineSpec, slots: &[LayoutSlot]) -> Vec<LayoutChoice> {
    if engine.cards.is_empty() {
        return Vec::new();
    }
    let cuts = boundaries(engine);
    let mut slots = slots.to_vec();
    let mut free: Vec<_> = (0..slots.len())
        .filter(|place| slots[*place].layers.is_none())
        .collect();
    free.sort_by(|one, other| {
        let factor = |place: usize| {
            engine
                .card(&slots[place].card)
                .map_or(f64::MAX, |card| card.step_factor)
        };
        factor(*one).total_cmp(&factor(*other))
    });
    let mut choices = Vec::new();
    for place in free {
        let Some(card) = engine.card(&slots[place].card) else {
            continue;
        };
        let Some(layers) = best_span(engine, &cuts, &slots, place, card) else {
            continue;
        };
        slots[place].layers = Some(layers);
        choices.push(LayoutChoice {
            slot: place,
            layers,
        });
    }
    choices
}

/// Returns the number of runners that hold each unit of layers.
pub fn copies(engine: &document::EngineSpec, slots: &[LayoutSlot]) -> Vec<usize> {
    let cuts = boundaries(engine);
    let held = |unit: runner::LayerSpan| {
        let layers = slots.iter().filter_map(|slot| slot.layers);
        layers.filter(|layers| layers.covers(unit)).count()
    };
    units(&cuts).map(held).collect()
}

fn best_span(
    engine: &document::EngineSpec,
    cuts: &[u32],
    slots: &[LayoutSlot],
    place: usize,
    card: &document::CardSpec,
) -> Option<runner::LayerSpan> {
    let domain = &slots[place].domain;
    let near = cover(
        engine,
        cuts,
        slots.iter().filter(|slot| slot.domain == *domain),
    );
    let all = cover(engine, cuts, slots.iter());
    let gains: Vec<_> = near
        .iter()
        .zip(&all)
        .map(|(near, all)| gain(near) + REMOTE_WEIGHT * gain(all))
        .collect();
    let most = span_layers(engine, cuts, card.memory_mb);
    let mut best: Option<(f64, runner::LayerSpan)> = None;
    for from in 0..gains.len() {
        let ends = (from + 1..cuts.len()).take_while(|end| cuts[*end] - cuts[from] <= most);
        let Some(end) = ends.last() else { continue };
        let sum: f64 = gains[from..end].iter().sum();
        let layers = runner::LayerSpan {
            from: cuts[from],
            to: cuts[end],
        };
        if best.is_none_or(|(held, _)| sum > held + f64::EPSILON) {
            best = Some((sum, layers));
        }
    }
    best.map(|(_, layers)| layers)
}

/// What one more copy of a unit is worth.
fn gain(cover: &UnitCover) -> f64 {
    let few = 1.0 / (1.0 + cover.copies).powi(3);
    few + RATE_WEIGHT * few / (1.0 + cover.rate)
}

fn cover<'a>(
    engine: &document::EngineSpec,
    cuts: &[u32],
    slots: impl Iterator<Item = &'a LayoutSlot>,
) -> Vec<UnitCover> {
    let mut covers = vec![UnitCover::default(); cuts.len() - 1];
    for slot in slots {
        let Some(held) = slot.layers else { continue };
        let rate = engine
            .card(&slot.card)
            .map_or(0.0, |card| 1.0 / card.step_factor.max(0.001));
        for (cover, unit) in covers.iter_mut().zip(units(cuts)) {
            if held.covers(unit) {
                cover.copies += 1.0;
                cover.rate += rate;
            }
        }
    }
    covers
}

fn units(cuts: &[u32]) -> impl Iterator<Item = runner::LayerSpan> {
    cuts.windows(2).map(|pair| runner::LayerSpan {
        from: pair[0],
        to: pair[1],
    })
}

/// Layers that fit the part of a memory that layers may fill, at least one.
fn unit_layers(engine: &document::EngineSpec, memory_mb: f64) -> u32 {
    let fits = (LAYER_PART * memory_mb / engine.layer_mb.max(0.001)).floor();
    (fits as u32).clamp(1, engine.layers)
}

/// Most layers of one runner: as many units as come nearest to its part.
fn span_layers(engine: &document::EngineSpec, cuts: &[u32], memory_mb: f64) -> u32 {
    let unit = f64::from(engine.layers) / (cuts.len() - 1) as f64;
    let layers = memory_mb / engine.layer_mb.max(0.001);
    let nearest = LAYER_PART * layers + unit / 2.0;
    nearest.min(LAYER_PART_MOST * layers).max(1.0).floor() as u32
}
