//! Messaging between nodes: authentication, replay protection and broadcast; assignment of
//! organisations to nodes.

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
        broadcast: None,
        body: b"body".to_vec(),
    }
}

/// A transport that records the messages it is given.
#[derive(Default)]
struct RecordingTransport {
    messages: sync::Mutex<Vec<(net::SocketAddr, Vec<u8>)>>,
}

impl PeerTransport for RecordingTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        self.messages.lock().unwrap().push((to, message.to_vec()));
    }
}

#[derive(Default)]
struct RecordingHandler {
    bodies: sync::Mutex<Vec<(String, Vec<u8>)>>,
}

impl peer::MessageHandler for RecordingHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        let message = (sender.to_owned(), body.to_vec());
        self.bodies.lock().unwrap().push(message);
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

fn endpoint(
    number: usize,
    incarnation: u64,
    keys: &[[u8; 32]],
    known: &[usize],
) -> peer::PeerEndpoint {
    let members = view(known);
    peer::PeerEndpoint::new(
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
    let swapped = peer::MessageSigner::new(vec![NEW_KEY, OLD_KEY]);
    let new = peer::MessageSigner::new(vec![NEW_KEY]);
    let to = address(1);
    // Nodes at neighbouring steps of a rotation accept each other's messages.
    for (left, right) in [(&old, &both), (&both, &swapped), (&swapped, &new)] {
        let there = left.sign(to, &envelope(1)).unwrap();
        assert_eq!(right.verify(to, &there), Ok(envelope(1)));
        let back = right.sign(to, &envelope(1)).unwrap();
        assert_eq!(left.verify(to, &back), Ok(envelope(1)));
    }
    let message = new.sign(to, &envelope(1)).unwrap();
    assert_eq!(
        old.verify(to, &message),
        Err(peer::MessageError::InvalidCode)
    );
}

#[test]
fn changed_bytes_and_other_receivers_are_refused() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let message = signer.sign(address(1), &envelope(1)).unwrap();
    for index in 1..message.len() {
        let mut changed = message.clone();
        changed[index] ^= 1;
        assert!(signer.verify(address(1), &changed).is_err(), "byte {index}");
    }
    let elsewhere = signer.verify(address(2), &message);
    assert_eq!(elsewhere, Err(peer::MessageError::InvalidCode));
}

#[test]
fn later_releases_are_skipped() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let mut newer = signer.sign(address(9), &envelope(1)).unwrap();
    newer[0] += 1;
    let endpoint = endpoint(9, 9, &[OLD_KEY], &[]);
    assert_eq!(
        endpoint.receive(&newer),
        Err(peer::MessageError::NewerFormat)
    );
    let mut unknown = envelope(1);
    unknown.kind = 999;
    let unknown = signer.sign(address(9), &unknown).unwrap();
    assert_eq!(
        endpoint.receive(&unknown),
        Err(peer::MessageError::UnknownKind)
    );
    let known = signer.sign(address(9), &envelope(2)).unwrap();
    assert_eq!(endpoint.receive(&known), Ok(()));
}

#[test]
fn replays_are_refused_also_after_a_restart() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let message = signer.sign(address(9), &envelope(5)).unwrap();
    let before = endpoint(9, 9, &[OLD_KEY], &[]);
    assert_eq!(before.receive(&message), Ok(()));
    assert_eq!(before.receive(&message), Err(peer::MessageError::Replay));
    let restarted = endpoint(9, 10, &[OLD_KEY], &[]);
    assert_eq!(
        restarted.receive(&message),
        Err(peer::MessageError::WrongIncarnation)
    );
}

#[test]
fn late_messages_are_taken_once() {
    let mut guard = peer::ReplayGuard::default();
    let accepted: Vec<_> = [10, 12, 11, 11, 80, 12, 17, 17]
        .into_iter()
        .map(|sequence| guard.accept("entry-1", 7, sequence).is_ok())
        .collect();
    let expected = [true, true, true, false, true, false, true, false];
    assert_eq!(accepted, expected);
    assert_eq!(guard.accept("entry-1", 8, 1), Ok(()));
    let older = guard.accept("entry-1", 7, 81);
    assert_eq!(older, Err(peer::MessageError::StaleSender));
}

#[test]
fn only_membership_is_accepted_without_a_receiver_incarnation() {
    let signer = peer::MessageSigner::new(vec![OLD_KEY]);
    let endpoint = endpoint(9, 9, &[OLD_KEY], &[]);
    let mut unaddressed = envelope(1);
    unaddressed.receiver = 0;
    let message = signer.sign(address(9), &unaddressed).unwrap();
    assert_eq!(
        endpoint.receive(&message),
        Err(peer::MessageError::WrongIncarnation)
    );
    unaddressed.kind = peer::MessageKind::Membership.number();
    let message = signer.sign(address(9), &unaddressed).unwrap();
    assert_eq!(endpoint.receive(&message), Ok(()));
}

#[test]
fn spread_message_reaches_every_node_once() {
    let nodes = 60;
    let all: Vec<_> = (0..nodes).collect();
    let endpoints: Vec<_> = (0..nodes)
        .map(|number| endpoint(number, 1, &[OLD_KEY], &all))
        .collect();
    let wires: Vec<_> = endpoints
        .iter()
        .map(|endpoint| {
            let wire = sync::Arc::new(RecordingTransport::default());
            endpoint.attach(wire.clone());
            wire
        })
        .collect();
    let handlers: Vec<_> = endpoints
        .iter()
        .map(|endpoint| {
            let bodies = sync::Arc::new(RecordingHandler::default());
            endpoint.register(peer::MessageKind::Suspect, bodies.clone());
            bodies
        })
        .collect();
    endpoints[0].broadcast(peer::MessageKind::Suspect, b"fingerprint");
    let mut sent = 0;
    loop {
        let in_transit: Vec<_> = wires
            .iter()
            .flat_map(|wire| std::mem::take(&mut *wire.messages.lock().unwrap()))
            .collect();
        if in_transit.is_empty() {
            break;
        }
        sent += in_transit.len();
        for (to, message) in in_transit {
            let number = to.port() as usize - 10_000;
            endpoints[number].receive(&message).unwrap();
        }
    }
    let reached = handlers.iter().skip(1).filter(|bodies| {
        let bodies = bodies.bodies.lock().unwrap();
        assert!(bodies.len() <= 1);
        bodies.first() == Some(&("entry-0".to_owned(), b"fingerprint".to_vec()))
    });
    // Each node fails to receive it with a probability of about e^-8.
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
