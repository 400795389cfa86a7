//! How a document travels from peer to peer: sections by digest, then the whole.

use std::time as std_time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::{ForceDocument, section};
use crate::id;

/// Longest message in bytes.
pub const MESSAGE_LIMIT_BYTES: usize = 64 << 10;

/// Bytes of sections that one answer may carry, which leaves room for the rest.
const ANSWER_SECTIONS_BYTES: usize = 48 << 10;

/// Sections that one question may name.
const ASK_SECTIONS: usize = 64;

/// Silence after which the next source is asked.
const ANSWER_LIMIT: std_time::Duration = std_time::Duration::from_millis(300);

/// Sources that are remembered for one document.
const SOURCE_LIMIT: usize = 8;

/// Rounds over all sources without an answer after which they are given up.
const ROUND_LIMIT: usize = 3;

/// Message between the configuration keepers of two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SpreadMessage {
    /// The sender has this version in force.
    Newest(id::DocumentVersion),
    /// The sender asks for the list of a document above this version.
    AskList(id::DocumentVersion),
    /// The sections of the document that the sender has in force.
    List(SectionList),
    /// The sender asks for sections of a version.
    AskSections(id::DocumentVersion, Vec<section::SectionDigest>),
    /// Sections of a version.
    Sections(id::DocumentVersion, Vec<Vec<u8>>),
}

/// The sections of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SectionList {
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Digest of the whole.
    pub digest: section::DocumentDigest,
    /// Digests of the sections, in order.
    pub sections: Vec<section::SectionDigest>,
}

/// What the state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadAction {
    /// Send a message to a peer.
    Send(id::HostName, SpreadMessage),
    /// Put a document in force if it holds.
    Adopt(ReceivedDocument),
    /// Report that a document from a peer could not be put together.
    Broken(id::DocumentVersion),
}

/// A document that came from peers.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDocument {
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Its text.
    pub text: String,
}

/// A document on its way to this node.
#[derive(Debug)]
struct SectionFetch {
    list: SectionList,
    parts: Vec<Option<Bytes>>,
}

/// What a node knows of newer documents at its peers.
#[derive(Debug, Default)]
pub struct SpreadState {
    highest: id::DocumentVersion,
    refused: id::DocumentVersion,
    wanted: id::DocumentVersion,
    sources: Vec<id::HostName>,
    turn: usize,
    asked_at: Option<time::Instant>,
    fetch: Option<SectionFetch>,
}

impl SpreadState {
    /// Returns the highest version that a peer was ever heard to have.
    pub fn highest(&self) -> id::DocumentVersion {
        self.highest
    }

    /// Remembers that the document of a version does not hold, so that it is
    /// not asked for again.
    pub fn refuse(&mut self, version: id::DocumentVersion) {
        self.refused = version;
    }

    /// Tells whether a newer document is on its way from peers.
    pub fn is_fetching(&self, held: id::DocumentVersion) -> bool {
        self.wanted > held && !self.sources.is_empty()
    }

    /// Takes the version that a peer has in force.
    pub fn hear_version(
        &mut self,
        from: &str,
        version: id::DocumentVersion,
        held: id::DocumentVersion,
        now: time::Instant,
    ) -> Vec<SpreadAction> {
        self.highest = self.highest.max(version);
        let fetching = self.is_fetching(held);
        if version <= held || version == self.refused || (fetching && version < self.wanted) {
            return Vec::new();
        }
        let newer = !fetching || version > self.wanted;
        if newer {
            self.wanted = version;
            self.sources.clear();
            self.turn = 0;
            self.fetch = None;
        }
        if self.sources.len() < SOURCE_LIMIT && !self.sources.iter().any(|known| known == from) {
            self.sources.push(from.to_owned());
        }
        match newer {
            true => self.ask(held, now),
            false => Vec::new(),
        }
    }

    /// Takes a message from a peer.
    pub fn hear(
        &mut self,
        from: &str,
        message: SpreadMessage,
        held: Option<&ForceDocument>,
        now: time::Instant,
    ) -> Vec<SpreadAction> {
        let version = held.map_or(0, |held| held.version);
        match message {
            SpreadMessage::Newest(heard) => self.hear_version(from, heard, version, now),
            SpreadMessage::AskList(above) => answer_list(from, above, held),
            SpreadMessage::List(list) => self.take_list(list, held, now),
            SpreadMessage::AskSections(asked, digests) => {
                answer_sections(from, asked, &digests, held)
            }
            SpreadMessage::Sections(sent, parts) => self.take_parts(sent, parts, held, now),
        }
    }

    /// Asks the next source when the last one was silent too long.
    pub fn tick(&mut self, held: id::DocumentVersion, now: time::Instant) -> Vec<SpreadAction> {
        let silent = self
            .asked_at
            .is_some_and(|asked| now.duration_since(asked) >= ANSWER_LIMIT);
        if !silent || !self.is_fetching(held) {
            return Vec::new();
        }
        self.turn += 1;
        if self.turn >= self.sources.len() * ROUND_LIMIT {
            // Those that still have it will be heard of again.
            self.sources.clear();
            self.fetch = None;
            return Vec::new();
        }
        self.ask(held, now)
    }

    fn ask(&mut self, held: id::DocumentVersion, now: time::Instant) -> Vec<SpreadAction> {
        let Some(source) = self.sources.get(self.turn % self.sources.len().max(1)) else {
            return Vec::new();
        };
        self.asked_at = Some(now);
        let message = match &self.fetch {
            None => SpreadMessage::AskList(held),
            Some(fetch) => SpreadMessage::AskSections(fetch.list.version, fetch.missing()),
        };
        vec![SpreadAction::Send(source.clone(), message)]
    }

    fn take_list(
        &mut self,
        list: SectionList,
        held: Option<&ForceDocument>,
        now: time::Instant,
    ) -> Vec<SpreadAction> {
        let version = held.map_or(0, |held| held.version);
        let fetched = self.fetch.as_ref().map_or(0, |fetch| fetch.list.version);
        let stale = list.version <= version || list.version <= fetched;
        if stale || list.sections.len() > section::SECTION_LIMIT {
            return Vec::new();
        }
        self.wanted = self.wanted.max(list.version);
        self.fetch = Some(SectionFetch::new(list, held));
        self.proceed(version, now)
    }

    fn take_parts(
        &mut self,
        version: id::DocumentVersion,
        parts: Vec<Vec<u8>>,
        held: Option<&ForceDocument>,
        now: time::Instant,
    ) -> Vec<SpreadAction> {
        let held = held.map_or(0, |held| held.version);
        // The document may have come from the table service meanwhile.
        self.fetch = self.fetch.take().filter(|fetch| fetch.list.version > held);
        let fetch = self.fetch.as_mut();
        let Some(fetch) = fetch.filter(|fetch| fetch.list.version == version) else {
            return Vec::new();
        };
        for part in parts {
            fetch.take(Bytes::from(part));
        }
        self.proceed(held, now)
    }

    /// Asks for what is missing, or ends the fetch.
    fn proceed(&mut self, held: id::DocumentVersion, now: time::Instant) -> Vec<SpreadAction> {
        let whole = self.fetch.as_ref().is_some_and(SectionFetch::is_whole);
        if !whole {
            return self.ask(held, now);
        }
        let Some(fetch) = self.fetch.take() else {
            return Vec::new();
        };
        let version = fetch.list.version;
        match fetch.join() {
            Some(text) => vec![SpreadAction::Adopt(ReceivedDocument { version, text })],
            None => {
                self.sources.clear();
                vec![SpreadAction::Broken(version)]
            }
        }
    }
}

impl SectionFetch {
    fn new(list: SectionList, held: Option<&ForceDocument>) -> Self {
        let mut known: Vec<_> = held
            .iter()
            .flat_map(|held| held.sections.iter().map(|known| (known, &held.text)))
            .collect();
        known.sort_by_key(|(known, _)| known.digest);
        let parts = list.sections.iter().map(|digest| {
            let place = known.binary_search_by_key(digest, |(known, _)| known.digest);
            let (known, text) = known[place.ok()?];
            Some(Bytes::copy_from_slice(
                text[..].as_bytes().get(known.range.clone())?,
            ))
        });
        let parts = parts.collect();
        Self { list, parts }
    }

    fn missing(&self) -> Vec<section::SectionDigest> {
        let mut missing: Vec<_> = self
            .list
            .sections
            .iter()
            .zip(&self.parts)
            .filter(|(_, part)| part.is_none())
            .map(|(digest, _)| *digest)
            .collect();
        missing.sort_unstable();
        missing.dedup();
        missing.truncate(ASK_SECTIONS);
        missing
    }

    fn take(&mut self, part: Bytes) {
        let digest = section::digest_section(&part);
        let places = self.list.sections.iter().zip(&mut self.parts);
        for (_, place) in places.filter(|(known, _)| **known == digest) {
            *place = Some(part.clone());
        }
    }

    fn is_whole(&self) -> bool {
        self.parts.iter().all(Option::is_some)
    }

    fn join(self) -> Option<String> {
        let parts: Option<Vec<_>> = self.parts.into_iter().collect();
        section::join(&parts?, &self.list.digest)
    }
}

fn answer_list(
    from: &str,
    above: id::DocumentVersion,
    held: Option<&ForceDocument>,
) -> Vec<SpreadAction> {
    let newer = held.filter(|held| held.version > above);
    let list = newer.map(|held| SectionList {
        version: held.version,
        digest: *blake3::hash(held.text.as_bytes()).as_bytes(),
        sections: held.sections.iter().map(|known| known.digest).collect(),
    });
    list.map(|list| SpreadAction::Send(from.to_owned(), SpreadMessage::List(list)))
        .into_iter()
        .collect()
}

fn answer_sections(
    from: &str,
    version: id::DocumentVersion,
    digests: &[section::SectionDigest],
    held: Option<&ForceDocument>,
) -> Vec<SpreadAction> {
    let Some(held) = held else {
        return Vec::new();
    };
    if held.version > version {
        // What was asked for is no longer kept whole.
        let newest = SpreadMessage::Newest(held.version);
        return vec![SpreadAction::Send(from.to_owned(), newest)];
    }
    let mut length = 0;
    let parts: Vec<_> = held
        .sections
        .iter()
        .filter(|known| digests.contains(&known.digest))
        .map(|known| held.text.as_bytes()[known.range.clone()].to_vec())
        .take_while(|part| {
            length += part.len();
            length <= ANSWER_SECTIONS_BYTES
        })
        .collect();
    if parts.is_empty() {
        return Vec::new();
    }
    let message = SpreadMessage::Sections(version, parts);
    vec![SpreadAction::Send(from.to_owned(), message)]
}
