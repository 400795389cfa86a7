//! Handling of failed attempts: attribution to upstreams, retry delays and stall
//! detection.

use std::time as std_time;

use derive_more::Display;
use rand::RngExt;
use tokio::time;

use crate::id;
use crate::route;
use crate::stream;
use crate::upstream;

/// Number of failed attempts without a new token after which a completion fails.
const FAILURE_LIMIT: u32 = 6;

/// Number of refusals of a stale route without a new token after which a completion
/// fails.
const REFUSAL_LIMIT: u32 = 32;

/// Delay before the second retry without a new token; it doubles for each further
/// one.
const INITIAL_BACKOFF: std_time::Duration = std_time::Duration::from_millis(10);

/// Maximum delay before a retry.
const MAX_BACKOFF: std_time::Duration = std_time::Duration::from_millis(200);

/// Time between two checks of a silent attempt, which is also the silence after
/// which an upstream that is known to be down ends it.
const CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Factor on the allowed silence of a route as long as all of its upstreams make
/// progress on other attempts.
const PROGRESS_TIMEOUT_FACTOR: u32 = 3;

/// Maximum number of times that failures in a row double the timeout for the first
/// token.
const TIMEOUT_DOUBLINGS: u32 = 3;

/// Why an attempt ended before its answer was complete.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The first stage refused the request because the route is stale; nothing ran.
    #[display("the first stage refused the request")]
    Refused,
    /// The first stage returned another error status; it cannot take work now.
    #[display("the first stage returned status {status}")]
    ErrorStatus {
        /// HTTP status.
        status: u16,
    },
    /// The request did not reach the first stage.
    #[display("the request was not sent: {reason}")]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The first stage did not respond in time.
    #[display("the first stage did not respond in time")]
    NoResponse,
    /// The connection to the first stage was lost.
    #[display("the connection to the first stage was lost: {reason}")]
    ConnectionLost {
        /// Cause.
        reason: String,
    },
    /// An engine reported which stage failed.
    #[display("stage {hop} failed, refused: {refused}")]
    StageFailed {
        /// Position in the route.
        hop: usize,
        /// Whether the stage refused before it ran anything.
        refused: bool,
        /// Whether no connection to the stage was made, so that it ran nothing.
        unreached: bool,
    },
    /// No token arrived in time.
    #[display("the route stalled")]
    Stalled,
    /// The stream ended before the answer was complete.
    #[display("the stream ended early")]
    EndedEarly,
    /// A token was rejected, and no later token of the stream can be valid.
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
    /// When its last token arrived, if any did.
    pub last_token: Option<time::Instant>,
}

/// Stage that a failed attempt is attributed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureAttribution {
    /// Position of the stage in the route, or `None` if no single stage is known to
    /// be at fault.
    pub hop: Option<usize>,
    /// Whether the stage's upstream is assumed to have crashed while the attempt may
    /// have been running on it.
    pub crashed: bool,
}

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry after this delay without asking the retry gate, because nothing ran.
    FreeRetry(std_time::Duration),
    /// Retry after this delay if the retry gate allows it.
    Retry(std_time::Duration),
    /// Fail the completion for this reason.
    GiveUp(&'static str),
}

/// Retry policy of one completion, based on its failures since the last token.
#[derive(Clone, Debug, Default)]
pub struct AttemptPolicy {
    avoid: Vec<id::UpstreamName>,
    failures: u32,
    refusals: u32,
}

impl AttemptPolicy {
    /// Returns the upstreams to avoid, because recent attempts failed on them.
    pub fn avoid(&self) -> &[id::UpstreamName] {
        &self.avoid
    }

    /// Adds upstreams that the next attempts should avoid.
    pub fn add_avoided(&mut self, names: Vec<id::UpstreamName>) {
        self.avoid.extend(names);
    }

    /// Returns the factor on the timeout for the first token, which doubles with each
    /// failure in a row.
    pub fn timeout_factor(&self) -> u32 {
        1 << self.failures.min(TIMEOUT_DOUBLINGS)
    }

    /// Records that a token was delivered.
    pub fn note_token(&mut self) {
        self.failures = 0;
        self.refusals = 0;
    }

    /// Attributes a failed attempt to upstreams of its route.
    ///
    /// The routing table records their failure, and the next attempts avoid them.
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
                    // Every upstream made recent progress, so a link between two
                    // stages may have failed.
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

    /// Returns the next step after a failure.
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

/// Returns the delay before the next attempt after failures in a row.
///
/// The first retry is immediate. Later delays grow exponentially and are reduced by
/// a random part of up to one half.
fn backoff(failures: u32, rng: &mut impl rand::Rng) -> std_time::Duration {
    let Some(doublings) = failures.checked_sub(2) else {
        return std_time::Duration::ZERO;
    };
    let delay = (INITIAL_BACKOFF * (1 << doublings.min(8))).min(MAX_BACKOFF);
    delay.mul_f64(rng.random_range(0.5..1.0))
}

/// Detects that an attempt has stalled.
///
/// The next token must arrive within a timeout. The attempt ends earlier if an
/// upstream of its route is known to be down. It may wait longer while every
/// upstream of its route makes progress on other attempts, since these upstreams
/// are slow but have not failed.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    silent_since: time::Instant,
    limit: std_time::Duration,
    next_check: time::Instant,
}

impl StallDetector {
    /// Creates the detector of an attempt whose first token must arrive within `limit`.
    pub fn new(now: time::Instant, limit: std_time::Duration) -> Self {
        Self {
            silent_since: now,
            limit,
            next_check: now + CHECK_PERIOD.min(limit),
        }
    }

    /// Records the arrival of a token.
    pub fn note_token(&mut self, estimator: &stream::GapEstimator, now: time::Instant) {
        self.silent_since = now;
        self.limit = estimator.stall_timeout();
        self.next_check = now + estimator.expected_gap().clamp(CHECK_PERIOD, self.limit);
    }

    /// Returns when [`Self::has_stalled`] must be called next, if no token arrives.
    pub fn next_check(&self) -> time::Instant {
        self.next_check
    }

    /// Returns whether an attempt that is still silent has stalled.
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
