//! Messages between nodes: who may send, what is taken, what reaches all.

#![allow(clippy::unwrap_used)]

use std::net;
use std::sync;

use arbutusfold::member;
use arbutusfold::peer;
use arbutusfold::peer::PeerTransport;

const OLD_KEY: [u8; 32] = [1; 32];
const NEW_KEY: [u8; 32] = [2; 32];

fn address(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16))
}

fn envelope(sequence: u64) -> peer::PeerEnvelope {
    peer::PeerEnvelope {
        kind: peer::MessageKind::Health.number(),
        sender: "entry-1".to_owned(),
        incarnation: 7,
        receiver: 9,
        sequence,
        spread: None,
        body: b"body".to_vec(),
    }
}

/// A transport that keeps what it is given.
#[derive(Default)]
struct KeptMessages {
    messages: sync::Mutex<Vec<(net::SocketAddr, Vec<u8>)>>,
}

impl PeerTransport for KeptMessages {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        self.messages.lock().unwrap().push((to, message.to_vec()));
    }
}

#[derive(Default)]
struct KeptBodies {
    bodies: sync::Mutex<Vec<(String, Vec<u8>)>>,
}

impl peer::MessageHandler for KeptBodies {
    fn handle(&self, sender: &str, body: &[u8]) {
        let taken = (sender.to_owned(), body.to_vec());
        self.bodies.lock().unwrap().push(taken);
    }
}

fn record(number: usize) -> member::MemberRecord {
    member::MemberRecord {
        name: format!("entry-{number}"),
        incarnation: 1,
        revision: 1,
        region: "nz-north".to_owned(),
        domain: format!("nz-{}", number % 3),
        callers: address(1_000 + number),
        peers: address(number),
        version: 0,
        phase: member::MemberPhase::Serving,
    }
}

fn view(numbers: &[usize]) -> member::MemberView {
    let mut records: Vec<_> = numbers.iter().map(|number| record(*number)).collect();
    records.sort_by(|left, right| left.name.cmp(&right.name));
    let members = member::MemberView::default();
    members.publish(records, member::RemoteRegions::default());
    members
}

fn post(number: usize, incarnation: u64, keys: &[[u8; 32]], met: &[usize]) -> peer::PeerPost {
    let members = view(met);
    peer::PeerPost::new(
        format!("entry-{number}"),
        address(number),
        incarnation,
        peer::MessageSigner::new(keys.to_vec()),
        sync::Arc::new(members),
    )
}

#[test]
fn key_rotation_needs_no_stop() {
    let old = peer::MessageSigner::new(vec![OLD_KEY]);
    let both = peer::MessageSigner::new(vec![OLD_KEY, NEW_KEY]);
    let turned = peer::MessageSigner::new(vec![NEW_KEY, OLD_KEY]);
    let new = peer::MessageSigner::new(vec![NEW_KEY]);
    let to = address(1);
    // Each step of a rotation hears the step before and after it.
    for (left, right) in [(&old, &both), (&both, &turned), (&turned, &new)] {
        let there = left.seal(to, &envelope(1)).unwrap();
        assert_eq!(right.open(to, &there), Ok(envelope(1)));
        let back = right.seal(to, &envelope(1)).unwrap();
        assert_eq!(left.open(to, &back), Ok(envelope(1)));
    }
    let sealed = new.seal(to, &envelope(1)).unwrap();
    assert_eq!(old.open(to, &sealed), Err(peer::OpenError::Code));
}

#[test]
fn changed_bytes_and_other_receivers_are_refused() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let sealed = signer.seal(address(1), &envelope(1)).unwrap();
    for place in 1..sealed.len() {
        let mut changed = sealed.clone();
        changed[place] ^= 1;
        assert!(signer.open(address(1), &changed).is_err(), "byte {place}");
    }
    let elsewhere = signer.open(address(2), &sealed);
    assert_eq!(elsewhere, Err(peer::OpenError::Code));
}

#[test]
fn later_releases_are_skipped() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let mut newer = signer.seal(address(9), &envelope(1)).unwrap();
    newer[0] += 1;
    let post = post(9, 9, &[OLD_KEY], &[]);
    assert_eq!(post.receive(&newer), Err(peer::OpenError::Format));
    let mut unknown = envelope(1);
    unknown.kind = 999;
    let unknown = signer.seal(address(9), &unknown).unwrap();
    assert_eq!(post.receive(&unknown), Err(peer::OpenError::Kind));
    let known = signer.seal(address(9), &envelope(2)).unwrap();
    assert_eq!(post.receive(&known), Ok(()));
}

#[test]
fn replays_are_refused_also_after_a_restart() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let sealed = signer.seal(address(9), &envelope(5)).unwrap();
    let before = post(9, 9, &[OLD_KEY], &[]);
    assert_eq!(before.receive(&sealed), Ok(()));
    assert_eq!(before.receive(&sealed), Err(peer::OpenError::Replay));
    let restarted = post(9, 10, &[OLD_KEY], &[]);
    assert_eq!(restarted.receive(&sealed), Err(peer::OpenError::Receiver));
}

#[test]
fn late_messages_are_taken_once() {
    let mut guard = peer::ReplayGuard::default();
    let taken: Vec<_> = [10, 12, 11, 11, 80, 12, 17, 17]
        .into_iter()
        .map(|sequence| guard.accept("entry-1", 7, sequence).is_ok())
        .collect();
    let expected = [true, true, true, false, true, false, true, false];
    assert_eq!(taken, expected);
    assert_eq!(guard.accept("entry-1", 8, 1), Ok(()));
    let older = guard.accept("entry-1", 7, 81);
    assert_eq!(older, Err(peer::OpenError::Older));
}

#[test]
fn only_membership_is_taken_from_a_host_that_has_not_met_this_one() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let post = post(9, 9, &[OLD_KEY], &[]);
    let mut unmet = envelope(1);
    unmet.receiver = 0;
    let sealed = signer.seal(address(9), &unmet).unwrap();
    assert_eq!(post.receive(&sealed), Err(peer::OpenError::Receiver));
    unmet.kind = peer::MessageKind::Membership.number();
    let sealed = signer.seal(address(9), &unmet).unwrap();
    assert_eq!(post.receive(&sealed), Ok(()));
}

#[test]
fn spread_message_reaches_every_node_once() {
    let nodes = 60;
    let all: Vec<_> = (0..nodes).collect();
    let posts: Vec<_> = (0..nodes)
        .map(|number| post(number, 1, &[OLD_KEY], &all))
        .collect();
    let wires: Vec<_> = posts
        .iter()
        .map(|post| {
            let wire = sync::Arc::new(KeptMessages::default());
            post.attach(wire.clone());
            wire
        })
        .collect();
    let taken: Vec<_> = posts
        .iter()
        .map(|post| {
            let bodies = sync::Arc::new(KeptBodies::default());
            post.register(peer::MessageKind::Suspect, bodies.clone());
            bodies
        })
        .collect();
    posts[0].post_all(peer::MessageKind::Suspect, b"fingerprint");
    let mut sent = 0;
    loop {
        let moved: Vec<_> = wires
            .iter()
            .flat_map(|wire| std::mem::take(&mut *wire.messages.lock().unwrap()))
            .collect();
        if moved.is_empty() {
            break;
        }
        sent += moved.len();
        for (to, message) in moved {
            let number = to.port() as usize - 10_000;
            posts[number].receive(&message).unwrap();
        }
    }
    let reached = taken.iter().skip(1).filter(|bodies| {
        let bodies = bodies.bodies.lock().unwrap();
        assert!(bodies.len() <= 1);
        bodies.first() == Some(&("entry-0".to_owned(), b"fingerprint".to_vec()))
    });
    // Each node misses it with a chance of about e^-8.
    assert!(reached.count() >= nodes - 3);
    assert!(sent <= nodes * 8);
}

#[test]
fn organisation_is_assigned_over_domains_and_moves_little() {
    let all: Vec<_> = (0..30).collect();
    let members = view(&all);
    let organisations: Vec<_> = (0..300).map(|number| format!("org-{number}")).collect();
    let before: Vec<_> = organisations
        .iter()
        .map(|name| members.nodes_for(name))
        .collect();
    for nodes in &before {
        let mut domains: Vec<_> = nodes
            .iter()
            .map(|host| host.trim_start_matches("entry-").parse::<usize>().unwrap() % 3)
            .collect();
        domains.sort_unstable();
        assert_eq!(domains, [0, 1, 2]);
    }
    let mut records = members.alive();
    let lost = records.iter().position(|record| record.name == "entry-4");
    records[lost.unwrap()].phase = member::MemberPhase::Leaving;
    members.publish(records, member::RemoteRegions::default());
    for (name, before) in organisations.iter().zip(&before) {
        let after = members.nodes_for(name);
        let kept = before.iter().filter(|host| after.contains(host)).count();
        let had = before.contains(&"entry-4".to_owned());
        assert_eq!(kept, if had { 2 } else { 3 }, "{name}");
    }
}

#[test]
fn heavy_organisation_is_assigned_to_more_nodes() {
    let all: Vec<_> = (0..30).collect();
    let members = view(&all);
    members.set_shares(vec![member::WeightShare {
        organisation: "novia-lima".to_owned(),
        share: 0.4,
    }]);
    assert_eq!(members.nodes_for("novia-lima").len(), 12);
    assert_eq!(members.nodes_for("small").len(), 3);
}
