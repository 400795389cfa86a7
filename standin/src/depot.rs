//! The platform's object store, weight store and host list, in memory.

use std::collections;
use std::sync;
use std::time as std_time;

use arbutusfold::platform::ListedHost;
use serde::{Deserialize, Serialize};
use tokio::sync as tokio_sync;
use tokio::time;

/// Bytes that the weight store gives in a second, to all who fetch together.
pub const WEIGHT_BYTES_PER_SECOND: u64 = 1 << 30;

/// What a fetch asks of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WeightFetch {
    /// Bytes to fetch.
    pub bytes: u64,
}

/// A new state of the hosts, which the list shows late.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostChange {
    /// All hosts.
    pub hosts: Vec<ListedHost>,
    /// Time until the list shows them, in milliseconds.
    pub lag_ms: u64,
}

/// Objects, the rate of weights and the hosts of one platform.
#[derive(Debug, Default)]
pub struct PlatformDepot {
    objects: sync::Mutex<collections::BTreeMap<String, bytes::Bytes>>,
    changes: sync::Mutex<Vec<(time::Instant, Vec<ListedHost>)>>,
    weights: tokio_sync::Mutex<()>,
}

impl PlatformDepot {
    /// Stores an object.
    pub fn put(&self, key: &str, object: bytes::Bytes) {
        lock(&self.objects).insert(key.to_owned(), object);
    }

    /// Returns an object.
    pub fn get(&self, key: &str) -> Option<bytes::Bytes> {
        lock(&self.objects).get(key).cloned()
    }

    /// Waits as long as a fetch takes; fetches share the rate.
    pub async fn fetch(&self, fetch: &WeightFetch) {
        let took =
            std_time::Duration::from_secs_f64(fetch.bytes as f64 / WEIGHT_BYTES_PER_SECOND as f64);
        let _turn = self.weights.lock().await;
        time::sleep(took).await;
    }

    /// Changes the hosts; the list shows it after its lag.
    pub fn change_hosts(&self, change: HostChange) {
        let shown = time::Instant::now() + std_time::Duration::from_millis(change.lag_ms);
        lock(&self.changes).push((shown, change.hosts));
    }

    /// Returns the hosts as the list shows them now.
    pub fn hosts(&self) -> Vec<ListedHost> {
        let now = time::Instant::now();
        lock(&self.changes)
            .iter()
            .rev()
            .find(|(shown, _)| *shown <= now)
            .map_or_else(Vec::new, |(_, hosts)| hosts.clone())
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
