//! The forms that change the document: sections, entries, review, submission.

use serde_json::Value;

use super::{draft, form, frame, page, render, session};
use crate::caller;
use crate::check;
use crate::config::{self, change};
use crate::document;
use crate::id;
use crate::node;
use crate::schema;

/// Entries of a section that one page shows.
const SHOWN_ENTRIES: usize = 60;

/// Changes that the review shows in full.
const SHOWN_CHANGES: usize = 40;

/// A draft on its base document.
struct EditContext<'a> {
    core: &'a node::NodeCore,
    session: &'a session::OperatorSession,
    base: Value,
    draft: draft::DocumentDraft,
    find: String,
}

/// Begins a draft from the document in force.
pub async fn begin(
    core: &node::NodeCore,
    session: &session::OperatorSession,
) -> caller::CallerAnswer {
    let draft = draft::DocumentDraft {
        base: core.config.version(),
        edits: Vec::new(),
    };
    match EditContext::load(core, session, draft, String::new()).await {
        Ok(context) => context.list(String::new()),
        Err(answer) => *answer,
    }
}

/// Takes a form.
pub async fn take(
    core: &node::NodeCore,
    session: &session::OperatorSession,
    sent: &form::SentForm,
) -> caller::CallerAnswer {
    let mut draft: draft::DocumentDraft =
        serde_json::from_str(sent.get("draft")).unwrap_or_default();
    let action = sent.get("do");
    match action {
        "rebase" => draft.base = sent.get("newest").parse().unwrap_or(draft.base),
        "undo" => drop(draft.edits.pop()),
        _ => {}
    }
    let find = sent.get("find").trim().to_owned();
    let context = match EditContext::load(core, session, draft, find).await {
        Ok(context) => context,
        Err(answer) => return *answer,
    };
    match action {
        "save" => context.save(sent),
        "remove" => context.remove(sent),
        "review" | "rebase" => context.review(String::new(), None),
        "submit" => context.submit().await,
        action => match context.opened(action) {
            Some(answer) => answer,
            None => context.list(String::new()),
        },
    }
}

impl<'a> EditContext<'a> {
    async fn load(
        core: &'a node::NodeCore,
        session: &'a session::OperatorSession,
        draft: draft::DocumentDraft,
        find: String,
    ) -> Result<Self, Box<caller::CallerAnswer>> {
        let base = load_base(core, draft.base).await;
        let base = base.map_err(|reason| {
            let page = page::MessagePage {
                frame: frame(core, session, "Edit"),
                kind: "error",
                message: format!("Version {} cannot be read: {reason}", draft.base),
                draft_text: draft_text(&draft),
            };
            Box::new(render(http::StatusCode::SERVICE_UNAVAILABLE, &page))
        })?;
        Ok(Self {
            core,
            session,
            base,
            draft,
            find,
        })
    }

    fn frame(&self, title: &str) -> page::PageFrame {
        frame(self.core, self.session, title)
    }

    fn drafted(&self) -> draft::DraftedDocument {
        self.draft.apply(&self.base)
    }

    fn list(&self, notice: String) -> caller::CallerAnswer {
        let drafted = self.drafted();
        let sections = draft::sections()
            .map(|section| shown_section(&drafted.value, section.name, &self.find));
        let page = page::EditPage {
            frame: self.frame("Edit"),
            notice,
            draft: self.draft.clone(),
            draft_text: draft_text(&self.draft),
            find: self.find.clone(),
            sections: sections.collect(),
            lost: drafted.lost.iter().map(describe_edit).collect(),
            issues: issues_of(&text_of(&drafted.value)),
        };
        render(http::StatusCode::OK, &page)
    }

    /// Opens the form of an entry or of a new one.
    fn opened(&self, action: &str) -> Option<caller::CallerAnswer> {
        if let Some(section) = action.strip_prefix("new:") {
            return self.entry(section, "", &serde_json::json!({}), "", &[]);
        }
        let (section, entry) = action.strip_prefix("open:")?.split_once(':')?;
        let drafted = self.drafted().value;
        let place = draft::place_of(&drafted, section, entry)?;
        let value = &draft::entries(&drafted, section)[place];
        self.entry(section, entry, value, "", &[])
    }

    fn entry(
        &self,
        section: &str,
        entry: &str,
        value: &Value,
        path: &str,
        issues: &[check::CheckIssue],
    ) -> Option<caller::CallerAnswer> {
        let spec = draft::section(section)?;
        let title = match entry.is_empty() {
            true => format!("Add to {section}"),
            false => format!("{section}: {entry}"),
        };
        let fields = form::fields_of(spec.fields, value, path, issues);
        let beside: usize = fields.iter().map(|field| field.errors.len()).sum();
        let others = match beside < issues.len() {
            true => issues
                .iter()
                .filter(|issue| issue.path == path)
                .map(ToString::to_string)
                .collect(),
            false => Vec::new(),
        };
        let page = page::EntryPage {
            frame: self.frame(&title),
            draft_text: draft_text(&self.draft),
            find: self.find.clone(),
            section: section.to_owned(),
            entry: entry.to_owned(),
            fields,
            others,
        };
        let status = match issues.is_empty() {
            true => http::StatusCode::OK,
            false => http::StatusCode::UNPROCESSABLE_ENTITY,
        };
        Some(render(status, &page))
    }

    /// Keeps a typed entry, or shows it again with the errors beside its fields.
    fn save(mut self, sent: &form::SentForm) -> caller::CallerAnswer {
        let section = sent.get("section").to_owned();
        let entry = sent.get("entry").to_owned();
        let Some(spec) = draft::section(&section) else {
            return self.list(String::new());
        };
        let value = form::entry_of(spec.fields, sent);
        let before = self.draft.clone();
        let original = (!entry.is_empty()).then(|| entry.clone());
        self.draft.add(&section, original, Some(value.clone()));
        let drafted = self.drafted().value;
        let place = match entry.is_empty() {
            true => draft::entries(&drafted, &section).len().checked_sub(1),
            false => place_of_value(&drafted, &section, &value),
        };
        let path = format!("{section}[{}]", place.unwrap_or_default());
        let issues = issues_within(&issues_of(&text_of(&drafted)), &path);
        if issues.is_empty() {
            let name = draft::name_of(&value);
            return self.list(format!("{section}: {name} is kept in your changes."));
        }
        self.draft = before;
        let answer = self.entry(&section, &entry, &value, &path, &issues);
        answer.unwrap_or_else(|| self.list(String::new()))
    }

    fn remove(mut self, sent: &form::SentForm) -> caller::CallerAnswer {
        let (section, entry) = (sent.get("section"), sent.get("entry"));
        self.draft.add(section, Some(entry.to_owned()), None);
        self.list(format!("{section}: {entry} is removed in your changes."))
    }

    fn review(
        &self,
        failure: String,
        conflict: Option<config::ConfigConflict>,
    ) -> caller::CallerAnswer {
        let drafted = self.drafted();
        let text = text_of(&drafted.value);
        let status = match (&conflict, failure.is_empty()) {
            (Some(_), _) => http::StatusCode::CONFLICT,
            (None, false) => http::StatusCode::SERVICE_UNAVAILABLE,
            (None, true) => http::StatusCode::OK,
        };
        let page = page::ReviewPage {
            frame: self.frame("Review"),
            failure,
            conflict,
            draft: self.draft.clone(),
            draft_text: draft_text(&self.draft),
            issues: issues_of(&text),
            lost: drafted.lost.iter().map(describe_edit).collect(),
            changes: shown_changes(&self.base, &drafted.value),
            text,
        };
        render(status, &page)
    }

    async fn submit(&self) -> caller::CallerAnswer {
        let text = text_of(&self.drafted().value);
        let operator = &self.session.operator;
        let outcome = self.core.config.submit(self.draft.base, operator, text);
        let page = match outcome.await {
            Ok(version) => page::MessagePage {
                frame: self.frame("Accepted"),
                kind: "notice",
                message: format!("Accepted as version {version}. It is on its way to every node."),
                draft_text: String::new(),
            },
            Err(config::ConfigError::Conflict(conflict)) => {
                return self.review(String::new(), Some(*conflict));
            }
            Err(error @ config::ConfigError::Unknown { .. }) => page::MessagePage {
                frame: self.frame("Outcome not known"),
                kind: "error",
                message: format!("{error}. The history will show it."),
                draft_text: draft_text(&self.draft),
            },
            Err(error) => return self.review(error.to_string(), None),
        };
        render(http::StatusCode::OK, &page)
    }
}

/// Returns a version as a tree; one that does not hold gives way to the one in force.
async fn load_base(core: &node::NodeCore, version: id::DocumentVersion) -> Result<Value, String> {
    if version == 0 {
        return Ok(draft::empty());
    }
    let text = core.config.text(version).await;
    let text = text.map_err(|error| error.to_string())?;
    let text = text.ok_or("it does not exist or is no longer kept")?;
    if let Ok(value) = tree_of(&text) {
        return Ok(value);
    }
    let held = core.config.current();
    let held = held.and_then(|held| tree_of(&held.text).ok());
    held.ok_or_else(|| "it does not hold, and none is in force".to_owned())
}

fn tree_of(text: &str) -> Result<Value, check::CheckReport> {
    config::run_blocking(|| {
        check::parse("document", text, schema::DOCUMENT, schema::check_references)
    })
}

fn text_of(value: &Value) -> String {
    // A tree that was read from text can be written as text.
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

fn draft_text(draft: &draft::DocumentDraft) -> String {
    serde_json::to_string(draft).unwrap_or_default()
}

fn describe_edit(edit: &draft::EntryEdit) -> String {
    format!(
        "{} {}",
        edit.section,
        edit.entry.as_deref().unwrap_or("(new)")
    )
}

fn issues_of(text: &str) -> Vec<check::CheckIssue> {
    let refused = config::run_blocking(|| document::parse(text)).err();
    refused.map_or_else(Vec::new, |error| error.report.issues)
}

fn issues_within(issues: &[check::CheckIssue], path: &str) -> Vec<check::CheckIssue> {
    issues
        .iter()
        .filter(|issue| issue.path.starts_with(path))
        .cloned()
        .collect()
}

fn place_of_value(document: &Value, section: &str, value: &Value) -> Option<usize> {
    let mut entries = draft::entries(document, section).iter();
    entries.position(|held| held == value)
}

fn shown_section(document: &Value, name: &'static str, find: &str) -> page::ShownSection {
    let entries = draft::entries(document, name);
    let matching: Vec<_> = entries
        .iter()
        .map(draft::name_of)
        .filter(|entry| entry.contains(find))
        .collect();
    page::ShownSection {
        name,
        count: entries.len(),
        omitted: matching.len().saturating_sub(SHOWN_ENTRIES),
        entries: matching.into_iter().take(SHOWN_ENTRIES).collect(),
    }
}

fn shown_changes(base: &Value, drafted: &Value) -> Vec<page::ShownChange> {
    let document = |value: &Value| serde_json::from_value(value.clone()).ok();
    let (Some(old), Some(new)) = (document(base), document(drafted)) else {
        return Vec::new();
    };
    let changes = config::run_blocking(|| change::compare(&old, &new));
    let side = |document: &Value, change: &change::EntryChange| {
        let place = draft::place_of(document, &change.section, &change.entry);
        place.map_or(String::new(), |place| {
            text_of(&draft::entries(document, &change.section)[place])
        })
    };
    let shown = changes.entries.iter().take(SHOWN_CHANGES);
    shown
        .map(|change| page::ShownChange {
            title: change.to_string(),
            before: side(base, change),
            after: side(drafted, change),
        })
        .collect()
}
