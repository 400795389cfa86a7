//! Settings of one process: JSON with comments, checked whole at start.

use std::net;
use std::time;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::id;

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
    /// Address on which callers are served.
    pub callers: net::SocketAddr,
    /// Address on which operators are served.
    pub operators: net::SocketAddr,
    /// Address on which peers are heard.
    pub peers: net::SocketAddr,
    /// Addresses of peers to meet first.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// Address of the platform's services.
    pub platform: net::SocketAddr,
    /// Keys for messages between peers in hexadecimal; the first one signs.
    pub peer_keys: Vec<String>,
    /// Digests of operator tokens in hexadecimal.
    #[serde(default)]
    pub operator_tokens: Vec<String>,
    /// How long callers may keep an address answer.
    #[serde(default = "default_answer_keep")]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub answer_keep_ms: time::Duration,
    /// Longest time a graceful stop may take.
    #[serde(default = "default_stop_limit")]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub stop_limit_ms: time::Duration,
    /// Longest request body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: usize,
    /// Whether logs are JSON rather than for a terminal.
    #[serde(default)]
    pub log_json: bool,
}

fn default_answer_keep() -> time::Duration {
    time::Duration::from_secs(10)
}

fn default_stop_limit() -> time::Duration {
    time::Duration::from_secs(120)
}

fn default_body_limit() -> usize {
    1 << 20
}

/// Why settings were refused.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The text is not JSON with comments.
    #[display("settings are not valid JSON: {reason}")]
    Syntax {
        /// What the parser found, with its place.
        reason: String,
    },
    /// A field is missing, unknown or of another type.
    #[display("settings do not fit: {reason}")]
    Shape {
        /// What was found and what is allowed.
        reason: String,
    },
}

/// Parses settings from JSON with comments.
///
/// # Errors
///
/// [`SettingsError`] names what was found and what is allowed.
pub fn parse(text: &str) -> Result<NodeSettings, SettingsError> {
    let value: serde_json::Value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| SettingsError::Syntax {
            reason: error.to_string(),
        })?;
    serde_json::from_value(value).map_err(|error| SettingsError::Shape {
        reason: error.to_string(),
    })
}

/// Decodes a peer key from hexadecimal.
pub fn decode_key(text: &str) -> Option<[u8; PEER_KEY_BYTES]> {
    blake3::Hash::from_hex(text)
        .ok()
        .map(|hash| *hash.as_bytes())
}
