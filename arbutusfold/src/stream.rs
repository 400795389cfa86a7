//! The state of one answer: which token comes next, what proves it, when it stalls.

use std::time as std_time;

use derive_more::{Display, Error};
use tokio::time;

use crate::id;
use crate::upstream;

/// Shortest silence between tokens that counts as a stall.
const STALL_FLOOR: std_time::Duration = std_time::Duration::from_millis(200);

/// Silence between tokens that always counts as a stall.
const STALL_CEILING: std_time::Duration = std_time::Duration::from_secs(2);

/// Shortest silence before the first token that counts as a stall.
const FIRST_FLOOR: std_time::Duration = std_time::Duration::from_millis(400);

/// Silence before the first token that counts as a stall, besides the prefill.
const FIRST_CEILING: std_time::Duration = std_time::Duration::from_secs(4);

/// Time allowed for the prefill of one token over all stages.
const PREFILL_ALLOWANCE: std_time::Duration = std_time::Duration::from_micros(200);

/// Gaps within which the next token must come.
const GAP_MULTIPLE: f64 = 4.0;

/// Gaps within which the next token usually comes.
const USUAL_MULTIPLE: f64 = 2.0;

/// Gaps within which the first token must come.
const FIRST_MULTIPLE: f64 = 16.0;

/// Mean deviations that are allowed above the average gap.
const DEVIATION_MULTIPLE: f64 = 8.0;

/// Weight of the newest gap in the averages.
const GAP_WEIGHT: f64 = 0.125;

/// Why a token was not delivered.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ProofError {
    /// The token belongs to another request.
    #[display("token of request {found}")]
    Crossed {
        /// Request that the token named.
        found: String,
    },
    /// The token belongs to an attempt that was given up.
    #[display("token of attempt {found}")]
    Late {
        /// Attempt that the token named.
        found: id::AttemptNumber,
    },
    /// The token is not the next one.
    #[display("token {found} where {expected} is next")]
    Index {
        /// Index that the token named.
        found: id::TokenIndex,
        /// Index that comes next.
        expected: id::TokenIndex,
    },
    /// The stamps are not those of the route.
    #[display("stamps do not follow the route")]
    Passage,
}

impl ProofError {
    /// Tells whether no later token of the stream can be the next one.
    pub fn breaks_stream(&self) -> bool {
        match self {
            ProofError::Crossed { .. } | ProofError::Late { .. } => false,
            ProofError::Index { found, expected } => found > expected,
            ProofError::Passage => true,
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
    /// [`ProofError`] tells why the token must not reach the caller.
    pub fn accept(&mut self, token: &upstream::TokenView<'_>) -> Result<(), ProofError> {
        if token.request != self.request {
            return Err(ProofError::Crossed {
                found: token.request.clone().into_owned(),
            });
        }
        if token.attempt != self.attempt {
            return Err(ProofError::Late {
                found: token.attempt,
            });
        }
        let expected = self.delivered.len() as id::TokenIndex;
        if token.index != expected {
            return Err(ProofError::Index {
                found: token.index,
                expected,
            });
        }
        if !covers_once(&token.proof, &self.route, self.layers) {
            return Err(ProofError::Passage);
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
        let follows = stamp.incarnation == stage.incarnation && stamp.layers == stage.layers;
        if !follows || stamp.layers.from != next || stamp.layers.to <= next {
            return false;
        }
        next = stamp.layers.to;
    }
    next == layers
}

/// Judges how long a route may be silent, by the gaps between its tokens.
#[derive(Clone, Copy, Debug)]
pub struct GapMeter {
    recent: Option<std_time::Duration>,
    mean: Option<f64>,
    deviation: f64,
    last: Option<time::Instant>,
}

impl GapMeter {
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
    pub fn usual(&self) -> std_time::Duration {
        let mean = self.mean.map(std_time::Duration::from_secs_f64);
        mean.max(self.recent)
            .unwrap_or_default()
            .mul_f64(USUAL_MULTIPLE)
    }

    /// Returns the silence after a token that counts as a stall.
    pub fn limit(&self) -> std_time::Duration {
        let recent = self.recent.map_or(0.0, |gap| gap.as_secs_f64());
        let mean = self.mean.unwrap_or(0.0);
        let spread = mean + DEVIATION_MULTIPLE * self.deviation;
        let limit = spread.max(GAP_MULTIPLE * mean.max(recent));
        std_time::Duration::from_secs_f64(limit).clamp(STALL_FLOOR, STALL_CEILING)
    }

    /// Returns the silence before the first token that counts as a stall,
    /// where `prompt_tokens` must be computed before it.
    pub fn first_limit(&self, prompt_tokens: usize) -> std_time::Duration {
        let recent = self.recent.unwrap_or_default().mul_f64(FIRST_MULTIPLE);
        let prefill = PREFILL_ALLOWANCE * u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        recent.clamp(FIRST_FLOOR, FIRST_CEILING) + prefill
    }
}
