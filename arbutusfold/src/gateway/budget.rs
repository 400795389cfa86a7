//! Retries that a node may send, as its share of what the fleet may.

use std::time as std_time;

use tokio::time;

use crate::id;

/// Spans into which a window is cut; the oldest one falls out as a whole.
const WINDOW_SPANS: u32 = 10;

/// Part of the budget that is used, since windows of others begin elsewhere.
const USED_PART: f64 = 0.9;

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
struct BudgetSpan {
    start: time::Instant,
    requests: u32,
    retries: u32,
}

#[derive(Clone, Debug)]
struct ServiceBudget {
    service: id::ServiceName,
    spans: Vec<BudgetSpan>,
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
        self.span(service, now).requests += 1;
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self, service: &str, now: time::Instant) -> bool {
        let extra = match now.saturating_duration_since(self.started) < self.policy.window {
            true => 0.0,
            false => self.policy.extra / self.nodes as f64,
        };
        let share = self.policy.share;
        self.span(service, now);
        let place = self.place(service);
        let spans = &mut self.services[place].spans;
        let requests: u32 = spans.iter().map(|span| span.requests).sum();
        let retries: u32 = spans.iter().map(|span| span.retries).sum();
        let granted = USED_PART * (share * f64::from(requests) + extra);
        if f64::from(retries + 1) > granted {
            return false;
        }
        if let Some(span) = spans.last_mut() {
            span.retries += 1;
        }
        true
    }

    /// Returns the span of this moment and forgets those behind the window.
    fn span(&mut self, service: &str, now: time::Instant) -> &mut BudgetSpan {
        let window = self.policy.window;
        let length = window / WINDOW_SPANS;
        let place = self.place(service);
        let spans = &mut self.services[place].spans;
        spans.retain(|span| now.saturating_duration_since(span.start) < window + length);
        let fresh = spans
            .last()
            .is_none_or(|span| now.saturating_duration_since(span.start) >= length);
        if fresh {
            spans.push(BudgetSpan {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = spans.len() - 1;
        &mut spans[last]
    }

    fn place(&mut self, service: &str) -> usize {
        let found = self
            .services
            .binary_search_by(|held| held.service.as_str().cmp(service));
        found.unwrap_or_else(|place| {
            let fresh = ServiceBudget {
                service: service.to_owned(),
                spans: Vec::new(),
            };
            self.services.insert(place, fresh);
            place
        })
    }
}
