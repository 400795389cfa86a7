//! Runs one stand-in as a process.

use std::net;

use arbutusfold_standin::{engine, platform, service};
use bpaf::Bpaf;

/// Stand-ins for what arbutusfold talks to.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum StandinCommand {
    /// Table service, object store, weight store and host list.
    #[bpaf(command)]
    Platform {
        /// Address to listen on.
        #[bpaf(long)]
        listen: net::SocketAddr,
    },
    /// Model engine that holds a range of layers.
    #[bpaf(command)]
    Runner {
        /// Address to listen on.
        #[bpaf(long)]
        listen: net::SocketAddr,
        /// Model to hold.
        #[bpaf(long)]
        model: String,
        /// Version of the model.
        #[bpaf(long, fallback("1".to_owned()))]
        version: String,
        /// First layer.
        #[bpaf(long)]
        from: u32,
        /// Layer after the last one.
        #[bpaf(long)]
        to: u32,
        /// Layers of the whole model.
        #[bpaf(long)]
        layers: u32,
        /// Time of one step in microseconds.
        #[bpaf(long, fallback(2_000))]
        step_us: u64,
        /// Tokens that pass in one step.
        #[bpaf(long, fallback(1_024))]
        batch: usize,
        /// Time to compute one token of a prompt, in microseconds.
        #[bpaf(long, fallback(0))]
        prefill_us: u64,
        /// Refuse orders with an old fencing number.
        #[bpaf(long, switch)]
        checks_fencing: bool,
    },
    /// Plain service that counts what it ran.
    #[bpaf(command)]
    Service {
        /// Address to listen on.
        #[bpaf(long)]
        listen: net::SocketAddr,
    },
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match standin_command().run() {
        StandinCommand::Platform { listen } => platform::run(listen).await,
        StandinCommand::Runner {
            listen,
            model,
            version,
            from,
            to,
            layers,
            step_us,
            batch,
            prefill_us,
            checks_fencing,
        } => {
            let options = engine::EngineOptions {
                model,
                version,
                layers: arbutusfold::upstream::LayerRange { from, to },
                model_layers: layers,
                step: std::time::Duration::from_micros(step_us),
                batch,
                prefill: std::time::Duration::from_micros(prefill_us),
                checks_fencing,
            };
            engine::run(listen, options).await
        }
        StandinCommand::Service { listen } => service::run(listen).await,
    }
}
