//! A queue of rumours: each is told a bounded number of times, newest first.

/// Copies of a rumour that a node sends for each doubling of the fleet.
const COPIES_PER_DOUBLING: u32 = 3;

/// A rumour that waits to be told.
#[derive(Clone, Debug)]
struct RumourEntry<K, T> {
    key: K,
    rumour: T,
    told: u32,
}

/// Rumours by what they are about; a newer one replaces an older one.
#[derive(Clone, Debug)]
pub struct RumourQueue<K, T> {
    entries: Vec<RumourEntry<K, T>>,
}

impl<K, T> Default for RumourQueue<K, T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord + Clone, T: Clone> RumourQueue<K, T> {
    /// Puts a rumour in place of an older one about the same subject.
    pub fn put(&mut self, key: K, rumour: T) {
        let entry = RumourEntry {
            key,
            rumour,
            told: 0,
        };
        let found = self
            .entries
            .binary_search_by(|held| held.key.cmp(&entry.key));
        match found {
            Ok(place) => self.entries[place] = entry,
            Err(place) => self.entries.insert(place, entry),
        }
    }

    /// Takes up to `limit` rumours for one message, least told first.
    ///
    /// A rumour that was told `copies` times is forgotten.
    pub fn take(&mut self, limit: usize, copies: u32) -> Vec<T> {
        let mut places: Vec<_> = (0..self.entries.len()).collect();
        places.sort_by_key(|place| self.entries[*place].told);
        places.truncate(limit);
        let taken = places
            .into_iter()
            .map(|place| {
                self.entries[place].told += 1;
                self.entries[place].rumour.clone()
            })
            .collect();
        self.entries.retain(|held| held.told < copies);
        taken
    }

    /// Returns the number of rumours that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no rumour waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns how often each of `nodes` nodes tells a rumour so that all hear it.
pub fn copies_for(nodes: usize) -> u32 {
    COPIES_PER_DOUBLING * (usize::BITS - nodes.leading_zeros()).max(1)
}
