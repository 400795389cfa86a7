//! The state of one answer: which token comes next, what proves it, when it stalls.

use std::time as std_time;

use derive_more::{Display, Error};
use tokio::time;

use crate::id;
use crate::upstream;

/// Shortest silence between tokens that counts as a stall.
const MIN_STALL_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(200);

/// Silence between tokens that always counts as a stall.
const MAX_STALL_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);

/// Shortest silence before the first token that counts as a stall.
const MIN_FIRST_TOKEN_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);

/// Silence before the first token that counts as a stall, besides the prefill.
const MAX_FIRST_TOKEN_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(4);

/// Time allowed for the prefill of one token over all stages.
const PREFILL_ALLOWANCE: std_time::Duration = std_time::Duration::from_micros(200);

/// Gaps within which the next token must come.
const STALL_GAP_FACTOR: f64 = 4.0;

/// Gaps within which the next token usually comes.
const EXPECTED_GAP_FACTOR: f64 = 2.0;

/// Gaps within which the first token must come.
const FIRST_TOKEN_GAP_FACTOR: f64 = 16.0;

/// Mean deviations that are allowed above the average gap.
const STALL_DEVIATION_FACTOR: f64 = 8.0;

/// Weight of the newest gap in the averages.
const GAP_WEIGHT: f64 = 0.125;

/// Why a token was not delivered.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The token belongs to another request.
    #[display("token of request {found}")]
    WrongRequest {
        /// Request that the token named.
        found: String,
    },
    /// The token belongs to an attempt that was given up.
    #[display("token of attempt {found}")]
    StaleAttempt {
        /// Attempt that the token named.
        found: id::AttemptNumber,
    },
    /// The token is not the next one.
    #[display("token {found} where {expected} is next")]
    WrongIndex {
        /// Index that the token named.
        found: id::TokenIndex,
        /// Index that comes next.
        expected: id::TokenIndex,
    },
    /// The stamps are not those of the route.
    #[display("stamps do not follow the route")]
    InvalidProof,
}

impl TokenError {
    /// Tells whether no later token of the stream can be the next one.
    pub fn breaks_stream(&self) -> bool {
        match self {
            TokenError::WrongRequest { .. } | TokenError::StaleAttempt { .. } => false,
            TokenError::WrongIndex { found, expected } => found > expected,
            TokenError::InvalidProof => true,
        }
    }
}

/// The texts of delivered tokens, kept as one.
#[derive(Clone, Debug, Default)]
pub struct DeliveredText {
    text: String,
    /// Where each token's text ends.
    ends: Vec<usize>,
}

impl DeliveredText {
    fn push(&mut self, text: &str) {
        self.text.push_str(text);
        self.ends.push(self.text.len());
    }

    /// Returns the number of tokens.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Tells whether there is no token.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the text of each token.
    pub fn to_vec(&self) -> Vec<String> {
        let starts = std::iter::once(&0).chain(&self.ends);
        starts
            .zip(&self.ends)
            .map(|(start, end)| self.text[*start..*end].to_owned())
            .collect()
    }
}

/// The state of one answer over all its attempts.
#[derive(Clone, Debug)]
pub struct AnswerState {
    request: id::RequestId,
    attempt: id::AttemptNumber,
    layers: id::LayerIndex,
    route: Vec<upstream::RouteStage>,
    delivered: DeliveredText,
}

impl AnswerState {
    /// Creates the state of an answer by a model of `layers` layers.
    pub fn new(request: id::RequestId, layers: id::LayerIndex) -> Self {
        Self {
            request,
            attempt: 0,
            layers,
            route: Vec::new(),
            delivered: DeliveredText::default(),
        }
    }

    /// Begins the next attempt on `route` and returns its number.
    pub fn begin(&mut self, route: Vec<upstream::RouteStage>) -> id::AttemptNumber {
        self.attempt += 1;
        self.route = route;
        self.attempt
    }

    /// Returns the request that is answered.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns the tokens that were delivered.
    pub fn delivered(&self) -> &DeliveredText {
        &self.delivered
    }

    /// Returns the number of the current attempt, 0 before the first.
    pub fn attempt(&self) -> id::AttemptNumber {
        self.attempt
    }

    /// Tells whether a message belongs to the current attempt.
    pub fn is_current(&self, request: &str, attempt: id::AttemptNumber) -> bool {
        request == self.request && attempt == self.attempt
    }

    /// Returns the route of the current attempt.
    pub fn route(&self) -> &[upstream::RouteStage] {
        &self.route
    }

    /// Takes a token whose proof shows every layer once, in order.
    ///
    /// # Errors
    ///
    /// [`TokenError`] tells why the token must not reach the caller.
    pub fn accept(&mut self, token: &upstream::TokenView<'_>) -> Result<(), TokenError> {
        if token.request != self.request {
            return Err(TokenError::WrongRequest {
                found: token.request.clone().into_owned(),
            });
        }
        if token.attempt != self.attempt {
            return Err(TokenError::StaleAttempt {
                found: token.attempt,
            });
        }
        let expected = self.delivered.len() as id::TokenIndex;
        if token.index != expected {
            return Err(TokenError::WrongIndex {
                found: token.index,
                expected,
            });
        }
        if !covers_once(&token.proof, &self.route, self.layers) {
            return Err(TokenError::InvalidProof);
        }
        self.delivered.push(&token.text);
        Ok(())
    }
}

/// Tells whether stamps follow the route and cover every layer once, in order.
fn covers_once(
    proof: &[upstream::StageStamp],
    route: &[upstream::RouteStage],
    layers: id::LayerIndex,
) -> bool {
    let mut next = 0;
    if proof.len() != route.len() {
        return false;
    }
    for (stamp, stage) in proof.iter().zip(route) {
        let matches = stamp.incarnation == stage.incarnation && stamp.layers == stage.layers;
        if !matches || stamp.layers.from != next || stamp.layers.to <= next {
            return false;
        }
        next = stamp.layers.to;
    }
    next == layers
}

/// Judges how long a route may be silent, by the gaps between its tokens.
#[derive(Clone, Copy, Debug)]
pub struct GapEstimator {
    recent: Option<std_time::Duration>,
    mean: Option<f64>,
    deviation: f64,
    last: Option<time::Instant>,
}

impl GapEstimator {
    /// Creates a meter for a route that had this gap of late.
    pub fn new(recent: Option<std_time::Duration>) -> Self {
        Self {
            recent,
            mean: None,
            deviation: 0.0,
            last: None,
        }
    }

    /// Notes that a token came.
    pub fn note(&mut self, now: time::Instant) {
        if let Some(last) = self.last {
            let gap = now.duration_since(last).as_secs_f64();
            let mean = self.mean.unwrap_or(gap);
            self.deviation += GAP_WEIGHT * ((gap - mean).abs() - self.deviation);
            self.mean = Some(mean + GAP_WEIGHT * (gap - mean));
        }
        self.last = Some(now);
    }

    /// Returns when the last token came.
    pub fn last(&self) -> Option<time::Instant> {
        self.last
    }

    /// Returns the average gap, once there were two tokens.
    pub fn average(&self) -> Option<std_time::Duration> {
        self.mean.map(std_time::Duration::from_secs_f64)
    }

    /// Returns the silence after a token that is nothing unusual.
    pub fn expected_gap(&self) -> std_time::Duration {
        let mean = self.mean.map(std_time::Duration::from_secs_f64);
        mean.max(self.recent)
            .unwrap_or_default()
            .mul_f64(EXPECTED_GAP_FACTOR)
    }

    /// Returns the silence after a token that counts as a stall.
    pub fn stall_timeout(&self) -> std_time::Duration {
        let recent = self.recent.map_or(0.0, |gap| gap.as_secs_f64());
        let mean = self.mean.unwrap_or(0.0);
        let bound = mean + STALL_DEVIATION_FACTOR * self.deviation;
        let timeout = bound.max(STALL_GAP_FACTOR * mean.max(recent));
        std_time::Duration::from_secs_f64(timeout).clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT)
    }

    /// Returns the silence before the first token that counts as a stall,
    /// where `prefill_tokens` must be computed before it.
    pub fn first_token_timeout(&self, prefill_tokens: usize) -> std_time::Duration {
        let recent = self
            .recent
            .unwrap_or_default()
            .mul_f64(FIRST_TOKEN_GAP_FACTOR);
        let prefill = PREFILL_ALLOWANCE * u32::try_from(prefill_tokens).unwrap_or(u32::MAX);
        recent.clamp(MIN_FIRST_TOKEN_TIMEOUT, MAX_FIRST_TOKEN_TIMEOUT) + prefill
    }
}
