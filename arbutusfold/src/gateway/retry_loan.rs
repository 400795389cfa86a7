//! Loans of retries between nodes.
//!
//! The fleet's retry budget is divided by its nodes. With many small nodes the share
//! of one is a few retries, and a crash may cost one node more than that while others
//! need none. Such a node asks others for some of theirs.

use std::sync;
use std::time as std_time;

use rand::seq::IndexedRandom;
use tokio::time;

use crate::event;
use crate::gateway::budget;
use crate::gateway::claim;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::leader;
use crate::id;
use crate::member;
use crate::peer;

/// Nodes that are asked for one retry.
const LENDERS: usize = 3;

/// Retries to ask for at a time: a failure often ends several requests.
const WANTED_RETRIES: u32 = 3;

/// Time that a request waits for the answer of a node.
const ANSWER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(60);

/// Shortest time between two claims of a node for one service.
const CLAIM_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Claims of this node that wait for an answer.
pub type PendingLoans = claim::PendingClaims<u32>;

/// Takes one retry that other nodes lend; returns until when it may be sent, or `None`
/// if there is none.
pub async fn take(core: &sync::Arc<core::GatewayCore>, service: &str) -> Option<time::Instant> {
    if !core.settings.share_demand {
        return None;
    }
    let now = time::Instant::now();
    let taken = lock(&core.budget).take_borrowed(service, now);
    let is_due = taken.is_none() && lock(&core.budget).begin_claim(service, CLAIM_PERIOD, now);
    let taken = match is_due {
        true => {
            ask_lenders(core, service).await;
            lock(&core.budget).take_borrowed(service, time::Instant::now())
        }
        false => taken,
    };
    if taken.is_some() {
        core.metrics.borrowed_retries.inc();
    }
    taken
}

/// Asks one node after the other until one lends something.
async fn ask_lenders(core: &sync::Arc<core::GatewayCore>, service: &str) {
    let members = core.members.alive();
    for lender in lenders(&members, &core.settings.name) {
        let (core, service) = (sync::Arc::clone(core), service.to_owned());
        // A loan that comes too late for this request may serve the next one.
        let claim = tokio::spawn(claim(core, service, lender.name.clone()));
        if let Ok(Ok(1..)) = time::timeout(ANSWER_TIMEOUT, claim).await {
            return;
        }
    }
}

/// Asks a node for retries and adds those that it lends to the budget; returns their
/// number.
async fn claim(
    core: sync::Arc<core::GatewayCore>,
    service: id::ServiceName,
    lender: id::HostName,
) -> u32 {
    let asked_at = time::Instant::now();
    let (claim, answer) = lock(&core.loans).add();
    let message = leader::LeaderMessage::RetryClaim {
        claim,
        service: service.clone(),
        wanted: WANTED_RETRIES,
    };
    core.send_message(&lender, peer::MessageKind::Lead, &message);
    let answer = time::timeout(budget::LOAN_TIME, answer).await;
    let answer = answer.ok().and_then(Result::ok);
    // An answer cannot exceed the question.
    let count = answer.unwrap_or(0).min(WANTED_RETRIES);
    if count > 0 {
        lock(&core.budget).borrow(&service, count, asked_at);
    }
    let detail = format!(
        "service={service} count={count} answered={} after_ms={}",
        answer.is_some(),
        asked_at.elapsed().as_millis()
    );
    core.note(event::EventCode::RetriesBorrowed, &lender, detail);
    count
}

/// Returns the nodes to ask, chosen at random so that no node is asked by all.
fn lenders<'a>(members: &'a [member::MemberRecord], own: &str) -> Vec<&'a member::MemberRecord> {
    let others = members.iter().filter(|record| record.name != own);
    let others: Vec<_> = others.collect();
    others.sample(&mut rand::rng(), LENDERS).copied().collect()
}

/// Lends retries to a node that asks for them.
pub fn lend(
    core: &core::GatewayCore,
    borrower: &str,
    claim: claim::ClaimNumber,
    service: &str,
    wanted: u32,
) {
    let is_known = core
        .routing()
        .is_some_and(|table| table.service(service).is_some());
    let count = match is_known {
        true => lock(&core.budget).lend(service, wanted, time::Instant::now()),
        false => 0,
    };
    core.metrics.lent_retries.inc_by(count.into());
    let answer = leader::LeaderMessage::RetryLoan { claim, count };
    core.send_message(borrower, peer::MessageKind::Lead, &answer);
}
