//! Which nodes are alive, and which of them serve an organisation or a caller.

use std::net;
use std::sync;

use crate::address;
use crate::document;
use crate::id;

pub mod driver;
pub mod keeper;
pub mod message;
pub(crate) mod region;
pub(crate) mod spread;

pub use driver::MemberDriver;
pub use keeper::{MemberAction, MemberEvent, MemberKeeper};
pub use message::{MemberPhase, MemberRecord};
pub(crate) use spread::{RankTable, hash};

/// Fewest nodes that an organisation is assigned to, where there are as many.
const ASSIGNED_NODES: usize = 3;

/// Where a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerContact {
    /// Name of the host.
    pub host: id::HostName,
    /// Address on which it hears peers.
    pub address: net::SocketAddr,
    /// Incarnation of its process.
    pub incarnation: id::IncarnationNumber,
}

/// Share of an organisation in the weight of all.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightShare {
    /// Name of the organisation.
    pub organisation: id::OrganisationName,
    /// Its part of the weight of all organisations, from 0 to 1.
    pub share: f64,
}

/// Returns the shares of a document's organisations.
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

/// What is known of all other regions together.
#[derive(Clone, Debug, Default)]
pub struct RemoteRegions {
    /// Known nodes of regions that are reached, by region and name.
    pub contacts: Vec<message::RegionContact>,
    /// Failure domains, sorted.
    pub domains: Vec<id::DomainName>,
    /// Nodes alive by the last summaries, also of regions that are cut off.
    pub alive: usize,
}

/// Members as of one moment.
#[derive(Debug, Default)]
struct MemberSnapshot {
    /// Members alive in the own region, by name.
    members: Vec<MemberRecord>,
    /// Known nodes of other regions.
    remote: Vec<message::RegionContact>,
    /// Failure domains of other regions, sorted.
    remote_domains: Vec<id::DomainName>,
    /// Nodes alive in other regions by their last summaries.
    remote_alive: usize,
    /// What address answers are made from, once one was asked for.
    selector: sync::OnceLock<address::AddressSelector>,
}

/// What a node knows of its peers, itself included.
#[derive(Debug, Default)]
pub struct MemberView {
    snapshot: sync::RwLock<sync::Arc<MemberSnapshot>>,
    shares: sync::RwLock<Vec<WeightShare>>,
}

impl MemberView {
    /// Replaces what is known.
    pub fn publish(&self, members: Vec<MemberRecord>, others: RemoteRegions) {
        let fresh = sync::Arc::new(MemberSnapshot {
            members,
            remote: others.contacts,
            remote_domains: others.domains,
            remote_alive: others.alive,
            selector: sync::OnceLock::new(),
        });
        let mut held = self
            .snapshot
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *held = fresh;
    }

    /// Returns the members alive in the own region, by name.
    pub fn alive(&self) -> Vec<MemberRecord> {
        self.snapshot().members.clone()
    }

    /// Returns the number of nodes alive in all regions, as far as known.
    pub fn fleet_size(&self) -> usize {
        let snapshot = self.snapshot();
        snapshot.members.len() + snapshot.remote_alive
    }

    /// Returns where every member alive in the own region is reached, by name.
    pub fn contacts(&self) -> Vec<PeerContact> {
        self.snapshot().members.iter().map(contact_of).collect()
    }

    /// Returns where known nodes of other regions are reached, by name.
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

    /// Returns where a member is reached, if it is alive.
    pub fn contact(&self, host: &str) -> Option<PeerContact> {
        let snapshot = self.snapshot();
        let place = snapshot
            .members
            .binary_search_by(|record| record.name.as_str().cmp(host))
            .ok()?;
        Some(contact_of(&snapshot.members[place]))
    }

    /// Tells whether a host of the own region may be named to callers.
    pub fn is_serving(&self, host: &str) -> bool {
        let snapshot = self.snapshot();
        let found = snapshot
            .members
            .binary_search_by(|record| record.name.as_str().cmp(host));
        found.is_ok_and(|place| snapshot.members[place].phase == MemberPhase::Serving)
    }

    /// Sets the shares of organisations, which decide how many nodes each gets.
    pub fn set_shares(&self, mut shares: Vec<WeightShare>) {
        shares.sort_by(|left, right| left.organisation.cmp(&right.organisation));
        *self
            .shares
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = shares;
    }

    /// Returns the few serving nodes that an organisation is assigned to, best first.
    ///
    /// Every node that sees the same members returns the same list. It holds
    /// one node of each failure domain, up to three, and more in turn over
    /// the domains as the organisation's share needs. A lost node moves only
    /// the organisations that it had.
    pub fn nodes_for(&self, organisation: &str) -> Vec<id::HostName> {
        let snapshot = self.snapshot();
        let serving: Vec<_> = snapshot
            .members
            .iter()
            .filter(|record| record.phase == MemberPhase::Serving)
            .collect();
        let count = assigned_count(self.share(organisation), serving.len());
        spread::ranked(organisation, serving.into_iter())
            .into_iter()
            .take(count)
            .map(|record| record.name.clone())
            .collect()
    }

    /// Returns the addresses to give to a caller, best first.
    ///
    /// A caller that names its organisation is sent to the nodes that the
    /// organisation is assigned to.
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
            .binary_search_by(|held| held.organisation.as_str().cmp(organisation))
            .map_or(0.0, |place| shares[place].share)
    }

    fn snapshot(&self) -> sync::Arc<MemberSnapshot> {
        let held = self
            .snapshot
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner);
        sync::Arc::clone(&held)
    }
}

fn contact_of(record: &MemberRecord) -> PeerContact {
    PeerContact {
        host: record.name.clone(),
        address: record.peers,
        incarnation: record.incarnation,
    }
}

/// Returns the number of nodes for an organisation of that share.
fn assigned_count(share: f64, nodes: usize) -> usize {
    let needed = (share * nodes as f64).ceil() as usize;
    needed.max(ASSIGNED_NODES).min(nodes)
}
