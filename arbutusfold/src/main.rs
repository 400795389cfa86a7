//! The command line of arbutusfold.

use std::path;
use std::process;

use anyhow::Context;
use arbutusfold::{document, node, settings};
use bpaf::Bpaf;
use slog::Drain;
use tokio::signal::unix;
use tokio::sync::watch;

/// Router of pipelines over mixed accelerators.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum CliCommand {
    /// Run a node until SIGTERM or SIGINT.
    #[bpaf(command)]
    Node {
        /// File with the node's settings.
        #[bpaf(positional("SETTINGS"))]
        settings: path::PathBuf,
    },
    /// Check a configuration document.
    #[bpaf(command)]
    Check {
        /// File with the document.
        #[bpaf(positional("DOCUMENT"))]
        document: path::PathBuf,
    },
    /// Print the digest of a key or token.
    #[bpaf(command)]
    Digest {
        /// The key or token.
        #[bpaf(positional("KEY"))]
        key: String,
    },
}

fn main() -> process::ExitCode {
    match run(cli_command().run()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutusfold: {error:#}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(command: CliCommand) -> anyhow::Result<()> {
    match command {
        CliCommand::Node { settings } => run_node(&settings),
        CliCommand::Check { document } => {
            document::parse_file(&document.display().to_string(), &read(&document)?)?;
            Ok(())
        }
        CliCommand::Digest { key } => {
            println!("{}", document::digest_key(&key));
            Ok(())
        }
    }
}

fn read(path: &path::Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn run_node(path: &path::Path) -> anyhow::Result<()> {
    let settings = settings::parse_file(&path.display().to_string(), &read(path)?)?;
    let logger = open_log(settings.log_json, &settings.name);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
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
        node::run(settings, logger, receiver).await?;
        Ok(())
    })
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
