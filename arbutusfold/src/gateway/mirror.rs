//! A node's copy of the store's watched tables.
//!
//! Rows come from the store or from peers. A row's version decides which
//! copy is newer, so rows may come twice, late and in any order.

use arbutusfold_platform::store;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Removed rows that a table remembers, so that peers hear of them.
const TOMBSTONE_LIMIT: usize = 1_024;

/// A row as peers pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorRow {
    /// Key inside its table.
    pub key: String,
    /// Version of the last change.
    pub version: store::RowVersion,
    /// Content, or `None` once removed.
    pub value: Option<Bytes>,
}

/// Copy of one table.
#[derive(Clone, Debug, Default)]
pub struct TableMirror {
    /// Rows and removed rows, by key.
    rows: Vec<MirrorRow>,
    /// Highest version among the rows.
    latest_version: store::RowVersion,
    /// Version up to which removed rows were forgotten.
    purged_version: store::RowVersion,
    /// Whether the table was ever read whole.
    complete: bool,
}

impl TableMirror {
    /// Tells whether the table was ever read whole, from the store or a peer.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the highest version among the rows.
    pub fn latest_version(&self) -> store::RowVersion {
        self.latest_version
    }

    /// Returns the content of a row.
    pub fn get(&self, key: &str) -> Option<&MirrorRow> {
        let index = self.search(key).ok()?;
        Some(&self.rows[index]).filter(|row| row.value.is_some())
    }

    /// Returns the rows that are there.
    pub fn rows(&self) -> impl Iterator<Item = &MirrorRow> {
        self.rows.iter().filter(|row| row.value.is_some())
    }

    /// Takes rows and returns those whose content changed.
    pub fn merge(&mut self, rows: impl IntoIterator<Item = MirrorRow>) -> Vec<MirrorRow> {
        let changes = rows.into_iter().filter_map(|row| self.merge_row(row));
        let changes = changes.collect();
        self.purge_tombstones();
        changes
    }

    /// Takes what changed after a version, or nothing when this copy does not
    /// reach that far: rows in between would be missed without a trace.
    pub fn merge_after(
        &mut self,
        after: store::RowVersion,
        rows: Vec<MirrorRow>,
    ) -> Option<Vec<MirrorRow>> {
        (self.latest_version >= after).then(|| self.merge(rows))
    }

    /// Takes the whole table as of a version; rows that it lacks are removed.
    pub fn replace(&mut self, rows: Vec<MirrorRow>, version: store::RowVersion) -> Vec<MirrorRow> {
        let mut keys: Vec<_> = rows.iter().map(|row| row.key.clone()).collect();
        keys.sort_unstable();
        let removed: Vec<_> = self
            .rows
            .iter()
            .filter(|row| row.value.is_some() && row.version <= version)
            .filter(|row| keys.binary_search(&row.key).is_err())
            .map(|row| MirrorRow {
                key: row.key.clone(),
                version: version.max(row.version + 1),
                value: None,
            })
            .collect();
        self.complete = true;
        self.merge(rows.into_iter().chain(removed))
    }

    /// Returns the rows that changed after a version, or `None` when removed
    /// rows of that time were forgotten.
    pub fn changes_after(&self, version: store::RowVersion) -> Option<Vec<MirrorRow>> {
        let changed = self.rows.iter().filter(|row| row.version > version);
        (version >= self.purged_version).then(|| changed.cloned().collect())
    }

    fn merge_row(&mut self, row: MirrorRow) -> Option<MirrorRow> {
        self.latest_version = self.latest_version.max(row.version);
        match self.search(&row.key) {
            Ok(index) if self.rows[index].version >= row.version => None,
            Ok(index) => {
                let before = std::mem::replace(&mut self.rows[index], row.clone()).value;
                (before != row.value).then_some(row)
            }
            Err(index) => {
                self.rows.insert(index, row.clone());
                row.value.is_some().then_some(row)
            }
        }
    }

    /// Forgets the oldest removed rows over the limit.
    fn purge_tombstones(&mut self) {
        let removed = self.rows.iter().filter(|row| row.value.is_none());
        let mut versions: Vec<_> = removed.map(|row| row.version).collect();
        if versions.len() <= TOMBSTONE_LIMIT {
            return;
        }
        versions.sort_unstable();
        let limit = versions[versions.len() - TOMBSTONE_LIMIT];
        self.rows
            .retain(|row| row.value.is_some() || row.version >= limit);
        self.purged_version = self.purged_version.max(limit);
    }

    fn search(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }
}

impl From<store::StoredRow> for MirrorRow {
    fn from(row: store::StoredRow) -> Self {
        Self {
            key: row.key,
            version: row.version,
            value: row.value,
        }
    }
}
