//! Open connections of a listener, and which of them gives way to a new one.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use tokio::time;

/// Time without progress after which a connection with an unfinished request or a
/// blocked answer gives way before all others.
const STALL_TIME: std_time::Duration = std_time::Duration::from_secs(1);

/// Requests that a client may send without waiting for an answer before they are
/// slowed down.
const FREE_REQUESTS: u32 = 2;

/// Number of a connection, unique in its crowd.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of a first request has arrived.
    Opened,
    /// A part of a request head has arrived.
    Head,
    /// The body of a request is being received.
    Body,
    /// A complete request is being handled or answered.
    Answering,
    /// The client does not read its answer.
    Blocked,
    /// The connection is kept for a further request.
    Idle,
}

impl ConnectionPhase {
    fn is_unfinished(self) -> bool {
        matches!(self, Self::Opened | Self::Head | Self::Body | Self::Blocked)
    }
}

/// State of one connection, shared by its task, its requests and the crowd.
#[derive(Debug)]
pub struct ConnectionState {
    address: net::IpAddr,
    progress: sync::Mutex<ConnectionProgress>,
    closed: sync::Arc<tokio::sync::Notify>,
}

/// Phase of a connection and the time of its latest progress.
#[derive(Clone, Copy, Debug)]
struct ConnectionProgress {
    phase: ConnectionPhase,
    /// Requests that are not answered completely.
    requests: u32,
    /// Requests since the client last waited for an answer before it sent the next one.
    sent_ahead: u32,
    is_blocked: bool,
    /// Whether a head took too long.
    is_late: bool,
    since: time::Instant,
}

/// A request that is not answered completely.
#[derive(Debug)]
pub struct OpenRequest(sync::Arc<ConnectionState>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let mut progress = lock(&self.0.progress);
        progress.requests -= 1;
        if progress.requests == 0 {
            progress.phase = ConnectionPhase::Idle;
        }
        progress.since = time::Instant::now();
    }
}

impl ConnectionState {
    /// Creates the state of a connection that has just opened.
    pub fn new(address: net::IpAddr) -> Self {
        Self {
            address,
            progress: sync::Mutex::new(ConnectionProgress {
                phase: ConnectionPhase::Opened,
                requests: 0,
                sent_ahead: 0,
                is_blocked: false,
                is_late: false,
                since: time::Instant::now(),
            }),
            closed: sync::Arc::default(),
        }
    }

    /// Returns the address of the client.
    pub fn address(&self) -> net::IpAddr {
        self.address
    }

    /// Begins a request whose head is complete.
    pub fn begin_request(self: &sync::Arc<Self>, has_body: bool) -> OpenRequest {
        self.enter(match has_body {
            true => ConnectionPhase::Body,
            false => ConnectionPhase::Answering,
        });
        let mut progress = lock(&self.progress);
        progress.requests += 1;
        progress.sent_ahead += 1;
        drop(progress);
        OpenRequest(sync::Arc::clone(self))
    }

    /// Enters a phase, or notes progress in it.
    pub fn enter(&self, phase: ConnectionPhase) {
        let mut progress = lock(&self.progress);
        progress.phase = phase;
        progress.since = time::Instant::now();
    }

    /// Notes that a head took too long.
    pub fn note_late(&self) {
        lock(&self.progress).is_late = true;
    }

    /// Returns whether a head took too long.
    pub fn is_late(&self) -> bool {
        lock(&self.progress).is_late
    }

    /// Notes that the client has sent nothing more for the moment.
    pub fn note_quiet(&self) {
        let mut progress = lock(&self.progress);
        if progress.phase == ConnectionPhase::Idle {
            progress.sent_ahead = 0;
        }
    }

    /// Returns whether the client sends many requests without waiting for answers.
    pub fn is_sending_ahead(&self) -> bool {
        lock(&self.progress).sent_ahead > FREE_REQUESTS
    }

    /// Returns whether the body of the current request was not received completely.
    pub fn is_body_open(&self) -> bool {
        lock(&self.progress).phase == ConnectionPhase::Body
    }

    /// Notes whether the client reads what is sent.
    pub fn set_blocked(&self, is_blocked: bool) {
        let mut progress = lock(&self.progress);
        if progress.is_blocked != is_blocked {
            progress.is_blocked = is_blocked;
            progress.since = time::Instant::now();
        }
    }

    /// Returns the phase and the time since the latest progress.
    pub fn phase(&self) -> (ConnectionPhase, std_time::Duration) {
        let progress = *lock(&self.progress);
        let phase = match progress.is_blocked {
            true => ConnectionPhase::Blocked,
            false => progress.phase,
        };
        (phase, progress.since.elapsed())
    }

    /// Returns the signal that closes the connection.
    pub fn close_signal(&self) -> sync::Arc<tokio::sync::Notify> {
        sync::Arc::clone(&self.closed)
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }
}

/// The open connections of one listener or of several.
#[derive(Debug, Default)]
pub struct ConnectionCrowd {
    next: atomic::AtomicU64,
    /// Sorted by id.
    open: sync::Mutex<Vec<(ConnectionId, sync::Arc<ConnectionState>)>>,
}

/// An open connection; dropping it takes it out of its crowd.
#[derive(Debug)]
pub struct CrowdMember {
    crowd: sync::Arc<ConnectionCrowd>,
    id: ConnectionId,
    /// State of the connection.
    pub state: sync::Arc<ConnectionState>,
}

impl ConnectionCrowd {
    /// Admits a connection. If `limit` are open already and `is_yielding`, another one
    /// is closed for it; `None` if none of them gives way. The flag tells whether one
    /// was closed.
    pub fn admit(
        self: &sync::Arc<Self>,
        address: net::IpAddr,
        limit: usize,
        is_yielding: bool,
    ) -> Option<(CrowdMember, bool)> {
        let mut open = lock(&self.open);
        let is_full = open.len() >= limit;
        if is_full && !is_yielding {
            return None;
        }
        if is_full {
            let views: Vec<_> = open.iter().map(|(_, state)| view(state)).collect();
            let (_, state) = open.remove(choose_yielding(&views)?);
            state.closed.notify_one();
        }
        let id = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let state = sync::Arc::new(ConnectionState::new(address));
        open.push((id, sync::Arc::clone(&state)));
        let member = CrowdMember {
            crowd: sync::Arc::clone(self),
            id,
            state,
        };
        Some((member, is_full))
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }
}

impl CrowdMember {
    /// Returns whether the connection has not given way to another one.
    pub fn is_listed(&self) -> bool {
        let open = lock(&self.crowd.open);
        open.binary_search_by_key(&self.id, |(id, _)| *id).is_ok()
    }
}

impl Drop for CrowdMember {
    fn drop(&mut self) {
        let mut open = lock(&self.crowd.open);
        if let Ok(index) = open.binary_search_by_key(&self.id, |(id, _)| *id) {
            open.remove(index);
        }
    }
}

/// What the choice of a connection that gives way depends on.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionView {
    /// Address of the client.
    pub address: net::IpAddr,
    /// What the connection is doing.
    pub phase: ConnectionPhase,
    /// Time since its latest progress.
    pub age: std_time::Duration,
}

fn view(state: &sync::Arc<ConnectionState>) -> ConnectionView {
    let (phase, age) = state.phase();
    ConnectionView {
        address: state.address,
        phase,
        age,
    }
}

/// Returns the index of the connection that gives way to a new one: a stalled one if
/// there is any, of the address that has most connections, and among these an
/// unfinished one before an idle one, the oldest first. A connection whose request is
/// being handled never gives way.
pub fn choose_yielding(open: &[ConnectionView]) -> Option<usize> {
    let mut addresses: Vec<_> = open.iter().map(|view| view.address).collect();
    addresses.sort_unstable();
    let count = |address: net::IpAddr| {
        let end = addresses.partition_point(|other| *other <= address);
        end - addresses.partition_point(|other| *other < address)
    };
    let candidates = open
        .iter()
        .enumerate()
        .filter(|(_, view)| view.phase != ConnectionPhase::Answering);
    candidates
        .max_by_key(|(_, view)| {
            let is_unfinished = view.phase.is_unfinished();
            let is_stalled = is_unfinished && view.age >= STALL_TIME;
            (is_stalled, count(view.address), is_unfinished, view.age)
        })
        .map(|(index, _)| index)
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
