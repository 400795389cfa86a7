//! Transport of messages between nodes over TCP.
//!
//! Each node dials the peers that it sends to and receives on the connections that
//! peers dial, so a connection carries messages in one direction only.

use std::net;
use std::sync;
use std::time as std_time;

use derive_more::{Display, Error};
use tokio::sync::mpsc;
use tokio::{runtime, task, time};

use crate::event;
use crate::listen;
use crate::peer::frame;
use crate::peer::inbound;
use crate::peer::metrics;
use crate::peer::outbound;

/// Maximum number of dialled connections.
const CONNECTION_LIMIT: usize = 96;

/// Time without a message after which a dialled connection is closed.
const CONNECTION_IDLE: std_time::Duration = std_time::Duration::from_secs(30);

/// Reason why the transport could not start.
#[derive(Debug, Display, Error)]
#[display("cannot open peer transport on {address}: {reason}")]
pub struct PeerError {
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Error of the socket or of the runtime.
    pub reason: String,
}

/// Transport of messages between nodes. Delivery is not guaranteed.
pub trait PeerTransport: Send + Sync {
    /// Sends a message without blocking.
    fn send(&self, to: net::SocketAddr, message: &[u8]);
}

/// What the connections of a transport report to.
#[derive(Clone, Debug)]
pub struct TransportMonitor {
    /// Log of lost and regained connections.
    pub recorder: sync::Arc<event::EventRecorder>,
    /// Counters of messages.
    pub metrics: metrics::TransportMetrics,
}

/// Messages to one peer and the task that sends them.
struct PeerLink {
    to: net::SocketAddr,
    queue: sync::Arc<outbound::SendQueue>,
    task: task::JoinHandle<()>,
    last_used: time::Instant,
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Transport over TCP: one listening socket and one dialled connection per peer.
pub struct TcpTransport {
    links: sync::Mutex<Vec<PeerLink>>,
    monitor: TransportMonitor,
    runtime: runtime::Handle,
    listener: task::JoinHandle<()>,
    acceptor: inbound::AcceptorSlot,
}

impl TcpTransport {
    /// Listens on `address`; returns the transport and the channel of received messages.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the address cannot be opened or no runtime is active.
    pub fn open(
        address: net::SocketAddr,
        monitor: TransportMonitor,
    ) -> Result<(Self, mpsc::Receiver<inbound::ReceivedMessage>), PeerError> {
        let runtime = runtime::Handle::try_current().map_err(|error| PeerError {
            address,
            reason: error.to_string(),
        })?;
        let listener = listen::open(address).map_err(|error| PeerError {
            address,
            reason: error.reason,
        })?;
        let (sender, receiver) = inbound::channel(monitor.metrics.clone());
        let acceptor = inbound::AcceptorSlot::default();
        let receiving = inbound::serve(listener, sender, sync::Arc::clone(&acceptor));
        let transport = Self {
            links: sync::Mutex::default(),
            monitor,
            listener: runtime.spawn(receiving),
            acceptor,
            runtime,
        };
        Ok((transport, receiver))
    }

    /// Serves the tunnels that nodes open; without an acceptor they are refused. A
    /// second call has no effect.
    pub fn accept_tunnels(&self, acceptor: sync::Arc<dyn inbound::TunnelAcceptor>) {
        let _ = self.acceptor.set(acceptor);
    }

    fn start_link(&self, to: net::SocketAddr, now: time::Instant) -> PeerLink {
        let queue = sync::Arc::new(outbound::SendQueue::default());
        let sender = outbound::run(to, sync::Arc::clone(&queue), self.monitor.clone());
        PeerLink {
            to,
            queue,
            task: self.runtime.spawn(sender),
            last_used: now,
        }
    }
}

impl Drop for TcpTransport {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

/// Closes idle connections, then the least recently used ones until one more may
/// be opened.
fn close_idle(links: &mut Vec<PeerLink>, now: time::Instant) {
    links.retain(|link| now.duration_since(link.last_used) < CONNECTION_IDLE);
    while links.len() >= CONNECTION_LIMIT {
        let oldest = (0..links.len()).min_by_key(|index| links[*index].last_used);
        let Some(oldest) = oldest else { return };
        links.remove(oldest);
    }
}

impl PeerTransport for TcpTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        if message.len() > frame::MESSAGE_LIMIT_BYTES {
            let cause = metrics::DropCause::TooLarge;
            return self.monitor.metrics.count_dropped(cause, 1);
        }
        let now = time::Instant::now();
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let index = match links.binary_search_by_key(&to, |link| link.to) {
            Ok(index) => index,
            Err(_) => {
                close_idle(&mut links, now);
                let index = links.partition_point(|link| link.to < to);
                links.insert(index, self.start_link(to, now));
                index
            }
        };
        let link = &mut links[index];
        link.last_used = now;
        let dropped = link.queue.push(message, now);
        let cause = metrics::DropCause::SendQueueFull;
        self.monitor.metrics.count_dropped(cause, dropped);
    }
}
