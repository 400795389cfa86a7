//! Small stand-ins for the platform, model engines and plain services.

pub mod batch;
pub mod depot;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod load;
pub mod model;
pub mod order;
pub mod platform;
pub mod server;
pub mod service;
