//! When a silent stream is led over other runners.
//!
//! A runner that went dark leaves no trace but silence. All streams that pass
//! it fall silent together, while other streams through the healthy runners
//! of its paths go on: a runner without any recent progress is at fault.

use std::time;

/// Factor on the longest pause that is on time, after which silence is looked into.
const OVERDUE_FACTOR: u32 = 2;

/// Part of the silence for which a runner at fault was silent towards all streams.
const SILENT_FRACTION: f64 = 0.7;

/// Part of the caller's patience after which a stream goes elsewhere though
/// no runner seems at fault.
const PATIENCE_FRACTION: f64 = 0.6;

/// How long a stream may be silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilencePolicy {
    /// Silence that is on time.
    pub expected: time::Duration,
    /// Silence after which the caller leaves.
    pub patience: time::Duration,
}

/// What to do about a silent stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StallVerdict {
    /// Wait on.
    Wait,
    /// Go on elsewhere, without the runners at these places of the path.
    Switch(Vec<usize>),
}

/// Tells whether a silence is long enough to look into.
pub fn is_overdue(silence: time::Duration, policy: SilencePolicy) -> bool {
    silence >= policy.expected * OVERDUE_FACTOR
}

/// Judges a stream that was silent for `silence`.
///
/// `stages` holds, for each runner of the path, how long no stream through it
/// made progress; `None` where none ever did.
pub fn check(
    silence: time::Duration,
    stages: &[Option<time::Duration>],
    policy: SilencePolicy,
) -> StallVerdict {
    if !is_overdue(silence, policy) {
        return StallVerdict::Wait;
    }
    let limit = silence.mul_f64(SILENT_FRACTION);
    let silent: Vec<_> = (0..stages.len())
        .filter(|index| stages[*index].is_none_or(|idle| idle >= limit))
        .collect();
    if !silent.is_empty() && silent.len() < stages.len() {
        return StallVerdict::Switch(silent);
    }
    if silence >= policy.patience.mul_f64(PATIENCE_FRACTION) {
        return StallVerdict::Switch(silent);
    }
    StallVerdict::Wait
}
