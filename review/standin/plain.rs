//! Stand-in for runners of a plain service.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of a runner's entry, as `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub service: String,
}

/// Requests that all runners ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A runner; it works until the case ends.
#[derive(Debug)]
pub struct PlainRunner {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born_ms: u64,
    sequence: AtomicU64,
    is_leaving: AtomicBool,
    store: Store,
    record: Record,
    runs: Runs,
}

impl PlainRunner {
    /// Starts a runner on a free port and writes its entry from now on.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
        runs: &Runs,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born_ms: since.map_or(0, |since| since.as_millis() as u64),
            sequence: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            store: store.clone(),
            record: record.clone(),
            runs: Arc::clone(runs),
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

    /// Writes the entry; returns the version of the ack.
    pub fn write_entry(&self) -> Option<u64> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let state = match self.is_leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\
             \"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        );
        self.store.put("servers", &self.id, Some(&entry))
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
        if request.method() == "GET" && request.target() == "/health" {
            return http::respond(writer, 200, &[("Instance-Id", &self.id)], b"");
        }
        if request.method() == "GET" && request.target() == "/v1/report" {
            let report = format!(
                "{{\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\"born\":{}}}",
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
        let tenant = request.field("tenant").unwrap_or("-").to_owned();
        self.record.note(format!(
            "run       {id} by {} of {} tenant={tenant} {}",
            self.id, self.service, request.first_line
        ));
        self.runs.lock().unwrap().push(Run {
            request: id.clone(),
            service: self.service.clone(),
        });
        thread::sleep(WORK);
        let stamp = format!("stamp-{}-{id}", self.id);
        let fields = [
            ("Request-Id", id.as_str()),
            ("Response-Stamp", stamp.as_str()),
        ];
        let body = format!("{} {id}\n", self.service);
        http::respond(writer, 200, &fields, body.as_bytes())
    }
}
