//! The addresses that callers are given.
//!
//! Each caller has its own order of the hosts, by rendezvous hashing. Every
//! node computes it in the same way from the hosts that serve, so nodes need
//! not agree on anything, and a lost host moves its own callers alone.

use std::net;

use crate::id;
use crate::member::message;
use crate::member::spread;

/// Fewest addresses in an answer, where there are as many hosts.
const ADDRESS_COUNT: usize = 6;

/// Hosts of other regions that end an answer.
const REMOTE_COUNT: usize = 2;

/// What address answers are made from.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    /// Serving hosts by name.
    hosts: Vec<message::MemberRecord>,
    /// Hash of each host's name.
    seeds: Vec<u64>,
    /// Serving hosts of other regions.
    remote: Vec<message::RegionContact>,
}

impl AddressBook {
    /// Creates a book of the serving hosts among `members`.
    pub fn new(members: &[message::MemberRecord], remote: &[message::RegionContact]) -> Self {
        let mut hosts: Vec<_> = members
            .iter()
            .filter(|record| record.phase == message::MemberPhase::Serving)
            .cloned()
            .collect();
        hosts.sort_by(|left, right| left.name.cmp(&right.name));
        let seeds: Vec<_> = hosts
            .iter()
            .map(|host| spread::hash(&[&host.name]))
            .collect();
        Self {
            hosts,
            seeds,
            remote: remote.to_vec(),
        }
    }

    /// Returns the addresses for a caller, best first.
    ///
    /// The first is the best host for the caller, of those in `assigned`
    /// where there are any. One host of every other failure
    /// domain follows, then more hosts in turn over the domains, then hosts
    /// of other regions.
    pub fn answer(&self, caller: &str, assigned: &[id::HostName]) -> Vec<net::SocketAddr> {
        self.order(caller, assigned)
            .into_iter()
            .map(|host| host.callers)
            .chain(self.remote_order(caller))
            .collect()
    }

    /// Returns the best host for a caller.
    pub fn first(&self, caller: &str) -> Option<&message::MemberRecord> {
        let seed = spread::hash(&[caller]);
        let best = (0..self.hosts.len()).max_by_key(|place| spread::mix(seed, self.seeds[*place]));
        best.map(|place| &self.hosts[place])
    }

    fn order(&self, caller: &str, assigned: &[id::HostName]) -> Vec<&message::MemberRecord> {
        let seed = spread::hash(&[caller]);
        let mut ranked: Vec<_> = (0..self.hosts.len())
            .map(|place| {
                (
                    std::cmp::Reverse(spread::mix(seed, self.seeds[place])),
                    place,
                )
            })
            .collect();
        ranked.sort_unstable();
        let first = self.first_of(&ranked, assigned);
        let (mut chosen, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, place)| Some(*place) == first);
        chosen.extend(others);
        let ordered = chosen.into_iter().map(|(_, place)| &self.hosts[place]);
        let ordered = spread::over_domains(ordered);
        let mut domains: Vec<_> = ordered.iter().map(|host| &host.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let count = ADDRESS_COUNT.max(domains.len());
        ordered.into_iter().take(count).collect()
    }

    /// Returns the best of the assigned hosts, or of all.
    fn first_of(
        &self,
        ranked: &[(std::cmp::Reverse<u64>, usize)],
        assigned: &[id::HostName],
    ) -> Option<usize> {
        let mut places = ranked.iter().map(|(_, place)| *place);
        let best = places.find(|place| assigned.contains(&self.hosts[*place].name));
        best.or_else(|| ranked.first().map(|(_, place)| *place))
    }

    fn remote_order(&self, caller: &str) -> Vec<net::SocketAddr> {
        let mut ranked: Vec<_> = self
            .remote
            .iter()
            .map(|contact| (spread::hash(&[caller, &contact.name]), contact.callers))
            .collect();
        ranked.sort_unstable();
        let addresses = ranked.into_iter().map(|(_, address)| address);
        addresses.take(REMOTE_COUNT).collect()
    }
}
