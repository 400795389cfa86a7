//! Orders to model engines, without I/O.
//!
//! An order states the target and not a step, so that repeating one does no
//! harm. Engines that check the fencing number refuse orders of an earlier
//! holder. To the others at most one order is under way at a time, and a new
//! holder waits until none of an earlier one can still arrive.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::lease;
use crate::upstream;

/// Longest time that an order takes to reach an engine or to be lost.
pub const ORDER_LIFE: std_time::Duration = std_time::Duration::from_secs(10);

/// Time after which an order whose target was not reached is given again.
const ORDER_REPEAT: std_time::Duration = std_time::Duration::from_secs(60);

/// Pause after an order that an engine did not take.
const ORDER_PAUSE: std_time::Duration = std_time::Duration::from_secs(2);

/// What an engine does for its layers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// It runs prompts and tokens.
    #[default]
    Mixed,
    /// It runs prompts.
    Prefill,
    /// It runs tokens.
    Decode,
}

/// The state that an engine is to reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Layers, each of one model version; all others are dropped.
    pub held: Vec<upstream::HeldLayers>,
    /// Role.
    pub role: EngineRole,
}

/// An order as engines receive it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease under which it is given.
    pub fencing: id::FencingNumber,
    /// State to reach.
    pub target: EngineTarget,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// It did not reach the engine or was refused, and will not arrive later.
    Refused,
    /// It may arrive later.
    Unknown,
}

/// An upstream that takes orders, as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderedUpstream {
    /// Name of the upstream.
    pub name: id::UpstreamName,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// What it reports to hold.
    pub held: Vec<upstream::HeldLayers>,
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderAction {
    /// Upstream that gets it.
    pub upstream: id::UpstreamName,
    /// The order.
    pub order: EngineOrder,
    /// Whether the lease must be read again just before.
    pub reread: bool,
}

#[derive(Clone, Debug)]
struct UpstreamIntent {
    upstream: id::UpstreamName,
    target: EngineTarget,
    /// An order without an outcome, which may arrive until then.
    under_way: Option<time::Instant>,
    /// Time before which no order is given.
    rest_until: Option<time::Instant>,
    reached: bool,
}

/// Keeps what each upstream is to hold and which orders are under way.
#[derive(Clone, Debug, Default)]
pub struct OrderKeeper {
    intents: Vec<UpstreamIntent>,
    fencing: id::FencingNumber,
}

impl OrderKeeper {
    /// Sets the state that an upstream is to reach.
    pub fn intend(&mut self, upstream: &str, target: EngineTarget) {
        let mut target = target;
        target.held.sort_unstable();
        match self.find(upstream) {
            Ok(place) if self.intents[place].target == target => {}
            Ok(place) => {
                let intent = &mut self.intents[place];
                intent.target = target;
                intent.rest_until = None;
                intent.reached = false;
            }
            Err(place) => self.intents.insert(
                place,
                UpstreamIntent {
                    upstream: upstream.to_owned(),
                    target,
                    under_way: None,
                    rest_until: None,
                    reached: false,
                },
            ),
        }
    }

    /// Returns the state that an upstream is to reach, while it has not.
    pub fn pending(&self, upstream: &str) -> Option<&EngineTarget> {
        let intent = &self.intents[self.find(upstream).ok()?];
        (!intent.reached).then_some(&intent.target)
    }

    /// Gives an upstream's intent up, for it is gone or was chosen wrongly.
    pub fn forget(&mut self, upstream: &str) {
        if let Ok(place) = self.find(upstream) {
            self.intents.remove(place);
        }
    }

    /// Returns the orders that are due under `held`.
    pub fn due(
        &mut self,
        held: lease::HeldLease,
        upstreams: &[OrderedUpstream],
        now: time::Instant,
    ) -> Vec<OrderAction> {
        if self.fencing != held.fencing {
            // Intents of an earlier time as holder may be out of date.
            self.fencing = held.fencing;
            self.intents.clear();
        }
        let settled = now.duration_since(held.since) >= ORDER_LIFE;
        let mut actions = Vec::new();
        for intent in &mut self.intents {
            let Some(upstream) = upstreams.iter().find(|known| known.name == intent.upstream)
            else {
                continue;
            };
            intent.reached = upstream.held == intent.target.held;
            let waits = intent.under_way.is_some_and(|until| now < until)
                || intent.rest_until.is_some_and(|until| now < until);
            if intent.reached || waits || !(upstream.checks_fencing || settled) {
                continue;
            }
            intent.under_way = Some(now + ORDER_LIFE);
            actions.push(OrderAction {
                upstream: intent.upstream.clone(),
                order: EngineOrder {
                    fencing: held.fencing,
                    target: intent.target.clone(),
                },
                reread: !upstream.checks_fencing,
            });
        }
        actions
    }

    /// Notes what became of an order.
    pub fn note(&mut self, action: &OrderAction, outcome: OrderOutcome, now: time::Instant) {
        let Ok(place) = self.find(&action.upstream) else {
            return;
        };
        if action.order.fencing != self.fencing {
            return;
        }
        let intent = &mut self.intents[place];
        let rest = match outcome {
            OrderOutcome::Taken => ORDER_REPEAT,
            OrderOutcome::Refused => ORDER_PAUSE,
            // It stays under way until its life is over.
            OrderOutcome::Unknown => return,
        };
        intent.under_way = None;
        // A target that changed meanwhile is ordered at once.
        if intent.target == action.order.target {
            intent.rest_until = Some(now + rest);
        }
    }

    fn find(&self, upstream: &str) -> Result<usize, usize> {
        self.intents
            .binary_search_by(|intent| intent.upstream.as_str().cmp(upstream))
    }
}
