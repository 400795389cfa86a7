//! Selection of the addresses that a caller connects to.
//!
//! Rendezvous hashing gives each caller its own order of the hosts. Every
//! node computes the same order from the serving hosts without coordination,
//! and the loss of a host moves only the callers of that host.

use std::net;

use crate::id;
use crate::member::message;
use crate::member::placement;

/// Minimum number of addresses of the own region in a list, if there are as many hosts.
const MIN_LOCAL_ADDRESSES: usize = 6;

/// Maximum number of hosts of other regions at the end of a list.
const MAX_REMOTE_ADDRESSES: usize = 2;

/// Serving hosts from which the addresses for a caller are selected.
#[derive(Clone, Debug, Default)]
pub struct AddressSelector {
    /// Serving hosts of the own region, sorted by name.
    hosts: Vec<message::MemberRecord>,
    /// Hash of the name of each host, by index in `hosts`.
    seeds: Vec<u64>,
    /// Serving hosts of other regions.
    remote: Vec<message::RegionContact>,
}

impl AddressSelector {
    /// Creates a selector of the serving hosts among `members` and the hosts in `remote`.
    pub fn new(members: &[message::MemberRecord], remote: &[message::RegionContact]) -> Self {
        let mut hosts: Vec<_> = members
            .iter()
            .filter(|record| record.phase == message::MemberPhase::Serving)
            .cloned()
            .collect();
        hosts.sort_by(|left, right| left.name.cmp(&right.name));
        let seeds: Vec<_> = hosts
            .iter()
            .map(|host| placement::hash(&[&host.name]))
            .collect();
        Self {
            hosts,
            seeds,
            remote: remote.to_vec(),
        }
    }

    /// Returns the addresses for a caller, best first.
    ///
    /// The first address is that of the caller's best host among `assigned`,
    /// or among all hosts if none of those serves. One host of every other
    /// failure domain follows, then further hosts round-robin over the
    /// domains, then hosts of other regions.
    pub fn addresses_for(&self, caller: &str, assigned: &[id::HostName]) -> Vec<net::SocketAddr> {
        self.rank_hosts(caller, assigned)
            .into_iter()
            .map(|host| host.callers)
            .chain(self.rank_remote(caller))
            .collect()
    }

    /// Returns the best host of the own region for a caller.
    pub fn best_host(&self, caller: &str) -> Option<&message::MemberRecord> {
        let seed = placement::hash(&[caller]);
        let best =
            (0..self.hosts.len()).max_by_key(|index| placement::mix(seed, self.seeds[*index]));
        best.map(|index| &self.hosts[index])
    }

    fn rank_hosts(&self, caller: &str, assigned: &[id::HostName]) -> Vec<&message::MemberRecord> {
        let seed = placement::hash(&[caller]);
        let mut ranked: Vec<_> = (0..self.hosts.len())
            .map(|index| {
                (
                    std::cmp::Reverse(placement::mix(seed, self.seeds[index])),
                    index,
                )
            })
            .collect();
        ranked.sort_unstable();
        let first = self.best_assigned(&ranked, assigned);
        let (mut chosen, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, index)| Some(*index) == first);
        chosen.extend(others);
        let ordered = chosen.into_iter().map(|(_, index)| &self.hosts[index]);
        let ordered = placement::interleave_domains(ordered);
        let mut domains: Vec<_> = ordered.iter().map(|host| &host.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let count = MIN_LOCAL_ADDRESSES.max(domains.len());
        ordered.into_iter().take(count).collect()
    }

    /// Returns the index of the best assigned host, or of the best host if none is assigned.
    fn best_assigned(
        &self,
        ranked: &[(std::cmp::Reverse<u64>, usize)],
        assigned: &[id::HostName],
    ) -> Option<usize> {
        let mut indices = ranked.iter().map(|(_, index)| *index);
        let best = indices.find(|index| assigned.contains(&self.hosts[*index].name));
        best.or_else(|| ranked.first().map(|(_, index)| *index))
    }

    fn rank_remote(&self, caller: &str) -> Vec<net::SocketAddr> {
        let mut ranked: Vec<_> = self
            .remote
            .iter()
            .map(|contact| (placement::hash(&[caller, &contact.name]), contact.callers))
            .collect();
        ranked.sort_unstable();
        let addresses = ranked.into_iter().map(|(_, address)| address);
        addresses.take(MAX_REMOTE_ADDRESSES).collect()
    }
}
