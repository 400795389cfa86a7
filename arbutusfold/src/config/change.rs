//! Differences between two documents, entry by entry.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::document;

/// Maximum number of changed entries that are listed; the rest are only counted.
const CHANGE_LIMIT: usize = 256;

/// Kind of change of an entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the newer document has the entry.
    #[display("added")]
    Added,
    /// Only the older document has the entry.
    #[display("removed")]
    Removed,
    /// Both documents have the entry, with different contents.
    #[display("changed")]
    Changed,
}

/// A change of one entry of a section.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{section} {entry}: {kind}{}", list_fields(fields))]
pub struct EntryChange {
    /// Section of the document, such as `organisations`.
    pub section: String,
    /// Name of the entry.
    pub entry: String,
    /// Kind of change.
    pub kind: ChangeKind,
    /// Fields that differ; empty for an added or removed entry.
    pub fields: Vec<String>,
}

fn list_fields(fields: &[String]) -> String {
    match fields.is_empty() {
        true => String::new(),
        false => format!(" in {}", fields.join(", ")),
    }
}

/// The difference between two documents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChanges {
    /// Changed entries in the order of sections, sorted by name within a section.
    pub entries: Vec<EntryChange>,
    /// Number of changed entries that are not listed.
    pub omitted: usize,
}

/// Returns the differences between two documents.
pub fn compare(old: &document::ConfigDocument, new: &document::ConfigDocument) -> DocumentChanges {
    let old = sections(old);
    let new = sections(new);
    let mut entries: Vec<_> = old
        .into_iter()
        .zip(new)
        .flat_map(|(old, new)| compare_section(&old, &new))
        .collect();
    let omitted = entries.len().saturating_sub(CHANGE_LIMIT);
    entries.truncate(CHANGE_LIMIT);
    DocumentChanges { entries, omitted }
}

struct DocumentSection {
    name: &'static str,
    entries: Vec<(String, serde_json::Value)>,
}

fn sections(document: &document::ConfigDocument) -> [DocumentSection; 7] {
    [
        section("models", &document.models, |spec| spec.name.clone()),
        section("pipelines", &document.pipelines, |spec| spec.name.clone()),
        section("upstreams", &document.upstreams, |spec| spec.name.clone()),
        section("services", &document.services, |spec| spec.name.clone()),
        section("organisations", &document.organisations, |spec| {
            spec.name.clone()
        }),
        section("links", &document.links, |spec| {
            format!("{} to {}", spec.from, spec.to)
        }),
        section("domains", &document.domains, Clone::clone),
    ]
}

fn section<T: Serialize>(
    name: &'static str,
    specs: &[T],
    name_of: impl Fn(&T) -> String,
) -> DocumentSection {
    let mut entries: Vec<_> = specs
        .iter()
        .map(|spec| (name_of(spec), serde_json::json!(spec)))
        .collect();
    entries.sort_by(|left, right| left.0.cmp(&right.0));
    DocumentSection { name, entries }
}

fn compare_section(old: &DocumentSection, new: &DocumentSection) -> Vec<EntryChange> {
    let change = |entry: &str, kind, fields| EntryChange {
        section: old.name.to_owned(),
        entry: entry.to_owned(),
        kind,
        fields,
    };
    let find = |entries: &[(String, serde_json::Value)], name: &str| {
        entries
            .binary_search_by(|(known, _)| known.as_str().cmp(name))
            .ok()
    };
    let removed = old
        .entries
        .iter()
        .filter(|(name, _)| find(&new.entries, name).is_none())
        .map(|(name, _)| change(name, ChangeKind::Removed, Vec::new()));
    let added_or_changed = new.entries.iter().filter_map(|(name, value)| {
        let Some(index) = find(&old.entries, name) else {
            return Some(change(name, ChangeKind::Added, Vec::new()));
        };
        let before = &old.entries[index].1;
        (before != value).then(|| change(name, ChangeKind::Changed, changed_fields(before, value)))
    });
    let mut changes: Vec<_> = removed.chain(added_or_changed).collect();
    changes.sort_by(|left, right| left.entry.cmp(&right.entry));
    changes
}

fn changed_fields(before: &serde_json::Value, after: &serde_json::Value) -> Vec<String> {
    let (Some(before), Some(after)) = (before.as_object(), after.as_object()) else {
        return Vec::new();
    };
    // Both values are serialised from the same struct, so they have the same fields.
    after
        .iter()
        .filter(|(name, value)| before.get(*name) != Some(*value))
        .map(|(name, _)| name.clone())
        .collect()
}
