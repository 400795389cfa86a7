//! A loopback proxy that delays, stalls and resets connections, of all callers or of
//! those with some source addresses.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio::sync::watch;
use tokio::task;

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// It forwards bytes without delay.
    #[default]
    None,
    /// It delays every read by this time before forwarding it.
    Delay(time::Duration),
    /// It forwards nothing and keeps connections open.
    Silence,
    /// It forwards requests but no responses.
    OneWay,
    /// It resets open connections and refuses new ones.
    Reset,
}

/// How the path from one source address to a proxy is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCut {
    /// Open connections are silent, and new ones are not established.
    Hang,
    /// Open connections are reset, and new ones as soon as they are established.
    Reset,
    /// Open connections live on, and new ones are reset as soon as they are
    /// established.
    Refuse,
    /// Connections are established and requests pass, but no responses.
    OneWay,
}

impl PathCut {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Hang, Self::Reset, Self::Refuse, Self::OneWay];
}

/// A request that reached a proxy on a connection of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyArrival {
    /// Address that the connection started from.
    pub source: net::IpAddr,
    /// Id of the request; empty for other calls.
    pub request: String,
    /// When its first bytes arrived.
    pub at: tokio::time::Instant,
}

/// Faults in force.
#[derive(Clone, Debug, Default)]
struct ProxyState {
    fault: ProxyFault,
    cuts: collections::BTreeMap<net::Ipv4Addr, PathCut>,
}

impl ProxyState {
    fn cut(&self, source: net::IpAddr) -> Option<PathCut> {
        match source {
            net::IpAddr::V4(source) => self.cuts.get(&source).copied(),
            net::IpAddr::V6(_) => None,
        }
    }

    fn refuses(&self, source: net::IpAddr) -> bool {
        let is_cut = matches!(self.cut(source), Some(PathCut::Reset | PathCut::Refuse));
        is_cut || self.fault == ProxyFault::Reset
    }

    fn resets(&self, source: net::IpAddr) -> bool {
        self.cut(source) == Some(PathCut::Reset) || self.fault == ProxyFault::Reset
    }

    /// Returns whether bytes are held back until the fault is cleared.
    fn holds(&self, source: net::IpAddr, is_response: bool) -> bool {
        let by_fault = match self.fault {
            ProxyFault::Silence => true,
            ProxyFault::OneWay => is_response,
            ProxyFault::None | ProxyFault::Delay(_) | ProxyFault::Reset => false,
        };
        by_fault || self.holds_end(source, is_response)
    }

    /// Returns whether the end of a connection is held back as well.
    fn holds_end(&self, source: net::IpAddr, is_response: bool) -> bool {
        match self.cut(source) {
            Some(PathCut::Hang) => true,
            Some(PathCut::OneWay) => is_response,
            Some(PathCut::Reset | PathCut::Refuse) | None => false,
        }
    }

    /// Returns a packet filter that drops everything from the sources that hang, so
    /// that the kernel establishes none of their connections.
    fn filter(&self) -> Vec<socket2::SockFilter> {
        // Offset of the source address in the IP header, see SKF_NET_OFF in
        // linux/filter.h.
        const SOURCE_OFFSET: u32 = (-0x10_0000_i32 + 12) as u32;
        const LOAD_WORD: u16 = 0x20;
        const JUMP_IF_EQUAL: u16 = 0x15;
        const RETURN: u16 = 0x06;
        let mut filter = vec![socket2::SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
        let cuts = self.cuts.iter();
        for (source, _) in cuts.filter(|(_, cut)| **cut == PathCut::Hang) {
            // Unless equal, the return is skipped.
            let word = u32::from(*source);
            filter.push(socket2::SockFilter::new(JUMP_IF_EQUAL, 0, 1, word));
            filter.push(socket2::SockFilter::new(RETURN, 0, 0, 0));
        }
        filter.push(socket2::SockFilter::new(RETURN, 0, 0, u32::MAX));
        filter
    }
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct LoopbackProxy {
    address: net::SocketAddr,
    listener: sync::Arc<tokio_net::TcpListener>,
    state: watch::Sender<ProxyState>,
    arrivals: ArrivalList,
    task: task::JoinHandle<()>,
}

type ArrivalList = sync::Arc<sync::Mutex<Vec<ProxyArrival>>>;

impl LoopbackProxy {
    /// Starts a proxy from `address` to `target`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When it cannot listen on the address.
    pub async fn start(address: net::SocketAddr, target: net::SocketAddr) -> io::Result<Self> {
        let listener = sync::Arc::new(tokio_net::TcpListener::bind(address).await?);
        let address = listener.local_addr()?;
        let (state, state_receiver) = watch::channel(ProxyState::default());
        let arrivals = ArrivalList::default();
        let accepting = sync::Arc::clone(&listener);
        let arrival_list = sync::Arc::clone(&arrivals);
        let task = tokio::spawn(async move {
            let mut connections = task::JoinSet::new();
            while let Ok((client, peer)) = accepting.accept().await {
                let path = ProxyPath {
                    source: peer.ip(),
                    state: state_receiver.clone(),
                };
                let arrivals = sync::Arc::clone(&arrival_list);
                connections.spawn(proxy_connection(client, target, path, arrivals));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self {
            address,
            listener,
            state,
            arrivals,
            task,
        })
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets the fault for all open and future connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Cuts the path from `source`, or heals it, for open and future connections.
    ///
    /// # Errors
    ///
    /// When the kernel does not take the packet filter.
    pub fn set_cut(&self, source: net::Ipv4Addr, cut: Option<PathCut>) -> io::Result<()> {
        self.state.send_modify(|state| match cut {
            Some(cut) => {
                state.cuts.insert(source, cut);
            }
            None => {
                state.cuts.remove(&source);
            }
        });
        // Open connections have inherited an earlier filter, which does not name their
        // own source: it was not cut when they were established.
        let listener = socket2::SockRef::from(&*self.listener);
        listener.attach_filter(&self.state.borrow().filter())
    }

    /// Returns the requests that arrived so far.
    pub fn arrivals(&self) -> Vec<ProxyArrival> {
        lock(&self.arrivals).clone()
    }
}

impl Drop for LoopbackProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The path from one source address through a proxy.
#[derive(Clone, Debug)]
struct ProxyPath {
    source: net::IpAddr,
    state: watch::Receiver<ProxyState>,
}

async fn proxy_connection(
    client: tokio_net::TcpStream,
    target: net::SocketAddr,
    mut path: ProxyPath,
    arrivals: ArrivalList,
) {
    let reset = |stream: &tokio_net::TcpStream| {
        // Zero linger makes the close send a reset. On failure the connection
        // is closed all the same.
        let _ = stream.set_zero_linger();
    };
    let source = path.source;
    if path.state.borrow().refuses(source) {
        reset(&client);
        return;
    }
    let Ok(server) = tokio_net::TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    // Without TCP_NODELAY only small packets are delayed, so errors are ignored.
    let _ = client.set_nodelay(true).and(server.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let (up, down) = (path.clone(), path.clone());
    let reset_fault = async {
        // No error is expected: the sender lives as long as the proxy.
        let _ = path.state.wait_for(|state| state.resets(source)).await;
    };
    let was_reset = tokio::select! {
        _ = forward(&mut client_read, &mut server_write, up, Some(arrivals)) => false,
        end = forward(&mut server_read, &mut client_write, down, None) => end == SideEnd::Reset,
        () = reset_fault => true,
    };
    if was_reset && let Ok(client) = client_read.reunite(client_write) {
        reset(&client);
    }
}

/// How a side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SideEnd {
    /// One of them closed it.
    Closed,
    /// The side that is read reset it.
    Reset,
}

/// Forwards bytes in one direction until either side closes; returns how. The direction
/// of requests has a list of `arrivals`.
async fn forward(
    from: &mut tokio_net::tcp::OwnedReadHalf,
    to: &mut tokio_net::tcp::OwnedWriteHalf,
    mut path: ProxyPath,
    mut arrivals: Option<ArrivalList>,
) -> SideEnd {
    let is_response = arrivals.is_none();
    let source = path.source;
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        let end = match read {
            Ok(_) => SideEnd::Closed,
            Err(_) => SideEnd::Reset,
        };
        let count = read.unwrap_or(0);
        let fault = path.state.borrow().fault;
        if let ProxyFault::Delay(delay) = fault
            && count > 0
        {
            tokio::time::sleep(delay).await;
        }
        let passes = path.state.wait_for(|state| match count {
            0 => !state.holds_end(source, is_response),
            _ => !state.holds(source, is_response),
        });
        // The bytes that were read are forwarded once the fault is cleared.
        if passes.await.is_err() || count == 0 {
            return end;
        }
        if let Some(arrivals) = arrivals.take() {
            lock(&arrivals).push(ProxyArrival {
                source,
                request: request_id(&buffer[..count]),
                at: tokio::time::Instant::now(),
            });
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return SideEnd::Closed;
        }
    }
}

/// Returns the id in the head of a request, empty if there is none.
fn request_id(head: &[u8]) -> String {
    let head = String::from_utf8_lossy(head);
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("Request-Id: "));
    id.unwrap_or_default().to_owned()
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
