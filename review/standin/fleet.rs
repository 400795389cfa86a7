//! The project's own nodes as separate processes.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Program and first argument as in `run` of deploy/system.toml.
const PROGRAM: &str = "target/release/arbutusfold";

/// Time within which all nodes have to be ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A node.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Nodes that are ended when the fleet is dropped.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

/// Returns free ports of the loopback address.
fn free_ports(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: io::Result<Vec<_>> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

impl Fleet {
    /// Starts one node in each zone, with the settings of deploy/settings.jsonc filled in
    /// with the bounds of sites/novia-lima.toml.
    pub fn start(zones: &[&str], store: SocketAddr) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("arbutusfold-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            nodes: Vec::new(),
            folder: folder.clone(),
        };
        let ports = free_ports(5 * zones.len())?;
        let peers: Vec<_> = ports.chunks(5).map(|ports| ports[3]).collect();
        for (ports, zone) in ports.chunks(5).zip(zones) {
            let name = format!("front-{zone}-1");
            let quoted: Vec<_> = peers
                .iter()
                .take(3)
                .map(|peer| format!("\"{peer}\""))
                .collect();
            let settings = format!(
                "{{\"name\": \"{name}\", \"region\": \"peru-central\", \"domain\": \"{zone}\",\n\
                 \"callers\": \"{}\", \"ready\": \"{}\", \"directory\": \"{}\",\n\
                 \"peers\": \"{}\", \"metrics\": \"{}\", \"seeds\": [{}], \"store\": \"{store}\",\n\
                 \"peer_keys\": [\"6b1f0c52a79e4d3388f1c07d5be29a64f3c81b70d92e45a6b7c80e1f2a3d4c5b\"],\n\
                 \"wait_limit\": 64, \"descriptor_limit\": 4100, \"probe_stages\": true,\n\
                 \"drain_ms\": 2000, \"memory_mb\": 260, \"contact_ms\": 3000, \"stop_limit_s\": 8.0,\n\
                 \"retry_share\": 0.2, \"retry_extra\": 198.0, \"retry_window_s\": 10,\n\
                 \"share_demand\": true}}\n",
                ports[0],
                ports[1],
                ports[2],
                ports[3],
                ports[4],
                quoted.join(", ")
            );
            let path = folder.join(format!("{name}.jsonc"));
            std::fs::write(&path, settings)?;
            let mut node = Node {
                log: folder.join(format!("{name}.log")),
                name,
                callers: ports[0],
                ready: ports[1],
                settings: path,
                child: None,
            };
            node.start()?;
            fleet.nodes.push(node);
        }
        Ok(fleet)
    }

    /// Waits until all nodes say that they are ready; returns whether they did in time.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + START_LIMIT;
        self.nodes.iter().all(|node| {
            while !node.is_ready() {
                if Instant::now() >= deadline {
                    return false;
                }
                thread::sleep(Duration::from_millis(100));
            }
            true
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Node {
    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the id of the process, 0 if none runs.
    pub fn process(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let fields = [("Host", "ready")];
        let answer = http::call(self.ready, "GET", "/v1/ready", &fields, b"", limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}
