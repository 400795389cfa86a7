//! Measures the decisions of arbutusfold with small fakes on a paused clock.

pub mod admission_cost;
pub mod concurrency;
pub mod config;
pub mod crashing_request;
pub mod fairness;
pub mod fleet_limit;
pub mod full_outage;
pub mod record;
pub mod report;
pub mod scenario;
