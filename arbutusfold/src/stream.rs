//! Validates the tokens of an answer and derives timeouts from the gaps between them.

use std::time as std_time;

use derive_more::{Display, Error};
use tokio::time;

use crate::id;
use crate::upstream;

/// Minimum silence between two tokens that counts as a stall.
const MIN_STALL_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(200);

/// Silence between two tokens that always counts as a stall.
const MAX_STALL_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);

/// Minimum silence before the first token that counts as a stall, without the
/// allowance for the prefill.
const MIN_FIRST_TOKEN_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);

/// Silence before the first token that always counts as a stall, without the
/// allowance for the prefill.
const MAX_FIRST_TOKEN_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(4);

/// Time allowed for the prefill of one token on all stages together.
const PREFILL_ALLOWANCE: std_time::Duration = std_time::Duration::from_micros(200);

/// The stall timeout is at least this multiple of the attempt's average gap and of
/// the route's recent gap.
const STALL_GAP_FACTOR: f64 = 4.0;

/// The next token is expected within this multiple of the larger of these gaps.
const EXPECTED_GAP_FACTOR: f64 = 2.0;

/// The first token must arrive within this multiple of the route's recent gap,
/// subject to the minimum and maximum and the allowance for the prefill.
const FIRST_TOKEN_GAP_FACTOR: f64 = 16.0;

/// The stall timeout exceeds the average gap by at least this multiple of the
/// gap's mean deviation.
const STALL_DEVIATION_FACTOR: f64 = 8.0;

/// Weight of the newest gap in the moving averages.
const GAP_WEIGHT: f64 = 0.125;

/// Why a token was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The token belongs to another request.
    #[display("token belongs to request {found}")]
    WrongRequest {
        /// Request id in the token.
        found: String,
    },
    /// The token belongs to an earlier attempt that was abandoned.
    #[display("token belongs to attempt {found}")]
    StaleAttempt {
        /// Attempt number in the token.
        found: id::AttemptNumber,
    },
    /// The token is not the next one of the answer.
    #[display("token has index {found}, expected {expected}")]
    WrongIndex {
        /// Index in the token.
        found: id::TokenIndex,
        /// Index of the next token.
        expected: id::TokenIndex,
    },
    /// The stamps in the proof do not match the route or do not cover every layer
    /// once, in order.
    #[display("proof does not match the route")]
    InvalidProof,
}

impl TokenError {
    /// Returns whether no later token of the stream can be the expected one.
    pub fn breaks_stream(&self) -> bool {
        match self {
            TokenError::WrongRequest { .. } | TokenError::StaleAttempt { .. } => false,
            TokenError::WrongIndex { found, expected } => found > expected,
            TokenError::InvalidProof => true,
        }
    }
}

/// Texts of the delivered tokens, concatenated.
#[derive(Clone, Debug, Default)]
pub struct DeliveredText {
    text: String,
    /// End offset of each token's text.
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

    /// Returns whether there is no token.
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

/// State of one answer over all its attempts.
#[derive(Clone, Debug)]
pub struct AnswerState {
    request: id::RequestId,
    attempt: id::AttemptNumber,
    layers: id::LayerIndex,
    route: Vec<upstream::RouteStage>,
    delivered: DeliveredText,
}

impl AnswerState {
    /// Creates the state of an answer from a model with `layers` layers.
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

    /// Returns the request id that engines see.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns the delivered tokens.
    pub fn delivered(&self) -> &DeliveredText {
        &self.delivered
    }

    /// Returns the number of the current attempt, or 0 before the first.
    pub fn attempt(&self) -> id::AttemptNumber {
        self.attempt
    }

    /// Returns whether a message belongs to the current attempt.
    pub fn is_current(&self, request: &str, attempt: id::AttemptNumber) -> bool {
        request == self.request && attempt == self.attempt
    }

    /// Returns the route of the current attempt.
    pub fn route(&self) -> &[upstream::RouteStage] {
        &self.route
    }

    /// Accepts the next token if its proof shows that it passed every layer once, in
    /// order.
    ///
    /// # Errors
    ///
    /// [`TokenError`] if the token must not reach the caller.
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

/// Returns whether stamps match the route and cover every layer once, in order.
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

/// Estimates the gap between the tokens of an attempt and derives timeouts from it.
///
/// It keeps moving averages of the gap and of its absolute deviation.
#[derive(Clone, Copy, Debug)]
pub struct GapEstimator {
    recent: Option<std_time::Duration>,
    mean: Option<f64>,
    deviation: f64,
    last: Option<time::Instant>,
}

impl GapEstimator {
    /// Creates an estimator for a route whose recent average gap is `recent`.
    pub fn new(recent: Option<std_time::Duration>) -> Self {
        Self {
            recent,
            mean: None,
            deviation: 0.0,
            last: None,
        }
    }

    /// Records the arrival of a token.
    pub fn note(&mut self, now: time::Instant) {
        if let Some(last) = self.last {
            let gap = now.duration_since(last).as_secs_f64();
            let mean = self.mean.unwrap_or(gap);
            self.deviation += GAP_WEIGHT * ((gap - mean).abs() - self.deviation);
            self.mean = Some(mean + GAP_WEIGHT * (gap - mean));
        }
        self.last = Some(now);
    }

    /// Returns when the last token arrived.
    pub fn last(&self) -> Option<time::Instant> {
        self.last
    }

    /// Returns the average gap, or `None` before the second token.
    pub fn average(&self) -> Option<std_time::Duration> {
        self.mean.map(std_time::Duration::from_secs_f64)
    }

    /// Returns the time within which the next token is expected.
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

    /// Returns the silence before the first token that counts as a stall, if
    /// `prefill_tokens` must be processed before it.
    pub fn first_token_timeout(&self, prefill_tokens: usize) -> std_time::Duration {
        let recent = self
            .recent
            .unwrap_or_default()
            .mul_f64(FIRST_TOKEN_GAP_FACTOR);
        let prefill = PREFILL_ALLOWANCE * u32::try_from(prefill_tokens).unwrap_or(u32::MAX);
        recent.clamp(MIN_FIRST_TOKEN_TIMEOUT, MAX_FIRST_TOKEN_TIMEOUT) + prefill
    }
}
