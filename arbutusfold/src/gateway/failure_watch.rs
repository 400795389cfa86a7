//! Decides which runners of a failure domain count as failed for all nodes.
//!
//! With many small nodes, each one would find every dead runner by its own failed
//! requests. Here the leader of the domain verifies what one node saw, by a
//! connection of its own, and tells all nodes. It withdraws a failure at the first
//! connection that opens.

use std::time as std_time;

use tokio::time;

use crate::gateway::demand;
use crate::gateway::leader;
use crate::id;

/// Time between two probes of a runner. A runner that is back is used again after
/// this time at most, and the probes cost it little.
pub const PROBE_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);

/// Time for which a suspicion and an answer of a runner are remembered: nodes repeat
/// for a second what they saw before.
const MEMORY_TIME: std_time::Duration = std_time::Duration::from_secs(2);

/// Probes without an answer in a row that show a failure. The first one may have been
/// delayed by load.
const SILENT_PROBES: u32 = 2;

/// Runners of the domain for each one that may fail at a time. If more fail for one
/// leader, it is likely cut off itself.
const RUNNERS_PER_FAILURE: usize = 3;

/// A process of a runner: its key and its start.
pub type RunnerProcess = (leader::RunnerKey, id::IncarnationNumber);

/// What a probe of a runner showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// A connection was opened.
    Open,
    /// The connection was refused, also for a node that reaches other runners.
    Refused,
    /// There was no answer, also for a node that reaches other runners.
    Silent,
    /// The prober reaches no other runner either.
    Unknown,
}

/// What is known of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureStage {
    /// A node saw it fail, no probe has shown it yet.
    Suspected,
    /// Probes showed that it failed.
    Failed,
    /// The latest probe was answered.
    Answered,
}

/// A changed stage, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The runner.
    pub runner: leader::RunnerKey,
    /// Stage before.
    pub from: FailureStage,
    /// Stage now, or `None` if the entry of the runner is gone or names another
    /// process.
    pub to: Option<FailureStage>,
    /// Time since a node or a probe last saw it fail.
    pub age: std_time::Duration,
}

#[derive(Clone, Debug)]
struct FailureCase {
    process: RunnerProcess,
    stage: FailureStage,
    /// When a node or a probe last saw it fail.
    seen_at: time::Instant,
    /// When the latest probe was answered.
    answered_at: Option<time::Instant>,
    /// Probes without an answer since the latest one with an answer.
    silent: u32,
    probe_at: time::Instant,
}

impl FailureCase {
    fn new(failed: &demand::FailedRunner, stage: FailureStage, now: time::Instant) -> Self {
        let age = std_time::Duration::from_millis(failed.age_ms.into());
        Self {
            process: (failed.runner, failed.incarnation),
            stage,
            // A clock that started lately cannot go back so far.
            seen_at: now.checked_sub(age).unwrap_or(now),
            answered_at: None,
            silent: 0,
            probe_at: now,
        }
    }

    fn change(&self, to: Option<FailureStage>, now: time::Instant) -> StageChange {
        StageChange {
            runner: self.process.0,
            from: self.stage,
            to,
            age: now.saturating_duration_since(self.seen_at),
        }
    }

    fn is_probed(&self) -> bool {
        self.stage != FailureStage::Answered
    }

    /// Returns whether a probe failed and none was answered since.
    fn is_failing(&self) -> bool {
        self.stage == FailureStage::Failed || self.silent > 0
    }
}

/// Runners of one failure domain that may have failed, as its leader knows them.
#[derive(Clone, Debug, Default)]
pub struct FailureWatch {
    /// Sorted by runner.
    cases: Vec<FailureCase>,
    /// Whether the failures are withheld from other nodes.
    is_withheld: bool,
}

impl FailureWatch {
    /// Records that a node saw a process fail `failed.age_ms` ago; returns whether it
    /// is to be probed now.
    pub fn suspect(&mut self, failed: &demand::FailedRunner, now: time::Instant) -> bool {
        let fresh = FailureCase::new(failed, FailureStage::Suspected, now);
        let (process, seen_at) = (fresh.process, fresh.seen_at);
        let index = match self.search(failed.runner) {
            Ok(index) => index,
            Err(index) => {
                self.cases.insert(index, fresh);
                return true;
            }
        };
        let case = &mut self.cases[index];
        if case.process != process {
            *case = fresh;
            return true;
        }
        case.seen_at = case.seen_at.max(seen_at);
        // What was seen before the answer is explained by it.
        let is_news = case.answered_at.is_none_or(|at| seen_at > at);
        if case.stage == FailureStage::Answered && is_news {
            case.stage = FailureStage::Suspected;
            return case.probe_at <= now;
        }
        false
    }

    /// Takes over a failure that the leader before told, until a probe shows more;
    /// returns whether it is new.
    pub fn inherit(&mut self, failed: &demand::FailedRunner, now: time::Instant) -> bool {
        let place = self.search(failed.runner);
        if let Err(index) = place {
            let case = FailureCase::new(failed, FailureStage::Failed, now);
            self.cases.insert(index, case);
        }
        place.is_err()
    }

    /// Drops the processes that no entry of the domain names; `processes` is sorted.
    /// Returns the failures that end with that.
    pub fn retain(&mut self, processes: &[RunnerProcess], now: time::Instant) -> Vec<StageChange> {
        let mut changes = Vec::new();
        self.cases.retain(|case| {
            let is_old = |at| now.saturating_duration_since(at) > MEMORY_TIME;
            let is_forgotten = match case.stage {
                FailureStage::Suspected => is_old(case.seen_at),
                FailureStage::Failed => false,
                FailureStage::Answered => case.answered_at.is_none_or(is_old),
            };
            let is_listed = processes.binary_search(&case.process).is_ok();
            if !is_listed && case.is_probed() {
                changes.push(case.change(None, now));
            }
            is_listed && !is_forgotten
        });
        changes
    }

    /// Returns the processes to probe now. Each one is due again after a period.
    pub fn take_due(&mut self, now: time::Instant) -> Vec<RunnerProcess> {
        let due = self
            .cases
            .iter_mut()
            .filter(|case| case.is_probed() && case.probe_at <= now);
        due.map(|case| {
            case.probe_at = now + PROBE_PERIOD;
            case.process
        })
        .collect()
    }

    /// Returns when the next probe is due, or `None` without any.
    pub fn next_probe(&self) -> Option<time::Instant> {
        let probed = self.cases.iter().filter(|case| case.is_probed());
        probed.map(|case| case.probe_at).min()
    }

    /// Records the outcome of a probe; returns the change of the stage, if any.
    pub fn note_probe(
        &mut self,
        process: RunnerProcess,
        outcome: ProbeOutcome,
        now: time::Instant,
    ) -> Option<StageChange> {
        let index = self.search(process.0).ok()?;
        let case = &mut self.cases[index];
        if case.process != process {
            return None;
        }
        let stage = match outcome {
            ProbeOutcome::Open => {
                case.answered_at = Some(now);
                case.silent = 0;
                FailureStage::Answered
            }
            ProbeOutcome::Unknown => {
                case.silent = 0;
                case.stage
            }
            ProbeOutcome::Refused => {
                case.seen_at = now;
                FailureStage::Failed
            }
            ProbeOutcome::Silent => {
                case.seen_at = now;
                case.silent += 1;
                match case.silent >= SILENT_PROBES {
                    true => FailureStage::Failed,
                    false => {
                        case.probe_at = now;
                        case.stage
                    }
                }
            }
        };
        let change = case.change(Some(stage), now);
        case.stage = stage;
        (change.from != stage).then_some(change)
    }

    /// Withholds all failures if so many of the domain's runners fail for this leader
    /// that it is likely cut off itself; `runners` is their number. Returns the number
    /// of failing runners if that begins or ends.
    pub fn note_withheld(&mut self, runners: usize) -> Option<usize> {
        let failing = self.cases.iter().filter(|case| case.is_failing()).count();
        let is_withheld = failing * RUNNERS_PER_FAILURE > runners;
        let was_withheld = std::mem::replace(&mut self.is_withheld, is_withheld);
        (was_withheld != is_withheld).then_some(failing)
    }

    /// Returns the failures to tell all nodes, sorted by runner.
    pub fn published(&self, now: time::Instant) -> Vec<demand::FailedRunner> {
        if self.is_withheld {
            return Vec::new();
        }
        let failed = self.cases.iter();
        let failed = failed.filter(|case| case.stage == FailureStage::Failed);
        failed
            .map(|case| {
                let (runner, incarnation) = case.process;
                let age = now.saturating_duration_since(case.seen_at);
                demand::FailedRunner {
                    runner,
                    incarnation,
                    age_ms: demand::milliseconds(age),
                }
            })
            .collect()
    }

    /// Forgets all, once this node no longer leads its domain.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn search(&self, runner: leader::RunnerKey) -> Result<usize, usize> {
        self.cases
            .binary_search_by_key(&runner, |case| case.process.0)
    }
}
