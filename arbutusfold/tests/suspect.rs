//! Tests that permits bound how many upstreams a request can crash.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::suspect::{self, claim, isolation, permit, tracker};
use tokio::time;

const RUN_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(60);

struct Assigned(Vec<String>);

impl tracker::AssignedNodes for Assigned {
    fn assigned(&self, _organisation: &str) -> Vec<String> {
        self.0.clone()
    }
}

fn hosts(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn fingerprint() -> suspect::RequestFingerprint {
    suspect::fingerprint("novia-lima", "assistant", b"airbrush")
}

fn crash(upstream: &str) -> suspect::CrashId {
    suspect::CrashId {
        upstream: upstream.to_owned(),
        incarnation: 1,
    }
}

fn permit_claim(run: u64, revoked: &[suspect::RevokedPermit]) -> suspect::PermitClaim {
    suspect::PermitClaim {
        fingerprint: fingerprint(),
        organisation: "novia-lima".to_owned(),
        run,
        time_limit: RUN_TIME_LIMIT,
        revoked: revoked.to_vec(),
        exemption: None,
    }
}

fn run_request(fingerprint: suspect::RequestFingerprint, assigned: &[String]) -> claim::RunRequest {
    claim::RunRequest {
        fingerprint,
        organisation: "novia-lima".to_owned(),
        assigned: assigned.to_vec(),
        time_limit: RUN_TIME_LIMIT,
        exemption: None,
    }
}

#[test]
fn fingerprints_depend_on_the_request() {
    let same = suspect::fingerprint("novia-lima", "assistant", b"airbrush");
    assert_eq!(fingerprint(), same);
    let others = [
        suspect::fingerprint("te-ara", "assistant", b"airbrush"),
        suspect::fingerprint("novia-lima", "other", b"airbrush"),
        suspect::fingerprint("novia-lima", "assistant", b"traditional"),
        suspect::fingerprint("novia-limaa", "ssistant", b"airbrush"),
    ];
    assert!(others.iter().all(|other| *other != fingerprint()));
}

#[tokio::test(start_paused = true)]
async fn a_permit_is_held_by_one_run_and_revoked_by_a_crash() {
    let now = time::Instant::now();
    let issuers = hosts(&["n1", "n2"]);
    let mut issuer = permit::PermitIssuer::new("n1".to_owned());
    let claim = |issuer: &mut permit::PermitIssuer, from: &str, run| {
        issuer.claim(from, &permit_claim(run, &[]), &issuers, now)
    };
    assert_eq!(
        claim(&mut issuer, "n3", 1),
        suspect::PermitDecision::Granted
    );
    // The run repeats its claim because the reply was lost.
    assert_eq!(
        claim(&mut issuer, "n3", 1),
        suspect::PermitDecision::Granted
    );
    assert_eq!(claim(&mut issuer, "n4", 1), suspect::PermitDecision::Busy);
    let crashed = suspect::RunEnd::Crashed(crash("u1"));
    issuer.end("n3", &fingerprint(), 1, &crashed, now);
    issuer.end("n3", &fingerprint(), 1, &crashed, now);
    assert_eq!(issuer.revoked(&fingerprint()).len(), 1);
    assert_eq!(
        claim(&mut issuer, "n4", 1),
        suspect::PermitDecision::NoPermit
    );
}

#[tokio::test(start_paused = true)]
async fn an_answer_clears_a_request_and_an_expired_run_revokes_its_permit() {
    let mut now = time::Instant::now();
    let issuers = hosts(&["n1", "n2"]);
    let mut issuer = permit::PermitIssuer::new("n1".to_owned());
    issuer.claim("n3", &permit_claim(1, &[]), &issuers, now);
    now += RUN_TIME_LIMIT;
    issuer.tick(now);
    assert_eq!(issuer.revoked(&fingerprint()).len(), 1);
    issuer.record_answered(&fingerprint(), now);
    assert_eq!(
        issuer.claim("n3", &permit_claim(2, &[]), &issuers, now),
        suspect::PermitDecision::Granted
    );
    // A recently answered request may run several times at once.
    assert_eq!(
        issuer.claim("n4", &permit_claim(3, &[]), &issuers, now),
        suspect::PermitDecision::Granted
    );
}

#[tokio::test(start_paused = true)]
async fn an_issuer_that_replaces_a_dead_one_adds_no_permit() {
    let now = time::Instant::now();
    let revoked = [suspect::RevokedPermit {
        issuer: "dead".to_owned(),
        crash: crash("u1"),
    }];
    let issuers = hosts(&["n2", "n3"]);
    let mut remaining = permit::PermitIssuer::new("n2".to_owned());
    let mut replacement = permit::PermitIssuer::new("n3".to_owned());
    assert_eq!(
        replacement.claim("n4", &permit_claim(1, &revoked), &issuers, now),
        suspect::PermitDecision::NoPermit
    );
    assert_eq!(
        remaining.claim("n4", &permit_claim(1, &revoked), &issuers, now),
        suspect::PermitDecision::Granted
    );
}

#[tokio::test(start_paused = true)]
async fn a_single_node_issues_two_permits_and_then_none() {
    let now = time::Instant::now();
    let nodes = Assigned(hosts(&["n1"]));
    let mut node = tracker::SuspectTracker::new("n1".to_owned(), 1);
    let mut decisions = Vec::new();
    for upstream in ["u1", "u2", "u3"] {
        let run = node.next_run_number();
        let request = run_request(fingerprint(), &nodes.0);
        let event = tracker::SuspectEvent::Begin(run, request);
        decisions.extend(node.handle(event, &nodes, now));
        let end = suspect::RunEnd::Crashed(crash(upstream));
        node.handle(tracker::SuspectEvent::End(run, end), &nodes, now);
    }
    assert_eq!(
        decisions,
        [
            claim::ClaimAction::Start(2),
            claim::ClaimAction::Start(3),
            claim::ClaimAction::Refuse(4, claim::RunRefusal::Quarantined),
        ]
    );
}

/// Runs a request until it is refused and returns the number of crashes.
///
/// Each run crashes its upstream; `progress` decides for each crash whether new
/// tokens preceded it.
fn crash_until_refused(progress: impl Fn(usize) -> bool) -> usize {
    let now = time::Instant::now();
    let nodes = Assigned(hosts(&["n1"]));
    let mut node = tracker::SuspectTracker::new("n1".to_owned(), 1);
    for crashes in 0..20 {
        let run = node.next_run_number();
        let request = run_request(fingerprint(), &nodes.0);
        let event = tracker::SuspectEvent::Begin(run, request);
        if node.handle(event, &nodes, now) != [claim::ClaimAction::Start(run)] {
            return crashes;
        }
        let crash = crash(&format!("u{crashes}"));
        if progress(crashes) {
            node.exempt_crash(&fingerprint(), "novia-lima", &crash, now);
        }
        let end = suspect::RunEnd::Crashed(crash);
        node.handle(tracker::SuspectEvent::End(run, end), &nodes, now);
    }
    panic!("the request was not refused after 20 crashes");
}

#[tokio::test(start_paused = true)]
async fn crashes_after_new_tokens_are_exempt_twice() {
    // The crashes happen before the first token, at one later token, after new
    // tokens each time, and in the order that allows the most crashes.
    assert_eq!(crash_until_refused(|_| false), 2);
    assert_eq!(crash_until_refused(|crashes| crashes == 0), 3);
    assert_eq!(crash_until_refused(|_| true), 4);
    assert_eq!(crash_until_refused(|crashes| crashes % 2 == 1), 6);
}

#[tokio::test(start_paused = true)]
async fn a_retracted_crash_restores_the_permit() {
    let now = time::Instant::now();
    let nodes = Assigned(hosts(&["n1"]));
    let mut node = tracker::SuspectTracker::new("n1".to_owned(), 1);
    let permit = suspect::RevokedPermit {
        issuer: "n1".to_owned(),
        crash: crash("u1"),
    };
    let message = suspect::SuspectMessage::Revoked {
        fingerprint: fingerprint(),
        organisation: "novia-lima".to_owned(),
        run: 0,
        permit,
    };
    node.handle(
        tracker::SuspectEvent::Message("n1".to_owned(), message),
        &nodes,
        now,
    );
    assert!(node.is_suspect(&fingerprint()));
    let event = tracker::SuspectEvent::RetractCrash {
        fingerprint: fingerprint(),
        organisation: "novia-lima".to_owned(),
        crash: crash("u1"),
    };
    node.handle(event, &nodes, now);
    assert!(!node.is_suspect(&fingerprint()));
}

#[tokio::test(start_paused = true)]
async fn suspects_take_turns_and_avoid_resumed_ones() {
    let mut now = time::Instant::now();
    let mut queue = isolation::IsolationQueue::default();
    let turn = |run| isolation::IsolationRequest::Turn {
        run,
        time_limit: RUN_TIME_LIMIT,
    };
    queue.handle("n1", turn(1), now);
    let resume = isolation::IsolationRequest::Resume {
        run: 9,
        upstreams: hosts(&["u2", "u5"]),
        time_limit: RUN_TIME_LIMIT,
    };
    queue.handle("n2", resume, now);
    now += std_time::Duration::from_millis(300);
    let granted = isolation::IsolationReply::Turn {
        run: 1,
        avoid: hosts(&["u2", "u5"]),
    };
    assert_eq!(queue.handle("n1", turn(1), now), Some(granted));
    let wait = isolation::IsolationReply::Wait(2);
    assert_eq!(queue.handle("n2", turn(2), now), Some(wait));
    queue.handle("n1", isolation::IsolationRequest::End(1), now);
    now += std_time::Duration::from_millis(300);
    let answer = queue.handle("n2", turn(2), now);
    assert!(matches!(
        answer,
        Some(isolation::IsolationReply::Turn { run: 2, .. })
    ));
}

#[test]
fn a_permit_from_another_node_costs_few_bytes() {
    let run = 1_800_000_000_000_000;
    let messages = [
        suspect::SuspectMessage::Claim(permit_claim(run, &[])),
        suspect::SuspectMessage::Decision {
            run,
            decision: suspect::PermitDecision::Granted,
            revoked: Vec::new(),
            issuers: Vec::new(),
        },
        suspect::SuspectMessage::End {
            fingerprint: fingerprint(),
            run,
            end: suspect::RunEnd::Answered,
        },
        suspect::SuspectMessage::EndAck(run),
    ];
    let bytes: Vec<_> = messages
        .iter()
        .map(|message| postcard::to_stdvec(message).unwrap().len())
        .collect();
    println!("claim, decision, end, acknowledgement: {bytes:?} bytes");
    assert!(bytes.iter().sum::<usize>() <= 120, "{bytes:?}");
}

/// Delivers messages between nodes until none is left and returns the other
/// actions.
fn deliver(
    nodes: &mut [(&str, tracker::SuspectTracker, Assigned)],
    from: &str,
    actions: Vec<claim::ClaimAction>,
    now: time::Instant,
) -> Vec<claim::ClaimAction> {
    let mut out = Vec::new();
    let mut queue: std::collections::VecDeque<_> = actions
        .into_iter()
        .map(|action| (from.to_owned(), action))
        .collect();
    while let Some((from, action)) = queue.pop_front() {
        let claim::ClaimAction::Send(to, message) = action else {
            out.push(action);
            continue;
        };
        // Messages to unknown nodes are lost.
        if let Some((_, node, view)) = nodes.iter_mut().find(|(name, ..)| *name == to) {
            let event = tracker::SuspectEvent::Message(from, message);
            let replies = node.handle(event, view, now);
            queue.extend(replies.into_iter().map(|action| (to.clone(), action)));
        }
    }
    out
}

#[tokio::test(start_paused = true)]
async fn a_resend_finds_the_issuer_that_only_other_nodes_know_of() {
    let now = time::Instant::now();
    let old = hosts(&["n1", "n2", "n3"]);
    let new = hosts(&["n1", "n2", "n3", "n4"]);
    // A request whose first issuer is new and whose second issuer remains.
    let request = (0_u32..)
        .map(|number| suspect::fingerprint("novia-lima", "assistant", &number.to_le_bytes()))
        .find(|request| suspect::issuers(request, &new)[0] == "n4")
        .unwrap();
    let [remaining, replaced] = suspect::issuers(&request, &old);
    let claimant = old
        .iter()
        .find(|name| **name != remaining && **name != replaced)
        .unwrap();
    let mut nodes: Vec<_> = new
        .iter()
        .map(|name| {
            // The claimant does not know the new node yet.
            let view = if name == claimant { &old } else { &new };
            let node = tracker::SuspectTracker::new(name.clone(), 1);
            (name.as_str(), node, Assigned(view.clone()))
        })
        .collect();
    // The permit of the remaining issuer is held by a node that has died.
    let earlier_claim = suspect::SuspectMessage::Claim(suspect::PermitClaim {
        fingerprint: request,
        ..permit_claim(7, &[])
    });
    let event = tracker::SuspectEvent::Message("dead".to_owned(), earlier_claim);
    let (_, node, view) = nodes
        .iter_mut()
        .find(|(name, ..)| *name == remaining)
        .unwrap();
    node.handle(event, view, now);
    let (_, node, view) = nodes
        .iter_mut()
        .find(|(name, ..)| name == claimant)
        .unwrap();
    let run = node.next_run_number();
    let begin = tracker::SuspectEvent::Begin(run, run_request(request, &old));
    let actions = node.handle(begin, view, now);
    assert_eq!(
        deliver(&mut nodes, claimant, actions, now),
        [claim::ClaimAction::Start(run)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_new_issuer_runs_requests_under_its_own_permit() {
    let now = time::Instant::now();
    let old = hosts(&["n1", "n2", "n3", "n4"]);
    let request = fingerprint();
    let [remaining, dead] = suspect::issuers(&request, &old);
    let new: Vec<_> = old.iter().filter(|name| **name != dead).cloned().collect();
    let successor = suspect::issuers(&request, &new)
        .into_iter()
        .find(|name| *name != remaining)
        .unwrap();
    let other = new
        .iter()
        .find(|name| **name != remaining && **name != successor)
        .unwrap();
    let mut nodes: Vec<_> = new
        .iter()
        .map(|name| {
            let node = tracker::SuspectTracker::new(name.clone(), 1);
            (name.as_str(), node, Assigned(old.clone()))
        })
        .collect();
    let begin = |nodes: &mut Vec<(&str, tracker::SuspectTracker, Assigned)>, name: &str| {
        let (_, node, view) = nodes.iter_mut().find(|(known, ..)| *known == name).unwrap();
        let run = node.next_run_number();
        let run_request = run_request(request, &view.0);
        let actions = node.handle(tracker::SuspectEvent::Begin(run, run_request), view, now);
        deliver(nodes, name, actions, now)
    };
    // The successor runs the request under the permit of the remaining issuer.
    assert_eq!(
        begin(&mut nodes, &successor),
        [claim::ClaimAction::Start(2)]
    );
    for name in &new {
        let (_, node, view) = nodes.iter_mut().find(|(known, ..)| known == name).unwrap();
        view.0 = new.clone();
        let actions = node.handle(tracker::SuspectEvent::AssignmentChanged, view, now);
        deliver(&mut nodes, name, actions, now);
    }
    // The successor dies before any node detects it.
    nodes.retain(|(name, ..)| *name != successor);
    assert_eq!(begin(&mut nodes, other), [claim::ClaimAction::Start(2)]);
}
