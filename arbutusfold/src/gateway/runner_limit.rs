//! Limits that runners name in their answers.
//!
//! A runner in need names the number of requests a second that it takes from
//! all nodes together. The node that gets such an answer tells the others, and
//! each request to that runner needs a permit of the node that issues them.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::head;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tokio::time;

use crate::event;
use crate::gateway::claim;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::fleet;
use crate::gateway::suspects;
use crate::id;
use crate::limit::issuer;
use crate::peer;
use crate::suspect;

/// Time that a request waits for the answer to a claim.
const CLAIM_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(150);

/// Time for which a runner is paused whose issuer did not answer.
const UNANSWERED_PAUSE: std_time::Duration = std_time::Duration::from_millis(500);

/// Longest pause that an issuer may ask for; the smallest rate makes it ask for less.
const PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Time after which nodes that are not heard any more count as gone. Until then they
/// may only be cut off from this one, and use permits of an issuer of their own.
const ABSENCE_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Permits that this node issues, and its own claims.
#[derive(Debug, Default)]
pub struct LimitState {
    issuer: issuer::LimitIssuer,
    claims: claim::PendingClaims<issuer::ClaimAnswer>,
    /// Largest recent size of the fleet, and when it had that size last.
    largest_fleet: Option<(usize, time::Instant)>,
}

impl LimitState {
    /// Records the number of nodes that this one hears, and returns the share of the
    /// fleet that they are.
    pub fn note_nodes(&mut self, nodes: usize, now: time::Instant) -> f64 {
        let recent = self.largest_fleet.filter(|(largest, seen_at)| {
            *largest > nodes && now.saturating_duration_since(*seen_at) < ABSENCE_LIMIT
        });
        let (largest, _) = *self.largest_fleet.insert(recent.unwrap_or((nodes, now)));
        match largest {
            0 => 1.0,
            _ => nodes as f64 / largest as f64,
        }
    }
}

/// Limit of a runner, as one node tells it to another.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The runner.
    pub runner: id::UpstreamName,
    /// Start of its process in milliseconds since the Unix epoch, 0 if unknown.
    pub started_ms: id::IncarnationNumber,
    /// Requests per second, or `None` if it names no limit any more.
    pub rate: Option<f64>,
    /// Time since the answer that this is known from.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub age: std_time::Duration,
}

/// Message about the limits of runners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitMessage {
    /// A limit was named, changed or lifted.
    Changed(LimitReport),
    /// Claims a permit for one request to a runner.
    Claim {
        /// Limit of the runner as the sender knows it.
        limit: LimitReport,
        /// Number of the claim at its sender.
        claim: claim::ClaimNumber,
    },
    /// Answer to a claim.
    Answer {
        /// Number of the claim at its sender.
        claim: claim::ClaimNumber,
        /// Whether the request may be sent.
        answer: issuer::ClaimAnswer,
    },
    /// Asks for the limits in force, from a node that has just started.
    Request,
}

/// Records the limit that an answer of a runner's process names. The request was
/// sent at `sent_at`.
pub fn observe(
    core: &core::GatewayCore,
    process: &suspect::CrashId,
    headers: &http::HeaderMap,
    sent_at: time::Instant,
) {
    let rate = match head::named_limit(headers) {
        head::NamedLimit::Rate(rate) => Some(rate),
        // An answer to an earlier request may be older than the limit, and a
        // refusal need not come from the runner itself.
        head::NamedLimit::Absent => {
            let fleet = lock(&core.fleet);
            let limit = fleet
                .get(&process.upstream)
                .and_then(fleet::RunnerState::limit);
            let seen_at = limit.map(|limit| limit.seen_at);
            if seen_at.is_none_or(|seen_at| sent_at <= seen_at) || !head::has_proof(headers) {
                return;
            }
            None
        }
        head::NamedLimit::Unreadable => return,
    };
    let report = LimitReport {
        runner: process.upstream.clone(),
        started_ms: process.incarnation,
        rate,
        age: std_time::Duration::ZERO,
    };
    apply(core, &report, suspects::RecordSource::Own);
}

/// Returns whether a request may be sent to a runner. If it needs a permit and
/// gets none, the runner is paused at this node.
pub async fn claim(core: &core::GatewayCore, runner: &str, request: &str) -> bool {
    let limit = lock(&core.fleet).get(runner).and_then(report_of);
    let Some(limit) = limit else {
        return true;
    };
    let issuer = core.issuer(&suspect::fingerprint("", runner, &[]));
    let answer = match issuer == core.settings.name {
        true => Some(issue(core, &limit)),
        false => {
            let (number, answer) = lock(&core.limits).claims.add();
            let claim = LimitMessage::Claim {
                limit,
                claim: number,
            };
            send(core, &issuer, &claim);
            let answer = time::timeout(CLAIM_TIMEOUT, answer).await;
            answer.ok().and_then(Result::ok)
        }
    };
    let pause = match answer {
        Some(issuer::ClaimAnswer::Granted) => {
            core.metrics.limit_permits.inc();
            return true;
        }
        Some(issuer::ClaimAnswer::Denied(pause)) => pause.min(PAUSE_LIMIT),
        None => UNANSWERED_PAUSE,
    };
    core.metrics.limit_denials.inc();
    lock(&core.fleet).pause(runner, time::Instant::now() + pause);
    let detail = format!(
        "request={request} issuer={issuer} answered={} pause_ms={}",
        answer.is_some(),
        pause.as_millis()
    );
    core.note(event::EventCode::UpstreamPaused, runner, detail);
    false
}

/// Asks some peers for the limits that are in force.
pub fn request(core: &core::GatewayCore) {
    let peers = core.few_peers();
    peers
        .iter()
        .for_each(|peer| send(core, peer, &LimitMessage::Request));
}

/// Handles the messages about limits of runners.
pub struct LimitHandler {
    core: sync::Arc<core::GatewayCore>,
}

impl LimitHandler {
    /// Creates the handler of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl peer::MessageHandler for LimitHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        // Messages that a later release added cannot be decoded and are dropped.
        let Ok(message) = postcard::from_bytes::<LimitMessage>(body) else {
            return;
        };
        let core = &self.core;
        match message {
            LimitMessage::Changed(report) => {
                apply(core, &report, suspects::RecordSource::Peer(sender));
            }
            LimitMessage::Claim { limit, claim } => {
                apply(core, &limit, suspects::RecordSource::Peer(sender));
                let answer = issue(core, &limit);
                send(core, sender, &LimitMessage::Answer { claim, answer });
            }
            LimitMessage::Answer { claim, answer } => {
                // The request may have stopped waiting; its permit is lost.
                lock(&core.limits).claims.resolve(claim, answer);
            }
            LimitMessage::Request => {
                for report in reports(core) {
                    send(core, sender, &LimitMessage::Changed(report));
                }
            }
        }
    }
}

/// Issues a permit, by the limit that this node knows. It may have been lifted
/// since the claim was sent. Nodes that were heard lately may issue permits, too, so
/// this one issues only the share of those that it hears.
fn issue(core: &core::GatewayCore, claimed: &LimitReport) -> issuer::ClaimAnswer {
    let rate = match lock(&core.fleet).get(&claimed.runner) {
        Some(state) => state.limit().and_then(|limit| limit.rate),
        None => claimed.rate,
    };
    let Some(rate) = rate else {
        return issuer::ClaimAnswer::Granted;
    };
    let now = time::Instant::now();
    let nodes = core.members.fleet_size();
    let mut limits = lock(&core.limits);
    let share = limits.note_nodes(nodes, now);
    limits.issuer.claim(&claimed.runner, rate * share, now)
}

/// Applies what is known of a limit, and tells other nodes of a change.
fn apply(core: &core::GatewayCore, report: &LimitReport, source: suspects::RecordSource<'_>) {
    let now = time::Instant::now();
    let limit = fleet::RunnerLimit {
        rate: report.rate,
        // A clock that started lately cannot go back so far.
        seen_at: now.checked_sub(report.age).unwrap_or(now),
    };
    let is_changed = lock(&core.fleet).note_limit(&report.runner, report.started_ms, limit);
    if !is_changed {
        return;
    }
    let rate = report
        .rate
        .map_or("none".to_owned(), |rate| rate.to_string());
    let detail = format!(
        "rate={rate} from={source} age_ms={}",
        report.age.as_millis()
    );
    core.note(event::EventCode::UpstreamLimited, &report.runner, detail);
    let receivers = suspects::receivers(core, source);
    let changed = LimitMessage::Changed(report.clone());
    receivers.iter().for_each(|to| send(core, to, &changed));
}

/// Returns the limits that are in force.
fn reports(core: &core::GatewayCore) -> Vec<LimitReport> {
    let fleet = lock(&core.fleet);
    fleet.runners().iter().filter_map(report_of).collect()
}

/// Returns the limit of a runner that is in force, as a report of this node.
fn report_of(state: &fleet::RunnerState) -> Option<LimitReport> {
    let limit = state.limit()?;
    Some(LimitReport {
        runner: state.record.id.clone(),
        started_ms: state.record.started_ms.unwrap_or(0),
        rate: limit.rate,
        age: limit.seen_at.elapsed(),
    })
}

fn send(core: &core::GatewayCore, to: &str, message: &LimitMessage) {
    core.send_message(to, peer::MessageKind::Limit, message);
}
