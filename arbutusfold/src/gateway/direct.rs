//! Direct connections to runners.

use std::io;
use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::{link, order};
use futures_util::future;
use rand::seq::IndexedRandom;
use tokio::sync as tokio_sync;
use tokio::time;

use crate::event;
use crate::gateway::dial;
use crate::gateway::direct_bytes;
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
    book: sync::Arc<sync::Mutex<reach::ReachBook>>,
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
            book: sync::Arc::default(),
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
                let regained = self.book().note_reached(address, now - started, now);
                note_regained(&self.context, address, regained);
                let watch = direct_bytes::DirectWatch::new(
                    self.context.clone(),
                    sync::Arc::clone(&self.book),
                    address,
                    started,
                );
                let bytes = Box::new(direct_bytes::DirectBytes::new(bytes, watch));
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

    /// Opens a connection to a runner within `limit` and closes it at once. The book
    /// of ways learns nothing: an opened connection is no answer, and the limit is short.
    pub async fn check(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> stage_check::StageAnswer {
        let connected = time::timeout(limit, self.opener.connect(address)).await;
        match connected {
            Ok(Ok(_)) => stage_check::StageAnswer::Accepted,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                stage_check::StageAnswer::Refused
            }
            _ => stage_check::StageAnswer::Silent,
        }
    }

    /// Returns whether this node knows another one.
    pub fn has_peers(&self) -> bool {
        self.context.members.fleet_size() > 1
    }

    /// Returns when a runner last answered over a direct connection.
    pub fn reached_at(&self, address: net::SocketAddr) -> Option<time::Instant> {
        self.book().reached_at(address)
    }

    /// Connects to a runner within `limit` after it has answered over another
    /// connection.
    ///
    /// # Errors
    ///
    /// [`dial::DialError`], which is not confirmed.
    pub async fn connect_proven(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> Result<dial::RunnerConnection, dial::DialError> {
        let deadline = time::Instant::now() + limit;
        self.wait_answer(address, limit).await?;
        let left = deadline.saturating_duration_since(time::Instant::now());
        self.connect(address, left).await
    }

    /// Calls a runner over a new connection, and waits up to `limit` for its answer.
    ///
    /// # Errors
    ///
    /// [`dial::DialError`], which is not confirmed, if the connection was not opened or
    /// no answer came over it.
    async fn wait_answer(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> Result<(), dial::DialError> {
        let began_at = time::Instant::now();
        let unanswered = dial::DialError {
            address,
            is_refused: false,
            is_confirmed: false,
            reason: "no answer over the direct way".to_owned(),
        };
        let call = async {
            let connection = self.connect(address, limit).await?;
            // Whatever the runner sends shows that the way works; the book holds it.
            let link = link::HttpLink::over(connection.bytes).await.ok();
            if let (Some(mut link), Ok(request)) = (link, order::encode_report_call(address)) {
                let _ = link.send(request).await;
            }
            Ok(())
        };
        let called = time::timeout(limit, call).await;
        // So does an answer that comes too late.
        match self.book().has_answered(address, began_at) {
            true => Ok(()),
            false => Err(called.unwrap_or(Ok(())).err().unwrap_or(unanswered)),
        }
    }

    /// Connects to a runner again after another one answered, so that a failure is not
    /// due to this node's own way.
    ///
    /// # Errors
    ///
    /// [`dial::DialError`]; it is confirmed if another runner answered, or if there is
    /// none and `unless_alone` is not set, and no connection was opened or one ended
    /// before an answer.
    pub async fn confirm(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
        unless_alone: bool,
    ) -> Result<dial::RunnerConnection, dial::DialError> {
        let began_at = time::Instant::now();
        let deadline = began_at + limit;
        let is_sound = self.reaches_other(address, began_at, limit).await;
        if !is_sound.unwrap_or(!unless_alone) {
            return Err(dial::DialError {
                address,
                is_refused: false,
                is_confirmed: false,
                reason: "no other runner answered either".to_owned(),
            });
        }
        let started = time::Instant::now();
        let left = deadline - started;
        let is_doubted = self.is_doubted(address);
        let connected = match is_doubted {
            true => self.connect_proven(address, left).await,
            false => self.connect(address, left).await,
        };
        connected.map_err(|error| {
            // Over a doubted way, a silent runner may exist; one that ends its
            // connections may not.
            let is_dead = match is_doubted {
                true => self.book().has_ended(address, started),
                false => started.elapsed() >= SILENCE_TIME,
            };
            let is_confirmed = error.is_refused || is_dead;
            if is_confirmed {
                self.book().note_confirmed(address, time::Instant::now());
            }
            dial::DialError {
                is_confirmed,
                ..error
            }
        })
    }

    /// Returns whether some other runner answers this node directly within `limit`, or
    /// `None` if there is none. Answers to requests over connections that began at
    /// `since` or later count, too, since each further connection costs a runner
    /// something.
    pub async fn reaches_other(
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
            if self.book().answered_other(address, since) {
                return true;
            }
            let others = others.into_iter();
            let calls = others.map(|other| Box::pin(self.wait_answer(other, limit)));
            future::select_ok(calls).await.is_ok()
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
    /// since, or the way is in doubt.
    pub fn is_lost(&self, address: net::SocketAddr) -> bool {
        let now = time::Instant::now();
        let mut book = self.book();
        book.check_silence(now);
        book.is_lost(address, now)
    }

    /// Returns whether direct attempts failed a short time ago, or all ways are in doubt,
    /// and for all that is known it is due to this node and not to the runner.
    pub fn is_lost_here(&self, address: net::SocketAddr) -> bool {
        let now = time::Instant::now();
        let mut book = self.book();
        book.check_silence(now);
        book.is_lost_here(address, now)
    }

    /// Returns whether an answer has to come over the direct way before a request is
    /// sent on it.
    pub fn is_doubted(&self, address: net::SocketAddr) -> bool {
        self.book().is_doubted(address)
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
            let _ = direct.wait_answer(address, PROBE_TIMEOUT).await;
            direct.book().end_probe(address, time::Instant::now());
        });
    }

    fn book(&self) -> sync::MutexGuard<'_, reach::ReachBook> {
        self.book
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Logs that the direct way to a runner works again, if the log told of its loss.
pub(crate) fn note_regained(
    context: &dial::DialContext,
    address: net::SocketAddr,
    loss: Option<reach::WayLoss>,
) {
    let Some(loss) = loss else { return };
    let detail = format!("relayed_ms={}", loss.age.as_millis());
    let code = event::EventCode::UpstreamDirect;
    let subject = context.runner_name(address);
    context.recorder.record(code, &subject, detail);
}
