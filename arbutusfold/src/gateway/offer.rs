//! What a runner offers to a path, by all that one node knows of it.

use arbutusfold_platform::{document, runner};
use tokio::time;

use crate::gateway::fleet;
use crate::gateway::lead;
use crate::gateway::path;

/// Part of a runner's memory for contexts that paths fill; what is told of
/// loads is late and lengths are guesses.
const MEMORY_PART: f64 = 0.85;

/// What one node knows when it chooses a path.
#[derive(Clone, Copy, Debug)]
pub struct OfferView<'a> {
    /// Engine of the service.
    pub engine: &'a document::EngineSpec,
    /// What nodes and leads told.
    pub leads: &'a lead::LeadBook,
    /// Load of other nodes that no word counts yet, for each own request.
    pub unheard: f64,
    /// The moment of the choice.
    pub now: time::Instant,
}

impl OfferView<'_> {
    /// Returns what a runner offers, if it holds layers.
    ///
    /// `place` and `domain` are places in lists of the caller.
    pub fn offer(
        &self,
        state: &fleet::RunnerState,
        place: usize,
        domain: usize,
    ) -> Option<path::StageOffer> {
        let engine = self.engine;
        let whole = runner::LayerSpan {
            from: 0,
            to: engine.layers,
        };
        let layers = match engine.cards.is_empty() {
            true => state.layers().unwrap_or(whole),
            false => state.layers()?,
        };
        let card = self.card(state);
        let capacity = match card {
            Some(card) => {
                let free_mb = card.memory_mb - f64::from(layers.len()) * engine.layer_mb;
                let token_layer = engine.token_bytes / f64::from(engine.layers);
                free_mb * 1e6 / token_layer.max(1.0)
            }
            None => engine.context_tokens as f64 * f64::from(engine.layers),
        };
        let others = self.leads.others(state.key);
        let slowness = self.leads.slowness(state.key);
        let alike = 1.0 + self.unheard;
        let streams = f64::from(others.in_flight) + alike * f64::from(state.in_flight);
        let held = others.token_layers as f64 + alike * state.token_layers as f64;
        let avoided = state.is_avoided(self.now);
        Some(path::StageOffer {
            place,
            domain,
            layers,
            step_factor: slowness * card.map_or(1.0, |card| card.step_factor),
            read_factor: slowness * card.map_or(1.0, |card| card.read_factor),
            streams,
            room: MEMORY_PART * capacity - held,
            penalty_ms: path::AVOIDED_MS * f64::from(avoided) + path::FAILING_MS * state.failing,
        })
    }

    fn card(&self, state: &fleet::RunnerState) -> Option<&document::CardSpec> {
        let name = state.record.card.as_deref()?;
        let cards = &self.engine.cards;
        let found = cards.binary_search_by(|card| card.name.as_str().cmp(name));
        found.ok().map(|place| &cards[place])
    }
}
