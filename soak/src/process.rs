//! Starts one gateway process, and signals and kills it by its process id.

use std::fs;
use std::net;
use std::path;
use std::process;
use std::time;

use anyhow::Context;
use nix::sys::signal;
use nix::unistd;

/// Peer key that all gateways of a soak test share.
const PEER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Limit for a graceful stop in the gateway's settings, in seconds.
const STOP_LIMIT_SECONDS: u64 = 4;

/// Ports of every gateway, each on its own loopback address.
const CALLERS_PORT: u16 = 8_001;
const READY_PORT: u16 = 8_002;
const DIRECTORY_PORT: u16 = 8_003;
const PEERS_PORT: u16 = 8_004;
const METRICS_PORT: u16 = 8_005;

/// Limit on the retries of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Retries per request.
    pub share: f64,
    /// Retries beyond that share.
    pub extra: f64,
}

impl Default for RetryLimit {
    fn default() -> Self {
        Self {
            share: 0.2,
            extra: 200.0,
        }
    }
}

/// Name and addresses of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySpec {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Loopback address that only this gateway listens on.
    pub ip: net::Ipv4Addr,
    /// Address at which the gateway reaches the store.
    pub store: net::SocketAddr,
    /// Loopback addresses of the gateways that it contacts to join the fleet.
    pub seeds: Vec<net::Ipv4Addr>,
    /// Limit on retries.
    pub retries: RetryLimit,
    /// Memory that the process may use, in MB, if its settings tell.
    pub memory_mb: Option<usize>,
}

impl GatewaySpec {
    /// Returns the address on which it serves callers.
    pub fn callers(&self) -> net::SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    /// Returns the address of its readiness endpoint.
    pub fn ready(&self) -> net::SocketAddr {
        (self.ip, READY_PORT).into()
    }

    /// Returns the address of its directory.
    pub fn directory(&self) -> net::SocketAddr {
        (self.ip, DIRECTORY_PORT).into()
    }

    /// Returns the address of its metrics.
    pub fn metrics(&self) -> net::SocketAddr {
        (self.ip, METRICS_PORT).into()
    }

    fn settings(&self) -> String {
        let seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:{PEERS_PORT}\""))
            .collect();
        let ip = self.ip;
        let memory = self
            .memory_mb
            .map(|size| format!(", \"memory_mb\": {size}"));
        let memory = memory.unwrap_or_default();
        format!(
            r#"{{"name": "{}", "region": "loopback", "domain": "{}",
            "callers": "{ip}:{CALLERS_PORT}", "ready": "{ip}:{READY_PORT}",
            "directory": "{ip}:{DIRECTORY_PORT}", "peers": "{ip}:{PEERS_PORT}",
            "metrics": "{ip}:{METRICS_PORT}", "seeds": [{}], "store": "{}",
            "peer_keys": ["{PEER_KEY}"], "stop_limit_s": {STOP_LIMIT_SECONDS},
            "retry_share": {}, "retry_extra": {}{memory}}}"#,
            self.name,
            self.domain,
            seeds.join(", "),
            self.store,
            self.retries.share,
            self.retries.extra
        )
    }
}

/// A running gateway; dropping it kills the process.
#[derive(Debug)]
pub struct GatewayProcess {
    child: process::Child,
    log_path: path::PathBuf,
}

impl GatewayProcess {
    /// Starts a gateway and appends its output to a log file in `folder`.
    ///
    /// # Errors
    ///
    /// When the settings or the log cannot be written, or the program cannot be
    /// started.
    pub fn start(
        program: &path::Path,
        spec: &GatewaySpec,
        folder: &path::Path,
    ) -> anyhow::Result<Self> {
        let settings = folder.join(format!("{}.jsonc", spec.name));
        fs::write(&settings, spec.settings()).context("cannot write the gateway's settings")?;
        let log_path = folder.join(format!("{}.log", spec.name));
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_path)?;
        let child = process::Command::new(program)
            .arg("gateway")
            .arg(&settings)
            .stdin(process::Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        Ok(Self { child, log_path })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// When the process no longer exists.
    pub fn signal(&self, signal: signal::Signal) -> anyhow::Result<()> {
        let id = unistd::Pid::from_raw(i32::try_from(self.child.id())?);
        signal::kill(id, signal).context("cannot send the signal to the gateway")
    }

    /// Returns the exit status if the process has exited.
    ///
    /// # Errors
    ///
    /// When the operating system cannot report the status.
    pub fn try_wait(&mut self) -> anyhow::Result<Option<process::ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for the process to exit, at most for `limit`.
    pub async fn wait(&mut self, limit: time::Duration) -> Option<process::ExitStatus> {
        let deadline = tokio::time::Instant::now() + limit;
        while tokio::time::Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        None
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the path of its log file.
    pub fn log_path(&self) -> &path::Path {
        &self.log_path
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
