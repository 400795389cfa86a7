//! Direct connections to runners.

use std::io;
use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::link;
use futures_util::future;
use rand::seq::IndexedRandom;
use tokio::sync as tokio_sync;
use tokio::time;

use crate::event;
use crate::gateway::dial;
use crate::gateway::reach;
use crate::gateway::stage_check;
use crate::id;

/// Timeout of an attempt that only finds out whether a runner is reached directly.
const PROBE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(300);

/// Other runners that are connected to in order to find out whether this node
/// reaches any.
const OTHER_RUNNERS: usize = 2;

/// Time in which attempts of requests may show that before.
const OTHER_DELAY: std_time::Duration = std_time::Duration::from_millis(10);

/// Least time without an answer after which a runner counts as silent.
const SILENCE_TIME: std_time::Duration = std_time::Duration::from_millis(50);

/// Opens sockets.
#[async_trait::async_trait]
pub trait SocketOpener: Send + Sync {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// The error of the system.
    async fn connect(&self, address: net::SocketAddr) -> io::Result<Box<dyn dial::RunnerBytes>>;
}

/// Opens TCP sockets of this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpOpener {
    source: link::LinkSource,
}

impl TcpOpener {
    /// Creates an opener of sockets that start from `source`.
    pub fn new(source: link::LinkSource) -> Self {
        Self { source }
    }
}

#[async_trait::async_trait]
impl SocketOpener for TcpOpener {
    async fn connect(&self, address: net::SocketAddr) -> io::Result<Box<dyn dial::RunnerBytes>> {
        let stream = self.source.connect(address).await?;
        // Nagle's algorithm would delay small requests until earlier data is acknowledged.
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }
}

/// Opens direct connections and remembers which ones failed.
pub struct DirectDialer {
    context: dial::DialContext,
    opener: sync::Arc<dyn SocketOpener>,
    book: sync::Mutex<reach::ReachBook>,
    /// Held while other runners are connected to only to find out whether any is
    /// reached.
    other_check: tokio_sync::Mutex<()>,
}

impl DirectDialer {
    /// Creates a dialer that has tried nothing yet.
    pub fn new(context: dial::DialContext, opener: sync::Arc<dyn SocketOpener>) -> Self {
        Self {
            context,
            opener,
            book: sync::Mutex::default(),
            other_check: tokio_sync::Mutex::default(),
        }
    }

    /// Connects to a runner within `limit`.
    ///
    /// # Errors
    ///
    /// [`dial::DialError`], which is not confirmed.
    pub async fn connect(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> Result<dial::RunnerConnection, dial::DialError> {
        let started = time::Instant::now();
        let connected = time::timeout(limit, self.opener.connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let now = time::Instant::now();
        match connected {
            Ok(bytes) => {
                self.note_reached(address, now - started, now);
                Ok(dial::RunnerConnection { bytes, via: None })
            }
            Err(error) => {
                let reason = error.to_string();
                self.book().note_failed(address, &reason, started, now);
                Err(dial::DialError {
                    address,
                    is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
                    is_confirmed: false,
                    reason,
                })
            }
        }
    }

    /// Opens a connection to a runner within `limit` and closes it at once. A missing
    /// answer does not count as a lost way, since the limit is short.
    pub async fn check(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> stage_check::StageAnswer {
        let started = time::Instant::now();
        let connected = time::timeout(limit, self.opener.connect(address)).await;
        let now = time::Instant::now();
        match connected {
            Ok(Ok(_)) => {
                self.note_reached(address, now - started, now);
                stage_check::StageAnswer::Accepted
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                stage_check::StageAnswer::Refused
            }
            _ => stage_check::StageAnswer::Silent,
        }
    }

    /// Returns when a runner last accepted a direct connection.
    pub fn reached_at(&self, address: net::SocketAddr) -> Option<time::Instant> {
        self.book().reached_at(address)
    }

    fn note_reached(&self, address: net::SocketAddr, took: std_time::Duration, now: time::Instant) {
        let regained = self.book().note_reached(address, took, now);
        if let Some(loss) = regained {
            let detail = format!("relayed_ms={}", loss.age.as_millis());
            let code = event::EventCode::UpstreamDirect;
            let subject = self.context.runner_name(address);
            self.context.recorder.record(code, &subject, detail);
        }
    }

    /// Connects to a runner again after another one was reached, so that a failure
    /// is not due to this node's own way.
    ///
    /// # Errors
    ///
    /// [`dial::DialError`]; it is confirmed if another runner was reached, or if there
    /// is none and `unless_alone` is not set.
    pub async fn confirm(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
        unless_alone: bool,
    ) -> Result<dial::RunnerConnection, dial::DialError> {
        let began_at = time::Instant::now();
        let deadline = began_at + limit;
        let is_sound = self.connects_other(address, began_at, limit).await;
        if !is_sound.unwrap_or(!unless_alone) {
            return Err(dial::DialError {
                address,
                is_refused: false,
                is_confirmed: false,
                reason: "no other runner was reached either".to_owned(),
            });
        }
        let started = time::Instant::now();
        let connected = self.connect(address, deadline - started).await;
        connected.map_err(|error| {
            let is_silent = started.elapsed() >= SILENCE_TIME;
            let is_confirmed = error.is_refused || is_silent;
            if is_confirmed {
                self.book().note_confirmed(address, time::Instant::now());
            }
            dial::DialError {
                is_confirmed,
                ..error
            }
        })
    }

    /// Returns whether this node can connect to some other runner within `limit`, or
    /// `None` if there is none. Attempts of requests that began at `since` or later
    /// count, too, since each further connection costs a runner something.
    pub async fn connects_other(
        &self,
        address: net::SocketAddr,
        since: time::Instant,
        limit: std_time::Duration,
    ) -> Option<bool> {
        let others = self.other_addresses(address);
        if others.is_empty() {
            return None;
        }
        let check = async {
            time::sleep(OTHER_DELAY).await;
            // Checks of one moment share their attempts.
            let _turn = self.other_check.lock().await;
            if self.book().reached_other(address, since) {
                return true;
            }
            let attempts = others.into_iter().map(|other| {
                let attempt = self.connect(other, limit);
                Box::pin(attempt)
            });
            future::select_ok(attempts).await.is_ok()
        };
        let checked = time::timeout(limit, check).await;
        Some(checked.unwrap_or(false))
    }

    /// Returns some other runners, those that were not lost a short time ago first.
    fn other_addresses(&self, address: net::SocketAddr) -> Vec<net::SocketAddr> {
        let now = time::Instant::now();
        let fleet = self.context.fleet.lock();
        let fleet = fleet.unwrap_or_else(sync::PoisonError::into_inner);
        let runners = fleet.runners().iter();
        let known = runners.map(|state| state.record.address);
        let others: Vec<_> = known.filter(|known| *known != address).collect();
        drop(fleet);
        let book = self.book();
        let (lost, sound): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|other| book.is_lost(*other, now));
        let mut rng = rand::rng();
        let chosen = sound.sample(&mut rng, OTHER_RUNNERS).copied();
        let mut chosen: Vec<_> = chosen.collect();
        let missing = OTHER_RUNNERS - chosen.len();
        chosen.extend(lost.sample(&mut rng, missing));
        chosen
    }

    /// Returns whether direct attempts failed a short time ago and none succeeded
    /// since.
    pub fn is_lost(&self, address: net::SocketAddr) -> bool {
        self.book().is_lost(address, time::Instant::now())
    }

    /// Returns whether [`Self::is_lost`] holds, and for all that is known it is due to
    /// this node and not to the runner.
    pub fn is_lost_here(&self, address: net::SocketAddr) -> bool {
        self.book().is_lost_here(address, time::Instant::now())
    }

    /// Returns how long a direct attempt may take until another way is tried, too.
    pub fn race_delay(&self, address: net::SocketAddr) -> std_time::Duration {
        self.book().race_delay(address)
    }

    /// Records that the attempt that began at `started` was given up.
    pub fn note_given_up(&self, address: net::SocketAddr, started: time::Instant) {
        let reason = format!("no answer in {} ms", started.elapsed().as_millis());
        let now = time::Instant::now();
        self.book().note_failed(address, &reason, started, now);
    }

    /// Records that a direct connection was lost without an answer.
    pub fn note_lost(&self, address: net::SocketAddr) {
        let now = time::Instant::now();
        self.book()
            .note_failed(address, "connection lost", now, now);
    }

    /// Records that a runner was reached through another node.
    pub fn note_relayed(&self, address: net::SocketAddr, via: &id::HostName) {
        let loss = self.book().note_other_way(address, time::Instant::now());
        if let Some(loss) = loss {
            let detail = format!(
                "via={via} lost_ms={} cause={}",
                loss.age.as_millis(),
                loss.cause
            );
            let code = event::EventCode::UpstreamRelayed;
            let subject = self.context.runner_name(address);
            self.context.recorder.record(code, &subject, detail);
        }
    }

    /// Tries the direct way in the background, unless that was done just before.
    pub fn probe(self: &sync::Arc<Self>, address: net::SocketAddr) {
        if !self.book().begin_probe(address, time::Instant::now()) {
            return;
        }
        let direct = sync::Arc::clone(self);
        tokio::spawn(async move {
            // The book holds the result.
            let _ = direct.connect(address, PROBE_TIMEOUT).await;
            direct.book().end_probe(address, time::Instant::now());
        });
    }

    fn book(&self) -> sync::MutexGuard<'_, reach::ReachBook> {
        self.book
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
