//! The steps that start or release one attempt, without I/O.

use tokio::time;

use crate::id;
use crate::record;

/// Store calls that failed after which an attempt is settled apart.
const MAX_FAILED_CALLS: u32 = 4;

/// Refused writes after which an absent row is answered with "not run".
const FAILED_CALLS_BEFORE_NOT_RUN: u32 = 2;

/// What the table service answered to the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartEvent {
    /// The write took effect.
    Committed,
    /// The row was not at the expected version; the row if there is one.
    Conflict(Option<record::VersionedRow>),
    /// The write had no effect and will have none.
    Failed(String),
    /// The write may have taken effect or may yet do so.
    Unknown(String),
    /// The row was read.
    Read(Option<record::VersionedRow>),
    /// The row was not read.
    ReadFailed(String),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAction {
    /// Write the state if the row is at the version, 0 for absent.
    Commit {
        /// Expected version.
        version: u64,
        /// State to write.
        state: record::RecordState,
    },
    /// Read the row.
    Read,
    /// The decision is made.
    Decide(record::RecordDecision),
    /// Nothing ran under the key, and this attempt will not run.
    NotRun(String),
    /// No answer for too long: tell the caller so and settle apart.
    GiveUp(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartPhase {
    /// The attempt may still be dispatched.
    Starting,
    /// The attempt will not be dispatched; its row is to be released.
    Releasing,
}

/// Takes one attempt from its receipt to a decision.
#[derive(Clone, Debug)]
pub struct StartMachine {
    row_key: String,
    attempt: id::RequestId,
    digest: String,
    deadline: time::Instant,
    phase: StartPhase,
    /// Version that the last write expects.
    expected: u64,
    /// Whether the last write was a start.
    last_was_start: bool,
    /// Versions expected by start writes that may yet take effect.
    outstanding: Vec<u64>,
    failed_calls: u32,
    reason: String,
}

impl StartMachine {
    /// Begins an attempt that was received at `received`.
    pub fn start(
        row_key: String,
        attempt: id::RequestId,
        digest: String,
        received: time::Instant,
    ) -> (Self, StartAction) {
        let mut machine = Self {
            row_key,
            attempt,
            digest,
            deadline: received + record::DISPATCH_WINDOW,
            phase: StartPhase::Starting,
            expected: 0,
            last_was_start: false,
            outstanding: Vec::new(),
            failed_calls: 0,
            reason: String::new(),
        };
        let action = machine.commit(0);
        (machine, action)
    }

    /// Begins to release an attempt that was not and will not be dispatched.
    pub fn release(permit: &record::DispatchPermit, reason: String) -> (Self, StartAction) {
        let machine = Self {
            row_key: permit.row_key.clone(),
            attempt: permit.attempt.clone(),
            digest: permit.digest.clone(),
            deadline: permit.deadline,
            phase: StartPhase::Releasing,
            expected: 0,
            last_was_start: false,
            outstanding: Vec::new(),
            failed_calls: 0,
            reason,
        };
        (machine, StartAction::Read)
    }

    /// Returns the key of the row.
    pub fn row_key(&self) -> &str {
        &self.row_key
    }

    /// Returns the attempt.
    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Returns the digest of the call.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the time from which the attempt must not be dispatched.
    pub fn deadline(&self) -> time::Instant {
        self.deadline
    }

    /// Tells whether a write of this attempt may leave a row behind.
    pub fn needs_settling(&self) -> bool {
        !self.outstanding.is_empty() || self.phase == StartPhase::Releasing
    }

    /// Gives the attempt up for dispatch and returns how to go on releasing it.
    pub fn settle(&mut self) -> StartAction {
        self.phase = StartPhase::Releasing;
        self.failed_calls = 0;
        StartAction::Read
    }

    /// Takes what the store answered and returns what to do next.
    pub fn next(&mut self, event: StartEvent, now: time::Instant) -> StartAction {
        if now >= self.deadline && self.phase == StartPhase::Starting {
            self.phase = StartPhase::Releasing;
            self.reason = "the record took longer than the call may wait".to_owned();
        }
        let action = self.handle(event);
        // After so long a sleep the row may have been removed.
        let is_stale = now >= self.deadline + record::RETENTION / 2;
        match action {
            StartAction::NotRun(_) if is_stale => {
                StartAction::Decide(record::RecordDecision::Pending)
            }
            action => action,
        }
    }

    fn handle(&mut self, event: StartEvent) -> StartAction {
        match event {
            StartEvent::Committed => self.committed(),
            StartEvent::Conflict(Some(versioned)) | StartEvent::Read(Some(versioned)) => {
                self.row_present(versioned)
            }
            StartEvent::Conflict(None) => self.commit(0),
            StartEvent::Read(None) => self.row_absent(),
            StartEvent::Failed(reason) => self.call_failed(reason),
            StartEvent::Unknown(reason) => {
                if self.last_was_start {
                    self.outstanding.push(self.expected);
                }
                self.call_failed(reason)
            }
            StartEvent::ReadFailed(reason) => self.call_failed(reason),
        }
    }

    fn committed(&mut self) -> StartAction {
        match self.phase {
            StartPhase::Starting => self.permit(),
            // The write that took effect may have been the start.
            StartPhase::Releasing => StartAction::Read,
        }
    }

    fn row_present(&mut self, versioned: record::VersionedRow) -> StartAction {
        if versioned.row.digest != self.digest {
            return StartAction::Decide(record::RecordDecision::Reused);
        }
        let is_own = versioned.row.attempt == self.attempt;
        match (versioned.row.state, self.phase) {
            (record::RecordState::Finished(answer), _) => {
                StartAction::Decide(record::RecordDecision::Replay(answer))
            }
            (record::RecordState::Started, StartPhase::Starting) if is_own => self.permit(),
            (record::RecordState::Started, StartPhase::Releasing) if is_own => {
                self.commit(versioned.version)
            }
            (record::RecordState::Started, _) => {
                StartAction::Decide(record::RecordDecision::Pending)
            }
            (record::RecordState::Released, StartPhase::Starting) => self.commit(versioned.version),
            // A start over this very version may yet arrive.
            (record::RecordState::Released, StartPhase::Releasing)
                if self.outstanding.contains(&versioned.version) =>
            {
                self.commit(versioned.version)
            }
            (record::RecordState::Released, StartPhase::Releasing) => {
                StartAction::NotRun(self.reason.clone())
            }
        }
    }

    fn row_absent(&mut self) -> StartAction {
        match self.phase {
            // The store refuses writes, and none of this attempt is on its way.
            StartPhase::Starting
                if self.outstanding.is_empty()
                    && self.failed_calls >= FAILED_CALLS_BEFORE_NOT_RUN =>
            {
                StartAction::NotRun(self.reason.clone())
            }
            // The same attempt again: whichever write arrives first is its is_own.
            StartPhase::Starting => self.commit(0),
            // An absent row proves nothing while a start may yet arrive.
            StartPhase::Releasing if self.outstanding.contains(&0) => self.commit(0),
            StartPhase::Releasing => StartAction::NotRun(self.reason.clone()),
        }
    }

    fn call_failed(&mut self, reason: String) -> StartAction {
        self.failed_calls += 1;
        self.reason = reason.clone();
        if self.failed_calls >= MAX_FAILED_CALLS {
            return StartAction::GiveUp(reason);
        }
        StartAction::Read
    }

    fn permit(&mut self) -> StartAction {
        StartAction::Decide(record::RecordDecision::Run(record::DispatchPermit {
            row_key: self.row_key.clone(),
            attempt: self.attempt.clone(),
            digest: self.digest.clone(),
            deadline: self.deadline,
        }))
    }

    fn commit(&mut self, version: u64) -> StartAction {
        self.expected = version;
        self.last_was_start = self.phase == StartPhase::Starting;
        let state = match self.phase {
            StartPhase::Starting => record::RecordState::Started,
            StartPhase::Releasing => record::RecordState::Released,
        };
        StartAction::Commit { version, state }
    }
}
