//! Retries that a node may send, as its share of what the fleet may.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Spans into which a window is cut; the oldest one falls out as a whole.
const WINDOW_BUCKETS: u32 = 10;

/// Part of the budget that is used, since windows of others begin elsewhere.
const USED_FRACTION: f64 = 0.9;

/// How many retries the fleet may send to one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetPolicy {
    /// Retries for each request.
    pub share: f64,
    /// Retries beyond these, over the whole fleet.
    pub extra: f64,
    /// Time over which both are counted.
    pub window: std_time::Duration,
}

/// What was sent to one service in one span.
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

/// The retry budgets of one node, by service.
///
/// Each node takes its part of the extra retries by the largest fleet that it
/// ever saw, so the parts add up while nodes are lost or cut off. A process
/// that just started does not know what the one before it sent, so it takes
/// none of the extra for a whole window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: BudgetPolicy,
    started: time::Instant,
    nodes: usize,
    services: Vec<ServiceBudget>,
}

impl RetryBudget {
    /// Creates budgets from which nothing was taken.
    pub fn new(policy: BudgetPolicy, started: time::Instant) -> Self {
        Self {
            policy,
            started,
            nodes: 1,
            services: Vec::new(),
        }
    }

    /// Notes how many nodes the fleet has.
    pub fn note_nodes(&mut self, nodes: usize) {
        self.nodes = self.nodes.max(nodes);
    }

    /// Notes a new request to a service.
    pub fn note_request(&mut self, service: &str, now: time::Instant) {
        self.current_bucket(service, now).requests += 1;
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self, service: &str, now: time::Instant) -> bool {
        let extra = match now.saturating_duration_since(self.started) < self.policy.window {
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

    /// Returns the span of this moment and forgets those behind the window.
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
