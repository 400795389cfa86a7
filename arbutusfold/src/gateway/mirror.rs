//! Copies of the store's watched tables on a node.
//!
//! Rows arrive from the store or from peers. The version of a row decides
//! which copy is newer, so rows may arrive twice, late and in any order. The changes
//! between two versions of different eras are not known, so a copy goes over to the next
//! era by a whole table only.

use arbutusfold_platform::store;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Maximum number of tombstones (removed rows) in a table. They are kept so
/// that peers learn of removals.
const TOMBSTONE_LIMIT: usize = 1_024;

/// A row as nodes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorRow {
    /// Key inside its table.
    pub key: String,
    /// Version of the last change.
    pub version: store::RowVersion,
    /// Content, or `None` for a tombstone.
    pub value: Option<Bytes>,
}

/// A copy of one table.
#[derive(Clone, Debug, Default)]
pub struct TableMirror {
    /// Rows and tombstones, sorted by key.
    rows: Vec<MirrorRow>,
    /// Highest version among the rows.
    latest_version: store::RowVersion,
    /// Version up to which tombstones may have been purged.
    purged_version: store::RowVersion,
    /// Version up to which the copy has every change, `None` until the whole table
    /// has been received. Rows may be newer: pages of one table are read one after
    /// the other.
    complete_version: Option<store::RowVersion>,
}

impl TableMirror {
    /// Returns whether the whole table has been received at least once, from
    /// the store or from a peer.
    pub fn is_complete(&self) -> bool {
        self.complete_version.is_some()
    }

    /// Returns the version up to which the copy has every change, 0 until it is
    /// complete.
    pub fn complete_version(&self) -> store::RowVersion {
        self.complete_version.unwrap_or_default()
    }

    /// Returns the version of the newest change in the part of the copy that is
    /// complete, 0 for none.
    pub fn change_version(&self) -> store::RowVersion {
        let complete = self.complete_version();
        if self.latest_version <= complete {
            return self.latest_version;
        }
        let versions = self.rows.iter().map(|row| row.version);
        let settled = versions.filter(|version| *version <= complete);
        settled.max().unwrap_or_default()
    }

    /// Returns the highest version among the rows.
    pub fn latest_version(&self) -> store::RowVersion {
        self.latest_version
    }

    /// Returns the row with this key, unless it is absent or a tombstone.
    pub fn get(&self, key: &str) -> Option<&MirrorRow> {
        let index = self.search(key).ok()?;
        Some(&self.rows[index]).filter(|row| row.value.is_some())
    }

    /// Returns the rows without the tombstones.
    pub fn rows(&self) -> impl Iterator<Item = &MirrorRow> {
        self.rows.iter().filter(|row| row.value.is_some())
    }

    /// Merges rows into the copy and returns those whose content changed. Rows of an era
    /// before that of a complete copy are ignored: they may be gone since.
    pub fn merge(&mut self, rows: impl IntoIterator<Item = MirrorRow>) -> Vec<MirrorRow> {
        let era = self.complete_version().era;
        let rows = rows.into_iter().filter(|row| row.version.era >= era);
        let changes = rows.filter_map(|row| self.merge_row(row));
        let changes = changes.collect();
        self.purge_tombstones();
        changes
    }

    /// Merges the changes after a version, up to the newest of them. Returns the rows whose
    /// content changed, and those that are settled now: the copy had them before it was
    /// complete up to them, so they were not passed on.
    ///
    /// Returns `None` and merges nothing if this copy is not complete up to that
    /// version, or the changes are of another era than it: the rows in between would be
    /// missing and nothing would show it.
    pub fn merge_after(
        &mut self,
        after: store::RowVersion,
        rows: Vec<MirrorRow>,
    ) -> Option<Vec<MirrorRow>> {
        let newest = rows.iter().map(|row| row.version).max().unwrap_or(after);
        self.merge_between(after, newest, rows)
    }

    /// Merges the changes after one version up to another one, as
    /// [`Self::merge_after`] does.
    pub fn merge_between(
        &mut self,
        after: store::RowVersion,
        until: store::RowVersion,
        rows: Vec<MirrorRow>,
    ) -> Option<Vec<MirrorRow>> {
        let end = self.complete_version.unwrap_or(self.latest_version);
        if end < after || after.era != until.era {
            return None;
        }
        let settled = match self.complete_version {
            Some(end) => self.complete_to(end.max(until)),
            None => Vec::new(),
        };
        Some(self.merge_settled(rows, settled))
    }

    /// Replaces the copy by the whole table as of a version and returns the rows
    /// that [`Self::merge_after`] does. Rows that the table lacks become tombstones, unless
    /// they are newer than that version.
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
                version: version.max(row.version.next()),
                value: None,
            })
            .collect();
        let settled = self.complete_to(self.complete_version().max(version));
        self.merge_settled(rows.into_iter().chain(removed), settled)
    }

    /// Records that the copy has every change up to a version, and returns the rows that it
    /// had before.
    fn complete_to(&mut self, version: store::RowVersion) -> Vec<MirrorRow> {
        let before = self.complete_version.replace(version).unwrap_or(version);
        if self.latest_version <= before {
            return Vec::new();
        }
        let rows = self.rows.iter();
        rows.filter(|row| row.version > before && row.version <= version)
            .cloned()
            .collect()
    }

    /// Merges rows and returns those that changed, and the settled ones that did not.
    fn merge_settled(
        &mut self,
        rows: impl IntoIterator<Item = MirrorRow>,
        settled: Vec<MirrorRow>,
    ) -> Vec<MirrorRow> {
        let mut changed = self.merge(rows);
        for row in settled {
            if changed.iter().all(|change| change.key != row.key) {
                changed.push(row);
            }
        }
        changed
    }

    /// Returns whether the copy, if it is complete, is of the same era as a version. What
    /// changed between two eras cannot be told.
    pub fn is_in_era_of(&self, version: store::RowVersion) -> bool {
        self.complete_version
            .is_none_or(|end| end.era == version.era)
    }

    /// Returns the rows that changed after a version, up to the one up to which a
    /// whole copy is complete, or `None` if tombstones from after that version may have
    /// been purged, or the copy is of another era than it.
    pub fn changes_after(&self, version: store::RowVersion) -> Option<Vec<MirrorRow>> {
        let is_settled =
            |row: &&MirrorRow| self.complete_version.is_none_or(|end| row.version <= end);
        let settled = self.rows.iter().filter(is_settled);
        let changed = settled.filter(|row| row.version > version);
        let is_known = self.is_in_era_of(version) && version >= self.purged_version;
        is_known.then(|| changed.cloned().collect())
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

    /// Purges the oldest tombstones beyond the limit.
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
