//! Command-line options and the commands that call no other node.

use std::fs;
use std::io::{self, Read, Write};
use std::net;
use std::path;

use anyhow::Context;
use arbutusfold::gateway::review;
use arbutusfold::gateway::settings as gateway_settings;
use arbutusfold::{document, event, gateway, id, node, settings};
use arbutusfold_platform::store;
use bpaf::Bpaf;
use slog::Drain;
use tokio::signal::unix;
use tokio::sync::{mpsc, watch};

use crate::exit::{CommandError, ExitReason};
use crate::remote;

/// Interval at which a gateway reads its settings file to detect changes.
const RELOAD_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// Capacity of the log queue in lines; further lines are dropped and counted.
const LOG_QUEUE_LINES: usize = 1_024;

/// Router of pipelines over mixed accelerators.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum CliCommand {
    /// Run a node until SIGTERM or SIGINT
    #[bpaf(command)]
    Node {
        /// Settings file of the node
        #[bpaf(positional("SETTINGS"), complete_shell(bpaf::ShellComp::File { mask: None }))]
        settings: path::PathBuf,
    },
    /// Run a gateway on the users' platform until SIGTERM or SIGINT
    #[bpaf(command)]
    Gateway {
        /// Settings file of the gateway
        #[bpaf(positional("SETTINGS"), complete_shell(bpaf::ShellComp::File { mask: None }))]
        settings: path::PathBuf,
    },
    /// Validate settings and configuration documents and print all errors
    #[bpaf(command)]
    Check {
        /// Settings file of a node; may be repeated
        #[bpaf(long, argument("SETTINGS"), many)]
        settings: Vec<path::PathBuf>,
        /// Settings file of a gateway; may be repeated
        #[bpaf(long, argument("SETTINGS"), many)]
        gateway: Vec<path::PathBuf>,
        /// Configuration documents
        #[bpaf(positional("DOCUMENT"), many)]
        documents: Vec<path::PathBuf>,
    },
    /// Review a gateway's document before it is sent: errors, entries without effect,
    /// and what differs from the one in force
    #[bpaf(command)]
    Review {
        /// Document in force, to compare with
        #[bpaf(long("in-force"), argument("FILE"))]
        in_force: Option<path::PathBuf>,
        /// Print JSON
        #[bpaf(long)]
        json: bool,
        /// Document of gateways
        #[bpaf(positional("DOCUMENT"), complete_shell(bpaf::ShellComp::File { mask: None }))]
        document: path::PathBuf,
    },
    /// Submit or inspect the configuration
    #[bpaf(command)]
    Config {
        /// Subcommand
        #[bpaf(external)]
        config_command: ConfigCommand,
    },
    /// Print the audit trail of configuration changes as JSON, newest first
    #[bpaf(command)]
    Audit {
        /// Node that receives the request
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Print only versions before this one
        #[bpaf(long, argument("VERSION"))]
        before: Option<id::DocumentVersion>,
        /// Maximum number of entries
        #[bpaf(long, argument("COUNT"), fallback(50))]
        limit: usize,
    },
    /// Print the addresses that a node returns to a caller
    #[bpaf(command)]
    Addresses {
        /// Address on which a node serves callers
        #[bpaf(long, argument("ADDRESS"))]
        callers: net::SocketAddr,
        /// Name of the caller
        #[bpaf(long, argument("NAME"), fallback(String::new()))]
        caller: String,
    },
    /// Print recent events about a request, an upstream or a host
    #[bpaf(command)]
    Explain {
        /// Node that receives the request
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Request id, or name of an upstream or host
        #[bpaf(positional("SUBJECT"))]
        subject: String,
    },
    /// Read a key or token from standard input and print its digest
    #[bpaf(command)]
    Digest,
}

/// Subcommands of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum ConfigCommand {
    /// Submit a document that is based on a given version
    #[bpaf(command)]
    Submit {
        /// Node that receives the request
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Version on which the document is based; 0 for the first document
        #[bpaf(long, argument("VERSION"))]
        base: id::DocumentVersion,
        /// Configuration document
        #[bpaf(positional("DOCUMENT"))]
        document: path::PathBuf,
    },
    /// Print the document in force or a given version
    #[bpaf(command)]
    Show {
        /// Node that receives the request
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Version to print
        #[bpaf(long, argument("VERSION"))]
        version: Option<id::DocumentVersion>,
    },
    /// Print one line for each change, newest first
    #[bpaf(command)]
    History {
        /// Node that receives the request
        #[bpaf(external)]
        node_address: NodeAddress,
        /// Maximum number of changes
        #[bpaf(long, argument("COUNT"), fallback(20))]
        limit: usize,
    },
    /// Print the configuration version of each host
    #[bpaf(command)]
    Status {
        /// Node that receives the request
        #[bpaf(external)]
        node_address: NodeAddress,
    },
}

/// Operator address of a node and the token that it requires.
#[derive(Clone, Debug, Bpaf)]
pub struct NodeAddress {
    /// Address on which the node serves operators
    #[bpaf(long, env("ARBUTUSFOLD_NODE"), argument("ADDRESS"))]
    pub node: net::SocketAddr,
    /// File with the operator token; by default the token is read from ARBUTUSFOLD_TOKEN
    #[bpaf(long, argument("FILE"))]
    pub token_file: Option<path::PathBuf>,
}

/// Runs a command to completion.
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
        } => check_files(&settings, &gateway, &documents),
        CliCommand::Review {
            in_force,
            json,
            document,
        } => review_document(&document, in_force.as_deref(), json),
        CliCommand::Digest => print_digest(),
        CliCommand::Config { config_command } => block_on(remote::run_config(config_command)),
        CliCommand::Audit {
            node_address,
            before,
            limit,
        } => block_on(remote::audit(node_address, before, limit)),
        CliCommand::Addresses { callers, caller } => block_on(remote::addresses(callers, caller)),
        CliCommand::Explain {
            node_address,
            subject,
        } => block_on(remote::explain(node_address, subject)),
    }
}

/// Reads a UTF-8 file.
///
/// # Errors
///
/// If the file cannot be read or is not valid UTF-8.
pub fn read_file(path: &path::Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

/// Runs a future on a single-threaded runtime.
fn block_on(work: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(anyhow::Error::from)?;
    runtime.block_on(work)
}

fn check_files(
    settings: &[path::PathBuf],
    gateways: &[path::PathBuf],
    documents: &[path::PathBuf],
) -> Result<(), CommandError> {
    if settings.is_empty() && gateways.is_empty() && documents.is_empty() {
        let message =
            "nothing to check: pass a DOCUMENT, --settings=SETTINGS or --gateway=SETTINGS";
        return Err(CommandError::new(ExitReason::Usage, message));
    }
    let mut errors = Vec::new();
    for path in settings {
        let result = settings::parse_file(&path.display().to_string(), &read_file(path)?);
        errors.extend(result.err().map(|error| error.to_string()));
    }
    for path in gateways {
        let result = gateway_settings::parse_file(&path.display().to_string(), &read_file(path)?);
        errors.extend(result.err().map(|error| error.to_string()));
    }
    for path in documents {
        let result = document::parse_file(&path.display().to_string(), &read_file(path)?);
        errors.extend(result.err().map(|error| error.to_string()));
    }
    match errors.is_empty() {
        true => Ok(()),
        false => Err(CommandError::new(ExitReason::Refused, errors.join("\n"))),
    }
}

/// Prints the findings about a gateway's document; errors among them refuse it.
fn review_document(
    path: &path::Path,
    in_force: Option<&path::Path>,
    json: bool,
) -> Result<(), CommandError> {
    let document = read_document(path)?;
    let in_force = in_force.map(read_document).transpose()?;
    let found = review::review_bytes(&document, in_force.as_deref());
    let text = match json {
        true => serde_json::to_string_pretty(&found).map_err(anyhow::Error::from)? + "\n",
        false => found.to_string(),
    };
    io::stdout()
        .write_all(text.as_bytes())
        .map_err(anyhow::Error::from)?;
    match found.errors {
        0 => Ok(()),
        errors => {
            let message = format!("{}: errors: {errors}", path.display());
            Err(CommandError::new(ExitReason::Refused, message))
        }
    }
}

/// Reads a document up to just behind the longest that gateways read.
fn read_document(path: &path::Path) -> anyhow::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let read = fs::File::open(path).and_then(|file| {
        let mut file = file.take(store::VALUE_LIMIT_BYTES as u64 + 1);
        file.read_to_end(&mut bytes)
    });
    read.with_context(|| format!("cannot read {}", path.display()))?;
    Ok(bytes)
}

fn print_digest() -> Result<(), CommandError> {
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
    let logger = open_node_log(settings.log_json, &settings.name);
    let runtime = tokio::runtime::Runtime::new().map_err(anyhow::Error::from)?;
    Ok(runtime.block_on(serve(settings, logger))?)
}

async fn serve(settings: settings::NodeSettings, logger: slog::Logger) -> anyhow::Result<()> {
    Ok(node::run(settings, logger, count_stop_signals()?).await?)
}

/// Counts the stop signals (SIGTERM and SIGINT) that the process receives.
fn count_stop_signals() -> anyhow::Result<watch::Receiver<u32>> {
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
    let logger = open_gateway_log(&settings.name);
    // Hosts assign less than one core to a process, so more threads would only
    // add overhead.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(anyhow::Error::from)?;
    let path = path.to_owned();
    let work = async {
        let stop_signals = count_stop_signals()?;
        let reload = watch_settings(path, settings.clone(), logger.clone())?;
        Ok::<_, anyhow::Error>(gateway::run(settings, logger, stop_signals, reload).await?)
    };
    Ok(runtime.block_on(work)?)
}

/// Rereads the settings file on SIGHUP and at regular intervals, and sends
/// changed settings to the returned receiver.
///
/// If the file cannot be read or is invalid, the current settings stay in
/// force, and the error is recorded unless it equals the last recorded one.
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
        let mut current = settings;
        let mut last_error = String::new();
        let mut ticks = tokio::time::interval(RELOAD_INTERVAL);
        loop {
            tokio::select! {
                _ = hang_up.recv() => {}
                _ = ticks.tick() => {}
            }
            let file = path.display().to_string();
            let loaded = read_file(&path).map_err(|error| format!("{error:#}"));
            let loaded = loaded.and_then(|text| {
                gateway_settings::parse_file(&file, &text).map_err(|error| error.to_string())
            });
            match loaded {
                Ok(loaded) if loaded == current => {}
                Ok(loaded) => {
                    let detail = format!("seeds={:?}", loaded.seeds);
                    recorder.record(event::EventCode::SettingsReloaded, &name, detail);
                    current = loaded.clone();
                    if sender.send(loaded).await.is_err() {
                        return;
                    }
                }
                Err(error) if error == last_error => {}
                Err(error) => {
                    recorder.record(event::EventCode::SettingsRefused, &name, error.clone());
                    last_error = error;
                }
            }
        }
    });
    Ok(receiver)
}

/// Opens the log of a gateway, which is JSON on standard output.
///
/// A separate thread writes it and drops lines if its queue is full, so that
/// logging never blocks the node.
fn open_gateway_log(host: &str) -> slog::Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    slog::Logger::root(drain, slog::o!("host" => host.to_owned()))
}

/// Opens the log of a node on standard error.
fn open_node_log(json: bool, host: &str) -> slog::Logger {
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
