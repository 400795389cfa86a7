//! Opens listening sockets with a backlog for bursts of connections.

use std::io;
use std::net;

use derive_more::{Display, Error};
use tokio::net as tokio_net;

/// Maximum number of connections that wait to be accepted.
///
/// The usual backlog of 128 overflows when many callers connect at once. A
/// connection that is dropped for this reason is retried only after a second.
const BACKLOG_CONNECTIONS: u32 = 4_096;

/// Error of opening a listening socket.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {reason}")]
pub struct ListenError {
    /// Address of the socket.
    pub address: net::SocketAddr,
    /// Cause.
    pub reason: String,
}

/// Opens a listening socket.
///
/// # Errors
///
/// [`ListenError`] if the address is in use or does not belong to the host.
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
    // Lets a node that replaces another bind the same address without waiting.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}
