//! A caller's connection that is kept for many requests, with control over each
//! byte that is sent.

#![allow(clippy::unwrap_used)]
#![allow(dead_code)]

use std::io;
use std::net;
use std::time;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;

/// Longest time for opening a connection.
const CONNECT_LIMIT: time::Duration = time::Duration::from_secs(1);

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChannelAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header lines without their ends.
    pub head: Vec<String>,
    /// Body without the encoding of its transfer.
    pub body: String,
}

impl ChannelAnswer {
    /// Returns the value of a header, if there is one.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.iter();
        let mut fields = lines.filter_map(|line| line.split_once(": "));
        let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }
}

/// An open connection to a node.
#[derive(Debug)]
pub struct KeptChannel {
    stream: tokio::io::BufReader<tokio_net::TcpStream>,
}

impl KeptChannel {
    /// Opens a connection.
    pub async fn open(node: net::SocketAddr) -> io::Result<Self> {
        let opened = tokio::time::timeout(CONNECT_LIMIT, tokio_net::TcpStream::connect(node));
        let stream = opened.await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: tokio::io::BufReader::new(stream),
        })
    }

    /// Opens a connection whose receive buffer is as small as the system allows.
    pub async fn open_narrow(node: net::SocketAddr) -> io::Result<Self> {
        let socket = tokio_net::TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(1)?;
        let stream = tokio::time::timeout(CONNECT_LIMIT, socket.connect(node)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: tokio::io::BufReader::new(stream),
        })
    }

    /// Sends bytes.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends a request and reads the answer to it.
    pub async fn ask(&mut self, request: &str) -> io::Result<ChannelAnswer> {
        self.send(request.as_bytes()).await?;
        self.read_answer().await
    }

    /// Reads a complete answer; an answer that ends early is an error.
    pub async fn read_answer(&mut self) -> io::Result<ChannelAnswer> {
        let (status, head) = self.read_head().await?;
        let mut answer = ChannelAnswer {
            status,
            head,
            body: String::new(),
        };
        let length = answer.header("content-length").map(|text| text.parse());
        let body = match length {
            Some(length) => {
                let mut body = vec![0; length.map_err(io::Error::other)?];
                self.stream.read_exact(&mut body).await?;
                body
            }
            None => {
                let mut body = Vec::new();
                while let Some(chunk) = self.read_chunk().await? {
                    body.extend(chunk);
                }
                body
            }
        };
        answer.body = String::from_utf8(body).map_err(io::Error::other)?;
        Ok(answer)
    }

    /// Reads the status and the headers of an answer.
    pub async fn read_head(&mut self) -> io::Result<(u16, Vec<String>)> {
        let first = self.read_line().await?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or_else(|| io::Error::other(format!("no status: {first:?}")))?;
        let mut head = Vec::new();
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                return Ok((status, head));
            }
            head.push(line);
        }
    }

    /// Reads a chunk of a body, `None` at its end.
    pub async fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let length = self.read_line().await?;
        let length = usize::from_str_radix(&length, 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; length];
        self.stream.read_exact(&mut chunk).await?;
        self.read_line().await?;
        Ok((length > 0).then_some(chunk))
    }

    async fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.stream.read_line(&mut line).await?;
        match line.strip_suffix("\r\n") {
            Some(line) => Ok(line.to_owned()),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
