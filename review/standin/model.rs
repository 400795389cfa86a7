//! Stand-in for runners of a model that is not split: a sound one, and one that sends
//! bytes without end.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of a runner's entry, as `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time to the first event of a sound answer.
const FIRST_EVENT: Duration = Duration::from_millis(300);

/// Time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Events of a sound answer.
const EVENTS: u32 = 20;

/// Bytes that the faulty runner sends at a time, and the pause after them: 1 MB/s.
const GARBAGE_BYTES: usize = 50_000;
const GARBAGE_PAUSE: Duration = Duration::from_millis(50);

/// Requests that a faulty runner spoils, of so many: 0.4, the usual share of `srv_grey`.
const SPOILED: u64 = 2;
const SPOILED_OF: u64 = 5;

/// A request that a runner answers with events.
#[derive(Clone, Debug)]
pub struct Taken {
    pub request: String,
}

/// Requests that runners answer with events.
pub type TakenRequests = Arc<Mutex<Vec<Taken>>>;

/// A runner; it works until the case ends.
#[derive(Debug)]
pub struct ModelRunner {
    id: String,
    zone: String,
    address: SocketAddr,
    born_ms: u64,
    sequence: AtomicU64,
    /// Whether it answers some requests with bytes without end.
    is_faulty: AtomicBool,
    /// Requests so far.
    turn: AtomicU64,
    store: Store,
    record: Record,
    taken: TakenRequests,
}

impl ModelRunner {
    /// Starts a sound runner on a free port and writes its entry from now on.
    pub fn start(
        id: &str,
        zone: &str,
        store: &Store,
        record: &Record,
        taken: &TakenRequests,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born_ms: since.map_or(0, |since| since.as_millis() as u64),
            sequence: AtomicU64::new(0),
            is_faulty: AtomicBool::new(false),
            turn: AtomicU64::new(0),
            store: store.clone(),
            record: record.clone(),
            taken: Arc::clone(taken),
        });
        let server = Arc::clone(&runner);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(&stream));
            }
        });
        let writer = Arc::clone(&runner);
        thread::spawn(move || {
            loop {
                writer.write_entry();
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    /// Makes the runner answer a part of the requests with bytes without end from now on.
    pub fn turn_faulty(&self) {
        self.is_faulty.store(true, Ordering::SeqCst);
    }

    fn write_entry(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"asistente-llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\
             \"slots\":192,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence},\
             \"born\":{},\"models\":[{{\"name\":\"m0\",\"version\":1}}]}}",
            self.address, self.zone, self.born_ms
        );
        self.store.put("servers", &self.id, Some(&entry));
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let mut writer = stream;
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message, writer: &mut &TcpStream) -> std::io::Result<()> {
        if request.method() == "GET" && request.target() == "/v1/report" {
            let report = format!(
                "{{\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\"kvUsed\":0,\
                 \"kvTotal\":100000,\"born\":{}}}",
                self.born_ms
            );
            return http::respond(writer, 200, &[], report.as_bytes());
        }
        let id = request.field("request-id").unwrap_or_default().to_owned();
        let expected = request.field("expect-instance");
        if id.is_empty() || expected.is_some_and(|expected| expected != self.id) {
            let fields = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            let status = if id.is_empty() { 400 } else { 421 };
            return http::respond(writer, status, &fields, b"");
        }
        let turn = self.turn.fetch_add(1, Ordering::SeqCst);
        let is_spoiled = turn % SPOILED_OF < SPOILED;
        match self.is_faulty.load(Ordering::SeqCst) && is_spoiled {
            true => self.send_garbage(&id, writer),
            false => self.send_events(&id, writer),
        }
    }

    fn send_events(&self, id: &str, writer: &mut &TcpStream) -> std::io::Result<()> {
        self.record.note(format!("run       {id} by {}", self.id));
        self.taken.lock().unwrap().push(Taken {
            request: id.to_owned(),
        });
        thread::sleep(FIRST_EVENT);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{}-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: token-{number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_PAUSE);
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Answers with a failure whose body has no end, until the caller closes.
    fn send_garbage(&self, id: &str, writer: &mut &TcpStream) -> std::io::Result<()> {
        self.record.note(format!("endless   {id} by {}", self.id));
        let started = Instant::now();
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\n\
             Response-Stamp: stamp-{}-{id}\r\nConnection: close\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        let garbage = vec![b'#'; GARBAGE_BYTES];
        let mut sent = 0;
        let error = loop {
            if let Err(error) = writer.write_all(&garbage) {
                break error;
            }
            sent += garbage.len();
            thread::sleep(GARBAGE_PAUSE);
        };
        self.record.note(format!(
            "closed    {id} by the caller after {} ms and {sent} bytes",
            started.elapsed().as_millis()
        ));
        Err(error)
    }
}
