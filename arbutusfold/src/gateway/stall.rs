//! Decides when a stalled stream switches to other runners.
//!
//! A runner that stops responding returns no error. All streams through it stall
//! together, while other streams through the healthy runners on the same paths
//! make progress. So a runner without any recent progress is at fault.

use std::time;

/// A stream is checked once it is silent for this multiple of the expected pause.
const OVERDUE_FACTOR: u32 = 2;

/// Fraction of the stream's silence for which no stream through a runner made
/// progress, for that runner to count as at fault.
const SILENT_FRACTION: f64 = 0.7;

/// Fraction of the caller's patience after which a stream switches to other
/// runners even if no single runner can be identified as the cause.
const PATIENCE_FRACTION: f64 = 0.6;

/// Limits on the silence of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilencePolicy {
    /// Longest pause that meets the objective.
    pub expected: time::Duration,
    /// Silence after which the caller is expected to give up.
    pub patience: time::Duration,
}

/// Action for a silent stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StallVerdict {
    /// Keep waiting.
    Wait,
    /// Continue without the runners at these indices of the path.
    Switch(Vec<usize>),
}

/// Returns whether a stream has been silent for long enough to be checked.
pub fn is_overdue(silence: time::Duration, policy: SilencePolicy) -> bool {
    silence >= policy.expected * OVERDUE_FACTOR
}

/// Decides whether a stream without an event for `silence` waits or switches.
///
/// `stages` holds, for each runner of the path, the time since any stream
/// through it made progress, or `None` if none ever did.
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
