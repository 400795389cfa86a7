//! What runners offer to a path, by all that one node knows of them.

use arbutusfold_platform::document;
use derive_more::Display;
use rand::RngExt;
use tokio::time;

use crate::gateway::fleet;
use crate::gateway::leader;
use crate::gateway::path;

/// Part of a runner's memory for contexts that paths fill; what is told of
/// loads is late and lengths are guesses.
const MEMORY_PART: f64 = 0.85;

/// Part of the spread of random factors on the cost of stages.
const JITTER: f64 = 0.1;

/// Why a request cannot be sent now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PathLack {
    /// Some layer or the service has no runner left.
    #[display("no runner is left")]
    NoHolder,
    /// Every path leads over a runner without room for the context.
    #[display("no path has room")]
    Full,
    /// Every path leads over several runners that failed lately.
    #[display("every path leads over failing runners")]
    Failing,
}

/// What one node knows when it chooses a path.
#[derive(Clone, Copy, Debug)]
pub struct OfferView<'a> {
    /// Engine of the service.
    pub engine: &'a document::EngineSpec,
    /// What nodes and leads told.
    pub leads: &'a leader::LoadView,
    /// Load of other nodes that no word counts yet, for each own request.
    pub unheard: f64,
    /// The moment of the choice.
    pub now: time::Instant,
}

impl OfferView<'_> {
    /// Chooses a path over runners of these failure domains.
    ///
    /// # Errors
    ///
    /// [`PathLack`] when no path is worth a try.
    pub fn choose(
        &self,
        states: &[&fleet::RunnerState],
        domains: &[&str],
        query: &path::PathQuery<'_>,
    ) -> Result<path::ChosenPath, PathLack> {
        let offers: Vec<_> = states
            .iter()
            .enumerate()
            .filter_map(|(place, state)| {
                let domain = domains.binary_search(&state.record.domain.as_str()).ok()?;
                self.offer(state, place, domain)
            })
            .collect();
        let mut rng = rand::rng();
        let jitter = || 1.0 + JITTER * rng.random::<f64>();
        let chosen = path::choose(&offers, query, jitter).ok_or(PathLack::NoHolder)?;
        if chosen.cost_ms < path::CROWDED_MS {
            return Ok(chosen);
        }
        let is_full = |stage: &path::PathStage| {
            let offer = offers.iter().find(|offer| offer.place == stage.place);
            offer.is_some_and(|offer| path::is_full(offer, stage.layers.len(), query))
        };
        match chosen.stages.iter().any(is_full) {
            true => Err(PathLack::Full),
            false => Err(PathLack::Failing),
        }
    }

    /// Returns what a runner offers, if it holds layers.
    ///
    /// `place` and `domain` are places in lists of the caller.
    fn offer(
        &self,
        state: &fleet::RunnerState,
        place: usize,
        domain: usize,
    ) -> Option<path::StageOffer> {
        let engine = self.engine;
        let layers = match engine.cards.is_empty() {
            true => state.layers().unwrap_or(engine.all_layers()),
            false => state.layers()?,
        };
        let card = state
            .record
            .card
            .as_deref()
            .and_then(|name| engine.card(name));
        let capacity = match card {
            Some(card) => {
                let free_mb = card.memory_mb - f64::from(layers.len()) * engine.layer_mb;
                let token_layer = engine.token_bytes / f64::from(engine.layers);
                free_mb * 1e6 / token_layer.max(1.0)
            }
            None => engine.context_tokens as f64 * f64::from(engine.layers),
        };
        let others = self.leads.peer_load(state.key);
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
            penalty_ms: path::AVOIDED_MS * f64::from(avoided)
                + path::FAILING_MS * state.failure_rate,
        })
    }
}
