//! A queue of gossip updates; each one is sent a bounded number of times.

/// Number of times a node sends an update, for each doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

/// An update that waits to be sent.
#[derive(Clone, Debug)]
struct QueuedUpdate<K, T> {
    key: K,
    update: T,
    sends: u32,
}

/// Updates to send, sorted by key; a newer update replaces an older one with its key.
#[derive(Clone, Debug)]
pub struct UpdateQueue<K, T> {
    entries: Vec<QueuedUpdate<K, T>>,
}

impl<K, T> Default for UpdateQueue<K, T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<K: Ord + Clone, T: Clone> UpdateQueue<K, T> {
    /// Queues an update and replaces an older one with the same key.
    pub fn put(&mut self, key: K, update: T) {
        let entry = QueuedUpdate {
            key,
            update,
            sends: 0,
        };
        let found = self
            .entries
            .binary_search_by(|queued| queued.key.cmp(&entry.key));
        match found {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Returns up to `limit` updates for one message, those sent least often first.
    ///
    /// An update that was sent `transmit_limit` times is removed from the queue.
    pub fn take(&mut self, limit: usize, transmit_limit: u32) -> Vec<T> {
        let mut indices: Vec<_> = (0..self.entries.len()).collect();
        indices.sort_by_key(|index| self.entries[*index].sends);
        indices.truncate(limit);
        let taken = indices
            .into_iter()
            .map(|index| {
                self.entries[index].sends += 1;
                self.entries[index].update.clone()
            })
            .collect();
        self.entries.retain(|queued| queued.sends < transmit_limit);
        taken
    }

    /// Returns the number of queued updates.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns how often each of `nodes` nodes sends an update so that it reaches all of them.
pub fn transmit_limit(nodes: usize) -> u32 {
    SENDS_PER_DOUBLING * (usize::BITS - nodes.leading_zeros()).max(1)
}
