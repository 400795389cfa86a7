//! Versions of the copies of the store's tables, as nodes tell each other.
//!
//! The versions follow the message that carries them, and the eras of versions follow
//! these: nodes of the release before ignore bytes behind a message that they can decode.
//! A message without eras is from a node that knows none, and its versions are older than
//! those of any era.

use std::time as std_time;

use arbutusfold_platform::store;
use serde::{Serialize, de};
use tokio::time;

use crate::id;

/// Time after which what a peer said of its versions no longer counts.
const SOURCE_AGE_LIMIT: std_time::Duration = std_time::Duration::from_secs(2);

/// Versions of the newest changes in the copies of the watched tables, in the order
/// of [`store::WatchedTable::ALL`]; 0 for a copy that is not complete.
pub type TableVersions = Vec<store::RowVersion>;

/// Returns the latest era of the copies.
pub fn era(versions: &TableVersions) -> store::StoreEra {
    let eras = versions.iter().map(|version| version.era);
    eras.max().unwrap_or(0)
}

/// Encodes versions and their eras.
///
/// # Errors
///
/// [`postcard::Error`] if they cannot be encoded.
pub fn encode_versions(versions: &TableVersions) -> postcard::Result<Vec<u8>> {
    let eras: Vec<_> = versions.iter().map(|version| version.era).collect();
    encode_eras(versions, &eras)
}

/// Decodes versions and the eras that follow them.
///
/// # Errors
///
/// [`postcard::Error`] if they cannot be decoded.
pub fn decode_versions(bytes: &[u8]) -> postcard::Result<TableVersions> {
    let (mut versions, eras) = decode_eras::<TableVersions>(bytes)?;
    set_eras(&mut versions, &eras);
    Ok(versions)
}

/// Encodes a message that is followed by the sender's versions.
///
/// # Errors
///
/// [`postcard::Error`] if the message cannot be encoded.
pub fn encode(message: &impl Serialize, versions: &TableVersions) -> postcard::Result<Vec<u8>> {
    let mut body = postcard::to_stdvec(message)?;
    body.extend(encode_versions(versions)?);
    Ok(body)
}

/// Decodes a message and the versions that follow it, `None` if there are none.
///
/// # Errors
///
/// [`postcard::Error`] if the message cannot be decoded.
pub fn decode<T: de::DeserializeOwned>(
    body: &[u8],
) -> postcard::Result<(T, Option<TableVersions>)> {
    let (message, rest) = postcard::take_from_bytes(body)?;
    Ok((message, decode_versions(rest).ok()))
}

/// Encodes a message that is followed by the eras of the versions in it.
///
/// # Errors
///
/// [`postcard::Error`] if the message cannot be encoded.
pub fn encode_eras(
    message: &impl Serialize,
    eras: &[store::StoreEra],
) -> postcard::Result<Vec<u8>> {
    let mut body = postcard::to_stdvec(message)?;
    if eras.iter().any(|era| *era > 0) {
        body.extend(postcard::to_stdvec(eras)?);
    }
    Ok(body)
}

/// Decodes a message and the eras that follow it, none for a sender that knows none.
///
/// # Errors
///
/// [`postcard::Error`] if the message cannot be decoded.
pub fn decode_eras<T: de::DeserializeOwned>(
    body: &[u8],
) -> postcard::Result<(T, Vec<store::StoreEra>)> {
    let (message, rest) = postcard::take_from_bytes(body)?;
    Ok((message, postcard::from_bytes(rest).unwrap_or_default()))
}

/// Sets the eras of versions that were decoded without them.
pub fn set_eras(versions: &mut TableVersions, eras: &[store::StoreEra]) {
    let named = versions.iter_mut().zip(eras);
    named.for_each(|(version, era)| version.era = *era);
}

/// A peer and the versions that it named.
#[derive(Clone, Debug)]
struct RowSource {
    host: id::HostName,
    versions: TableVersions,
    heard_at: time::Instant,
    /// When this node last requested rows from it.
    asked_at: Option<time::Instant>,
}

impl RowSource {
    /// Returns whether the peer may have a newer change than copies of the versions
    /// `known`. Of a peer that names no era, only the numbers can be compared.
    fn is_ahead(&self, known: &TableVersions) -> bool {
        let mut tables = self.versions.iter().zip(known);
        tables.any(|(version, known)| match version.era {
            0 => version.number > known.number,
            _ => version > known,
        })
    }
}

/// What peers have that this node lacks.
#[derive(Clone, Debug, Default)]
pub struct RowLag {
    /// Peers that named versions lately, sorted by host.
    sources: Vec<RowSource>,
    /// When this node learned of the oldest change that it still lacks.
    since: Option<time::Instant>,
}

impl RowLag {
    /// Records the versions that a peer named; `known` are this node's own. Returns
    /// whether the node was current until now and lacks rows of the peer.
    pub fn note(
        &mut self,
        host: &str,
        versions: TableVersions,
        known: &TableVersions,
        now: time::Instant,
    ) -> bool {
        let index = self.search(host).unwrap_or_else(|index| {
            let source = RowSource {
                host: host.to_owned(),
                versions: TableVersions::new(),
                heard_at: now,
                asked_at: None,
            };
            self.sources.insert(index, source);
            index
        });
        let source = &mut self.sources[index];
        source.versions = versions;
        source.heard_at = now;
        let is_first = self.since.is_none() && source.is_ahead(known);
        if is_first {
            self.since = Some(now);
        }
        is_first
    }

    /// Returns whether a peer named its versions lately.
    pub fn is_known(&self, host: &str, now: time::Instant) -> bool {
        self.search(host)
            .is_ok_and(|index| is_recent(&self.sources[index], now))
    }

    fn search(&self, host: &str) -> Result<usize, usize> {
        self.sources
            .binary_search_by(|source| source.host.as_str().cmp(host))
    }

    /// Returns the peer to request rows from, the one that was asked longest ago
    /// first, or `None` if no peer has rows that this node lacks.
    pub fn next_source(
        &mut self,
        known: &TableVersions,
        now: time::Instant,
    ) -> Option<id::HostName> {
        self.sources.retain(|source| is_recent(source, now));
        let ahead = self
            .sources
            .iter_mut()
            .filter(|source| source.is_ahead(known));
        let Some(source) = ahead.min_by_key(|source| (source.asked_at, now - source.heard_at))
        else {
            self.since = None;
            return None;
        };
        source.asked_at = Some(now);
        Some(source.host.clone())
    }

    /// Returns for how long this node has known of a change that it lacks.
    pub fn age(&self, known: &TableVersions, now: time::Instant) -> std_time::Duration {
        let is_behind = self.sources.iter().any(|source| source.is_ahead(known));
        let since = self.since.filter(|_| is_behind).unwrap_or(now);
        now.saturating_duration_since(since)
    }
}

fn is_recent(source: &RowSource, now: time::Instant) -> bool {
    now.saturating_duration_since(source.heard_at) < SOURCE_AGE_LIMIT
}
