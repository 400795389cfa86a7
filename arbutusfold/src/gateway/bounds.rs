//! Bounds on what callers may take of a process, and how often they act.

use std::net;
use std::sync;
use std::time as std_time;

use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::metrics;
use crate::serve;
use crate::serve::crowd;

/// Shortest time between two events of one cause.
const EVENT_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Smallest read buffer that the HTTP library takes, in bytes.
pub const MIN_HEAD_BYTES: usize = 8 << 10;

/// Cause for which a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundCause {
    /// Callers hold all memory that they may hold.
    Memory,
    /// The body is longer than the limit.
    BodyLength,
    /// The body did not arrive in time.
    BodyTime,
    /// The head did not arrive in time.
    HeadTime,
    /// A stalled or idle connection gave way to a new one.
    Yielded,
    /// There are too many connections and none of them gives way.
    Connections,
    /// The answer was not read while others needed the memory.
    Unread,
}

impl BoundCause {
    const ALL: [Self; 7] = [
        Self::Memory,
        Self::BodyLength,
        Self::BodyTime,
        Self::HeadTime,
        Self::Yielded,
        Self::Connections,
        Self::Unread,
    ];

    /// Returns the cause as it appears in metrics and events.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::BodyLength => "body_length",
            Self::BodyTime => "body_time",
            Self::HeadTime => "head_time",
            Self::Yielded => "yielded",
            Self::Connections => "connections",
            Self::Unread => "unread",
        }
    }
}

/// Events of one cause.
#[derive(Clone, Copy, Debug, Default)]
struct CauseLog {
    recorded: Option<time::Instant>,
    /// Occurrences since the latest event.
    count: u64,
}

/// Limits the number of events about bounds.
#[derive(Debug, Default)]
pub struct BoundLog {
    causes: sync::Mutex<[CauseLog; BoundCause::ALL.len()]>,
}

impl BoundLog {
    /// Counts an occurrence. Returns the number of occurrences that an event now has
    /// to tell, if one is due.
    pub fn count(&self, cause: BoundCause, now: time::Instant) -> Option<u64> {
        let mut causes = lock(&self.causes);
        let log = &mut causes[cause as usize];
        log.count += 1;
        if log.recorded.is_some_and(|at| now - at < EVENT_PERIOD) {
            return None;
        }
        log.recorded = Some(now);
        Some(std::mem::take(&mut log.count))
    }
}

/// Counts a request or connection that met a bound, and records an event if one is
/// due.
pub fn note(core: &core::GatewayCore, cause: BoundCause, address: Option<net::IpAddr>) {
    let labels = metrics::BoundLabels {
        cause: cause.name(),
    };
    core.metrics.bounded.get_or_create(&labels).inc();
    let Some(count) = core.bounds.count(cause, time::Instant::now()) else {
        return;
    };
    let held = core.memory.as_ref().map_or(0, |account| account.used());
    let subject = address.map_or_else(|| "callers".to_owned(), |address| address.to_string());
    let detail = format!("cause={} count={count} held_bytes={held}", cause.name());
    core.note(event::EventCode::CallersBounded, &subject, detail);
}

/// Limits of a listener of a gateway, which follow the document in force.
#[derive(Clone)]
pub struct ListenerPolicy {
    /// State of the node.
    pub core: sync::Arc<core::GatewayCore>,
    /// Limits where neither the document nor the memory sets others.
    pub limits: serve::ServeLimits,
    /// Open connections of all listeners; `None` if each listener counts its own.
    pub crowd: Option<sync::Arc<crowd::ConnectionCrowd>>,
}

impl serve::ServePolicy for ListenerPolicy {
    fn limits(&self) -> serve::ServeLimits {
        let mut limits = self.limits.clone();
        if self.core.memory.is_none() {
            return limits;
        }
        let table = self.core.routing();
        let callers = table.map_or_else(Default::default, |table| *table.limits());
        let head_bytes = callers.head_bytes.max(MIN_HEAD_BYTES);
        limits.header_bytes = head_bytes.min(limits.header_bytes);
        limits.head_time = Some(callers.head_time);
        limits.streams = None;
        limits.is_yielding = true;
        limits
    }

    fn crowd(&self) -> sync::Arc<crowd::ConnectionCrowd> {
        self.crowd.clone().unwrap_or_default()
    }

    fn note_closed(&self, cause: serve::CloseCause) {
        let cause = match cause {
            serve::CloseCause::Yielded => BoundCause::Yielded,
            serve::CloseCause::Full => BoundCause::Connections,
            serve::CloseCause::HeadTime => BoundCause::HeadTime,
            serve::CloseCause::Unread => BoundCause::Unread,
        };
        note(&self.core, cause, None);
    }

    fn note_open(&self, count: usize) {
        if self.crowd.is_some() {
            self.core.metrics.connections.set(count as i64);
        }
    }
}
