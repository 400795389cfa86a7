//! The addresses that callers are given.
//!
//! Callers fall into slots by a hash of their names. Every node assigns the
//! slots to the serving hosts in the same way, by rendezvous hashing with a
//! bound on the load of each host, so nodes need not agree on anything.

use std::net;

use crate::id;
use crate::member::message;
use crate::member::spread;

/// Slots into which callers fall.
const SLOTS: usize = 16_384;

/// Hundredths by which a host may have more slots than the mean.
const SLACK_PERCENT: usize = 15;

/// Fewest addresses in an answer, where there are as many hosts.
const ADDRESS_COUNT: usize = 6;

/// Tells slots from host names before they are mixed.
const SLOT_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hosts of other regions that end an answer.
const REMOTE_COUNT: usize = 2;

/// What address answers are made from.
#[derive(Clone, Debug, Default)]
pub struct AddressBook {
    /// Serving hosts by name.
    hosts: Vec<message::MemberRecord>,
    /// Hash of each host's name.
    seeds: Vec<u64>,
    /// Host of each slot, as an index.
    slots: Vec<usize>,
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
            slots: assign_slots(&seeds, SLOTS, SLACK_PERCENT),
            hosts,
            seeds,
            remote: remote.to_vec(),
        }
    }

    /// Returns the addresses for a caller, best first.
    ///
    /// The first is the host of the caller's slot, or of the hosts in
    /// `assigned` the best for the caller. One host of every other failure
    /// domain follows, then more hosts in turn over the domains, then hosts
    /// of other regions.
    pub fn answer(&self, caller: &str, assigned: &[id::HostName]) -> Vec<net::SocketAddr> {
        self.order(caller, assigned)
            .into_iter()
            .map(|host| host.callers)
            .chain(self.remote_order(caller))
            .collect()
    }

    /// Returns the host of a caller's slot.
    pub fn first(&self, caller: &str) -> Option<&message::MemberRecord> {
        let slot = spread::hash(&[caller]) as usize % SLOTS;
        self.slots.get(slot).map(|place| &self.hosts[*place])
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
        let first = self.first_of(seed, &ranked, assigned);
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

    fn first_of(
        &self,
        seed: u64,
        ranked: &[(std::cmp::Reverse<u64>, usize)],
        assigned: &[id::HostName],
    ) -> Option<usize> {
        let best = ranked
            .iter()
            .map(|(_, place)| *place)
            .find(|place| assigned.contains(&self.hosts[*place].name));
        best.or_else(|| self.slots.get(seed as usize % SLOTS).copied())
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

/// Assigns slots to hosts given by their hashes; none gets more than its bound.
///
/// Each slot goes to the host that ranks highest for it and is not full.
/// The result depends on the set of hosts alone.
pub fn assign_slots(hosts: &[u64], slots: usize, slack_percent: usize) -> Vec<usize> {
    if hosts.is_empty() {
        return Vec::new();
    }
    let bound = (slots * (100 + slack_percent)).div_ceil(100 * hosts.len());
    let mut loads = vec![0; hosts.len()];
    (0..slots)
        .map(|slot| {
            let seed = spread::mix(slot as u64, SLOT_SALT);
            let best = (0..hosts.len())
                .filter(|place| loads[*place] < bound)
                .max_by_key(|place| spread::mix(seed, hosts[*place]))
                .unwrap_or_default();
            loads[best] += 1;
            best
        })
        .collect()
}
