//! Graceful shutdown of a node, from the first signal to the exit.

use std::sync;
use std::time as std_time;

use tokio::sync::watch;
use tokio::{task, time};

use crate::id;

/// Time that the announcement of a leaving node may need to reach all peers.
const LEAVE_PROPAGATION_TIME: std_time::Duration = std_time::Duration::from_millis(500);

/// An input to [`DrainSequence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// The process received a stop signal, the first one or a repeated one.
    Signal,
    /// A deadline may have passed.
    Tick,
    /// All caller connections are closed.
    Closed,
}

/// An operation that [`DrainSequence`] requests from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Announce to peers that this node is leaving, so that they no longer give out its address.
    Announce,
    /// Close the listening socket and let open connections finish their requests.
    Close,
    /// Exit the process.
    Exit {
        /// Whether requests may still be in flight, which the exit then cuts.
        cut: bool,
    },
}

/// Phase of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainPhase {
    /// No stop was requested.
    Running,
    /// The node still accepts connections, since callers may hold cached address
    /// lists that contain it.
    Listening { until: time::Instant },
    /// The node accepts no new connections; open ones finish their requests.
    Closing { until: time::Instant },
    /// The stop has completed.
    Ended,
}

/// State machine that orders the steps of a graceful stop.
#[derive(Clone, Debug)]
pub struct DrainSequence {
    answer_keep: std_time::Duration,
    stop_limit: std_time::Duration,
    phase: DrainPhase,
}

impl DrainSequence {
    /// Creates the stop sequence of a node. Callers cache address lists for
    /// `answer_keep`; requests in flight may take `stop_limit` longer once the
    /// node no longer listens.
    pub fn new(answer_keep: std_time::Duration, stop_limit: std_time::Duration) -> Self {
        Self {
            answer_keep,
            stop_limit,
            phase: DrainPhase::Running,
        }
    }

    /// Returns the time from the signal until the node no longer listens.
    pub fn listening_time(&self) -> std_time::Duration {
        LEAVE_PROPAGATION_TIME + self.answer_keep
    }

    /// Returns the longest time from the signal to the exit.
    pub fn longest_time(&self) -> std_time::Duration {
        self.listening_time() + self.stop_limit
    }

    /// Processes an event and returns the operation that follows from it.
    pub fn handle(&mut self, event: DrainEvent, now: time::Instant) -> Option<DrainAction> {
        match (self.phase, event) {
            (DrainPhase::Running, DrainEvent::Signal) => {
                // A peer that has not received the announcement may still give out this address.
                let until = now + self.listening_time();
                self.phase = DrainPhase::Listening { until };
                Some(DrainAction::Announce)
            }
            (DrainPhase::Listening { until }, DrainEvent::Tick) if now >= until => {
                let until = now + self.stop_limit;
                self.phase = DrainPhase::Closing { until };
                Some(DrainAction::Close)
            }
            (DrainPhase::Closing { .. }, DrainEvent::Closed) => {
                self.phase = DrainPhase::Ended;
                Some(DrainAction::Exit { cut: false })
            }
            (DrainPhase::Closing { until }, DrainEvent::Tick) if now >= until => {
                self.phase = DrainPhase::Ended;
                Some(DrainAction::Exit { cut: true })
            }
            (DrainPhase::Listening { .. } | DrainPhase::Closing { .. }, DrainEvent::Signal) => {
                self.phase = DrainPhase::Ended;
                Some(DrainAction::Exit { cut: true })
            }
            _ => None,
        }
    }

    /// Returns when the current phase ends if no other event comes first.
    pub fn deadline(&self) -> Option<time::Instant> {
        match self.phase {
            DrainPhase::Running | DrainPhase::Ended => None,
            DrainPhase::Listening { until } | DrainPhase::Closing { until } => Some(until),
        }
    }
}

/// The requests in flight, so that those cut by the end of a stop can be logged.
#[derive(Debug, Default)]
pub struct ActiveRequests {
    requests: sync::Mutex<Vec<id::RequestId>>,
}

impl ActiveRequests {
    /// Adds a request when it starts.
    pub fn begin(&self, request: &str) {
        let mut requests = self.lock();
        let index = requests.partition_point(|id| id.as_str() < request);
        requests.insert(index, request.to_owned());
    }

    /// Removes a request when it ends.
    pub fn end(&self, request: &str) {
        let mut requests = self.lock();
        if let Ok(index) = requests.binary_search_by(|id| id.as_str().cmp(request)) {
            requests.remove(index);
        }
    }

    /// Returns the ids of the requests in flight, sorted.
    pub fn list(&self) -> Vec<id::RequestId> {
        self.lock().clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<id::RequestId>> {
        self.requests
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Waits for the first signal, then runs the stop sequence to its end.
///
/// `announce` announces to peers that the node is leaving; `cut` logs the
/// requests that the exit cuts.
pub async fn stop(
    mut sequence: DrainSequence,
    mut signals: watch::Receiver<u32>,
    closing: watch::Sender<bool>,
    mut serving: task::JoinHandle<()>,
    announce: impl Fn(),
    cut: impl Fn(),
) {
    loop {
        let deadline = sequence.deadline();
        let event = tokio::select! {
            // An error means that the sender was dropped; the node stops then as well.
            _ = signals.changed() => DrainEvent::Signal,
            _ = &mut serving, if !serving.is_finished() => DrainEvent::Closed,
            () = sleep_until(deadline) => DrainEvent::Tick,
        };
        match sequence.handle(event, time::Instant::now()) {
            Some(DrainAction::Announce) => announce(),
            Some(DrainAction::Close) => {
                let _ = closing.send(true);
            }
            Some(DrainAction::Exit { cut: cuts_requests }) => {
                if cuts_requests {
                    cut();
                }
                return;
            }
            None => {}
        }
    }
}

async fn sleep_until(deadline: Option<time::Instant>) {
    match deadline {
        Some(deadline) => time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
