//! Measures the decisions of arbutusfold with small fakes on a paused clock.

pub mod config;
pub mod record;
pub mod report;
pub mod scenario;
