//! The configuration document: the whole intended configuration in one validated file.

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
    /// Plain services in addition to the models.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// Organisations whose callers are served.
    pub organisations: Vec<OrganisationSpec>,
    /// Links between failure domains; a pair without a link has no delay.
    #[serde(default)]
    pub links: Vec<LinkSpec>,
    /// Failure domains without upstreams, such as those with entry hosts only.
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

/// A pipeline: the upstreams that together serve all layers of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineSpec {
    /// Name of the pipeline, unique among pipelines.
    pub name: String,
    /// Model that the pipeline serves.
    pub model: id::ModelName,
    /// Upstreams that may hold its layers.
    pub upstreams: Vec<id::UpstreamName>,
    /// Number of runners that should hold each layer.
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
    /// Name of the upstream, unique among upstreams.
    pub name: id::UpstreamName,
    /// Address on which it listens.
    pub address: net::SocketAddr,
    /// Failure domain in which it runs.
    pub domain: id::DomainName,
    /// Type of its accelerator; empty for a plain service.
    #[serde(default)]
    pub accelerator: String,
    /// Number of layers that fit into its memory; 0 for a plain service.
    #[serde(default)]
    pub capacity_layers: id::LayerIndex,
    /// Whether it rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A plain service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service, which is `NAME` in the path `/v1/services/NAME/`.
    pub name: id::ServiceName,
    /// Upstreams that serve it.
    pub upstreams: Vec<id::UpstreamName>,
    /// Calls that must not be repeated.
    #[serde(default)]
    pub non_idempotent: Vec<CallSpec>,
    /// Time limit of one call.
    #[serde(default = "default_call_deadline")]
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub deadline_ms: time::Duration,
}

/// Method and path of a call to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    /// HTTP method.
    pub method: String,
    /// Path relative to the service, with a leading slash.
    pub path: String,
}

/// An organisation with its keys, its share and its limits.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Name of the organisation, unique among organisations.
    pub name: id::OrganisationName,
    /// Hexadecimal digests of its callers' keys.
    pub key_digests: Vec<String>,
    /// Weight in fair queues.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: RequestPriority,
    /// Limit of generated tokens per second over the whole fleet; 0 for no limit.
    #[serde(default)]
    pub tokens_per_second: u64,
    /// Limit of requests per second over the whole fleet; 0 for no limit.
    #[serde(default)]
    pub requests_per_second: u64,
    /// Time limit of one completion.
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
    /// A person waits for the answer, and a delay is dangerous or costly.
    Urgent,
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// Nobody waits for the answer.
    Background,
}

/// A link between two failure domains, with the same properties in both directions.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSpec {
    /// One failure domain.
    pub from: id::DomainName,
    /// The other failure domain.
    pub to: id::DomainName,
    /// One-way delay.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    pub delay_us: time::Duration,
    /// Bandwidth in bytes per second; 0 for no limit.
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

/// Error for an invalid document.
#[derive(Clone, Debug, Display, Error, From)]
#[display("{report}")]
pub struct DocumentError {
    /// All validation errors with their positions.
    #[error(source)]
    pub report: check::CheckReport,
}

/// Parses and validates a document from JSON with comments.
///
/// # Errors
///
/// [`DocumentError`] lists the position of every invalid value, what was found
/// there and what is allowed.
pub fn parse(text: &str) -> Result<ConfigDocument, DocumentError> {
    parse_file("document", text)
}

/// Parses and validates a document; `file` is the file name in error messages.
///
/// # Errors
///
/// [`DocumentError`] lists the position of every invalid value, what was found
/// there and what is allowed.
pub fn parse_file(file: &str, text: &str) -> Result<ConfigDocument, DocumentError> {
    let value = check::parse(file, text, schema::DOCUMENT, schema::check_references)?;
    serde_json::from_value(value).map_err(|error| {
        let found = error.to_string();
        check::file_report(file, found, "a configuration document").into()
    })
}

/// Returns the hexadecimal digest of a key or token, as stored in documents and
/// settings.
pub fn digest_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

impl ConfigDocument {
    /// Returns the upstream with the given name.
    pub fn upstream(&self, name: &str) -> Option<&UpstreamSpec> {
        self.upstreams.iter().find(|spec| spec.name == name)
    }

    /// Returns the model with the given name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|spec| spec.name == name)
    }

    /// Returns the plain service with the given name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|spec| spec.name == name)
    }
}

impl ServiceSpec {
    /// Returns whether a call must not be repeated.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        self.non_idempotent
            .iter()
            .any(|call| call.method.eq_ignore_ascii_case(method) && call.path == path)
    }
}
