//! Sends and receives the demand of nodes and leaders, and lets the leader of a
//! failure domain check the runners that nodes saw fail.
//!
//! Summaries go out periodically, news of failed runners at once.

use std::sync;
use std::time as std_time;

use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::demand;
use crate::gateway::failure_watch;
use crate::gateway::fleet;
use crate::gateway::leader;
use crate::gateway::retry_loan;
use crate::id;
use crate::member;
use crate::peer;

/// Shortest time between two messages with news to the same node. It gathers what
/// many requests see at the same moment.
const NEWS_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);

/// Shortest time between two summaries. A summary lists runners and organisations, so
/// it is longer than that of the loads, and its readers need it less often.
const PERIOD_MIN: std_time::Duration = std_time::Duration::from_millis(250);

/// Timeout for a probe of a runner. A refusal takes a few milliseconds; silence counts
/// only once another way has been silent, too.
const PROBE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(200);

/// Periods of the summaries that this time lasts at least.
const HOLD_PERIODS: u32 = 2;

/// Sends news at once and probes the runners that may have failed. Never returns.
pub async fn run(core: sync::Arc<core::GatewayCore>) {
    if !core.settings.share_demand {
        return std::future::pending().await;
    }
    let news = lock(&core.demand).news();
    let mut next_send = time::Instant::now();
    loop {
        let probe_at = lock(&core.failures).next_probe();
        let probe_due = async {
            match probe_at {
                Some(probe_at) => time::sleep_until(probe_at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = news.notified() => {
                time::sleep_until(next_send).await;
                next_send = time::Instant::now() + NEWS_PERIOD;
                send_update(&core, demand::SendCause::News);
            }
            () = probe_due => {}
        }
        begin_probes(&core);
    }
}

/// Removes what is out of date and sends the summaries of a period if they are due;
/// called after each period of the load summaries.
pub fn tick(core: &core::GatewayCore, load_period: std_time::Duration) {
    if !core.settings.share_demand {
        return;
    }
    let now = time::Instant::now();
    let period = load_period.max(PERIOD_MIN);
    let mut view = lock(&core.demand);
    view.expire(period * leader::EXPIRY_PERIODS, now);
    let is_due = view.begin_period(period, load_period, core.is_leading(), now);
    drop(view);
    if is_due {
        send_update(core, demand::SendCause::Period);
    }
}

/// Handles a message about demand from a node or a leader.
pub fn receive(core: &core::GatewayCore, sender: &str, message: leader::LeaderMessage) {
    if !core.settings.share_demand {
        return;
    }
    let message = match message {
        leader::LeaderMessage::RetryClaim {
            claim,
            service,
            wanted,
        } => return retry_loan::lend(core, sender, claim, &service, wanted),
        leader::LeaderMessage::RetryLoan { claim, count } => {
            // After the time of the loan nobody waits for it.
            lock(&core.loans).resolve(claim, count);
            return;
        }
        message => message,
    };
    let now = time::Instant::now();
    let is_fleet_demand = matches!(message, leader::LeaderMessage::FleetDemand(_));
    let is_news = lock(&core.demand).receive(sender, message, now);
    if is_fleet_demand {
        apply_failed(core, now);
    } else if is_news {
        lock(&core.demand).news().notify_one();
    }
}

fn send_update(core: &core::GatewayCore, cause: demand::SendCause) {
    let members = core.members.alive();
    let leaders = leader::leaders(&members);
    let mut leaders_of_domain = leaders.iter();
    let own_leader = leaders_of_domain.find(|record| record.domain == core.settings.domain);
    match own_leader.filter(|record| record.name != core.settings.name) {
        Some(record) => follow(core, &record.name),
        None => lead(core, &members, &leaders, cause),
    }
}

/// Sends the own demand to the leader.
fn follow(core: &core::GatewayCore, leader: &str) {
    lock(&core.failures).clear();
    let now = time::Instant::now();
    let summary = lock(&core.demand).node_summary(now);
    if let Some(summary) = summary {
        let message = leader::LeaderMessage::NodeDemand(summary);
        send(core, [leader], &message);
    }
}

/// Sends the demand of this node's domain to the other leaders and that of the fleet
/// to the nodes of the domain.
fn lead(
    core: &core::GatewayCore,
    members: &[member::MemberRecord],
    leaders: &[&member::MemberRecord],
    cause: demand::SendCause,
) {
    let now = time::Instant::now();
    let others = leaders
        .iter()
        .filter(|record| record.name != core.settings.name);
    let others: Vec<_> = others.map(|record| record.name.as_str()).collect();
    lock(&core.demand).retain_domains(&others);
    for (domain, failed) in watch_suspicions(core, now) {
        let leader = leaders.iter().find(|record| record.domain == domain);
        let summary = demand::DemandSummary {
            failed,
            ..demand::DemandSummary::default()
        };
        let message = leader::LeaderMessage::NodeDemand(summary);
        send(core, leader.map(|record| record.name.as_str()), &message);
    }
    let failed = published(core, now);
    let mut view = lock(&core.demand);
    let summaries = view.leader_summaries(failed, cause, now);
    drop(view);
    if let Some(domain) = summaries.domain {
        let message = leader::LeaderMessage::DomainDemand(domain);
        send(core, others, &message);
    }
    if let Some(fleet) = summaries.fleet {
        let message = leader::LeaderMessage::FleetDemand(fleet);
        let peers = core.domain_peers(members);
        send(core, peers.map(|record| record.name.as_str()), &message);
        lock(&core.demand).receive(&core.settings.name, message, now);
        apply_failed(core, now);
    }
}

/// Passes what nodes saw fail to the watch of this leader. Returns what concerns the
/// runners of other domains and is not known there yet.
fn watch_suspicions(
    core: &core::GatewayCore,
    now: time::Instant,
) -> Vec<(id::DomainName, Vec<demand::FailedRunner>)> {
    let view = lock(&core.demand);
    let suspicions = view.suspicions(now);
    drop(view);
    let mut foreign: Vec<(id::DomainName, Vec<demand::FailedRunner>)> = Vec::new();
    let fleet = lock(&core.fleet);
    let told = fleet.failed(now);
    let mut failures = lock(&core.failures);
    let is_own = |state: &fleet::RunnerState| state.record.domain == core.settings.domain;
    let mut is_probe_due = false;
    for failed in &told {
        let state = find_process(&fleet, (failed.runner, failed.incarnation));
        if state.is_some_and(is_own) {
            is_probe_due |= failures.inherit(failed, now);
        }
    }
    for failed in &suspicions {
        let process = (failed.runner, failed.incarnation);
        let Some(state) = find_process(&fleet, process) else {
            continue;
        };
        if is_own(state) {
            is_probe_due |= failures.suspect(failed, now);
        } else if state.failed_age(now).is_none() {
            let domain = &state.record.domain;
            match foreign.iter_mut().find(|(other, _)| other == domain) {
                Some((_, list)) => list.push(*failed),
                None => foreign.push((domain.clone(), vec![*failed])),
            }
        }
    }
    drop(failures);
    drop(fleet);
    if is_probe_due {
        lock(&core.demand).news().notify_one();
    }
    foreign
}

/// Returns the failures of the own domain to tell all nodes.
fn published(core: &core::GatewayCore, now: time::Instant) -> Vec<demand::FailedRunner> {
    let fleet = lock(&core.fleet);
    let states = fleet.runners().iter();
    let states = states.filter(|state| state.record.domain == core.settings.domain);
    let mut processes: Vec<_> = states
        .map(|state| (state.key, state.record.started_ms.unwrap_or(0)))
        .collect();
    drop(fleet);
    processes.sort_unstable();
    let runners = processes.len();
    let mut failures = lock(&core.failures);
    let changes = failures.retain(&processes, now);
    let withheld = failures.note_withheld(runners);
    let published = failures.published(now);
    drop(failures);
    for change in changes {
        note_change(core, &change, "entry changed");
    }
    if let Some(failing) = withheld {
        let told = published.len();
        let detail = format!("failing={failing} runners={runners} told={told}");
        let domain = &core.settings.domain;
        core.note(event::EventCode::FailuresWithheld, domain, detail);
    }
    published
}

/// Stops sending to the runners that the latest summary names as failed.
fn apply_failed(core: &core::GatewayCore, now: time::Instant) {
    let view = lock(&core.demand);
    let others = view.others(now);
    let failed = others.map_or(Vec::new(), |others| others.value.failed.clone());
    drop(view);
    let period = lock(&core.loads).period().max(PERIOD_MIN);
    core.apply_failed(&failed, demand::FAILED_HOLD.max(period * HOLD_PERIODS));
}

fn begin_probes(core: &sync::Arc<core::GatewayCore>) {
    let now = time::Instant::now();
    let due = lock(&core.failures).take_due(now);
    for process in due {
        let fleet = lock(&core.fleet);
        let address = find_process(&fleet, process).map(|state| state.record.address);
        drop(fleet);
        if let Some(address) = address {
            tokio::spawn(probe(sync::Arc::clone(core), process, address));
        }
    }
}

async fn probe(
    core: sync::Arc<core::GatewayCore>,
    process: failure_watch::RunnerProcess,
    address: std::net::SocketAddr,
) {
    let opened = core.dialer.open(address, PROBE_TIMEOUT).await;
    let (outcome, cause) = match opened {
        Ok(_) => (failure_watch::ProbeOutcome::Open, "connected".to_owned()),
        Err(error) if error.is_closed() => {
            (failure_watch::ProbeOutcome::Refused, error.to_string())
        }
        Err(error) if error.is_confirmed => {
            (failure_watch::ProbeOutcome::Silent, error.to_string())
        }
        Err(error) => (failure_watch::ProbeOutcome::Unknown, error.to_string()),
    };
    let now = time::Instant::now();
    let change = lock(&core.failures).note_probe(process, outcome, now);
    if let Some(change) = &change {
        note_change(&core, change, &cause);
    }
    // Wakes the loop also for a probe that is to be repeated.
    if change.is_some() || outcome == failure_watch::ProbeOutcome::Silent {
        lock(&core.demand).news().notify_one();
    }
}

fn note_change(core: &core::GatewayCore, change: &failure_watch::StageChange, cause: &str) {
    let fleet = lock(&core.fleet);
    let state = fleet
        .runners()
        .iter()
        .find(|state| state.key == change.runner);
    let runner = state.map(|state| state.record.id.clone());
    drop(fleet);
    if change.from == failure_watch::FailureStage::Failed {
        core.metrics.failures_withdrawn.inc();
    }
    let stage = change
        .to
        .map_or("Ended".to_owned(), |stage| format!("{stage:?}"));
    let detail = format!(
        "from={:?} to={stage} age_ms={} cause={cause}",
        change.from,
        change.age.as_millis()
    );
    let runner = runner.unwrap_or_else(|| format!("key {:08x}", change.runner));
    core.note(event::EventCode::FailureChecked, &runner, detail);
}

fn find_process(
    fleet: &fleet::RunnerFleet,
    (runner, incarnation): failure_watch::RunnerProcess,
) -> Option<&fleet::RunnerState> {
    let mut states = fleet.runners().iter();
    states.find(|state| state.key == runner && state.record.started_ms.unwrap_or(0) == incarnation)
}

/// Sends a message that is encoded once to all receivers.
fn send<'a>(
    core: &core::GatewayCore,
    receivers: impl IntoIterator<Item = &'a str>,
    message: &leader::LeaderMessage,
) {
    let Ok(body) = postcard::to_stdvec(message) else {
        return;
    };
    for receiver in receivers {
        core.metrics.demand_bytes.inc_by(body.len() as u64);
        core.post.send(receiver, peer::MessageKind::Lead, &body);
    }
}
