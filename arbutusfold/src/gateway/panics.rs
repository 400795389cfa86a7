//! Panics: each one is counted and recorded, and fails only what its task was doing.

use std::convert;
use std::panic;
use std::sync;
use std::time as std_time;

use futures_util::FutureExt;
use prometheus_client::metrics::counter;
use tokio::{task, time};

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::response;

/// Most panics that wait to be recorded; further ones are only counted.
const WAITING_LIMIT: usize = 16;

/// Most panics that the standard hook reports, too; its output is not bounded.
const REPORT_LIMIT: u64 = 64;

/// Most characters of a message that are recorded.
const MESSAGE_LIMIT: usize = 256;

/// Time after which a background task that panicked is started again. The cause may
/// be a row that is still in the store, so it is not started again at once.
const RESTART_DELAY: std_time::Duration = std_time::Duration::from_secs(1);

/// Place and message of a panic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PanicRecord {
    /// File and line.
    pub location: String,
    /// Message.
    pub message: String,
}

/// Panics that are not recorded yet.
///
/// A panic can happen anywhere, also while locks are held, so nothing here waits
/// when it is reported.
#[derive(Debug)]
pub struct PanicLog {
    waiting: sync::Mutex<Vec<PanicRecord>>,
    count: counter::Counter,
}

impl PanicLog {
    /// Creates an empty log that counts panics in `count`.
    pub fn new(count: counter::Counter) -> Self {
        Self {
            waiting: sync::Mutex::default(),
            count,
        }
    }

    /// Adds a panic and returns how many there were before.
    fn push(&self, info: &panic::PanicHookInfo<'_>) -> u64 {
        let before = self.count.inc();
        let Ok(mut waiting) = self.waiting.try_lock() else {
            return before;
        };
        if waiting.len() < WAITING_LIMIT {
            let location = info.location();
            let payload = info.payload();
            let text = payload.downcast_ref::<&str>().copied();
            let owned = || payload.downcast_ref::<String>().map(String::as_str);
            let message = text.or_else(owned).unwrap_or("no message");
            waiting.push(PanicRecord {
                location: location.map_or_else(String::new, ToString::to_string),
                message: message.chars().take(MESSAGE_LIMIT).collect(),
            });
        }
        before
    }

    /// Removes and returns the panics that are not recorded yet.
    pub fn take(&self) -> Vec<PanicRecord> {
        std::mem::take(&mut *lock(&self.waiting))
    }
}

/// Reports the panics of all threads to a log.
pub fn install(log: &sync::Arc<PanicLog>) {
    let log = sync::Arc::clone(log);
    let standard = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        if log.push(info) < REPORT_LIMIT {
            standard(info);
        }
    }));
}

/// Records the panics that are not recorded yet.
pub fn record(core: &core::GatewayCore) {
    for panic in core.panics.take() {
        core.note(
            event::EventCode::TaskPanicked,
            &panic.location,
            panic.message,
        );
    }
}

/// Does some work; if it panics, only that work fails.
pub fn contain(work: impl FnOnce()) {
    // No panic leaves shared state half changed; see `core::lock`.
    let _ = panic::catch_unwind(panic::AssertUnwindSafe(work));
}

/// Spawns a background task of a node and starts it again if it panics.
pub fn spawn<F>(
    core: &sync::Arc<core::GatewayCore>,
    start: impl Fn(sync::Arc<core::GatewayCore>) -> F + Send + 'static,
) -> task::JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let core = sync::Arc::clone(core);
    tokio::spawn(async move {
        loop {
            let work = panic::AssertUnwindSafe(start(sync::Arc::clone(&core)));
            if work.catch_unwind().await.is_ok() {
                return;
            }
            time::sleep(RESTART_DELAY).await;
        }
    })
}

/// Answers a request; if that panics, the caller learns that the request failed
/// instead of losing its connection. It may have run.
pub async fn answer(
    handling: impl Future<Output = Result<response::GatewayResponse, convert::Infallible>>,
) -> Result<response::GatewayResponse, convert::Infallible> {
    let handled = panic::AssertUnwindSafe(handling).catch_unwind().await;
    handled.unwrap_or_else(|_| {
        let cause = "the node failed while it handled the request";
        let refusal =
            response::GatewayRefusal::failed(http::StatusCode::INTERNAL_SERVER_ERROR, cause);
        Ok(refusal.to_response())
    })
}
