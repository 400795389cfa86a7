//! One account of the memory that callers make a process hold: heads and bodies of
//! requests, and answers that are not read.
//!
//! A body takes from the account as it arrives. Where the account is used up, bodies
//! that are still incomplete give way: those of the address that holds most first, of
//! these those of its organisation that holds most, and of these slow ones before
//! others. A reserve that only small requests may use keeps these served while large
//! bodies hold the rest.

use std::net;
use std::sync;
use std::time as std_time;

use tokio::{task, time};

use crate::id;

/// Share of the memory of a host for the account, in percent. The same bytes can
/// occupy twice as much while a buffer grows.
const ACCOUNT_PERCENT: usize = 25;

/// Share of the memory of a host for connections, in percent. The rest is for the
/// state of the node.
const CONNECTION_PERCENT: usize = 40;

/// Memory of one connection in bytes: buffers for a head and for the head of an
/// answer, and its task.
const CONNECTION_BYTES: usize = 24 << 10;

/// Share of the account that only small requests may use, in percent.
const RESERVE_PERCENT: usize = 25;

/// Size up to which a request is small, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// Age from which a body is judged by its pace, and time without progress after which
/// it is slow whatever its pace was.
const PACE_TIME: std_time::Duration = std_time::Duration::from_secs(1);

/// Pace below which a body is slow, in bytes a second.
const MIN_PACE_BYTES: u128 = 16 << 10;

/// Time for which an answer may wait for its caller while others need the memory.
const ANSWER_TIME: std_time::Duration = std_time::Duration::from_secs(2);

/// Time for which a request waits for the memory of those that give way to it.
const RELEASE_TIME: std_time::Duration = std_time::Duration::from_secs(1);

/// Large bodies that are received at a time. Others wait, so that a crowd of them
/// does not keep the processor from small requests.
const LARGE_TURNS: usize = 1;

/// Time for which a turn is held while other large bodies wait for theirs. It leaves the
/// processor to small requests.
const TURN_TIME: std_time::Duration = std_time::Duration::from_millis(1);

/// Number of an entry of the account.
pub type HoldId = u64;

/// Sizes of an account in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Size of the account.
    pub total: usize,
    /// Part of it that only small requests may use.
    pub reserve: usize,
    /// Size up to which a request is small.
    pub small: usize,
}

impl AccountLimits {
    /// Returns the limits for a process that may use `memory_mb` MB.
    pub fn of_host(memory_mb: usize) -> Self {
        let total = percent(memory_mb << 20, ACCOUNT_PERCENT);
        Self {
            total,
            reserve: percent(total, RESERVE_PERCENT),
            small: SMALL_BYTES,
        }
    }
}

/// Returns how many connections of callers fit into a process that may use
/// `memory_mb` MB.
pub fn caller_connections(memory_mb: usize) -> usize {
    percent(memory_mb << 20, CONNECTION_PERCENT) / CONNECTION_BYTES
}

fn percent(bytes: usize, percent: usize) -> usize {
    bytes / 100 * percent
}

/// On whose behalf memory is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldOwner {
    /// Address of the caller.
    pub address: net::IpAddr,
    /// Organisation of the caller, if its key names one.
    pub organisation: Option<id::OrganisationName>,
}

/// State of what an entry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldKind {
    /// A request that is still being received and may give way.
    Incoming,
    /// A complete request, which never gives way.
    Complete,
    /// An answer that is being sent; it gives way if its caller does not read it.
    Answer,
}

/// Result of asking for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowVerdict {
    /// The bytes are granted.
    Granted,
    /// Entries are giving way to this one; ask again once their memory is free.
    Yielding,
    /// The request that asks gives way itself.
    Refused,
}

#[derive(Debug)]
struct HoldEntry {
    id: HoldId,
    owner: HoldOwner,
    kind: HoldKind,
    bytes: usize,
    began: time::Instant,
    progressed: time::Instant,
    /// Whether it was told to give way.
    is_yielding: bool,
    signal: sync::Arc<tokio::sync::Notify>,
}

impl HoldEntry {
    fn may_yield(&self, now: time::Instant) -> bool {
        !self.is_yielding
            && match self.kind {
                HoldKind::Incoming => true,
                HoldKind::Complete => false,
                HoldKind::Answer => now - self.began >= ANSWER_TIME,
            }
    }

    fn is_slow(&self, now: time::Instant) -> bool {
        let age = now - self.began;
        let pace = self.bytes as u128 * 1_000 / age.as_millis().max(1);
        now - self.progressed >= PACE_TIME || age >= PACE_TIME && pace < MIN_PACE_BYTES
    }
}

/// Entries of an account and the decision which of them give way.
#[derive(Debug)]
pub struct AccountState {
    limits: AccountLimits,
    used: usize,
    /// Bytes of the entries that were told to give way.
    yielding: usize,
    next: HoldId,
    /// Sorted by id.
    entries: Vec<HoldEntry>,
    /// Bytes of each address, sorted by address.
    addresses: Vec<(net::IpAddr, usize)>,
}

impl AccountState {
    /// Creates an empty account.
    pub fn new(limits: AccountLimits) -> Self {
        Self {
            limits,
            used: 0,
            yielding: 0,
            next: 0,
            entries: Vec::new(),
            addresses: Vec::new(),
        }
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds an empty entry; `signal` tells it to give way.
    pub fn add(
        &mut self,
        owner: HoldOwner,
        kind: HoldKind,
        signal: sync::Arc<tokio::sync::Notify>,
        now: time::Instant,
    ) -> HoldId {
        let id = self.next;
        self.next += 1;
        self.entries.push(HoldEntry {
            id,
            owner,
            kind,
            bytes: 0,
            began: now,
            progressed: now,
            is_yielding: false,
            signal,
        });
        id
    }

    /// Adds bytes to an entry if there is room, or tells others to give way to it.
    pub fn grow(&mut self, id: HoldId, extra: usize, now: time::Instant) -> GrowVerdict {
        let Some(index) = self.index(id) else {
            return GrowVerdict::Refused;
        };
        if self.entries[index].is_yielding {
            return GrowVerdict::Refused;
        }
        let bytes = self.entries[index].bytes + extra;
        let room = match bytes <= self.limits.small {
            true => self.limits.total,
            false => self.limits.total - self.limits.reserve,
        };
        if bytes > room {
            return GrowVerdict::Refused;
        }
        if self.used + extra <= room {
            self.charge(index, extra);
            self.entries[index].progressed = now;
            return GrowVerdict::Granted;
        }
        while self.used + extra > room + self.yielding {
            match self.choose_yielding(index, bytes, now) {
                Some(victim) if victim != index => self.tell(victim),
                _ => return GrowVerdict::Refused,
            }
        }
        GrowVerdict::Yielding
    }

    /// Adds bytes to an entry whether or not there is room.
    pub fn force(&mut self, id: HoldId, extra: usize) {
        if let Some(index) = self.index(id) {
            self.charge(index, extra);
        }
    }

    /// Notes that the request of an entry progresses.
    pub fn progress(&mut self, id: HoldId, now: time::Instant) {
        if let Some(index) = self.index(id) {
            self.entries[index].progressed = now;
        }
    }

    /// Notes that the request of an entry is complete.
    pub fn complete(&mut self, id: HoldId) {
        if let Some(index) = self.index(id) {
            self.entries[index].kind = HoldKind::Complete;
        }
    }

    /// Removes an entry and gives its bytes back.
    pub fn remove(&mut self, id: HoldId) {
        let Some(index) = self.index(id) else { return };
        let entry = self.entries.remove(index);
        self.used -= entry.bytes;
        if entry.is_yielding {
            self.yielding -= entry.bytes;
        }
        let address = entry.owner.address;
        if let Ok(place) = self.place(address) {
            self.addresses[place].1 -= entry.bytes;
            if self.addresses[place].1 == 0 {
                self.addresses.remove(place);
            }
        }
    }

    fn index(&self, id: HoldId) -> Option<usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.id)
            .ok()
    }

    fn place(&self, address: net::IpAddr) -> Result<usize, usize> {
        self.addresses
            .binary_search_by_key(&address, |(address, _)| *address)
    }

    fn charge(&mut self, index: usize, extra: usize) {
        let entry = &mut self.entries[index];
        entry.bytes += extra;
        self.used += extra;
        if entry.is_yielding {
            self.yielding += extra;
        }
        let address = entry.owner.address;
        match self.place(address) {
            Ok(place) => self.addresses[place].1 += extra,
            Err(place) => self.addresses.insert(place, (address, extra)),
        }
    }

    fn tell(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.is_yielding = true;
        self.yielding += entry.bytes;
        entry.signal.notify_one();
    }

    /// Returns which entry gives way; the one at `asking` counts with `bytes`.
    fn choose_yielding(&self, asking: usize, bytes: usize, now: time::Instant) -> Option<usize> {
        let held = |index: usize| match index == asking {
            true => bytes,
            false => self.entries[index].bytes,
        };
        let candidates = |index: &usize| self.entries[*index].may_yield(now);
        let address_bytes = |index: usize| {
            let place = self.place(self.entries[index].owner.address);
            place.map_or(0, |place| self.addresses[place].1)
        };
        let candidates = (0..self.entries.len()).filter(candidates);
        // What a request asks for does not make its address the largest.
        let largest = candidates.clone().map(address_bytes).max()?;
        let candidates = candidates.filter(|index| address_bytes(*index) == largest);
        let mut organisations: Vec<(Option<&str>, usize)> = Vec::new();
        for index in candidates.clone() {
            let name = self.entries[index].owner.organisation.as_deref();
            match organisations.binary_search_by_key(&name, |(name, _)| *name) {
                Ok(place) => organisations[place].1 += held(index),
                Err(place) => organisations.insert(place, (name, held(index))),
            }
        }
        let organisation = organisations.iter().max_by_key(|(_, bytes)| *bytes)?.0;
        candidates
            .filter(|index| self.entries[*index].owner.organisation.as_deref() == organisation)
            .max_by_key(|index| (self.entries[*index].is_slow(now), held(*index)))
    }
}

/// The account of a process.
#[derive(Debug)]
pub struct MemoryAccount {
    limits: AccountLimits,
    state: sync::Mutex<AccountState>,
    released: tokio::sync::Notify,
    turns: tokio::sync::Semaphore,
}

/// Refusal of memory to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryRefusal;

/// Memory that is held for a caller; dropping it gives the memory back.
#[derive(Debug)]
pub struct MemoryHold {
    account: sync::Arc<MemoryAccount>,
    id: HoldId,
    signal: sync::Arc<tokio::sync::Notify>,
}

impl MemoryAccount {
    /// Creates an empty account.
    pub fn new(limits: AccountLimits) -> Self {
        Self {
            limits,
            state: sync::Mutex::new(AccountState::new(limits)),
            released: tokio::sync::Notify::new(),
            turns: tokio::sync::Semaphore::new(LARGE_TURNS),
        }
    }

    /// Returns the largest request that the account can hold, in bytes.
    pub fn largest(&self) -> usize {
        self.limits.total - self.limits.reserve
    }

    /// Waits for the turn of a large body to receive its next part, and lets other
    /// tasks run meanwhile.
    pub async fn take_turn(&self) {
        if let Ok(_turn) = self.turns.try_acquire() {
            task::yield_now().await;
            return;
        }
        // The semaphore is never closed.
        let _turn = self.turns.acquire().await;
        time::sleep(TURN_TIME).await;
    }

    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.lock().used()
    }

    /// Opens an entry that holds nothing yet; `signal` tells it to give way.
    pub fn open(
        self: &sync::Arc<Self>,
        owner: HoldOwner,
        kind: HoldKind,
        signal: sync::Arc<tokio::sync::Notify>,
    ) -> MemoryHold {
        let entry_signal = sync::Arc::clone(&signal);
        let id = self
            .lock()
            .add(owner, kind, entry_signal, time::Instant::now());
        MemoryHold {
            account: sync::Arc::clone(self),
            id,
            signal,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, AccountState> {
        let state = self.state.lock();
        state.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl MemoryHold {
    /// Takes further bytes, and waits shortly for those that give way.
    ///
    /// # Errors
    ///
    /// [`MemoryRefusal`] if this request has to give way itself.
    pub async fn grow(&self, extra: usize) -> Result<(), MemoryRefusal> {
        let deadline = time::Instant::now() + RELEASE_TIME;
        loop {
            let released = self.account.released.notified();
            let now = time::Instant::now();
            match self.account.lock().grow(self.id, extra, now) {
                GrowVerdict::Granted => return Ok(()),
                GrowVerdict::Refused => return Err(MemoryRefusal),
                GrowVerdict::Yielding => {}
            }
            let waited = time::timeout_at(deadline, released).await;
            waited.map_err(|_| MemoryRefusal)?;
        }
    }

    /// Takes further bytes whether or not there is room.
    pub fn force(&self, extra: usize) {
        self.account.lock().force(self.id, extra);
    }

    /// Notes that the request progresses.
    pub fn progress(&self) {
        self.account.lock().progress(self.id, time::Instant::now());
    }

    /// Notes that the request is complete and no longer gives way.
    pub fn complete(&self) {
        self.account.lock().complete(self.id);
    }

    /// Waits until the holder is told to give way.
    pub async fn yielding(&self) {
        self.signal.notified().await;
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.account.lock().remove(self.id);
        self.account.released.notify_waiters();
    }
}
