//! Measures the decisions of arbutusfold with small fakes on a paused clock.

pub mod address;
pub mod admission_cost;
pub mod capacity;
pub mod concurrency;
pub mod config;
pub mod cost;
pub mod crashing_request;
pub mod engine;
pub mod fairness;
pub mod fleet;
pub mod fleet_limit;
pub mod full_outage;
pub mod health;
pub mod member;
pub mod record;
pub mod report;
pub mod scenario;
pub mod way;
pub mod world;

mod contended_room;
mod deciding_node;
mod decision_cost;
mod domain_loss;
mod latency;
mod length_reserve;
mod organisation_share;
mod prompt_mix;
mod ranked_intake;
mod saturation;
mod stage_death;
