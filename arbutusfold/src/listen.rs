//! Listening sockets that hold a burst of callers.

use std::io;
use std::net;

use derive_more::{Display, Error};
use tokio::net as tokio_net;

/// Connections that may wait to be accepted.
///
/// The usual 128 overflow when a burst of callers connects at once; each one
/// turned away tries again only after a second.
const BACKLOG_CONNECTIONS: u32 = 4_096;

/// Why a listening socket could not be opened.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {reason}")]
pub struct ListenError {
    /// Address that was to be opened.
    pub address: net::SocketAddr,
    /// Cause.
    pub reason: String,
}

/// Opens a listening socket.
///
/// # Errors
///
/// When the address is taken or does not belong to the host.
pub fn open(address: net::SocketAddr) -> Result<tokio_net::TcpListener, ListenError> {
    open_socket(address).map_err(|error| ListenError {
        address,
        reason: error.to_string(),
    })
}

fn open_socket(address: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio_net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio_net::TcpSocket::new_v6()?,
    };
    // A node that replaces another at the same address must not wait.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}
