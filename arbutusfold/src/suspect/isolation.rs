//! Keeps suspects apart, so that an innocent one is not crashed by another.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::suspect;

/// Time that a turn waits for news of suspects that went on at once.
const SETTLE_TIME: std_time::Duration = std_time::Duration::from_millis(300);

/// Silence after which a waiting suspect loses its place.
const WAIT_LIFE: std_time::Duration = std_time::Duration::from_secs(2);

/// Suspects that are remembered at a time.
const SUSPECT_LIMIT: usize = 4_096;

/// A suspect's call to the node that isolates suspects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IsolationCall {
    /// A suspect that had given tokens goes on at once over these upstreams.
    Resume {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Upstreams of its route.
        upstreams: Vec<id::UpstreamName>,
        /// Longest time that the run can last.
        lasts: std_time::Duration,
    },
    /// A suspect asks for its turn to run alone; the call may be repeated.
    Turn {
        /// Run of the suspect.
        run: suspect::RunNumber,
        /// Longest time that the run can last.
        lasts: std_time::Duration,
    },
    /// A suspect's run ended.
    End(suspect::RunNumber),
}

/// Answer to a call for a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IsolationAnswer {
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
pub struct IsolationDesk {
    turns: Vec<SuspectTurn>,
    resumed: Vec<ResumedSuspect>,
}

/// A suspect that has or awaits its turn; the first one has it.
#[derive(Debug)]
struct SuspectTurn {
    host: id::HostName,
    run: suspect::RunNumber,
    asked: time::Instant,
    lasts: std_time::Duration,
    /// Last time that it asked; a suspect that stopped asking loses its place.
    heard: time::Instant,
    /// When its turn began.
    began: Option<time::Instant>,
}

#[derive(Debug)]
struct ResumedSuspect {
    host: id::HostName,
    run: suspect::RunNumber,
    upstreams: Vec<id::UpstreamName>,
    expires: time::Instant,
}

impl IsolationDesk {
    /// Takes a call of node `from` and answers it, if it needs an answer.
    pub fn hear(
        &mut self,
        from: &str,
        call: IsolationCall,
        now: time::Instant,
    ) -> Option<IsolationAnswer> {
        self.expire(now);
        match call {
            IsolationCall::Resume {
                run,
                upstreams,
                lasts,
            } => {
                self.resume(from, run, upstreams, now + lasts);
                None
            }
            IsolationCall::Turn { run, lasts } => Some(self.turn(from, run, lasts, now)),
            IsolationCall::End(run) => {
                self.end(from, run);
                None
            }
        }
    }

    /// Drops the suspects of a node that is gone.
    pub fn note_gone(&mut self, host: &str) {
        self.turns.retain(|turn| turn.host != host);
        self.resumed.retain(|resumed| resumed.host != host);
    }

    fn resume(
        &mut self,
        from: &str,
        run: suspect::RunNumber,
        upstreams: Vec<id::UpstreamName>,
        expires: time::Instant,
    ) {
        self.end(from, run);
        if self.resumed.len() < SUSPECT_LIMIT {
            self.resumed.push(ResumedSuspect {
                host: from.to_owned(),
                run,
                upstreams,
                expires,
            });
        }
    }

    fn turn(
        &mut self,
        from: &str,
        run: suspect::RunNumber,
        lasts: std_time::Duration,
        now: time::Instant,
    ) -> IsolationAnswer {
        let found = self
            .turns
            .iter()
            .position(|turn| turn.host == from && turn.run == run);
        let place = match found {
            Some(place) => place,
            None if self.turns.len() >= SUSPECT_LIMIT => return IsolationAnswer::Wait(run),
            None => {
                self.turns.push(SuspectTurn {
                    host: from.to_owned(),
                    run,
                    asked: now,
                    lasts,
                    heard: now,
                    began: None,
                });
                self.turns.len() - 1
            }
        };
        let turn = &mut self.turns[place];
        turn.heard = now;
        // Suspects that go on at once must have told so by then.
        if place > 0 || now.duration_since(turn.asked) < SETTLE_TIME {
            return IsolationAnswer::Wait(run);
        }
        turn.began.get_or_insert(now);
        IsolationAnswer::Turn {
            run,
            avoid: self.occupied(),
        }
    }

    fn occupied(&self) -> Vec<id::UpstreamName> {
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

    fn expire(&mut self, now: time::Instant) {
        self.turns.retain(|turn| match turn.began {
            Some(began) => now.duration_since(began) < turn.lasts,
            None => now.duration_since(turn.heard) < WAIT_LIFE,
        });
        self.resumed.retain(|resumed| now < resumed.expires);
    }
}
