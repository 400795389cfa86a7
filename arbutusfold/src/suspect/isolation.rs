//! Keeps suspects apart, so that an innocent one is not crashed by another.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::suspect;

/// Time that a turn waits for news of suspects that went on at once.
const RESUME_NOTICE_DELAY: std_time::Duration = std_time::Duration::from_millis(300);

/// Silence after which a waiting suspect loses its place.
const WAIT_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(2);

/// Suspects that are remembered at a time.
const SUSPECT_LIMIT: usize = 4_096;

/// A suspect's call to the node that isolates suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IsolationRequest {
    /// A suspect that had given tokens goes on at once over these upstreams.
    Resume {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Upstreams of its route.
        upstreams: Vec<id::UpstreamName>,
        /// Longest time that the run can last.
        time_limit: std_time::Duration,
    },
    /// A suspect asks for its turn to run alone; the call may be repeated.
    Turn {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Longest time that the run can last.
        time_limit: std_time::Duration,
    },
    /// A suspect's run ended.
    End(suspect::RunNumber),
}

/// Answer to a call for a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IsolationReply {
    /// The suspect may run, but not over these upstreams.
    Turn {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Upstreams on which other suspects run.
        avoid: Vec<id::UpstreamName>,
    },
    /// Another suspect has its turn.
    Wait(suspect::RunNumber),
}

/// The suspects of a region that run.
#[derive(Debug, Default)]
pub struct IsolationQueue {
    turns: Vec<SuspectTurn>,
    resumed: Vec<ResumedSuspect>,
}

/// A suspect that has or awaits its turn; the first one has it.
#[derive(Debug)]
struct SuspectTurn {
    host: id::HostName,
    run: suspect::RunNumber,
    queued_at: time::Instant,
    time_limit: std_time::Duration,
    /// Last time that it asked; a suspect that stopped asking loses its place.
    last_request: time::Instant,
    /// When its turn began.
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
    /// Takes a call of node `from` and answers it, if it needs an answer.
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

    /// Drops the suspects of a node that is gone.
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
        // Suspects that go on at once must have told so by then.
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
