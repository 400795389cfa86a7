//! Which runners this node reaches directly, from its latest attempts.

use std::net;
use std::time as std_time;

use tokio::time;

/// Time for which a failed direct attempt makes requests start at another way.
pub const LOST_TIME: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Least time between the starts of two attempts that only find out whether the
/// direct way works again.
const PROBE_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Least time after which another way is tried beside a direct attempt. A live
/// runner accepts within a few milliseconds.
const RACE_DELAY: std_time::Duration = std_time::Duration::from_millis(50);

/// Longest such time, for runners that are far away.
const RACE_DELAY_LIMIT: std_time::Duration = std_time::Duration::from_millis(150);

/// The delay is this multiple of the time that the latest direct connection took.
const RACE_DELAY_FACTOR: u32 = 3;

/// Most runners whose ways are remembered.
const WAY_LIMIT: usize = 1_024;

/// The direct way to a runner.
#[derive(Clone, Debug)]
struct DirectWay {
    address: net::SocketAddr,
    /// When the latest attempt succeeded.
    reached_at: Option<time::Instant>,
    /// How long that attempt took.
    connect_time: std_time::Duration,
    /// When the first and the latest of the attempts failed that did so since.
    lost_since: Option<time::Instant>,
    failed_at: Option<time::Instant>,
    cause: String,
    /// When it was shown that the failure is not due to this node.
    confirmed_at: Option<time::Instant>,
    /// Whether another way was used since, and the log says so.
    is_told: bool,
    is_probed: bool,
    probed_at: Option<time::Instant>,
    used_at: time::Instant,
}

/// Why another way than the direct one is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WayLoss {
    /// Time since the first direct attempt failed.
    pub age: std_time::Duration,
    /// Cause of the latest failure.
    pub cause: String,
}

/// What this node knows of its direct ways to runners.
#[derive(Debug, Default)]
pub struct ReachBook {
    /// Ways, sorted by address.
    ways: Vec<DirectWay>,
}

impl ReachBook {
    /// Returns whether direct attempts failed a short time ago and none succeeded
    /// since.
    pub fn is_lost(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        let failed_at = self.get(address).and_then(|way| way.failed_at);
        failed_at.is_some_and(|failed_at| now.saturating_duration_since(failed_at) < LOST_TIME)
    }

    /// Returns whether [`Self::is_lost`] holds, and for all that is known it is due to
    /// this node and not to the runner.
    pub fn is_lost_here(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        let confirmed_at = self.get(address).and_then(|way| way.confirmed_at);
        let is_confirmed =
            confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < LOST_TIME);
        self.is_lost(address, now) && !is_confirmed
    }

    /// Returns when the latest direct attempt that succeeded did so.
    pub fn reached_at(&self, address: net::SocketAddr) -> Option<time::Instant> {
        self.get(address)?.reached_at
    }

    /// Records that the latest failure is not due to this node.
    pub fn note_confirmed(&mut self, address: net::SocketAddr, now: time::Instant) {
        self.get_mut(address, now).confirmed_at = Some(now);
    }

    /// Returns whether an attempt at another runner that began at `since` or later
    /// succeeded.
    pub fn reached_other(&self, address: net::SocketAddr, since: time::Instant) -> bool {
        let mut others = self.ways.iter().filter(|way| way.address != address);
        others.any(|way| {
            let began_at = way.reached_at.map(|at| at - way.connect_time);
            began_at.is_some_and(|began_at| began_at >= since)
        })
    }

    /// Returns how long a direct attempt may take until another way is tried, too.
    pub fn race_delay(&self, address: net::SocketAddr) -> std_time::Duration {
        let usual = self.get(address).map(|way| way.connect_time);
        let usual = usual.unwrap_or_default();
        (usual * RACE_DELAY_FACTOR).clamp(RACE_DELAY, RACE_DELAY_LIMIT)
    }

    /// Records a direct connection that was opened in `took`.
    ///
    /// Returns the loss that ended, if the log told of it.
    pub fn note_reached(
        &mut self,
        address: net::SocketAddr,
        took: std_time::Duration,
        now: time::Instant,
    ) -> Option<WayLoss> {
        let way = self.get_mut(address, now);
        way.reached_at = Some(now);
        way.connect_time = took;
        way.failed_at = None;
        way.confirmed_at = None;
        let since = way.lost_since.take();
        let was_told = std::mem::take(&mut way.is_told);
        let since = since.filter(|_| was_told)?;
        Some(WayLoss {
            age: now.saturating_duration_since(since),
            cause: std::mem::take(&mut way.cause),
        })
    }

    /// Records that the direct attempt that began at `started` failed, unless a later
    /// one succeeded.
    pub fn note_failed(
        &mut self,
        address: net::SocketAddr,
        cause: &str,
        started: time::Instant,
        now: time::Instant,
    ) {
        let way = self.get_mut(address, now);
        if way
            .reached_at
            .is_some_and(|reached_at| reached_at > started)
        {
            return;
        }
        way.lost_since.get_or_insert(now);
        way.failed_at = Some(now);
        cause.clone_into(&mut way.cause);
    }

    /// Records that another way was used; returns why, once for each loss of the
    /// direct way.
    pub fn note_other_way(
        &mut self,
        address: net::SocketAddr,
        now: time::Instant,
    ) -> Option<WayLoss> {
        let way = self.get_mut(address, now);
        let since = way.lost_since?;
        if std::mem::replace(&mut way.is_told, true) {
            return None;
        }
        Some(WayLoss {
            age: now.saturating_duration_since(since),
            cause: way.cause.clone(),
        })
    }

    /// Returns whether the direct way to a runner should be tried now, beside other
    /// ways. If so, no other probe begins until [`Self::end_probe`].
    pub fn begin_probe(&mut self, address: net::SocketAddr, now: time::Instant) -> bool {
        let way = self.get_mut(address, now);
        let is_due = way
            .probed_at
            .is_none_or(|probed_at| now.saturating_duration_since(probed_at) >= PROBE_PERIOD);
        if way.is_probed || !is_due {
            return false;
        }
        way.is_probed = true;
        way.probed_at = Some(now);
        true
    }

    /// Records the end of a probe.
    pub fn end_probe(&mut self, address: net::SocketAddr, now: time::Instant) {
        self.get_mut(address, now).is_probed = false;
    }

    fn get(&self, address: net::SocketAddr) -> Option<&DirectWay> {
        let index = self.search(address).ok()?;
        Some(&self.ways[index])
    }

    fn get_mut(&mut self, address: net::SocketAddr, now: time::Instant) -> &mut DirectWay {
        let index = match self.search(address) {
            Ok(index) => index,
            Err(_) => {
                self.forget_if_full();
                let index = self.ways.partition_point(|way| way.address < address);
                self.ways.insert(
                    index,
                    DirectWay {
                        address,
                        reached_at: None,
                        connect_time: std_time::Duration::ZERO,
                        lost_since: None,
                        failed_at: None,
                        cause: String::new(),
                        confirmed_at: None,
                        is_told: false,
                        is_probed: false,
                        probed_at: None,
                        used_at: now,
                    },
                );
                index
            }
        };
        let way = &mut self.ways[index];
        way.used_at = now;
        way
    }

    fn forget_if_full(&mut self) {
        if self.ways.len() < WAY_LIMIT {
            return;
        }
        let oldest = (0..self.ways.len()).min_by_key(|index| self.ways[*index].used_at);
        if let Some(oldest) = oldest {
            self.ways.remove(oldest);
        }
    }

    fn search(&self, address: net::SocketAddr) -> Result<usize, usize> {
        self.ways.binary_search_by_key(&address, |way| way.address)
    }
}
