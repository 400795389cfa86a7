//! Exit codes of the program and the errors that bring them.

use std::process;

use derive_more::{Display, Error};

/// Why the program ends without success; the number is its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// Something that has no code of its own.
    Other = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Settings or a document were refused.
    Refused = 3,
    /// Another change of the configuration came first.
    Conflict = 4,
    /// The node or the platform was not there, and nothing was changed.
    Unavailable = 5,
    /// It is not known whether a change was accepted.
    Unknown = 6,
    /// The operator token is missing or unknown.
    Token = 7,
}

impl From<ExitReason> for process::ExitCode {
    fn from(reason: ExitReason) -> Self {
        Self::from(reason as u8)
    }
}

/// An error of a command.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub struct CommandError {
    /// Exit code.
    pub reason: ExitReason,
    /// Message for people.
    pub message: String,
}

impl CommandError {
    /// Creates an error.
    pub fn new(reason: ExitReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
        }
    }
}

impl From<anyhow::Error> for CommandError {
    fn from(error: anyhow::Error) -> Self {
        Self::new(ExitReason::Other, format!("arbutusfold: {error:#}"))
    }
}
