//! Connections to runners, by whatever way they are opened.

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::link;
use derive_more::{Debug, Display, Error};
use tokio::io;

use crate::event;
use crate::gateway::fleet;
use crate::gateway::metrics;
use crate::id;
use crate::member;
use crate::peer;

/// What the ways to runners need of the node.
#[derive(Clone)]
pub struct DialContext {
    /// Name of the host.
    pub host: id::HostName,
    /// Address on which it receives messages of peers.
    pub address: net::SocketAddr,
    /// Keys for tunnels between nodes.
    pub signer: peer::MessageSigner,
    /// Members of the fleet.
    pub members: sync::Arc<member::MemberView>,
    /// Knows the incarnation of this process.
    pub post: sync::Arc<peer::PeerEndpoint>,
    /// Runners of all services.
    pub fleet: sync::Arc<sync::Mutex<fleet::RunnerFleet>>,
    /// Log of changed ways.
    pub recorder: sync::Arc<event::EventRecorder>,
    /// Counters of tunnels.
    pub metrics: metrics::TunnelMetrics,
}

impl DialContext {
    /// Returns the id of the runner at an address, else the address, for the log.
    pub fn runner_name(&self, address: net::SocketAddr) -> id::UpstreamName {
        let fleet = self.fleet.lock();
        let fleet = fleet.unwrap_or_else(sync::PoisonError::into_inner);
        let id = fleet.id_at(address).cloned();
        id.unwrap_or_else(|| address.to_string())
    }
}

/// Bytes from and to a runner.
pub trait RunnerBytes: io::AsyncRead + io::AsyncWrite + Send + Unpin {}

impl<T: io::AsyncRead + io::AsyncWrite + Send + Unpin> RunnerBytes for T {}

/// An open connection to a runner; dropping it closes it.
#[derive(Debug)]
pub struct RunnerConnection {
    /// Bytes from and to the runner.
    #[debug(skip)]
    pub bytes: Box<dyn RunnerBytes>,
    /// Node that passes the bytes on, if the connection is not a direct one.
    pub via: Option<id::HostName>,
}

/// Reason why no connection to a runner was opened; nothing was sent.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("not connected to {address}: {reason}")]
pub struct DialError {
    /// Address of the runner.
    pub address: net::SocketAddr,
    /// Whether the connection was refused rather than not answered.
    pub is_refused: bool,
    /// Whether a node that reaches other runners failed as well. Otherwise it is
    /// unknown whether the runner exists.
    pub is_confirmed: bool,
    /// Cause.
    pub reason: String,
}

impl DialError {
    /// Returns whether it is shown that no process listens at the address.
    pub fn is_closed(&self) -> bool {
        self.is_refused && self.is_confirmed
    }
}

/// Opens connections to runners.
#[async_trait::async_trait]
pub trait RunnerDialer: Send + Sync {
    /// Opens a connection to the runner at `address` within `limit`.
    ///
    /// # Errors
    ///
    /// [`DialError`] if there is none in time.
    async fn open(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> Result<RunnerConnection, DialError>;

    /// Returns whether some other runner answers this node directly now, or there is
    /// none to compare with.
    async fn reaches_other(&self, address: net::SocketAddr, limit: std_time::Duration) -> bool;
}

/// A connection to a runner for one call.
#[derive(Debug)]
pub struct DialedLink {
    /// The connection.
    pub link: link::HttpLink,
    /// Node that passes the bytes on, if the connection is not a direct one.
    pub via: Option<id::HostName>,
}

/// Opens a connection for one call.
///
/// # Errors
///
/// [`DialError`] if there is none in time.
pub async fn open_link(
    dialer: &dyn RunnerDialer,
    address: net::SocketAddr,
    limit: std_time::Duration,
) -> Result<DialedLink, DialError> {
    let connection = dialer.open(address, limit).await?;
    let link = link::HttpLink::over(connection.bytes).await;
    let link = link.map_err(|error| DialError {
        address,
        is_refused: false,
        is_confirmed: false,
        reason: error.to_string(),
    })?;
    let via = connection.via;
    Ok(DialedLink { link, via })
}
