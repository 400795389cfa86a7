//! Orders to model engines, without I/O.
//!
//! An order states the target state instead of a step, so that it is idempotent.
//! Engines that check the fencing number refuse orders of an earlier lease holder. For
//! the other engines, at most one order is in flight at a time, and a new holder waits
//! until no order of an earlier holder can still arrive.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::lease;
use crate::upstream;

/// Maximum time within which an order reaches its engine or is lost.
pub const ORDER_LIFETIME: std_time::Duration = std_time::Duration::from_secs(10);

/// Time after which an accepted order is sent again if its target was not reached.
const RESEND_DELAY: std_time::Duration = std_time::Duration::from_secs(60);

/// Delay after an order that was refused or did not reach the engine.
const RETRY_DELAY: std_time::Duration = std_time::Duration::from_secs(2);

/// Phases of inference that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// The engine processes prompts and generates tokens.
    #[default]
    Mixed,
    /// The engine processes prompts.
    Prefill,
    /// The engine generates tokens.
    Decode,
}

/// Target state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Layers to hold, each range of one model version; the engine drops all others.
    pub held: Vec<upstream::HeldLayers>,
    /// Role of the engine.
    pub role: EngineRole,
}

/// Order in the form that engines receive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which the order is sent.
    pub fencing: id::FencingNumber,
    /// Target state.
    pub target: EngineTarget,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The order did not reach the engine or was refused, and will not arrive later.
    Refused,
    /// The order may have arrived or may arrive later.
    Unknown,
}

/// Upstream that receives orders, with the layers of its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedUpstream {
    /// Name of the upstream.
    pub name: id::UpstreamName,
    /// Whether the upstream refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Layers that the upstream reports to hold, sorted.
    pub held: Vec<upstream::HeldLayers>,
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAction {
    /// Upstream that receives the order.
    pub upstream: id::UpstreamName,
    /// Order to send.
    pub order: EngineOrder,
    /// Whether the lease row must be read again immediately before sending.
    pub recheck_lease: bool,
}

#[derive(Clone, Debug)]
struct TargetState {
    upstream: id::UpstreamName,
    target: EngineTarget,
    /// Time until which an order without a known outcome may still arrive.
    in_flight_until: Option<time::Instant>,
    /// Time before which no further order is sent.
    paused_until: Option<time::Instant>,
    reached: bool,
}

/// Tracks the target state of each upstream and the orders in flight.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    targets: Vec<TargetState>,
    fencing: id::FencingNumber,
}

impl OrderTracker {
    /// Sets the target state of an upstream.
    pub fn set_target(&mut self, upstream: &str, target: EngineTarget) {
        let mut target = target;
        target.held.sort_unstable();
        match self.find(upstream) {
            Ok(index) if self.targets[index].target == target => {}
            Ok(index) => {
                let state = &mut self.targets[index];
                state.target = target;
                state.paused_until = None;
                state.reached = false;
            }
            Err(index) => self.targets.insert(
                index,
                TargetState {
                    upstream: upstream.to_owned(),
                    target,
                    in_flight_until: None,
                    paused_until: None,
                    reached: false,
                },
            ),
        }
    }

    /// Returns the target state of an upstream that has not reached it.
    pub fn pending_target(&self, upstream: &str) -> Option<&EngineTarget> {
        let state = &self.targets[self.find(upstream).ok()?];
        (!state.reached).then_some(&state.target)
    }

    /// Removes the target state of an upstream that is gone or was chosen wrongly.
    pub fn remove(&mut self, upstream: &str) {
        if let Ok(index) = self.find(upstream) {
            self.targets.remove(index);
        }
    }

    /// Returns the orders that are due under the lease `held`.
    pub fn due_orders(
        &mut self,
        held: lease::HeldLease,
        upstreams: &[ReportedUpstream],
        now: time::Instant,
    ) -> Vec<OrderAction> {
        if self.fencing != held.fencing {
            // Targets from an earlier time as holder may be out of date.
            self.fencing = held.fencing;
            self.targets.clear();
        }
        let earlier_orders_expired = now.duration_since(held.since) >= ORDER_LIFETIME;
        let mut actions = Vec::new();
        for state in &mut self.targets {
            let Some(upstream) = upstreams.iter().find(|known| known.name == state.upstream) else {
                continue;
            };
            state.reached = upstream.held == state.target.held;
            let blocked = state.in_flight_until.is_some_and(|until| now < until)
                || state.paused_until.is_some_and(|until| now < until);
            if state.reached || blocked || !(upstream.checks_fencing || earlier_orders_expired) {
                continue;
            }
            state.in_flight_until = Some(now + ORDER_LIFETIME);
            actions.push(OrderAction {
                upstream: state.upstream.clone(),
                order: EngineOrder {
                    fencing: held.fencing,
                    target: state.target.clone(),
                },
                recheck_lease: !upstream.checks_fencing,
            });
        }
        actions
    }

    /// Records the outcome of an order.
    pub fn record_outcome(
        &mut self,
        action: &OrderAction,
        outcome: OrderOutcome,
        now: time::Instant,
    ) {
        let Ok(index) = self.find(&action.upstream) else {
            return;
        };
        if action.order.fencing != self.fencing {
            return;
        }
        let state = &mut self.targets[index];
        let delay = match outcome {
            OrderOutcome::Accepted => RESEND_DELAY,
            OrderOutcome::Refused => RETRY_DELAY,
            // The order counts as in flight until its lifetime ends.
            OrderOutcome::Unknown => return,
        };
        state.in_flight_until = None;
        // A target that was changed in the meantime is ordered without a delay.
        if state.target == action.order.target {
            state.paused_until = Some(now + delay);
        }
    }

    fn find(&self, upstream: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|state| state.upstream.as_str().cmp(upstream))
    }
}
