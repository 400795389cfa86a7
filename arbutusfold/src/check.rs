//! Checks of JSON with comments against a field schema, all errors at once.

use std::fmt;
use std::net;

use derive_more::{Display, Error};
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

/// Characters of a wrong value that an error repeats.
const FOUND_LIMIT_CHARACTERS: usize = 48;

/// Errors that a report holds; later ones are only counted.
const ISSUE_LIMIT: usize = 200;

/// Longest name in characters.
const NAME_LIMIT_CHARACTERS: usize = 64;

/// Length of a digest or key in hexadecimal digits.
const HEX_DIGITS: usize = 64;

/// Most changes by which a known name may differ from an unknown one to be suggested.
const NEAR_DISTANCE: usize = 3;

/// What a field may hold.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// Any text.
    Text,
    /// Name of letters, digits and `-`, `_`, `.`.
    Name,
    /// Name that may also hold `/` and `:`.
    PathName,
    /// Path that begins with `/`.
    Path,
    /// HTTP method in capitals.
    Method,
    /// 64 hexadecimal digits in lower case.
    Hex,
    /// IP address and port.
    Address,
    /// `true` or `false`.
    Flag,
    /// Whole number from the first to the last one.
    Number(u64, u64),
    /// Number with or without a fraction, from the first to the last one.
    Decimal(f64, f64),
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// List of at least so many values.
    List(usize, &'static FieldKind),
    /// Object with these fields.
    Record(&'static [FieldSpec]),
}

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Name of the field.
    pub name: &'static str,
    /// What it may hold.
    pub kind: FieldKind,
    /// Whether it must be given.
    pub required: bool,
}

impl FieldSpec {
    /// Returns a field that must be given.
    pub const fn required(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// Returns a field that has a default.
    pub const fn optional(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}

/// One error in a text.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{line}:{column}: {path}: found {found}; allowed: {allowed}")]
pub struct CheckIssue {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, such as `models[0].layers`.
    pub path: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

/// Every error of one text, in the order of their places.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct CheckReport {
    /// File that holds the text.
    pub file: String,
    /// The errors.
    pub issues: Vec<CheckIssue>,
    /// Errors beyond those.
    pub omitted: usize,
}

impl CheckReport {
    /// Names the file that holds the text.
    #[must_use]
    pub fn in_file(mut self, file: &str) -> Self {
        self.file = file.to_owned();
        self
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, issue) in self.issues.iter().enumerate() {
            if place > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{}:{issue}", self.file)?;
        }
        match self.omitted {
            0 => Ok(()),
            omitted => write!(formatter, "\n{}: {omitted} more errors", self.file),
        }
    }
}

/// Collects the errors of one text.
pub struct CheckContext<'a> {
    text: &'a str,
    found: Vec<(usize, CheckIssue)>,
}

impl<'a> CheckContext<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            found: Vec::new(),
        }
    }

    /// Adds an error at a place in the text.
    pub fn add(&mut self, place: &impl Ranged, path: &str, found: String, allowed: String) {
        let issue = CheckIssue {
            line: 0,
            column: 0,
            path: path.to_owned(),
            found,
            allowed,
        };
        self.found.push((place.start(), issue));
    }

    fn finish(mut self, file: &str) -> Result<(), CheckReport> {
        if self.found.is_empty() {
            return Ok(());
        }
        self.found.sort_by_key(|(start, _)| *start);
        let omitted = self.found.len().saturating_sub(ISSUE_LIMIT);
        self.found.truncate(ISSUE_LIMIT);
        let lines = line_starts(self.text);
        let issues = self.found.into_iter().map(|(start, mut issue)| {
            (issue.line, issue.column) = position(self.text, &lines, start);
            issue
        });
        Err(CheckReport {
            file: file.to_owned(),
            issues: issues.collect(),
            omitted,
        })
    }
}

/// Checks a text against its fields and then by `cross`, and returns its value.
///
/// `cross` sees the tree even if fields are wrong, so that every error is
/// found in one pass; it must skip what it cannot read.
///
/// # Errors
///
/// [`CheckReport`] with every error.
pub fn parse(
    file: &str,
    text: &str,
    fields: &'static [FieldSpec],
    cross: impl FnOnce(&ast::Object<'_>, &mut CheckContext<'_>),
) -> Result<serde_json::Value, CheckReport> {
    let value = read(file, text)?;
    let mut context = CheckContext::new(text);
    let root = FieldKind::Record(fields);
    walk(&value, &root, &mut String::new(), &mut context);
    if let Some(object) = value.as_object() {
        cross(object, &mut context);
    }
    context.finish(file)?;
    Ok(value.into())
}

/// Returns the report of one error that has no place of its own.
pub fn file_report(file: &str, found: String, allowed: &str) -> CheckReport {
    let issue = CheckIssue {
        line: 1,
        column: 1,
        path: "(whole text)".to_owned(),
        found,
        allowed: allowed.to_owned(),
    };
    CheckReport {
        file: file.to_owned(),
        issues: vec![issue],
        omitted: 0,
    }
}

fn read<'a>(file: &str, text: &'a str) -> Result<ast::Value<'a>, CheckReport> {
    let options = jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let allowed = "one object in JSON with comments";
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &options);
    match parsed {
        Ok(result) => result
            .value
            .ok_or_else(|| file_report(file, "nothing".to_owned(), allowed)),
        Err(error) => {
            let mut report = file_report(file, format!("\"{}\"", error.kind()), allowed);
            let issue = &mut report.issues[0];
            let start = error.range().start.min(text.len());
            (issue.line, issue.column) = position(text, &line_starts(text), start);
            Err(report)
        }
    }
}

fn walk(
    value: &ast::Value<'_>,
    kind: &FieldKind,
    path: &mut String,
    context: &mut CheckContext<'_>,
) {
    match (kind, value) {
        (FieldKind::Record(fields), ast::Value::Object(object)) => {
            walk_object(object, fields, path, context);
        }
        (FieldKind::List(least, kind), ast::Value::Array(array)) => {
            if array.elements.len() < *least {
                context.add(
                    array,
                    path,
                    format!("{} values", array.elements.len()),
                    format!("at least {least}"),
                );
            }
            for (index, element) in array.elements.iter().enumerate() {
                let length = path.len();
                path.push_str(&format!("[{index}]"));
                walk(element, kind, path, context);
                path.truncate(length);
            }
        }
        _ if fits(value, kind) => {}
        _ => context.add(value, path, describe(value), allowed(kind)),
    }
}

fn walk_object(
    object: &ast::Object<'_>,
    fields: &'static [FieldSpec],
    path: &mut String,
    context: &mut CheckContext<'_>,
) {
    let mut seen: Vec<&str> = Vec::new();
    for property in &object.properties {
        let name = property.name.as_str();
        let length = path.len();
        push_field(path, name);
        match fields.iter().find(|field| field.name == name) {
            None => context.add(
                property,
                path,
                "an unknown field".to_owned(),
                suggest(name, fields),
            ),
            Some(_) if seen.contains(&name) => context.add(
                property,
                path,
                "the field a second time".to_owned(),
                "each field once".to_owned(),
            ),
            Some(field) => walk(&property.value, &field.kind, path, context),
        }
        seen.push(name);
        path.truncate(length);
    }
    let missing = fields
        .iter()
        .filter(|field| field.required && !seen.contains(&field.name));
    for field in missing {
        let length = path.len();
        push_field(path, field.name);
        context.add(object, path, "nothing".to_owned(), allowed(&field.kind));
        path.truncate(length);
    }
}

fn push_field(path: &mut String, name: &str) {
    if !path.is_empty() {
        path.push('.');
    }
    // An error is one line whatever the text holds.
    let shown = name.chars().take(FOUND_LIMIT_CHARACTERS);
    path.extend(shown.flat_map(char::escape_debug));
}

fn fits(value: &ast::Value<'_>, kind: &FieldKind) -> bool {
    match (kind, value) {
        (FieldKind::Flag, ast::Value::BooleanLit(_)) => true,
        (FieldKind::Number(least, most), ast::Value::NumberLit(number)) => number
            .value
            .parse::<u64>()
            .is_ok_and(|number| (*least..=*most).contains(&number)),
        (FieldKind::Decimal(least, most), ast::Value::NumberLit(number)) => number
            .value
            .parse::<f64>()
            .is_ok_and(|number| (*least..=*most).contains(&number)),
        (kind, ast::Value::StringLit(text)) => fits_text(&text.value, kind),
        _ => false,
    }
}

fn fits_text(text: &str, kind: &FieldKind) -> bool {
    let is_name = |extra: &str| {
        !text.is_empty()
            && text.len() <= NAME_LIMIT_CHARACTERS
            && text.chars().all(|one| {
                one.is_ascii_alphanumeric() || "-_.".contains(one) || extra.contains(one)
            })
    };
    match kind {
        FieldKind::Text => true,
        FieldKind::Name => is_name(""),
        FieldKind::PathName => is_name("/:"),
        FieldKind::Path => text.starts_with('/') && !text.contains(char::is_whitespace),
        FieldKind::Method => !text.is_empty() && text.chars().all(|one| one.is_ascii_uppercase()),
        FieldKind::Hex => is_hex(text),
        FieldKind::Address => text.parse::<net::SocketAddr>().is_ok(),
        FieldKind::Choice(words) => words.contains(&text),
        _ => false,
    }
}

fn is_hex(text: &str) -> bool {
    text.len() == HEX_DIGITS
        && text
            .chars()
            .all(|one| one.is_ascii_digit() || ('a'..='f').contains(&one))
}

/// Returns what a field may hold, for people.
pub(crate) fn allowed(kind: &FieldKind) -> String {
    match kind {
        FieldKind::Text => "text".to_owned(),
        FieldKind::Name => {
            format!("a name of 1 to {NAME_LIMIT_CHARACTERS} letters, digits, '-', '_' or '.'")
        }
        FieldKind::PathName => format!(
            "a name of 1 to {NAME_LIMIT_CHARACTERS} letters, digits, '-', '_', '.', '/' or ':'"
        ),
        FieldKind::Path => "a path that begins with '/'".to_owned(),
        FieldKind::Method => "an HTTP method in capitals".to_owned(),
        FieldKind::Hex => format!("{HEX_DIGITS} hexadecimal digits in lower case"),
        FieldKind::Address => "an IP address with a port".to_owned(),
        FieldKind::Flag => "true or false".to_owned(),
        FieldKind::Number(least, u64::MAX) => format!("a whole number from {least}"),
        FieldKind::Number(least, most) => format!("a whole number from {least} to {most}"),
        FieldKind::Decimal(least, most) => format!("a number from {least} to {most}"),
        FieldKind::Choice(words) => format!("one of {}", words.join(", ")),
        FieldKind::List(0, _) => "a list".to_owned(),
        FieldKind::List(least, _) => format!("a list of at least {least}"),
        FieldKind::Record(_) => "an object".to_owned(),
    }
}

fn describe(value: &ast::Value<'_>) -> String {
    match value {
        ast::Value::StringLit(text) => quote(&text.value),
        ast::Value::NumberLit(number) => shorten(number.value),
        ast::Value::BooleanLit(flag) => flag.value.to_string(),
        ast::Value::NullKeyword(_) => "null".to_owned(),
        ast::Value::Array(_) => "a list".to_owned(),
        ast::Value::Object(_) => "an object".to_owned(),
    }
}

/// Returns a value as errors repeat it: quoted, escaped and shortened.
pub fn quote(text: &str) -> String {
    format!("{:?}", shorten(text))
}

fn shorten(text: &str) -> String {
    let mut short: String = text.chars().take(FOUND_LIMIT_CHARACTERS).collect();
    if short.len() < text.len() {
        short.push_str("...");
    }
    short
}

fn suggest(name: &str, fields: &[FieldSpec]) -> String {
    match nearest(name, fields.iter().map(|field| field.name)) {
        Some(near) => format!("the field {near}, if that is meant"),
        None => {
            let names: Vec<_> = fields.iter().map(|field| field.name).collect();
            format!("the fields {}", names.join(", "))
        }
    }
}

/// Returns the known name that is nearly `name`, if there is one.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // A short name is near to too many others.
    let most = (name.len() / 3).clamp(1, NEAR_DISTANCE);
    known
        .map(|known| (distance(name, known), known))
        .filter(|(distance, _)| *distance <= most)
        .min()
        .map(|(_, near)| near)
}

/// Returns the number of insertions, deletions and replacements between two names.
fn distance(left: &str, right: &str) -> usize {
    if left.len().abs_diff(right.len()) > NEAR_DISTANCE {
        return usize::MAX;
    }
    let right: Vec<_> = right.chars().collect();
    let mut row: Vec<_> = (0..=right.len()).collect();
    for (index, one) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (place, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(one != *other);
            diagonal = row[place + 1];
            row[place + 1] = replaced.min(diagonal + 1).min(row[place] + 1);
        }
    }
    row[right.len()]
}

fn line_starts(text: &str) -> Vec<usize> {
    let breaks = text.match_indices('\n').map(|(place, _)| place + 1);
    std::iter::once(0).chain(breaks).collect()
}

fn position(text: &str, lines: &[usize], start: usize) -> (usize, usize) {
    let line = lines.partition_point(|begin| *begin <= start);
    let begin = lines[line - 1];
    let before = text.get(begin..start).unwrap_or_default();
    let column = before.chars().count() + 1;
    (line, column)
}
