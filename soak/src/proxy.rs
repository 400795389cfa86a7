//! A loopback proxy that delays, stalls and resets connections.

use std::net;
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

/// A running proxy; dropping it closes its connections.
#[derive(Debug)]
pub struct LoopbackProxy {
    address: net::SocketAddr,
    fault: watch::Sender<ProxyFault>,
    task: task::JoinHandle<()>,
}

impl LoopbackProxy {
    /// Starts a proxy from `address` to `target`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// When it cannot listen on the address.
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

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets the fault for all open and future connections.
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
        // Zero linger makes the close send a reset. On failure the connection
        // is closed all the same.
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
    // Without TCP_NODELAY only small packets are delayed, so errors are ignored.
    let _ = client.set_nodelay(true).and(server.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let (up, down) = (fault.clone(), fault.clone());
    let reset_fault = async {
        // No error is expected: the sender lives as long as the proxy.
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

/// Forwards bytes in one direction until either side closes.
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
                // The bytes that were read are forwarded once the fault is cleared.
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
