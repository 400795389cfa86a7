//! Runners that write the bytes of their answers themselves.

#![allow(clippy::unwrap_used)]
#![allow(dead_code)]

use std::io;
use std::net;
use std::sync;

use arbutusfold_platform_standin::{operator, store};
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net as tokio_net;

/// Starts a runner whose connections are answered by `answer`, which gets the head of the
/// request and the connection; returns its address.
pub async fn start<F>(
    subnet: u8,
    answer: impl Fn(String, tokio_net::TcpStream) -> F + Send + Sync + 'static,
) -> net::SocketAddr
where
    F: Future<Output = io::Result<()>> + Send,
{
    let any_port = net::SocketAddr::from(([127, 90, subnet, 201], 0));
    let listener = tokio_net::TcpListener::bind(any_port).await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = sync::Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = sync::Arc::clone(&answer);
            // A node may close the connection at any time.
            tokio::spawn(async move {
                let head = read_head(&mut stream).await?;
                answer(head, stream).await
            });
        }
    });
    address
}

async fn read_head(stream: &mut tokio_net::TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Returns the value of a header of a request.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (field, value) = line.split_once(": ")?;
        field.eq_ignore_ascii_case(name).then_some(value)
    })
}

/// Returns the path of a request.
pub fn path(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or_default()
}

/// Returns the status line and the headers with which a runner answers the request `id`,
/// without those that state the length.
pub fn stamped(status: u16, id: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nResponse-Stamp: {id}\r\n")
}

/// Returns the report of a runner that does nothing.
pub fn report() -> String {
    let body = json!({ "stage": "both", "models": [], "born": 1, "sequence": 0 }).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns the document's route below a prefix to a service.
pub fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({ "name": prefix, "hostname": operator::HOST, "prefix": prefix, "type": kind,
        "timeoutMs": 6_000, "goalMs": 500, "gapAimMs": 200, "service": service,
        "maxAttempts": 2, "resumable": kind == "streaming" })
}

/// Writes the entry of a runner with the further fields `extra`.
pub fn put_entry(
    store: &store::StoreStandin,
    id: &str,
    service: &str,
    address: net::SocketAddr,
    extra: &Value,
) {
    let mut entry = json!({ "service": service, "address": address.to_string(), "zone": "a",
        "version": "v1", "slots": 64, "coldLeftMs": 0, "state": "ready", "born": 1,
        "sequence": 1 });
    for (name, value) in extra.as_object().into_iter().flatten() {
        entry[name] = value.clone();
    }
    store.put("servers", id, Some(entry.to_string().into_bytes()));
}
