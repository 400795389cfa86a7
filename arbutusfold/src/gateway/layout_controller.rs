//! Sends load orders to runners that hold no layers.
//!
//! Any node may act. Nodes are ranked by the hash of their names, and a node
//! waits longer the higher its rank is, so that usually only the first one
//! acts. Safety does not depend on this. The fencing token is the version of a
//! row that the acting node writes conditionally, and runners refuse a token
//! lower than the highest they have seen. A token ends with the era of the store,
//! as the row may be lost with it, and those of the next era are higher. Each order
//! also names the number of orders that the runner has taken before, so that a late
//! order has no effect.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::{document, order, runner, store};
use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::layout;
use crate::gateway::runner_call;
use crate::id;

/// Time between two checks of the layout.
const CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Delay after the start in which nodes discover each other and the runners.
const START_DELAY: std_time::Duration = std_time::Duration::from_millis(600);

/// Time for which the number of runners must stay the same before the first
/// layout is planned, so that the fastest runners are known by then.
const SETTLE_TIME: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Time for which loads must be required before the node of the next rank acts.
const STANDBY_DELAY: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Timeout for a runner's report.
const REPORT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Factor on the expected time of a load after which it counts as failed.
const LOAD_TIMEOUT_FACTOR: u32 = 4;

/// Time added to that, so that the report of the finished load can arrive.
const LOAD_REPORT_DELAY: std_time::Duration = std_time::Duration::from_secs(4);

/// Table of the store that holds the project's own rows.
const LEASE_TABLE: &str = "arbutusfold-duties";

/// Key of the row whose version is the fencing token.
const LEASE_KEY: &str = "layout";

/// A load that was ordered but is not yet reported as finished.
#[derive(Clone, Debug)]
struct PendingLoad {
    runner: id::UpstreamName,
    born_ms: Option<u64>,
    layers: runner::LayerSpan,
    expires: time::Instant,
}

/// A load that has to be ordered.
#[derive(Clone, Debug)]
struct RequiredLoad {
    record: runner::RunnerRecord,
    layers: runner::LayerSpan,
    /// Expected time of the load.
    duration: std_time::Duration,
}

/// The state of the layout control on one node.
struct LayoutController {
    core: sync::Arc<core::GatewayCore>,
    /// Version of the lease row that this node wrote.
    lease: Option<store::RowVersion>,
    pending: Vec<PendingLoad>,
    /// Since when loads have been required.
    needed_since: Option<time::Instant>,
    /// Number of runners at the last check, and since when it has not changed.
    runner_count: (usize, time::Instant),
}

/// Runs the layout control for all models. Never returns.
pub async fn run(core: sync::Arc<core::GatewayCore>) {
    time::sleep(START_DELAY).await;
    let mut controller = LayoutController {
        core,
        lease: None,
        pending: Vec::new(),
        needed_since: None,
        runner_count: (0, time::Instant::now()),
    };
    let mut ticks = time::interval(CHECK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !controller.core.is_stopping() {
            controller.reconcile().await;
        }
    }
}

/// Returns the rank of a host among those that may act, starting from 0.
pub fn standby_rank(host: &str, hosts: &[id::HostName]) -> usize {
    let hash = |host: &str| *blake3::hash(format!("{LEASE_KEY}/{host}").as_bytes()).as_bytes();
    let own = hash(host);
    let before = hosts
        .iter()
        .filter(|other| other.as_str() != host && hash(other) < own);
    before.count()
}

impl LayoutController {
    async fn reconcile(&mut self) {
        let now = time::Instant::now();
        let Some(table) = self.core.routing() else {
            return;
        };
        let engines = table.services().iter().filter_map(|spec| {
            let engine = spec.engine.as_ref()?;
            (!engine.cards.is_empty()).then_some((spec.name.as_str(), engine))
        });
        let required: Vec<_> = engines
            .flat_map(|(service, engine)| self.required_loads(service, engine, now))
            .collect();
        if required.is_empty() {
            self.needed_since = None;
            return;
        }
        let since = *self.needed_since.get_or_insert(now);
        let members = self.core.members.alive();
        let hosts: Vec<_> = members.into_iter().map(|record| record.name).collect();
        let rank = standby_rank(&self.core.settings.name, &hosts) as u32;
        if now.saturating_duration_since(since) < STANDBY_DELAY * rank {
            return;
        }
        let era = self.core.store_era();
        if self.lease.is_none_or(|lease| lease.era < era) {
            self.lease = self.acquire_lease().await;
        }
        let Some(lease) = self.lease else { return };
        let fencing = lease.ordinal();
        let orders = required
            .iter()
            .map(|required| self.send_order(required, fencing));
        let results = futures_util::future::join_all(orders).await;
        for (required, result) in required.into_iter().zip(results) {
            match result {
                OrderResult::Accepted => self.add_pending(required, now),
                OrderResult::Refused => {}
                OrderResult::Fenced => self.lease = None,
            }
        }
        self.needed_since = None;
    }

    /// Returns the loads that a service requires now.
    fn required_loads(
        &mut self,
        service: &str,
        engine: &document::EngineSpec,
        now: time::Instant,
    ) -> Vec<RequiredLoad> {
        let fleet = lock(&self.core.fleet);
        self.pending.retain(|pending| {
            let state = fleet.get(&pending.runner);
            now < pending.expires
                && state.is_some_and(|state| {
                    state.record.started_ms == pending.born_ms && state.layers().is_none()
                })
        });
        let states: Vec<_> = fleet
            .runners()
            .iter()
            .filter(|state| state.record.service == service && state.is_usable(now))
            .collect();
        let runners: Vec<_> = states
            .iter()
            .map(|state| layout::LayoutRunner {
                domain: state.record.domain.clone(),
                card: state.record.card.clone().unwrap_or_default(),
                layers: state
                    .layers()
                    .or_else(|| self.pending_layers(&state.record.id)),
            })
            .collect();
        let loading = self.pending.len();
        // The limit on concurrent loads does not apply while no runner holds or
        // loads layers: the loads share the bandwidth, and the last one finishes
        // at the same time either way.
        let none_loaded = runners.iter().all(|runner| runner.layers.is_none());
        let at_once = match none_loaded {
            true => usize::MAX,
            false => (engine.loads_at_once as usize).saturating_sub(loading),
        };
        if self.runner_count.0 != runners.len() {
            self.runner_count = (runners.len(), now);
        }
        if none_loaded && now.saturating_duration_since(self.runner_count.1) < SETTLE_TIME {
            return Vec::new();
        }
        let assignments = layout::plan(engine, &runners).into_iter().take(at_once);
        assignments
            .map(|assignment| RequiredLoad {
                record: states[assignment.runner].record.clone(),
                layers: assignment.layers,
                duration: engine
                    .load_time
                    .mul_f64(f64::from(assignment.layers.len()) / f64::from(engine.layers)),
            })
            .collect()
    }

    fn pending_layers(&self, id: &str) -> Option<runner::LayerSpan> {
        let pending = self.pending.iter().find(|pending| pending.runner == id);
        pending.map(|pending| pending.layers)
    }

    fn add_pending(&mut self, required: RequiredLoad, now: time::Instant) {
        self.pending.push(PendingLoad {
            runner: required.record.id,
            born_ms: required.record.started_ms,
            layers: required.layers,
            expires: now + required.duration * LOAD_TIMEOUT_FACTOR + LOAD_REPORT_DELAY,
        });
    }

    /// Writes the lease row and returns its new version.
    async fn acquire_lease(&self) -> Option<store::RowVersion> {
        let core = &self.core;
        let rows = match core.call_store(core.store.read(LEASE_TABLE)).await {
            Ok(page) => page.rows,
            Err(error) => {
                core.note(event::EventCode::LeaseLost, LEASE_KEY, error.to_string());
                return None;
            }
        };
        let lease = rows.iter().find(|row| row.key == LEASE_KEY);
        let before = lease.map(|row| row.version).unwrap_or_default();
        let swap = store::RowSwap {
            table: LEASE_TABLE.to_owned(),
            key: LEASE_KEY.to_owned(),
            expected: before,
            value: core.settings.name.clone().into_bytes(),
        };
        match core.call_store(core.store.swap(swap)).await {
            Ok(store::SwapOutcome::Written(version)) => {
                let detail = format!("fencing={} before={before}", version.ordinal());
                core.note(event::EventCode::LeaseTaken, LEASE_KEY, detail);
                Some(version)
            }
            Ok(store::SwapOutcome::Conflict) => {
                let detail = format!("another node wrote the row after version {before}");
                core.note(event::EventCode::LeaseLost, LEASE_KEY, detail);
                None
            }
            Err(error) => {
                core.note(event::EventCode::LeaseLost, LEASE_KEY, error.to_string());
                None
            }
        }
    }

    /// Orders one load, if the runner's own report confirms that it is needed.
    async fn send_order(&self, required: &RequiredLoad, fencing: id::FencingNumber) -> OrderResult {
        let core = &self.core;
        let id = &required.record.id;
        let report =
            match runner_call::report(&*core.dialer, required.record.address, REPORT_TIMEOUT).await
            {
                Ok(report) => report,
                Err(cause) => {
                    core.note(
                        event::EventCode::OrderRefused,
                        id,
                        format!("no report: {cause}"),
                    );
                    return OrderResult::Refused;
                }
            };
        let changed =
            report.started_ms.is_some() && report.started_ms != required.record.started_ms;
        let holds = report.layers.is_some_and(|layers| !layers.is_empty());
        if changed || holds || report.busy {
            let detail = format!("changed={changed} holds={holds} busy={}", report.busy);
            core.note(event::EventCode::OrderRefused, id, detail);
            // A runner that is busy or holds layers will publish them in its
            // entry. Until then it counts as pending and gets no new order.
            return match holds || report.busy {
                true => OrderResult::Accepted,
                false => OrderResult::Refused,
            };
        }
        let guard = order::OrderGuard {
            fencing: Some(fencing),
            expected_orders: Some(report.accepted_orders),
        };
        let placement = order::RunnerOrder::Place {
            layers: required.layers,
        };
        core.metrics.orders.inc();
        let detail = format!(
            "layers={}-{} fencing={fencing} orders={} load_ms={}",
            required.layers.from,
            required.layers.to,
            report.accepted_orders,
            required.duration.as_millis()
        );
        let record = &required.record;
        match runner_call::order(&*core.dialer, record.address, &record.id, &placement, guard).await
        {
            Ok(order::OrderAnswer::Begun | order::OrderAnswer::Holds) => {
                core.note(event::EventCode::OrderTaken, id, detail);
                OrderResult::Accepted
            }
            Ok(order::OrderAnswer::Fenced) => {
                core.note(
                    event::EventCode::OrderRefused,
                    id,
                    format!("fenced {detail}"),
                );
                OrderResult::Fenced
            }
            Ok(answer) => {
                core.note(
                    event::EventCode::OrderRefused,
                    id,
                    format!("{answer:?} {detail}"),
                );
                OrderResult::Refused
            }
            Err(cause) => {
                core.note(
                    event::EventCode::OrderUnknown,
                    id,
                    format!("{cause} {detail}"),
                );
                OrderResult::Accepted
            }
        }
    }
}

/// The result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderResult {
    /// The runner took the order, or may have taken it.
    Accepted,
    /// The order had no effect.
    Refused,
    /// Another node acts with a higher fencing token.
    Fenced,
}
