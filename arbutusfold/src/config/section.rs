//! Documents cut into sections that are named by their digests.

use std::ops;

use bytes::Bytes;

/// Shortest section but the last, in bytes.
const SECTION_LEAST_BYTES: usize = 1_280;

/// Usual length of a section in bytes.
const SECTION_USUAL_BYTES: usize = 2 << 10;

/// Longest section in bytes.
const SECTION_MOST_BYTES: usize = 8 << 10;

/// Longest document in bytes.
pub const DOCUMENT_LIMIT_BYTES: usize = 4 << 20;

/// Most sections of a document.
pub(crate) const SECTION_LIMIT: usize = DOCUMENT_LIMIT_BYTES / SECTION_LEAST_BYTES + 1;

/// Digest of a section: enough bits against chance, the whole has its own.
pub type SectionDigest = [u8; 16];

/// Digest of a whole document.
pub type DocumentDigest = [u8; 32];

/// A section of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextSection {
    /// Digest of its bytes.
    pub digest: SectionDigest,
    /// Its place in the text.
    pub range: ops::Range<usize>,
}

/// Cuts a text where its content says, so that a change moves few borders.
pub fn cut(text: &str) -> Vec<TextSection> {
    let bytes = text.as_bytes();
    let chunker = fastcdc::v2020::FastCDC::new(
        bytes,
        SECTION_LEAST_BYTES,
        SECTION_USUAL_BYTES,
        SECTION_MOST_BYTES,
    );
    chunker
        .map(|chunk| {
            let range = chunk.offset..chunk.offset + chunk.length;
            TextSection {
                digest: digest_section(&bytes[range.clone()]),
                range,
            }
        })
        .collect()
}

/// Returns the digest of a section.
pub fn digest_section(bytes: &[u8]) -> SectionDigest {
    let mut digest = SectionDigest::default();
    digest.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    digest
}

/// Joins sections to a text if its digest is the expected one.
pub fn join(sections: &[Bytes], digest: &DocumentDigest) -> Option<String> {
    let whole = sections.concat();
    let same = blake3::hash(&whole) == blake3::Hash::from(*digest);
    same.then(|| String::from_utf8(whole).ok()).flatten()
}
