//! Which runners this node reaches directly, from its latest attempts.
//!
//! A way works once an answer came over it: a connection that opens may still be silent
//! or reset. A way that ended before an answer, or all of them while no runner is heard,
//! are in doubt until an answer comes over a later connection.

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

/// Least time without a byte of any runner, while a request waits for its answer, after
/// which all direct ways are in doubt. Runners that are not busy answer sooner.
const SILENCE_TIME: std_time::Duration = std_time::Duration::from_millis(300);

/// Longest such time, however slow the answers are: callers of a host that is cut off
/// are lost until then.
const SILENCE_TIME_LIMIT: std_time::Duration = std_time::Duration::from_millis(2_000);

/// The time is this multiple of the time that slow answers took of late.
const SILENCE_FACTOR: u32 = 2;

/// Part of the difference by which a faster answer shortens the time of slow answers.
const ANSWER_TIME_WEIGHT: u32 = 8;

/// Runners at which connections ended before an answer, without an answer between, that
/// put all direct ways in doubt. A request and its retry may crash two on their own.
const UNANSWERED_LIMIT: usize = 3;

/// Most runners whose ways are remembered.
const WAY_LIMIT: usize = 1_024;

/// Number of a request that waits for its answer, in the order of sending.
pub type WaitNumber = u64;

/// A request that was sent directly and has no byte of its answer yet.
#[derive(Clone, Copy, Debug)]
struct AnswerWait {
    number: WaitNumber,
    sent_at: time::Instant,
}

/// Doubt about all direct ways.
#[derive(Clone, Debug)]
struct NodeDoubt {
    since: time::Instant,
    cause: String,
}

/// The direct way to a runner.
#[derive(Clone, Debug)]
struct DirectWay {
    address: net::SocketAddr,
    /// When the latest attempt succeeded.
    reached_at: Option<time::Instant>,
    /// How long that attempt took.
    connect_time: std_time::Duration,
    /// When the latest connection began over which an answer came.
    answered_since: Option<time::Instant>,
    /// When a connection ended before an answer, if none came over a later one.
    doubted_at: Option<time::Instant>,
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

impl DirectWay {
    /// Returns whether an answer came over a connection that began at `since` or later.
    fn has_answered(&self, since: time::Instant) -> bool {
        self.answered_since
            .is_some_and(|answered_since| answered_since >= since)
    }

    /// Ends the loss of this way; returns it if the log told of it.
    fn end_loss(&mut self, now: time::Instant) -> Option<WayLoss> {
        let since = self.lost_since.take();
        let was_told = std::mem::take(&mut self.is_told);
        let since = since.filter(|_| was_told)?;
        Some(WayLoss {
            age: now.saturating_duration_since(since),
            cause: std::mem::take(&mut self.cause),
        })
    }
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
    /// Requests without an answer, sorted by number.
    waits: Vec<AnswerWait>,
    next_wait: WaitNumber,
    /// When the latest byte of any runner arrived.
    heard_at: Option<time::Instant>,
    /// Time that slow answers took of late.
    answer_time: std_time::Duration,
    /// Runners at which a connection ended before an answer, and when the latest did;
    /// sorted, without those before a connection over which any answer came.
    unanswered: Vec<(net::SocketAddr, time::Instant)>,
    doubt: Option<NodeDoubt>,
}

impl ReachBook {
    /// Returns whether direct attempts failed a short time ago and none succeeded
    /// since, or the way is in doubt.
    pub fn is_lost(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        self.has_failed(address, now) || self.is_doubted(address)
    }

    /// Returns whether an answer has to come over the direct way before a request is
    /// sent on it.
    pub fn is_doubted(&self, address: net::SocketAddr) -> bool {
        let doubted_at = self.get(address).and_then(|way| way.doubted_at);
        doubted_at.is_some() || self.doubt_of_all(address).is_some()
    }

    fn has_failed(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        let failed_at = self.get(address).and_then(|way| way.failed_at);
        failed_at.is_some_and(|failed_at| now.saturating_duration_since(failed_at) < LOST_TIME)
    }

    /// Returns the doubt about all ways, unless this one has answered since.
    fn doubt_of_all(&self, address: net::SocketAddr) -> Option<&NodeDoubt> {
        let doubt = self.doubt.as_ref()?;
        (!self.has_answered(address, doubt.since)).then_some(doubt)
    }

    /// Records that a request was sent directly; it waits until [`Self::end_wait`].
    pub fn begin_wait(&mut self, now: time::Instant) -> WaitNumber {
        let number = self.next_wait;
        self.next_wait += 1;
        let wait = AnswerWait {
            number,
            sent_at: now,
        };
        self.waits.push(wait);
        number
    }

    /// Records that a request waits no longer; returns when it was sent.
    pub fn end_wait(&mut self, number: WaitNumber) -> Option<time::Instant> {
        let index = self.waits.binary_search_by_key(&number, |wait| wait.number);
        Some(self.waits.remove(index.ok()?).sent_at)
    }

    /// Records that bytes of a runner arrived.
    pub fn note_heard(&mut self, now: time::Instant) {
        self.heard_at = Some(now);
    }

    /// Puts all direct ways in doubt if no runner has been heard for long while a
    /// request waits.
    pub fn check_silence(&mut self, now: time::Instant) {
        let Some(oldest) = self.waits.first() else {
            return;
        };
        let since = self
            .heard_at
            .map_or(oldest.sent_at, |heard_at| heard_at.max(oldest.sent_at));
        let silence = now.saturating_duration_since(since);
        let usual = self.answer_time * SILENCE_FACTOR;
        if self.doubt.is_none() && silence >= usual.clamp(SILENCE_TIME, SILENCE_TIME_LIMIT) {
            self.doubt = Some(NodeDoubt {
                since: now,
                cause: format!("no runner heard for {} ms", silence.as_millis()),
            });
        }
    }

    /// Records the first byte of an answer, `took` after its request, over a direct
    /// connection that began at `began_at`.
    ///
    /// Returns the loss that ended, if the log told of it.
    pub fn note_answered(
        &mut self,
        address: net::SocketAddr,
        began_at: time::Instant,
        took: std_time::Duration,
        now: time::Instant,
    ) -> Option<WayLoss> {
        self.note_heard(now);
        self.answer_time = match took >= self.answer_time {
            true => took,
            false => self.answer_time - (self.answer_time - took) / ANSWER_TIME_WEIGHT,
        };
        self.doubt.take_if(|doubt| doubt.since <= began_at);
        self.unanswered.retain(|(_, ended_at)| *ended_at > began_at);
        let way = self.get_mut(address, now);
        let latest = way
            .answered_since
            .map_or(began_at, |since| since.max(began_at));
        way.answered_since = Some(latest);
        way.doubted_at.take_if(|doubted_at| *doubted_at <= began_at);
        let is_lost = way.failed_at.is_some() || self.is_doubted(address);
        match is_lost {
            true => None,
            false => self.get_mut(address, now).end_loss(now),
        }
    }

    /// Records that a direct connection that began at `began_at` ended before a byte of
    /// an answer, unless one came over a later connection. If the same happened to
    /// other runners just before, all direct ways are in doubt.
    pub fn note_unanswered(
        &mut self,
        address: net::SocketAddr,
        cause: &str,
        began_at: time::Instant,
        now: time::Instant,
    ) {
        let way = self.get_mut(address, now);
        if way.answered_since.is_some_and(|since| since > began_at) {
            return;
        }
        way.lost_since.get_or_insert(now);
        way.doubted_at = Some(now);
        cause.clone_into(&mut way.cause);
        match self.unanswered.binary_search_by_key(&address, |end| end.0) {
            Ok(index) => self.unanswered[index].1 = now,
            Err(index) => self.unanswered.insert(index, (address, now)),
        }
        if self.unanswered.len() >= UNANSWERED_LIMIT && self.doubt.is_none() {
            self.unanswered.clear();
            let cause = format!("connections to several runners ended: {cause}");
            self.doubt = Some(NodeDoubt { since: now, cause });
        }
    }

    /// Returns whether direct attempts failed a short time ago, or all ways are in doubt,
    /// and for all that is known it is due to this node and not to the runner. A
    /// connection that ended before an answer shows neither.
    pub fn is_lost_here(&self, address: net::SocketAddr, now: time::Instant) -> bool {
        let confirmed_at = self.get(address).and_then(|way| way.confirmed_at);
        let is_confirmed =
            confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < LOST_TIME);
        let is_lost = self.has_failed(address, now) || self.doubt_of_all(address).is_some();
        is_lost && !is_confirmed
    }

    /// Returns when the latest direct attempt that succeeded did so.
    pub fn reached_at(&self, address: net::SocketAddr) -> Option<time::Instant> {
        self.get(address)?.reached_at
    }

    /// Records that the latest failure is not due to this node.
    pub fn note_confirmed(&mut self, address: net::SocketAddr, now: time::Instant) {
        self.get_mut(address, now).confirmed_at = Some(now);
    }

    /// Returns whether another runner answered over a direct connection that began at
    /// `since` or later.
    pub fn answered_other(&self, address: net::SocketAddr, since: time::Instant) -> bool {
        let mut others = self.ways.iter().filter(|way| way.address != address);
        others.any(|way| way.has_answered(since))
    }

    /// Returns whether this runner did.
    pub fn has_answered(&self, address: net::SocketAddr, since: time::Instant) -> bool {
        self.get(address).is_some_and(|way| way.has_answered(since))
    }

    /// Returns whether a direct connection to this runner ended before an answer at
    /// `since` or later, and none came over a later one.
    pub fn has_ended(&self, address: net::SocketAddr, since: time::Instant) -> bool {
        let doubted_at = self.get(address).and_then(|way| way.doubted_at);
        doubted_at.is_some_and(|doubted_at| doubted_at >= since)
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
        if self.is_doubted(address) {
            return None;
        }
        self.get_mut(address, now).end_loss(now)
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
        let doubt = self.doubt_of_all(address).cloned();
        let way = self.get_mut(address, now);
        if let Some(doubt) = doubt.filter(|_| way.lost_since.is_none()) {
            way.lost_since = Some(doubt.since);
            way.cause = doubt.cause;
        }
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
                        answered_since: None,
                        doubted_at: None,
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
