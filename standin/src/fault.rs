//! Faults that a stand-in takes at run time.

use std::sync;
use std::time;

use serde::{Deserialize, Serialize};

/// Path at which a stand-in takes its faults.
pub const FAULT_PATH: &str = "/faults";

/// The faults of one stand-in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Refuse every call.
    pub outage: bool,
    /// Delay of every call in milliseconds.
    pub delay_ms: u64,
    /// Begin an outage right after the next transaction took effect.
    pub outage_after_commit: bool,
    /// Number of calls whose answer is lost after they took effect.
    pub lose_answers: u32,
    /// Answer no call until cleared.
    pub freeze: bool,
    /// End the process when a request's prompt contains this text.
    pub crash_on: Option<String>,
    /// Report that the upstream is leaving.
    pub leaving: bool,
    /// Age of the load that is reported, in milliseconds.
    pub report_late_ms: u64,
    /// Ports of engines to which the link is cut.
    pub cut_links: Vec<u16>,
    /// Send crossed, late and doubled tokens beside each true one.
    pub stray_tokens: bool,
}

/// Shared faults of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    plan: sync::Arc<sync::Mutex<FaultPlan>>,
}

impl FaultSwitch {
    /// Replaces the faults.
    pub fn set(&self, plan: FaultPlan) {
        *self.lock() = plan;
    }

    /// Returns the faults.
    pub fn plan(&self) -> FaultPlan {
        self.lock().clone()
    }

    /// Takes one answer to lose, if one is left.
    pub fn take_lost(&self) -> bool {
        let mut plan = self.lock();
        let lost = plan.lose_answers > 0;
        plan.lose_answers = plan.lose_answers.saturating_sub(1);
        lost
    }

    /// Begins an outage if one is to follow a transaction.
    pub fn note_commit(&self) {
        let mut plan = self.lock();
        plan.outage |= plan.outage_after_commit;
        plan.outage_after_commit = false;
    }

    /// Waits as the faults demand.
    pub async fn wait(&self) {
        let delay = time::Duration::from_millis(self.plan().delay_ms);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        while self.plan().freeze {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, FaultPlan> {
        self.plan
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
