//! Stand-in for the platform's metadata store.
//!
//! Its rows, versions and feed follow PROTOCOL.md. [`Store::copy`] and
//! [`Store::come_back`] are the drill of the page "New on our pages" of 2026-12-04: the
//! store comes back from an older copy, versions go back and are given out again, a read
//! from a version that it does not have gets 410, and `Store-Era` rises by one.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

type RowName = (String, String, String);

/// Rows as of one moment.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// Version and base64 content of each row; removed rows have no content.
    rows: BTreeMap<RowName, (u64, Option<String>)>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: Rows,
    era: u64,
    is_away: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    /// Starts a store on a free port of the loopback address.
    pub fn start() -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            era: 1,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: Condvar::new(),
                started: Instant::now(),
            }),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }

    /// Writes a row as the operator or a runner does; returns the version of the ack, or
    /// `None` while the store is away.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> Option<u64> {
        let mut state = self.lock();
        if state.is_away {
            return None;
        }
        state.rows.version += 1;
        let version = state.rows.version;
        let name = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| json::base64(value.as_bytes()));
        state.rows.rows.insert(name, (version, value));
        self.shared.changed.notify_all();
        Some(version)
    }

    /// Returns the version of the store.
    pub fn version(&self) -> u64 {
        self.lock().rows.version
    }

    /// Returns a copy of the rows.
    pub fn copy(&self) -> Rows {
        self.lock().rows.clone()
    }

    /// Makes the store unavailable: every call is answered with 503.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.shared.changed.notify_all();
    }

    /// Makes the store available again with the rows of an earlier copy; returns the era.
    pub fn come_back(&self, copy: Rows) -> u64 {
        let mut state = self.lock();
        state.rows = copy;
        state.era += 1;
        state.is_away = false;
        self.shared.changed.notify_all();
        state.era
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = self.lock().era.to_string();
            let fields = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            let mut writer = stream;
            if http::respond(&mut writer, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        if self.lock().is_away {
            return (503, "{}".to_owned());
        }
        let (path, query) = match request.target().split_once('?') {
            Some((path, query)) => (path, query),
            None => (request.target(), ""),
        };
        let text = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map_or(String::new(), |(_, value)| unescape(value))
        };
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path {
            "/v1/rows-get" => self.read(&text("table"), &text("part"), &text("from")),
            "/v1/rows-feed" => self.feed(&text("table"), number("after"), number("waitMs")),
            "/v1/rows-tx" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                match Json::parse(&body) {
                    Some(transaction) => self.commit(&transaction),
                    None => (400, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, state: &State, rows: &[String]) -> (u16, String) {
        let now = self.shared.started.elapsed().as_millis();
        let (rows, version) = (rows.join(","), state.rows.version);
        let body =
            format!("{{\"rows\":[{rows}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{now}}}");
        (200, body)
    }

    fn read(&self, table: &str, part: &str, from: &str) -> (u16, String) {
        let state = self.lock();
        let rows = state.rows.rows.iter().filter(|(name, (_, value))| {
            name.0 == table && name.1 == part && name.2.as_str() >= from && value.is_some()
        });
        let rows: Vec<_> = rows.map(row_text).collect();
        self.page(&state, &rows)
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            if state.is_away {
                return (503, "{}".to_owned());
            }
            if after > state.rows.version {
                return (410, "{}".to_owned());
            }
            let rows = state.rows.rows.iter();
            let changed = rows.filter(|(name, (version, _))| name.0 == table && *version > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, (version, _))| *version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let rows: Vec<_> = changed.into_iter().map(row_text).collect();
                return self.page(&state, &rows);
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, transaction: &Json) -> (u16, String) {
        let entries = |name: &str| transaction.get(name).map_or(&[][..], Json::list).to_vec();
        let name = |entry: &Json| {
            let text = |field: &str| entry.get(field).and_then(Json::text).unwrap_or_default();
            (
                text("table").to_owned(),
                text("part").to_owned(),
                text("key").to_owned(),
            )
        };
        let writes = entries("puts").into_iter().chain(entries("remove"));
        let mut tables = writes.map(|entry| name(&entry).0);
        if tables.any(|table| table == "op" || table == "servers") {
            return (403, "{}".to_owned());
        }
        let mut state = self.lock();
        let is_met = |entry: &Json| {
            let row = state.rows.rows.get(&name(entry));
            let known = row.filter(|(_, value)| value.is_some());
            let version = known.map_or(0, |(version, _)| *version);
            entry.get("ver").and_then(Json::number) == Some(version)
        };
        if !entries("expected").iter().all(is_met) {
            return (412, "{\"rows\":[]}".to_owned());
        }
        state.rows.version += 1;
        let version = state.rows.version;
        for entry in entries("puts") {
            let value = entry.get("value").and_then(Json::text);
            let value = Some(value.unwrap_or_default().to_owned());
            state.rows.rows.insert(name(&entry), (version, value));
        }
        for entry in entries("remove") {
            state.rows.rows.insert(name(&entry), (version, None));
        }
        self.shared.changed.notify_all();
        self.page(&state, &[])
    }
}

fn row_text((name, (version, value)): (&RowName, &(u64, Option<String>))) -> String {
    let (table, part, key) = name;
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},{content}}}",
        json::quote(table),
        json::quote(part),
        json::quote(key)
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits: Vec<_> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8(digits).unwrap_or_default();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
