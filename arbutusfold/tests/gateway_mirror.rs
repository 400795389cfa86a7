//! Tests of the copies of the store's tables.

#![allow(clippy::unwrap_used)]

use arbutusfold::gateway::mirror;
use arbutusfold_platform::store;
use bytes::Bytes;

/// Returns a version of a store that names no era.
fn at(number: u64) -> store::RowVersion {
    store::RowVersion::new(0, number)
}

fn row(key: &str, version: u64, value: Option<&str>) -> mirror::MirrorRow {
    mirror::MirrorRow {
        key: key.to_owned(),
        version: at(version),
        value: value.map(|text| Bytes::copy_from_slice(text.as_bytes())),
    }
}

fn content(table: &mirror::TableMirror) -> Vec<(String, u64)> {
    let rows = table.rows();
    rows.map(|row| (row.key.clone(), row.version.number))
        .collect()
}

#[test]
fn rows_that_come_late_or_twice_change_nothing() {
    let mut table = mirror::TableMirror::default();
    assert_eq!(table.merge([row("a", 5, Some("new"))]).len(), 1);
    assert!(table.merge([row("a", 5, Some("new"))]).is_empty());
    assert!(table.merge([row("a", 3, Some("old"))]).is_empty());
    assert!(table.merge([row("a", 4, None)]).is_empty());
    assert_eq!(content(&table), [("a".to_owned(), 5)]);
    assert_eq!(table.latest_version(), at(5));
}

#[test]
fn rewritten_row_with_the_same_content_is_no_change() {
    let mut table = mirror::TableMirror::default();
    table.merge([row("a", 5, Some("same"))]);
    assert!(table.merge([row("a", 9, Some("same"))]).is_empty());
    assert_eq!(table.latest_version(), at(9));
}

#[test]
fn whole_table_removes_what_it_lacks_but_not_later_rows() {
    let mut table = mirror::TableMirror::default();
    table.merge([row("gone", 2, Some("x")), row("later", 20, Some("y"))]);
    assert!(!table.is_complete());
    let changes = table.replace(vec![row("kept", 4, Some("z"))], at(10));
    let keys: Vec<_> = changes.iter().map(|change| change.key.as_str()).collect();
    assert_eq!(keys, ["kept", "gone"]);
    assert!(table.is_complete());
    assert_eq!(
        content(&table),
        [("kept".to_owned(), 4), ("later".to_owned(), 20)]
    );
    // An old row does not undo a removal that followed from a whole table.
    assert!(table.merge([row("gone", 3, Some("x"))]).is_empty());
}

#[test]
fn peers_get_changes_and_removals_after_a_version() {
    let mut table = mirror::TableMirror::default();
    table.merge([row("a", 1, Some("x")), row("b", 2, Some("y"))]);
    table.merge([row("a", 7, None)]);
    let changes = table.changes_after(at(1)).unwrap();
    let seen: Vec<_> = changes
        .iter()
        .map(|row| (row.key.as_str(), row.version.number, row.value.is_some()))
        .collect();
    assert_eq!(seen, [("a", 7, false), ("b", 2, true)]);
}

#[test]
fn purged_removals_require_the_whole_table() {
    let mut table = mirror::TableMirror::default();
    for version in 1..5_000 {
        table.merge([row(&format!("key-{version}"), version, Some("x"))]);
        table.merge([row(&format!("key-{version}"), version + 1, None)]);
    }
    assert!(table.changes_after(at(10)).is_none());
    assert!(table.changes_after(at(4_999)).is_some());
}

/// A leader forwards changes as they come, and a message may be lost. Without
/// the check the copy would reach the leader's version but never get the rows of
/// the lost message.
#[test]
fn changes_behind_a_lost_message_are_refused_until_the_gap_is_filled() {
    let mut table = mirror::TableMirror::default();
    table.replace(vec![row("a", 5, Some("ready"))], at(5));
    // The message with the change of version 6 is lost.
    assert!(
        table
            .merge_after(at(6), vec![row("b", 7, Some("x"))])
            .is_none()
    );
    assert_eq!(table.latest_version(), at(5));
    let filled = vec![row("a", 6, Some("leaving")), row("b", 7, Some("x"))];
    assert_eq!(table.merge_after(at(5), filled).unwrap().len(), 2);
    assert_eq!(table.latest_version(), at(7));
}

/// Guards against a runner's change that peers never get: the pages of a table are
/// read one after the other, and a row of a later page is newer than changes to
/// earlier ones that the copy lacks.
#[test]
fn row_of_a_later_page_does_not_hide_a_change_before_it() {
    let mut table = mirror::TableMirror::default();
    // The table was read as of version 5; the second page was read after version 8.
    table.replace(
        vec![row("a", 3, Some("ready")), row("z", 8, Some("x"))],
        at(5),
    );
    assert_eq!(table.complete_version(), at(5));
    assert_eq!(table.change_version(), at(3));
    let behind_the_gap = vec![row("b", 9, Some("y"))];
    assert!(table.merge_after(at(7), behind_the_gap).is_none());
    // A peer gets nothing from behind the gap as if it were complete.
    let sent = table.changes_after(at(0)).unwrap();
    assert_eq!(sent, [row("a", 3, Some("ready"))]);
    table.merge_between(at(5), at(8), vec![row("a", 7, Some("leaving"))]);
    let sent = table.changes_after(at(3)).unwrap();
    assert_eq!(sent, [row("a", 7, Some("leaving")), row("z", 8, Some("x"))]);
}

/// Guards against a row that followers never get: their leader read it in a later page of
/// the table, so the change that completes its copy up to it is none of its content.
#[test]
fn row_of_a_later_page_is_passed_on_when_the_copy_is_complete_up_to_it() {
    let mut leader = mirror::TableMirror::default();
    leader.replace(vec![row("a", 4, Some("old"))], at(4));
    let mut follower = leader.clone();
    leader.replace(vec![row("a", 6, Some("new"))], at(5));
    let changes = vec![row("a", 6, Some("new")), row("b", 7, Some("x"))];
    let changed = leader.merge_between(at(5), at(7), changes).unwrap();
    follower.merge_after(at(4), changed).unwrap();
    assert_eq!(follower.get("a"), leader.get("a"));
    assert_eq!(follower.complete_version(), at(7));
}
