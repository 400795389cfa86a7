//! Configuration of a node: documents are submitted by compare-and-set, and the
//! active version of a node only increases.

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
pub mod chunk;
pub mod driver;
pub mod replication;
mod submit;

const HEAD_TABLE: &str = "config";
const HEAD_KEY: &str = "head";
const DOCUMENT_TABLE: &str = "config_documents";
const AUDIT_TABLE: &str = "config_audit";

/// Peers of the own region that are notified at once when a document becomes active.
pub const ANNOUNCE_FANOUT: usize = 4;

/// Minimum time between two polls of the table service by one node.
const MIN_REFRESH_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);

/// Time that each node of the fleet adds to the poll period, so that the load on
/// the table service does not grow with the fleet.
const REFRESH_PERIOD_PER_NODE: std_time::Duration = std_time::Duration::from_millis(25);

/// Maximum number of audit entries in one answer.
pub const HISTORY_LIMIT: usize = 200;

/// Row of the table service that names the newest document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Version of the newest document, 0 for none.
    pub version: id::DocumentVersion,
    /// Digest of the text of the document in hexadecimal.
    pub digest: String,
}

/// Entry of the audit log for one accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version that the change created.
    pub version: id::DocumentVersion,
    /// Version that the change was based on.
    pub base: id::DocumentVersion,
    /// Operator who submitted the change.
    pub operator: id::OperatorName,
    /// Node that received the submission.
    pub host: id::HostName,
    /// Time of the submission in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Digest of the base document in hexadecimal; empty if that document is not
    /// known.
    pub base_digest: String,
    /// Digest of the new document in hexadecimal.
    pub digest: String,
    /// Differences between the base document and the new one.
    pub changes: change::DocumentChanges,
    /// Random identifier that distinguishes this submission from all others.
    pub attempt: String,
}

/// A checked document, indexed for use as the active one.
#[derive(Clone, Debug)]
pub struct ActiveDocument {
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Digest of the text in hexadecimal.
    pub digest: String,
    /// Text as the operator submitted it.
    pub text: String,
    /// Chunks of the text.
    pub chunks: Vec<chunk::TextChunk>,
    /// Parsed document.
    pub document: document::ConfigDocument,
    /// Sorted digests of the caller keys, each with the index of its organisation.
    keys: Vec<(String, usize)>,
}

impl ActiveDocument {
    /// Parses and checks a text, and builds the index of caller keys.
    ///
    /// # Errors
    ///
    /// [`document::DocumentError`] if the text is not a valid document.
    pub fn parse(
        version: id::DocumentVersion,
        text: String,
    ) -> Result<Self, document::DocumentError> {
        let document = document::parse(&text)?;
        let organisations = document.organisations.iter().enumerate();
        let mut keys: Vec<_> = organisations
            .flat_map(|(index, spec)| {
                let digests = spec.key_digests.iter().cloned();
                digests.map(move |digest| (digest, index))
            })
            .collect();
        keys.sort_unstable();
        Ok(Self {
            version,
            digest: document::digest_key(&text),
            chunks: chunk::split(&text),
            text,
            document,
            keys,
        })
    }

    /// Returns the organisation that a caller key belongs to.
    ///
    /// Only digests are compared, so that the duration of the lookup reveals nothing
    /// about a key.
    pub fn organisation_for_key(&self, key: &str) -> Option<&document::OrganisationSpec> {
        let digest = document::digest_key(key);
        let found = self.keys.binary_search_by(|(known, _)| known.cmp(&digest));
        self.document.organisations.get(self.keys[found.ok()?].1)
    }
}

/// A newer version that was created after the base of a refused change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigConflict {
    /// Version that the refused change was based on.
    pub base: id::DocumentVersion,
    /// Newest version.
    pub newest: id::DocumentVersion,
    /// Operator who submitted the newest version, if known.
    pub operator: Option<id::OperatorName>,
    /// Differences between the two versions, if both documents are known.
    pub changes: Option<change::DocumentChanges>,
}

/// Errors of a submission.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The document is not valid.
    #[display("{_0}")]
    Invalid(document::DocumentError),
    /// The document is too long.
    #[display(
        "the document has {found} bytes; allowed: at most {}",
        chunk::DOCUMENT_LIMIT_BYTES
    )]
    TooLong {
        /// Length of the document in bytes.
        found: usize,
    },
    /// The base version is not the newest one.
    #[display("base version {} is not the newest, which is {}", _0.base, _0.newest)]
    Conflict(#[error(not(source))] Box<ConfigConflict>),
    /// The platform did not commit the change, and cannot commit it later.
    #[display("not accepted: {_0}")]
    NotAccepted(platform::PlatformError),
    /// The platform may have committed the change or may commit it later.
    #[display("not known whether version {version} was accepted: {reason}")]
    Unknown {
        /// Version that the change creates if it is committed.
        version: id::DocumentVersion,
        /// Reason why the outcome is not known.
        reason: String,
    },
}

/// A message of the manager to its peers, which the driver sends.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    /// Receiver; `None` sends the message to randomly chosen peers:
    /// [`ANNOUNCE_FANOUT`] of the own region and a few of other regions.
    pub to: Option<id::HostName>,
    /// Encoded message.
    pub message: Vec<u8>,
}

/// Faults of the configuration in the table service, as of the last poll by this
/// node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreFault {
    /// Newest version in the table service, if it is older than the active one.
    pub behind: Option<id::DocumentVersion>,
    /// Version whose document in the table service is missing or not valid.
    pub refused: Option<id::DocumentVersion>,
}

/// Holds the active document of a node, and replaces it only by newer versions.
pub struct ConfigManager {
    table: sync::Arc<dyn platform::TableClient>,
    recorder: sync::Arc<event::EventRecorder>,
    host: id::HostName,
    current: watch::Sender<Option<sync::Arc<ActiveDocument>>>,
    replication: sync::Mutex<replication::ReplicationState>,
    fault: sync::Mutex<StoreFault>,
    outbound: sync::Mutex<Vec<OutboundMessage>>,
    outbound_ready: Notify,
}

impl ConfigManager {
    /// Creates a manager without a document.
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
            replication: sync::Mutex::default(),
            fault: sync::Mutex::default(),
            outbound: sync::Mutex::default(),
            outbound_ready: Notify::new(),
        }
    }

    /// Returns the active document, if there is one.
    pub fn current(&self) -> Option<sync::Arc<ActiveDocument>> {
        self.current.borrow().clone()
    }

    /// Returns a receiver that is notified of each new active document.
    pub fn watch(&self) -> watch::Receiver<Option<sync::Arc<ActiveDocument>>> {
        self.current.subscribe()
    }

    /// Returns the active version, 0 for none.
    pub fn version(&self) -> id::DocumentVersion {
        let current = self.current.borrow();
        current.as_ref().map_or(0, |active| active.version)
    }

    /// Returns the faults found by the last poll of the table service.
    pub fn fault(&self) -> StoreFault {
        lock(&self.fault).clone()
    }

    /// Makes a document the active one if it is newer and valid.
    ///
    /// Returns `false` only for a newer document that is not valid. The document must
    /// be one that the table service accepted.
    pub fn activate(&self, version: id::DocumentVersion, text: String) -> bool {
        if version <= self.version() {
            return true;
        }
        let parsed = match run_blocking(|| ActiveDocument::parse(version, text)) {
            Ok(parsed) => sync::Arc::new(parsed),
            Err(error) => {
                self.report(event::EventCode::ConfigRefused, version, error.to_string());
                return false;
            }
        };
        let replaced = self.current.send_if_modified(|current| {
            let newer = current
                .as_ref()
                .is_none_or(|active| active.version < version);
            if newer {
                *current = Some(parsed);
            }
            newer
        });
        if replaced {
            self.report(event::EventCode::ConfigInForce, version, String::new());
            self.enqueue(
                None,
                &replication::ReplicationMessage::ActiveVersion(version),
            );
        }
        true
    }

    /// Polls the table service and fetches a newer document.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] if the service gave no answer.
    pub async fn refresh(&self) -> Result<(), platform::PlatformError> {
        let head = self.read_head().await?;
        let newest = head.as_ref().map_or(0, |head| head.version);
        let active = self.version();
        self.record_behind((newest < active).then_some(newest));
        // A document that is being fetched from peers is not read from the table
        // service too, because that read is long.
        let fetching = lock(&self.replication).is_fetching(active);
        let refused = lock(&self.fault).refused == Some(newest);
        match head {
            Some(head) if newest > active && !fetching && !refused => self.fetch(&head).await,
            _ => Ok(()),
        }
    }

    /// Returns the time between two polls for a fleet of `nodes` nodes.
    pub fn refresh_period(nodes: usize) -> std_time::Duration {
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        MIN_REFRESH_PERIOD.max(REFRESH_PERIOD_PER_NODE.saturating_mul(nodes))
    }

    /// Handles the active version of a peer.
    pub fn observe_version(&self, from: &str, version: id::DocumentVersion, now: time::Instant) {
        let active = self.version();
        let actions = lock(&self.replication).observe_version(from, version, active, now);
        self.perform(actions);
    }

    /// Handles a message from the manager of a peer.
    pub fn receive(&self, from: &str, message: &[u8], now: time::Instant) {
        let Ok(message) = postcard::from_bytes(message) else {
            return;
        };
        let active = self.current();
        let actions = lock(&self.replication).receive(from, message, active.as_deref(), now);
        self.perform(actions);
    }

    /// Handles timeouts of requests to peers.
    pub fn tick(&self, now: time::Instant) {
        let active = self.version();
        let actions = lock(&self.replication).tick(active, now);
        self.perform(actions);
    }

    /// Waits until there are messages to send.
    pub async fn outbound_ready(&self) {
        self.outbound_ready.notified().await;
    }

    /// Removes and returns the messages to send.
    pub fn take_outbound(&self) -> Vec<OutboundMessage> {
        std::mem::take(&mut *lock(&self.outbound))
    }

    /// Returns up to `limit` audit entries of versions before `before`, newest first;
    /// `None` starts at the newest version.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] if the service gave no answer.
    pub async fn history(
        &self,
        before: Option<id::DocumentVersion>,
        limit: usize,
    ) -> Result<Vec<AuditEntry>, platform::PlatformError> {
        let before = match before {
            Some(before) => before,
            None => self.read_head().await?.map_or(0, |head| head.version) + 1,
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

    /// Returns the text of a version, or `None` if the table service does not hold it.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] if the service gave no answer.
    pub async fn text(
        &self,
        version: id::DocumentVersion,
    ) -> Result<Option<String>, platform::PlatformError> {
        let active = self.current();
        if let Some(active) = active.filter(|active| active.version == version) {
            return Ok(Some(active.text.clone()));
        }
        let key = document_key(version);
        let row = self.table.read(DOCUMENT_TABLE, &key).await?;
        Ok(row.and_then(|row| row.value.as_str().map(str::to_owned)))
    }

    async fn read_head(&self) -> Result<Option<ConfigHead>, platform::PlatformError> {
        let row = self.table.read(HEAD_TABLE, HEAD_KEY).await?;
        Ok(row.and_then(|row| decode(row.value)))
    }

    async fn fetch(&self, head: &ConfigHead) -> Result<(), platform::PlatformError> {
        let text = self.text(head.version).await?;
        let intact = text.filter(|text| document::digest_key(text) == head.digest);
        let valid = match intact {
            Some(text) => self.activate(head.version, text),
            None => {
                let detail = "document in the table service is missing or has the wrong digest";
                self.report(
                    event::EventCode::ConfigRefused,
                    head.version,
                    detail.to_owned(),
                );
                false
            }
        };
        lock(&self.fault).refused = (!valid).then_some(head.version);
        Ok(())
    }

    fn record_behind(&self, behind: Option<id::DocumentVersion>) {
        let previous = std::mem::replace(&mut lock(&self.fault).behind, behind);
        let Some(newest) = behind.filter(|_| previous != behind) else {
            return;
        };
        let detail = format!("version {} stays active", self.version());
        self.report(event::EventCode::ConfigBehind, newest, detail);
    }

    fn perform(&self, actions: Vec<replication::ReplicationAction>) {
        for action in actions {
            match action {
                replication::ReplicationAction::Send(to, message) => {
                    self.enqueue(Some(to), &message)
                }
                replication::ReplicationAction::Activate(received) => {
                    if !self.activate(received.version, received.text) {
                        lock(&self.replication).refuse(received.version);
                    }
                }
                replication::ReplicationAction::Corrupt(version) => {
                    let detail = "chunks from peers do not match the digest of the document";
                    self.report(event::EventCode::ConfigRefused, version, detail.to_owned());
                }
            }
        }
    }

    fn enqueue(&self, to: Option<id::HostName>, message: &replication::ReplicationMessage) {
        let Ok(message) = postcard::to_stdvec(message) else {
            return;
        };
        lock(&self.outbound).push(OutboundMessage { to, message });
        self.outbound_ready.notify_one();
    }

    fn report(&self, code: event::EventCode, version: id::DocumentVersion, detail: String) {
        self.recorder.record(code, &version.to_string(), detail);
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Runs work on a large document without blocking the other tasks of this thread.
pub(crate) fn run_blocking<T>(work: impl FnOnce() -> T) -> T {
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
    // The fixed width makes the order of keys the order of versions.
    format!("{version:020}")
}
