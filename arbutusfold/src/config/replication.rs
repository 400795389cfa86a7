//! Replication of documents between peers, without I/O.
//!
//! A node that learns of a newer version requests the list of its chunks from a
//! peer, then only the chunks that its active document lacks. The assembled text is
//! checked against the digest of the whole document.

use std::time as std_time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::{ActiveDocument, chunk};
use crate::id;

/// Maximum length of a message in bytes.
pub const MESSAGE_LIMIT_BYTES: usize = 64 << 10;

/// Maximum length of all chunks in one reply, in bytes; the rest of
/// [`MESSAGE_LIMIT_BYTES`] is left for the encoding.
const REPLY_CHUNKS_LIMIT_BYTES: usize = 48 << 10;

/// Maximum number of chunks that one request names.
const REQUEST_CHUNKS_LIMIT: usize = 64;

/// Time without a reply after which the next source is asked.
const REPLY_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(300);

/// Maximum number of peers kept as sources of one document.
const SOURCE_LIMIT: usize = 8;

/// Rounds of unanswered requests to all sources after which the fetch is abandoned.
const ROUND_LIMIT: usize = 3;

/// Message between the configuration managers of two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicationMessage {
    /// Announces the active version of the sender.
    ActiveVersion(id::DocumentVersion),
    /// Requests the chunk list of a document newer than this version.
    RequestList(id::DocumentVersion),
    /// Chunk list of the active document of the sender.
    List(ChunkList),
    /// Requests chunks of a version by digest.
    RequestChunks(id::DocumentVersion, Vec<chunk::ChunkDigest>),
    /// Contents of chunks of a version.
    Chunks(id::DocumentVersion, Vec<Vec<u8>>),
}

/// Digests of a document and of its chunks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkList {
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Digest of the whole document.
    pub digest: chunk::DocumentDigest,
    /// Digests of the chunks, in order.
    pub chunks: Vec<chunk::ChunkDigest>,
}

/// Action that the manager performs for the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationAction {
    /// Send a message to a peer.
    Send(id::HostName, ReplicationMessage),
    /// Make a document the active one if it is valid.
    Activate(ReceivedDocument),
    /// Report that the chunks of a version do not match the digest of the document.
    Corrupt(id::DocumentVersion),
}

/// Document assembled from chunks of peers.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDocument {
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Text of the document.
    pub text: String,
}

/// Fetch of one document; `chunks` has an entry for each digest of `list`, `None`
/// until the chunk is known.
#[derive(Debug)]
struct ChunkFetch {
    list: ChunkList,
    chunks: Vec<Option<Bytes>>,
}

/// State machine that fetches newer documents from peers.
#[derive(Debug, Default)]
pub struct ReplicationState {
    highest_seen: id::DocumentVersion,
    refused: id::DocumentVersion,
    wanted: id::DocumentVersion,
    sources: Vec<id::HostName>,
    /// Requests for the wanted version that timed out; selects the next source.
    timeouts: usize,
    requested_at: Option<time::Instant>,
    fetch: Option<ChunkFetch>,
}

impl ReplicationState {
    /// Returns the highest version that any peer has reported so far.
    pub fn highest_seen(&self) -> id::DocumentVersion {
        self.highest_seen
    }

    /// Records that the document of a version is not valid, so that it is not
    /// requested again.
    pub fn refuse(&mut self, version: id::DocumentVersion) {
        self.refused = version;
    }

    /// Returns whether a newer document is being fetched from peers.
    pub fn is_fetching(&self, active_version: id::DocumentVersion) -> bool {
        self.wanted > active_version && !self.sources.is_empty()
    }

    /// Handles the active version of a peer; starts a fetch if it is newer than the
    /// active version and than the one that is being fetched.
    pub fn observe_version(
        &mut self,
        from: &str,
        version: id::DocumentVersion,
        active_version: id::DocumentVersion,
        now: time::Instant,
    ) -> Vec<ReplicationAction> {
        self.highest_seen = self.highest_seen.max(version);
        let fetching = self.is_fetching(active_version);
        if version <= active_version
            || version == self.refused
            || (fetching && version < self.wanted)
        {
            return Vec::new();
        }
        let newer = !fetching || version > self.wanted;
        if newer {
            self.wanted = version;
            self.sources.clear();
            self.timeouts = 0;
            self.fetch = None;
        }
        if self.sources.len() < SOURCE_LIMIT && !self.sources.iter().any(|known| known == from) {
            self.sources.push(from.to_owned());
        }
        match newer {
            true => self.request(active_version, now),
            false => Vec::new(),
        }
    }

    /// Handles a message from a peer.
    pub fn receive(
        &mut self,
        from: &str,
        message: ReplicationMessage,
        active: Option<&ActiveDocument>,
        now: time::Instant,
    ) -> Vec<ReplicationAction> {
        let active_version = active.map_or(0, |active| active.version);
        match message {
            ReplicationMessage::ActiveVersion(version) => {
                self.observe_version(from, version, active_version, now)
            }
            ReplicationMessage::RequestList(base) => reply_list(from, base, active),
            ReplicationMessage::List(list) => self.receive_list(list, active, now),
            ReplicationMessage::RequestChunks(version, digests) => {
                reply_chunks(from, version, &digests, active)
            }
            ReplicationMessage::Chunks(version, chunks) => {
                self.receive_chunks(version, chunks, active, now)
            }
        }
    }

    /// Sends the request to the next source if the last one has timed out.
    pub fn tick(
        &mut self,
        active_version: id::DocumentVersion,
        now: time::Instant,
    ) -> Vec<ReplicationAction> {
        let timed_out = self
            .requested_at
            .is_some_and(|requested| now.duration_since(requested) >= REPLY_TIMEOUT);
        if !timed_out || !self.is_fetching(active_version) {
            return Vec::new();
        }
        self.timeouts += 1;
        if self.timeouts >= self.sources.len() * ROUND_LIMIT {
            // Peers that still have the document report its version again.
            self.sources.clear();
            self.fetch = None;
            return Vec::new();
        }
        self.request(active_version, now)
    }

    fn request(
        &mut self,
        active_version: id::DocumentVersion,
        now: time::Instant,
    ) -> Vec<ReplicationAction> {
        let Some(source) = self.sources.get(self.timeouts % self.sources.len().max(1)) else {
            return Vec::new();
        };
        self.requested_at = Some(now);
        let message = match &self.fetch {
            None => ReplicationMessage::RequestList(active_version),
            Some(fetch) => ReplicationMessage::RequestChunks(fetch.list.version, fetch.missing()),
        };
        vec![ReplicationAction::Send(source.clone(), message)]
    }

    fn receive_list(
        &mut self,
        list: ChunkList,
        active: Option<&ActiveDocument>,
        now: time::Instant,
    ) -> Vec<ReplicationAction> {
        let active_version = active.map_or(0, |active| active.version);
        let fetched = self.fetch.as_ref().map_or(0, |fetch| fetch.list.version);
        let stale = list.version <= active_version || list.version <= fetched;
        if stale || list.chunks.len() > chunk::CHUNK_LIMIT {
            return Vec::new();
        }
        self.wanted = self.wanted.max(list.version);
        self.fetch = Some(ChunkFetch::new(list, active));
        self.continue_fetch(active_version, now)
    }

    fn receive_chunks(
        &mut self,
        version: id::DocumentVersion,
        chunks: Vec<Vec<u8>>,
        active: Option<&ActiveDocument>,
        now: time::Instant,
    ) -> Vec<ReplicationAction> {
        let active_version = active.map_or(0, |active| active.version);
        // The document may have been read from the table service in the meantime.
        self.fetch = self
            .fetch
            .take()
            .filter(|fetch| fetch.list.version > active_version);
        let fetch = self.fetch.as_mut();
        let Some(fetch) = fetch.filter(|fetch| fetch.list.version == version) else {
            return Vec::new();
        };
        for content in chunks {
            fetch.insert(Bytes::from(content));
        }
        self.continue_fetch(active_version, now)
    }

    /// Requests missing chunks, or completes the fetch.
    fn continue_fetch(
        &mut self,
        active_version: id::DocumentVersion,
        now: time::Instant,
    ) -> Vec<ReplicationAction> {
        let complete = self.fetch.as_ref().is_some_and(ChunkFetch::is_complete);
        if !complete {
            return self.request(active_version, now);
        }
        let Some(fetch) = self.fetch.take() else {
            return Vec::new();
        };
        let version = fetch.list.version;
        match fetch.join() {
            Some(text) => vec![ReplicationAction::Activate(ReceivedDocument {
                version,
                text,
            })],
            None => {
                self.sources.clear();
                vec![ReplicationAction::Corrupt(version)]
            }
        }
    }
}

impl ChunkFetch {
    fn new(list: ChunkList, active: Option<&ActiveDocument>) -> Self {
        let mut known: Vec<_> = active
            .iter()
            .flat_map(|active| active.chunks.iter().map(|chunk| (chunk, &active.text)))
            .collect();
        known.sort_by_key(|(known, _)| known.digest);
        let chunks = list.chunks.iter().map(|digest| {
            let found = known.binary_search_by_key(digest, |(known, _)| known.digest);
            let (chunk, text) = known[found.ok()?];
            Some(Bytes::copy_from_slice(
                text[..].as_bytes().get(chunk.range.clone())?,
            ))
        });
        let chunks = chunks.collect();
        Self { list, chunks }
    }

    fn missing(&self) -> Vec<chunk::ChunkDigest> {
        let mut missing: Vec<_> = self
            .list
            .chunks
            .iter()
            .zip(&self.chunks)
            .filter(|(_, content)| content.is_none())
            .map(|(digest, _)| *digest)
            .collect();
        missing.sort_unstable();
        missing.dedup();
        missing.truncate(REQUEST_CHUNKS_LIMIT);
        missing
    }

    fn insert(&mut self, content: Bytes) {
        let digest = chunk::digest_chunk(&content);
        let slots = self.list.chunks.iter().zip(&mut self.chunks);
        for (_, slot) in slots.filter(|(known, _)| **known == digest) {
            *slot = Some(content.clone());
        }
    }

    fn is_complete(&self) -> bool {
        self.chunks.iter().all(Option::is_some)
    }

    fn join(self) -> Option<String> {
        let chunks: Option<Vec<_>> = self.chunks.into_iter().collect();
        chunk::join(&chunks?, &self.list.digest)
    }
}

fn reply_list(
    from: &str,
    base: id::DocumentVersion,
    active: Option<&ActiveDocument>,
) -> Vec<ReplicationAction> {
    let newer = active.filter(|active| active.version > base);
    let list = newer.map(|active| ChunkList {
        version: active.version,
        digest: *blake3::hash(active.text.as_bytes()).as_bytes(),
        chunks: active.chunks.iter().map(|chunk| chunk.digest).collect(),
    });
    list.map(|list| ReplicationAction::Send(from.to_owned(), ReplicationMessage::List(list)))
        .into_iter()
        .collect()
}

fn reply_chunks(
    from: &str,
    version: id::DocumentVersion,
    digests: &[chunk::ChunkDigest],
    active: Option<&ActiveDocument>,
) -> Vec<ReplicationAction> {
    let Some(active) = active else {
        return Vec::new();
    };
    if active.version > version {
        // Only the chunks of the active document are kept.
        let announcement = ReplicationMessage::ActiveVersion(active.version);
        return vec![ReplicationAction::Send(from.to_owned(), announcement)];
    }
    let mut length = 0;
    let chunks: Vec<_> = active
        .chunks
        .iter()
        .filter(|chunk| digests.contains(&chunk.digest))
        .map(|chunk| active.text.as_bytes()[chunk.range.clone()].to_vec())
        .take_while(|content| {
            length += content.len();
            length <= REPLY_CHUNKS_LIMIT_BYTES
        })
        .collect();
    if chunks.is_empty() {
        return Vec::new();
    }
    let message = ReplicationMessage::Chunks(version, chunks);
    vec![ReplicationAction::Send(from.to_owned(), message)]
}
