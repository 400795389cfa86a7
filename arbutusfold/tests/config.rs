//! Sections of documents and their way between peers, without a store.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::config::{self, change, section, spread};
use arbutusfold::document;
use tokio::time;

/// A document of that many organisations, in the form that operators write.
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

fn force(version: u64, text: String) -> config::ForceDocument {
    config::ForceDocument::parse(version, text).unwrap()
}

struct CarriedDocument {
    text: Option<String>,
    bytes: usize,
    longest: usize,
}

/// Carries a document from `giver` to a node that holds `held`.
fn carry(giver: &config::ForceDocument, held: Option<&config::ForceDocument>) -> CarriedDocument {
    let now = time::Instant::now();
    let version = held.map_or(0, |held| held.version);
    let mut taker_state = spread::SpreadState::default();
    let mut giver_state = spread::SpreadState::default();
    let mut pending = taker_state.hear_version("giver", giver.version, version, now);
    let mut carried = CarriedDocument {
        text: None,
        bytes: 0,
        longest: 0,
    };
    while let Some(action) = pending.pop() {
        match action {
            spread::SpreadAction::Send(to, message) => {
                let length = postcard::to_stdvec(&message).unwrap().len();
                carried.bytes += length;
                carried.longest = carried.longest.max(length);
                pending.extend(match to.as_str() {
                    "giver" => giver_state.hear("taker", message, Some(giver), now),
                    _ => taker_state.hear("giver", message, held, now),
                });
            }
            spread::SpreadAction::Adopt(received) => carried.text = Some(received.text),
            spread::SpreadAction::Broken(_) => panic!("broken"),
        }
    }
    carried
}

#[test]
fn change_of_a_large_document_travels_as_its_sections() {
    let old = force(1, text(8_400, 1));
    let new = force(2, text(8_400, 2));
    assert!(new.text.len() > 1_500_000, "{}", new.text.len());
    let carried = carry(&new, Some(&old));
    assert_eq!(carried.text.as_ref(), Some(&new.text));
    println!(
        "document {} bytes, {} sections; one change {} bytes, longest message {}",
        new.text.len(),
        new.sections.len(),
        carried.bytes,
        carried.longest
    );
    // 800 changes a day at this length are a fiftieth of a node's 7 KB a second.
    assert!(carried.bytes < 15_000, "{}", carried.bytes);
    assert!(carried.longest <= spread::MESSAGE_LIMIT_BYTES);
}

#[test]
fn fresh_node_gets_the_whole_in_bounded_messages() {
    let new = force(7, text(8_400, 1));
    let carried = carry(&new, None);
    assert_eq!(carried.text.as_ref(), Some(&new.text));
    assert!(carried.longest <= spread::MESSAGE_LIMIT_BYTES);
}

#[test]
fn longest_document_fits_the_bounds() {
    let new = force(1, text(19_000, 1));
    assert!(new.text.len() < section::DOCUMENT_LIMIT_BYTES);
    let carried = carry(&new, None);
    assert_eq!(carried.text.as_ref(), Some(&new.text));
    assert!(carried.longest <= spread::MESSAGE_LIMIT_BYTES);
}

#[test]
fn sections_that_do_not_make_up_the_whole_are_reported() {
    let giver = force(3, text(40, 1));
    let now = time::Instant::now();
    let mut state = spread::SpreadState::default();
    state.hear_version("giver", 3, 0, now);
    let list = spread::SectionList {
        version: 3,
        digest: [9; 32],
        sections: giver.sections.iter().map(|known| known.digest).collect(),
    };
    state.hear("giver", spread::SpreadMessage::List(list), None, now);
    let parts = giver
        .sections
        .iter()
        .map(|known| giver.text.as_bytes()[known.range.clone()].to_vec())
        .collect();
    let actions = state.hear(
        "giver",
        spread::SpreadMessage::Sections(3, parts),
        None,
        now,
    );
    assert_eq!(actions, [spread::SpreadAction::Broken(3)]);
}

#[test]
fn silent_source_is_replaced_by_another() {
    let begin = time::Instant::now();
    let mut state = spread::SpreadState::default();
    state.hear_version("silent", 5, 1, begin);
    state.hear_version("other", 5, 1, begin);
    let later = begin + std_time::Duration::from_millis(400);
    let actions = state.tick(1, later);
    let asked = spread::SpreadMessage::AskList(1);
    assert_eq!(
        actions,
        [spread::SpreadAction::Send("other".to_owned(), asked)]
    );
}

#[test]
fn dead_source_of_a_newer_version_does_not_hide_an_older_one() {
    let mut now = time::Instant::now();
    let mut state = spread::SpreadState::default();
    state.hear_version("dead", 9, 7, now);
    for _ in 0..8 {
        now += std_time::Duration::from_millis(400);
        state.tick(7, now);
    }
    let actions = state.hear_version("alive", 8, 7, now);
    let asked = spread::SpreadMessage::AskList(7);
    assert_eq!(
        actions,
        [spread::SpreadAction::Send("alive".to_owned(), asked)]
    );
    assert_eq!(state.highest(), 9);
}

#[test]
fn refused_version_is_not_asked_for_again() {
    let now = time::Instant::now();
    let mut state = spread::SpreadState::default();
    state.refuse(4);
    assert_eq!(state.hear_version("giver", 4, 3, now), []);
    assert_eq!(state.hear_version("giver", 5, 3, now).len(), 1);
}

#[test]
fn key_leads_to_its_organisation() {
    let held = force(1, text(40, 1));
    for index in [0, 7, 39] {
        let found = held.organisation_of_key(&format!("key-{index}")).unwrap();
        assert_eq!(found.name, format!("organisation-{index}"));
    }
    assert!(held.organisation_of_key("key-40").is_none());
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
