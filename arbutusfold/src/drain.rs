//! The graceful stop: what a node does between its signal and its end.

use std::sync;
use std::time as std_time;

use tokio::sync::watch;
use tokio::{task, time};

use crate::id;

/// Time that peers may need to hear that a node leaves.
const SPREAD_TIME: std_time::Duration = std_time::Duration::from_millis(500);

/// What happens during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// The process was told to stop, for the first time or again.
    Signal,
    /// Time passed.
    Tick,
    /// Every connection of callers is closed.
    Closed,
}

/// What the keeper wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Tell peers that this node leaves the address answers.
    Announce,
    /// Stop listening and let each connection end by its own rules.
    Close,
    /// End; what is still in flight is cut when `cut` is set.
    End {
        /// Whether requests may still be in flight.
        cut: bool,
    },
}

/// Where a stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainPhase {
    /// No stop was asked for.
    Running,
    /// Callers may still hold answers that name this node.
    Listening { until: time::Instant },
    /// Connections finish what they began.
    Closing { until: time::Instant },
    /// The stop is over.
    Ended,
}

/// Keeps the order of a graceful stop.
#[derive(Clone, Debug)]
pub struct DrainKeeper {
    keep: std_time::Duration,
    limit: std_time::Duration,
    phase: DrainPhase,
}

impl DrainKeeper {
    /// Creates the keeper of a node whose answers are kept for `keep` and
    /// whose requests may take `limit` more once it listens no longer.
    pub fn new(keep: std_time::Duration, limit: std_time::Duration) -> Self {
        Self {
            keep,
            limit,
            phase: DrainPhase::Running,
        }
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, event: DrainEvent, now: time::Instant) -> Option<DrainAction> {
        match (self.phase, event) {
            (DrainPhase::Running, DrainEvent::Signal) => {
                // A peer that has not heard yet may still name this node.
                let until = now + SPREAD_TIME + self.keep;
                self.phase = DrainPhase::Listening { until };
                Some(DrainAction::Announce)
            }
            (DrainPhase::Listening { until }, DrainEvent::Tick) if now >= until => {
                let until = now + self.limit;
                self.phase = DrainPhase::Closing { until };
                Some(DrainAction::Close)
            }
            (DrainPhase::Closing { .. }, DrainEvent::Closed) => {
                self.phase = DrainPhase::Ended;
                Some(DrainAction::End { cut: false })
            }
            (DrainPhase::Closing { until }, DrainEvent::Tick) if now >= until => {
                self.phase = DrainPhase::Ended;
                Some(DrainAction::End { cut: true })
            }
            (DrainPhase::Listening { .. } | DrainPhase::Closing { .. }, DrainEvent::Signal) => {
                self.phase = DrainPhase::Ended;
                Some(DrainAction::End { cut: true })
            }
            _ => None,
        }
    }

    /// Returns when time alone brings the next step.
    pub fn wakes(&self) -> Option<time::Instant> {
        match self.phase {
            DrainPhase::Running | DrainPhase::Ended => None,
            DrainPhase::Listening { until } | DrainPhase::Closing { until } => Some(until),
        }
    }
}

/// Requests in flight, to name those that the end of a stop cuts.
#[derive(Debug, Default)]
pub struct FlightList {
    requests: sync::Mutex<Vec<id::RequestId>>,
}

impl FlightList {
    /// Notes a request that begins.
    pub fn begin(&self, request: &str) {
        let mut requests = self.lock();
        let place = requests.partition_point(|held| held.as_str() < request);
        requests.insert(place, request.to_owned());
    }

    /// Notes a request that ended.
    pub fn end(&self, request: &str) {
        let mut requests = self.lock();
        if let Ok(place) = requests.binary_search_by(|held| held.as_str().cmp(request)) {
            requests.remove(place);
        }
    }

    /// Returns the requests in flight.
    pub fn list(&self) -> Vec<id::RequestId> {
        self.lock().clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<id::RequestId>> {
        self.requests
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Waits for the first signal and stops by the order that the keeper gives.
///
/// `announce` tells that the node leaves; `cut` names what the end cuts.
pub async fn stop(
    mut keeper: DrainKeeper,
    mut signals: watch::Receiver<u32>,
    closing: watch::Sender<bool>,
    mut serving: task::JoinHandle<()>,
    announce: impl Fn(),
    cut: impl Fn(),
) {
    loop {
        let wakes = keeper.wakes();
        let event = tokio::select! {
            // An error means that the sender is gone, which also ends the node.
            _ = signals.changed() => DrainEvent::Signal,
            _ = &mut serving, if !serving.is_finished() => DrainEvent::Closed,
            () = sleep_until(wakes) => DrainEvent::Tick,
        };
        match keeper.handle(event, time::Instant::now()) {
            Some(DrainAction::Announce) => announce(),
            Some(DrainAction::Close) => {
                let _ = closing.send(true);
            }
            Some(DrainAction::End { cut: cuts }) => {
                if cuts {
                    cut();
                }
                return;
            }
            None => {}
        }
    }
}

async fn sleep_until(wakes: Option<time::Instant>) {
    match wakes {
        Some(wakes) => time::sleep_until(wakes).await,
        None => std::future::pending().await,
    }
}
