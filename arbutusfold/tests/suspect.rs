//! Permits bound how many upstreams one request crashes.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::suspect::{self, claim, host, isolation, permit};
use tokio::time;

const LASTS: std_time::Duration = std_time::Duration::from_secs(60);

struct Assigned(Vec<String>);

impl host::AssignedNodes for Assigned {
    fn assigned(&self, _organisation: &str) -> Vec<String> {
        self.0.clone()
    }
}

fn hosts(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn print() -> suspect::RequestFingerprint {
    suspect::fingerprint("novia-lima", "assistant", b"airbrush")
}

fn mark(upstream: &str) -> suspect::CrashMark {
    suspect::CrashMark {
        upstream: upstream.to_owned(),
        incarnation: 1,
    }
}

fn ask(run: u64, burnt: &[suspect::BurntPermit]) -> suspect::PermitClaim {
    suspect::PermitClaim {
        fingerprint: print(),
        organisation: "novia-lima".to_owned(),
        run,
        lasts: LASTS,
        burnt: burnt.to_vec(),
        pardon: None,
    }
}

fn wanted(fingerprint: suspect::RequestFingerprint, assigned: &[String]) -> claim::RunRequest {
    claim::RunRequest {
        fingerprint,
        organisation: "novia-lima".to_owned(),
        assigned: assigned.to_vec(),
        lasts: LASTS,
        pardon: None,
    }
}

#[test]
fn fingerprints_follow_what_is_asked() {
    let same = suspect::fingerprint("novia-lima", "assistant", b"airbrush");
    assert_eq!(print(), same);
    let others = [
        suspect::fingerprint("te-ara", "assistant", b"airbrush"),
        suspect::fingerprint("novia-lima", "other", b"airbrush"),
        suspect::fingerprint("novia-lima", "assistant", b"traditional"),
        suspect::fingerprint("novia-limaa", "ssistant", b"airbrush"),
    ];
    assert!(others.iter().all(|other| *other != print()));
}

#[tokio::test(start_paused = true)]
async fn a_permit_is_held_by_one_run_and_burnt_by_a_crash() {
    let now = time::Instant::now();
    let keepers = hosts(&["n1", "n2"]);
    let mut keeper = permit::PermitKeeper::new("n1".to_owned());
    let claim = |keeper: &mut permit::PermitKeeper, from: &str, run| {
        keeper.claim(from, &ask(run, &[]), &keepers, now)
    };
    assert_eq!(claim(&mut keeper, "n3", 1), suspect::PermitVerdict::Granted);
    // The same run asks again because the answer was lost.
    assert_eq!(claim(&mut keeper, "n3", 1), suspect::PermitVerdict::Granted);
    assert_eq!(claim(&mut keeper, "n4", 1), suspect::PermitVerdict::Busy);
    let crashed = suspect::RunEnd::Crashed(mark("u1"));
    keeper.end("n3", &print(), 1, &crashed, now);
    keeper.end("n3", &print(), 1, &crashed, now);
    assert_eq!(keeper.burnt(&print()).len(), 1);
    assert_eq!(
        claim(&mut keeper, "n4", 1),
        suspect::PermitVerdict::Elsewhere
    );
}

#[tokio::test(start_paused = true)]
async fn an_answer_clears_a_request_and_a_run_never_ended_burns() {
    let mut now = time::Instant::now();
    let keepers = hosts(&["n1", "n2"]);
    let mut keeper = permit::PermitKeeper::new("n1".to_owned());
    keeper.claim("n3", &ask(1, &[]), &keepers, now);
    now += LASTS;
    keeper.tick(now);
    assert_eq!(keeper.burnt(&print()).len(), 1);
    keeper.note_answered(&print(), now);
    assert_eq!(
        keeper.claim("n3", &ask(2, &[]), &keepers, now),
        suspect::PermitVerdict::Granted
    );
    // What was answered lately runs as often as it is asked for.
    assert_eq!(
        keeper.claim("n4", &ask(3, &[]), &keepers, now),
        suspect::PermitVerdict::Granted
    );
}

#[tokio::test(start_paused = true)]
async fn a_keeper_in_a_dead_ones_place_adds_no_permit() {
    let now = time::Instant::now();
    let burnt = [suspect::BurntPermit {
        keeper: "dead".to_owned(),
        mark: mark("u1"),
    }];
    let keepers = hosts(&["n2", "n3"]);
    let mut second = permit::PermitKeeper::new("n2".to_owned());
    let mut fresh = permit::PermitKeeper::new("n3".to_owned());
    assert_eq!(
        fresh.claim("n4", &ask(1, &burnt), &keepers, now),
        suspect::PermitVerdict::Elsewhere
    );
    assert_eq!(
        second.claim("n4", &ask(1, &burnt), &keepers, now),
        suspect::PermitVerdict::Granted
    );
}

#[tokio::test(start_paused = true)]
async fn a_lone_node_gives_two_permits_and_then_none() {
    let now = time::Instant::now();
    let nodes = Assigned(hosts(&["n1"]));
    let mut node = host::SuspectHost::new("n1".to_owned(), 1);
    let mut verdicts = Vec::new();
    for upstream in ["u1", "u2", "u3"] {
        let run = node.number();
        let request = wanted(print(), &nodes.0);
        let event = host::SuspectEvent::Begin(run, request);
        verdicts.extend(node.handle(event, &nodes, now));
        let end = suspect::RunEnd::Crashed(mark(upstream));
        node.handle(host::SuspectEvent::End(run, end), &nodes, now);
    }
    assert_eq!(
        verdicts,
        [
            claim::ClaimAction::Start(2),
            claim::ClaimAction::Start(3),
            claim::ClaimAction::Refuse(4, claim::RunRefusal::Quarantined),
        ]
    );
}

/// Runs a request until it is refused; each run crashes its upstream, after
/// new tokens where `progress` says so. Returns the number of crashes.
fn crash_until_refused(progress: impl Fn(usize) -> bool) -> usize {
    let now = time::Instant::now();
    let nodes = Assigned(hosts(&["n1"]));
    let mut node = host::SuspectHost::new("n1".to_owned(), 1);
    for crashes in 0..20 {
        let run = node.number();
        let request = wanted(print(), &nodes.0);
        let event = host::SuspectEvent::Begin(run, request);
        if node.handle(event, &nodes, now) != [claim::ClaimAction::Start(run)] {
            return crashes;
        }
        let mark = mark(&format!("u{crashes}"));
        if progress(crashes) {
            node.pardon(&print(), "novia-lima", &mark, now);
        }
        let end = suspect::RunEnd::Crashed(mark);
        node.handle(host::SuspectEvent::End(run, end), &nodes, now);
    }
    panic!("no bound");
}

#[tokio::test(start_paused = true)]
async fn crashes_after_new_tokens_are_pardoned_twice() {
    // Before the first token; at one later token; after tokens each time;
    // the worst order.
    assert_eq!(crash_until_refused(|_| false), 2);
    assert_eq!(crash_until_refused(|crashes| crashes == 0), 3);
    assert_eq!(crash_until_refused(|_| true), 4);
    assert_eq!(crash_until_refused(|crashes| crashes % 2 == 1), 6);
}

#[tokio::test(start_paused = true)]
async fn a_crash_that_was_none_gives_the_permit_back() {
    let now = time::Instant::now();
    let nodes = Assigned(hosts(&["n1"]));
    let mut node = host::SuspectHost::new("n1".to_owned(), 1);
    let permit = suspect::BurntPermit {
        keeper: "n1".to_owned(),
        mark: mark("u1"),
    };
    let message = suspect::SuspectMessage::Burnt {
        fingerprint: print(),
        organisation: "novia-lima".to_owned(),
        run: 0,
        permit,
    };
    node.handle(
        host::SuspectEvent::Hear("n1".to_owned(), message),
        &nodes,
        now,
    );
    assert!(node.is_suspect(&print()));
    let event = host::SuspectEvent::Withdraw {
        fingerprint: print(),
        organisation: "novia-lima".to_owned(),
        mark: mark("u1"),
    };
    node.handle(event, &nodes, now);
    assert!(!node.is_suspect(&print()));
}

#[tokio::test(start_paused = true)]
async fn suspects_take_turns_and_avoid_those_that_went_on() {
    let mut now = time::Instant::now();
    let mut desk = isolation::IsolationDesk::default();
    let turn = |run| isolation::IsolationCall::Turn { run, lasts: LASTS };
    desk.hear("n1", turn(1), now);
    let resume = isolation::IsolationCall::Resume {
        run: 9,
        upstreams: hosts(&["u2", "u5"]),
        lasts: LASTS,
    };
    desk.hear("n2", resume, now);
    now += std_time::Duration::from_millis(300);
    let granted = isolation::IsolationAnswer::Turn {
        run: 1,
        avoid: hosts(&["u2", "u5"]),
    };
    assert_eq!(desk.hear("n1", turn(1), now), Some(granted));
    let wait = isolation::IsolationAnswer::Wait(2);
    assert_eq!(desk.hear("n2", turn(2), now), Some(wait));
    desk.hear("n1", isolation::IsolationCall::End(1), now);
    now += std_time::Duration::from_millis(300);
    let answer = desk.hear("n2", turn(2), now);
    assert!(matches!(
        answer,
        Some(isolation::IsolationAnswer::Turn { run: 2, .. })
    ));
}

#[test]
fn a_permit_from_another_node_costs_few_bytes() {
    let run = 1_800_000_000_000_000;
    let messages = [
        suspect::SuspectMessage::Claim(ask(run, &[])),
        suspect::SuspectMessage::Verdict {
            run,
            verdict: suspect::PermitVerdict::Granted,
            burnt: Vec::new(),
            keepers: Vec::new(),
        },
        suspect::SuspectMessage::End {
            fingerprint: print(),
            run,
            end: suspect::RunEnd::Answered,
        },
        suspect::SuspectMessage::Noted(run),
    ];
    let bytes: Vec<_> = messages
        .iter()
        .map(|message| postcard::to_stdvec(message).unwrap().len())
        .collect();
    println!("claim, verdict, end, noted: {bytes:?} bytes");
    assert!(bytes.iter().sum::<usize>() <= 120, "{bytes:?}");
}

/// Delivers what nodes say to each other and returns what else follows, by node.
fn settle(
    nodes: &mut [(&str, host::SuspectHost, Assigned)],
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
        // What goes to a node that is not in the list is lost.
        if let Some((_, node, view)) = nodes.iter_mut().find(|(name, ..)| *name == to) {
            let event = host::SuspectEvent::Hear(from, message);
            let more = node.handle(event, view, now);
            queue.extend(more.into_iter().map(|action| (to.clone(), action)));
        }
    }
    out
}

#[tokio::test(start_paused = true)]
async fn a_resend_finds_the_keeper_that_only_other_nodes_know_of() {
    let now = time::Instant::now();
    let old = hosts(&["n1", "n2", "n3"]);
    let new = hosts(&["n1", "n2", "n3", "n4"]);
    // A request whose first keeper is new and whose second one stays.
    let request = (0_u32..)
        .map(|number| suspect::fingerprint("novia-lima", "assistant", &number.to_le_bytes()))
        .find(|request| suspect::keepers(request, &new)[0] == "n4")
        .unwrap();
    let [kept, replaced] = suspect::keepers(&request, &old);
    let claimant = old
        .iter()
        .find(|name| **name != kept && **name != replaced)
        .unwrap();
    let mut nodes: Vec<_> = new
        .iter()
        .map(|name| {
            // The claimant has not heard of the new node yet.
            let view = if name == claimant { &old } else { &new };
            let node = host::SuspectHost::new(name.clone(), 1);
            (name.as_str(), node, Assigned(view.clone()))
        })
        .collect();
    // A node that died meanwhile holds the permit of the keeper that stays.
    let held = suspect::SuspectMessage::Claim(suspect::PermitClaim {
        fingerprint: request,
        ..ask(7, &[])
    });
    let event = host::SuspectEvent::Hear("dead".to_owned(), held);
    let (_, node, view) = nodes.iter_mut().find(|(name, ..)| *name == kept).unwrap();
    node.handle(event, view, now);
    let (_, node, view) = nodes
        .iter_mut()
        .find(|(name, ..)| name == claimant)
        .unwrap();
    let run = node.number();
    let begin = host::SuspectEvent::Begin(run, wanted(request, &old));
    let actions = node.handle(begin, view, now);
    assert_eq!(
        settle(&mut nodes, claimant, actions, now),
        [claim::ClaimAction::Start(run)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_node_that_comes_to_keep_a_permit_runs_under_its_own() {
    let now = time::Instant::now();
    let old = hosts(&["n1", "n2", "n3", "n4"]);
    let request = print();
    let [kept, dead] = suspect::keepers(&request, &old);
    let new: Vec<_> = old.iter().filter(|name| **name != dead).cloned().collect();
    let heir = suspect::keepers(&request, &new)
        .into_iter()
        .find(|name| *name != kept)
        .unwrap();
    let last = new
        .iter()
        .find(|name| **name != kept && **name != heir)
        .unwrap();
    let mut nodes: Vec<_> = new
        .iter()
        .map(|name| {
            let node = host::SuspectHost::new(name.clone(), 1);
            (name.as_str(), node, Assigned(old.clone()))
        })
        .collect();
    let begin = |nodes: &mut Vec<(&str, host::SuspectHost, Assigned)>, name: &str| {
        let (_, node, view) = nodes.iter_mut().find(|(known, ..)| *known == name).unwrap();
        let run = node.number();
        let wanted = wanted(request, &view.0);
        let actions = node.handle(host::SuspectEvent::Begin(run, wanted), view, now);
        settle(nodes, name, actions, now)
    };
    // The heir runs the request under the permit of the keeper that stays.
    assert_eq!(begin(&mut nodes, &heir), [claim::ClaimAction::Start(2)]);
    for name in &new {
        let (_, node, view) = nodes.iter_mut().find(|(known, ..)| known == name).unwrap();
        view.0 = new.clone();
        let actions = node.handle(host::SuspectEvent::Moved, view, now);
        settle(&mut nodes, name, actions, now);
    }
    // The heir dies, and no node knows it yet.
    nodes.retain(|(name, ..)| *name != heir);
    assert_eq!(begin(&mut nodes, last), [claim::ClaimAction::Start(2)]);
}
