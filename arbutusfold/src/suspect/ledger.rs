//! Record of the upstreams that died under each request, as one node knows it.
//!
//! Nodes exchange their records, so a request and its resends are judged by the
//! deaths at all nodes. An upstream that dies under many requests is recorded
//! for each of them, but a request that crashes upstreams is never answered,
//! and an answer clears the record of any other.
//!
//! Parts of prompts are recorded like requests: a part that crashes upstreams is
//! in no request whose answer begins. Most requests share some parts, so that a
//! single death is recorded for many of them; see [`PART_CRASH_CHAIN`].

use std::time as std_time;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tokio::time;

use crate::suspect;

/// Crashes after which a request runs only as a trial, one run at a time in the
/// fleet.
pub const CRASH_LIMIT: usize = 3;

/// Crashes under a part of a prompt in runs that began when another one was known,
/// after which requests with it run only as trials. Upstreams that die together
/// for another reason leave at most one of these for each time that they die,
/// and any answer that begins in between clears the part.
const PART_CRASH_CHAIN: usize = 2;

/// Shortest time from the latest crash to the first trial. Upstreams are back by
/// then: a trial in the middle of a mass death would hit one that dies anyway, or
/// crash one of the few that are left. It is up to twice as long, so that requests
/// that became suspicious together are not tried together.
const TRIAL_DELAY: std_time::Duration = std_time::Duration::from_secs(5);

/// Factor by which the delay grows with each further trial. Trials reach
/// upstreams also when the crash is not seen, so their number is bounded.
const TRIAL_BACKOFF: u32 = 8;

/// Crashes from which nodes compare the record of a request, and the store
/// keeps it. Fewer are told once and may be lost with the nodes that know them.
pub const SHARED_CRASHES: usize = 2;

/// Maximum number of requests in the ledger.
const REQUEST_LIMIT: usize = 4_096;

/// Maximum number of crashes recorded for one request.
const RECORD_LIMIT: usize = 16;

/// An upstream that died during a run of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The process that died.
    pub crash: suspect::CrashId,
    /// Whether the run had produced output before.
    pub progressed: bool,
    /// Whether such a death was known when the run began.
    pub repeated: bool,
    /// Whether the run was a trial. Without `repeated`, no upstream is known to
    /// have died, see [`Self::unanswered_trial`].
    pub trial: bool,
}

impl CrashRecord {
    /// Creates the record of a trial that was not answered and after which no
    /// upstream is known to have died; `number` is unique at the host that ran it.
    pub fn unanswered_trial(host: &str, number: u64) -> Self {
        Self {
            crash: suspect::CrashId {
                upstream: host.to_owned(),
                incarnation: number,
            },
            progressed: false,
            repeated: false,
            trial: true,
        }
    }

    /// Returns whether an upstream is known to have died.
    fn is_crash(&self) -> bool {
        !self.trial || self.repeated
    }
}

/// What a node tells others about one request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub fingerprint: suspect::RequestFingerprint,
    /// Number of times that the record was cleared by an answer. The record with
    /// the higher number is newer; those with the same number add up.
    pub cleared: u32,
    /// Crashes since then, sorted by whether the run was a trial and by process.
    pub crashes: Vec<CrashRecord>,
    /// Time since the latest change.
    #[serde_as(as = "serde_with::DurationSeconds<u64>")]
    pub age: std_time::Duration,
}

/// Whether a request may run, the most permissive first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestStanding {
    /// It may run.
    Free,
    /// One run at a time in the fleet may show that the upstreams died of another
    /// cause.
    Trial,
    /// It may not run for this time.
    Quarantined(std_time::Duration),
}

/// Result of a change to the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerChange {
    /// Nothing new.
    None,
    /// An answer has cleared the merged record since; its sender does not know.
    Outdated,
    /// The record changed.
    Recorded,
    /// The record changed and the request now runs only as a trial.
    Quarantined,
}

/// The requests under which upstreams died.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// Sorted by fingerprint.
    requests: Vec<LedgerEntry>,
}

#[derive(Clone, Debug)]
struct LedgerEntry {
    fingerprint: suspect::RequestFingerprint,
    cleared: u32,
    crashes: Vec<CrashRecord>,
    changed_at: time::Instant,
    /// When this node learned of the first of the crashes.
    suspect_since: Option<time::Instant>,
}

impl LedgerEntry {
    fn is_shared(&self) -> bool {
        self.crashes.len() >= SHARED_CRASHES
    }

    fn to_record(&self, now: time::Instant) -> SuspectRecord {
        SuspectRecord {
            fingerprint: self.fingerprint,
            cleared: self.cleared,
            crashes: self.crashes.clone(),
            age: now.saturating_duration_since(self.changed_at),
        }
    }
}

impl CrashLedger {
    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether crashes of a request are recorded.
    pub fn is_suspect(&self, fingerprint: &suspect::RequestFingerprint) -> bool {
        self.find(fingerprint)
            .is_ok_and(|index| !self.requests[index].crashes.is_empty())
    }

    /// Returns whether this node knew of a crash of a request before `at`.
    pub fn was_suspect(
        &self,
        fingerprint: &suspect::RequestFingerprint,
        at: time::Instant,
    ) -> bool {
        let entry = self.find(fingerprint).ok();
        let since = entry.and_then(|index| self.requests[index].suspect_since);
        since.is_some_and(|since| since < at)
    }

    /// Returns whether a request may run.
    ///
    /// `crashes` happened during its runs and are not recorded yet. The first of
    /// them after output do not count: a stream that is lost with its hosts goes on
    /// at once, but a resend of it counts them.
    pub fn standing(
        &self,
        fingerprint: &suspect::RequestFingerprint,
        crashes: &[CrashRecord],
        now: time::Instant,
    ) -> RequestStanding {
        let entry = self.find(fingerprint).ok();
        let entry = entry.map(|index| &self.requests[index]);
        let mut all = entry.map_or_else(Vec::new, |entry| entry.crashes.clone());
        crashes
            .iter()
            .for_each(|record| insert_crash(&mut all, record));
        let progressed = crashes.iter().filter(|record| record.progressed);
        let exempt = progressed
            .count()
            .min(usize::from(suspect::EXEMPTION_LIMIT));
        if !is_suspicious(fingerprint, &all, exempt) {
            return RequestStanding::Free;
        }
        let is_recorded = entry.is_some_and(|entry| entry.crashes == all);
        let changed_at = entry.filter(|_| is_recorded).map(|entry| entry.changed_at);
        let age = now.saturating_duration_since(changed_at.unwrap_or(now));
        let trials = all.iter().filter(|record| record.trial);
        let delay = match trials.clone().any(CrashRecord::is_crash) {
            true => suspect::REVOKED_TTL,
            false => trial_delay(fingerprint, trials.count()),
        };
        match delay.saturating_sub(age) {
            std_time::Duration::ZERO => RequestStanding::Trial,
            left => RequestStanding::Quarantined(left),
        }
    }

    /// Records crashes of a request that ended without an answer.
    pub fn record(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        crashes: &[CrashRecord],
        now: time::Instant,
    ) -> LedgerChange {
        let found = self.find(fingerprint).ok();
        let record = SuspectRecord {
            fingerprint: *fingerprint,
            cleared: found.map_or(0, |index| self.requests[index].cleared),
            crashes: crashes.to_vec(),
            age: std_time::Duration::ZERO,
        };
        self.merge(&record, now)
    }

    /// Clears the record of a request, because it was answered; returns whether
    /// crashes were recorded.
    pub fn clear(&mut self, fingerprint: &suspect::RequestFingerprint, now: time::Instant) -> bool {
        let Ok(index) = self.find(fingerprint) else {
            return false;
        };
        let entry = &mut self.requests[index];
        if entry.crashes.is_empty() {
            return false;
        }
        entry.crashes.clear();
        entry.cleared += 1;
        entry.changed_at = now;
        entry.suspect_since = None;
        true
    }

    /// Merges a record of another node or of the store.
    pub fn merge(&mut self, record: &SuspectRecord, now: time::Instant) -> LedgerChange {
        if record.age >= suspect::REVOKED_TTL || (record.crashes.is_empty() && record.cleared == 0)
        {
            return LedgerChange::None;
        }
        // A clock that started lately cannot go back so far.
        let changed_at = now.checked_sub(record.age).unwrap_or(now);
        let index = match self.find(&record.fingerprint) {
            Ok(index) => index,
            Err(_) => self.insert(&record.fingerprint, changed_at),
        };
        let entry = &mut self.requests[index];
        if record.cleared < entry.cleared {
            return LedgerChange::Outdated;
        }
        let before = entry.clone();
        if record.cleared > entry.cleared {
            entry.cleared = record.cleared;
            entry.crashes.clear();
            entry.suspect_since = None;
        }
        record
            .crashes
            .iter()
            .for_each(|crash| insert_crash(&mut entry.crashes, crash));
        if entry.crashes == before.crashes && entry.cleared == before.cleared {
            return LedgerChange::None;
        }
        entry.changed_at = entry.changed_at.max(changed_at);
        if !entry.crashes.is_empty() {
            entry.suspect_since.get_or_insert(now);
        }
        let is_suspicious = |crashes| is_suspicious(&record.fingerprint, crashes, 0);
        let is_new = !is_suspicious(&before.crashes) || before.cleared < entry.cleared;
        match is_new && is_suspicious(&entry.crashes) {
            true => LedgerChange::Quarantined,
            false => LedgerChange::Recorded,
        }
    }

    /// Returns the record of a request.
    pub fn get(
        &self,
        fingerprint: &suspect::RequestFingerprint,
        now: time::Instant,
    ) -> Option<SuspectRecord> {
        let index = self.find(fingerprint).ok()?;
        Some(self.requests[index].to_record(now))
    }

    /// Returns the records that all nodes should have.
    pub fn shared(&self, now: time::Instant) -> Vec<SuspectRecord> {
        let shared = self.requests.iter().filter(|entry| entry.is_shared());
        shared.map(|entry| entry.to_record(now)).collect()
    }

    /// Returns a digest of the records that all nodes should have.
    pub fn digest(&self) -> u64 {
        let shared = self.requests.iter().filter(|entry| entry.is_shared());
        let mut hasher = blake3::Hasher::new();
        for entry in shared {
            hasher.update(&entry.fingerprint);
            hasher.update(&entry.cleared.to_le_bytes());
            for record in &entry.crashes {
                hasher.update(record.crash.upstream.as_bytes());
                hasher.update(&record.crash.incarnation.to_le_bytes());
                hasher.update(&[
                    u8::from(record.progressed),
                    u8::from(record.repeated),
                    u8::from(record.trial),
                ]);
            }
        }
        let mut digest = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut digest);
        u64::from_le_bytes(digest)
    }

    /// Removes the records that did not change for [`suspect::REVOKED_TTL`].
    pub fn expire(&mut self, now: time::Instant) {
        self.requests
            .retain(|entry| now.saturating_duration_since(entry.changed_at) < suspect::REVOKED_TTL);
    }

    fn find(&self, fingerprint: &suspect::RequestFingerprint) -> Result<usize, usize> {
        self.requests
            .binary_search_by(|entry| entry.fingerprint.cmp(fingerprint))
    }

    /// Inserts an empty entry; if the ledger is full, the one with the fewest
    /// crashes makes room for it, of several the oldest.
    fn insert(
        &mut self,
        fingerprint: &suspect::RequestFingerprint,
        changed_at: time::Instant,
    ) -> usize {
        if self.requests.len() >= REQUEST_LIMIT {
            let entries = self.requests.iter().enumerate();
            let least = entries.min_by_key(|(_, entry)| (entry.crashes.len(), entry.changed_at));
            if let Some(index) = least.map(|(index, _)| index) {
                self.requests.remove(index);
            }
        }
        let index = self.find(fingerprint).unwrap_or_else(|index| index);
        let entry = LedgerEntry {
            fingerprint: *fingerprint,
            cleared: 0,
            crashes: Vec::new(),
            changed_at,
            suspect_since: None,
        };
        self.requests.insert(index, entry);
        index
    }
}

/// Returns the time from the latest change of a record to the next trial: the
/// first delay, lengthened so many times, at most [`suspect::REVOKED_TTL`].
fn trial_delay(fingerprint: &suspect::RequestFingerprint, times: usize) -> std_time::Duration {
    let spread = 1.0 + f64::from(fingerprint[0]) / f64::from(u8::MAX);
    let exponent = u32::try_from(times).unwrap_or(u32::MAX);
    let delay = TRIAL_DELAY.saturating_mul(TRIAL_BACKOFF.saturating_pow(exponent));
    let delay = delay.min(suspect::REVOKED_TTL).mul_f64(spread);
    delay.min(suspect::REVOKED_TTL)
}

/// Returns whether a request with these crashes runs only as a trial; so many of
/// them are `exempt`.
///
/// For a whole request the order of the crashes does not matter: one that is sent
/// to many nodes at once crashes upstreams at all of them before any node knows.
fn is_suspicious(
    fingerprint: &suspect::RequestFingerprint,
    crashes: &[CrashRecord],
    exempt: usize,
) -> bool {
    let chained = crashes.iter().filter(|record| record.repeated).count();
    let is_chained = !suspect::is_part(fingerprint) || chained >= PART_CRASH_CHAIN;
    is_chained && crash_count(crashes) >= CRASH_LIMIT + exempt
}

fn crash_count(crashes: &[CrashRecord]) -> usize {
    crashes.iter().filter(|record| record.is_crash()).count()
}

/// Inserts a crash or merges it with what is known of the same death. Of too many
/// crashes, all nodes keep the same ones, trials first.
fn insert_crash(crashes: &mut Vec<CrashRecord>, record: &CrashRecord) {
    match crashes.iter_mut().find(|known| known.crash == record.crash) {
        Some(known) => {
            known.progressed &= record.progressed;
            known.repeated |= record.repeated;
            known.trial |= record.trial;
        }
        None => crashes.push(record.clone()),
    }
    crashes
        .sort_unstable_by(|one, other| (!one.trial, &one.crash).cmp(&(!other.trial, &other.crash)));
    crashes.truncate(RECORD_LIMIT);
}
