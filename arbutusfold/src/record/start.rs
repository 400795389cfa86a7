//! State machine that starts or releases one attempt, without I/O.

use tokio::time;

use crate::id;
use crate::record;

/// Number of failed store calls after which the attempt is given up and settled
/// in the background.
const MAX_FAILED_CALLS: u32 = 4;

/// Number of failed store calls after which an absent row means "not run", if no
/// write of the attempt is in flight.
const FAILED_CALLS_BEFORE_NOT_RUN: u32 = 2;

/// Result of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartEvent {
    /// The write took effect.
    Committed,
    /// The row did not have the expected version. Contains the row if there is one.
    Conflict(Option<record::VersionedRow>),
    /// The write had no effect and will have none.
    Failed(String),
    /// The write may have taken effect or may still do so.
    Unknown(String),
    /// The row was read; `None` if it is absent.
    Read(Option<record::VersionedRow>),
    /// The row could not be read.
    ReadFailed(String),
}

/// An operation that [`StartMachine`] requests, or its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartAction {
    /// Write the state if the row has this version, or is absent if the version
    /// is 0.
    Commit {
        /// Expected version.
        version: u64,
        /// State to write.
        state: record::RecordState,
    },
    /// Read the row.
    Read,
    /// The machine is done with this decision.
    Decide(record::RecordDecision),
    /// No attempt with the key ran, and this one will not run.
    NotRun(String),
    /// Too many store calls failed: return an error to the caller and settle the
    /// attempt in the background.
    GiveUp(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartPhase {
    /// The attempt may still be dispatched.
    Starting,
    /// The attempt will not be dispatched, and its row must be released.
    Releasing,
}

/// Drives one attempt from its receipt to a decision.
#[derive(Clone, Debug)]
pub struct StartMachine {
    row_key: String,
    attempt: id::RequestId,
    digest: String,
    deadline: time::Instant,
    phase: StartPhase,
    /// Version that the last write expected.
    expected: u64,
    /// Whether the last write had the state `Started`.
    last_was_start: bool,
    /// Versions expected by start writes that may still take effect.
    outstanding: Vec<u64>,
    failed_calls: u32,
    reason: String,
}

impl StartMachine {
    /// Starts an attempt of a call that was received at `received`.
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

    /// Starts the release of an attempt that was not and will not be dispatched.
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

    /// Returns the id of the attempt.
    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Returns the digest of the call.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the time from which the attempt must no longer be dispatched.
    pub fn deadline(&self) -> time::Instant {
        self.deadline
    }

    /// Returns whether a write of this attempt may leave a row in state `Started`.
    pub fn needs_settling(&self) -> bool {
        !self.outstanding.is_empty() || self.phase == StartPhase::Releasing
    }

    /// Rules out a dispatch and returns the first action of the release.
    pub fn settle(&mut self) -> StartAction {
        self.phase = StartPhase::Releasing;
        self.failed_calls = 0;
        StartAction::Read
    }

    /// Processes the result of the last action and returns the next one.
    pub fn next(&mut self, event: StartEvent, now: time::Instant) -> StartAction {
        if now >= self.deadline && self.phase == StartPhase::Starting {
            self.phase = StartPhase::Releasing;
            self.reason = "the record took longer than the call may wait".to_owned();
        }
        let action = self.handle(event);
        // After a suspension of this length the row may have been removed, so its
        // absence does not prove that nothing ran.
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
            // The committed write may have been the start, so the row is read again.
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
            // A start that expects this version may still arrive.
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
            // The store rejects writes, and no write of this attempt is in flight.
            StartPhase::Starting
                if self.outstanding.is_empty()
                    && self.failed_calls >= FAILED_CALLS_BEFORE_NOT_RUN =>
            {
                StartAction::NotRun(self.reason.clone())
            }
            // Writing the same attempt again is safe: whichever write arrives first
            // belongs to it.
            StartPhase::Starting => self.commit(0),
            // An absent row proves nothing while a start may still arrive.
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
