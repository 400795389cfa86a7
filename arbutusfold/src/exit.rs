//! Exit codes of the program and the errors that cause them.

use std::process;

use derive_more::{Display, Error};

/// Reason why the program fails; the number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// An error without an exit code of its own.
    Other = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Settings or a configuration document were rejected.
    Refused = 3,
    /// Another change of the configuration was accepted first.
    Conflict = 4,
    /// The node or the platform was unavailable, and nothing was changed.
    Unavailable = 5,
    /// It is unknown whether a change was accepted.
    Unknown = 6,
    /// The operator token is missing or invalid.
    Token = 7,
}

impl From<ExitReason> for process::ExitCode {
    fn from(reason: ExitReason) -> Self {
        Self::from(reason as u8)
    }
}

/// Error of a command.
#[derive(Debug, Display, Error)]
#[display("{message}")]
pub struct CommandError {
    /// Reason, which determines the exit code.
    pub reason: ExitReason,
    /// Message for the operator.
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
