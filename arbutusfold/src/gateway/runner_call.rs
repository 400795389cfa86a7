//! Calls to runners: fetching reports and sending orders.

use std::time as std_time;

use arbutusfold_platform::{link, order, runner};
use bytes::Bytes;
use http_body_util::Full;
use tokio::time;

use crate::gateway::dial;

/// Longest duration of a call to a runner.
const CALL_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Longest report of a runner in bytes.
const REPORT_LIMIT_BYTES: usize = 256 << 10;

/// Attempts to get an answer from a runner that closes its connections.
const CHECK_ATTEMPTS: u32 = 3;

/// Pause between two such attempts.
const CHECK_PAUSE: std_time::Duration = std_time::Duration::from_millis(100);

/// Fetches a runner's report within `timeout`.
///
/// # Errors
///
/// Returns the cause when no valid report arrives in time.
pub async fn report(
    dialer: &dyn dial::RunnerDialer,
    address: std::net::SocketAddr,
    timeout: std_time::Duration,
) -> Result<runner::RunnerReport, String> {
    let request = order::encode_report_call(address).map_err(|error| error.to_string())?;
    let timeout = timeout.min(CALL_TIMEOUT);
    let call = async {
        let opened = dial::open_link(dialer, address, timeout).await;
        let mut dialed = opened.map_err(|error| error.to_string())?;
        let answer = read_report(&mut dialed.link, request).await;
        answer.map_err(|error| error.to_string())
    };
    let body = time::timeout(timeout, call)
        .await
        .map_err(|_| "no answer in time".to_owned())??;
    runner::decode_report(&body).map_err(|error| error.to_string())
}

async fn read_report(
    link: &mut link::HttpLink,
    request: http::Request<Full<Bytes>>,
) -> Result<Bytes, link::LinkError> {
    let response = link.send(request).await?;
    link::read_body(response.into_body(), REPORT_LIMIT_BYTES).await
}

/// What a call to a runner shows of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSign {
    /// It answers.
    Exists,
    /// It no longer exists: nothing accepts connections at its address, each one is closed
    /// without an answer, or the answer states a later start.
    Gone,
    /// The same, but this node may be cut off from all runners.
    Doubtful,
    /// It does not answer, which shows nothing.
    Silent,
}

/// Calls a runner whose process started at `started_ms` and may have ended.
///
/// A runner that is silent after it accepted a connection exists. What only this
/// node finds, while it may be cut off from all runners, shows nothing.
pub async fn find_process(
    dialer: &dyn dial::RunnerDialer,
    address: std::net::SocketAddr,
    started_ms: u64,
    timeout: std_time::Duration,
) -> ProcessSign {
    let mut is_confirmed = false;
    for _ in 0..CHECK_ATTEMPTS {
        let Ok(request) = order::encode_report_call(address) else {
            return ProcessSign::Silent;
        };
        let began_at = time::Instant::now();
        let mut dialed = match dial::open_link(dialer, address, timeout).await {
            Ok(dialed) => dialed,
            Err(error) if error.is_confirmed => return ProcessSign::Gone,
            // It was refused, or reset as soon as it was accepted.
            Err(_) if began_at.elapsed() < timeout => return ProcessSign::Doubtful,
            Err(_) => return ProcessSign::Silent,
        };
        let answer = read_report(&mut dialed.link, request);
        match time::timeout(timeout, answer).await {
            Err(_) => return ProcessSign::Silent,
            Ok(Ok(body)) => {
                let report = runner::decode_report(&body).ok();
                let reported = report.and_then(|report| report.started_ms);
                let is_later =
                    started_ms != 0 && reported.is_some_and(|reported| reported != started_ms);
                return match is_later {
                    true => ProcessSign::Gone,
                    false => ProcessSign::Exists,
                };
            }
            // A runner with too many connections closes new ones, too.
            Ok(Err(error)) => {
                is_confirmed |= dialed.via.is_some() && !error.is_way_lost();
                time::sleep(CHECK_PAUSE).await;
            }
        }
    }
    match is_confirmed || dialer.reaches_other(address, timeout).await {
        true => ProcessSign::Gone,
        false => ProcessSign::Doubtful,
    }
}

/// Returns whether the process of a runner that started at `started_ms` is shown to exist
/// no longer; see [`find_process`].
pub async fn is_gone(
    dialer: &dyn dial::RunnerDialer,
    address: std::net::SocketAddr,
    started_ms: u64,
    timeout: std_time::Duration,
) -> bool {
    let sign = find_process(dialer, address, started_ms, timeout).await;
    sign == ProcessSign::Gone
}

/// Sends an order to the runner with this id.
///
/// # Errors
///
/// Returns the cause when it is unknown whether the runner received the order;
/// it may still take effect later.
pub async fn order(
    dialer: &dyn dial::RunnerDialer,
    address: std::net::SocketAddr,
    id: &str,
    order: &order::RunnerOrder,
    guard: order::OrderGuard,
) -> Result<order::OrderAnswer, String> {
    let request = order::encode(address, id, order, guard).map_err(|error| error.to_string())?;
    let call = async {
        let Ok(mut dialed) = dial::open_link(dialer, address, CALL_TIMEOUT).await else {
            // Without a connection the order cannot have reached the runner.
            return Ok(order::OrderAnswer::NotSent);
        };
        let response = dialed.link.send(request).await?;
        Ok::<_, link::LinkError>(order::decode(response.status()))
    };
    match time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}
