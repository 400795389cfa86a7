//! Retry budgets: the share of the fleet's retries that one node may send, and what
//! nodes lend each other of it.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Number of buckets in a window; the oldest one expires as a whole.
const WINDOW_BUCKETS: u32 = 10;

/// Fraction of the budget that a node uses. The rest is a reserve, because the
/// windows of different nodes start at different times.
const USED_FRACTION: f64 = 0.9;

/// Time after a node asked for retries of another one within which it may send them.
pub const LOAN_TIME: std_time::Duration = std_time::Duration::from_secs(1);

/// Part of its unused retries that a node lends at a time; it may need the rest itself.
const LENT_FRACTION: f64 = 0.5;

/// Limit on the retries that the fleet may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetPolicy {
    /// Retries per request.
    pub share: f64,
    /// Retries beyond that share, for the whole fleet.
    pub extra: f64,
    /// Time window over which requests and retries are counted.
    pub window: std_time::Duration,
    /// Whether the settings name other nodes.
    pub has_peers: bool,
    /// Whether nodes lend each other retries.
    pub has_loans: bool,
}

/// Counts of one service in one part of the window.
#[derive(Clone, Copy, Debug)]
struct WindowBucket {
    start: time::Instant,
    requests: u32,
    retries: u32,
}

/// Retries that one node lent to another.
#[derive(Clone, Copy, Debug)]
struct RetryLoan {
    until: time::Instant,
    count: u32,
}

#[derive(Clone, Debug)]
struct ServiceBudget {
    service: id::ServiceName,
    buckets: Vec<WindowBucket>,
    /// Retries lent to other nodes; they count here as if this node had sent them.
    lent: Vec<RetryLoan>,
    /// Retries of other nodes that this one may send.
    borrowed: Vec<RetryLoan>,
    /// When this node may next ask others for retries.
    next_claim: Option<time::Instant>,
}

/// Retry budgets of one node, by service.
///
/// The extra retries are divided by the largest fleet size that the node has
/// seen, so the shares of all nodes stay within the limit while nodes are lost
/// or partitioned. A process that has just started does not know what its
/// predecessor sent, so it uses no extra retries for a whole window. Nor does one
/// that has met none of its peers: it may be cut off, and the others use theirs.
///
/// A node whose share is used up may borrow from another one. The lender counts what
/// it lends as sent, and for as long as the borrower may still send it and the window
/// after that. Whatever message is lost or late and whichever node restarts, all nodes
/// together therefore send no more than without loans.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: BudgetPolicy,
    started: time::Instant,
    nodes: usize,
    services: Vec<ServiceBudget>,
}

impl RetryBudget {
    /// Creates budgets without any recorded retries.
    pub fn new(policy: BudgetPolicy, started: time::Instant) -> Self {
        Self {
            policy,
            started,
            nodes: 1,
            services: Vec::new(),
        }
    }

    /// Records the size of the fleet; only the largest one counts.
    pub fn note_nodes(&mut self, nodes: usize) {
        self.nodes = self.nodes.max(nodes);
    }

    /// Counts a new request to a service.
    pub fn note_request(&mut self, service: &str, now: time::Instant) {
        self.current_bucket(service, now).requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn take(&mut self, service: &str, now: time::Instant) -> bool {
        if self.unused(service, now) < 1.0 {
            return false;
        }
        self.current_bucket(service, now).retries += 1;
        true
    }

    /// Lends another node up to `wanted` retries; returns how many.
    pub fn lend(&mut self, service: &str, wanted: u32, now: time::Instant) -> u32 {
        if !self.policy.has_loans {
            return 0;
        }
        let unused = self.unused(service, now);
        let spare = (LENT_FRACTION * unused).ceil().min(unused.floor());
        // The cast saturates, so a negative number becomes 0.
        let spare = spare as u32;
        let count = spare.min(wanted);
        if count > 0 {
            // The borrower may send them as late as this, and the last bucket of its
            // window is counted whole.
            let length = self.policy.window / WINDOW_BUCKETS;
            let until = now + LOAN_TIME + self.policy.window + length;
            let index = self.service_index(service);
            self.services[index].lent.push(RetryLoan { until, count });
        }
        count
    }

    /// Adds retries that another node lent when this one asked it at `asked_at`.
    pub fn borrow(&mut self, service: &str, count: u32, asked_at: time::Instant) {
        let until = asked_at + LOAN_TIME;
        let index = self.service_index(service);
        self.services[index]
            .borrowed
            .push(RetryLoan { until, count });
    }

    /// Takes one borrowed retry; returns until when it may be sent, or `None` if there is
    /// none. Its lender counts it as sent, so it goes back to this node only.
    pub fn take_borrowed(&mut self, service: &str, now: time::Instant) -> Option<time::Instant> {
        let index = self.service_index(service);
        let borrowed = &mut self.services[index].borrowed;
        borrowed.retain(|loan| loan.count > 0 && now < loan.until);
        let loan = borrowed.first_mut()?;
        loan.count -= 1;
        Some(loan.until)
    }

    /// Returns a borrowed retry that was not sent and may be sent until `until`.
    pub fn give_back_borrowed(&mut self, service: &str, until: time::Instant) {
        let index = self.service_index(service);
        let borrowed = &mut self.services[index].borrowed;
        borrowed.push(RetryLoan { until, count: 1 });
    }

    /// Returns whether this node may ask others for retries now; it returns `true` at
    /// most once in each period.
    pub fn begin_claim(
        &mut self,
        service: &str,
        period: std_time::Duration,
        now: time::Instant,
    ) -> bool {
        let index = self.service_index(service);
        let next_claim = &mut self.services[index].next_claim;
        let is_due = next_claim.is_none_or(|next_claim| next_claim <= now);
        if is_due {
            *next_claim = Some(now + period);
        }
        is_due
    }

    /// Returns the number of retries that are left, negative if requests have left the
    /// window before their retries.
    fn unused(&mut self, service: &str, now: time::Instant) -> f64 {
        // What the process before lent may be sent after its end.
        let loan_time = match self.policy.has_loans {
            true => LOAN_TIME,
            false => std_time::Duration::ZERO,
        };
        let age = now.saturating_duration_since(self.started);
        let is_new = age < self.policy.window + loan_time;
        let is_isolated = self.policy.has_peers && self.nodes < 2;
        let extra = match is_new || is_isolated {
            true => 0.0,
            false => self.policy.extra / self.nodes as f64,
        };
        let share = self.policy.share;
        self.current_bucket(service, now);
        let index = self.service_index(service);
        let budget = &mut self.services[index];
        budget.lent.retain(|loan| now < loan.until);
        let buckets = budget.buckets.iter();
        let requests: u32 = buckets.clone().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.map(|bucket| bucket.retries).sum();
        let lent: u32 = budget.lent.iter().map(|loan| loan.count).sum();
        let granted = USED_FRACTION * (share * f64::from(requests) + extra);
        granted - f64::from(retries) - f64::from(lent)
    }

    /// Returns a retry taken at `taken_at` that was not sent.
    pub fn give_back(&mut self, service: &str, taken_at: time::Instant) {
        let index = self.service_index(service);
        let mut buckets = self.services[index].buckets.iter_mut().rev();
        if let Some(bucket) = buckets.find(|bucket| bucket.start <= taken_at) {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Returns the bucket for the current time and drops expired ones.
    fn current_bucket(&mut self, service: &str, now: time::Instant) -> &mut WindowBucket {
        let window = self.policy.window;
        let length = window / WINDOW_BUCKETS;
        let index = self.service_index(service);
        let buckets = &mut self.services[index].buckets;
        buckets.retain(|bucket| now.saturating_duration_since(bucket.start) < window + length);
        let fresh = buckets
            .last()
            .is_none_or(|bucket| now.saturating_duration_since(bucket.start) >= length);
        if fresh {
            buckets.push(WindowBucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }

    fn service_index(&mut self, service: &str) -> usize {
        let found = self
            .services
            .binary_search_by(|entry| entry.service.as_str().cmp(service));
        found.unwrap_or_else(|index| {
            let fresh = ServiceBudget {
                service: service.to_owned(),
                buckets: Vec::new(),
                lent: Vec::new(),
                borrowed: Vec::new(),
                next_claim: None,
            };
            self.services.insert(index, fresh);
            index
        })
    }
}
