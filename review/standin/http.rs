//! Minimal HTTP/1.1 over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest head or body that is read, in bytes.
const SIZE_LIMIT: usize = 8 << 20;

/// A request or response: first line, header fields and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header field; names are compared without regard to case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request: path and query.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn malformed(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.take(64 << 10).read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| malformed("head is not text"))
}

/// Reads the first line and the header fields; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut message = Message {
        first_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| malformed("no field"))?;
        message
            .fields
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body that is chunked or has a length. A response without either ends with its
/// connection.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    let chunked = message.field("transfer-encoding").is_some();
    let length = message.field("content-length").map(str::parse::<usize>);
    if chunked {
        loop {
            let line = read_line(reader)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| malformed("chunk"))?;
            if size > SIZE_LIMIT {
                return Err(malformed("chunk is too long"));
            }
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    match length {
        Some(Ok(length)) if length <= SIZE_LIMIT => {
            message.body.resize(length, 0);
            reader.read_exact(&mut message.body)
        }
        Some(_) => Err(malformed("length")),
        None if to_end => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// Reads a whole request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Writes a response with a body of known length.
pub fn respond(
    stream: &mut impl Write,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// How a call ended that got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The connection was not opened, so nothing was sent.
    NotConnected,
    /// The connection ended without a complete response.
    Closed,
    /// There was no complete response in time.
    TimedOut,
}

/// Sends one request on a connection of its own and reads the whole response.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, CallFault> {
    let connect = TcpStream::connect_timeout(&to, Duration::from_secs(1));
    let stream = connect.map_err(|_| CallFault::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    let fault = |error: io::Error| match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => CallFault::TimedOut,
        _ => CallFault::Closed,
    };
    (&stream).write_all(&bytes).map_err(fault)?;
    let mut reader = BufReader::new(&stream);
    let mut response = read_head(&mut reader)
        .map_err(fault)?
        .ok_or(CallFault::Closed)?;
    read_body(&mut reader, &mut response, true).map_err(fault)?;
    Ok(response)
}
