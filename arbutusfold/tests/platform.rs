//! Tests of the rate limits and the circuit breaker of the table service.

#![allow(clippy::unwrap_used)]

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::platform;
use arbutusfold::platform::TableClient;
use async_trait::async_trait;
use tokio::time;

/// A table that counts its calls and fails them while `failing` is set.
#[derive(Default)]
struct CountingTable {
    failing: atomic::AtomicBool,
    calls: atomic::AtomicU32,
}

impl CountingTable {
    fn answer<T>(&self, answer: T) -> Result<T, platform::PlatformError> {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        match self.failing.load(atomic::Ordering::Relaxed) {
            true => Err(platform::PlatformError::Unknown {
                reason: "silent".to_owned(),
            }),
            false => Ok(answer),
        }
    }
}

#[async_trait]
impl platform::TableClient for CountingTable {
    async fn read(
        &self,
        _: &str,
        _: &str,
    ) -> Result<Option<platform::TableRow>, platform::PlatformError> {
        self.answer(None)
    }

    async fn scan(
        &self,
        _: &str,
        _: &str,
        _: &str,
        _: usize,
    ) -> Result<Vec<platform::TableRow>, platform::PlatformError> {
        self.answer(Vec::new())
    }

    async fn commit(
        &self,
        _: platform::TableTransaction,
    ) -> Result<platform::CommitOutcome, platform::PlatformError> {
        self.answer(platform::CommitOutcome::Committed)
    }
}

fn guarded() -> (sync::Arc<CountingTable>, platform::GuardedTable) {
    let table = sync::Arc::new(CountingTable::default());
    let guard = platform::GuardedTable::new(sync::Arc::<CountingTable>::clone(&table));
    (table, guard)
}

#[tokio::test(start_paused = true)]
async fn nodes_share_the_writes_of_the_store() {
    let (table, guard) = guarded();
    guard.set_nodes(10);
    let end = time::Instant::now() + std_time::Duration::from_secs(10);
    while time::Instant::now() < end {
        let _ = guard.commit(platform::TableTransaction::default()).await;
    }
    let calls = table.calls.load(atomic::Ordering::Relaxed);
    // The total of 300 per second gives this node 30 per second, after an initial
    // burst.
    assert!((290..=320).contains(&calls), "{calls} writes in 10 s");
}

#[tokio::test(start_paused = true)]
async fn a_call_that_was_held_back_failed_for_certain() {
    let (table, guard) = guarded();
    table.failing.store(true, atomic::Ordering::Relaxed);
    for _ in 0..8 {
        let unknown = guard.commit(platform::TableTransaction::default()).await;
        assert!(matches!(
            unknown,
            Err(platform::PlatformError::Unknown { .. })
        ));
    }
    let rejected = guard.commit(platform::TableTransaction::default()).await;
    assert!(matches!(
        rejected,
        Err(platform::PlatformError::Failed { .. })
    ));
    assert_eq!(table.calls.load(atomic::Ordering::Relaxed), 8);

    table.failing.store(false, atomic::Ordering::Relaxed);
    time::sleep(std_time::Duration::from_millis(600)).await;
    assert!(guard.read("t", "k").await.is_ok());
    assert!(guard.read("t", "k").await.is_ok());
}
