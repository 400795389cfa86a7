//! The configuration in force: submitted by compare-and-set, only ever forward.

use std::sync;
use std::time as std_time;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio::{runtime, task, time};

use crate::document;
use crate::event;
use crate::id;
use crate::platform;

pub mod change;
pub mod keep;
pub mod section;
pub mod spread;
mod submit;

const HEAD_TABLE: &str = "config";
const HEAD_KEY: &str = "head";
const DOCUMENT_TABLE: &str = "config_documents";
const AUDIT_TABLE: &str = "config_audit";

/// Peers that are told at once of a document that came into force.
pub const ANNOUNCE_PEERS: usize = 4;

/// Shortest time between two looks of one node for a newer document.
const REFRESH_LEAST: std_time::Duration = std_time::Duration::from_millis(500);

/// Time that each node adds to the period, so that a large fleet spares the store.
const REFRESH_PER_NODE: std_time::Duration = std_time::Duration::from_millis(25);

/// Most audit entries of one answer.
pub const HISTORY_LIMIT: usize = 200;

/// The row that names the newest document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Version of the newest document, 0 for none.
    pub version: id::DocumentVersion,
    /// Digest of its text in hexadecimal.
    pub digest: String,
}

/// An entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version that came of the change.
    pub version: id::DocumentVersion,
    /// Version that the change was made from.
    pub base: id::DocumentVersion,
    /// Operator who made the change.
    pub operator: id::OperatorName,
    /// Node through which the change came.
    pub host: id::HostName,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Digest of the document that the change was made from, in hexadecimal.
    pub base_digest: String,
    /// Digest of the document in hexadecimal.
    pub digest: String,
    /// What the change did.
    pub changes: change::DocumentChanges,
    /// Random number that tells this submission from any other.
    pub attempt: String,
}

/// A document in force.
#[derive(Clone, Debug)]
pub struct ForceDocument {
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Digest of its text in hexadecimal.
    pub digest: String,
    /// Text as the operator submitted it.
    pub text: String,
    /// Sections of the text.
    pub sections: Vec<section::TextSection>,
    /// The document.
    pub document: document::ConfigDocument,
    /// Digests of callers' keys in order, with the place of their organisation.
    keys: Vec<(String, usize)>,
}

impl ForceDocument {
    /// Checks a text and prepares it for use.
    ///
    /// # Errors
    ///
    /// [`document::DocumentError`] when the text does not hold.
    pub fn parse(
        version: id::DocumentVersion,
        text: String,
    ) -> Result<Self, document::DocumentError> {
        let document = document::parse(&text)?;
        let organisations = document.organisations.iter().enumerate();
        let mut keys: Vec<_> = organisations
            .flat_map(|(place, spec)| {
                let digests = spec.key_digests.iter().cloned();
                digests.map(move |digest| (digest, place))
            })
            .collect();
        keys.sort_unstable();
        Ok(Self {
            version,
            digest: document::digest_key(&text),
            sections: section::cut(&text),
            text,
            document,
            keys,
        })
    }

    /// Returns the organisation that holds a caller's key.
    ///
    /// Only digests are compared, so the time taken tells nothing of a key.
    pub fn organisation_of_key(&self, key: &str) -> Option<&document::OrganisationSpec> {
        let digest = document::digest_key(key);
        let place = self.keys.binary_search_by(|(held, _)| held.cmp(&digest));
        self.document.organisations.get(self.keys[place.ok()?].1)
    }
}

/// Another change that came first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigConflict {
    /// Version that the refused change was made from.
    pub base: id::DocumentVersion,
    /// Newest version.
    pub newest: id::DocumentVersion,
    /// Operator who made the newest version, if that is known.
    pub operator: Option<id::OperatorName>,
    /// What changed between the two, if both documents are known.
    pub changes: Option<change::DocumentChanges>,
}

/// Why a change of configuration was not made.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The document does not hold.
    #[display("{_0}")]
    Invalid(document::DocumentError),
    /// The document is too long.
    #[display(
        "the document has {found} bytes; allowed: at most {}",
        section::DOCUMENT_LIMIT_BYTES
    )]
    TooLong {
        /// Its length in bytes.
        found: usize,
    },
    /// Another change came first.
    #[display("base version {} is not the newest, which is {}", _0.base, _0.newest)]
    Conflict(#[error(not(source))] Box<ConfigConflict>),
    /// The platform did not take the change, and never will.
    #[display("not accepted: {_0}")]
    NotAccepted(platform::PlatformError),
    /// The platform may have taken the change or may yet do so.
    #[display("not known whether version {version} was accepted: {reason}")]
    Unknown {
        /// Version that the change would have.
        version: id::DocumentVersion,
        /// Cause.
        reason: String,
    },
}

/// A message that the node's shell is to send for the keeper.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigPost {
    /// Peer that is to have it; `None` for [`ANNOUNCE_PEERS`] of them by chance.
    pub to: Option<id::HostName>,
    /// The message.
    pub message: Vec<u8>,
}

/// What is wrong with the table service, as this node saw it last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFault {
    /// Version that the table service names though this node holds a newer one.
    pub behind: Option<id::DocumentVersion>,
    /// Version whose document in the table service does not hold.
    pub refused: Option<id::DocumentVersion>,
}

/// Keeps the newest document that this node has seen.
pub struct ConfigKeeper {
    table: sync::Arc<dyn platform::TableClient>,
    recorder: sync::Arc<event::EventRecorder>,
    host: id::HostName,
    current: watch::Sender<Option<sync::Arc<ForceDocument>>>,
    spread: sync::Mutex<spread::SpreadState>,
    fault: sync::Mutex<StoreFault>,
    posts: sync::Mutex<Vec<ConfigPost>>,
    posted: Notify,
}

impl ConfigKeeper {
    /// Creates a keeper without a document.
    pub fn new(
        table: sync::Arc<dyn platform::TableClient>,
        recorder: sync::Arc<event::EventRecorder>,
        host: id::HostName,
    ) -> Self {
        Self {
            table,
            recorder,
            host,
            current: watch::Sender::new(None),
            spread: sync::Mutex::default(),
            fault: sync::Mutex::default(),
            posts: sync::Mutex::default(),
            posted: Notify::new(),
        }
    }

    /// Returns the document in force, if there is one.
    pub fn current(&self) -> Option<sync::Arc<ForceDocument>> {
        self.current.borrow().clone()
    }

    /// Returns a receiver that sees each document that comes into force.
    pub fn watch(&self) -> watch::Receiver<Option<sync::Arc<ForceDocument>>> {
        self.current.subscribe()
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> id::DocumentVersion {
        let current = self.current.borrow();
        current.as_ref().map_or(0, |held| held.version)
    }

    /// Returns what is wrong with the table service.
    pub fn fault(&self) -> StoreFault {
        lock(&self.fault).clone()
    }

    /// Takes a document if it is newer than the one in force, and tells whether
    /// it holds.
    ///
    /// The document must be one that the table service accepted.
    pub fn adopt(&self, version: id::DocumentVersion, text: String) -> bool {
        if version <= self.version() {
            return true;
        }
        let fresh = match aside(|| ForceDocument::parse(version, text)) {
            Ok(fresh) => sync::Arc::new(fresh),
            Err(error) => {
                self.report(event::EventCode::ConfigRefused, version, error.to_string());
                return false;
            }
        };
        let taken = self.current.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|held| held.version < version);
            if newer {
                *held = Some(fresh);
            }
            newer
        });
        if taken {
            self.report(event::EventCode::ConfigInForce, version, String::new());
            self.post(None, &spread::SpreadMessage::Newest(version));
        }
        true
    }

    /// Looks for a newer document in the table service.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] when the service gave no answer.
    pub async fn refresh(&self) -> Result<(), platform::PlatformError> {
        let head = self.head().await?;
        let newest = head.as_ref().map_or(0, |head| head.version);
        let held = self.version();
        self.note_behind((newest < held).then_some(newest));
        // A peer that has it already spares the store a long read.
        let coming = lock(&self.spread).is_fetching(held);
        let refused = lock(&self.fault).refused == Some(newest);
        match head {
            Some(head) if newest > held && !coming && !refused => self.fetch(&head).await,
            _ => Ok(()),
        }
    }

    /// Returns the time until the next look for a newer document.
    pub fn refresh_period(nodes: usize) -> std_time::Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        REFRESH_LEAST.max(REFRESH_PER_NODE.saturating_mul(nodes))
    }

    /// Takes the version that a peer has in force.
    pub fn hear_version(&self, from: &str, version: id::DocumentVersion, now: time::Instant) {
        let held = self.version();
        let actions = lock(&self.spread).hear_version(from, version, held, now);
        self.perform(actions);
    }

    /// Takes a message of a peer's keeper.
    pub fn hear(&self, from: &str, message: &[u8], now: time::Instant) {
        let Ok(message) = postcard::from_bytes(message) else {
            return;
        };
        let held = self.current();
        let actions = lock(&self.spread).hear(from, message, held.as_deref(), now);
        self.perform(actions);
    }

    /// Lets time pass for messages that were not answered.
    pub fn tick(&self, now: time::Instant) {
        let held = self.version();
        let actions = lock(&self.spread).tick(held, now);
        self.perform(actions);
    }

    /// Waits until there are messages to send.
    pub async fn posted(&self) {
        self.posted.notified().await;
    }

    /// Returns the messages to send and forgets them.
    pub fn take_posts(&self) -> Vec<ConfigPost> {
        std::mem::take(&mut *lock(&self.posts))
    }

    /// Returns audit entries before a version, newest first.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] when the service gave no answer.
    pub async fn history(
        &self,
        before: Option<id::DocumentVersion>,
        limit: usize,
    ) -> Result<Vec<AuditEntry>, platform::PlatformError> {
        let before = match before {
            Some(before) => before,
            None => self.head().await?.map_or(0, |head| head.version) + 1,
        };
        let limit = limit.min(HISTORY_LIMIT);
        let first = before.saturating_sub(limit as u64 + 1);
        let rows = self
            .table
            .scan(AUDIT_TABLE, "", &document_key(first), limit)
            .await?;
        let entries = rows
            .into_iter()
            .rev()
            .filter_map(|row| decode::<AuditEntry>(row.value))
            .filter(|entry| entry.version < before);
        Ok(entries.collect())
    }

    /// Returns the text of a version that the table service still has.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] when the service gave no answer.
    pub async fn text(
        &self,
        version: id::DocumentVersion,
    ) -> Result<Option<String>, platform::PlatformError> {
        let held = self.current();
        if let Some(held) = held.filter(|held| held.version == version) {
            return Ok(Some(held.text.clone()));
        }
        let key = document_key(version);
        let row = self.table.read(DOCUMENT_TABLE, &key).await?;
        Ok(row.and_then(|row| row.value.as_str().map(str::to_owned)))
    }

    async fn head(&self) -> Result<Option<ConfigHead>, platform::PlatformError> {
        let row = self.table.read(HEAD_TABLE, HEAD_KEY).await?;
        Ok(row.and_then(|row| decode(row.value)))
    }

    async fn fetch(&self, head: &ConfigHead) -> Result<(), platform::PlatformError> {
        let text = self.text(head.version).await?;
        let whole = text.filter(|text| document::digest_key(text) == head.digest);
        let holds = match whole {
            Some(text) => self.adopt(head.version, text),
            None => {
                let detail = "document in the table service is missing or has another digest";
                self.report(
                    event::EventCode::ConfigRefused,
                    head.version,
                    detail.to_owned(),
                );
                false
            }
        };
        lock(&self.fault).refused = (!holds).then_some(head.version);
        Ok(())
    }

    fn note_behind(&self, behind: Option<id::DocumentVersion>) {
        let before = std::mem::replace(&mut lock(&self.fault).behind, behind);
        let Some(newest) = behind.filter(|_| before != behind) else {
            return;
        };
        let detail = format!("version {} stays in force", self.version());
        self.report(event::EventCode::ConfigBehind, newest, detail);
    }

    fn perform(&self, actions: Vec<spread::SpreadAction>) {
        for action in actions {
            match action {
                spread::SpreadAction::Send(to, message) => self.post(Some(to), &message),
                spread::SpreadAction::Adopt(received) => {
                    if !self.adopt(received.version, received.text) {
                        lock(&self.spread).refuse(received.version);
                    }
                }
                spread::SpreadAction::Broken(version) => {
                    let detail = "sections from a peer do not make up the document";
                    self.report(event::EventCode::ConfigRefused, version, detail.to_owned());
                }
            }
        }
    }

    fn post(&self, to: Option<id::HostName>, message: &spread::SpreadMessage) {
        let Ok(message) = postcard::to_stdvec(message) else {
            return;
        };
        lock(&self.posts).push(ConfigPost { to, message });
        self.posted.notify_one();
    }

    fn report(&self, code: event::EventCode, version: id::DocumentVersion, detail: String) {
        self.recorder.record(code, &version.to_string(), detail);
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Runs work on a large document without holding up the streams of this thread.
pub(crate) fn aside<T>(work: impl FnOnce() -> T) -> T {
    let flavor = runtime::Handle::try_current().map(|handle| handle.runtime_flavor());
    match flavor {
        Ok(runtime::RuntimeFlavor::MultiThread) => task::block_in_place(work),
        _ => work(),
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn document_key(version: id::DocumentVersion) -> String {
    // Keys sort by version when they have one width.
    format!("{version:020}")
}
