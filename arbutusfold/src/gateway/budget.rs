//! Retry budgets: the share of the fleet's retries that one node may send.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Number of buckets in a window; the oldest one expires as a whole.
const WINDOW_BUCKETS: u32 = 10;

/// Fraction of the budget that a node uses. The rest is a reserve, because the
/// windows of different nodes start at different times.
const USED_FRACTION: f64 = 0.9;

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
}

/// Counts of one service in one part of the window.
#[derive(Clone, Copy, Debug)]
struct WindowBucket {
    start: time::Instant,
    requests: u32,
    retries: u32,
}

#[derive(Clone, Debug)]
struct ServiceBudget {
    service: id::ServiceName,
    buckets: Vec<WindowBucket>,
}

/// Retry budgets of one node, by service.
///
/// The extra retries are divided by the largest fleet size that the node has
/// seen, so the shares of all nodes stay within the limit while nodes are lost
/// or partitioned. A process that has just started does not know what its
/// predecessor sent, so it uses no extra retries for a whole window. Nor does one
/// that has met none of its peers: it may be cut off, and the others use theirs.
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
        let is_new = now.saturating_duration_since(self.started) < self.policy.window;
        let is_isolated = self.policy.has_peers && self.nodes < 2;
        let extra = match is_new || is_isolated {
            true => 0.0,
            false => self.policy.extra / self.nodes as f64,
        };
        let share = self.policy.share;
        self.current_bucket(service, now);
        let index = self.service_index(service);
        let buckets = &mut self.services[index].buckets;
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let granted = USED_FRACTION * (share * f64::from(requests) + extra);
        if f64::from(retries + 1) > granted {
            return false;
        }
        if let Some(bucket) = buckets.last_mut() {
            bucket.retries += 1;
        }
        true
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
            };
            self.services.insert(index, fresh);
            index
        })
    }
}
