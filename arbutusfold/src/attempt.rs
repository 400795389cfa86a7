//! What follows when an attempt fails: who is blamed, and when the next begins.

use std::time as std_time;

use derive_more::Display;
use rand::RngExt;
use tokio::time;

use crate::id;
use crate::route;
use crate::stream;
use crate::upstream;

/// Failed attempts without a new token after which an answer is given up.
const FAILURE_LIMIT: u32 = 6;

/// Refusals of stale stages in a row after which an answer is given up.
const REFUSAL_LIMIT: u32 = 32;

/// Pause before the second attempt without a new token; it doubles from there.
const INITIAL_BACKOFF: std_time::Duration = std_time::Duration::from_millis(10);

/// Longest pause between two attempts.
const MAX_BACKOFF: std_time::Duration = std_time::Duration::from_millis(200);

/// Silence from which an upstream that is known to be down ends an attempt.
const CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// How many times longer a route may be silent whose upstreams pass other tokens.
const PROGRESS_TIMEOUT_FACTOR: u32 = 3;

/// Doublings of the allowed silence after failures in a row.
const TIMEOUT_DOUBLINGS: u32 = 3;

/// Why an attempt ended before its answer was complete.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The first stage refused before anything ran.
    #[display("the first stage refused")]
    Refused,
    /// The first stage cannot take work now.
    #[display("the first stage answered {status}")]
    ErrorStatus {
        /// HTTP status.
        status: u16,
    },
    /// The first stage was not reached.
    #[display("{reason}")]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The first stage did not answer in time.
    #[display("the first stage did not answer")]
    NoResponse,
    /// The connection to the first stage broke.
    #[display("{reason}")]
    ConnectionLost {
        /// Cause.
        reason: String,
    },
    /// An engine said which stage broke.
    #[display("stage {hop} broke, refused: {refused}")]
    StageFailed {
        /// Position in the route.
        hop: usize,
        /// Whether it refused before it ran anything.
        refused: bool,
        /// Whether no connection to it was made, so that it ran nothing.
        unreached: bool,
    },
    /// No token came in time.
    #[display("the route stalled")]
    Stalled,
    /// The stream ended before the answer did.
    #[display("the stream ended early")]
    EndedEarly,
    /// A token had no proof of its passage.
    #[display("{_0}")]
    InvalidToken(stream::TokenError),
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Stages of the attempt.
    pub route: &'a [upstream::RouteStage],
    /// Why it failed.
    pub failure: &'a AttemptFailure,
    /// When its last token came.
    pub last_token: Option<time::Instant>,
}

/// Who is to blame for a failed attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureAttribution {
    /// Position of the stage in the route, where it is known.
    pub hop: Option<usize>,
    /// Whether that stage's upstream died while the attempt may have run there.
    pub crashed: bool,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt, which needs no leave, because nothing ran.
    FreeRetry(std_time::Duration),
    /// Another attempt after a pause, if it is allowed.
    Retry(std_time::Duration),
    /// The answer is given up.
    GiveUp(&'static str),
}

/// Failures of one answer since its last token.
#[derive(Clone, Debug, Default)]
pub struct AttemptPolicy {
    avoid: Vec<id::UpstreamName>,
    failures: u32,
    refusals: u32,
}

impl AttemptPolicy {
    /// Returns the upstreams that failed this answer of late.
    pub fn avoid(&self) -> &[id::UpstreamName] {
        &self.avoid
    }

    /// Adds upstreams that the next attempts must not use.
    pub fn add_avoided(&mut self, names: Vec<id::UpstreamName>) {
        self.avoid.extend(names);
    }

    /// Returns how many times longer than usual a route may be silent.
    pub fn timeout_factor(&self) -> u32 {
        1 << self.failures.min(TIMEOUT_DOUBLINGS)
    }

    /// Notes that a token was delivered.
    pub fn note_token(&mut self) {
        self.failures = 0;
        self.refusals = 0;
    }

    /// Lays the blame for a failed attempt.
    pub fn attribute(
        &mut self,
        failed: &FailedAttempt<'_>,
        table: &mut route::RouteTable,
        now: time::Instant,
    ) -> FailureAttribution {
        if failed.last_token.is_some() {
            self.avoid.clear();
        }
        let (hop, crashed) = match failed.failure {
            AttemptFailure::Refused => return self.attribute_refusal(failed, 0, table, now),
            AttemptFailure::StageFailed {
                hop, refused: true, ..
            } => {
                return self.attribute_refusal(failed, *hop, table, now);
            }
            AttemptFailure::ErrorStatus { .. }
            | AttemptFailure::NotSent { .. }
            | AttemptFailure::NoResponse => (0, false),
            AttemptFailure::ConnectionLost { .. } => (0, true),
            AttemptFailure::StageFailed { hop, unreached, .. } => (*hop, !unreached),
            AttemptFailure::Stalled
            | AttemptFailure::EndedEarly
            | AttemptFailure::InvalidToken(_) => {
                let stalled = table.note_route_failure(failed.route, now);
                let names = failed.route.iter().map(|stage| stage.upstream.clone());
                match stalled.is_empty() {
                    // A link between stages that work otherwise.
                    true => self.avoid.extend(names),
                    false => self.avoid.extend(stalled),
                }
                return FailureAttribution::default();
            }
        };
        let Some(stage) = failed.route.get(hop) else {
            return FailureAttribution::default();
        };
        table.note_failure(&stage.upstream, now);
        self.avoid.push(stage.upstream.clone());
        FailureAttribution {
            hop: Some(hop),
            crashed,
        }
    }

    fn attribute_refusal(
        &mut self,
        failed: &FailedAttempt<'_>,
        hop: usize,
        table: &mut route::RouteTable,
        now: time::Instant,
    ) -> FailureAttribution {
        let Some(stage) = failed.route.get(hop) else {
            return FailureAttribution::default();
        };
        table.note_refusal(&stage.upstream, now);
        self.avoid.push(stage.upstream.clone());
        FailureAttribution {
            hop: Some(hop),
            crashed: false,
        }
    }

    /// Returns what follows a failure.
    pub fn next_step(&mut self, failure: &AttemptFailure, rng: &mut impl rand::Rng) -> NextStep {
        if *failure == AttemptFailure::Refused {
            self.refusals += 1;
            return match self.refusals >= REFUSAL_LIMIT {
                true => NextStep::GiveUp("every route was stale"),
                false => NextStep::FreeRetry(backoff(self.refusals, rng)),
            };
        }
        self.failures += 1;
        match self.failures >= FAILURE_LIMIT {
            true => NextStep::GiveUp("every attempt failed"),
            false => NextStep::Retry(backoff(self.failures, rng)),
        }
    }
}

/// Returns the pause after failures in a row; the first is answered at once.
fn backoff(failures: u32, rng: &mut impl rand::Rng) -> std_time::Duration {
    let Some(doublings) = failures.checked_sub(2) else {
        return std_time::Duration::ZERO;
    };
    let delay = (INITIAL_BACKOFF * (1 << doublings.min(8))).min(MAX_BACKOFF);
    delay.mul_f64(rng.random_range(0.5..1.0))
}

/// Judges the silence of one attempt.
///
/// The next token must come by a time. An attempt ends before it when an
/// upstream of its route is known to be down, and may wait longer while every
/// upstream of its route passes other tokens: those are slow, not dead.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    silent_since: time::Instant,
    limit: std_time::Duration,
    next_check: time::Instant,
}

impl StallDetector {
    /// Creates the watch of an attempt that must give its first token within `limit`.
    pub fn new(now: time::Instant, limit: std_time::Duration) -> Self {
        Self {
            silent_since: now,
            limit,
            next_check: now + CHECK_PERIOD.min(limit),
        }
    }

    /// Notes that a token came.
    pub fn note_token(&mut self, estimator: &stream::GapEstimator, now: time::Instant) {
        self.silent_since = now;
        self.limit = estimator.stall_timeout();
        self.next_check = now + estimator.expected_gap().clamp(CHECK_PERIOD, self.limit);
    }

    /// Returns when the silence must be judged next.
    pub fn next_check(&self) -> time::Instant {
        self.next_check
    }

    /// Tells whether an attempt that is still silent has stalled.
    pub fn has_stalled(
        &mut self,
        route: &[upstream::RouteStage],
        table: &route::RouteTable,
        now: time::Instant,
    ) -> bool {
        let silence = now.duration_since(self.silent_since);
        if silence >= self.limit * PROGRESS_TIMEOUT_FACTOR {
            return true;
        }
        if silence >= self.limit && !table.is_progressing(route, now) {
            return true;
        }
        let left = self.limit.saturating_sub(silence);
        self.next_check = now
            + match left.is_zero() {
                true => CHECK_PERIOD,
                false => left.min(CHECK_PERIOD),
            };
        table.is_down(route, now)
    }
}
