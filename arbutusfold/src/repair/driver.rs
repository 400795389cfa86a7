//! Driver of repairs: executes the actions of the lease, the planner and the
//! orders.

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

/// Key of the lease that a node must hold to order repairs.
pub const REPAIR_LEASE: &str = "repair";

/// Timeout of an order to an engine.
const ORDER_TIME_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Interval between two sweeps of expired records by the lease holder.
const SWEEP_PERIOD: std_time::Duration = std_time::Duration::from_secs(30);

/// Competes for the lease while this node is a candidate, and repairs while it
/// holds the lease.
pub async fn run(core: sync::Arc<node::NodeCore>) {
    let mut state = RepairState {
        machine: lease::LeaseMachine::new(core.settings.name.clone(), core.incarnation),
        orders: order::OrderTracker::default(),
        planner: repair::RepairPlanner::default(),
        fencing: 0,
        under_replicated: Vec::new(),
        last_sweep: time::Instant::now(),
    };
    let mut ticks = time::interval(lease::LEASE_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        update_reports(&core, &mut state.planner);
        let alive: Vec<id::HostName> = core
            .members
            .alive()
            .into_iter()
            .map(|member| member.name)
            .collect();
        let holds = state.machine.held(time::Instant::now()).is_some();
        if holds || lease::is_candidate(REPAIR_LEASE, &core.settings.name, &alive) {
            poll_lease(core.table.as_ref(), &mut state.machine).await;
        }
        handle_lease_change(&core, &mut state);
        if let Some(held) = state.machine.held(time::Instant::now()) {
            repair_once(&core, &mut state, held).await;
        }
    }
}

struct RepairState {
    machine: lease::LeaseMachine,
    orders: order::OrderTracker,
    planner: repair::RepairPlanner,
    /// Fencing number of the lease at the latest check, 0 if it was not held.
    fencing: id::FencingNumber,
    under_replicated: Vec<String>,
    last_sweep: time::Instant,
}

/// Reads the lease once, and takes or renews it if the machine requests that.
pub async fn poll_lease(table: &dyn platform::TableClient, machine: &mut lease::LeaseMachine) {
    let event = match read_lease(table).await {
        Ok(seen) => lease::LeaseEvent::Read(seen),
        Err(_) => lease::LeaseEvent::ReadFailed,
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
) -> Result<Option<lease::VersionedLease>, platform::PlatformError> {
    let row = table.read(lease::LEASE_TABLE, REPAIR_LEASE).await?;
    let Some(row) = row else { return Ok(None) };
    let version = row.version;
    // A row that cannot be decoded does not prove that the lease is free.
    let row =
        serde_json::from_value(row.value).map_err(|error| platform::PlatformError::Unknown {
            reason: error.to_string(),
        })?;
    Ok(Some(lease::VersionedLease { version, row }))
}

/// Reads the lease again and returns whether this node still holds it as `held`.
///
/// This check must precede an order to an engine that does not check the fencing
/// number.
pub async fn still_holds(
    table: &dyn platform::TableClient,
    machine: &lease::LeaseMachine,
    held: lease::HeldLease,
) -> bool {
    let seen = read_lease(table).await;
    let is_same = matches!(seen, Ok(Some(seen)) if seen.row.fencing == held.fencing);
    is_same && machine.held(time::Instant::now()).is_some()
}

fn update_reports(core: &node::NodeCore, planner: &mut repair::RepairPlanner) {
    let now = time::Instant::now();
    for state in core.upstreams.snapshot() {
        let report = state.report.as_ref().map(|(report, _)| report);
        planner.update(&state.name, report, now);
    }
}

fn handle_lease_change(core: &node::NodeCore, state: &mut RepairState) {
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
    state.planner.reset_loads();
}

async fn repair_once(core: &node::NodeCore, state: &mut RepairState, held: lease::HeldLease) {
    let Some(config) = core.config.current() else {
        return;
    };
    let now = time::Instant::now();
    record_coverage_events(core, state, &config.document, now);
    for load in state.planner.plan(&config.document, now) {
        core.recorder
            .record(event::EventCode::RepairPlanned, &load.upstream, &load.cause);
        state.orders.set_target(&load.upstream, load.target);
    }
    let ordered = ordered_upstreams(core, &config.document);
    for upstream in &ordered {
        if !state.planner.is_loading(&upstream.name) {
            state.orders.remove(&upstream.name);
        }
    }
    let actions = state.orders.due_orders(held, &ordered, now);
    let sends = actions
        .iter()
        .map(|action| send_order(core, &state.machine, held, action));
    let outcomes = future::join_all(sends).await;
    let now = time::Instant::now();
    for (action, outcome) in actions.iter().zip(outcomes) {
        state.orders.record_outcome(action, outcome, now);
    }
    if now.duration_since(state.last_sweep) >= SWEEP_PERIOD {
        state.last_sweep = now;
        // The next sweep continues after a failure.
        let _ = core.records.sweep(event::unix_millis()).await;
    }
}

fn record_coverage_events(
    core: &node::NodeCore,
    state: &mut RepairState,
    document: &crate::document::ConfigDocument,
    now: time::Instant,
) {
    let under_replicated = repair::under_replicated(&state.planner, document, now);
    for (pipeline, runners) in &under_replicated {
        if !state.under_replicated.iter().any(|known| known == pipeline) {
            let detail = format!(
                "lowest number of runners of a layer: {runners}, including loads in progress"
            );
            core.recorder
                .record(event::EventCode::CoverLacking, pipeline, detail);
        }
    }
    for pipeline in &state.under_replicated {
        if !under_replicated.contains_key(pipeline.as_str()) {
            core.recorder
                .record(event::EventCode::CoverRestored, pipeline, "");
        }
    }
    state.under_replicated = under_replicated.keys().map(ToString::to_string).collect();
}

fn ordered_upstreams(
    core: &node::NodeCore,
    document: &crate::document::ConfigDocument,
) -> Vec<order::ReportedUpstream> {
    core.upstreams
        .snapshot()
        .into_iter()
        .filter_map(|state| {
            let (report, _) = state.report?;
            let mut held = report.held;
            held.sort_unstable();
            Some(order::ReportedUpstream {
                checks_fencing: document.upstream(&state.name)?.checks_fencing,
                name: state.name,
                held,
            })
        })
        .collect()
}

async fn send_order(
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
    let may_send = match action.recheck_lease {
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
        Ok(Ok(_)) => (order::OrderOutcome::Accepted, "taken".to_owned()),
        Ok(Err(error @ client::ClientError::NotSent { .. }))
        | Ok(Err(error @ client::ClientError::Status { status: 409, .. })) => {
            (order::OrderOutcome::Refused, error.to_string())
        }
        Ok(Err(error)) => (order::OrderOutcome::Unknown, error.to_string()),
        Err(_) => (
            order::OrderOutcome::Unknown,
            "no answer within the time limit".to_owned(),
        ),
    };
    let code = match outcome {
        order::OrderOutcome::Accepted => event::EventCode::OrderTaken,
        order::OrderOutcome::Refused => event::EventCode::OrderRefused,
        order::OrderOutcome::Unknown => event::EventCode::OrderUnknown,
    };
    let detail = format!("fencing number {}: {detail}", held.fencing);
    core.recorder.record(code, &action.upstream, detail);
    outcome
}
