//! Settings of a node: JSON with comments, validated completely at start.

use std::net;
use std::time;

use derive_more::{Display, Error, From};
use jsonc_parser::ast;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::check;
use crate::id;
use crate::peer;
use crate::span;

/// Length of a peer key in bytes.
pub const PEER_KEY_BYTES: usize = 32;

/// Settings of a node.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the host, unique in the fleet.
    pub name: id::HostName,
    /// Region of the host.
    pub region: id::RegionName,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Address for callers' requests.
    pub callers: net::SocketAddr,
    /// Address for operators' requests.
    pub operators: net::SocketAddr,
    /// Address for messages from peers.
    pub peers: net::SocketAddr,
    /// Addresses of peers to contact at start.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Address of the platform's services.
    pub platform: net::SocketAddr,
    /// Hexadecimal keys for messages between peers. All of them verify; the
    /// first one signs.
    pub peer_keys: Vec<String>,
    /// Operators that may send requests to this node.
    #[serde(default)]
    pub operator_tokens: Vec<OperatorToken>,
    /// Time for which callers may cache a response to an address query.
    #[serde(default = "default_answer_keep")]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub answer_keep_ms: time::Duration,
    /// Longest duration of a graceful stop.
    #[serde(default = "default_stop_limit")]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub stop_limit_ms: time::Duration,
    /// Maximum size of a request body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: usize,
    /// Whether logs are JSON rather than formatted for a terminal.
    #[serde(default)]
    pub log_json: bool,
}

/// An operator's name and the digest of the operator's token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name under which the audit trail lists the operator.
    pub name: id::OperatorName,
    /// Hexadecimal digest of the token.
    pub digest: String,
}

/// Longest duration that settings may contain, in milliseconds.
const TIME_LIMIT_MS: u64 = 24 * 60 * 60 * 1_000;

/// Smallest allowed body limit in bytes; a lower one would reject ordinary prompts.
const BODY_LIMIT_MIN_BYTES: u64 = 1 << 10;

/// Largest allowed body limit in bytes, so that one caller cannot exhaust the
/// memory of a small host.
const BODY_LIMIT_MAX_BYTES: u64 = 64 << 20;

/// Fields of [`OperatorToken`].
pub const OPERATOR_TOKEN: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::Name),
    check::FieldSpec::required("digest", check::FieldKind::Hex),
];

/// Fields of [`NodeSettings`].
pub const NODE_SETTINGS: &[check::FieldSpec] = &[
    check::FieldSpec::required("name", check::FieldKind::Name),
    check::FieldSpec::required("region", check::FieldKind::Name),
    check::FieldSpec::required("domain", check::FieldKind::Name),
    check::FieldSpec::required("callers", check::FieldKind::Address),
    check::FieldSpec::required("operators", check::FieldKind::Address),
    check::FieldSpec::required("peers", check::FieldKind::Address),
    check::FieldSpec::optional(
        "seeds",
        check::FieldKind::List(0, &check::FieldKind::Address),
    ),
    check::FieldSpec::required("platform", check::FieldKind::Address),
    check::FieldSpec::required(
        "peer_keys",
        check::FieldKind::List(1, &check::FieldKind::Hex),
    ),
    check::FieldSpec::optional(
        "operator_tokens",
        check::FieldKind::List(0, &check::FieldKind::Record(OPERATOR_TOKEN)),
    ),
    check::FieldSpec::optional("answer_keep_ms", check::FieldKind::Number(1, TIME_LIMIT_MS)),
    check::FieldSpec::optional("stop_limit_ms", check::FieldKind::Number(1, TIME_LIMIT_MS)),
    check::FieldSpec::optional(
        "body_limit_bytes",
        check::FieldKind::Number(BODY_LIMIT_MIN_BYTES, BODY_LIMIT_MAX_BYTES),
    ),
    check::FieldSpec::optional("log_json", check::FieldKind::Flag),
];

fn default_answer_keep() -> time::Duration {
    time::Duration::from_secs(10)
}

fn default_stop_limit() -> time::Duration {
    time::Duration::from_secs(120)
}

fn default_body_limit() -> usize {
    1 << 20
}

/// Error for invalid settings.
#[derive(Clone, Debug, Display, Error, From)]
#[display("{report}")]
pub struct SettingsError {
    /// All validation errors with their positions.
    #[error(source)]
    pub report: check::CheckReport,
}

/// Parses settings from JSON with comments.
///
/// # Errors
///
/// [`SettingsError`] lists the position of every invalid value, what was found
/// there and what is allowed.
pub fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
    parse_file("settings", text)
}

/// Parses settings; `file` is the file name in error messages.
///
/// # Errors
///
/// [`SettingsError`] lists the position of every invalid value, what was found
/// there and what is allowed.
pub fn parse_file(file: &str, text: &str) -> Result<NodeSettings, SettingsError> {
    let value = check::parse(file, text, NODE_SETTINGS, check_settings)?;
    serde_json::from_value(value).map_err(|error| {
        let found = error.to_string();
        check::file_report(file, found, "settings of a node").into()
    })
}

fn check_settings(object: &ast::Object<'_>, context: &mut check::CheckContext<'_>) {
    let root = span::SpannedObject {
        object,
        path: String::new(),
    };
    let listeners: Vec<_> = ["callers", "operators", "peers"]
        .into_iter()
        .filter_map(|name| root.text(name))
        .collect();
    span::require_unique(context, &listeners, "an address of its own");
    let operators = root.objects("operator_tokens");
    let names = span::texts_of(&operators, "name");
    span::require_unique(context, &names, "each operator once");
    let digests = span::texts_of(&operators, "digest");
    span::require_unique(context, &digests, "a token of its own");
    span::require_unique(context, &root.texts("peer_keys"), "each key once");
}

/// Creates the message signer from hexadecimal peer keys and skips invalid ones.
pub fn peer_signer(keys: &[String]) -> peer::MessageSigner {
    let decoded = keys.iter().filter_map(|key| decode_key(key));
    peer::MessageSigner::new(decoded.collect())
}

/// Decodes a hexadecimal peer key.
fn decode_key(text: &str) -> Option<[u8; PEER_KEY_BYTES]> {
    blake3::Hash::from_hex(text)
        .ok()
        .map(|hash| *hash.as_bytes())
}
