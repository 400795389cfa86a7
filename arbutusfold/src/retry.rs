//! Retries: proof or permission to run again, budgets, and time left.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Retries earned by one successful request, in thousandths.
const EARNED_MILLI: u64 = 100;

/// Retries that an organisation may have saved at one node, in thousandths.
const ORGANISATION_SAVED_MILLI: u64 = 10_000;

/// Retries that a node may have saved, in thousandths.
const NODE_SAVED_MILLI: u64 = 30_000;

/// Retries granted to each request as it comes, in thousandths.
const GRANTED_MILLI: u64 = 50;

/// One retry in thousandths.
const RETRY_MILLI: u64 = 1_000;

/// Organisations whose budgets are remembered.
const REMEMBERED_ORGANISATIONS: usize = 16_384;

/// What is known of an attempt that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Whether it is proved that nothing ran.
    pub not_run: bool,
    /// Whether the request may run again after it ran.
    pub idempotent: bool,
    /// Whether the attempt delivered part of the answer.
    pub progress: bool,
    /// Time by which the answer must be complete.
    pub deadline: time::Instant,
    /// Least time that another attempt needs.
    pub needed: std_time::Duration,
}

/// Whether an attempt may follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// It may, and was paid for.
    Again,
    /// It may have run and must not run twice.
    NotIdempotent,
    /// The budget of the organisation or of the node is spent.
    BudgetSpent,
    /// Too little time is left.
    DeadlineNear,
}

/// The budgets of one node.
#[derive(Debug)]
pub struct RetryBudget {
    node_milli: u64,
    organisations: Vec<(id::OrganisationName, u64)>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            node_milli: NODE_SAVED_MILLI,
            organisations: Vec::new(),
        }
    }
}

impl RetryBudget {
    /// Notes a new request.
    pub fn note_request(&mut self, organisation: &str) {
        self.earn(organisation, GRANTED_MILLI);
    }

    /// Notes a request that was answered completely.
    pub fn note_success(&mut self, organisation: &str) {
        self.earn(organisation, EARNED_MILLI);
    }

    /// Decides whether another attempt may follow, and pays for it.
    ///
    /// An attempt that could not be sent costs as much as one that ran.
    pub fn decide(
        &mut self,
        organisation: &str,
        end: AttemptEnd,
        now: time::Instant,
    ) -> RetryVerdict {
        if !end.not_run && !end.idempotent {
            return RetryVerdict::NotIdempotent;
        }
        if end.deadline.saturating_duration_since(now) <= end.needed {
            return RetryVerdict::DeadlineNear;
        }
        if end.progress {
            // An upstream that delivered was no part of an outage, and every
            // such retry brings the answer nearer to its end.
            return RetryVerdict::Again;
        }
        let place = self.place(organisation);
        let saved = &mut self.organisations[place].1;
        if *saved < RETRY_MILLI || self.node_milli < RETRY_MILLI {
            return RetryVerdict::BudgetSpent;
        }
        *saved -= RETRY_MILLI;
        self.node_milli -= RETRY_MILLI;
        RetryVerdict::Again
    }

    fn earn(&mut self, organisation: &str, milli: u64) {
        let place = self.place(organisation);
        let saved = &mut self.organisations[place].1;
        *saved = (*saved + milli).min(ORGANISATION_SAVED_MILLI);
        self.node_milli = (self.node_milli + milli).min(NODE_SAVED_MILLI);
    }

    fn place(&mut self, organisation: &str) -> usize {
        let found = self
            .organisations
            .binary_search_by(|(name, _)| name.as_str().cmp(organisation));
        match found {
            Ok(place) => place,
            Err(_) if self.organisations.len() >= REMEMBERED_ORGANISATIONS => {
                self.organisations.clear();
                self.place(organisation)
            }
            Err(place) => {
                let fresh = (organisation.to_owned(), ORGANISATION_SAVED_MILLI);
                self.organisations.insert(place, fresh);
                place
            }
        }
    }
}
