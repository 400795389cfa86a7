//! Selection of a path by what one node knows about the runners.

use arbutusfold_platform::document;
use derive_more::Display;
use rand::RngExt;
use tokio::time;

use crate::gateway::demand;
use crate::gateway::fleet;
use crate::gateway::layout;
use crate::gateway::leader;
use crate::gateway::path;
use crate::gateway::unread;

/// Fraction of a runner's context memory that paths may fill. The rest is a
/// reserve, because reported loads are delayed and lengths are estimates.
pub const USABLE_MEMORY: f64 = 0.85;

/// Largest relative increase of a stage's cost by a random factor.
const JITTER: f64 = 0.1;

/// Why a request cannot be sent now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PathError {
    /// Some layer, or the service, has no runner left.
    #[display("no runner is left")]
    NoRunner,
    /// Some layers, or the service, have only runners whose processes do not exist.
    #[display("the runners that are left accept no connections")]
    Unreachable,
    /// Every path contains a runner without memory for the context.
    #[display("no path has room")]
    NoCapacity,
    /// The runners that are left named limits, and these are used up.
    #[display("the runners have reached their limits")]
    Limited,
    /// Every path contains several runners that failed recently.
    #[display("every path leads over failing runners")]
    Failing,
}

/// State from which one node chooses a path.
#[derive(Clone, Copy, Debug)]
pub struct PathSelector<'a> {
    /// Engine of the service.
    pub engine: &'a document::EngineSpec,
    /// Loads and slow runners as reported by other nodes.
    pub leads: &'a leader::LoadView,
    /// Estimated load of other nodes that is in no report yet, per request of this
    /// node.
    pub unreported: f64,
    /// Prompts that this node and the others sent and that are not read yet, each
    /// list sorted by runner; empty where they are not counted.
    pub unread: [&'a [demand::PromptBacklog]; 2],
    /// Current time.
    pub now: time::Instant,
}

/// Estimated load of all nodes on a runner.
#[derive(Clone, Copy, Debug)]
struct StageLoad {
    /// Requests in flight.
    in_flight: f64,
    /// Memory in use, in tokens of context times layers.
    token_layers: f64,
}

impl PathSelector<'_> {
    /// Chooses a path over `states`; `domains` holds their failure domains, sorted.
    ///
    /// # Errors
    ///
    /// [`PathError`] when there is no path or its cost is too high.
    pub fn choose(
        &self,
        states: &[&fleet::RunnerState],
        domains: &[&str],
        query: &path::PathQuery<'_>,
    ) -> Result<path::ChosenPath, PathError> {
        let candidates: Vec<_> = states
            .iter()
            .enumerate()
            .filter_map(|(runner, state)| {
                let domain = domains.binary_search(&state.record.domain.as_str()).ok()?;
                self.candidate(state, runner, domain)
            })
            .collect();
        let mut rng = rand::rng();
        let jitter = || 1.0 + JITTER * rng.random::<f64>();
        let chosen = path::choose(&candidates, query, jitter).ok_or(PathError::NoRunner)?;
        // The price of a crossing must not refuse a long prompt where it is known apart.
        let refusal_ms = match query.timing {
            Some(_) => chosen.penalty_ms,
            None => chosen.cost_ms,
        };
        if refusal_ms < path::MAX_COST_MS {
            return Ok(chosen);
        }
        let is_full = |stage: &path::PathStage| {
            let candidate = candidates
                .iter()
                .find(|candidate| candidate.runner == stage.runner);
            candidate.is_some_and(|candidate| path::is_full(candidate, stage.layers.len(), query))
        };
        match chosen.stages.iter().any(is_full) {
            true => Err(PathError::NoCapacity),
            false => Err(PathError::Failing),
        }
    }

    /// Returns a runner as a candidate, if it holds layers.
    ///
    /// `runner` and `domain` are indices in the caller's lists.
    pub fn candidate(
        &self,
        state: &fleet::RunnerState,
        runner: usize,
        domain: usize,
    ) -> Option<path::StageCandidate> {
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
            Some(card) => layout::context_capacity(engine, card, layers.len()),
            None => engine.context_tokens as f64 * f64::from(engine.layers),
        };
        let load = self.load(state);
        let slowdown = self.leads.slowness(state.key);
        let backlogs = self.unread.into_iter();
        let unread = backlogs.map(|list| unread::backlog(list, state.key));
        let avoided = state.is_avoided(self.now);
        Some(path::StageCandidate {
            runner,
            domain,
            layers,
            step_factor: slowdown * card.map_or(1.0, |card| card.step_factor),
            read_factor: slowdown * card.map_or(1.0, |card| card.read_factor),
            in_flight: load.in_flight,
            slots: f64::from(state.record.slots),
            free_token_layers: USABLE_MEMORY * capacity - load.token_layers,
            unread_token_layers: unread.sum(),
            penalty_ms: path::AVOIDED_PENALTY_MS * f64::from(avoided)
                + path::FAILING_PENALTY_MS * state.failure_rate,
        })
    }

    /// Returns the memory in use at a runner by the requests of all nodes, in tokens of
    /// context times layers.
    pub fn used_token_layers(&self, state: &fleet::RunnerState) -> f64 {
        self.load(state).token_layers
    }

    fn load(&self, state: &fleet::RunnerState) -> StageLoad {
        let others = self.leads.peer_load(state.key);
        let fleet_factor = 1.0 + self.unreported;
        StageLoad {
            in_flight: f64::from(others.in_flight) + fleet_factor * f64::from(state.in_flight),
            token_layers: others.token_layers as f64 + fleet_factor * state.token_layers as f64,
        }
    }
}
