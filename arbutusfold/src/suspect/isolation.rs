//! Runs suspects one at a time or on separate upstreams, so that a harmless
//! suspect does not fail on an upstream that another suspect crashes.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::suspect;

/// Minimum time in the queue before a suspect gets its turn, so that notices of
/// suspects that resumed without a turn arrive first.
const RESUME_NOTICE_DELAY: std_time::Duration = std_time::Duration::from_millis(300);

/// Time after which a waiting suspect that stopped asking leaves the queue.
const WAIT_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);

/// Maximum length of the queue, and maximum number of resumed suspects.
const SUSPECT_LIMIT: usize = 4_096;

/// Request to the node that isolates suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IsolationRequest {
    /// A suspect that had produced tokens resumes on these upstreams without
    /// waiting for a turn.
    Resume {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Upstreams of the run's route.
        upstreams: Vec<id::UpstreamName>,
        /// Maximum duration of the run.
        time_limit: std_time::Duration,
    },
    /// A suspect asks for its turn to run alone; repeated while it waits.
    Turn {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Maximum duration of the run.
        time_limit: std_time::Duration,
    },
    /// The run of a suspect ended.
    End(suspect::RunNumber),
}

/// Reply to a request for a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IsolationReply {
    /// The suspect may run, but not on the upstreams in `avoid`.
    Turn {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Upstreams on which resumed suspects run.
        avoid: Vec<id::UpstreamName>,
    },
    /// The suspect must wait and ask again.
    Wait(suspect::RunNumber),
}

/// The waiting and running suspects of a region.
#[derive(Debug, Default)]
pub struct IsolationQueue {
    turns: Vec<SuspectTurn>,
    resumed: Vec<ResumedSuspect>,
}

/// A suspect that waits for its turn or has it; only the first in the queue
/// can have it.
#[derive(Debug)]
struct SuspectTurn {
    host: id::HostName,
    run: suspect::RunNumber,
    queued_at: time::Instant,
    time_limit: std_time::Duration,
    /// Time of its last request for the turn.
    last_request: time::Instant,
    /// Start of its turn.
    started_at: Option<time::Instant>,
}

#[derive(Debug)]
struct ResumedSuspect {
    host: id::HostName,
    run: suspect::RunNumber,
    upstreams: Vec<id::UpstreamName>,
    expires_at: time::Instant,
}

impl IsolationQueue {
    /// Handles a request of node `from`; returns the reply, if there is one.
    pub fn handle(
        &mut self,
        from: &str,
        request: IsolationRequest,
        now: time::Instant,
    ) -> Option<IsolationReply> {
        self.remove_expired(now);
        match request {
            IsolationRequest::Resume {
                run,
                upstreams,
                time_limit,
            } => {
                self.resume(from, run, upstreams, now + time_limit);
                None
            }
            IsolationRequest::Turn { run, time_limit } => {
                Some(self.request_turn(from, run, time_limit, now))
            }
            IsolationRequest::End(run) => {
                self.end(from, run);
                None
            }
        }
    }

    /// Removes the suspects of a lost node.
    pub fn remove_node(&mut self, host: &str) {
        self.turns.retain(|turn| turn.host != host);
        self.resumed.retain(|resumed| resumed.host != host);
    }

    fn resume(
        &mut self,
        from: &str,
        run: suspect::RunNumber,
        upstreams: Vec<id::UpstreamName>,
        expires_at: time::Instant,
    ) {
        self.end(from, run);
        if self.resumed.len() < SUSPECT_LIMIT {
            self.resumed.push(ResumedSuspect {
                host: from.to_owned(),
                run,
                upstreams,
                expires_at,
            });
        }
    }

    fn request_turn(
        &mut self,
        from: &str,
        run: suspect::RunNumber,
        time_limit: std_time::Duration,
        now: time::Instant,
    ) -> IsolationReply {
        let found = self
            .turns
            .iter()
            .position(|turn| turn.host == from && turn.run == run);
        let index = match found {
            Some(index) => index,
            None if self.turns.len() >= SUSPECT_LIMIT => return IsolationReply::Wait(run),
            None => {
                self.turns.push(SuspectTurn {
                    host: from.to_owned(),
                    run,
                    queued_at: now,
                    time_limit,
                    last_request: now,
                    started_at: None,
                });
                self.turns.len() - 1
            }
        };
        let turn = &mut self.turns[index];
        turn.last_request = now;
        // By then, suspects that resume without a turn have sent their notice.
        if index > 0 || now.duration_since(turn.queued_at) < RESUME_NOTICE_DELAY {
            return IsolationReply::Wait(run);
        }
        turn.started_at.get_or_insert(now);
        IsolationReply::Turn {
            run,
            avoid: self.upstreams_in_use(),
        }
    }

    fn upstreams_in_use(&self) -> Vec<id::UpstreamName> {
        let mut upstreams: Vec<_> = self
            .resumed
            .iter()
            .flat_map(|resumed| resumed.upstreams.iter().cloned())
            .collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams
    }

    fn end(&mut self, from: &str, run: suspect::RunNumber) {
        self.turns
            .retain(|turn| turn.host != from || turn.run != run);
        self.resumed
            .retain(|resumed| resumed.host != from || resumed.run != run);
    }

    fn remove_expired(&mut self, now: time::Instant) {
        self.turns.retain(|turn| match turn.started_at {
            Some(started_at) => now.duration_since(started_at) < turn.time_limit,
            None => now.duration_since(turn.last_request) < WAIT_TIMEOUT,
        });
        self.resumed.retain(|resumed| now < resumed.expires_at);
    }
}
