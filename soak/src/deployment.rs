//! A fleet of gateway processes in front of stand-ins.

use std::net;
use std::path;
use std::sync::atomic;
use std::time;

use arbutusfold_platform_standin::{caller, operator, runner, server, store};

use crate::plan;
use crate::process;
use crate::proxy;

/// Number of layers of the model.
const LAYERS: u32 = 80;

/// Failure domains, assigned to runners and gateways in turn.
const DOMAINS: [&str; plan::DOMAIN_COUNT] = ["a", "b"];

/// API key of the only organisation.
pub const KEY: &str = "soak-key";

/// Name of the only organisation.
pub const ORGANISATION: &str = "house";

/// Time limit for the fleet to become ready.
const START_LIMIT: time::Duration = time::Duration::from_secs(20);

/// A gateway with its proxy to the store.
pub struct GatewayNode {
    /// Name and addresses.
    pub spec: process::GatewaySpec,
    /// The running process; the lock is held while it is stopped, restarted or
    /// suspended.
    pub process: tokio::sync::Mutex<Option<process::GatewayProcess>>,
    /// Proxy to the store.
    pub store: proxy::LoopbackProxy,
}

/// Gateways, runners and a store on loopback addresses.
pub struct SoakDeployment {
    /// Gateway program.
    pub program: path::PathBuf,
    /// Folder for settings and logs.
    pub folder: path::PathBuf,
    /// The gateways.
    pub nodes: Vec<GatewayNode>,
    /// The store.
    pub store: store::StoreStandin,
    _store_server: server::StandinServer,
    /// The runners; those of the plain service come first.
    pub fleet: runner::RunnerFleet,
    /// Proxies to the runners, in the order of the runners; none if they are
    /// reached directly.
    pub proxies: Vec<proxy::LoopbackProxy>,
    document_count: atomic::AtomicU64,
}

impl SoakDeployment {
    /// Starts the processes; `subnet` selects their loopback addresses.
    ///
    /// # Errors
    ///
    /// When a stand-in cannot listen or a process cannot be started.
    pub async fn start(
        program: &path::Path,
        folder: &path::Path,
        subnet: u8,
        size: plan::SoakSize,
        retries: process::RetryLimit,
    ) -> anyhow::Result<Self> {
        Self::start_within(program, folder, subnet, size, retries, None).await
    }

    /// Starts the processes with settings that bound their memory, in MB.
    ///
    /// # Errors
    ///
    /// As [`start`](Self::start).
    pub async fn start_within(
        program: &path::Path,
        folder: &path::Path,
        subnet: u8,
        size: plan::SoakSize,
        retries: process::RetryLimit,
        memory_mb: Option<usize>,
    ) -> anyhow::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let ip = |node: usize| net::Ipv4Addr::new(127, 90, subnet, node as u8 + 1);
        let any_port = |last: u8| net::SocketAddr::from(([127, 90, subnet, last], 0));
        let store = store::StoreStandin::default();
        let store_server = store.serve(any_port(200)).await?;
        let fleet = runner::RunnerFleet::new(store.clone(), LAYERS);
        let mut proxies = Vec::new();
        for index in 0..size.runners {
            let plain = index < size.plain_runners;
            let spec = runner::RunnerSpec {
                id: format!("i-{index:02}"),
                service: if plain { "plain" } else { "model" }.to_owned(),
                domain: DOMAINS[index % DOMAINS.len()].to_owned(),
                card: (!plain).then(|| "card".to_owned()),
            };
            if !size.proxied {
                fleet.start(spec, any_port(201), None).await?;
                continue;
            }
            // The proxy needs the runner's address before the runner listens, so a
            // free port is reserved first.
            let listener = std::net::TcpListener::bind(any_port(201))?;
            let address = listener.local_addr()?;
            drop(listener);
            let proxy = proxy::LoopbackProxy::start(any_port(202), address).await?;
            fleet.start(spec, address, Some(proxy.address())).await?;
            proxies.push(proxy);
        }
        let seeds: Vec<_> = (0..size.nodes.min(3)).map(ip).collect();
        let mut nodes = Vec::new();
        for node in 0..size.nodes {
            let proxy = proxy::LoopbackProxy::start(any_port(203), store_server.address()).await?;
            let spec = process::GatewaySpec {
                name: format!("front-{node}"),
                domain: DOMAINS[node % DOMAINS.len()].to_owned(),
                ip: ip(node),
                store: proxy.address(),
                seeds: seeds.clone(),
                retries,
                memory_mb,
            };
            let process = process::GatewayProcess::start(program, &spec, folder)?;
            nodes.push(GatewayNode {
                spec,
                process: tokio::sync::Mutex::new(Some(process)),
                store: proxy,
            });
        }
        let deployment = Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            nodes,
            store,
            _store_server: store_server,
            fleet,
            proxies,
            document_count: atomic::AtomicU64::new(0),
        };
        deployment.put_document();
        Ok(deployment)
    }

    /// Cuts the paths from a gateway to all runners, or heals them.
    ///
    /// # Errors
    ///
    /// When the kernel does not take a proxy's packet filter.
    pub fn set_cut(&self, node: usize, cut: Option<proxy::PathCut>) -> std::io::Result<()> {
        let source = self.nodes[node].spec.ip;
        let mut proxies = self.proxies.iter();
        proxies.try_for_each(|proxy| proxy.set_cut(source, cut))
    }

    /// Writes the next version of the document, which adds one route and keeps
    /// all earlier ones.
    pub fn put_document(&self) {
        let version = 1 + self.document_count.fetch_add(1, atomic::Ordering::SeqCst);
        self.write_document(version);
    }

    /// Writes again what the operator and the runners wrote, as they do after the store
    /// came back from an older copy.
    pub fn write_again(&self) {
        self.write_document(self.document_count());
        self.fleet.publish_all();
    }

    fn write_document(&self, version: u64) {
        operator::put_document(
            &self.store,
            &operator::DocumentSpec {
                version,
                layers: LAYERS,
                organisation: ORGANISATION,
                key: KEY,
            },
        );
    }

    /// Returns the number of documents written so far.
    pub fn document_count(&self) -> u64 {
        self.document_count.load(atomic::Ordering::SeqCst)
    }

    /// Starts each gateway again whose process ended by itself, as the platform
    /// does, and prints how it ended.
    async fn restart_ended(&self) -> anyhow::Result<()> {
        for (index, node) in self.nodes.iter().enumerate() {
            let ended = {
                let mut slot = node.process.lock().await;
                slot.as_mut().map(process::GatewayProcess::try_wait)
            };
            if let Some(status) = ended.transpose()?.flatten() {
                eprintln!("{} ended by itself: {status}", node.spec.name);
                self.replace(index).await?;
            }
        }
        Ok(())
    }

    /// Waits until all layers are held and every gateway is ready.
    ///
    /// # Errors
    ///
    /// When that takes longer than `START_LIMIT`.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = tokio::time::Instant::now() + START_LIMIT;
        while tokio::time::Instant::now() < deadline {
            self.restart_ended().await?;
            let mut ready = self.fleet.is_covered();
            for node in &self.nodes {
                ready = ready && caller::is_ready(node.spec.ready()).await;
            }
            if ready {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        anyhow::bail!("the fleet was not ready within {START_LIMIT:?}")
    }

    /// Waits until every gateway serves reads and streams. They learn a moment after
    /// the runners which layers these hold.
    ///
    /// # Errors
    ///
    /// When that takes longer than `START_LIMIT`.
    pub async fn wait_serving(&self) -> anyhow::Result<()> {
        let deadline = tokio::time::Instant::now() + START_LIMIT;
        for node in &self.nodes {
            for kind in [caller::CallKind::Get, caller::CallKind::Stream] {
                let request = format!("start-{kind:?}-{}", node.spec.name);
                let call = || caller::call(node.spec.callers(), request.clone(), kind, KEY);
                while call().await.outcome != caller::CallOutcome::Served {
                    anyhow::ensure!(
                        tokio::time::Instant::now() < deadline,
                        "{} did not serve within {START_LIMIT:?}",
                        node.spec.name
                    );
                    tokio::time::sleep(time::Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }

    /// Kills a gateway, if it runs, and starts a new process in its place.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub async fn replace(&self, node: usize) -> anyhow::Result<()> {
        let node = &self.nodes[node];
        let mut slot = node.process.lock().await;
        if let Some(mut process) = slot.take() {
            process.kill();
        }
        *slot = Some(process::GatewayProcess::start(
            &self.program,
            &node.spec,
            &self.folder,
        )?);
        Ok(())
    }
}
