//! Retry policy: idempotency, retry budgets and deadlines.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Credit for a successful request, in thousandths of a retry.
const SUCCESS_CREDIT_MILLI: u64 = 100;

/// Maximum budget of an organisation at one node, in thousandths of a retry.
const ORGANISATION_BUDGET_MAX_MILLI: u64 = 10_000;

/// Maximum budget of a node, in thousandths of a retry.
const NODE_BUDGET_MAX_MILLI: u64 = 30_000;

/// Credit for each new request, in thousandths of a retry.
const REQUEST_CREDIT_MILLI: u64 = 50;

/// Cost of one retry in thousandths.
const RETRY_MILLI: u64 = 1_000;

/// Maximum number of organisations with a tracked budget.
const TRACKED_ORGANISATIONS_MAX: usize = 16_384;

/// State of a request after an attempt that ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Whether the attempt is proven not to have run.
    pub not_run: bool,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether the attempt delivered part of the answer.
    pub progress: bool,
    /// Time by which the answer must be complete.
    pub deadline: time::Instant,
    /// Minimum time that another attempt needs.
    pub needed: std_time::Duration,
}

/// Decision about another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryVerdict {
    /// Another attempt is allowed; any cost was deducted from the budget.
    Retry,
    /// The request may have run and is not idempotent.
    NotIdempotent,
    /// The budget of the organisation or of the node is used up.
    BudgetSpent,
    /// Too little time is left before the deadline.
    DeadlineNear,
}

/// Retry budgets of one node and of its organisations.
#[derive(Debug)]
pub struct RetryBudget {
    node_milli: u64,
    /// Budgets in thousandths, sorted by organisation.
    organisations: Vec<(id::OrganisationName, u64)>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            node_milli: NODE_BUDGET_MAX_MILLI,
            organisations: Vec::new(),
        }
    }
}

impl RetryBudget {
    /// Credits the budgets for a new request.
    pub fn note_request(&mut self, organisation: &str) {
        self.add_credit(organisation, REQUEST_CREDIT_MILLI);
    }

    /// Credits the budgets for a request that was answered completely.
    pub fn note_success(&mut self, organisation: &str) {
        self.add_credit(organisation, SUCCESS_CREDIT_MILLI);
    }

    /// Decides whether another attempt is allowed and deducts its cost.
    ///
    /// A retry costs the same whether the failed attempt ran or could not be sent.
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
            // Free of charge: an upstream that delivered tokens was not part of
            // an outage, and each such retry brings the answer closer to its end.
            return RetryVerdict::Retry;
        }
        let index = self.find_or_add(organisation);
        let balance = &mut self.organisations[index].1;
        if *balance < RETRY_MILLI || self.node_milli < RETRY_MILLI {
            return RetryVerdict::BudgetSpent;
        }
        *balance -= RETRY_MILLI;
        self.node_milli -= RETRY_MILLI;
        RetryVerdict::Retry
    }

    fn add_credit(&mut self, organisation: &str, milli: u64) {
        let index = self.find_or_add(organisation);
        let balance = &mut self.organisations[index].1;
        *balance = (*balance + milli).min(ORGANISATION_BUDGET_MAX_MILLI);
        self.node_milli = (self.node_milli + milli).min(NODE_BUDGET_MAX_MILLI);
    }

    fn find_or_add(&mut self, organisation: &str) -> usize {
        let found = self
            .organisations
            .binary_search_by(|(name, _)| name.as_str().cmp(organisation));
        match found {
            Ok(index) => index,
            Err(_) if self.organisations.len() >= TRACKED_ORGANISATIONS_MAX => {
                self.organisations.clear();
                self.find_or_add(organisation)
            }
            Err(index) => {
                let entry = (organisation.to_owned(), ORGANISATION_BUDGET_MAX_MILLI);
                self.organisations.insert(index, entry);
                index
            }
        }
    }
}
