//! Fakes at the interfaces, on the paused clock, for stateful fuzzing.

pub mod crash;
pub mod fake;
pub mod freeze;
pub mod runner;
pub mod wire;
