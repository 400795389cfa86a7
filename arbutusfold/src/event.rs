//! Numbered events: the catalogue, the log output and the ring buffer behind `explain`.

use std::collections;
use std::sync;

use serde::Serialize;

/// Number of recent events that a node retains for `explain`.
const RING_CAPACITY: usize = 16_384;

macro_rules! event_codes {
    ($($(#[doc = $text:literal])+ $code:ident = $number:literal, $level:ident;)*) => {
        /// Code of an event; its number is stable across releases.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventCode {
            $($(#[doc = $text])+ $code = $number,)*
        }

        impl EventCode {
            /// All events, ordered by number.
            pub const ALL: &'static [EventCode] = &[$(EventCode::$code,)*];

            /// Returns the event's name as it appears in logs.
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
    /// A node finished its graceful stop.
    StopFinished = 103, Info;
    /// A task panicked; what it was doing failed, and the process goes on.
    TaskPanicked = 104, Error;
    /// A request was answered completely.
    RequestAnswered = 110, Info;
    /// A request was refused or failed.
    RequestRefused = 111, Info;
    /// A request began to wait for room.
    WaitBegan = 112, Info;
    /// A request's wait for room ended.
    WaitEnded = 113, Info;
    /// A refused caller was told when to come back.
    ReturnPlanned = 114, Info;
    /// A route was chosen for an attempt.
    RouteChosen = 200, Debug;
    /// An attempt failed before its answer was complete.
    AttemptFailed = 201, Warning;
    /// A token was dropped because its proof was invalid.
    TokenDropped = 202, Warning;
    /// The routes of a model were recomputed.
    RoutesPlanned = 203, Info;
    /// A stream was resumed on another path.
    StreamResumed = 204, Warning;
    /// A caller disconnected before its answer was complete.
    CallerLeft = 205, Info;
    /// A running stream was moved to other runners.
    StreamRerouted = 206, Warning;
    /// A silent run is kept while another one is sought.
    RunHeld = 207, Info;
    /// A silent run went on.
    RunRegained = 208, Info;
    /// The runners of a silent stream were checked.
    StreamChecked = 209, Info;
    /// An upstream appeared or became reachable.
    UpstreamFound = 210, Info;
    /// An upstream became unreachable or disappeared.
    UpstreamLost = 211, Warning;
    /// An upstream is draining and receives no new requests.
    UpstreamLeaving = 212, Info;
    /// An upstream restarted or holds other layers than before.
    UpstreamChanged = 213, Info;
    /// An upstream is excluded from routing for some time.
    UpstreamAvoided = 214, Warning;
    /// The entry of an upstream could not be decoded.
    UpstreamUnreadable = 215, Warning;
    /// The number of slow runners of a failure domain changed.
    SlowRunners = 216, Info;
    /// An upstream named, changed or lifted a limit of the requests that it takes.
    UpstreamLimited = 217, Info;
    /// An upstream that named a limit takes no request of this node for some time.
    UpstreamPaused = 218, Info;
    /// The entry of an upstream was removed around an outage of the store; the
    /// upstream receives requests until the entry has had time to return.
    UpstreamKept = 219, Info;
    /// No process listens at the address of an upstream; it receives no requests for
    /// some time.
    UpstreamUnreachable = 220, Warning;
    /// An upstream is reached through another node instead of directly.
    UpstreamRelayed = 221, Warning;
    /// An upstream that was reached through another node is reached directly again.
    UpstreamDirect = 222, Info;
    /// The leader of its domain found the process of an upstream to have failed; it
    /// receives no requests.
    UpstreamFailed = 223, Warning;
    /// An upstream that had failed receives requests again.
    UpstreamRegained = 224, Info;
    /// This leader checked whether the process of an upstream failed.
    FailureChecked = 225, Info;
    /// This leader tells of no failed upstreams since too many fail for it at a time, or
    /// tells of them again.
    FailuresWithheld = 226, Warning;
    /// A request was refused because its organisation reached its rate limit.
    LimitReached = 300, Info;
    /// A request was refused because it could not be served in time.
    AdmissionRefused = 301, Info;
    /// A retry was refused.
    RetryRefused = 302, Warning;
    /// A node was asked to lend retries.
    RetriesBorrowed = 303, Info;
    /// An upstream crashed while it ran a request.
    SuspectNoted = 310, Warning;
    /// A request was refused because upstreams crashed while they ran it.
    SuspectQuarantined = 311, Warning;
    /// An upstream that was believed to have crashed is alive, or its request was
    /// answered; the request is cleared.
    SuspectCleared = 312, Info;
    /// The record of the crashes of a request changed.
    SuspectRecorded = 313, Warning;
    /// The records of crashes were read from the store or written to it, or could
    /// not be.
    SuspectsStored = 314, Info;
    /// An upstream of a plain service was ejected.
    UpstreamEjected = 320, Warning;
    /// An ejected upstream receives requests again.
    UpstreamRestored = 321, Info;
    /// An upstream was not ejected because too many of its pool already are.
    EjectionCapped = 322, Warning;
    /// Requests or connections of callers were refused or closed because of a bound; at
    /// most one event a second for each cause.
    CallersBounded = 330, Warning;
    /// A non-idempotent request was recorded as started.
    RecordStarted = 400, Info;
    /// A non-idempotent request was recorded as finished.
    RecordFinished = 401, Info;
    /// The outcome of a non-idempotent request is unknown.
    RecordUnknown = 402, Warning;
    /// A recorded answer was replayed for a repeated request.
    RecordReplayed = 403, Info;
    /// A non-idempotent request was recorded as not run.
    RecordReleased = 404, Info;
    /// An idempotency key was reused for a different call.
    RecordReused = 405, Warning;
    /// This node acquired the lease.
    LeaseTaken = 500, Info;
    /// This node may no longer act under the lease.
    LeaseLost = 501, Warning;
    /// An engine accepted an order.
    OrderTaken = 510, Info;
    /// An order was not sent or was refused, so it had no effect.
    OrderRefused = 511, Warning;
    /// The outcome of an order is unknown; it may still take effect.
    OrderUnknown = 512, Warning;
    /// A pipeline has too few runners for a layer.
    CoverLacking = 520, Warning;
    /// A layer load was planned to restore missing layers.
    RepairPlanned = 521, Info;
    /// Every layer of a pipeline has enough runners again, counting those that load it.
    CoverRestored = 522, Info;
    /// A configuration document came into force.
    ConfigInForce = 600, Info;
    /// A configuration document was accepted.
    ConfigAccepted = 601, Info;
    /// A configuration document was refused.
    ConfigRefused = 602, Warning;
    /// The table service returned an older configuration than the one in force.
    ConfigBehind = 603, Warning;
    /// It is unknown whether a configuration document was accepted.
    ConfigUnknown = 604, Warning;
    /// A peer is considered alive.
    PeerAlive = 700, Info;
    /// A peer is considered dead, or it left.
    PeerGone = 701, Warning;
    /// A peer did not answer a probe and is probed again.
    PeerSuspected = 702, Info;
    /// Another region is reachable.
    RegionFound = 703, Info;
    /// Another region is unreachable.
    RegionLost = 704, Warning;
    /// A newer process with the name of this host runs elsewhere.
    HostSuperseded = 705, Warning;
    /// The connection to a peer broke or was not established.
    PeerLinkLost = 706, Info;
    /// A peer can be connected to again.
    PeerLinkRegained = 707, Info;
    /// A node is left out as a way to upstreams for a moment, since a tunnel through
    /// it was lost, refused or not opened.
    TunnelLost = 708, Warning;
    /// This node refused to serve a tunnel.
    TunnelRefused = 709, Warning;
    /// A request that was still in flight was cut off at the end of a stop.
    StopCut = 710, Warning;
    /// Changed settings were loaded.
    SettingsReloaded = 711, Info;
    /// Changed settings were refused.
    SettingsRefused = 712, Warning;
    /// The platform's store does not answer.
    StoreLost = 800, Warning;
    /// The platform's store answers again.
    StoreRegained = 801, Info;
    /// The store discarded its history or came back from an older copy, so the table is
    /// read completely.
    StoreReread = 802, Info;
    /// Rows of the store were received from a peer.
    RowsFromPeer = 803, Info;
    /// Rows of the store that this node lacks were requested from a peer.
    RowsRequested = 804, Info;
    /// Rows of the store could not be decoded; the others of their page are used.
    RowsUnreadable = 805, Warning;
    /// The store or a peer named a later era: the store came back from an older copy.
    StoreEraChanged = 806, Warning;
}

impl EventCode {
    /// Returns the event's number.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// An event in the output of `explain`.
#[derive(Clone, Debug, Serialize)]
pub struct EventRecord {
    /// Time of the event in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: &'static str,
    /// Request, upstream, host or version that the event concerns.
    pub subject: String,
    /// Cause and further details.
    pub detail: String,
}

/// Writes events to the log and retains the most recent ones.
#[derive(Debug)]
pub struct EventRecorder {
    logger: slog::Logger,
    capacity: usize,
    ring: sync::Mutex<collections::VecDeque<EventRecord>>,
}

impl EventRecorder {
    /// Creates a recorder that logs to `logger` and has the default capacity.
    pub fn new(logger: slog::Logger) -> Self {
        Self::with_capacity(logger, RING_CAPACITY)
    }

    /// Creates a recorder that retains the `capacity` most recent events.
    pub fn with_capacity(logger: slog::Logger, capacity: usize) -> Self {
        Self {
            logger,
            capacity,
            ring: sync::Mutex::new(collections::VecDeque::new()),
        }
    }

    /// Creates a recorder that discards its log output, for tests and benchmarks.
    pub fn silent() -> Self {
        Self::new(slog::Logger::root(slog::Discard, slog::o!()))
    }

    /// Logs an event about `subject` and adds it to the ring buffer.
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
        if ring.len() >= self.capacity {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// Returns the retained events about `subject`, oldest first.
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

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// For records only: the wall clock can jump, so it measures no durations.
pub fn unix_millis() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
