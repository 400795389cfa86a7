//! The command line and the commands that need no other node.

use std::io;
use std::net;
use std::path;

use anyhow::Context;
use arbutusfold::{document, id, node, settings};
use bpaf::Bpaf;
use slog::Drain;
use tokio::signal::unix;
use tokio::sync::watch;

use crate::exit::{CommandError, ExitReason};
use crate::remote;

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
    /// Check settings and configuration documents and print every error
    #[bpaf(command)]
    Check {
        /// File with settings of a node; may be repeated
        #[bpaf(long, argument("SETTINGS"), many)]
        settings: Vec<path::PathBuf>,
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
        CliCommand::Check {
            settings,
            documents,
        } => check(&settings, &documents),
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
pub fn read(path: &path::Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn wait(work: impl Future<Output = Result<(), CommandError>>) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(anyhow::Error::from)?;
    runtime.block_on(work)
}

fn check(settings: &[path::PathBuf], documents: &[path::PathBuf]) -> Result<(), CommandError> {
    if settings.is_empty() && documents.is_empty() {
        let message = "name a DOCUMENT or --settings=SETTINGS";
        return Err(CommandError::new(ExitReason::Usage, message));
    }
    let mut refused = Vec::new();
    for path in settings {
        let checked = settings::parse_file(&path.display().to_string(), &read(path)?);
        refused.extend(checked.err().map(|error| error.to_string()));
    }
    for path in documents {
        let checked = document::parse_file(&path.display().to_string(), &read(path)?);
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
    let settings = settings::parse_file(&path.display().to_string(), &read(path)?)
        .map_err(|error| CommandError::new(ExitReason::Refused, error.to_string()))?;
    let logger = open_log(settings.log_json, &settings.name);
    let runtime = tokio::runtime::Runtime::new().map_err(anyhow::Error::from)?;
    Ok(runtime.block_on(serve(settings, logger))?)
}

async fn serve(settings: settings::NodeSettings, logger: slog::Logger) -> anyhow::Result<()> {
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
    Ok(node::run(settings, logger, receiver).await?)
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
