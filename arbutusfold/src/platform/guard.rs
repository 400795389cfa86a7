//! Rate shares and a breaker in front of the table service.

use std::sync;
use std::time as std_time;

use async_trait::async_trait;
use tokio::time;

use crate::platform;

/// Transactions a second that the table service takes from all nodes.
const STORE_WRITES_PER_SECOND: f64 = 300.0;

/// Reads a second that the table service takes from all nodes.
const STORE_READS_PER_SECOND: f64 = 1_900.0;

/// Calls of one kind that a node may make at once after a pause.
const SHARE_BURST: f64 = 16.0;

/// Longest time that a call waits for its share.
const MAX_SHARE_WAIT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Failures in a row that open the breaker.
const BREAKER_FAILURES: u32 = 8;

/// Time for which the breaker stays open.
const BREAKER_OPEN_TIME: std_time::Duration = std_time::Duration::from_millis(500);

/// A node's share of a rate: a token bucket whose debt is waited for.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: time::Instant,
}

impl TokenBucket {
    /// Creates a full share of `per_second` calls.
    pub fn new(per_second: f64, now: time::Instant) -> Self {
        Self {
            per_second,
            tokens: SHARE_BURST,
            refilled_at: now,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, per_second: f64, now: time::Instant) {
        self.refill(now);
        self.per_second = per_second;
    }

    /// Takes one call and returns how long it must wait, or nothing when the
    /// wait would be longer than `max_wait`.
    pub fn reserve(
        &mut self,
        now: time::Instant,
        max_wait: std_time::Duration,
    ) -> Option<std_time::Duration> {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = std_time::Duration::from_secs_f64(missing / self.per_second);
        if wait > max_wait {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = SHARE_BURST.min(self.tokens + elapsed * self.per_second);
        self.refilled_at = now;
    }
}

/// Stops calls for a pause after several failures in a row.
#[derive(Clone, Debug, Default)]
pub struct CallBreaker {
    failures: u32,
    open_until: Option<time::Instant>,
}

impl CallBreaker {
    /// Tells whether a call may be made; after a pause, one at a time.
    pub fn permits(&mut self, now: time::Instant) -> bool {
        match self.open_until {
            None => true,
            Some(until) if now < until => false,
            Some(_) => {
                // The next caller waits for the outcome of this one.
                self.open_until = Some(now + BREAKER_OPEN_TIME);
                true
            }
        }
    }

    /// Notes the outcome of a call.
    pub fn record(&mut self, answered: bool, now: time::Instant) {
        if answered {
            *self = Self::default();
            return;
        }
        self.failures += 1;
        if self.failures >= BREAKER_FAILURES {
            self.open_until = Some(now + BREAKER_OPEN_TIME);
        }
    }
}

#[derive(Debug)]
struct GuardState {
    reads: TokenBucket,
    writes: TokenBucket,
    breaker: CallBreaker,
}

/// A table client that keeps to the node's share and rests while nothing answers.
///
/// A call that it holds back was not sent, so its failure is definite.
pub struct GuardedTable {
    table: sync::Arc<dyn platform::TableClient>,
    state: sync::Mutex<GuardState>,
}

#[derive(Clone, Copy)]
enum CallKind {
    Read,
    Write,
}

impl GuardedTable {
    /// Creates a guard for a node that is alone so far.
    pub fn new(table: sync::Arc<dyn platform::TableClient>) -> Self {
        let now = time::Instant::now();
        let state = GuardState {
            reads: TokenBucket::new(STORE_READS_PER_SECOND, now),
            writes: TokenBucket::new(STORE_WRITES_PER_SECOND, now),
            breaker: CallBreaker::default(),
        };
        Self {
            table,
            state: sync::Mutex::new(state),
        }
    }

    /// Sets the number of nodes that share the store's rates.
    pub fn set_nodes(&self, nodes: usize) {
        let now = time::Instant::now();
        let nodes = nodes.max(1) as f64;
        let mut state = self.lock();
        state.reads.set_rate(STORE_READS_PER_SECOND / nodes, now);
        state.writes.set_rate(STORE_WRITES_PER_SECOND / nodes, now);
    }

    async fn admit(&self, kind: CallKind) -> Result<(), platform::PlatformError> {
        let refuse = |reason: &str| platform::PlatformError::Failed {
            reason: reason.to_owned(),
        };
        let wait = {
            let now = time::Instant::now();
            let mut state = self.lock();
            if !state.breaker.permits(now) {
                return Err(refuse("the platform did not answer; calls rest"));
            }
            let share = match kind {
                CallKind::Read => &mut state.reads,
                CallKind::Write => &mut state.writes,
            };
            share.reserve(now, MAX_SHARE_WAIT)
        };
        let wait = wait.ok_or_else(|| refuse("the node's share of the store is used up"))?;
        if !wait.is_zero() {
            time::sleep(wait).await;
        }
        Ok(())
    }

    fn record_outcome<T>(
        &self,
        answer: Result<T, platform::PlatformError>,
    ) -> Result<T, platform::PlatformError> {
        self.lock()
            .breaker
            .record(answer.is_ok(), time::Instant::now());
        answer
    }

    fn lock(&self) -> sync::MutexGuard<'_, GuardState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

#[async_trait]
impl platform::TableClient for GuardedTable {
    async fn read(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<platform::TableRow>, platform::PlatformError> {
        self.admit(CallKind::Read).await?;
        self.record_outcome(self.table.read(table, key).await)
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<platform::TableRow>, platform::PlatformError> {
        self.admit(CallKind::Read).await?;
        self.record_outcome(self.table.scan(table, prefix, after, limit).await)
    }

    async fn commit(
        &self,
        transaction: platform::TableTransaction,
    ) -> Result<platform::CommitOutcome, platform::PlatformError> {
        self.admit(CallKind::Write).await?;
        self.record_outcome(self.table.commit(transaction).await)
    }
}
