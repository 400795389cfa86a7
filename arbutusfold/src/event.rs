//! Numbered events: the catalogue, the log line and the ring that explains.

use std::collections;
use std::sync;

use serde::Serialize;

/// Number of recent events that a node keeps for `explain`.
const RING_EVENTS: usize = 16_384;

macro_rules! event_codes {
    ($($(#[doc = $text:literal])+ $code:ident = $number:literal, $level:ident;)*) => {
        /// Number of an event, stable between releases.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventCode {
            $($(#[doc = $text])+ $code = $number,)*
        }

        impl EventCode {
            /// Every event, by number.
            pub const ALL: &'static [EventCode] = &[$(EventCode::$code,)*];

            /// Returns the event's name as logs write it.
            pub fn name(self) -> &'static str {
                match self { $(EventCode::$code => stringify!($code),)* }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> slog::Level {
                match self { $(EventCode::$code => slog::Level::$level,)* }
            }
        }
    };
}

event_codes! {
    /// A node started.
    NodeStarted = 100, Info;
    /// A node is ready to serve callers.
    NodeReady = 101, Info;
    /// A node began a graceful stop.
    StopBegan = 102, Info;
    /// A node finished its stop.
    StopFinished = 103, Info;
    /// A request was answered completely.
    RequestAnswered = 110, Info;
    /// A request was refused or failed.
    RequestRefused = 111, Info;
    /// A route was chosen for an attempt.
    RouteChosen = 200, Debug;
    /// An attempt ended before its answer was complete.
    AttemptFailed = 201, Warning;
    /// A token was dropped because its proof did not hold.
    TokenDropped = 202, Warning;
    /// The routes of a model were planned anew.
    RoutesPlanned = 203, Info;
    /// A stream goes on at another path.
    StreamResumed = 204, Warning;
    /// A caller left before its answer was complete.
    CallerLeft = 205, Info;
    /// A running stream is led over other runners.
    StreamRerouted = 206, Warning;
    /// An upstream began to report.
    UpstreamFound = 210, Info;
    /// An upstream stopped answering.
    UpstreamLost = 211, Warning;
    /// An upstream leaves and gets no more requests.
    UpstreamLeaving = 212, Info;
    /// An upstream changed its layers or started anew.
    UpstreamChanged = 213, Info;
    /// An upstream is passed over for a while.
    UpstreamAvoided = 214, Warning;
    /// An entry of an upstream could not be read.
    UpstreamUnreadable = 215, Warning;
    /// The number of slow runners of a failure domain changed.
    SlowRunners = 216, Info;
    /// A request was refused because its organisation's limit was reached.
    LimitReached = 300, Info;
    /// A request was refused because it could not be served in time.
    AdmissionRefused = 301, Info;
    /// A further attempt was not made.
    RetryRefused = 302, Warning;
    /// An upstream died under a request.
    SuspectNoted = 310, Warning;
    /// A request was refused because upstreams died under it.
    SuspectQuarantined = 311, Warning;
    /// An upstream thought dead lives; the request under it is cleared.
    SuspectCleared = 312, Info;
    /// An upstream of a plain service was ejected.
    UpstreamEjected = 320, Warning;
    /// An ejected upstream takes requests again.
    UpstreamRestored = 321, Info;
    /// An upstream was not ejected, since too many of its pool are.
    EjectionCapped = 322, Warning;
    /// A marked request was recorded as started.
    RecordStarted = 400, Info;
    /// A marked request was recorded as finished.
    RecordFinished = 401, Info;
    /// The outcome of a marked request is not known.
    RecordUnknown = 402, Warning;
    /// A recorded answer was given again.
    RecordReplayed = 403, Info;
    /// A marked request was recorded as not run.
    RecordReleased = 404, Info;
    /// An idempotency key was used with another call.
    RecordReused = 405, Warning;
    /// This node took the lease.
    LeaseTaken = 500, Info;
    /// This node may not act under the lease any more.
    LeaseLost = 501, Warning;
    /// An engine took an order.
    OrderTaken = 510, Info;
    /// An order had no effect.
    OrderRefused = 511, Warning;
    /// An order may still arrive.
    OrderUnknown = 512, Warning;
    /// A pipeline has too few runners for a layer.
    CoverLacking = 520, Warning;
    /// A load was chosen to restore layers.
    RepairPlanned = 521, Info;
    /// Every layer of a pipeline has its runners again or they load.
    CoverRestored = 522, Info;
    /// A configuration document came into force.
    ConfigInForce = 600, Info;
    /// A configuration document was accepted.
    ConfigAccepted = 601, Info;
    /// A configuration document was refused.
    ConfigRefused = 602, Warning;
    /// The table service names an older configuration than the one in force.
    ConfigBehind = 603, Warning;
    /// It could not be found out whether a configuration document was accepted.
    ConfigUnknown = 604, Warning;
    /// A peer became known as alive.
    PeerAlive = 700, Info;
    /// A peer became known as dead or gone.
    PeerGone = 701, Warning;
    /// A peer does not answer and is probed again.
    PeerSuspected = 702, Info;
    /// Another region is heard.
    RegionFound = 703, Info;
    /// Another region is cut off.
    RegionLost = 704, Warning;
    /// A later process with this host's name runs elsewhere.
    HostSuperseded = 705, Warning;
    /// A request was cut by the end of a stop.
    StopCut = 710, Warning;
    /// The settings were read again.
    SettingsReloaded = 711, Info;
    /// Changed settings were refused.
    SettingsRefused = 712, Warning;
    /// The platform's store does not answer.
    StoreLost = 800, Warning;
    /// The platform's store answers again.
    StoreRegained = 801, Info;
    /// The store dropped its history and is read whole.
    StoreReread = 802, Info;
    /// Rows of the store came from a peer.
    RowsFromPeer = 803, Info;
}

impl EventCode {
    /// Returns the event's number.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// One event as `explain` shows it.
#[derive(Clone, Debug, Serialize)]
pub struct EventRecord {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: &'static str,
    /// Request, upstream, host or version the event is about.
    pub subject: String,
    /// Cause and particulars.
    pub detail: String,
}

/// Writes events to the log and keeps the latest ones.
#[derive(Debug)]
pub struct EventRecorder {
    logger: slog::Logger,
    kept: usize,
    ring: sync::Mutex<collections::VecDeque<EventRecord>>,
}

impl EventRecorder {
    /// Creates a recorder that logs to `logger`.
    pub fn new(logger: slog::Logger) -> Self {
        Self::with_capacity(logger, RING_EVENTS)
    }

    /// Creates a recorder that keeps the latest `kept` events.
    pub fn with_capacity(logger: slog::Logger, kept: usize) -> Self {
        Self {
            logger,
            kept,
            ring: sync::Mutex::new(collections::VecDeque::new()),
        }
    }

    /// Creates a recorder that logs nowhere, for tests and measurements.
    pub fn silent() -> Self {
        Self::new(slog::Logger::root(slog::Discard, slog::o!()))
    }

    /// Logs an event about `subject` and keeps it in the ring.
    pub fn record(&self, code: EventCode, subject: &str, detail: impl Into<String>) {
        let detail = detail.into();
        let number = code.number();
        let name = code.name();
        match code.level() {
            slog::Level::Critical | slog::Level::Error => {
                slog::error!(self.logger, "{}", name; "event" => number, "subject" => subject, "detail" => &detail)
            }
            slog::Level::Warning => {
                slog::warn!(self.logger, "{}", name; "event" => number, "subject" => subject, "detail" => &detail)
            }
            slog::Level::Info => {
                slog::info!(self.logger, "{}", name; "event" => number, "subject" => subject, "detail" => &detail)
            }
            slog::Level::Debug | slog::Level::Trace => {
                slog::debug!(self.logger, "{}", name; "event" => number, "subject" => subject, "detail" => &detail)
            }
        }
        let record = EventRecord {
            at_ms: unix_millis(),
            number,
            name,
            subject: subject.to_owned(),
            detail,
        };
        let mut ring = self
            .ring
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if ring.len() >= self.kept {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// Returns the kept events about `subject`, oldest first.
    pub fn about(&self, subject: &str) -> Vec<EventRecord> {
        let ring = self
            .ring
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        ring.iter()
            .filter(|record| record.subject == subject)
            .cloned()
            .collect()
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch, for records only.
pub fn unix_millis() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
