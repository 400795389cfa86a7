//! A table service in memory that fails as the platform may.

use std::sync;
use std::time as std_time;

use arbutusfold::platform;
use arbutusfold_standin::platform as standin;
use async_trait::async_trait;
use rand::{RngExt, SeedableRng};
use tokio::time;

/// Longest delay of a write whose answer was given up.
const LATE_LIMIT_MS: u64 = 8_000;

/// Time after which a call without an answer is given up.
const GIVE_UP: std_time::Duration = std_time::Duration::from_millis(1_500);

/// How the service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableWeather {
    /// Refuse or lose every call.
    pub outage: bool,
    /// Calls in a hundred that go wrong in some way.
    pub faults: u32,
}

struct FakeState {
    store: standin::TableStore,
    weather: TableWeather,
    random: rand_chacha::ChaCha8Rng,
}

/// A table service in memory.
#[derive(Clone)]
pub struct FakeTable {
    state: sync::Arc<sync::Mutex<FakeState>>,
    trip: std_time::Duration,
}

enum CommitFault {
    None,
    Refused,
    Dropped,
    AnswerLost,
    Late(std_time::Duration),
}

impl FakeTable {
    /// Creates an empty table whose calls take `trip` and fail by `seed`.
    pub fn new(seed: u64, trip: std_time::Duration) -> Self {
        let state = FakeState {
            store: standin::TableStore::default(),
            weather: TableWeather::default(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            trip,
        }
    }

    /// Changes how the service behaves from now on.
    pub fn set_weather(&self, weather: TableWeather) {
        self.lock().weather = weather;
    }

    /// Returns the number of transactions that took effect.
    pub fn commits(&self) -> u64 {
        self.lock().store.commits()
    }

    /// Looks at a row without a call.
    pub fn peek(&self, table: &str, key: &str) -> Option<platform::TableRow> {
        self.lock().store.read(&platform::ReadQuery {
            table: table.to_owned(),
            key: key.to_owned(),
        })
    }

    /// Lets a hand from outside change the rows.
    pub fn with_store<T>(&self, change: impl FnOnce(&mut standin::TableStore) -> T) -> T {
        change(&mut self.lock().store)
    }

    fn lock(&self) -> sync::MutexGuard<'_, FakeState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn commit_fault(&self) -> CommitFault {
        let mut state = self.lock();
        let state = &mut *state;
        if state.weather.outage {
            return match state.random.random_bool(0.5) {
                true => CommitFault::Refused,
                false => CommitFault::Dropped,
            };
        }
        if state.random.random_range(0..100) >= state.weather.faults {
            return CommitFault::None;
        }
        match state.random.random_range(0..4) {
            0 => CommitFault::Refused,
            1 => CommitFault::Dropped,
            2 => CommitFault::AnswerLost,
            _ => {
                let delay = state.random.random_range(0..LATE_LIMIT_MS);
                CommitFault::Late(std_time::Duration::from_millis(delay))
            }
        }
    }

    fn read_fails(&self) -> bool {
        let mut state = self.lock();
        let state = &mut *state;
        state.weather.outage || state.random.random_range(0..100) < state.weather.faults
    }

    fn delay(&self) -> std_time::Duration {
        let part = self.lock().random.random_range(50..150);
        self.trip * part / 100
    }

    async fn read_rows<T>(
        &self,
        read: impl FnOnce(&standin::TableStore) -> T,
    ) -> Result<T, platform::PlatformError> {
        time::sleep(self.delay() / 2).await;
        let failed = self.read_fails();
        let rows = read(&self.lock().store);
        time::sleep(self.delay() / 2).await;
        match failed {
            true => Err(unknown()),
            false => Ok(rows),
        }
    }
}

fn unknown() -> platform::PlatformError {
    platform::PlatformError::Unknown {
        reason: "no answer".to_owned(),
    }
}

#[async_trait]
impl platform::TableClient for FakeTable {
    async fn read(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<platform::TableRow>, platform::PlatformError> {
        let query = platform::ReadQuery {
            table: table.to_owned(),
            key: key.to_owned(),
        };
        self.read_rows(|store| store.read(&query)).await
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<platform::TableRow>, platform::PlatformError> {
        let query = platform::ScanQuery {
            table: table.to_owned(),
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        self.read_rows(|store| store.scan(&query)).await
    }

    async fn commit(
        &self,
        transaction: platform::TableTransaction,
    ) -> Result<platform::CommitOutcome, platform::PlatformError> {
        // The service goes on when the process that called it is paused or dead.
        let table = self.clone();
        let trip = tokio::spawn(async move {
            let fault = table.commit_fault();
            time::sleep(table.delay() / 2).await;
            match fault {
                CommitFault::None => {
                    let outcome = table.lock().store.commit(transaction);
                    time::sleep(table.delay() / 2).await;
                    Ok(outcome)
                }
                CommitFault::Refused => Err(platform::PlatformError::Failed {
                    reason: "refused".to_owned(),
                }),
                CommitFault::Dropped => {
                    time::sleep(GIVE_UP).await;
                    Err(unknown())
                }
                CommitFault::AnswerLost => {
                    table.lock().store.commit(transaction);
                    Err(unknown())
                }
                CommitFault::Late(delay) => {
                    tokio::spawn(async move {
                        time::sleep(delay).await;
                        table.lock().store.commit(transaction);
                    });
                    time::sleep(GIVE_UP.min(delay)).await;
                    Err(unknown())
                }
            }
        });
        trip.await.unwrap_or_else(|_| Err(unknown()))
    }
}
