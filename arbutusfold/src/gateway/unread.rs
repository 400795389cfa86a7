//! Prompts that were sent to runners and not read yet.
//!
//! A runner reads prompts between the tokens of other requests, so a prompt waits
//! for those before it. No report of a runner tells how long they are.

use arbutusfold_platform::document;

use crate::gateway::demand;
use crate::gateway::leader;

/// Tokens to read at each runner, multiplied by the layers that read them there.
#[derive(Clone, Debug, Default)]
pub struct UnreadPrompts {
    /// Runners with tokens to read, sorted by key.
    backlogs: Vec<demand::PromptBacklog>,
}

impl UnreadPrompts {
    /// Adds tokens that a runner has to read.
    pub fn begin(&mut self, runner: leader::RunnerKey, token_layers: u64) {
        if token_layers == 0 {
            return;
        }
        match search(&self.backlogs, runner) {
            Ok(index) => self.backlogs[index].token_layers += token_layers,
            Err(index) => {
                let backlog = demand::PromptBacklog {
                    runner,
                    token_layers,
                };
                self.backlogs.insert(index, backlog);
            }
        }
    }

    /// Removes tokens that a runner has read or will not read any more.
    pub fn end(&mut self, runner: leader::RunnerKey, token_layers: u64) {
        let Ok(index) = search(&self.backlogs, runner) else {
            return;
        };
        let backlog = &mut self.backlogs[index];
        backlog.token_layers = backlog.token_layers.saturating_sub(token_layers);
        if backlog.token_layers == 0 {
            self.backlogs.remove(index);
        }
    }

    /// Returns the backlogs, sorted by runner.
    pub fn backlogs(&self) -> &[demand::PromptBacklog] {
        &self.backlogs
    }
}

/// Returns the backlog of a runner in a list that is sorted by runner, in tokens
/// times layers.
pub fn backlog(list: &[demand::PromptBacklog], runner: leader::RunnerKey) -> f64 {
    search(list, runner).map_or(0.0, |index| list[index].token_layers as f64)
}

/// Returns how long a runner takes to read tokens, given as tokens times layers, in
/// milliseconds. `read_factor` is the factor on the engine's reading time.
pub fn read_ms(engine: &document::EngineSpec, read_factor: f64, token_layers: f64) -> f64 {
    let speed = engine.read_per_second * f64::from(engine.layers);
    match speed > 0.0 {
        true => read_factor * token_layers * 1_000.0 / speed,
        false => 0.0,
    }
}

fn search(list: &[demand::PromptBacklog], runner: leader::RunnerKey) -> Result<usize, usize> {
    list.binary_search_by_key(&runner, |backlog| backlog.runner)
}
