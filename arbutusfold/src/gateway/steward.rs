//! Orders layers for runners that hold none.
//!
//! Any node may act. Nodes stand in line by the hash of their names and a
//! later one acts only when the need lasts, so that mostly one does. What
//! makes it safe is the fencing token, the version of a row that the acting
//! node writes under a condition: runners refuse a lower one than they saw,
//! and an order names how many orders the runner took before, so that it has
//! no effect when it arrives late.

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

/// Time between two looks at the layout.
const LOOK_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Time that nodes have at first to find each other and the runners.
const START_PAUSE: std_time::Duration = std_time::Duration::from_millis(600);

/// Time without a new runner after which the first layout is planned: the
/// fastest runners are to be among those that are known.
const SETTLE_PAUSE: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Time for which a need must last before the next node in line acts.
const LINE_PAUSE: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Longest time for a runner's report.
const REPORT_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Factor on the time of a load after which it counts as failed.
const LOAD_SLACK: u32 = 4;

/// Time added to that, for the report of the load's end to arrive.
const LOAD_REPORT: std_time::Duration = std_time::Duration::from_secs(4);

/// Table of the project's own rows in the store.
const DUTY_TABLE: &str = "arbutusfold-duties";

/// Key of the row whose version is the fencing token.
const LAYOUT_KEY: &str = "layout";

/// A load that was ordered and is not reported yet.
#[derive(Clone, Debug)]
struct PendingLoad {
    runner: id::UpstreamName,
    born_ms: Option<u64>,
    layers: runner::LayerSpan,
    expires: time::Instant,
}

/// A load that is to be ordered.
#[derive(Clone, Debug)]
struct WantedLoad {
    record: runner::RunnerRecord,
    layers: runner::LayerSpan,
    load: std_time::Duration,
}

/// What one node knows of the layout's orders.
struct LayoutSteward {
    core: sync::Arc<core::GatewayCore>,
    fencing: Option<id::FencingNumber>,
    pending: Vec<PendingLoad>,
    /// Since when runners without layers are seen.
    needed: Option<time::Instant>,
    /// Runners of the last look, and since when there are as many.
    settled: (usize, time::Instant),
}

/// Keeps the layout of all models.
pub async fn keep(core: sync::Arc<core::GatewayCore>) {
    time::sleep(START_PAUSE).await;
    let mut steward = LayoutSteward {
        core,
        fencing: None,
        pending: Vec::new(),
        needed: None,
        settled: (0, time::Instant::now()),
    };
    let mut ticks = time::interval(LOOK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !steward.core.is_stopping() {
            steward.look().await;
        }
    }
}

/// Returns the place of a host in the line of those that may act, from 0.
pub fn line_place(host: &str, hosts: &[id::HostName]) -> usize {
    let rank = |host: &str| *blake3::hash(format!("{LAYOUT_KEY}/{host}").as_bytes()).as_bytes();
    let own = rank(host);
    let before = hosts
        .iter()
        .filter(|other| other.as_str() != host && rank(other) < own);
    before.count()
}

impl LayoutSteward {
    async fn look(&mut self) {
        let now = time::Instant::now();
        let Some(table) = self.core.routing() else {
            return;
        };
        let engines = table.services().iter().filter_map(|spec| {
            let engine = spec.engine.as_ref()?;
            (!engine.cards.is_empty()).then_some((spec.name.as_str(), engine))
        });
        let wanted: Vec<_> = engines
            .flat_map(|(service, engine)| self.wanted(service, engine, now))
            .collect();
        if wanted.is_empty() {
            self.needed = None;
            return;
        }
        let since = *self.needed.get_or_insert(now);
        let members = self.core.members.alive();
        let hosts: Vec<_> = members.into_iter().map(|record| record.name).collect();
        let place = line_place(&self.core.settings.name, &hosts) as u32;
        if now.saturating_duration_since(since) < LINE_PAUSE * place {
            return;
        }
        if self.fencing.is_none() {
            self.fencing = self.take_fencing().await;
        }
        let Some(fencing) = self.fencing else { return };
        let orders = wanted.iter().map(|wanted| self.order(wanted, fencing));
        let results = futures_util::future::join_all(orders).await;
        for (wanted, taken) in wanted.into_iter().zip(results) {
            match taken {
                OrderResult::Taken => self.expect(wanted, now),
                OrderResult::Refused => {}
                OrderResult::Fenced => self.fencing = None,
            }
        }
        self.needed = None;
    }

    /// Returns the loads that a service needs now.
    fn wanted(
        &mut self,
        service: &str,
        engine: &document::EngineSpec,
        now: time::Instant,
    ) -> Vec<WantedLoad> {
        let fleet = lock(&self.core.fleet);
        self.pending.retain(|pending| {
            let state = fleet.get(&pending.runner);
            now < pending.expires
                && state.is_some_and(|state| {
                    state.record.born_ms == pending.born_ms && state.layers().is_none()
                })
        });
        let states: Vec<_> = fleet
            .runners()
            .iter()
            .filter(|state| state.record.service == service && state.is_usable(now))
            .collect();
        let slots: Vec<_> = states
            .iter()
            .map(|state| layout::LayoutSlot {
                domain: state.record.domain.clone(),
                card: state.record.card.clone().unwrap_or_default(),
                layers: state.layers().or_else(|| self.loading(&state.record.id)),
            })
            .collect();
        let loading = self.pending.len();
        // Before anything is loaded all loads may share the way: the last one
        // ends at the same time.
        let first = slots.iter().all(|slot| slot.layers.is_none());
        let at_once = match first {
            true => usize::MAX,
            false => (engine.loads_at_once as usize).saturating_sub(loading),
        };
        if self.settled.0 != slots.len() {
            self.settled = (slots.len(), now);
        }
        if first && now.saturating_duration_since(self.settled.1) < SETTLE_PAUSE {
            return Vec::new();
        }
        let choices = layout::plan(engine, &slots).into_iter().take(at_once);
        choices
            .map(|choice| WantedLoad {
                record: states[choice.slot].record.clone(),
                layers: choice.layers,
                load: engine
                    .load
                    .mul_f64(f64::from(choice.layers.len()) / f64::from(engine.layers)),
            })
            .collect()
    }

    fn loading(&self, id: &str) -> Option<runner::LayerSpan> {
        let pending = self.pending.iter().find(|pending| pending.runner == id);
        pending.map(|pending| pending.layers)
    }

    fn expect(&mut self, wanted: WantedLoad, now: time::Instant) {
        self.pending.push(PendingLoad {
            runner: wanted.record.id,
            born_ms: wanted.record.born_ms,
            layers: wanted.layers,
            expires: now + wanted.load * LOAD_SLACK + LOAD_REPORT,
        });
    }

    /// Takes the duty: the version of the written row is the fencing token.
    async fn take_fencing(&self) -> Option<id::FencingNumber> {
        let core = &self.core;
        core.metrics.store_calls.inc();
        let rows = match core.store.read(DUTY_TABLE).await {
            Ok(page) => page.rows,
            Err(error) => {
                core.note(event::EventCode::LeaseLost, LAYOUT_KEY, error.to_string());
                return None;
            }
        };
        let held = rows.iter().find(|row| row.key == LAYOUT_KEY);
        let before = held.map_or(0, |row| row.version);
        let swap = store::RowSwap {
            table: DUTY_TABLE.to_owned(),
            key: LAYOUT_KEY.to_owned(),
            expected: before,
            value: core.settings.name.clone().into_bytes(),
        };
        core.metrics.store_calls.inc();
        match core.store.swap(swap).await {
            Ok(store::SwapOutcome::Done(version)) => {
                let detail = format!("fencing={version} before={before}");
                core.note(event::EventCode::LeaseTaken, LAYOUT_KEY, detail);
                Some(version)
            }
            Ok(store::SwapOutcome::Conflict) => {
                let detail = format!("another node wrote after {before}");
                core.note(event::EventCode::LeaseLost, LAYOUT_KEY, detail);
                None
            }
            Err(error) => {
                core.note(event::EventCode::LeaseLost, LAYOUT_KEY, error.to_string());
                None
            }
        }
    }

    /// Orders one load, if the runner's own report still agrees.
    async fn order(&self, wanted: &WantedLoad, fencing: id::FencingNumber) -> OrderResult {
        let core = &self.core;
        let id = &wanted.record.id;
        let report = match runner_call::report(wanted.record.address, REPORT_LIMIT).await {
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
        let changed = report.born_ms.is_some() && report.born_ms != wanted.record.born_ms;
        let holds = report.layers.is_some_and(|layers| !layers.is_empty());
        if changed || holds || report.busy {
            let detail = format!("changed={changed} holds={holds} busy={}", report.busy);
            core.note(event::EventCode::OrderRefused, id, detail);
            // Its entry will say what it holds; until then it is not asked again.
            return match holds || report.busy {
                true => OrderResult::Taken,
                false => OrderResult::Refused,
            };
        }
        let guard = order::OrderGuard {
            fencing: Some(fencing),
            orders: Some(report.orders),
        };
        let place = order::RunnerOrder::Place {
            layers: wanted.layers,
        };
        core.metrics.orders.inc();
        let detail = format!(
            "layers={}-{} fencing={fencing} orders={} load_ms={}",
            wanted.layers.from,
            wanted.layers.to,
            report.orders,
            wanted.load.as_millis()
        );
        let record = &wanted.record;
        match runner_call::order(record.address, &record.id, &place, guard).await {
            Ok(order::OrderAnswer::Begun | order::OrderAnswer::Holds) => {
                core.note(event::EventCode::OrderTaken, id, detail);
                OrderResult::Taken
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
                OrderResult::Taken
            }
        }
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderResult {
    /// It was or may have been taken.
    Taken,
    /// It had no effect.
    Refused,
    /// Another node acts under a higher fencing token.
    Fenced,
}
