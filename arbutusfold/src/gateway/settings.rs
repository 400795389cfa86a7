//! Settings of a gateway: JSON with comments, validated completely at start.

use std::net;
use std::time;

use jsonc_parser::ast;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::check;
use crate::id;
use crate::settings;
use crate::span;

/// Longest duration that settings may contain, in milliseconds.
const TIME_LIMIT_MS: f64 = 24.0 * 60.0 * 60.0 * 1_000.0;

/// Largest value of `retry_extra`.
const RETRY_LIMIT: f64 = 1e9;

/// Settings of a gateway.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the host, unique in the fleet.
    pub name: id::HostName,
    /// Region of the host.
    pub region: id::RegionName,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Address for callers' requests.
    pub callers: net::SocketAddr,
    /// Address for readiness checks of the platform.
    pub ready: net::SocketAddr,
    /// Address for address queries of callers.
    pub directory: net::SocketAddr,
    /// Address for messages from peers.
    pub peers: net::SocketAddr,
    /// Address for scraping metrics.
    pub metrics: net::SocketAddr,
    /// Addresses of peers to contact at start.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Hexadecimal keys for messages between peers. All of them verify; the
    /// first one signs.
    pub peer_keys: Vec<String>,
    /// Time for which callers may cache a response to an address query.
    #[serde(default = "default_answer_keep")]
    #[serde_as(as = "serde_with::DurationMilliSecondsWithFrac<f64>")]
    pub answer_keep_ms: time::Duration,
    /// Longest duration of a graceful stop.
    #[serde(default = "default_stop_limit")]
    #[serde_as(as = "serde_with::DurationSecondsWithFrac<f64>")]
    pub stop_limit_s: time::Duration,
    /// Time within which the loss of a dependency must be detected.
    #[serde(default = "default_contact")]
    #[serde_as(as = "serde_with::DurationMilliSecondsWithFrac<f64>")]
    pub contact_ms: time::Duration,
    /// Descriptors that the process may open; by default, what the system allows it.
    #[serde(default)]
    pub descriptor_limit: Option<usize>,
    /// Memory that the process may use, in MB; callers are bounded by a part of it if it
    /// is set.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Retries per request that may be sent to a service.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Retries beyond that share that the fleet may send to a service.
    #[serde(default)]
    pub retry_extra: f64,
    /// Time window over which retries are counted.
    #[serde(default = "default_retry_window")]
    #[serde_as(as = "serde_with::DurationSecondsWithFrac<f64>")]
    pub retry_window_s: time::Duration,
    /// Whether nodes tell each other their demand and the runners that failed.
    #[serde(default)]
    pub share_demand: bool,
    /// Whether the runners of a stream that falls silent are checked by connections,
    /// and those that do not answer replaced, before the stream is late.
    #[serde(default)]
    pub probe_stages: bool,
    /// Time for which a runner that leaves still serves. Streams that are expected to
    /// last longer are moved to other runners before; absent, they are not.
    #[serde(default)]
    #[serde_as(as = "Option<serde_with::DurationMilliSecondsWithFrac<f64>>")]
    pub drain_ms: Option<time::Duration>,
    /// Most requests that wait at this node for room; 0 if none does.
    #[serde(default)]
    pub wait_limit: usize,
}

/// Largest value of `wait_limit`. A waiting request holds its body in memory.
const WAIT_LIMIT_MAX: u64 = 65_536;

/// A gateway needs a few dozen descriptors for listeners, peers and the store.
const DESCRIPTORS: check::FieldKind = check::FieldKind::Number(128, 1 << 20);

/// Less than this leaves nothing for callers beside the state of a small fleet.
const MEMORY_MB: check::FieldKind = check::FieldKind::Number(32, 1 << 20);

const MILLISECONDS: check::FieldKind = check::FieldKind::Decimal(1.0, TIME_LIMIT_MS);
const SECONDS: check::FieldKind = check::FieldKind::Decimal(0.001, TIME_LIMIT_MS / 1_000.0);

/// Fields of [`GatewaySettings`].
pub const GATEWAY_SETTINGS: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::Name),
    check::FieldSpec::required("region", check::FieldKind::Name),
    check::FieldSpec::required("domain", check::FieldKind::Name),
    check::FieldSpec::required("callers", check::FieldKind::Address),
    check::FieldSpec::required("ready", check::FieldKind::Address),
    check::FieldSpec::required("directory", check::FieldKind::Address),
    check::FieldSpec::required("peers", check::FieldKind::Address),
    check::FieldSpec::required("metrics", check::FieldKind::Address),
    check::FieldSpec::optional(
        "seeds",
        check::FieldKind::List(0, &check::FieldKind::Address),
    ),
    check::FieldSpec::required("store", check::FieldKind::Address),
    check::FieldSpec::required(
        "peer_keys",
        check::FieldKind::List(1, &check::FieldKind::Hex),
    ),
    check::FieldSpec::optional("answer_keep_ms", MILLISECONDS),
    check::FieldSpec::optional("stop_limit_s", SECONDS),
    check::FieldSpec::optional("contact_ms", MILLISECONDS),
    check::FieldSpec::optional("descriptor_limit", DESCRIPTORS),
    check::FieldSpec::optional("memory_mb", MEMORY_MB),
    check::FieldSpec::optional("retry_share", check::FieldKind::Decimal(0.0, 10.0)),
    check::FieldSpec::optional("retry_extra", check::FieldKind::Decimal(0.0, RETRY_LIMIT)),
    check::FieldSpec::optional("retry_window_s", SECONDS),
    check::FieldSpec::optional("share_demand", check::FieldKind::Flag),
    check::FieldSpec::optional("probe_stages", check::FieldKind::Flag),
    check::FieldSpec::optional("drain_ms", MILLISECONDS),
    check::FieldSpec::optional("wait_limit", check::FieldKind::Number(0, WAIT_LIMIT_MAX)),
];

fn default_answer_keep() -> time::Duration {
    time::Duration::from_secs(2)
}

fn default_stop_limit() -> time::Duration {
    time::Duration::from_secs(8)
}

fn default_contact() -> time::Duration {
    time::Duration::from_secs(3)
}

fn default_retry_share() -> f64 {
    0.1
}

fn default_retry_window() -> time::Duration {
    time::Duration::from_secs(10)
}

/// Parses settings; `file` is the file name in error messages.
///
/// # Errors
///
/// [`settings::SettingsError`] lists the position of every invalid value, what
/// was found there and what is allowed.
pub fn parse_file(file: &str, text: &str) -> Result<GatewaySettings, settings::SettingsError> {
    let value = check::parse(file, text, GATEWAY_SETTINGS, check_settings)?;
    serde_json::from_value(value).map_err(|error| {
        let found = error.to_string();
        check::file_report(file, found, "settings of a gateway").into()
    })
}

fn check_settings(object: &ast::Object<'_>, context: &mut check::CheckContext<'_>) {
    let root = span::SpannedObject {
        object,
        path: String::new(),
    };
    let listeners: Vec<_> = ["callers", "ready", "directory", "peers", "metrics"]
        .into_iter()
        .filter_map(|name| root.text(name))
        .collect();
    span::require_unique(context, &listeners, "an address of its own");
    span::require_unique(context, &root.texts("peer_keys"), "each key once");
}
