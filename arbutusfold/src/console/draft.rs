//! Changes that an operator has typed but not submitted yet.

use serde::{Deserialize, Serialize};

use crate::check::{FieldKind, FieldSpec};
use crate::id;
use crate::schema;

/// One change of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryEdit {
    /// Section of the document.
    pub section: String,
    /// Name of the entry as it was; `None` for a new one.
    pub entry: Option<String>,
    /// The entry as it is to be; `None` removes it.
    pub value: Option<serde_json::Value>,
}

/// Changes made from a version, in the order in which they were typed.
///
/// They travel in the forms, so a node keeps nothing and any node goes on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentDraft {
    /// Version from which they were made.
    pub base: id::DocumentVersion,
    /// The changes.
    pub edits: Vec<EntryEdit>,
}

/// A document with a draft's changes.
#[derive(Clone, Debug)]
pub struct DraftedDocument {
    /// The document, which may not hold.
    pub value: serde_json::Value,
    /// Changes whose entry is no longer there.
    pub lost: Vec<EntryEdit>,
}

/// A section of the document that has entries with names.
#[derive(Clone, Copy, Debug)]
pub struct SectionSpec {
    /// Name of the section.
    pub name: &'static str,
    /// Fields of an entry.
    pub fields: &'static [FieldSpec],
}

/// Returns the sections that forms edit, in the order of the document.
pub fn sections() -> impl Iterator<Item = SectionSpec> {
    schema::DOCUMENT
        .iter()
        .filter_map(|field| match field.kind {
            FieldKind::List(_, FieldKind::Record(fields)) => Some(SectionSpec {
                name: field.name,
                fields,
            }),
            _ => None,
        })
}

/// Returns the section of that name.
pub fn section(name: &str) -> Option<SectionSpec> {
    sections().find(|section| section.name == name)
}

/// Returns the name of an entry as forms show it.
pub fn name_of(entry: &serde_json::Value) -> String {
    let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
    match entry.get("name") {
        Some(_) => text("name"),
        None => format!("{} to {}", text("from"), text("to")),
    }
}

impl DocumentDraft {
    /// Returns `base` with the changes.
    pub fn apply(&self, base: &serde_json::Value) -> DraftedDocument {
        let mut drafted = DraftedDocument {
            value: base.clone(),
            lost: Vec::new(),
        };
        for edit in &self.edits {
            if !apply_edit(&mut drafted.value, edit) {
                drafted.lost.push(edit.clone());
            }
        }
        drafted
    }

    /// Adds a change.
    pub fn add(&mut self, section: &str, entry: Option<String>, value: Option<serde_json::Value>) {
        self.edits.push(EntryEdit {
            section: section.to_owned(),
            entry,
            value,
        });
    }
}

/// Returns an empty document.
pub fn empty() -> serde_json::Value {
    serde_json::json!({"models": [], "pipelines": [], "upstreams": [], "organisations": []})
}

/// Returns the entries of a section.
pub fn entries<'a>(document: &'a serde_json::Value, section: &str) -> &'a [serde_json::Value] {
    document[section].as_array().map_or(&[], Vec::as_slice)
}

/// Returns the place of an entry in its section.
pub fn place_of(document: &serde_json::Value, section: &str, entry: &str) -> Option<usize> {
    let mut held = entries(document, section).iter();
    held.position(|held| name_of(held) == entry)
}

fn apply_edit(document: &mut serde_json::Value, edit: &EntryEdit) -> bool {
    let known = section(&edit.section).is_some();
    let place = match &edit.entry {
        Some(entry) => place_of(document, &edit.section, entry),
        None => None,
    };
    let Some(root) = document.as_object_mut().filter(|_| known) else {
        return false;
    };
    let list = root
        .entry(edit.section.clone())
        .or_insert_with(|| serde_json::json!([]));
    let Some(list) = list.as_array_mut() else {
        return false;
    };
    match (&edit.entry, place, &edit.value) {
        (None, _, Some(value)) => list.push(value.clone()),
        (Some(_), Some(place), Some(value)) => list[place] = value.clone(),
        (Some(_), Some(place), None) => drop(list.remove(place)),
        _ => return false,
    }
    true
}
