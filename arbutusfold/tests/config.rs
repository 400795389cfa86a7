//! Chunks of documents and their replication between peers, without a table service.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::config::{self, change, chunk, replication};
use arbutusfold::document;
use tokio::time;

/// Returns a document with `organisations` entries, formatted as operators write it;
/// `weight` applies to the middle one.
fn text(organisations: usize, weight: u32) -> String {
    let entries: Vec<_> = (0..organisations)
        .map(|index| {
            let digest = document::digest_key(&format!("key-{index}"));
            let weight = if index == organisations / 2 { weight } else { 1 };
            format!(
                "    {{\"name\": \"organisation-{index}\", \"key_digests\": [\"{digest}\"], \"weight\": {weight}, \"priority\": \"interactive\", \"tokens_per_second\": 4000}}"
            )
        })
        .collect();
    format!(
        "{{\n  \"models\": [], \"pipelines\": [], \"upstreams\": [],\n  \"organisations\": [\n{}\n  ]\n}}\n",
        entries.join(",\n")
    )
}

fn active_document(version: u64, text: String) -> config::ActiveDocument {
    config::ActiveDocument::parse(version, text).unwrap()
}

struct DocumentTransfer {
    text: Option<String>,
    bytes: usize,
    longest: usize,
}

/// Transfers the document of `sender` to a node whose active document is `active`.
fn transfer(
    sender: &config::ActiveDocument,
    active: Option<&config::ActiveDocument>,
) -> DocumentTransfer {
    let now = time::Instant::now();
    let active_version = active.map_or(0, |active| active.version);
    let mut receiver_state = replication::ReplicationState::default();
    let mut sender_state = replication::ReplicationState::default();
    let mut pending = receiver_state.observe_version("sender", sender.version, active_version, now);
    let mut sent = DocumentTransfer {
        text: None,
        bytes: 0,
        longest: 0,
    };
    while let Some(action) = pending.pop() {
        match action {
            replication::ReplicationAction::Send(to, message) => {
                let length = postcard::to_stdvec(&message).unwrap().len();
                sent.bytes += length;
                sent.longest = sent.longest.max(length);
                pending.extend(match to.as_str() {
                    "sender" => sender_state.receive("receiver", message, Some(sender), now),
                    _ => receiver_state.receive("sender", message, active, now),
                });
            }
            replication::ReplicationAction::Activate(received) => sent.text = Some(received.text),
            replication::ReplicationAction::Corrupt(_) => panic!("chunks do not match the digest"),
        }
    }
    sent
}

#[test]
fn change_of_a_large_document_is_sent_in_chunks() {
    let old = active_document(1, text(8_400, 1));
    let new = active_document(2, text(8_400, 2));
    assert!(new.text.len() > 1_500_000, "{}", new.text.len());
    let sent = transfer(&new, Some(&old));
    assert_eq!(sent.text.as_ref(), Some(&new.text));
    println!(
        "document {} bytes, {} chunks; one change {} bytes, longest message {}",
        new.text.len(),
        new.chunks.len(),
        sent.bytes,
        sent.longest
    );
    // 800 changes a day of this length take a fiftieth of the 7 KB a second of a node.
    assert!(sent.bytes < 15_000, "{}", sent.bytes);
    assert!(sent.longest <= replication::MESSAGE_LIMIT_BYTES);
}

#[test]
fn fresh_node_gets_the_whole_in_bounded_messages() {
    let new = active_document(7, text(8_400, 1));
    let sent = transfer(&new, None);
    assert_eq!(sent.text.as_ref(), Some(&new.text));
    assert!(sent.longest <= replication::MESSAGE_LIMIT_BYTES);
}

#[test]
fn longest_document_fits_the_bounds() {
    let new = active_document(1, text(19_000, 1));
    assert!(new.text.len() < chunk::DOCUMENT_LIMIT_BYTES);
    let sent = transfer(&new, None);
    assert_eq!(sent.text.as_ref(), Some(&new.text));
    assert!(sent.longest <= replication::MESSAGE_LIMIT_BYTES);
}

#[test]
fn chunks_that_do_not_match_the_digest_are_reported() {
    let sender = active_document(3, text(40, 1));
    let now = time::Instant::now();
    let mut state = replication::ReplicationState::default();
    state.observe_version("sender", 3, 0, now);
    let list = replication::ChunkList {
        version: 3,
        digest: [9; 32],
        chunks: sender.chunks.iter().map(|chunk| chunk.digest).collect(),
    };
    state.receive(
        "sender",
        replication::ReplicationMessage::List(list),
        None,
        now,
    );
    let contents = sender
        .chunks
        .iter()
        .map(|chunk| sender.text.as_bytes()[chunk.range.clone()].to_vec())
        .collect();
    let actions = state.receive(
        "sender",
        replication::ReplicationMessage::Chunks(3, contents),
        None,
        now,
    );
    assert_eq!(actions, [replication::ReplicationAction::Corrupt(3)]);
}

#[test]
fn silent_source_is_replaced_by_another() {
    let begin = time::Instant::now();
    let mut state = replication::ReplicationState::default();
    state.observe_version("silent", 5, 1, begin);
    state.observe_version("other", 5, 1, begin);
    let later = begin + std_time::Duration::from_millis(400);
    let actions = state.tick(1, later);
    let request = replication::ReplicationMessage::RequestList(1);
    assert_eq!(
        actions,
        [replication::ReplicationAction::Send(
            "other".to_owned(),
            request
        )]
    );
}

#[test]
fn dead_source_of_a_newer_version_does_not_hide_an_older_one() {
    let mut now = time::Instant::now();
    let mut state = replication::ReplicationState::default();
    state.observe_version("dead", 9, 7, now);
    for _ in 0..8 {
        now += std_time::Duration::from_millis(400);
        state.tick(7, now);
    }
    let actions = state.observe_version("alive", 8, 7, now);
    let request = replication::ReplicationMessage::RequestList(7);
    assert_eq!(
        actions,
        [replication::ReplicationAction::Send(
            "alive".to_owned(),
            request
        )]
    );
    assert_eq!(state.highest_seen(), 9);
}

#[test]
fn refused_version_is_not_asked_for_again() {
    let now = time::Instant::now();
    let mut state = replication::ReplicationState::default();
    state.refuse(4);
    assert_eq!(state.observe_version("sender", 4, 3, now), []);
    assert_eq!(state.observe_version("sender", 5, 3, now).len(), 1);
}

#[test]
fn key_leads_to_its_organisation() {
    let active = active_document(1, text(40, 1));
    for index in [0, 7, 39] {
        let found = active
            .organisation_for_key(&format!("key-{index}"))
            .unwrap();
        assert_eq!(found.name, format!("organisation-{index}"));
    }
    assert!(active.organisation_for_key("key-40").is_none());
}

#[test]
fn difference_names_entries_and_fields() {
    let old = document::parse(&text(3, 1)).unwrap();
    let mut new = document::parse(&text(4, 1)).unwrap();
    new.organisations.remove(0);
    new.organisations[0].weight = 5;
    new.domains.push("pe-a".to_owned());
    let changes = change::compare(&old, &new);
    let lines: Vec<_> = changes.entries.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "organisations organisation-0: removed",
            "organisations organisation-1: changed in weight",
            "organisations organisation-3: added",
            "domains pe-a: added",
        ]
    );
    assert_eq!(
        change::compare(&old, &old),
        change::DocumentChanges::default()
    );
}
