//! Deterministic choice among members: rings, ranks, failure domains in turn.

use crate::id;
use crate::member::message;

/// Nodes of a region that speak with other regions.
pub(crate) const RELAYS: usize = 3;

/// Members up to which each knows every other as its neighbour.
const FEW_MEMBERS: usize = 16;

/// Members on a ring by the hash of their names, seen from one of them.
pub(crate) struct RingView<'a> {
    /// Names in ring order, beginning after the own one.
    others: Vec<&'a str>,
}

impl<'a> RingView<'a> {
    /// Creates the ring of `own` and the other `names`.
    pub(crate) fn new(own: &str, names: impl Iterator<Item = &'a str>) -> Self {
        let begin = hash(&[own]);
        let mut others: Vec<_> = names
            .map(|name| (hash(&[name]).wrapping_sub(begin), name))
            .collect();
        others.sort_unstable();
        Self {
            others: others.into_iter().map(|(_, name)| name).collect(),
        }
    }

    /// Returns the members at distances 1, 2, 4 and so on after the own one.
    pub(crate) fn after(&self) -> Vec<id::HostName> {
        self.distances()
            .map(|step| self.others[step - 1].to_owned())
            .collect()
    }

    /// Returns the members at those distances after and before the own one,
    /// or all where there are few.
    pub(crate) fn both(&self) -> Vec<id::HostName> {
        let count = self.others.len();
        if count <= FEW_MEMBERS {
            return self.others.iter().map(|name| (*name).to_owned()).collect();
        }
        let before = self
            .distances()
            .map(|step| self.others[count - step].to_owned());
        let mut names: Vec<_> = self.after().into_iter().chain(before).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn distances(&self) -> impl Iterator<Item = usize> {
        let count = self.others.len();
        std::iter::successors(Some(1), |step| Some(step * 2)).take_while(move |step| *step <= count)
    }
}

/// Returns a hash of parts, the same on every node and in every release.
pub(crate) fn hash(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns a hash of what a record says of liveness and phase.
pub(crate) fn record_digest(record: &message::MemberRecord) -> u64 {
    let incarnation = record.incarnation.to_string();
    let revision = record.revision.to_string();
    hash(&[&record.name, &incarnation, &revision])
}

/// Mixes two hashes into one that is spread evenly.
pub(crate) fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Hashes of members, for many rankings of the same ones.
pub(crate) struct RankTable<'a> {
    seeds: Vec<u64>,
    domains: Vec<&'a str>,
}

impl<'a> RankTable<'a> {
    /// Creates the table of `members`.
    pub(crate) fn new(members: &[&'a message::MemberRecord]) -> Self {
        Self {
            seeds: members.iter().map(|record| hash(&[&record.name])).collect(),
            domains: members
                .iter()
                .map(|record| record.domain.as_str())
                .collect(),
        }
    }

    /// Returns the places of the `count` best members for a subject, each
    /// failure domain in its turn.
    pub(crate) fn top(&self, subject: &str, count: usize) -> Vec<usize> {
        let seed = hash(&[subject]);
        let mut left: Vec<_> = self
            .seeds
            .iter()
            .enumerate()
            .map(|(place, own)| (std::cmp::Reverse(mix(seed, *own)), place))
            .collect();
        left.sort_unstable();
        let mut chosen: Vec<usize> = Vec::new();
        while chosen.len() < count && !left.is_empty() {
            let fresh = left.iter().position(|(_, place)| {
                let domain = self.domains[*place];
                chosen.iter().all(|held| self.domains[*held] != domain)
            });
            let (_, place) = left.remove(fresh.unwrap_or_default());
            chosen.push(place);
        }
        chosen
    }
}

/// Orders members by rendezvous hashing, each failure domain in its turn.
pub(crate) fn ranked<'a>(
    key: &str,
    members: impl Iterator<Item = &'a message::MemberRecord>,
) -> Vec<&'a message::MemberRecord> {
    let mut ranked: Vec<_> = members
        .map(|record| (hash(&[key, &record.name]), record))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    over_domains(ranked.into_iter().map(|(_, record)| record))
}

/// Orders members so that each failure domain comes once before any comes twice.
pub(crate) fn over_domains<'a>(
    ordered: impl Iterator<Item = &'a message::MemberRecord>,
) -> Vec<&'a message::MemberRecord> {
    let mut counts: Vec<(&str, usize)> = Vec::new();
    let mut placed: Vec<_> = ordered
        .map(|record| (turn_of(&mut counts, &record.domain), record))
        .collect();
    placed.sort_by_key(|(turn, _)| *turn);
    placed.into_iter().map(|(_, record)| record).collect()
}

fn turn_of<'a>(counts: &mut Vec<(&'a str, usize)>, domain: &'a str) -> usize {
    match counts.iter_mut().find(|(held, _)| *held == domain) {
        Some((_, count)) => {
            *count += 1;
            *count
        }
        None => {
            counts.push((domain, 0));
            0
        }
    }
}
