//! The state of one answer: which token comes next and what proves it.

use derive_more::{Display, Error};

use crate::id;
use crate::upstream;

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

/// The state of one answer over all its attempts.
#[derive(Clone, Debug)]
pub struct AnswerState {
    request: id::RequestId,
    attempt: id::AttemptNumber,
    layers: id::LayerIndex,
    route: Vec<upstream::RouteStage>,
    delivered: Vec<String>,
}

impl AnswerState {
    /// Creates the state of an answer by a model of `layers` layers.
    pub fn new(request: id::RequestId, layers: id::LayerIndex) -> Self {
        Self {
            request,
            attempt: 0,
            layers,
            route: Vec::new(),
            delivered: Vec::new(),
        }
    }

    /// Begins the next attempt on `route` and returns its number.
    pub fn begin(&mut self, route: Vec<upstream::RouteStage>) -> id::AttemptNumber {
        self.attempt += 1;
        self.route = route;
        self.attempt
    }

    /// Returns the tokens that were delivered.
    pub fn delivered(&self) -> &[String] {
        &self.delivered
    }

    /// Returns the number of the current attempt, 0 before the first.
    pub fn attempt(&self) -> id::AttemptNumber {
        self.attempt
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
    pub fn accept(&mut self, token: &upstream::StageToken) -> Result<(), ProofError> {
        if token.request != self.request {
            return Err(ProofError::Crossed {
                found: token.request.clone(),
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
        self.delivered.push(token.text.clone());
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
