//! State machine of a lease in the table service, without I/O.
//!
//! The holder renews its row. The other candidates observe the version of the row and
//! take the lease over once the version has not changed for [`LEASE_DURATION`] on
//! their own clock. Clocks of different hosts are never compared. The fencing number
//! increases in the transaction that changes the holder.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;

/// Name of the table that stores leases.
pub const LEASE_TABLE: &str = "leases";

/// Time without a renewal after which a lease may be taken over.
pub const LEASE_DURATION: std_time::Duration = std_time::Duration::from_secs(3);

/// Final part of [`LEASE_DURATION`] in which the holder no longer acts.
pub const LEASE_SAFETY_MARGIN: std_time::Duration = std_time::Duration::from_millis(600);

/// Time between two reads of the lease row; the holder renews at each.
pub const LEASE_POLL_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);

/// Number of candidates for a lease.
const CANDIDATE_COUNT: usize = 3;

/// Maximum number of unanswered writes whose send times are kept.
const SENT_WRITE_LIMIT: usize = 8;

/// Row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Host that holds the lease.
    pub holder: id::HostName,
    /// Incarnation of the holder's process.
    pub incarnation: id::IncarnationNumber,
    /// Number that increases with each change of the holder.
    pub fencing: id::FencingNumber,
    /// Heartbeat counter of the holder, which identifies each write.
    pub beat: u64,
}

/// Row with the version at which it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedLease {
    /// Version of the row in the table.
    pub version: u64,
    /// Content of the row.
    pub row: LeaseRow,
}

/// Result of a read or write of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The row was read; `None` if it does not exist.
    Read(Option<VersionedLease>),
    /// The row could not be read.
    ReadFailed,
    /// The write was committed.
    Committed,
    /// The write was not committed and never will be.
    Refused,
    /// The write may have been committed or may be committed later.
    Unknown,
}

/// Action that the caller performs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write the row if it has the expected version.
    Commit {
        /// Expected version, 0 for a row that does not exist.
        version: u64,
        /// Content to write.
        row: LeaseRow,
    },
    /// Do nothing until the next read of the row.
    Wait,
}

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number for orders that are sent under the lease.
    pub fencing: id::FencingNumber,
    /// Time at which this node learned that it holds the lease.
    pub since: time::Instant,
    /// Time from which this node must no longer act under the lease.
    pub until: time::Instant,
}

/// Heartbeat counter and send time of a write.
#[derive(Clone, Copy, Debug)]
struct SentWrite {
    beat: u64,
    sent: time::Instant,
}

/// Version of a row of another holder and the time at which it was first read.
#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    version: u64,
    since: time::Instant,
}

/// State machine that acquires, renews and loses one lease.
#[derive(Clone, Debug)]
pub struct LeaseMachine {
    host: id::HostName,
    incarnation: id::IncarnationNumber,
    next_beat: u64,
    sent: Vec<SentWrite>,
    written: Option<LeaseRow>,
    observed: Option<ObservedRow>,
    held: Option<HeldLease>,
}

impl LeaseMachine {
    /// Creates the state machine of a node that does not hold the lease.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber) -> Self {
        Self {
            host,
            incarnation,
            next_beat: 1,
            sent: Vec::new(),
            written: None,
            observed: None,
            held: None,
        }
    }

    /// Returns the lease if this node may act under it at `now`.
    pub fn held(&self, now: time::Instant) -> Option<HeldLease> {
        self.held.filter(|held| now < held.until)
    }

    /// Handles the result of a read or write and returns the next action.
    pub fn next(&mut self, event: LeaseEvent, now: time::Instant) -> LeaseAction {
        match event {
            LeaseEvent::Read(None) => self.write(0, 1, now),
            LeaseEvent::Read(Some(lease)) => self.evaluate_row(lease, now),
            LeaseEvent::Committed => {
                if let Some(row) = self.written.take() {
                    self.extend(&row, now);
                }
                LeaseAction::Wait
            }
            LeaseEvent::Refused | LeaseEvent::Unknown | LeaseEvent::ReadFailed => LeaseAction::Wait,
        }
    }

    fn evaluate_row(&mut self, lease: VersionedLease, now: time::Instant) -> LeaseAction {
        let own = lease.row.holder == self.host && lease.row.incarnation == self.incarnation;
        if own {
            self.observed = None;
            self.extend(&lease.row, now);
            return self.write(lease.version, lease.row.fencing, now);
        }
        self.held = None;
        let observed = match self.observed {
            Some(observed) if observed.version == lease.version => observed,
            _ => ObservedRow {
                version: lease.version,
                since: now,
            },
        };
        self.observed = Some(observed);
        if now.duration_since(observed.since) < LEASE_DURATION {
            return LeaseAction::Wait;
        }
        self.write(lease.version, lease.row.fencing + 1, now)
    }

    /// Extends the lease by a committed `row` of this node, counted from the time at
    /// which it was sent.
    fn extend(&mut self, row: &LeaseRow, now: time::Instant) {
        let Some(sent) = self.sent.iter().find(|sent| sent.beat == row.beat).copied() else {
            return;
        };
        // The holder counts the duration from before the write, the other candidates
        // from after it, so that the holder stops first.
        let until = sent.sent + LEASE_DURATION - LEASE_SAFETY_MARGIN;
        let since = match self.held {
            Some(held) if held.fencing == row.fencing => held.since,
            _ => now,
        };
        self.held = Some(HeldLease {
            fencing: row.fencing,
            since,
            until,
        });
        self.sent.retain(|other| other.beat >= row.beat);
    }

    fn write(
        &mut self,
        version: u64,
        fencing: id::FencingNumber,
        now: time::Instant,
    ) -> LeaseAction {
        let row = LeaseRow {
            holder: self.host.clone(),
            incarnation: self.incarnation,
            fencing,
            beat: self.next_beat,
        };
        self.sent.push(SentWrite {
            beat: self.next_beat,
            sent: now,
        });
        if self.sent.len() > SENT_WRITE_LIMIT {
            self.sent.remove(0);
        }
        self.next_beat += 1;
        self.written = Some(row.clone());
        LeaseAction::Commit { version, row }
    }
}

/// Returns whether `host` is a candidate for a lease.
///
/// Candidates are chosen by a hash of lease and host, so that not every node of a
/// large fleet reads the row.
pub fn is_candidate(lease: &str, host: &str, alive: &[id::HostName]) -> bool {
    let rank = |host: &str| *blake3::hash(format!("{lease}/{host}").as_bytes()).as_bytes();
    let own = rank(host);
    let ranked_before = alive
        .iter()
        .filter(|other| other.as_str() != host && rank(other) < own);
    ranked_before.count() < CANDIDATE_COUNT
}
