//! Membership of the fleet, and assignment of organisations and callers to nodes.

use std::net;
use std::sync;

use crate::address;
use crate::document;
use crate::id;

pub mod driver;
pub mod message;
pub(crate) mod placement;
pub mod protocol;
pub(crate) mod region;

pub use driver::MemberDriver;
pub use message::{MemberPhase, MemberRecord};
pub(crate) use placement::{RankTable, hash};
pub use protocol::{MemberAction, MemberEvent, MemberProtocol};

/// Minimum number of nodes that an organisation is assigned to, if there are as many.
const MIN_ASSIGNED_NODES: usize = 3;

/// Address and incarnation under which a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerContact {
    /// Name of the host.
    pub host: id::HostName,
    /// Address on which it receives messages of peers.
    pub address: net::SocketAddr,
    /// Incarnation of its process.
    pub incarnation: id::IncarnationNumber,
}

/// Share of one organisation in the total weight of all organisations.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightShare {
    /// Name of the organisation.
    pub organisation: id::OrganisationName,
    /// Fraction of the total weight, from 0 to 1.
    pub share: f64,
}

/// Returns the weight shares of the organisations in a document.
pub fn shares(document: &document::ConfigDocument) -> Vec<WeightShare> {
    let organisations = &document.organisations;
    let total: f64 = organisations
        .iter()
        .map(|spec| f64::from(spec.weight))
        .sum();
    organisations
        .iter()
        .map(|spec| WeightShare {
            organisation: spec.name.clone(),
            share: f64::from(spec.weight) / total.max(1.0),
        })
        .collect()
}

/// Combined state of all other regions.
#[derive(Clone, Debug, Default)]
pub struct RemoteRegions {
    /// Known nodes of reachable regions, sorted by region and name.
    pub contacts: Vec<message::RegionContact>,
    /// Failure domains, sorted.
    pub domains: Vec<id::DomainName>,
    /// Number of live nodes by the last summaries, including unreachable regions.
    pub alive: usize,
}

/// Members at one point in time.
#[derive(Debug, Default)]
struct MemberSnapshot {
    /// Live members of the own region, sorted by name.
    members: Vec<MemberRecord>,
    /// Known nodes of reachable other regions.
    remote: Vec<message::RegionContact>,
    /// Failure domains of other regions, sorted.
    remote_domains: Vec<id::DomainName>,
    /// Number of live nodes in other regions, by their last summaries.
    remote_alive: usize,
    /// Selector of caller addresses, created on first use.
    selector: sync::OnceLock<address::AddressSelector>,
}

/// Current view of the members, this node included, that other modules read.
#[derive(Debug, Default)]
pub struct MemberView {
    snapshot: sync::RwLock<sync::Arc<MemberSnapshot>>,
    shares: sync::RwLock<Vec<WeightShare>>,
}

impl MemberView {
    /// Replaces the members.
    pub fn publish(&self, members: Vec<MemberRecord>, others: RemoteRegions) {
        let fresh = sync::Arc::new(MemberSnapshot {
            members,
            remote: others.contacts,
            remote_domains: others.domains,
            remote_alive: others.alive,
            selector: sync::OnceLock::new(),
        });
        let mut current = self
            .snapshot
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *current = fresh;
    }

    /// Returns the live members of the own region, sorted by name.
    pub fn alive(&self) -> Vec<MemberRecord> {
        self.snapshot().members.clone()
    }

    /// Returns the known number of live nodes in all regions.
    pub fn fleet_size(&self) -> usize {
        let snapshot = self.snapshot();
        snapshot.members.len() + snapshot.remote_alive
    }

    /// Returns the contacts of the live members of the own region, sorted by name.
    pub fn contacts(&self) -> Vec<PeerContact> {
        self.snapshot().members.iter().map(contact_of).collect()
    }

    /// Returns the contacts of the known nodes of other regions, sorted by region and name.
    pub fn remote_contacts(&self) -> Vec<PeerContact> {
        let snapshot = self.snapshot();
        snapshot
            .remote
            .iter()
            .map(|contact| PeerContact {
                host: contact.name.clone(),
                address: contact.peers,
                incarnation: contact.incarnation,
            })
            .collect()
    }

    /// Returns the failure domains of other regions, sorted.
    pub fn remote_domains(&self) -> Vec<id::DomainName> {
        self.snapshot().remote_domains.clone()
    }

    /// Returns the contact of a member of the own region, if it is alive.
    pub fn contact(&self, host: &str) -> Option<PeerContact> {
        let snapshot = self.snapshot();
        let index = snapshot
            .members
            .binary_search_by(|record| record.name.as_str().cmp(host))
            .ok()?;
        Some(contact_of(&snapshot.members[index]))
    }

    /// Returns whether the address of a host of the own region may be given to callers.
    pub fn is_serving(&self, host: &str) -> bool {
        let snapshot = self.snapshot();
        let found = snapshot
            .members
            .binary_search_by(|record| record.name.as_str().cmp(host));
        found.is_ok_and(|index| snapshot.members[index].phase == MemberPhase::Serving)
    }

    /// Sets the weight shares, which decide how many nodes each organisation is assigned to.
    pub fn set_shares(&self, mut shares: Vec<WeightShare>) {
        shares.sort_by(|left, right| left.organisation.cmp(&right.organisation));
        *self
            .shares
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = shares;
    }

    /// Returns the serving nodes that an organisation is assigned to, best first.
    ///
    /// Every node with the same members returns the same list. The list holds
    /// at least three nodes, if as many serve, and more in proportion to the
    /// organisation's share. The failure domains come in turn. The loss of a
    /// node moves only the organisations that were assigned to it.
    pub fn nodes_for(&self, organisation: &str) -> Vec<id::HostName> {
        let snapshot = self.snapshot();
        let serving: Vec<_> = snapshot
            .members
            .iter()
            .filter(|record| record.phase == MemberPhase::Serving)
            .collect();
        let count = assigned_count(self.share(organisation), serving.len());
        placement::ranked(organisation, serving.into_iter())
            .into_iter()
            .take(count)
            .map(|record| record.name.clone())
            .collect()
    }

    /// Returns the addresses to give to a caller, best first.
    ///
    /// A caller that gives its organisation gets one of the nodes that the
    /// organisation is assigned to as its first address.
    pub fn addresses_for(&self, caller: &str, organisation: Option<&str>) -> Vec<net::SocketAddr> {
        let assigned = organisation.map_or_else(Vec::new, |name| self.nodes_for(name));
        let snapshot = self.snapshot();
        snapshot
            .selector
            .get_or_init(|| address::AddressSelector::new(&snapshot.members, &snapshot.remote))
            .addresses_for(caller, &assigned)
    }

    fn share(&self, organisation: &str) -> f64 {
        let shares = self
            .shares
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        shares
            .binary_search_by(|entry| entry.organisation.as_str().cmp(organisation))
            .map_or(0.0, |index| shares[index].share)
    }

    fn snapshot(&self) -> sync::Arc<MemberSnapshot> {
        let current = self
            .snapshot
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        sync::Arc::clone(&current)
    }
}

fn contact_of(record: &MemberRecord) -> PeerContact {
    PeerContact {
        host: record.name.clone(),
        address: record.peers,
        incarnation: record.incarnation,
    }
}

/// Returns the number of nodes to assign to an organisation with a weight share.
fn assigned_count(share: f64, nodes: usize) -> usize {
    let needed = (share * nodes as f64).ceil() as usize;
    needed.max(MIN_ASSIGNED_NODES).min(nodes)
}
