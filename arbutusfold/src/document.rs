//! The configuration document: the whole intent in one validated text.

use std::net;
use std::time;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::check;
use crate::id;
use crate::schema;

/// The whole intended configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Models and their layers.
    pub models: Vec<ModelSpec>,
    /// Pipelines that serve models.
    pub pipelines: Vec<PipelineSpec>,
    /// Model runners and instances of plain services.
    pub upstreams: Vec<UpstreamSpec>,
    /// Plain services beside the models.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Organisations whose callers are served.
    pub organisations: Vec<OrganisationSpec>,
    /// Links between failure domains; a pair that is not named has no delay.
    #[serde(default)]
    pub links: Vec<LinkSpec>,
    /// Failure domains without upstreams, such as those of entry hosts alone.
    #[serde(default)]
    pub domains: Vec<id::DomainName>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name that callers use.
    pub name: id::ModelName,
    /// Number of layers.
    pub layers: id::LayerIndex,
    /// Version that runners load.
    pub version: String,
}

/// A pipeline: the upstreams that together hold a model's layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineSpec {
    /// Name of the pipeline.
    pub name: String,
    /// Model that the pipeline serves.
    pub model: id::ModelName,
    /// Upstreams that may hold its layers.
    pub upstreams: Vec<id::UpstreamName>,
    /// Number of runners that each layer should have.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
}

fn default_replicas() -> u32 {
    1
}

/// An upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub name: id::UpstreamName,
    /// Address at which it listens.
    pub address: net::SocketAddr,
    /// Failure domain in which it runs.
    pub domain: id::DomainName,
    /// Kind of its accelerator; empty for a plain service.
    #[serde(default)]
    pub accelerator: String,
    /// Number of layers that fit its memory; 0 for a plain service.
    #[serde(default)]
    pub capacity_layers: id::LayerIndex,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A plain service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name in the path `/v1/services/NAME/`.
    pub name: id::ServiceName,
    /// Upstreams that run it.
    pub upstreams: Vec<id::UpstreamName>,
    /// Calls that may not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<CallSpec>,
    /// Longest time for one call.
    #[serde(default = "default_call_deadline")]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub deadline_ms: time::Duration,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// HTTP method.
    pub method: String,
    /// Path below the service, with its leading slash.
    pub path: String,
}

/// An organisation.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Name of the organisation.
    pub name: id::OrganisationName,
    /// Digests of its callers' keys in hexadecimal.
    pub key_digests: Vec<String>,
    /// Weight in fair queues.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: RequestPriority,
    /// Limit of generated tokens a second over the whole fleet; 0 for none.
    #[serde(default)]
    pub tokens_per_second: u64,
    /// Limit of requests a second over the whole fleet; 0 for none.
    #[serde(default)]
    pub requests_per_second: u64,
    /// Longest time for one completion.
    #[serde(default = "default_completion_deadline")]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub deadline_ms: time::Duration,
}

/// Priority of a request, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Someone waits where waiting is dangerous or costly.
    Urgent,
    /// Someone waits.
    #[default]
    Interactive,
    /// Nobody waits.
    Background,
}

/// A link between two failure domains, the same both ways.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSpec {
    /// One failure domain.
    pub from: id::DomainName,
    /// The other failure domain.
    pub to: id::DomainName,
    /// Delay one way.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    pub delay_us: time::Duration,
    /// Bytes a second; 0 for no bound.
    #[serde(default)]
    pub bytes_per_second: u64,
}

fn default_weight() -> u32 {
    1
}

fn default_call_deadline() -> time::Duration {
    time::Duration::from_secs(10)
}

fn default_completion_deadline() -> time::Duration {
    time::Duration::from_secs(120)
}

/// Why a document was refused.
#[derive(Clone, Debug, Display, Error, From)]
#[display("{report}")]
pub struct DocumentError {
    /// Every error, each with its place.
    #[error(source)]
    pub report: check::CheckReport,
}

/// Parses and validates a document from JSON with comments.
///
/// # Errors
///
/// [`DocumentError`] names every place with what was found and what is allowed.
pub fn parse(text: &str) -> Result<ConfigDocument, DocumentError> {
    parse_file("document", text)
}

/// Parses and validates a document; errors name `file`.
///
/// # Errors
///
/// [`DocumentError`] names every place with what was found and what is allowed.
pub fn parse_file(file: &str, text: &str) -> Result<ConfigDocument, DocumentError> {
    let value = check::parse(file, text, schema::DOCUMENT, schema::check_references)?;
    serde_json::from_value(value).map_err(|error| {
        let found = error.to_string();
        check::file_report(file, found, "a configuration document").into()
    })
}

/// Returns the digest of a key or token as documents and settings hold it.
pub fn digest_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

impl ConfigDocument {
    /// Returns the upstream of that name.
    pub fn upstream(&self, name: &str) -> Option<&UpstreamSpec> {
        self.upstreams.iter().find(|spec| spec.name == name)
    }

    /// Returns the model of that name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|spec| spec.name == name)
    }

    /// Returns the plain service of that name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|spec| spec.name == name)
    }
}

impl ServiceSpec {
    /// Tells whether a call may not be repeated.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        self.non_idempotent
            .iter()
            .any(|call| call.method.eq_ignore_ascii_case(method) && call.path == path)
    }
}
