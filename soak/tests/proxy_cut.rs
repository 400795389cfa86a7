//! Cuts of the path from one source address through a proxy.

#![allow(clippy::unwrap_used)]

use std::io;
use std::net;
use std::time;

use arbutusfold_soak::proxy::{self, PathCut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;

const CUT_SOURCE: net::Ipv4Addr = net::Ipv4Addr::new(127, 0, 0, 11);
const OTHER_SOURCE: net::Ipv4Addr = net::Ipv4Addr::new(127, 0, 0, 12);

/// Time after which bytes that did not come count as held back.
const WAIT: time::Duration = time::Duration::from_millis(200);

/// Starts a proxy to a server that returns what it receives.
async fn start() -> proxy::LoopbackProxy {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = socket.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    proxy::LoopbackProxy::start(any_port, target).await.unwrap()
}

async fn connect(
    proxy: &proxy::LoopbackProxy,
    source: net::Ipv4Addr,
) -> io::Result<tokio_net::TcpStream> {
    let socket = tokio_net::TcpSocket::new_v4()?;
    socket.bind((source, 0).into())?;
    let connected = tokio::time::timeout(WAIT, socket.connect(proxy.address())).await;
    connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Sends a few bytes and reads them back.
async fn echo(socket: &mut tokio_net::TcpStream) -> io::Result<()> {
    socket.write_all(b"ping").await?;
    let mut answer = [0; 4];
    let read = tokio::time::timeout(WAIT, socket.read_exact(&mut answer)).await;
    read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map(|_| ())
}

/// Guards against cuts that do not do what their names say, or that touch other
/// sources, so that tests with them show nothing.
#[tokio::test]
async fn cut_concerns_only_its_source_and_does_what_it_is_called() {
    let timed_out = Some(io::ErrorKind::TimedOut);
    let reset = Some(io::ErrorKind::ConnectionReset);
    // What becomes of open connections, of connecting, and of new connections.
    let expected = [
        (PathCut::Hang, timed_out, timed_out, timed_out),
        (PathCut::Reset, reset, None, reset),
        (PathCut::Refuse, None, None, reset),
        (PathCut::OneWay, timed_out, None, timed_out),
    ];
    for (cut, open, connecting, new) in expected {
        let proxy = start().await;
        let mut old = connect(&proxy, CUT_SOURCE).await.unwrap();
        let mut other = connect(&proxy, OTHER_SOURCE).await.unwrap();
        echo(&mut old).await.unwrap();
        echo(&mut other).await.unwrap();
        proxy.set_cut(CUT_SOURCE, Some(cut)).unwrap();
        let seen = echo(&mut old).await.err().map(|error| error.kind());
        assert_eq!(seen, open, "{cut:?}, open connection");
        match connect(&proxy, CUT_SOURCE).await {
            Ok(mut socket) => {
                assert_eq!(None, connecting, "{cut:?}, connecting");
                let seen = echo(&mut socket).await.err().map(|error| error.kind());
                assert_eq!(seen, new, "{cut:?}, new connection");
            }
            Err(error) => assert_eq!(Some(error.kind()), connecting, "{cut:?}, connecting"),
        }
        echo(&mut other).await.unwrap();
        echo(&mut connect(&proxy, OTHER_SOURCE).await.unwrap())
            .await
            .unwrap();
        proxy.set_cut(CUT_SOURCE, None).unwrap();
        echo(&mut connect(&proxy, CUT_SOURCE).await.unwrap())
            .await
            .unwrap();
        let sources = proxy.arrivals();
        let from_cut = sources
            .iter()
            .filter(|arrival| arrival.source == CUT_SOURCE);
        let from_cut = from_cut.count();
        let reached = if cut == PathCut::OneWay { 3 } else { 2 };
        assert_eq!(from_cut, reached, "{cut:?}");
    }
}
