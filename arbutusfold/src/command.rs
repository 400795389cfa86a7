//! The command line and the commands that need no other node.

use std::io;
use std::net;
use std::path;

use anyhow::Context;
use arbutusfold::gateway::settings as gateway_settings;
use arbutusfold::{document, event, gateway, id, node, settings};
use bpaf::Bpaf;
use slog::Drain;
use tokio::signal::unix;
use tokio::sync::{mpsc, watch};

use crate::exit::{CommandError, ExitReason};
use crate::remote;

/// Time between two looks whether the settings file changed.
const SETTINGS_PERIOD: std::time::Duration = std::time::Duration::from_secs(2);

/// Log lines that may wait to be written; more are dropped and counted.
const LOG_LINES: usize = 1_024;

/// Router of pipelines over mixed accelerators.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum CliCommand {
    /// Run a node until SIGTERM or SIGINT
    #[bpaf(command)]
    Node {
        /// File with the node's settings
        #[bpaf(positional("SETTINGS"), complete_shell(bpaf::ShellComp::File { mask: None }))]
        settings: path::PathBuf,
    },
    /// Run a node on the users' platform until SIGTERM or SIGINT
    #[bpaf(command)]
    Gateway {
        /// File with the gateway's settings
        #[bpaf(positional("SETTINGS"), complete_shell(bpaf::ShellComp::File { mask: None }))]
        settings: path::PathBuf,
    },
    /// Check settings and configuration documents and print every error
    #[bpaf(command)]
    Check {
        /// File with settings of a node; may be repeated
        #[bpaf(long, argument("SETTINGS"), many)]
        settings: Vec<path::PathBuf>,
        /// File with settings of a gateway; may be repeated
        #[bpaf(long, argument("SETTINGS"), many)]
        gateway: Vec<path::PathBuf>,
        /// Files with configuration documents
        #[bpaf(positional("DOCUMENT"), many)]
        documents: Vec<path::PathBuf>,
    },
    /// Submit and look at the configuration
    #[bpaf(command)]
    Config {
        /// What to do
        #[bpaf(external)]
        config_command: ConfigCommand,
    },
    /// Print who changed what, newest first, as JSON
    #[bpaf(command)]
    Audit {
        /// Node to ask
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Only versions before this one
        #[bpaf(long, argument("VERSION"))]
        before: Option<id::DocumentVersion>,
        /// Number of entries
        #[bpaf(long, argument("COUNT"), fallback(50))]
        limit: usize,
    },
    /// Print the addresses that a caller is given
    #[bpaf(command)]
    Addresses {
        /// Address on which a node serves callers
        #[bpaf(long, argument("ADDRESS"))]
        callers: net::SocketAddr,
        /// Name of the caller
        #[bpaf(long, argument("NAME"), fallback(String::new()))]
        caller: String,
    },
    /// Print the recent events about a request, an upstream or a host
    #[bpaf(command)]
    Explain {
        /// Node to ask
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Request id or name
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
    /// Print the digest of a key or token that is read from standard input
    #[bpaf(command)]
    Digest,
}

/// What to do with the configuration.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Submit a document made from a version
    #[bpaf(command)]
    Submit {
        /// Node to ask
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Version from which the document was made, 0 for the first
        #[bpaf(long, argument("VERSION"))]
        base: id::DocumentVersion,
        /// File with the document
        #[bpaf(positional("DOCUMENT"))]
        document: path::PathBuf,
    },
    /// Print the document in force, or another version
    #[bpaf(command)]
    Show {
        /// Node to ask
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Version to print
        #[bpaf(long, argument("VERSION"))]
        version: Option<id::DocumentVersion>,
    },
    /// Print one line for each change, newest first
    #[bpaf(command)]
    History {
        /// Node to ask
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Number of changes
        #[bpaf(long, argument("COUNT"), fallback(20))]
        limit: usize,
    },
    /// Print which hosts hold which version
    #[bpaf(command)]
    Status {
        /// Node to ask
        #[bpaf(external)]
        node_address: NodeAddress,
    },
}

/// A node's listener for operators and the token for it.
#[derive(Clone, Debug, Bpaf)]
pub struct NodeAddress {
    /// Address on which the node serves operators
    #[bpaf(long, env("ARBUTUSFOLD_NODE"), argument("ADDRESS"))]
    pub node: net::SocketAddr,
    /// File with the operator token, else it is taken from ARBUTUSFOLD_TOKEN
    #[bpaf(long, argument("FILE"))]
    pub token_file: Option<path::PathBuf>,
}

/// Runs a command.
///
/// # Errors
///
/// [`CommandError`] with the exit code.
pub fn run(command: CliCommand) -> Result<(), CommandError> {
    match command {
        CliCommand::Node { settings } => run_node(&settings),
        CliCommand::Gateway { settings } => run_gateway(&settings),
        CliCommand::Check {
            settings,
            gateway,
            documents,
        } => check(&settings, &gateway, &documents),
        CliCommand::Digest => digest(),
        CliCommand::Config { config_command } => wait(remote::run_config(config_command)),
        CliCommand::Audit {
            node_address,
            before,
            limit,
        } => wait(remote::audit(node_address, before, limit)),
        CliCommand::Addresses { callers, caller } => wait(remote::addresses(callers, caller)),
        CliCommand::Explain {
            node_address,
            subject,
        } => wait(remote::explain(node_address, subject)),
    }
}

/// Reads a text file.
///
/// # Errors
///
/// When the file cannot be read.
pub fn read_file(path: &path::Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn wait(work: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(anyhow::Error::from)?;
    runtime.block_on(work)
}

fn check(
    settings: &[path::PathBuf],
    gateways: &[path::PathBuf],
    documents: &[path::PathBuf],
) -> Result<(), CommandError> {
    if settings.is_empty() && gateways.is_empty() && documents.is_empty() {
        let message = "name a DOCUMENT, --settings=SETTINGS or --gateway=SETTINGS";
        return Err(CommandError::new(ExitReason::Usage, message));
    }
    let mut refused = Vec::new();
    for path in settings {
        let checked = settings::parse_file(&path.display().to_string(), &read_file(path)?);
        refused.extend(checked.err().map(|error| error.to_string()));
    }
    for path in gateways {
        let checked = gateway_settings::parse_file(&path.display().to_string(), &read_file(path)?);
        refused.extend(checked.err().map(|error| error.to_string()));
    }
    for path in documents {
        let checked = document::parse_file(&path.display().to_string(), &read_file(path)?);
        refused.extend(checked.err().map(|error| error.to_string()));
    }
    match refused.is_empty() {
        true => Ok(()),
        false => Err(CommandError::new(ExitReason::Refused, refused.join("\n"))),
    }
}

fn digest() -> Result<(), CommandError> {
    let mut line = String::new();
    io::stdin()
        .read_line(&mut line)
        .map_err(anyhow::Error::from)?;
    println!(
        "{}",
        document::digest_key(line.trim_end_matches(['\r', '\n']))
    );
    Ok(())
}

fn run_node(path: &path::Path) -> Result<(), CommandError> {
    let settings = settings::parse_file(&path.display().to_string(), &read_file(path)?)
        .map_err(|error| CommandError::new(ExitReason::Refused, error.to_string()))?;
    let logger = open_log(settings.log_json, &settings.name);
    let runtime = tokio::runtime::Runtime::new().map_err(anyhow::Error::from)?;
    Ok(runtime.block_on(serve(settings, logger))?)
}

async fn serve(settings: settings::NodeSettings, logger: slog::Logger) -> anyhow::Result<()> {
    Ok(node::run(settings, logger, count_stops()?).await?)
}

/// Counts the signals that ask the process to stop.
fn count_stops() -> anyhow::Result<watch::Receiver<u32>> {
    let (sender, receiver) = watch::channel(0);
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            sender.send_modify(|signals| *signals += 1);
        }
    });
    Ok(receiver)
}

fn run_gateway(path: &path::Path) -> Result<(), CommandError> {
    let settings = gateway_settings::parse_file(&path.display().to_string(), &read_file(path)?)
        .map_err(|error| CommandError::new(ExitReason::Refused, error.to_string()))?;
    let logger = open_platform_log(&settings.name);
    // The hosts give a process a part of one core, so more threads only cost.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(anyhow::Error::from)?;
    let path = path.to_owned();
    let work = async {
        let stops = count_stops()?;
        let reload = watch_settings(path, settings.clone(), logger.clone())?;
        Ok::<_, anyhow::Error>(gateway::run(settings, logger, stops, reload).await?)
    };
    Ok(runtime.block_on(work)?)
}

/// Reads the settings again on SIGHUP and when the file changed.
fn watch_settings(
    path: path::PathBuf,
    settings: gateway_settings::GatewaySettings,
    logger: slog::Logger,
) -> anyhow::Result<mpsc::Receiver<gateway_settings::GatewaySettings>> {
    let (sender, receiver) = mpsc::channel(1);
    let mut hang_up = unix::signal(unix::SignalKind::hangup())?;
    let recorder = event::EventRecorder::with_capacity(logger, 0);
    let name = settings.name.clone();
    tokio::spawn(async move {
        let mut held = settings;
        let mut refused = String::new();
        let mut ticks = tokio::time::interval(SETTINGS_PERIOD);
        loop {
            tokio::select! {
                _ = hang_up.recv() => {}
                _ = ticks.tick() => {}
            }
            let file = path.display().to_string();
            let fresh = read_file(&path).map_err(|error| format!("{error:#}"));
            let fresh = fresh.and_then(|text| {
                gateway_settings::parse_file(&file, &text).map_err(|error| error.to_string())
            });
            match fresh {
                Ok(fresh) if fresh == held => {}
                Ok(fresh) => {
                    let detail = format!("seeds={:?}", fresh.seeds);
                    recorder.record(event::EventCode::SettingsReloaded, &name, detail);
                    held = fresh.clone();
                    if sender.send(fresh).await.is_err() {
                        return;
                    }
                }
                Err(error) if error == refused => {}
                Err(error) => {
                    recorder.record(event::EventCode::SettingsRefused, &name, error.clone());
                    refused = error;
                }
            }
        }
    });
    Ok(receiver)
}

/// Opens the log of a gateway: JSON on the standard output, written by a
/// thread of its own that drops lines rather than let the node wait.
fn open_platform_log(host: &str) -> slog::Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    slog::Logger::root(drain, slog::o!("host" => host.to_owned()))
}

fn open_log(json: bool, host: &str) -> slog::Logger {
    let host = host.to_owned();
    if json {
        let drain = slog_json::Json::default(std::io::stderr()).fuse();
        let drain = slog_async::Async::new(drain).build().fuse();
        slog::Logger::root(drain, slog::o!("host" => host))
    } else {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = slog_term::CompactFormat::new(decorator).build().fuse();
        let drain = slog_async::Async::new(drain).build().fuse();
        slog::Logger::root(drain, slog::o!("host" => host))
    }
}
