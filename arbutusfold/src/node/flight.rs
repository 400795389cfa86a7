//! Tracks the requests in flight.

use std::sync;

use super::NodeCore;
use crate::id;

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    core: sync::Arc<NodeCore>,
    request: id::RequestId,
}

impl InFlightGuard {
    /// Adds a request to those in flight.
    pub fn new(core: &sync::Arc<NodeCore>, request: &str) -> Self {
        core.metrics.in_flight.inc();
        core.in_flight.begin(request);
        Self {
            core: sync::Arc::clone(core),
            request: request.to_owned(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.core.metrics.in_flight.dec();
        self.core.in_flight.end(&self.request);
    }
}
