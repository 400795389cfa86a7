//! Measures the decisions of arbutusfold with small fakes on a paused clock.

pub mod address;
pub mod capacity;
pub mod config;
pub mod cost;
pub mod health;
pub mod member;
pub mod record;
pub mod report;
pub mod scenario;
