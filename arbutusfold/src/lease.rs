//! A lease in the table service, without I/O.
//!
//! The holder renews its row; others watch the row's version and take the
//! lease over once it stood still for a whole period on their own clock. No
//! clocks are compared. The fencing number grows in the transaction that
//! changes the holder.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;

/// Table of the leases.
pub const LEASE_TABLE: &str = "leases";

/// Time after which a lease that was not renewed may be taken over.
pub const LEASE_PERIOD: std_time::Duration = std_time::Duration::from_secs(3);

/// Part of the period, at its end, in which the holder does not act any more.
pub const LEASE_MARGIN: std_time::Duration = std_time::Duration::from_millis(600);

/// Time between two looks at the lease.
pub const LEASE_BEAT: std_time::Duration = std_time::Duration::from_secs(1);

/// Nodes that stand ready to hold a lease.
const LEASE_CANDIDATES: usize = 3;

/// Writes without an answer whose times are kept.
const SENT_LIMIT: usize = 8;

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Host that holds the lease.
    pub holder: id::HostName,
    /// Incarnation of the holder's process.
    pub incarnation: id::IncarnationNumber,
    /// Number that grows with each change of the holder.
    pub fencing: id::FencingNumber,
    /// Number that the holder draws anew for each write.
    pub beat: u64,
}

/// A row with the version at which it was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenLease {
    /// Version in the table.
    pub version: u64,
    /// Content.
    pub row: LeaseRow,
}

/// What the table service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The row was read.
    Seen(Option<SeenLease>),
    /// The row was not read.
    Unseen,
    /// The write took effect.
    Committed,
    /// The write did not take effect.
    Refused,
    /// The write may have taken effect or may yet do so.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Write the row if it is at the version, 0 for absent.
    Commit {
        /// Expected version.
        version: u64,
        /// Content.
        row: LeaseRow,
    },
    /// Nothing until the next beat, which begins with a read.
    Rest,
}

/// A lease in this node's hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number of orders under the lease.
    pub fencing: id::FencingNumber,
    /// When this node first knew that it holds the lease.
    pub since: time::Instant,
    /// Time from which this node must not act any more.
    pub until: time::Instant,
}

/// A write that was sent.
#[derive(Clone, Copy, Debug)]
struct SentBeat {
    beat: u64,
    sent: time::Instant,
}

/// A version of another holder's row and when it was first seen.
#[derive(Clone, Copy, Debug)]
struct WatchedRow {
    version: u64,
    since: time::Instant,
}

/// Takes, renews and loses one lease.
#[derive(Clone, Debug)]
pub struct LeaseMachine {
    host: id::HostName,
    incarnation: id::IncarnationNumber,
    next_beat: u64,
    sent: Vec<SentBeat>,
    written: Option<LeaseRow>,
    watched: Option<WatchedRow>,
    held: Option<HeldLease>,
}

impl LeaseMachine {
    /// Creates the machine of a node that holds nothing.
    pub fn new(host: id::HostName, incarnation: id::IncarnationNumber) -> Self {
        Self {
            host,
            incarnation,
            next_beat: 1,
            sent: Vec::new(),
            written: None,
            watched: None,
            held: None,
        }
    }

    /// Returns the lease if this node may act under it at `now`.
    pub fn held(&self, now: time::Instant) -> Option<HeldLease> {
        self.held.filter(|held| now < held.until)
    }

    /// Takes what the service answered and returns what to do next.
    pub fn next(&mut self, event: LeaseEvent, now: time::Instant) -> LeaseAction {
        match event {
            LeaseEvent::Seen(None) => self.write(0, 1, now),
            LeaseEvent::Seen(Some(seen)) => self.judge(seen, now),
            LeaseEvent::Committed => {
                if let Some(row) = self.written.take() {
                    self.extend(&row, now);
                }
                LeaseAction::Rest
            }
            LeaseEvent::Refused | LeaseEvent::Unknown | LeaseEvent::Unseen => LeaseAction::Rest,
        }
    }

    fn judge(&mut self, seen: SeenLease, now: time::Instant) -> LeaseAction {
        let own = seen.row.holder == self.host && seen.row.incarnation == self.incarnation;
        if own {
            self.watched = None;
            self.extend(&seen.row, now);
            return self.write(seen.version, seen.row.fencing, now);
        }
        self.held = None;
        let watched = match self.watched {
            Some(watched) if watched.version == seen.version => watched,
            _ => WatchedRow {
                version: seen.version,
                since: now,
            },
        };
        self.watched = Some(watched);
        if now.duration_since(watched.since) < LEASE_PERIOD {
            return LeaseAction::Rest;
        }
        self.write(seen.version, seen.row.fencing + 1, now)
    }

    /// Notes that `row` of this node is in force since it was sent.
    fn extend(&mut self, row: &LeaseRow, now: time::Instant) {
        let Some(sent) = self.sent.iter().find(|sent| sent.beat == row.beat).copied() else {
            return;
        };
        // The period counts from before the write: others count from after it.
        let until = sent.sent + LEASE_PERIOD - LEASE_MARGIN;
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
        self.sent.push(SentBeat {
            beat: self.next_beat,
            sent: now,
        });
        if self.sent.len() > SENT_LIMIT {
            self.sent.remove(0);
        }
        self.next_beat += 1;
        self.written = Some(row.clone());
        LeaseAction::Commit { version, row }
    }
}

/// Tells whether `host` is among the nodes that stand ready to hold a lease.
///
/// Candidates are chosen by a hash of lease and host, so that a large fleet
/// does not read the row from every node.
pub fn is_candidate(lease: &str, host: &str, alive: &[id::HostName]) -> bool {
    let rank = |host: &str| *blake3::hash(format!("{lease}/{host}").as_bytes()).as_bytes();
    let own = rank(host);
    let before = alive
        .iter()
        .filter(|other| other.as_str() != host && rank(other) < own);
    before.count() < LEASE_CANDIDATES
}
