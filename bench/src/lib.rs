//! Measures the decisions of arbutusfold with small fakes on a paused clock.

pub mod address;
pub mod admission_cost;
pub mod capacity;
pub mod concurrency;
pub mod config;
pub mod cost;
pub mod crashing_request;
pub mod fairness;
pub mod fleet_limit;
pub mod full_outage;
pub mod health;
pub mod member;
pub mod record;
pub mod report;
pub mod scenario;
