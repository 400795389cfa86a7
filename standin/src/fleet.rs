//! Starts nodes and stand-ins as processes, for the demo and for tests.

use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time;

use anyhow::Context;
use arbutusfold::client;
use arbutusfold::document;
use nix::sys::signal;
use nix::unistd;

use crate::fault;

/// Operator token that fleets are started with.
pub const OPERATOR_TOKEN: &str = "operator-token";

/// Caller key that the documents of fleets hold.
pub const CALLER_KEY: &str = "caller-key";

/// Key for messages between the nodes of a fleet.
const PEER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Longest wait for a node's list of members.
const MEMBERS_LIMIT: time::Duration = time::Duration::from_millis(500);

/// First second byte of the loopback networks that fleets use.
const FIRST_NETWORK: u8 = 64;

/// Process ids that are told apart.
const PROCESS_NUMBERS: u32 = 128 << 8;

/// IP numbers that one process uses in turn.
const HOST_NUMBERS: u32 = 250;

/// Longest wait for the nodes of a fresh fleet to know each other.
const JOIN_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Longest wait for a process to become ready.
const READY_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Returns a loopback address that is free and given to nobody else.
///
/// A port that is free now may be given again before it is bound, so each
/// address lies on an IP number of its own.
///
/// # Errors
///
/// When the system gives no port.
pub fn free_address() -> anyhow::Result<net::SocketAddr> {
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    // Tests run as processes of their own, so their ids keep them apart.
    let process = process::id() % PROCESS_NUMBERS;
    let [_, _, high, low] = process.to_be_bytes();
    let next = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
    let host = net::Ipv4Addr::new(
        127,
        FIRST_NETWORK + high,
        low,
        (next % HOST_NUMBERS) as u8 + 1,
    );
    Ok(net::TcpListener::bind((host, 0))?.local_addr()?)
}

/// A process of a fleet, killed when dropped.
#[derive(Debug)]
pub struct FleetProcess {
    child: process::Child,
}

impl FleetProcess {
    /// Starts a program that lies beside the running one.
    ///
    /// # Errors
    ///
    /// When the program cannot be started.
    pub fn start(program: &str, arguments: &[String], log: process::Stdio) -> anyhow::Result<Self> {
        let path = beside(program)?;
        let child = process::Command::new(&path)
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", path.display()))?;
        Ok(Self { child })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// When the process is gone.
    pub fn signal(&self, signal: signal::Signal) -> anyhow::Result<()> {
        let id = unistd::Pid::from_raw(self.child.id().cast_signed());
        Ok(signal::kill(id, signal)?)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program in the directory of the running one or above it.
fn beside(program: &str) -> anyhow::Result<path::PathBuf> {
    let running = std::env::current_exe()?;
    running
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(program))
        .find(|path| path.is_file())
        .with_context(|| format!("{program} is not built"))
}

/// A node of a fleet.
#[derive(Debug)]
pub struct FleetNode {
    /// Name of its host.
    pub name: String,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for operators.
    pub operators: net::SocketAddr,
    /// Address for peers.
    pub peers: net::SocketAddr,
    /// File with its settings.
    pub settings: path::PathBuf,
    /// Its process.
    pub process: FleetProcess,
}

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of failure domains over which the nodes are spread.
    pub domains: usize,
    /// Layers of the model.
    pub layers: u32,
    /// Ranges into which the layers are cut.
    pub ranges: u32,
    /// Runners for each range.
    pub replicas: u32,
    /// Time of one step of a runner.
    pub step: time::Duration,
    /// How long callers may keep an address answer.
    pub answer_keep: time::Duration,
    /// Directory for settings and logs.
    pub directory: path::PathBuf,
}

/// Nodes and stand-ins as processes.
#[derive(Debug)]
pub struct TestFleet {
    /// Options that it was started with.
    pub options: FleetOptions,
    /// Address of the platform.
    pub platform: net::SocketAddr,
    /// The platform.
    pub platform_process: FleetProcess,
    /// Nodes.
    pub nodes: Vec<FleetNode>,
    /// Runners: name, address and process, range by range.
    pub runners: Vec<(String, net::SocketAddr, FleetProcess)>,
    /// Address of the plain service.
    pub service: net::SocketAddr,
    /// The plain service.
    pub service_process: FleetProcess,
}

impl TestFleet {
    /// Starts the stand-ins and the nodes and waits until the nodes answer.
    ///
    /// # Errors
    ///
    /// When a process cannot be started or does not answer in time.
    pub async fn start(options: FleetOptions) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&options.directory)?;
        let platform = free_address()?;
        let platform_process = start_standin("platform", platform, &[])?;
        let service = free_address()?;
        let service_process = start_standin("service", service, &[])?;
        let runners = start_runners(&options)?;
        let mut fleet = Self {
            options,
            platform,
            platform_process,
            nodes: Vec::new(),
            runners,
            service,
            service_process,
        };
        await_http(platform, "/commits").await?;
        for index in 0..fleet.options.nodes {
            let node = fleet.start_node(index)?;
            fleet.nodes.push(node);
        }
        for node in &fleet.nodes {
            await_http(node.operators, "/health").await?;
        }
        Ok(fleet)
    }

    /// Starts nodes over three failure domains and waits until all know each other.
    ///
    /// # Errors
    ///
    /// When a process cannot be started or the nodes do not meet in time.
    pub async fn start_joined(name: &str, nodes: usize) -> anyhow::Result<Self> {
        let directory = std::env::temp_dir().join(format!("arbutusfold-{name}-{}", process::id()));
        let fleet = Self::start(FleetOptions {
            nodes,
            domains: 3,
            layers: 6,
            ranges: 2,
            replicas: 2,
            step: time::Duration::from_millis(1),
            answer_keep: time::Duration::from_secs(1),
            directory,
        })
        .await?;
        fleet.submit(0, &fleet.document()).await?;
        fleet.await_members(JOIN_LIMIT).await?;
        Ok(fleet)
    }

    /// Starts a node at new addresses, seeded with the nodes that run.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn start_node(&self, index: usize) -> anyhow::Result<FleetNode> {
        let name = format!("entry-{index}");
        let callers = free_address()?;
        let operators = free_address()?;
        let peers = free_address()?;
        let seeds: Vec<_> = self.nodes.iter().map(|node| node.peers).collect();
        let settings = serde_json::json!({
            "name": name,
            "region": "peru-central",
            "domain": format!("pe-{}", index % self.options.domains),
            "callers": callers,
            "operators": operators,
            "peers": peers,
            "seeds": seeds,
            "platform": self.platform,
            "peer_keys": [PEER_KEY],
            "operator_tokens": [{
                "name": "fleet",
                "digest": document::digest_key(OPERATOR_TOKEN),
            }],
            "answer_keep_ms": self.options.answer_keep.as_millis() as u64,
            "log_json": true,
        });
        let path = self.options.directory.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let log = std::fs::File::create(self.options.directory.join(format!("{name}.log")))?;
        let arguments = ["node".to_owned(), path.display().to_string()];
        let process = FleetProcess::start("arbutusfold", &arguments, log.into())?;
        Ok(FleetNode {
            name,
            callers,
            operators,
            peers,
            settings: path,
            process,
        })
    }

    /// Starts a node and waits until it may serve callers.
    ///
    /// # Errors
    ///
    /// When it cannot be started or is not ready in time.
    pub async fn add_node(&mut self, index: usize) -> anyhow::Result<()> {
        let node = self.start_node(index)?;
        let operators = node.operators;
        self.nodes.push(node);
        await_http(operators, "/ready").await
    }

    /// Waits until every node knows just the nodes of the fleet as serving.
    ///
    /// Returns how long that took.
    ///
    /// # Errors
    ///
    /// When they do not within `limit`.
    pub async fn await_members(&self, limit: time::Duration) -> anyhow::Result<time::Duration> {
        let begun = tokio::time::Instant::now();
        let mut names: Vec<_> = self.nodes.iter().map(|node| node.name.clone()).collect();
        names.sort_unstable();
        for node in &self.nodes {
            loop {
                let seen = serving_members(node.operators).await;
                if matches!(&seen, Ok(seen) if *seen == names) {
                    break;
                }
                anyhow::ensure!(
                    begun.elapsed() < limit,
                    "{} knows {seen:?} instead of {names:?}",
                    node.name
                );
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
        }
        Ok(begun.elapsed())
    }

    /// Returns a document that describes the fleet's upstreams.
    pub fn document(&self) -> serde_json::Value {
        let options = &self.options;
        let names: Vec<_> = self.runners.iter().map(|(name, _, _)| name).collect();
        let mut upstreams: Vec<_> = self
            .runners
            .iter()
            .enumerate()
            .map(|(index, (name, address, _))| {
                serde_json::json!({
                    "name": name, "address": address,
                    "domain": format!("pe-{}", index % options.domains),
                    "accelerator": "standin",
                    "capacity_layers": options.layers.div_ceil(options.ranges),
                    "checks_fencing": true,
                })
            })
            .collect();
        upstreams.push(serde_json::json!({
            "name": "booking-0", "address": self.service, "domain": "pe-0",
        }));
        serde_json::json!({
            "models": [{"name": "assistant", "layers": options.layers, "version": "1"}],
            "pipelines": [{
                "name": "assistant", "model": "assistant",
                "upstreams": names, "replicas": options.replicas,
            }],
            "upstreams": upstreams,
            "services": [{
                "name": "booking", "upstreams": ["booking-0"],
                "non_idempotent": [{"method": "POST", "path": "/deposits"}],
            }],
            "organisations": [{
                "name": "novia-lima",
                "key_digests": [document::digest_key(CALLER_KEY)],
                "weight": 1,
            }],
        })
    }

    /// Submits a document through a node and waits until every node holds it.
    ///
    /// # Errors
    ///
    /// When the document is refused or does not spread in time.
    pub async fn submit(&self, base: u64, document: &serde_json::Value) -> anyhow::Result<u64> {
        let node = self.nodes.first().context("the fleet has no node")?;
        let path = format!("/v1/config?base={base}");
        let answer = call(
            node.operators,
            http::Method::POST,
            &path,
            OPERATOR_TOKEN,
            &[],
            document.to_string(),
        )
        .await?;
        anyhow::ensure!(
            answer.0 == 200,
            "submit answered {}: {}",
            answer.0,
            answer.1
        );
        let answer: serde_json::Value = serde_json::from_str(&answer.1)?;
        for node in &self.nodes {
            await_http(node.operators, "/ready").await?;
        }
        answer["version"]
            .as_u64()
            .context("no version in the answer")
    }
}

fn start_runners(
    options: &FleetOptions,
) -> anyhow::Result<Vec<(String, net::SocketAddr, FleetProcess)>> {
    let width = options.layers.div_ceil(options.ranges);
    let mut runners = Vec::new();
    for range in 0..options.ranges {
        for replica in 0..options.replicas {
            let address = free_address()?;
            let arguments = [
                ("--model", "assistant".to_owned()),
                ("--from", (range * width).to_string()),
                (
                    "--to",
                    ((range + 1) * width).min(options.layers).to_string(),
                ),
                ("--layers", options.layers.to_string()),
                ("--step-us", options.step.as_micros().to_string()),
            ];
            let flat: Vec<_> = arguments
                .into_iter()
                .flat_map(|(flag, value)| [flag.to_owned(), value])
                .collect();
            let process = start_standin("runner", address, &flat)?;
            runners.push((format!("runner-{range}-{replica}"), address, process));
        }
    }
    Ok(runners)
}

fn start_standin(
    kind: &str,
    address: net::SocketAddr,
    more: &[String],
) -> anyhow::Result<FleetProcess> {
    let mut arguments = vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
    arguments.extend_from_slice(more);
    FleetProcess::start("arbutusfold-standin", &arguments, process::Stdio::null())
}

/// Sends one call and returns its status and body.
///
/// # Errors
///
/// When no answer came.
pub async fn call(
    address: net::SocketAddr,
    method: http::Method,
    path: &str,
    token: &str,
    headers: &[(&str, &str)],
    body: String,
) -> anyhow::Result<(u16, String)> {
    let mut request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::AUTHORIZATION, format!("Bearer {token}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(http_body_util::Full::new(bytes::Bytes::from(body)))?;
    let response = client::HttpClient::for_services().send(request).await?;
    let status = response.status().as_u16();
    let body = client::read_body(response.into_body()).await?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the names of the hosts that a node knows as serving.
///
/// # Errors
///
/// When the node does not answer.
pub async fn serving_members(operators: net::SocketAddr) -> anyhow::Result<Vec<String>> {
    let method = http::Method::GET;
    let asked = call(
        operators,
        method,
        "/v1/members",
        OPERATOR_TOKEN,
        &[],
        String::new(),
    );
    let (status, body) = tokio::time::timeout(MEMBERS_LIMIT, asked).await??;
    anyhow::ensure!(status == 200, "members answered {status}");
    let answer: serde_json::Value = serde_json::from_str(&body)?;
    let members = answer["members"].as_array().context("no members")?;
    Ok(members
        .iter()
        .filter(|member| member["phase"] == "Serving")
        .filter_map(|member| member["name"].as_str().map(str::to_owned))
        .collect())
}

/// Sets the faults of a stand-in.
///
/// # Errors
///
/// When the stand-in does not take them.
pub async fn set_faults(address: net::SocketAddr, plan: &fault::FaultPlan) -> anyhow::Result<()> {
    let body = serde_json::to_string(plan)?;
    let (status, _) = call(
        address,
        http::Method::POST,
        fault::FAULT_PATH,
        "",
        &[],
        body,
    )
    .await?;
    anyhow::ensure!(status == 200, "the stand-in answered {status}");
    Ok(())
}

/// Waits until a path answers with success.
///
/// # Errors
///
/// When it does not in time.
pub async fn await_http(address: net::SocketAddr, path: &str) -> anyhow::Result<()> {
    let limit = tokio::time::Instant::now() + READY_LIMIT;
    loop {
        let answer = call(address, http::Method::GET, path, "", &[], String::new()).await;
        if matches!(answer, Ok((200, _))) {
            return Ok(());
        }
        anyhow::ensure!(
            tokio::time::Instant::now() < limit,
            "{address}{path} is not ready"
        );
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}
