//! Connections to runners through other nodes.
//!
//! This node keeps all decisions about a request. The other node connects to the
//! runner's address and passes bytes on.

use std::net;
use std::sync;
use std::time as std_time;

use derive_more::Display;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time;

use crate::event;
use crate::gateway::dial;
use crate::gateway::neighbour;
use crate::id;
use crate::member;
use crate::peer::{tunnel, tunnel_flow};

/// Most nodes that are asked for one connection.
const NEIGHBOUR_LIMIT: usize = 3;

/// Time after which the next node is asked beside one that has not answered.
const NEIGHBOUR_DELAY: std_time::Duration = std_time::Duration::from_millis(100);

/// Part of the time limit that is left for the answer of a node that could not
/// connect.
const ANSWER_MARGIN: std_time::Duration = std_time::Duration::from_millis(30);

/// Opens connections through other nodes.
pub struct RelayDialer {
    context: dial::DialContext,
    book: sync::Arc<sync::Mutex<neighbour::NeighbourBook>>,
}

/// Why one node opened no connection.
#[derive(Clone, Debug, Display)]
enum RelayFailure {
    /// The node could not be asked, or does not serve the request.
    #[display("{_0}")]
    Way(String),
    /// It did not reach the runner, and other runners neither as far as it knows.
    #[display("it does not reach the runner")]
    Unproven,
    /// It reaches others but not the runner.
    #[display("it reaches others but not the runner")]
    Unreachable { is_refused: bool },
}

impl RelayDialer {
    /// Creates a dialer that has asked no node yet.
    pub fn new(context: dial::DialContext) -> Self {
        Self {
            context,
            book: sync::Arc::default(),
        }
    }

    /// Returns the names of the nodes that may be asked, sorted.
    fn candidates(&self) -> Vec<id::HostName> {
        let members = self.context.members.alive().into_iter();
        let others = members.filter(|record| {
            record.phase == member::MemberPhase::Serving && record.name != self.context.host
        });
        others.map(|record| record.name).collect()
    }

    async fn ask(
        &self,
        host: &str,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> Result<dial::RunnerConnection, RelayFailure> {
        let way = |reason: String| RelayFailure::Way(reason);
        let contact = self.context.members.contact(host);
        let contact = contact.ok_or_else(|| way("no member any more".to_owned()))?;
        let request = tunnel::TunnelRequest {
            sender: self.context.host.clone(),
            incarnation: self.context.post.incarnation(),
            receiver: contact.incarnation,
            target: address,
            limit_ms: limit.saturating_sub(ANSWER_MARGIN).as_millis() as u32,
        };
        let asked = tunnel::ask(contact.address, &self.context.signer, &request);
        let asked = time::timeout(limit, asked).await;
        let asked = asked.map_err(|_| way("no answer in time".to_owned()))?;
        let (frames, reply) = asked.map_err(|error| way(error.to_string()))?;
        lock(&self.book).note_load(host, reply.load, time::Instant::now());
        match reply.result {
            tunnel::TunnelResult::Connected => {}
            tunnel::TunnelResult::Unreachable {
                is_refused,
                is_proven: true,
            } => return Err(RelayFailure::Unreachable { is_refused }),
            tunnel::TunnelResult::Unreachable { .. } => return Err(RelayFailure::Unproven),
            tunnel::TunnelResult::Refused(refusal) => {
                return Err(way(format!("refused: {refusal}")));
            }
        }
        let guard = OpenTunnel::new(self, host, address);
        Ok(dial::RunnerConnection {
            bytes: Box::new(tunnel_flow::TunnelBytes::start(frames, guard)),
            via: Some(host.to_owned()),
        })
    }

    fn leave_out(&self, host: &str, cause: &str) {
        leave_out(&self.context, &self.book, host, cause);
    }
}

#[async_trait::async_trait]
impl dial::RunnerDialer for RelayDialer {
    async fn open(
        &self,
        address: net::SocketAddr,
        limit: std_time::Duration,
    ) -> Result<dial::RunnerConnection, dial::DialError> {
        let deadline = time::Instant::now() + limit;
        let hosts = self.candidates();
        lock(&self.book).retain(&hosts);
        let mut error = dial::DialError {
            address,
            is_refused: false,
            is_confirmed: false,
            reason: "no other node to ask".to_owned(),
        };
        let mut tried: Vec<id::HostName> = Vec::new();
        let mut waiting: Vec<id::HostName> = Vec::new();
        let mut running = FuturesUnordered::new();
        let mut next_at = Some(time::Instant::now());
        loop {
            let now = time::Instant::now();
            if next_at.is_some_and(|next_at| now >= next_at) {
                let chosen = match tried.len() < NEIGHBOUR_LIMIT {
                    true => lock(&self.book)
                        .choose(&hosts, address, &tried, now)
                        .cloned(),
                    false => None,
                };
                next_at = chosen.as_ref().map(|_| now + NEIGHBOUR_DELAY);
                if let Some(host) = chosen {
                    tried.push(host.clone());
                    waiting.push(host.clone());
                    running.push(async move {
                        let limit = deadline.saturating_duration_since(now);
                        let result = self.ask(&host, address, limit).await;
                        (host, result)
                    });
                }
            }
            if running.is_empty() && next_at.is_none() {
                return Err(error);
            }
            let wake_at = next_at.unwrap_or(deadline).min(deadline);
            let (host, result) = tokio::select! {
                biased;
                Some(ended) = running.next(), if !running.is_empty() => ended,
                () = time::sleep_until(wake_at) => {
                    if wake_at < deadline {
                        continue;
                    }
                    for slow in &waiting {
                        self.leave_out(slow, "no answer in time");
                    }
                    return Err(error);
                }
            };
            waiting.retain(|other| *other != host);
            let failure = match result {
                Ok(connection) => {
                    lock(&self.book).note_worked(&host);
                    for slow in &waiting {
                        self.leave_out(slow, "slower than another node");
                    }
                    return Ok(connection);
                }
                Err(failure) => failure,
            };
            error.reason = format!("{host}: {failure}");
            match failure {
                RelayFailure::Unreachable { is_refused } => {
                    lock(&self.book).note_worked(&host);
                    error.is_refused = is_refused;
                    error.is_confirmed = true;
                    return Err(error);
                }
                RelayFailure::Unproven => {
                    let now = time::Instant::now();
                    if lock(&self.book).note_unreached(&host, address, now) {
                        self.leave_out(&host, "it did not reach several runners");
                    }
                }
                RelayFailure::Way(cause) => self.leave_out(&host, &cause),
            }
            next_at = Some(time::Instant::now());
        }
    }

    async fn reaches_other(&self, _: net::SocketAddr, _: std_time::Duration) -> bool {
        false
    }
}

/// Leaves a node out as a way for a moment; logged once for each such time.
fn leave_out(
    context: &dial::DialContext,
    book: &sync::Mutex<neighbour::NeighbourBook>,
    host: &str,
    cause: &str,
) {
    if lock(book).note_failed(host, time::Instant::now()) {
        let detail = format!("cause={cause}");
        let code = event::EventCode::TunnelLost;
        context.recorder.record(code, host, detail);
    }
}

/// Counts a tunnel through another node until it is dropped.
struct OpenTunnel {
    context: dial::DialContext,
    book: sync::Arc<sync::Mutex<neighbour::NeighbourBook>>,
    host: id::HostName,
    address: net::SocketAddr,
}

impl OpenTunnel {
    fn new(dialer: &RelayDialer, host: &str, address: net::SocketAddr) -> Self {
        lock(&dialer.book).begin(host);
        dialer.context.metrics.opened.inc();
        dialer.context.metrics.open.inc();
        Self {
            context: dialer.context.clone(),
            book: sync::Arc::clone(&dialer.book),
            host: host.to_owned(),
            address,
        }
    }
}

impl tunnel_flow::TunnelMonitor for OpenTunnel {
    fn note_lost(&self, reason: &str) {
        self.context.metrics.lost.inc();
        let runner = self.context.runner_name(self.address);
        let cause = format!("{reason} runner={runner}");
        leave_out(&self.context, &self.book, &self.host, &cause);
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        lock(&self.book).end(&self.host);
        self.context.metrics.open.dec();
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
