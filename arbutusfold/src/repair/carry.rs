//! The shell of lease, repair and orders: carries their actions out.

use std::sync;
use std::time as std_time;

use futures_util::future;
use tokio::time;

use crate::client;
use crate::event;
use crate::id;
use crate::lease;
use crate::node;
use crate::order;
use crate::platform;
use crate::repair;
use crate::upstream;

/// Key of the lease under which repairs are ordered.
pub const REPAIR_LEASE: &str = "repair";

/// Longest time that an engine takes to answer an order.
const ORDER_TIME_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Time between two removals of old records by the holder.
const SWEEP_PERIOD: std_time::Duration = std_time::Duration::from_secs(30);

/// Keeps the lease while a node is a candidate, and repairs while it holds it.
pub async fn keep(core: sync::Arc<node::NodeCore>) {
    let mut state = CarryState {
        machine: lease::LeaseMachine::new(core.settings.name.clone(), core.incarnation),
        orders: order::OrderKeeper::default(),
        keeper: repair::RepairKeeper::default(),
        fencing: 0,
        lacking: Vec::new(),
        swept: time::Instant::now(),
    };
    let mut ticks = time::interval(lease::LEASE_BEAT);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        hear_reports(&core, &mut state.keeper);
        let alive: Vec<id::HostName> = core
            .members
            .alive()
            .into_iter()
            .map(|member| member.name)
            .collect();
        let holds = state.machine.held(time::Instant::now()).is_some();
        if holds || lease::is_candidate(REPAIR_LEASE, &core.settings.name, &alive) {
            beat(core.table.as_ref(), &mut state.machine).await;
        }
        follow_lease(&core, &mut state);
        if let Some(held) = state.machine.held(time::Instant::now()) {
            repair_once(&core, &mut state, held).await;
        }
    }
}

struct CarryState {
    machine: lease::LeaseMachine,
    orders: order::OrderKeeper,
    keeper: repair::RepairKeeper,
    /// Fencing number of the lease that was held last, 0 while none is.
    fencing: id::FencingNumber,
    lacking: Vec<String>,
    swept: time::Instant,
}

/// Reads the lease once and writes it if the machine says so.
pub async fn beat(table: &dyn platform::TableClient, machine: &mut lease::LeaseMachine) {
    let event = match read_lease(table).await {
        Ok(seen) => lease::LeaseEvent::Seen(seen),
        Err(_) => lease::LeaseEvent::Unseen,
    };
    let action = machine.next(event, time::Instant::now());
    let lease::LeaseAction::Commit { version, row } = action else {
        return;
    };
    let transaction = platform::TableTransaction {
        checks: vec![platform::RowCheck {
            table: lease::LEASE_TABLE.to_owned(),
            key: REPAIR_LEASE.to_owned(),
            version,
        }],
        writes: vec![platform::RowWrite {
            table: lease::LEASE_TABLE.to_owned(),
            key: REPAIR_LEASE.to_owned(),
            value: Some(serde_json::json!(row)),
        }],
    };
    let event = match table.commit(transaction).await {
        Ok(platform::CommitOutcome::Committed) => lease::LeaseEvent::Committed,
        Ok(platform::CommitOutcome::Conflict(_)) => lease::LeaseEvent::Refused,
        Err(platform::PlatformError::Failed { .. }) => lease::LeaseEvent::Refused,
        Err(platform::PlatformError::Unknown { .. }) => lease::LeaseEvent::Unknown,
    };
    machine.next(event, time::Instant::now());
}

async fn read_lease(
    table: &dyn platform::TableClient,
) -> Result<Option<lease::SeenLease>, platform::PlatformError> {
    let row = table.read(lease::LEASE_TABLE, REPAIR_LEASE).await?;
    let Some(row) = row else { return Ok(None) };
    let version = row.version;
    // A row that cannot be decoded is no proof that nobody holds the lease.
    let row =
        serde_json::from_value(row.value).map_err(|error| platform::PlatformError::Unknown {
            reason: error.to_string(),
        })?;
    Ok(Some(lease::SeenLease { version, row }))
}

/// Tells whether this node may send an order under `held` to an engine that
/// does not check the fencing number.
pub async fn still_holds(
    table: &dyn platform::TableClient,
    machine: &lease::LeaseMachine,
    held: lease::HeldLease,
) -> bool {
    let seen = read_lease(table).await;
    let same = matches!(seen, Ok(Some(seen)) if seen.row.fencing == held.fencing);
    same && machine.held(time::Instant::now()).is_some()
}

fn hear_reports(core: &node::NodeCore, keeper: &mut repair::RepairKeeper) {
    let now = time::Instant::now();
    for state in core.upstreams.snapshot() {
        let report = state.report.as_ref().map(|(report, _)| report);
        keeper.hear(&state.name, report, now);
    }
}

fn follow_lease(core: &node::NodeCore, state: &mut CarryState) {
    let fencing = state
        .machine
        .held(time::Instant::now())
        .map_or(0, |held| held.fencing);
    if fencing == state.fencing {
        return;
    }
    let (code, number) = match fencing {
        0 => (event::EventCode::LeaseLost, state.fencing),
        _ => (event::EventCode::LeaseTaken, fencing),
    };
    let detail = format!("fencing number {number}");
    core.recorder.record(code, REPAIR_LEASE, detail);
    state.fencing = fencing;
    state.keeper.reset_loads();
}

async fn repair_once(core: &node::NodeCore, state: &mut CarryState, held: lease::HeldLease) {
    let Some(config) = core.config.current() else {
        return;
    };
    let now = time::Instant::now();
    explain_cover(core, state, &config.document, now);
    for load in state.keeper.plan(&config.document, now) {
        core.recorder
            .record(event::EventCode::RepairPlanned, &load.upstream, &load.cause);
        state.orders.intend(&load.upstream, load.target);
    }
    let ordered = ordered_upstreams(core, &config.document);
    for upstream in &ordered {
        if !state.keeper.is_loading(&upstream.name) {
            state.orders.forget(&upstream.name);
        }
    }
    let actions = state.orders.due(held, &ordered, now);
    let sends = actions
        .iter()
        .map(|action| send(core, &state.machine, held, action));
    let outcomes = future::join_all(sends).await;
    let now = time::Instant::now();
    for (action, outcome) in actions.iter().zip(outcomes) {
        state.orders.note(action, outcome, now);
    }
    if now.duration_since(state.swept) >= SWEEP_PERIOD {
        state.swept = now;
        // What is left is removed by the next sweep.
        let _ = core.records.sweep(event::unix_millis()).await;
    }
}

fn explain_cover(
    core: &node::NodeCore,
    state: &mut CarryState,
    document: &crate::document::ConfigDocument,
    now: time::Instant,
) {
    let lacking = repair::lacking(&state.keeper, document, now);
    for (pipeline, runners) in &lacking {
        if !state.lacking.iter().any(|known| known == pipeline) {
            let detail = format!("a layer has {runners} runners, counting loads under way");
            core.recorder
                .record(event::EventCode::CoverLacking, pipeline, detail);
        }
    }
    for pipeline in &state.lacking {
        if !lacking.contains_key(pipeline.as_str()) {
            core.recorder
                .record(event::EventCode::CoverRestored, pipeline, "");
        }
    }
    state.lacking = lacking.keys().map(ToString::to_string).collect();
}

fn ordered_upstreams(
    core: &node::NodeCore,
    document: &crate::document::ConfigDocument,
) -> Vec<order::OrderedUpstream> {
    core.upstreams
        .snapshot()
        .into_iter()
        .filter_map(|state| {
            let (report, _) = state.report?;
            let mut held = report.held;
            held.sort_unstable();
            Some(order::OrderedUpstream {
                checks_fencing: document.upstream(&state.name)?.checks_fencing,
                name: state.name,
                held,
            })
        })
        .collect()
}

async fn send(
    core: &node::NodeCore,
    machine: &lease::LeaseMachine,
    held: lease::HeldLease,
    action: &order::OrderAction,
) -> order::OrderOutcome {
    let config = core.config.current();
    let spec = config
        .as_ref()
        .and_then(|config| config.document.upstream(&action.upstream));
    let Some(spec) = spec else {
        return order::OrderOutcome::Refused;
    };
    let may_send = match action.reread {
        true => still_holds(core.table.as_ref(), machine, held).await,
        false => machine.held(time::Instant::now()).is_some(),
    };
    if !may_send {
        return order::OrderOutcome::Refused;
    }
    let call = core.engines.post_json::<_, serde_json::Value>(
        spec.address,
        upstream::ORDER_PATH,
        &action.order,
    );
    let answer = time::timeout(ORDER_TIME_LIMIT, call).await;
    let (outcome, detail) = match answer {
        Ok(Ok(_)) => (order::OrderOutcome::Taken, "taken".to_owned()),
        Ok(Err(error @ client::ClientError::NotSent { .. }))
        | Ok(Err(error @ client::ClientError::Status { status: 409, .. })) => {
            (order::OrderOutcome::Refused, error.to_string())
        }
        Ok(Err(error)) => (order::OrderOutcome::Unknown, error.to_string()),
        Err(_) => (order::OrderOutcome::Unknown, "no answer".to_owned()),
    };
    let code = match outcome {
        order::OrderOutcome::Taken => event::EventCode::OrderTaken,
        order::OrderOutcome::Refused => event::EventCode::OrderRefused,
        order::OrderOutcome::Unknown => event::EventCode::OrderUnknown,
    };
    let detail = format!("fencing number {}: {detail}", held.fencing);
    core.recorder.record(code, &action.upstream, detail);
    outcome
}
