//! Validates JSON with comments against a field schema and reports all errors at once.

use std::fmt;
use std::net;

use derive_more::{Display, Error};
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

/// Number of characters after which an error message truncates a quoted value.
const QUOTE_LIMIT_CHARACTERS: usize = 48;

/// Maximum number of errors in a report; further ones are only counted.
pub const ISSUE_LIMIT: usize = 200;

/// Maximum length of a name in characters.
const NAME_LIMIT_CHARACTERS: usize = 64;

/// Length of a digest or key in hexadecimal digits.
const HEX_DIGITS: usize = 64;

/// Maximum edit distance between an unknown name and the known name suggested for it.
const SUGGESTION_DISTANCE: usize = 3;

/// Type and bounds of a field's value.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// Any string.
    Text,
    /// Name that consists of ASCII letters, digits, `-`, `_` and `.`.
    Name,
    /// Name that may also contain `/` and `:`.
    PathName,
    /// Path that begins with `/` and contains no white space.
    Path,
    /// HTTP method in upper case.
    Method,
    /// Digest or key of 64 lower-case hexadecimal digits.
    Hex,
    /// IP address and port.
    Address,
    /// `true` or `false`.
    Flag,
    /// Integer between the two bounds, both included.
    Number(u64, u64),
    /// Number with or without a fraction between the two bounds, both included.
    Decimal(f64, f64),
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// List with a minimum length, and the kind of its elements.
    List(usize, &'static FieldKind),
    /// Object with the given fields.
    Record(&'static [FieldSpec]),
}

/// Specification of an object's field.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Name of the field.
    pub name: &'static str,
    /// Type and bounds of the value.
    pub kind: FieldKind,
    /// Whether the field must be present.
    pub required: bool,
}

impl FieldSpec {
    /// Specifies a field that must be present.
    pub const fn required(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: true,
        }
    }

    /// Specifies a field that may be absent because it has a default.
    pub const fn optional(name: &'static str, kind: FieldKind) -> Self {
        Self {
            name,
            kind,
            required: false,
        }
    }
}

/// A validation error at one position of a file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{line}:{column}: {path}: found {found}; allowed: {allowed}")]
pub struct CheckIssue {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field, such as `models[0].layers`.
    pub path: String,
    /// The invalid value, or a description of it.
    pub found: String,
    /// Description of the values that are allowed there.
    pub allowed: String,
}

/// The validation errors of one file, ordered by position.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct CheckReport {
    /// Name of the file.
    pub file: String,
    /// The first errors, at most `ISSUE_LIMIT`.
    pub issues: Vec<CheckIssue>,
    /// Number of errors that `issues` leaves out.
    pub omitted: usize,
}

impl CheckReport {
    /// Replaces the file name in the report.
    #[must_use]
    pub fn in_file(mut self, file: &str) -> Self {
        self.file = file.to_owned();
        self
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, issue) in self.issues.iter().enumerate() {
            if index > 0 {
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

/// Collects the errors of one file during validation.
pub struct CheckContext<'a> {
    text: &'a str,
    issues: Vec<(usize, CheckIssue)>,
}

impl<'a> CheckContext<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            text,
            issues: Vec::new(),
        }
    }

    /// Adds an error at the start of `range`.
    pub fn add(&mut self, range: &impl Ranged, path: &str, found: String, allowed: String) {
        let issue = CheckIssue {
            line: 0,
            column: 0,
            path: path.to_owned(),
            found,
            allowed,
        };
        self.issues.push((range.start(), issue));
    }

    fn finish(mut self, file: &str) -> Result<(), CheckReport> {
        if self.issues.is_empty() {
            return Ok(());
        }
        self.issues.sort_by_key(|(start, _)| *start);
        let omitted = self.issues.len().saturating_sub(ISSUE_LIMIT);
        self.issues.truncate(ISSUE_LIMIT);
        let lines = line_starts(self.text);
        let issues = self.issues.into_iter().map(|(start, mut issue)| {
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

/// Parses a text, validates it against `fields` and with `check_across`, and
/// returns its value.
///
/// `check_across` checks rules between fields. It runs even if single fields
/// are invalid, so that one pass finds every error; it must skip values that
/// are absent or of the wrong type.
///
/// # Errors
///
/// [`CheckReport`] with every error, up to a limit.
pub fn parse(
    file: &str,
    text: &str,
    fields: &'static [FieldSpec],
    check_across: impl FnOnce(&ast::Object<'_>, &mut CheckContext<'_>),
) -> Result<serde_json::Value, CheckReport> {
    let value = parse_jsonc(file, text)?;
    let mut context = CheckContext::new(text);
    let root = FieldKind::Record(fields);
    check_value(&value, &root, &mut String::new(), &mut context);
    if let Some(object) = value.as_object() {
        check_across(object, &mut context);
    }
    context.finish(file)?;
    Ok(value.into())
}

/// Returns a report with one error that concerns the file as a whole.
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

fn parse_jsonc<'a>(file: &str, text: &'a str) -> Result<ast::Value<'a>, CheckReport> {
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

fn check_value(
    value: &ast::Value<'_>,
    kind: &FieldKind,
    path: &mut String,
    context: &mut CheckContext<'_>,
) {
    match (kind, value) {
        (FieldKind::Record(fields), ast::Value::Object(object)) => {
            check_object(object, fields, path, context);
        }
        (FieldKind::List(min, kind), ast::Value::Array(array)) => {
            if array.elements.len() < *min {
                context.add(
                    array,
                    path,
                    format!("{} values", array.elements.len()),
                    format!("at least {min}"),
                );
            }
            for (index, element) in array.elements.iter().enumerate() {
                let length = path.len();
                path.push_str(&format!("[{index}]"));
                check_value(element, kind, path, context);
                path.truncate(length);
            }
        }
        _ if fits(value, kind) => {}
        _ => context.add(value, path, describe(value), allowed(kind)),
    }
}

fn check_object(
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
                "a duplicate field".to_owned(),
                "each field once".to_owned(),
            ),
            Some(field) => check_value(&property.value, &field.kind, path, context),
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
    // Escape line breaks and control characters: each error must be one line.
    let shown = name.chars().take(QUOTE_LIMIT_CHARACTERS);
    path.extend(shown.flat_map(char::escape_debug));
}

fn fits(value: &ast::Value<'_>, kind: &FieldKind) -> bool {
    match (kind, value) {
        (FieldKind::Flag, ast::Value::BooleanLit(_)) => true,
        (FieldKind::Number(min, max), ast::Value::NumberLit(number)) => number
            .value
            .parse::<u64>()
            .is_ok_and(|number| (*min..=*max).contains(&number)),
        (FieldKind::Decimal(min, max), ast::Value::NumberLit(number)) => number
            .value
            .parse::<f64>()
            .is_ok_and(|number| (*min..=*max).contains(&number)),
        (kind, ast::Value::StringLit(text)) => fits_text(&text.value, kind),
        _ => false,
    }
}

fn fits_text(text: &str, kind: &FieldKind) -> bool {
    let is_name = |extra: &str| {
        !text.is_empty()
            && text.len() <= NAME_LIMIT_CHARACTERS
            && text.chars().all(|letter| {
                letter.is_ascii_alphanumeric() || "-_.".contains(letter) || extra.contains(letter)
            })
    };
    match kind {
        FieldKind::Text => true,
        FieldKind::Name => is_name(""),
        FieldKind::PathName => is_name("/:"),
        FieldKind::Path => text.starts_with('/') && !text.contains(char::is_whitespace),
        FieldKind::Method => {
            !text.is_empty() && text.chars().all(|letter| letter.is_ascii_uppercase())
        }
        FieldKind::Hex => is_hex(text),
        FieldKind::Address => text.parse::<net::SocketAddr>().is_ok(),
        FieldKind::Choice(choices) => choices.contains(&text),
        _ => false,
    }
}

fn is_hex(text: &str) -> bool {
    text.len() == HEX_DIGITS
        && text
            .chars()
            .all(|digit| digit.is_ascii_digit() || ('a'..='f').contains(&digit))
}

/// Describes the allowed values of a field for an error message.
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
        FieldKind::Number(min, u64::MAX) => format!("a whole number from {min}"),
        FieldKind::Number(min, max) => format!("a whole number from {min} to {max}"),
        FieldKind::Decimal(min, max) => format!("a number from {min} to {max}"),
        FieldKind::Choice(choices) => format!("one of {}", choices.join(", ")),
        FieldKind::List(0, _) => "a list".to_owned(),
        FieldKind::List(min, _) => format!("a list of at least {min}"),
        FieldKind::Record(_) => "an object".to_owned(),
    }
}

fn describe(value: &ast::Value<'_>) -> String {
    match value {
        ast::Value::StringLit(text) => quote(&text.value),
        ast::Value::NumberLit(number) => truncate(number.value),
        ast::Value::BooleanLit(flag) => flag.value.to_string(),
        ast::Value::NullKeyword(_) => "null".to_owned(),
        ast::Value::Array(_) => "a list".to_owned(),
        ast::Value::Object(_) => "an object".to_owned(),
    }
}

/// Returns a string for an error message: quoted, escaped and truncated.
pub fn quote(text: &str) -> String {
    format!("{:?}", truncate(text))
}

fn truncate(text: &str) -> String {
    let mut truncated: String = text.chars().take(QUOTE_LIMIT_CHARACTERS).collect();
    if truncated.len() < text.len() {
        truncated.push_str("...");
    }
    truncated
}

fn suggest(name: &str, fields: &[FieldSpec]) -> String {
    match nearest(name, fields.iter().map(|field| field.name)) {
        Some(nearest) => format!("the field {nearest} (similar name)"),
        None => {
            let names: Vec<_> = fields.iter().map(|field| field.name).collect();
            format!("the fields {}", names.join(", "))
        }
    }
}

/// Returns the known name with the smallest edit distance to `name`, if one is
/// near enough to be suggested.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    // For a short name a large edit distance would match unrelated names.
    let max = (name.len() / 3).clamp(1, SUGGESTION_DISTANCE);
    known
        .map(|known| (edit_distance(name, known), known))
        .filter(|(distance, _)| *distance <= max)
        .min()
        .map(|(_, nearest)| nearest)
}

/// Returns the Levenshtein distance of two names, or [`usize::MAX`] if their
/// lengths alone differ by more than [`SUGGESTION_DISTANCE`].
fn edit_distance(left: &str, right: &str) -> usize {
    if left.len().abs_diff(right.len()) > SUGGESTION_DISTANCE {
        return usize::MAX;
    }
    let right: Vec<_> = right.chars().collect();
    let mut row: Vec<_> = (0..=right.len()).collect();
    for (left_index, left_letter) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = left_index + 1;
        for (index, right_letter) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(left_letter != *right_letter);
            diagonal = row[index + 1];
            row[index + 1] = replaced.min(diagonal + 1).min(row[index] + 1);
        }
    }
    row[right.len()]
}

/// Returns the byte offset of each line's first character.
fn line_starts(text: &str) -> Vec<usize> {
    let breaks = text.match_indices('\n').map(|(index, _)| index + 1);
    std::iter::once(0).chain(breaks).collect()
}

/// Returns line and column of a byte offset, both counted from 1.
fn position(text: &str, lines: &[usize], offset: usize) -> (usize, usize) {
    let line = lines.partition_point(|line_start| *line_start <= offset);
    let line_start = lines[line - 1];
    let before = text.get(line_start..offset).unwrap_or_default();
    let column = before.chars().count() + 1;
    (line, column)
}
