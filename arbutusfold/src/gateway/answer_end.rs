//! How the answers of runners end.

use std::io;

use arbutusfold_platform::{head, link};
use derive_more::Display;

/// What has become of the connection of an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ConnectionEnd {
    /// Nothing: the body ended before it, or was not read to its end.
    #[display("open")]
    Open,
    /// The runner's side closed it in order.
    #[display("orderly")]
    Orderly,
    /// It was reset.
    #[display("reset")]
    Reset,
    /// The way to the runner was lost.
    #[display("way_lost")]
    WayLost,
    /// It carried bytes that are no body.
    #[display("invalid")]
    Invalid,
}

impl ConnectionEnd {
    /// Returns what the error of a body says about its connection.
    pub fn of_error(error: &hyper::Error) -> Self {
        if link::is_way_lost(error) {
            return Self::WayLost;
        }
        match link::io_cause(error) {
            Some(io::ErrorKind::UnexpectedEof) => Self::Orderly,
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::TimedOut,
            ) => Self::Reset,
            _ => Self::Invalid,
        }
    }
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("framing={framing} end={connection}")]
pub struct AnswerEnd {
    /// What tells where the body ends.
    pub framing: head::BodyFraming,
    /// What has become of the connection.
    pub connection: ConnectionEnd,
}

impl AnswerEnd {
    /// Returns the end of a body that was read as a whole.
    pub fn complete(framing: head::BodyFraming) -> Self {
        let connection = match framing {
            head::BodyFraming::Length | head::BodyFraming::Chunks => ConnectionEnd::Open,
            head::BodyFraming::Connection => ConnectionEnd::Orderly,
        };
        Self {
            framing,
            connection,
        }
    }
}
