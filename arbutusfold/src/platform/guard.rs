//! Rate limits and a circuit breaker for calls of the table service.

use std::sync;
use std::time as std_time;

use async_trait::async_trait;
use tokio::time;

use crate::platform;

/// Transactions per second that the table service accepts from all nodes in total.
const STORE_WRITES_PER_SECOND: f64 = 300.0;

/// Reads per second that the table service accepts from all nodes in total.
const STORE_READS_PER_SECOND: f64 = 1_900.0;

/// Capacity of the token bucket of each kind of call: the burst that a node may
/// send after a pause.
const BUCKET_CAPACITY: f64 = 16.0;

/// Maximum time that a call waits for a token.
const MAX_TOKEN_WAIT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Number of consecutive failures that open the breaker.
const BREAKER_FAILURES: u32 = 8;

/// Time for which the breaker stays open before it lets a trial call through.
const BREAKER_OPEN_TIME: std_time::Duration = std_time::Duration::from_millis(500);

/// Token bucket that limits one kind of call to the node's share of a rate.
///
/// A call may take a token in advance and wait until the bucket has refilled.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: time::Instant,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `per_second` tokens per second.
    pub fn new(per_second: f64, now: time::Instant) -> Self {
        Self {
            per_second,
            tokens: BUCKET_CAPACITY,
            refilled_at: now,
        }
    }

    /// Changes the refill rate to `per_second`.
    pub fn set_rate(&mut self, per_second: f64, now: time::Instant) {
        self.refill(now);
        self.per_second = per_second;
    }

    /// Takes a token for one call and returns how long the call must wait, or
    /// takes nothing and returns `None` if that is longer than `max_wait`.
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
        self.tokens = BUCKET_CAPACITY.min(self.tokens + elapsed * self.per_second);
        self.refilled_at = now;
    }
}

/// Circuit breaker that rejects calls for a time after consecutive failures.
#[derive(Clone, Debug, Default)]
pub struct CallBreaker {
    failures: u32,
    open_until: Option<time::Instant>,
}

impl CallBreaker {
    /// Returns whether a call may be made. An open breaker permits one trial call at
    /// the end of each period until a call succeeds.
    pub fn permits(&mut self, now: time::Instant) -> bool {
        match self.open_until {
            None => true,
            Some(until) if now < until => false,
            Some(_) => {
                // Rejects other calls until the outcome of this one is known or the
                // time is over.
                self.open_until = Some(now + BREAKER_OPEN_TIME);
                true
            }
        }
    }

    /// Records the outcome of a call.
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

/// A table client that limits the node's calls to its share of the store's rates
/// and stops them while the service does not answer.
///
/// A rejected call was never sent, so it returns
/// [`platform::PlatformError::Failed`].
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
    /// Creates a guard for a single node, which has the whole rates.
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

    /// Sets the number of nodes among which the store's rates are divided.
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
            let bucket = match kind {
                CallKind::Read => &mut state.reads,
                CallKind::Write => &mut state.writes,
            };
            bucket.reserve(now, MAX_TOKEN_WAIT)
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
