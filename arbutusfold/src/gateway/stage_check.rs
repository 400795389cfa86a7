//! Decides which stages of a stream's path are replaced before the stream is late.
//!
//! A runner that is lost returns no error, and every stream through it stalls. A new
//! connection tells within milliseconds whether its process still accepts any.

use std::time as std_time;

use tokio::time;

/// A stream is checked after this fraction of its objective without an event. The rest
/// is left for the check, the reroute and the prefill on the substitute.
const CHECK_FRACTION: f64 = 0.5;

/// A stage is asked after this fraction of the objective without progress. It is shorter
/// than that of the stream, since other streams through a lost runner had their latest
/// events later.
const IDLE_FRACTION: f64 = 0.25;

/// Time for which a connection that was accepted during the silence of a stream shows
/// that its runner is not the cause. A stream may be merely slow again and again.
pub const ACCEPT_TTL: std_time::Duration = std_time::Duration::from_millis(500);

/// Fraction of the time that a leaving runner still serves after which the streams
/// through it are moved. Shorter streams end before without a reroute.
const LEAVE_FRACTION: f64 = 0.7;

/// The moves are spread over this fraction of that time, since runners carry out
/// orders and read prompts one after another.
const LEAVE_SPREAD: f64 = 0.1;

/// An answer that is longer than expected is assumed to go on for this fraction of its
/// present length.
const OVERRUN_FRACTION: f64 = 0.25;

/// What a runner did when a connection to it was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageAnswer {
    /// It accepted the connection.
    Accepted,
    /// It refused the connection.
    Refused,
    /// It did not answer in time.
    Silent,
}

/// Result of opening a connection to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageProbe {
    /// What the runner did.
    pub answer: StageAnswer,
    /// Start of the attempt.
    pub began_at: time::Instant,
    /// End of the attempt.
    pub ended_at: time::Instant,
}

/// What this host knows of one stage of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageState {
    /// Latest event of any stream of this host through the runner.
    pub progressed_at: Option<time::Instant>,
    /// When the runner last accepted a connection of this host.
    pub accepted_at: Option<time::Instant>,
    /// Whether the process that serves the stream is known to be gone.
    pub is_gone: bool,
    /// Result of the check.
    pub probe: Option<StageProbe>,
}

impl StageState {
    fn is_idle(&self, objective: std_time::Duration, now: time::Instant) -> bool {
        let progressed_at = self.progressed_at;
        progressed_at.is_none_or(|at| now >= at + idle_limit(objective))
    }

    /// Returns until when the runner is known not to be the cause of the silence of a
    /// stream since `last_event`, or `None` if it is not known at all.
    fn proven_until(
        &self,
        last_event: time::Instant,
        objective: std_time::Duration,
    ) -> Option<time::Instant> {
        let accepted_at = self.accepted_at.filter(|at| *at > last_event);
        let accepted_until = accepted_at.map(|at| at + ACCEPT_TTL);
        let progressed_until = self.progressed_at.map(|at| at + idle_limit(objective));
        progressed_until.max(accepted_until.filter(|_| !self.is_gone))
    }

    /// Returns whether the check found no process and no stream made progress since.
    fn is_unanswered(&self, probe: &StageProbe) -> bool {
        probe.answer != StageAnswer::Accepted
            && self.progressed_at.is_none_or(|at| at < probe.began_at)
    }
}

/// Returns the silence after which a stream with this objective is checked.
pub fn patience(objective: std_time::Duration) -> std_time::Duration {
    objective.mul_f64(CHECK_FRACTION)
}

fn idle_limit(objective: std_time::Duration) -> std_time::Duration {
    objective.mul_f64(IDLE_FRACTION)
}

/// Returns when a stream is due for its next check: it has been silent for [`patience`],
/// and some stage may be the cause. The latest check was at `checked_at`.
pub fn due_at(
    last_event: time::Instant,
    checked_at: Option<time::Instant>,
    stages: &[StageState],
    objective: std_time::Duration,
) -> time::Instant {
    let proven = stages
        .iter()
        .map(|stage| stage.proven_until(last_event, objective));
    // `None`, a stage that may be the cause now, sorts first.
    let unproven_at = proven.min().flatten();
    let silent_at = last_event + patience(objective);
    let due_at = unproven_at.map_or(silent_at, |at| at.max(silent_at));
    // Stages that become idle one by one are asked together.
    checked_at.map_or(due_at, |at| due_at.max(at + idle_limit(objective)))
}

/// Returns the indices of the stages that may be the cause of the silence of a stream
/// since `last_event` and are to be asked.
pub fn unproven(
    stages: &[StageState],
    last_event: time::Instant,
    objective: std_time::Duration,
    now: time::Instant,
) -> Vec<usize> {
    let is_unproven = |stage: &StageState| {
        let until = stage.proven_until(last_event, objective);
        !stage.is_gone && until.is_none_or(|until| now >= until)
    };
    (0..stages.len())
        .filter(|index| is_unproven(&stages[*index]))
        .collect()
}

/// Returns whether some stage did not answer, and no other one did to compare with.
pub fn lacks_contrast(stages: &[StageState]) -> bool {
    let mut probes = stages.iter().filter_map(|stage| stage.probe);
    probes.any(|probe| probe.answer != StageAnswer::Accepted && !is_contrasted(stages, &probe))
}

/// Returns the indices of the stages to replace. A host that reaches no other runner
/// since the check began, by a stage of the path or `reaches_other`, may be cut off
/// itself, so the check shows nothing.
pub fn find_failed(
    stages: &[StageState],
    reaches_other: bool,
    objective: std_time::Duration,
    now: time::Instant,
) -> Vec<usize> {
    let is_failed = |stage: &StageState| match &stage.probe {
        Some(probe) => {
            stage.is_unanswered(probe) && (reaches_other || is_contrasted(stages, probe))
        }
        None => stage.is_gone && stage.is_idle(objective, now),
    };
    (0..stages.len())
        .filter(|index| is_failed(&stages[*index]))
        .collect()
}

/// Returns whether another stage accepted a connection after this attempt began.
fn is_contrasted(stages: &[StageState], probe: &StageProbe) -> bool {
    let mut probes = stages.iter().filter_map(|stage| stage.probe);
    probes.any(|other| other.answer == StageAnswer::Accepted && other.ended_at >= probe.began_at)
}

/// How far a stream has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamProgress {
    /// Expected length of the whole answer in tokens.
    pub expected_tokens: f64,
    /// Longest possible length of the whole answer in tokens.
    pub token_limit: f64,
    /// Tokens so far.
    pub tokens: u64,
    /// Events so far.
    pub events: u64,
    /// Time from the first of them to the latest one.
    pub elapsed: std_time::Duration,
}

impl StreamProgress {
    /// Returns the expected time to the end of the stream at its own pace so far, or
    /// `None` before the pace is known.
    pub fn time_left(&self) -> Option<std_time::Duration> {
        let intervals = self.events.checked_sub(1).filter(|count| *count > 0)?;
        let tokens = self.tokens as f64;
        let expected = self.expected_tokens.max(tokens * (1.0 + OVERRUN_FRACTION));
        let tokens_left = (expected.min(self.token_limit) - tokens).max(0.0);
        let events_left = tokens_left * self.events as f64 / tokens;
        Some(self.elapsed.mul_f64(events_left / intervals as f64))
    }
}

/// Returns when a stream decides whether it stays on a runner that leaves since
/// `leaving_since` and serves for `drain` from then on. `spread`, from 0 to 1, is the
/// place of the stream among the others.
pub fn leave_check_at(
    leaving_since: time::Instant,
    drain: std_time::Duration,
    spread: f64,
) -> time::Instant {
    leaving_since + drain.mul_f64(LEAVE_FRACTION + LEAVE_SPREAD * spread)
}

/// Returns the time from one such decision to the next.
pub fn leave_check_period(drain: std_time::Duration) -> std_time::Duration {
    drain.mul_f64(LEAVE_SPREAD)
}

/// Returns whether a stream is expected to outlive a runner that leaves for
/// `leaving_for` already.
pub fn outlives(
    progress: &StreamProgress,
    leaving_for: std_time::Duration,
    drain: std_time::Duration,
) -> bool {
    let served_for = drain.saturating_sub(leaving_for);
    progress.time_left().is_some_and(|left| left > served_for)
}
