//! Randomised faults against real gateway processes.
//!
//! Each gateway runs as a separate process. The platform's store and the
//! runners are stand-ins in this process, each behind a loopback proxy. Faults
//! are injected from outside: by signals to the gateway processes, and in the
//! stand-ins and proxies. The calls that callers and runners observe are
//! checked against the guarantees of the gateway.

pub mod deployment;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod world;
