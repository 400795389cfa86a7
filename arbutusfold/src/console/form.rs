//! Forms of entries, made from the field schema.

use crate::check::{self, FieldKind, FieldSpec};
use crate::document;

/// Beginning of the names of an entry's fields in a form.
const FIELD_PREFIX: &str = "field.";

/// Field in which a new caller's key is typed, whose digest is then kept.
const NEW_KEY_FIELD: &str = "new_key";

/// What a browser sent.
#[derive(Clone, Debug, Default)]
pub struct SentForm {
    pairs: Vec<(String, String)>,
}

impl SentForm {
    /// Reads a form.
    pub fn parse(body: &[u8]) -> Self {
        let pairs = form_urlencoded::parse(body).into_owned().collect();
        Self { pairs }
    }

    /// Returns a field, empty if it was not sent.
    pub fn get(&self, name: &str) -> &str {
        self.pairs
            .iter()
            .find(|(known, _)| known == name)
            .map_or("", |(_, value)| value.as_str())
    }

    fn field(&self, name: &str) -> &str {
        self.get(&format!("{FIELD_PREFIX}{name}"))
    }
}

/// How a field is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputKind {
    /// One line.
    Line,
    /// One value a line.
    Lines,
    /// A box to tick.
    Tick,
    /// A choice.
    Choice,
}

/// A field as a page shows it.
#[derive(Clone, Debug)]
pub struct FormField {
    /// Name in the form.
    pub name: String,
    /// Name in the document.
    pub label: &'static str,
    /// How it is shown.
    pub input: InputKind,
    /// What is typed in it.
    pub value: String,
    /// Words to choose from.
    pub options: &'static [&'static str],
    /// What is allowed.
    pub help: String,
    /// Errors found in it.
    pub errors: Vec<String>,
}

impl FormField {
    /// Tells whether the box is ticked.
    pub fn is_ticked(&self) -> bool {
        self.value == "true"
    }

    /// Tells whether a word is the chosen one.
    pub fn is_chosen(&self, word: &&str) -> bool {
        self.value == *word
    }
}

/// Returns the fields of an entry with its values and errors.
pub fn fields_of(
    fields: &'static [FieldSpec],
    entry: &serde_json::Value,
    path: &str,
    issues: &[check::CheckIssue],
) -> Vec<FormField> {
    fields
        .iter()
        .map(|field| FormField {
            name: format!("{FIELD_PREFIX}{}", field.name),
            label: field.name,
            input: input_of(&field.kind),
            value: text_of(&field.kind, &entry[field.name]),
            options: match field.kind {
                FieldKind::Choice(words) => words,
                _ => &[],
            },
            help: help_of(field),
            errors: errors_of(&format!("{path}.{}", field.name), issues),
        })
        .collect()
}

/// Returns the entry that was typed into a form.
///
/// What does not fit its field stays as text, so that the check names it and
/// the form shows it again.
pub fn entry_of(fields: &'static [FieldSpec], form: &SentForm) -> serde_json::Value {
    let mut entry = serde_json::Map::new();
    for field in fields {
        let typed = form.field(field.name).trim();
        if let Some(value) = value_of(field, typed) {
            entry.insert(field.name.to_owned(), value);
        }
    }
    let key = form.get(NEW_KEY_FIELD).trim();
    if let Some(serde_json::Value::Array(digests)) = entry.get_mut("key_digests")
        && !key.is_empty()
    {
        digests.push(document::digest_key(key).into());
    }
    entry.into()
}

fn value_of(field: &FieldSpec, typed: &str) -> Option<serde_json::Value> {
    match field.kind {
        FieldKind::Flag => Some((typed == "true").into()),
        FieldKind::List(_, kind) => Some(lines_of(kind, typed)),
        _ if typed.is_empty() && !field.required => None,
        FieldKind::Number(..) => Some(match typed.parse::<u64>() {
            Ok(number) => number.into(),
            Err(_) => typed.into(),
        }),
        _ => Some(typed.into()),
    }
}

fn lines_of(kind: &FieldKind, typed: &str) -> serde_json::Value {
    let lines = typed.lines().map(str::trim).filter(|line| !line.is_empty());
    match kind {
        FieldKind::Record(fields) => lines.map(|line| record_of(fields, line)).collect(),
        _ => lines.map(serde_json::Value::from).collect(),
    }
}

fn record_of(fields: &[FieldSpec], line: &str) -> serde_json::Value {
    let words = line.split_whitespace().map(serde_json::Value::from);
    let names = fields.iter().map(|field| field.name.to_owned());
    serde_json::Value::Object(names.zip(words).collect())
}

fn input_of(kind: &FieldKind) -> InputKind {
    match kind {
        FieldKind::Flag => InputKind::Tick,
        FieldKind::Choice(_) => InputKind::Choice,
        FieldKind::List(..) => InputKind::Lines,
        _ => InputKind::Line,
    }
}

fn text_of(kind: &FieldKind, value: &serde_json::Value) -> String {
    match (kind, value) {
        (_, serde_json::Value::Null) => String::new(),
        (_, serde_json::Value::String(text)) => text.clone(),
        (FieldKind::List(_, kind), serde_json::Value::Array(list)) => {
            let lines: Vec<_> = list.iter().map(|value| line_of(kind, value)).collect();
            lines.join("\n")
        }
        _ => value.to_string(),
    }
}

fn line_of(kind: &FieldKind, value: &serde_json::Value) -> String {
    match kind {
        FieldKind::Record(fields) => {
            let words: Vec<_> = fields
                .iter()
                .filter_map(|field| value[field.name].as_str())
                .collect();
            words.join(" ")
        }
        _ => text_of(kind, value),
    }
}

fn help_of(field: &FieldSpec) -> String {
    let allowed = match field.kind {
        FieldKind::List(_, FieldKind::Record(fields)) => {
            let names: Vec<_> = fields.iter().map(|field| field.name).collect();
            format!("one a line: {}", names.join(" "))
        }
        FieldKind::List(_, kind) => format!("one a line: {}", check::allowed(kind)),
        kind => check::allowed(&kind),
    };
    match field.required || matches!(field.kind, FieldKind::List(..) | FieldKind::Flag) {
        true => allowed,
        false => format!("{allowed}; empty for the default"),
    }
}

fn errors_of(path: &str, issues: &[check::CheckIssue]) -> Vec<String> {
    issues
        .iter()
        .filter(|issue| {
            let rest = issue.path.strip_prefix(path);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['[', '.']))
        })
        .map(|issue| format!("found {}; allowed: {}", issue.found, issue.allowed))
        .collect()
}
