//! Room of a service: how many more requests its runners have memory for, and how
//! soon running requests make room.

use std::time as std_time;

use arbutusfold_platform::document;
use tokio::time;

use crate::gateway::fleet;
use crate::gateway::path;
use crate::gateway::selector;

/// Time after which an observed run counts for a third in the average of run times.
const RUN_MEMORY: std_time::Duration = std_time::Duration::from_secs(30);

/// Room of a service, counted in requests of the engine's mean size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomReport {
    /// Requests that still fit, at the layer with the least free memory.
    pub free: f64,
    /// Whether each layer has a usable runner.
    pub is_covered: bool,
    /// Requests that run on all nodes, by the memory that they hold.
    pub running: f64,
    /// Time of a request at its runners, as the engine's figures suggest.
    pub expected_run: std_time::Duration,
}

impl RoomReport {
    /// Returns the number of requests that fit if none runs.
    pub fn capacity(&self) -> f64 {
        self.free + self.running
    }

    /// Returns how many of the running requests end in a second if each runs for
    /// `run_time` on average.
    pub fn ends_per_second(&self, run_time: std_time::Duration) -> f64 {
        match run_time.is_zero() {
            true => 0.0,
            false => self.running / run_time.as_secs_f64(),
        }
    }
}

/// Measures the room over `states`, the usable runners of a service.
///
/// `selector` supplies the loads, so that the room and the choice of a path rest on
/// the same memory.
pub fn measure(
    selector: &selector::PathSelector<'_>,
    states: &[&fleet::RunnerState],
) -> RoomReport {
    let engine = selector.engine;
    let tokens = (engine.prompt_tokens + engine.answer_tokens).max(1.0);
    let layers = engine.layers as usize;
    // Differences between neighbouring layers, summed up below.
    let mut steps = vec![(0.0, 0); layers + 1];
    let mut run_ms = 0.0;
    let mut held_layers = 0.0;
    for state in states {
        let Some(candidate) = selector.candidate(state, 0, 0) else {
            continue;
        };
        let (from, to) = (candidate.layers.from as usize, candidate.layers.to as usize);
        if from >= to || to > layers {
            continue;
        }
        let held = f64::from(candidate.layers.len());
        let fits = candidate.free_token_layers.max(0.0) / (tokens * held);
        steps[from] = (steps[from].0 + fits, steps[from].1 + 1);
        steps[to] = (steps[to].0 - fits, steps[to].1 - 1);
        run_ms += run_time_ms(engine, &candidate);
        held_layers += held;
    }
    let (mut room, mut holders) = (0.0, 0);
    let by_layer = steps.iter().take(layers).map(|(fits, holder)| {
        room += fits;
        holders += holder;
        (room, holders)
    });
    let least = by_layer.reduce(|one, other| (one.0.min(other.0), one.1.min(other.1)));
    let (free, holders) = least.unwrap_or_default();
    let is_covered = holders > 0;
    let used = states.iter().map(|state| selector.used_token_layers(state));
    let mean_ms = match held_layers > 0.0 {
        true => run_ms * f64::from(engine.layers) / held_layers,
        false => 0.0,
    };
    RoomReport {
        // The sums of the layers are not exact.
        free: if is_covered { free.max(0.0) } else { 0.0 },
        is_covered,
        running: used.sum::<f64>() / (tokens * f64::from(engine.layers)),
        expected_run: std_time::Duration::from_secs_f64(mean_ms / 1_000.0),
    }
}

/// Returns the time of a request of mean size at one runner, in milliseconds.
fn run_time_ms(engine: &document::EngineSpec, candidate: &path::StageCandidate) -> f64 {
    let query = path::PathQuery {
        engine,
        layers: candidate.layers,
        domain: None,
        prompt: engine.prompt_tokens,
        answer: engine.answer_tokens,
        context: engine.prompt_tokens + engine.answer_tokens,
        timing: None,
    };
    let sound = path::StageCandidate {
        free_token_layers: f64::INFINITY,
        penalty_ms: 0.0,
        ..candidate.clone()
    };
    path::stage_ms(&sound, candidate.layers.len(), &query)
}

/// Average time of the runs that ended at this node; older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunAverage {
    mean_s: f64,
    weight: f64,
    noted_at: Option<time::Instant>,
}

impl RunAverage {
    /// Adds a run that took `run_time`.
    pub fn note(&mut self, run_time: std_time::Duration, now: time::Instant) {
        let weight = self.weight_at(now);
        self.mean_s = (self.mean_s * weight + run_time.as_secs_f64()) / (weight + 1.0);
        self.weight = weight + 1.0;
        self.noted_at = Some(now);
    }

    /// Returns the average, in which `expected` counts as one more run.
    pub fn estimate(&self, expected: std_time::Duration, now: time::Instant) -> std_time::Duration {
        let weight = self.weight_at(now);
        let sum = self.mean_s * weight + expected.as_secs_f64();
        std_time::Duration::from_secs_f64(sum / (weight + 1.0))
    }

    fn weight_at(&self, now: time::Instant) -> f64 {
        self.noted_at.map_or(0.0, |noted_at| {
            let age = now.saturating_duration_since(noted_at);
            self.weight * (-age.as_secs_f64() / RUN_MEMORY.as_secs_f64()).exp()
        })
    }
}
