//! Measures the decisions of arbutusfold with small fakes on a paused clock.

pub mod config;
pub mod engine;
pub mod fleet;
pub mod record;
pub mod report;
pub mod scenario;
pub mod way;
pub mod world;

mod decision_cost;
mod domain_loss;
mod latency;
mod saturation;
mod stage_death;
