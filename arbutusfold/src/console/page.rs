//! Pages of the console, each with its template.

use std::time as std_time;

use askama::Template;

use super::{draft, form};
use crate::check;
use crate::config;
use crate::event;
use crate::id;
use crate::operate;

/// What every page shows.
#[derive(Clone, Debug, Default)]
pub struct PageFrame {
    /// Title of the page.
    pub title: String,
    /// Operator who is signed in, empty for none.
    pub operator: id::OperatorName,
    /// Host that shows the page.
    pub host: id::HostName,
    /// Code that forms carry.
    pub code: String,
}

/// Sign-in.
#[derive(Template)]
#[template(path = "console/sign_in.html")]
pub struct SignInPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// Whether a token was refused.
    pub refused: bool,
}

/// Which host holds which version.
#[derive(Template)]
#[template(path = "console/overview.html")]
pub struct OverviewPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// Versions of the hosts.
    pub status: operate::ConfigStatus,
}

/// A section with the entries that are shown.
#[derive(Clone, Debug)]
pub struct ShownSection {
    /// Name of the section.
    pub name: &'static str,
    /// Number of its entries.
    pub count: usize,
    /// Names of the entries shown.
    pub entries: Vec<String>,
    /// Entries that are not shown.
    pub omitted: usize,
}

/// The sections of a draft.
#[derive(Template)]
#[template(path = "console/edit.html")]
pub struct EditPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// Good news.
    pub notice: String,
    /// The draft.
    pub draft: draft::DocumentDraft,
    /// The draft as forms carry it.
    pub draft_text: String,
    /// Text that shown entries contain.
    pub find: String,
    /// The sections.
    pub sections: Vec<ShownSection>,
    /// Entries whose changes were dropped.
    pub lost: Vec<String>,
    /// Errors of the document.
    pub issues: Vec<check::CheckIssue>,
}

/// The form of one entry.
#[derive(Template)]
#[template(path = "console/entry.html")]
pub struct EntryPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// The draft as forms carry it.
    pub draft_text: String,
    /// Text that shown entries contain.
    pub find: String,
    /// Section of the entry.
    pub section: String,
    /// Name of the entry as it was, empty for a new one.
    pub entry: String,
    /// Fields with values and errors.
    pub fields: Vec<form::FormField>,
    /// Errors that belong to no field.
    pub others: Vec<String>,
}

/// A change with both sides.
#[derive(Clone, Debug)]
pub struct ShownChange {
    /// What changed.
    pub title: String,
    /// The entry before.
    pub before: String,
    /// The entry after.
    pub after: String,
}

/// The difference before it is submitted.
#[derive(Template)]
#[template(path = "console/review.html")]
pub struct ReviewPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// Why a submission was not accepted.
    pub failure: String,
    /// Change that came first.
    pub conflict: Option<config::ConfigConflict>,
    /// The draft.
    pub draft: draft::DocumentDraft,
    /// The draft as forms carry it.
    pub draft_text: String,
    /// Errors of the document.
    pub issues: Vec<check::CheckIssue>,
    /// Entries whose changes were dropped.
    pub lost: Vec<String>,
    /// The difference.
    pub changes: Vec<ShownChange>,
    /// The whole document.
    pub text: String,
}

/// A short message.
#[derive(Template)]
#[template(path = "console/message.html")]
pub struct MessagePage {
    /// What every page shows.
    pub frame: PageFrame,
    /// Style of the message, `notice` or `error`.
    pub kind: &'static str,
    /// The message.
    pub message: String,
    /// A draft to go back to, empty for none.
    pub draft_text: String,
}

/// One document.
#[derive(Template)]
#[template(path = "console/document.html")]
pub struct DocumentPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Digest of its text.
    pub digest: String,
    /// Its text.
    pub text: String,
}

/// An audit entry as the history shows it.
#[derive(Clone, Debug)]
pub struct ShownEntry {
    /// Version that came of the change.
    pub version: id::DocumentVersion,
    /// Version that the change was made from.
    pub base: id::DocumentVersion,
    /// Operator who made it.
    pub operator: id::OperatorName,
    /// Node through which it came.
    pub host: id::HostName,
    /// Time in words.
    pub when: String,
    /// What it did.
    pub changes: Vec<String>,
    /// Changed entries that are not listed.
    pub omitted: usize,
}

impl From<config::AuditEntry> for ShownEntry {
    fn from(entry: config::AuditEntry) -> Self {
        let changes = entry.changes.entries.iter().map(ToString::to_string);
        Self {
            changes: changes.collect(),
            omitted: entry.changes.omitted,
            version: entry.version,
            base: entry.base,
            operator: entry.operator,
            host: entry.host,
            when: describe_time(entry.at_ms),
        }
    }
}

/// History and audit trail.
#[derive(Template)]
#[template(path = "console/history.html")]
pub struct HistoryPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// Changes, newest first.
    pub entries: Vec<ShownEntry>,
    /// Version before which the next page begins, 0 for none.
    pub earlier: id::DocumentVersion,
}

/// An event as the story shows it.
#[derive(Clone, Debug)]
pub struct ShownEvent {
    /// Time in words.
    pub when: String,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: String,
    /// Cause and particulars.
    pub detail: String,
}

impl From<event::EventRecord> for ShownEvent {
    fn from(record: event::EventRecord) -> Self {
        Self {
            when: describe_time(record.at_ms),
            number: record.number,
            name: record.name.to_string(),
            detail: record.detail.to_string(),
        }
    }
}

/// The story of a subject.
#[derive(Template)]
#[template(path = "console/explain.html")]
pub struct ExplainPage {
    /// What every page shows.
    pub frame: PageFrame,
    /// The subject, empty for none.
    pub subject: String,
    /// Events about it.
    pub events: Vec<ShownEvent>,
}

fn describe_time(at_ms: u64) -> String {
    let since = std_time::Duration::from_millis(at_ms);
    let at = std_time::UNIX_EPOCH.checked_add(since);
    // The form of HTTP dates ends in the year 9999.
    let known = at.filter(|_| since.as_secs() < 253_402_300_800);
    known.map_or_else(|| at_ms.to_string(), httpdate::fmt_http_date)
}
