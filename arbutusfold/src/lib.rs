//! A router of requests over pipelines of model runners on mixed accelerators.
//!
//! Nodes run on entry hosts between callers and upstreams. Every request gets
//! either one complete answer, each token of which was computed by every layer
//! exactly once, or an error that says whether anything ran.
//!
//! ```
//! use arbutusfold::settings;
//!
//! let text = r#"{
//!     // Comments are allowed.
//!     "name": "entry-1", "region": "peru-central", "domain": "pe-a",
//!     "callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081",
//!     "peers": "127.0.0.1:8082", "seeds": [],
//!     "platform": "127.0.0.1:9000",
//!     "peer_keys": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"],
//!     "operator_tokens": [],
//! }"#;
//! let settings = settings::parse(text)?;
//! assert_eq!(settings.name, "entry-1");
//! # Ok::<(), arbutusfold::settings::SettingsError>(())
//! ```

pub mod address;
pub mod admission;
pub mod attempt;
pub mod breaker;
pub mod caller;
pub mod check;
pub mod choose;
pub mod client;
pub mod complete;
pub mod concurrency;
pub mod config;
pub mod console;
pub mod document;
pub mod drain;
pub mod event;
mod flow;
pub mod gateway;
pub mod gossip;
pub mod health;
pub mod id;
pub mod lease;
pub mod limit;
pub mod listen;
pub mod load;
pub mod member;
pub mod metric;
pub mod node;
pub mod operate;
pub mod order;
pub mod peer;
pub mod plan;
pub mod platform;
pub mod probe;
pub mod queue;
pub mod record;
pub mod repair;
pub mod retry;
pub mod route;
pub mod schema;
pub mod serve;
pub mod service;
pub mod settings;
pub mod span;
pub mod stream;
pub mod suspect;
pub mod traffic;
pub mod upstream;
