//! Share of the process's descriptors that callers may take.

use std::fs;

/// Share of the descriptors for connections of callers, in percent. The rest is for
/// connections to runners, peers and the store, without which a node would take all
/// of them for dead, and for address queries and readiness checks.
const CALLER_PERCENT: usize = 75;

/// Returns how many connections callers may hold if the process may open `limit`
/// descriptors.
pub fn caller_connections(limit: usize) -> usize {
    limit / 100 * CALLER_PERCENT + limit % 100 * CALLER_PERCENT / 100
}

/// Connections that only address queries, readiness checks and metrics may use, in
/// percent of those of callers. They get in while requests hold all others.
const ENTRY_PERCENT: usize = 5;

/// Returns how many connections all listeners may hold where requests of callers may
/// hold `callers`.
pub fn all_connections(callers: usize) -> usize {
    callers + callers * ENTRY_PERCENT / 100
}

/// Returns how many descriptors the system allows this process to open.
pub fn system_limit() -> Option<usize> {
    parse_limits(&fs::read_to_string("/proc/self/limits").ok()?)
}

/// Returns the number of descriptors in the text of `/proc/self/limits`.
pub fn parse_limits(text: &str) -> Option<usize> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
