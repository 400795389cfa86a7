//! Randomised faults against real gateway processes.
//!
//! The gateways run as processes of their own; the platform's store and the
//! runners are stand-ins in this process, each behind a loopback proxy. Faults
//! come from outside: signals to the processes, faults of the stand-ins and of
//! the proxies. What callers and runners see is checked against the promises.

pub mod plan;
pub mod process;
pub mod proxy;
pub mod world;
