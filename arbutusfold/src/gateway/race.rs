//! Connections to runners by the first way that works: directly, or through another
//! node.
//!
//! The direct way is tried first. If it is not open after a moment, another node is
//! asked as well, and the connection that is open first is used; nothing is sent
//! before. Where the direct way failed a short time ago, the other node is asked
//! first, and the direct way is tried again in the background. Where connections open
//! but gave no answer, the direct way is used only after it gave one.

use std::net;
use std::sync;
use std::time as std_time;

use futures_util::future;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time;

use crate::gateway::dial;
use crate::gateway::direct;

/// Time after which the direct way is tried beside other nodes although it failed a
/// short time ago.
const DIRECT_DELAY: std_time::Duration = std_time::Duration::from_millis(150);

/// A way to open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RaceWay {
    Direct,
    /// Through another node.
    Relay,
    /// Directly, after another runner was reached.
    Confirm,
}

type DialResult = Result<dial::RunnerConnection, dial::DialError>;

/// State of one way in a race.
#[derive(Debug, Default)]
struct RaceLane {
    started: Option<time::Instant>,
    error: Option<dial::DialError>,
}

impl RaceLane {
    fn is_confirmed(&self) -> bool {
        self.error.as_ref().is_some_and(|error| error.is_confirmed)
    }

    fn is_open(&self) -> bool {
        self.started.is_some() && self.error.is_none()
    }
}

/// Opens connections directly or through another node.
pub struct RaceDialer {
    direct: sync::Arc<direct::DirectDialer>,
    /// Opens connections through other nodes, if this one may ask them.
    relay: Option<sync::Arc<dyn dial::RunnerDialer>>,
}

/// One call of [`RaceDialer::open`].
struct DialRace<'a> {
    dialer: &'a RaceDialer,
    address: net::SocketAddr,
    started: time::Instant,
    deadline: time::Instant,
    race_delay: std_time::Duration,
    /// Whether the direct way failed a short time ago.
    is_lost: bool,
    /// Whether it has to give an answer before it is used.
    is_doubted: bool,
    direct: RaceLane,
    relay: RaceLane,
    confirm: RaceLane,
    running: FuturesUnordered<future::BoxFuture<'a, (RaceWay, DialResult)>>,
}

impl RaceDialer {
    /// Creates a dialer; without `relay` it opens direct connections only.
    pub fn new(
        direct: sync::Arc<direct::DirectDialer>,
        relay: Option<sync::Arc<dyn dial::RunnerDialer>>,
    ) -> Self {
        Self { direct, relay }
    }
}

#[async_trait::async_trait]
impl dial::RunnerDialer for RaceDialer {
    async fn open(&self, address: net::SocketAddr, limit: std_time::Duration) -> DialResult {
        let now = time::Instant::now();
        let is_lost = self.relay.is_some() && self.direct.is_lost(address);
        if is_lost {
            self.direct.probe(address);
        }
        let race = DialRace {
            dialer: self,
            address,
            started: now,
            deadline: now + limit,
            race_delay: self.direct.race_delay(address),
            is_lost,
            // Without another node to ask, a doubted way is better than none.
            is_doubted: is_lost && self.direct.has_peers() && self.direct.is_doubted(address),
            direct: RaceLane::default(),
            relay: RaceLane::default(),
            confirm: RaceLane::default(),
            running: FuturesUnordered::new(),
        };
        race.run().await
    }

    async fn reaches_other(&self, address: net::SocketAddr, limit: std_time::Duration) -> bool {
        let now = time::Instant::now();
        let reaches = self.direct.reaches_other(address, now, limit).await;
        reaches.unwrap_or(true)
    }
}

impl DialRace<'_> {
    async fn run(mut self) -> DialResult {
        loop {
            let now = time::Instant::now();
            let wake_at = self.begin_due(now);
            if self.is_decided() || (self.running.is_empty() && wake_at.is_none()) {
                return Err(self.fail());
            }
            let wake_at = wake_at.unwrap_or(self.deadline).min(self.deadline);
            let (way, result) = tokio::select! {
                biased;
                Some(ended) = self.running.next(), if !self.running.is_empty() => ended,
                () = time::sleep_until(wake_at) => {
                    if wake_at == self.deadline {
                        return Err(self.fail());
                    }
                    continue;
                }
            };
            match result {
                Ok(connection) => {
                    self.note_won(&connection);
                    return Ok(connection);
                }
                Err(error) => self.lane(way).error = Some(error),
            }
        }
    }

    /// Begins the ways whose time has come; returns when the next one is due.
    fn begin_due(&mut self, now: time::Instant) -> Option<time::Instant> {
        let mut wake_at: Option<time::Instant> = None;
        for way in [RaceWay::Direct, RaceWay::Relay, RaceWay::Confirm] {
            if self.lane(way).started.is_some() {
                continue;
            }
            match self.due_at(way, now) {
                Some(due_at) if due_at <= now => self.begin(way, now),
                Some(due_at) => wake_at = Some(wake_at.map_or(due_at, |at| at.min(due_at))),
                None => {}
            }
        }
        wake_at
    }

    /// Returns when a way is due, as far as known.
    fn due_at(&self, way: RaceWay, now: time::Instant) -> Option<time::Instant> {
        let is_relay_done = self.dialer.relay.is_none() || self.relay.error.is_some();
        match way {
            RaceWay::Direct if !self.is_lost || self.relay.error.is_some() => Some(now),
            RaceWay::Direct => Some(self.started + DIRECT_DELAY),
            RaceWay::Relay => {
                self.dialer.relay.as_ref()?;
                let is_due = self.is_lost || self.direct.error.is_some();
                Some(if is_due {
                    now
                } else {
                    self.started + self.race_delay
                })
            }
            RaceWay::Confirm if is_relay_done && !self.relay.is_confirmed() => {
                let direct_at = self.direct.started?;
                Some(match self.direct.error {
                    Some(_) => now,
                    None => direct_at + self.race_delay,
                })
            }
            RaceWay::Confirm => None,
        }
    }

    fn begin(&mut self, way: RaceWay, now: time::Instant) {
        let limit = self.deadline.saturating_duration_since(now);
        let (dialer, address, is_doubted) = (self.dialer, self.address, self.is_doubted);
        self.lane(way).started = Some(now);
        self.running.push(Box::pin(async move {
            let result = match (way, &dialer.relay) {
                (RaceWay::Relay, Some(relay)) => relay.open(address, limit).await,
                (RaceWay::Confirm, relay) => {
                    // A node that asks for another one does not believe this one alone.
                    let unless_alone = relay.is_none();
                    let direct = &dialer.direct;
                    direct.confirm(address, limit, unless_alone).await
                }
                _ if is_doubted => dialer.direct.connect_proven(address, limit).await,
                _ => dialer.direct.connect(address, limit).await,
            };
            (way, result)
        }));
    }

    /// Returns whether the failure is certain before all ways have ended.
    fn is_decided(&self) -> bool {
        let is_direct_out = self.is_lost || self.direct.error.is_some();
        self.confirm.is_confirmed() || (is_direct_out && self.relay.is_confirmed())
    }

    fn lane(&mut self, way: RaceWay) -> &mut RaceLane {
        match way {
            RaceWay::Direct => &mut self.direct,
            RaceWay::Relay => &mut self.relay,
            RaceWay::Confirm => &mut self.confirm,
        }
    }

    fn note_won(&self, connection: &dial::RunnerConnection) {
        let Some(via) = &connection.via else { return };
        self.note_given_up();
        self.dialer.direct.note_relayed(self.address, via);
    }

    /// Records a direct attempt that was overtaken or ran out of time.
    fn note_given_up(&self) {
        if let Some(started) = self.direct.started.filter(|_| self.direct.is_open()) {
            self.dialer.direct.note_given_up(self.address, started);
        }
    }

    /// Returns the error that says most about the runner.
    fn fail(&self) -> dial::DialError {
        self.note_given_up();
        let lanes = [&self.confirm, &self.relay, &self.direct];
        let errors: Vec<_> = lanes
            .iter()
            .filter_map(|lane| lane.error.as_ref())
            .collect();
        if let Some(confirmed) = errors.iter().find(|error| error.is_confirmed) {
            return (*confirmed).clone();
        }
        let reasons: Vec<_> = errors.iter().map(|error| error.reason.as_str()).collect();
        dial::DialError {
            address: self.address,
            is_refused: errors.iter().any(|error| error.is_refused),
            is_confirmed: false,
            reason: match reasons.is_empty() {
                true => "no answer in time".to_owned(),
                false => reasons.join("; "),
            },
        }
    }
}
