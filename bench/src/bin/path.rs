//! Measures what a node adds to the path of a token, with real processes.

use std::net;
use std::time;

use anyhow::Context;
use arbutusfold::{client, document, id, upstream};
use arbutusfold_standin::fleet;
use bpaf::Bpaf;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use tokio::task;

const LAYERS: u32 = 4;

/// Largest time that a histogram holds, in microseconds.
const TIME_LIMIT_US: u64 = 60_000_000;

/// What a node adds to the path of a token.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum PathCommand {
    /// Times of tokens through a node against a direct call, in one run.
    #[bpaf(command)]
    Overhead {
        /// Concurrent streams.
        #[bpaf(long, fallback(64))]
        streams: usize,
        /// Tokens of each stream.
        #[bpaf(long, fallback(200))]
        tokens: u32,
        /// Time of one step of a runner in microseconds.
        #[bpaf(long, fallback(10_000))]
        step_us: u64,
    },
    /// Tokens that a node carries for each second of processor time.
    #[bpaf(command)]
    Throughput {
        /// Concurrent streams.
        #[bpaf(long, fallback(256))]
        streams: usize,
        /// Tokens of each stream.
        #[bpaf(long, fallback(4_000))]
        tokens: u32,
        /// Time of one step of a runner in microseconds.
        #[bpaf(long, fallback(4_000))]
        step_us: u64,
    },
}

/// Threads of the tool itself.
///
/// Named here so that `TOKIO_WORKER_THREADS` bounds only the processes that
/// the tool starts.
const TOOL_THREADS: usize = 4;

fn main() -> anyhow::Result<()> {
    let command = path_command().run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TOOL_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(run(command))
}

async fn run(command: PathCommand) -> anyhow::Result<()> {
    match command {
        PathCommand::Overhead {
            streams,
            tokens,
            step_us,
        } => measure_overhead(streams, tokens, step_us).await,
        PathCommand::Throughput {
            streams,
            tokens,
            step_us,
        } => measure_throughput(streams, tokens, step_us).await,
    }
}

async fn start_fleet(replicas: u32, step_us: u64) -> anyhow::Result<fleet::TestFleet> {
    let directory = std::env::temp_dir().join(format!("arbutusfold-path-{}", std::process::id()));
    let fleet = fleet::TestFleet::start(fleet::FleetOptions {
        nodes: 1,
        domains: 1,
        layers: LAYERS,
        ranges: 1,
        replicas,
        step: time::Duration::from_micros(step_us),
        answer_keep: time::Duration::from_millis(100),
        directory,
    })
    .await?;
    fleet.submit(0, &fleet.document()).await?;
    // The node must have heard every runner before load is spread over them.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    Ok(fleet)
}

/// Times of the tokens of one stream, counted from the sending of the request.
struct TokenTimes {
    since_start: Vec<time::Duration>,
}

/// Which way a request goes.
#[derive(Clone, Copy)]
enum PathWay {
    Node(net::SocketAddr),
    Direct(net::SocketAddr, id::IncarnationNumber),
}

async fn measure_overhead(streams: usize, tokens: u32, step_us: u64) -> anyhow::Result<()> {
    let fleet = start_fleet(4, step_us).await?;
    let mut ways = Vec::new();
    for (_, address, _) in &fleet.runners {
        let report: upstream::EngineReport = client::HttpClient::for_engines()
            .get_json(*address, upstream::REPORT_PATH)
            .await?;
        ways.push(PathWay::Direct(*address, report.incarnation));
    }
    let node = [PathWay::Node(fleet.nodes[0].callers)];
    // A short run of both warms connections and caches.
    run_streams(&ways, streams, 10).await?;
    run_streams(&node, streams, 10).await?;
    let direct = run_streams(&ways, streams, tokens).await?;
    let through = run_streams(&node, streams, tokens).await?;
    println!("{streams} streams of {tokens} tokens, step {step_us} us, times in us");
    println!("| time | quantile | direct | through the node | added |");
    println!("| --- | --- | --- | --- | --- |");
    for (name, pick) in [
        (
            "first token",
            first_token as fn(&TokenTimes) -> Vec<time::Duration>,
        ),
        ("between tokens", token_gaps),
    ] {
        let direct = quantiles(&direct, pick)?;
        let through = quantiles(&through, pick)?;
        for quantile in [0.5, 0.95, 0.99] {
            let direct = direct.value_at_quantile(quantile);
            let through = through.value_at_quantile(quantile);
            let added = through.cast_signed() - direct.cast_signed();
            println!("| {name} | {quantile} | {direct} | {through} | {added} |");
        }
    }
    Ok(())
}

async fn measure_throughput(streams: usize, tokens: u32, step_us: u64) -> anyhow::Result<()> {
    let fleet = start_fleet(6, step_us).await?;
    let node = [PathWay::Node(fleet.nodes[0].callers)];
    run_streams(&node, streams, 10).await?;
    let process = fleet.nodes[0].process.id();
    let before = processor_time(process)?;
    let began = tokio::time::Instant::now();
    run_streams(&node, streams, tokens).await?;
    let elapsed = began.elapsed();
    let spent = processor_time(process)? - before;
    let total = streams as f64 * f64::from(tokens);
    println!(
        "{total} tokens in {:.2} s: {:.0} tokens/s; node spent {:.2} s of processor time: {:.0} tokens/s a core",
        elapsed.as_secs_f64(),
        total / elapsed.as_secs_f64(),
        spent.as_secs_f64(),
        total / spent.as_secs_f64(),
    );
    Ok(())
}

/// Returns the processor time that a process has spent.
fn processor_time(process: u32) -> anyhow::Result<time::Duration> {
    let stat = procfs::process::Process::new(process.cast_signed())?.stat()?;
    let ticks = stat.utime + stat.stime;
    Ok(time::Duration::from_secs_f64(
        ticks as f64 / procfs::ticks_per_second() as f64,
    ))
}

async fn run_streams(
    ways: &[PathWay],
    streams: usize,
    tokens: u32,
) -> anyhow::Result<Vec<TokenTimes>> {
    let engines = client::HttpClient::for_engines();
    let services = client::HttpClient::for_services();
    let mut running = task::JoinSet::new();
    for stream in 0..streams {
        let way = ways[stream % ways.len()];
        let (engines, services) = (engines.clone(), services.clone());
        running.spawn(async move {
            let prompt = format!("stream {stream}");
            match way {
                PathWay::Node(address) => {
                    let request = node_request(address, &prompt, tokens)?;
                    time_tokens(&services, request, tokens, b"data: {").await
                }
                PathWay::Direct(address, incarnation) => {
                    let request = direct_request(address, incarnation, &prompt, tokens)?;
                    time_tokens(&engines, request, tokens, b"\n").await
                }
            }
        });
    }
    let mut times = Vec::new();
    while let Some(done) = running.join_next().await {
        times.push(done??);
    }
    Ok(times)
}

fn node_request(
    address: net::SocketAddr,
    prompt: &str,
    tokens: u32,
) -> anyhow::Result<http::Request<Full<Bytes>>> {
    let order = serde_json::json!({
        "model": "assistant", "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    Ok(
        http::Request::post(format!("http://{address}/v1/completions"))
            .header("authorization", format!("Bearer {}", fleet::CALLER_KEY))
            .body(Full::from(order.to_string()))?,
    )
}

fn direct_request(
    address: net::SocketAddr,
    incarnation: id::IncarnationNumber,
    prompt: &str,
    tokens: u32,
) -> anyhow::Result<http::Request<Full<Bytes>>> {
    let order = upstream::StageRequest {
        request: id::new_request_id(),
        attempt: 1,
        model: "assistant".to_owned(),
        prompt: prompt.to_owned(),
        delivered: Vec::new(),
        priority: document::RequestPriority::default(),
        max_tokens: tokens,
        route: vec![upstream::RouteStage {
            upstream: "direct".to_owned(),
            incarnation,
            address,
            layers: upstream::LayerRange {
                from: 0,
                to: LAYERS,
            },
        }],
        hop: 0,
    };
    let body = serde_json::to_vec(&order)?;
    Ok(
        http::Request::post(format!("http://{address}{}", upstream::RUN_PATH))
            .body(Full::from(body))?,
    )
}

/// Sends a request and notes when each token arrives, counted by `mark`.
async fn time_tokens(
    client: &client::HttpClient,
    request: http::Request<Full<Bytes>>,
    tokens: u32,
    mark: &[u8],
) -> anyhow::Result<TokenTimes> {
    let began = tokio::time::Instant::now();
    let response = client.send(request).await?;
    anyhow::ensure!(response.status() == 200, "answered {}", response.status());
    let mut body = response.into_body();
    let mut since_start = Vec::with_capacity(tokens as usize);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let count = data
            .windows(mark.len())
            .filter(|part| *part == mark)
            .count();
        since_start.extend(std::iter::repeat_n(began.elapsed(), count));
    }
    anyhow::ensure!(
        since_start.len() == tokens as usize,
        "{} tokens of {tokens}",
        since_start.len()
    );
    Ok(TokenTimes { since_start })
}

fn first_token(times: &TokenTimes) -> Vec<time::Duration> {
    times.since_start.first().copied().into_iter().collect()
}

fn token_gaps(times: &TokenTimes) -> Vec<time::Duration> {
    times
        .since_start
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect()
}

fn quantiles(
    times: &[TokenTimes],
    pick: fn(&TokenTimes) -> Vec<time::Duration>,
) -> anyhow::Result<Histogram<u64>> {
    let mut histogram = Histogram::new_with_bounds(1, TIME_LIMIT_US, 3)?;
    for time in times.iter().flat_map(pick) {
        let micros = u64::try_from(time.as_micros()).context("time out of range")?;
        histogram.saturating_record(micros.max(1));
    }
    Ok(histogram)
}
