//! A loopback proxy that delays, silences, cuts and resets connections.

use std::net;
use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio::sync::watch;
use tokio::task;

/// Bytes that are carried at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// It carries bytes.
    #[default]
    None,
    /// It carries bytes late.
    Delay(time::Duration),
    /// It carries nothing and keeps connections open.
    Silence,
    /// It carries requests and no answers.
    OneWay,
    /// It resets open connections and refuses new ones.
    Reset,
}

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct LoopbackProxy {
    address: net::SocketAddr,
    fault: watch::Sender<ProxyFault>,
    task: task::JoinHandle<()>,
}

impl LoopbackProxy {
    /// Starts a proxy on `address` towards `target`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// When the address cannot be opened.
    pub async fn start(address: net::SocketAddr, target: net::SocketAddr) -> std::io::Result<Self> {
        let listener = tokio_net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (fault, fault_receiver) = watch::channel(ProxyFault::None);
        let task = tokio::spawn(async move {
            let mut connections = task::JoinSet::new();
            while let Ok((client, _)) = listener.accept().await {
                connections.spawn(proxy_connection(client, target, fault_receiver.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self {
            address,
            fault,
            task,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets what it does to its connections from now on.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

impl Drop for LoopbackProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn proxy_connection(
    client: tokio_net::TcpStream,
    target: net::SocketAddr,
    mut fault: watch::Receiver<ProxyFault>,
) {
    let reset = |stream: &tokio_net::TcpStream| {
        // A closed connection then ends with a reset; it is gone either way.
        let _ = stream.set_zero_linger();
    };
    if *fault.borrow() == ProxyFault::Reset {
        reset(&client);
        return;
    }
    let Ok(server) = tokio_net::TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    // Failing only delays small packets.
    let _ = client.set_nodelay(true).and(server.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let (up, down) = (fault.clone(), fault.clone());
    let reset_fault = async {
        // The sender lives as long as the proxy.
        let _ = fault.wait_for(|fault| *fault == ProxyFault::Reset).await;
    };
    let was_reset = tokio::select! {
        () = forward(&mut client_read, &mut server_write, up, false) => false,
        () = forward(&mut server_read, &mut client_write, down, true) => false,
        () = reset_fault => true,
    };
    if was_reset && let Ok(client) = client_read.reunite(client_write) {
        reset(&client);
    }
}

/// Carries bytes one way until an end closes.
async fn forward(
    from: &mut tokio_net::tcp::OwnedReadHalf,
    to: &mut tokio_net::tcp::OwnedWriteHalf,
    mut fault: watch::Receiver<ProxyFault>,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let current = *fault.borrow();
        match current {
            ProxyFault::None | ProxyFault::Reset => {}
            ProxyFault::Delay(delay) => tokio::time::sleep(delay).await,
            ProxyFault::OneWay if !is_response => {}
            ProxyFault::Silence | ProxyFault::OneWay => {
                // Held bytes are carried once the fault is over.
                let over = fault
                    .wait_for(|fault| !matches!(fault, ProxyFault::Silence | ProxyFault::OneWay));
                if over.await.is_err() {
                    return;
                }
            }
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
