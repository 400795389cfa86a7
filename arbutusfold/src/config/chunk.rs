//! Content-defined chunks of documents, addressed by digest.

use std::ops;

use bytes::Bytes;

/// Minimum length of a chunk other than the last, in bytes.
const CHUNK_MIN_BYTES: usize = 1_280;

/// Average length of a chunk in bytes.
const CHUNK_AVERAGE_BYTES: usize = 2 << 10;

/// Maximum length of a chunk in bytes.
const CHUNK_MAX_BYTES: usize = 8 << 10;

/// Maximum length of a document in bytes.
pub const DOCUMENT_LIMIT_BYTES: usize = 4 << 20;

/// Maximum number of chunks of a document.
pub(crate) const CHUNK_LIMIT: usize = DOCUMENT_LIMIT_BYTES / CHUNK_MIN_BYTES + 1;

/// Truncated digest of a chunk.
///
/// 128 bits are enough against accidental collisions; the whole document is checked
/// against a full digest.
pub type ChunkDigest = [u8; 16];

/// Digest of a whole document.
pub type DocumentDigest = [u8; 32];

/// A chunk of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextChunk {
    /// Digest of the bytes of the chunk.
    pub digest: ChunkDigest,
    /// Byte range of the chunk in the text.
    pub range: ops::Range<usize>,
}

/// Splits a text at content-defined boundaries, so that an edit changes few chunks.
pub fn split(text: &str) -> Vec<TextChunk> {
    let bytes = text.as_bytes();
    let chunker =
        fastcdc::v2020::FastCDC::new(bytes, CHUNK_MIN_BYTES, CHUNK_AVERAGE_BYTES, CHUNK_MAX_BYTES);
    chunker
        .map(|chunk| {
            let range = chunk.offset..chunk.offset + chunk.length;
            TextChunk {
                digest: digest_chunk(&bytes[range.clone()]),
                range,
            }
        })
        .collect()
}

/// Returns the digest of a chunk.
pub fn digest_chunk(bytes: &[u8]) -> ChunkDigest {
    let mut digest = ChunkDigest::default();
    digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    digest
}

/// Joins chunks and returns the text if it is UTF-8 and has the expected digest.
pub fn join(chunks: &[Bytes], digest: &DocumentDigest) -> Option<String> {
    let whole = chunks.concat();
    let matches = blake3::hash(&whole) == blake3::Hash::from(*digest);
    matches.then(|| String::from_utf8(whole).ok()).flatten()
}
