//! Review of an operator's document before it is sent.
//!
//! An error is an entry that gateways cannot serve or whose look-up is ambiguous. A
//! warning is an entry or limit that has no effect or cannot be reached, also where
//! another entry takes its requests. A difference
//! is a change of what is in force. Keys are counted and never shown.

use std::fmt;

use arbutusfold_platform::{document, head, store};
use derive_more::Display;
use serde::Serialize;

use crate::check;
use crate::gateway;
use crate::gateway::{bounds, document_diff, engine_review, route_review};
use crate::id;

/// Number of characters after which the reason of a refusal is truncated.
const REASON_LIMIT_CHARACTERS: usize = 300;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingSeverity {
    /// Gateways refuse the document, or cannot serve the entry.
    #[display("error")]
    Error,
    /// The entry or limit has no effect.
    #[display("warning")]
    Warning,
    /// The entry differs from the document in force.
    #[display("difference")]
    Difference,
}

/// Something that the operator should know about one place of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{place}: {severity}[{code}]: {message}")]
pub struct ReviewFinding {
    /// Path of the entry, such as `routes[3].services[1]`.
    pub place: String,
    /// How serious it is.
    pub severity: FindingSeverity,
    /// Name of the kind of finding, which stays the same between releases.
    pub code: &'static str,
    /// Description for the operator.
    pub message: String,
}

/// The findings about one document, errors first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DocumentReview {
    /// Version of the document, if it could be decoded.
    pub version: Option<id::DocumentVersion>,
    /// Version of the document in force, if it was given and could be decoded.
    pub in_force: Option<id::DocumentVersion>,
    /// Number of errors.
    pub errors: usize,
    /// Number of warnings.
    pub warnings: usize,
    /// Number of differences.
    pub differences: usize,
    /// Number of findings that `findings` leaves out.
    pub omitted: usize,
    /// The first findings, at most [`check::ISSUE_LIMIT`].
    pub findings: Vec<ReviewFinding>,
}

impl fmt::Display for DocumentReview {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(formatter, "{finding}")?;
        }
        if self.omitted > 0 {
            writeln!(formatter, "further findings: {}", self.omitted)?;
        }
        writeln!(
            formatter,
            "errors: {}, warnings: {}, differences: {}",
            self.errors, self.warnings, self.differences
        )
    }
}

impl DocumentReview {
    /// Adds an error.
    pub(super) fn error(
        &mut self,
        place: &dyn fmt::Display,
        code: &'static str,
        message: fmt::Arguments<'_>,
    ) {
        self.errors += 1;
        self.add(FindingSeverity::Error, self.errors, place, code, message);
    }

    /// Adds a warning.
    pub(super) fn warn(
        &mut self,
        place: &dyn fmt::Display,
        code: &'static str,
        message: fmt::Arguments<'_>,
    ) {
        self.warnings += 1;
        let count = self.warnings;
        self.add(FindingSeverity::Warning, count, place, code, message);
    }

    /// Adds a difference.
    pub(super) fn differ(
        &mut self,
        place: &dyn fmt::Display,
        code: &'static str,
        message: fmt::Arguments<'_>,
    ) {
        self.differences += 1;
        let count = self.differences;
        self.add(FindingSeverity::Difference, count, place, code, message);
    }

    /// Adds the `count`th finding of its severity, unless no report would show it.
    fn add(
        &mut self,
        severity: FindingSeverity,
        count: usize,
        place: &dyn fmt::Display,
        code: &'static str,
        message: fmt::Arguments<'_>,
    ) {
        if count <= check::ISSUE_LIMIT {
            self.findings.push(ReviewFinding {
                place: place.to_string(),
                severity,
                code,
                message: message.to_string(),
            });
        }
    }

    fn finish(mut self) -> Self {
        self.findings.sort_by_key(|finding| finding.severity);
        self.findings.truncate(check::ISSUE_LIMIT);
        let all = self.errors + self.warnings + self.differences;
        self.omitted = all - self.findings.len();
        self
    }
}

/// Reviews an encoded document, and compares it with the one in force if that is given.
pub fn review_bytes(document: &[u8], in_force: Option<&[u8]>) -> DocumentReview {
    let mut review = DocumentReview::default();
    if document.len() > store::VALUE_LIMIT_BYTES {
        let limit = store::VALUE_LIMIT_BYTES;
        let message = format_args!("longer than the {limit} bytes that gateways read at once");
        review.error(&"document", "too_long", message);
        return review.finish();
    }
    let document = document::decode(document)
        .map_err(|error| note_refusal(&mut review, "document", &error))
        .ok();
    let in_force = in_force.and_then(|bytes| {
        let decoded = document::decode(bytes);
        decoded
            .map_err(|error| note_refusal(&mut review, "in force", &error))
            .ok()
    });
    if let Some(document) = &document {
        check_document(document, &mut review);
    }
    review.in_force = in_force.as_ref().map(|document| document.version);
    if let (Some(document), Some(in_force)) = (&document, &in_force) {
        document_diff::compare(in_force, document, &mut review);
    }
    review.finish()
}

fn note_refusal(
    review: &mut DocumentReview,
    subject: &str,
    error: &arbutusfold_platform::DecodeError,
) {
    let code = match subject {
        "document" => "refused",
        _ => "in_force_refused",
    };
    let (place, fault) = match error.place() {
        Some((place, fault)) if subject == "document" => (place, fault),
        _ => (subject, error.reason.as_str()),
    };
    let fault: String = fault.chars().take(REASON_LIMIT_CHARACTERS).collect();
    review.error(&place, code, format_args!("{fault}"));
}

fn check_document(document: &document::RoutingDocument, review: &mut DocumentReview) {
    review.version = Some(document.version);
    if document.version == 0 {
        let message = format_args!("no gateway takes version 0");
        review.error(&"version", "version_zero", message);
    }
    route_review::check(document, review);
    check_services(document, review);
    check_organisations(document, review);
    check_limits(&document.limits, review);
}

/// Returns the index of each repeated key with the index of its first occurrence.
pub(super) fn repeated<K: Ord>(keys: impl Iterator<Item = K>) -> Vec<(usize, usize)> {
    let mut keys: Vec<_> = keys.enumerate().map(|(index, key)| (key, index)).collect();
    keys.sort_unstable();
    let groups = keys.chunk_by(|one, other| one.0 == other.0);
    let mut pairs: Vec<_> = groups
        .flat_map(|group| group[1..].iter().map(|(_, index)| (*index, group[0].1)))
        .collect();
    pairs.sort_unstable();
    pairs
}

/// Returns whether the value of a header field can be this text.
pub(super) fn is_header_text(text: &str) -> bool {
    let is_whole = !text.is_empty() && text.trim() == text;
    let is_visible = |byte: u8| byte == b'\t' || (b' '..=b'~').contains(&byte);
    is_whole && text.bytes().all(is_visible)
}

/// Adds a warning if a priority is lower than runners are told.
pub(super) fn check_priority(priority: u8, place: &str, review: &mut DocumentReview) {
    let lowest = head::LOWEST_PRIORITY;
    if priority > lowest {
        let message = format_args!("runners are told priority {lowest} in place of {priority}");
        review.warn(&place, "priority_over_limit", message);
    }
}

fn check_services(document: &document::RoutingDocument, review: &mut DocumentReview) {
    let services = &document.services;
    for (index, first) in repeated(services.iter().map(|spec| &spec.name)) {
        let name = check::quote(&services[index].name);
        let message = format_args!("{name} is also the name of services[{first}]");
        review.error(&format!("services[{index}]"), "name_twice", message);
    }
    let shares = document.routes.iter().flat_map(|rule| &rule.services);
    let mut named: Vec<_> = shares.map(|share| &share.service).collect();
    named.sort_unstable();
    for (index, spec) in services.iter().enumerate() {
        let place = format!("services[{index}]");
        if named.binary_search(&&spec.name).is_err() {
            let message = format_args!("no route names service {}", check::quote(&spec.name));
            review.warn(&place, "service_unused", message);
        }
        if let Some(engine) = &spec.engine {
            engine_review::check(engine, &place, review);
        }
    }
}

fn check_organisations(document: &document::RoutingDocument, review: &mut DocumentReview) {
    let Some(organisations) = &document.organisations else {
        return;
    };
    for (index, first) in repeated(organisations.iter().map(|spec| &spec.name)) {
        let name = check::quote(&organisations[index].name);
        let message = format_args!("has one share with organisations[{first}], also named {name}");
        review.warn(&format!("organisations[{index}]"), "name_shared", message);
    }
    for (index, spec) in organisations.iter().enumerate() {
        let place = format!("organisations[{index}]");
        if spec.name.is_empty() {
            let message = format_args!("its callers count as callers without an organisation");
            review.warn(&place, "name_missing", message);
        }
        if spec.keys.is_empty() {
            let name = check::quote(&spec.name);
            let message = format_args!("organisation {name} has no key, so nobody is its caller");
            review.warn(&place, "organisation_without_keys", message);
        }
        if let Some(priority) = spec.priority {
            check_priority(priority, &place, review);
        }
    }
    check_keys(organisations, review);
}

fn check_keys(organisations: &[document::OrganisationKeys], review: &mut DocumentReview) {
    let lists = organisations.iter().enumerate();
    let owned = lists.flat_map(|(owner, spec)| {
        let keys = spec.keys.iter().enumerate();
        keys.map(move |(index, key)| (key, owner, index))
    });
    let owned: Vec<_> = owned.collect();
    for (key, owner, index) in &owned {
        if !is_header_text(key) {
            let place = format!("organisations[{owner}].keys[{index}]");
            let message = format_args!("the key never matches: no request can present it");
            review.warn(&place, "key_unmatchable", message);
        }
    }
    for (again, first) in repeated(owned.iter().map(|(key, ..)| key)) {
        let (_, owner, index) = owned[again];
        let (_, first_owner, first_index) = owned[first];
        let place = format!("organisations[{owner}].keys[{index}]");
        match owner == first_owner {
            true => review.warn(
                &place,
                "key_twice",
                format_args!("the organisation has the same key at keys[{first_index}]"),
            ),
            false => review.error(
                &place,
                "key_shared",
                format_args!(
                    "organisation {} also has this key, at organisations[{first_owner}].keys[{first_index}]",
                    check::quote(&organisations[first_owner].name)
                ),
            ),
        }
    }
}

fn check_limits(limits: &document::CallerLimits, review: &mut DocumentReview) {
    let place = &"limits";
    let head_bytes = limits.head_bytes;
    let (least, most) = (bounds::MIN_HEAD_BYTES, gateway::HEAD_LIMIT_BYTES);
    if !(least..=most).contains(&head_bytes) {
        let used = head_bytes.clamp(least, most);
        let message = format_args!("a head of {head_bytes} bytes is never the limit: {used} is");
        review.warn(place, "head_bytes_out_of_range", message);
    }
    if limits.body_bytes == 0 {
        let message = format_args!("every request with a body is refused");
        review.warn(place, "body_bytes_zero", message);
    }
    let longest = gateway::IDLE_TIMEOUT;
    if limits.head_time.is_zero() {
        let message = format_args!("a head that does not arrive at once is cut off");
        review.warn(place, "head_time_zero", message);
    }
    let times = [
        ("head_time_over_limit", limits.head_time),
        ("idle_time_over_limit", limits.idle_time),
    ];
    for (code, time) in times {
        if time > longest {
            let message =
                format_args!("{time:?} are never reached: the connection closes after {longest:?}");
            review.warn(place, code, message);
        }
    }
}
