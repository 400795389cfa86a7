//! Connections to runners that this node opens for others.
//!
//! Only members are served, only to the addresses of known runners, and only by
//! direct connections, so that nothing is passed on twice.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use futures_util::StreamExt;
use tokio::net as tokio_net;
use tokio::sync::watch;
use tokio::time;

use crate::event;
use crate::gateway::dial;
use crate::gateway::direct;
use crate::gateway::metrics;
use crate::peer;
use crate::peer::{inbound, tunnel, tunnel_flow};

/// Most tunnels that are served at once. Each one takes two descriptors and up to
/// 128 KiB, if neither side reads.
const TUNNEL_LIMIT: u32 = 512;

/// Longest time for connecting to a runner.
const CONNECT_LIMIT: std_time::Duration = std_time::Duration::from_secs(1);

/// Longest time for finding out whether another runner answers; one does within a few
/// milliseconds.
const JUDGE_LIMIT: std_time::Duration = std_time::Duration::from_millis(200);

/// Least time between two records of a refusal in the log.
const REFUSAL_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Serves tunnels of other nodes.
#[derive(Clone)]
pub struct RelayServer {
    state: sync::Arc<ServerState>,
}

struct ServerState {
    context: dial::DialContext,
    direct: sync::Arc<direct::DirectDialer>,
    /// Opens direct connections only.
    dialer: sync::Arc<dyn dial::RunnerDialer>,
    is_stopping: atomic::AtomicBool,
    active: watch::Sender<u32>,
    refused_at: sync::Mutex<Option<time::Instant>>,
}

impl RelayServer {
    /// Creates a server; `dialer` opens direct connections only.
    pub fn new(
        context: dial::DialContext,
        direct: sync::Arc<direct::DirectDialer>,
        dialer: sync::Arc<dyn dial::RunnerDialer>,
    ) -> Self {
        let state = ServerState {
            context,
            direct,
            dialer,
            is_stopping: atomic::AtomicBool::new(false),
            active: watch::Sender::new(0),
            refused_at: sync::Mutex::default(),
        };
        Self {
            state: sync::Arc::new(state),
        }
    }

    /// Refuses new tunnels from now on; those that are served go on.
    pub fn begin_stop(&self) {
        self.state
            .is_stopping
            .store(true, atomic::Ordering::Relaxed);
    }

    /// Returns the number of tunnels that are being served.
    pub fn active(&self) -> u32 {
        *self.state.active.borrow()
    }

    /// Waits until no tunnel is served.
    pub async fn wait_idle(&self) {
        let mut active = self.state.active.subscribe();
        // The sender lives as long as this server.
        let _ = active.wait_for(|active| *active == 0).await;
    }
}

#[async_trait::async_trait]
impl inbound::TunnelAcceptor for RelayServer {
    async fn open(
        &self,
        stream: tokio_net::TcpStream,
    ) -> io::Result<Box<dyn inbound::TunnelSession>> {
        let context = &self.state.context;
        let (frames, request) = tunnel::answer(stream, context.address, &context.signer).await?;
        if request.receiver != context.post.incarnation() {
            let error = peer::MessageError::WrongIncarnation;
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        Ok(Box::new(RelaySession {
            state: sync::Arc::clone(&self.state),
            frames,
            request,
        }))
    }
}

/// A tunnel whose request has arrived.
struct RelaySession {
    state: sync::Arc<ServerState>,
    frames: tunnel::TunnelFrames,
    request: tunnel::TunnelRequest,
}

#[async_trait::async_trait]
impl inbound::TunnelSession for RelaySession {
    async fn run(self: Box<Self>) {
        let Self {
            state,
            mut frames,
            request,
        } = *self;
        let place = match state.admit(&request) {
            Ok(place) => place,
            Err(refusal) => {
                state.note_refused(&request, refusal);
                let reply = state.reply(tunnel::TunnelResult::Refused(refusal));
                // The other node takes a lost reply for a failure of this way as well.
                let _ = tunnel::reply(&mut frames, reply).await;
                return;
            }
        };
        let limit = std_time::Duration::from_millis(u64::from(request.limit_ms));
        let opened = tokio::select! {
            opened = state.connect(request.target, limit.min(CONNECT_LIMIT)) => opened,
            // The other node sends nothing before the reply, so it has left.
            _ = frames.next() => return,
        };
        let (result, connection) = match opened {
            Ok(connection) => {
                state.context.metrics.served.inc();
                (tunnel::TunnelResult::Connected, Some(connection))
            }
            Err(result) => (result, None),
        };
        let replied = tunnel::reply(&mut frames, state.reply(result)).await;
        if let (Ok(()), Some(connection)) = (replied, connection) {
            let judge = WayJudge {
                direct: sync::Arc::clone(&state.direct),
                target: request.target,
                began_at: time::Instant::now(),
            };
            tunnel_flow::serve(frames, connection.bytes, &judge).await;
        }
        drop(place);
    }
}

/// Tells breaks of a runner from those of this node's direct ways.
struct WayJudge {
    direct: sync::Arc<direct::DirectDialer>,
    target: net::SocketAddr,
    began_at: time::Instant,
}

#[async_trait::async_trait]
impl tunnel_flow::TargetJudge for WayJudge {
    async fn has_way(&self) -> bool {
        let (target, since) = (self.target, self.began_at);
        let reaches = self.direct.reaches_other(target, since, JUDGE_LIMIT).await;
        reaches.unwrap_or(true)
    }
}

impl ServerState {
    /// Checks whether a request may be served now and, if so, takes a place for it.
    fn admit(
        self: &sync::Arc<Self>,
        request: &tunnel::TunnelRequest,
    ) -> Result<ServedTunnel, tunnel::TunnelRefusal> {
        let contact = self.context.members.contact(&request.sender);
        let is_member = contact.is_some_and(|contact| {
            contact.host != self.context.host && contact.incarnation <= request.incarnation
        });
        if !is_member {
            return Err(tunnel::TunnelRefusal::UnknownMember);
        }
        if self.is_stopping.load(atomic::Ordering::Relaxed) {
            return Err(tunnel::TunnelRefusal::Stopping);
        }
        if !self.knows_runner(request.target) {
            return Err(tunnel::TunnelRefusal::UnknownTarget);
        }
        let is_free = self.active.send_if_modified(|active| {
            let is_free = *active < TUNNEL_LIMIT;
            *active += u32::from(is_free);
            is_free
        });
        if !is_free {
            return Err(tunnel::TunnelRefusal::Full);
        }
        self.context.metrics.serving.inc();
        Ok(ServedTunnel {
            state: sync::Arc::clone(self),
        })
    }

    fn knows_runner(&self, address: net::SocketAddr) -> bool {
        let fleet = self.context.fleet.lock();
        let fleet = fleet.unwrap_or_else(sync::PoisonError::into_inner);
        fleet.id_at(address).is_some()
    }

    /// Connects to a runner; the error is the answer for the other node.
    async fn connect(
        &self,
        target: net::SocketAddr,
        limit: std_time::Duration,
    ) -> Result<dial::RunnerConnection, tunnel::TunnelResult> {
        if self.direct.is_lost_here(target) {
            // The other node asks another one at once. A failure of the past proves
            // nothing about the runner, since this node may have been cut off.
            self.direct.probe(target);
            return Err(tunnel::TunnelResult::Unreachable {
                is_refused: false,
                is_proven: false,
            });
        }
        let opened = self.dialer.open(target, limit).await;
        opened.map_err(|error| tunnel::TunnelResult::Unreachable {
            is_refused: error.is_refused,
            is_proven: error.is_confirmed,
        })
    }

    fn reply(&self, result: tunnel::TunnelResult) -> tunnel::TunnelReply {
        let load = *self.active.borrow();
        tunnel::TunnelReply { load, result }
    }

    fn note_refused(&self, request: &tunnel::TunnelRequest, refusal: tunnel::TunnelRefusal) {
        let labels = metrics::TunnelRefusalLabels {
            cause: refusal.to_string(),
        };
        self.context.metrics.refused.get_or_create(&labels).inc();
        let now = time::Instant::now();
        let mut refused_at = self
            .refused_at
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if refused_at.is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_PERIOD) {
            return;
        }
        *refused_at = Some(now);
        drop(refused_at);
        let detail = format!("cause={refusal} target={}", request.target);
        let code = event::EventCode::TunnelRefused;
        self.context.recorder.record(code, &request.sender, detail);
    }
}

/// Counts a tunnel that is served until it is dropped.
struct ServedTunnel {
    state: sync::Arc<ServerState>,
}

impl Drop for ServedTunnel {
    fn drop(&mut self) {
        self.state.active.send_modify(|active| *active -= 1);
        self.state.context.metrics.serving.dec();
    }
}
