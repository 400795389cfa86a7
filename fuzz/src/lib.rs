//! Stateful fuzzing: fakes at the interfaces on a paused clock.

pub mod wire;
