//! Deterministic selection of members: hash ring, rendezvous hashing, failure domains in turn.

use crate::id;
use crate::member::message;

/// Number of relays of a region, which exchange summaries with other regions.
pub(crate) const RELAY_COUNT: usize = 3;

/// Number of other members up to which all of them are neighbours.
const FULL_MESH_LIMIT: usize = 16;

/// Members on a ring in the order of the hashes of their names, seen from one of them.
pub(crate) struct RingView<'a> {
    /// Names of the other members in ring order, starting after the own position.
    others: Vec<&'a str>,
}

impl<'a> RingView<'a> {
    /// Creates the ring of `own` and the other members `names`.
    pub(crate) fn new(own: &str, names: impl Iterator<Item = &'a str>) -> Self {
        let origin = hash(&[own]);
        let mut others: Vec<_> = names
            .map(|name| (hash(&[name]).wrapping_sub(origin), name))
            .collect();
        others.sort_unstable();
        Self {
            others: others.into_iter().map(|(_, name)| name).collect(),
        }
    }

    /// Returns the members at distances 1, 2, 4 and so on after the own position.
    pub(crate) fn successors(&self) -> Vec<id::HostName> {
        self.distances()
            .map(|step| self.others[step - 1].to_owned())
            .collect()
    }

    /// Returns the members at those distances after and before the own position,
    /// or all members of a small ring.
    pub(crate) fn neighbours(&self) -> Vec<id::HostName> {
        let count = self.others.len();
        if count <= FULL_MESH_LIMIT {
            return self.others.iter().map(|name| (*name).to_owned()).collect();
        }
        let before = self
            .distances()
            .map(|step| self.others[count - step].to_owned());
        let mut names: Vec<_> = self.successors().into_iter().chain(before).collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    fn distances(&self) -> impl Iterator<Item = usize> {
        let count = self.others.len();
        std::iter::successors(Some(1), |step| Some(step * 2)).take_while(move |step| *step <= count)
    }
}

/// Returns a hash of strings that is the same on every node and in every release.
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

/// Returns a hash of the name and version of a record. The version changes with
/// the liveness and the phase of the member.
pub(crate) fn record_digest(record: &message::MemberRecord) -> u64 {
    let incarnation = record.incarnation.to_string();
    let revision = record.revision.to_string();
    hash(&[&record.name, &incarnation, &revision])
}

/// Combines two hashes into one with uniformly distributed bits.
pub(crate) fn mix(left: u64, right: u64) -> u64 {
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Precomputed hashes of members, to rank the same members for many subjects.
pub(crate) struct RankTable<'a> {
    seeds: Vec<u64>,
    domains: Vec<&'a str>,
}

impl<'a> RankTable<'a> {
    /// Creates the table of `members`; later results are indices into them.
    pub(crate) fn new(members: &[&'a message::MemberRecord]) -> Self {
        Self {
            seeds: members.iter().map(|record| hash(&[&record.name])).collect(),
            domains: members
                .iter()
                .map(|record| record.domain.as_str())
                .collect(),
        }
    }

    /// Returns the indices of the `count` best members for a subject. A failure
    /// domain comes a second time only after every domain came once.
    pub(crate) fn top(&self, subject: &str, count: usize) -> Vec<usize> {
        let seed = hash(&[subject]);
        let mut remaining: Vec<_> = self
            .seeds
            .iter()
            .enumerate()
            .map(|(index, own)| (std::cmp::Reverse(mix(seed, *own)), index))
            .collect();
        remaining.sort_unstable();
        let mut chosen: Vec<usize> = Vec::new();
        while chosen.len() < count && !remaining.is_empty() {
            let of_new_domain = remaining.iter().position(|(_, index)| {
                let domain = self.domains[*index];
                chosen.iter().all(|other| self.domains[*other] != domain)
            });
            let (_, index) = remaining.remove(of_new_domain.unwrap_or_default());
            chosen.push(index);
        }
        chosen
    }
}

/// Orders members by rendezvous hashing, with failure domains in turn.
pub(crate) fn ranked<'a>(
    key: &str,
    members: impl Iterator<Item = &'a message::MemberRecord>,
) -> Vec<&'a message::MemberRecord> {
    let mut ranked: Vec<_> = members
        .map(|record| (hash(&[key, &record.name]), record))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    interleave_domains(ranked.into_iter().map(|(_, record)| record))
}

/// Reorders members so that every failure domain comes once before any comes twice.
pub(crate) fn interleave_domains<'a>(
    ordered: impl Iterator<Item = &'a message::MemberRecord>,
) -> Vec<&'a message::MemberRecord> {
    let mut rounds: Vec<(&str, usize)> = Vec::new();
    let mut placed: Vec<_> = ordered
        .map(|record| (next_round(&mut rounds, &record.domain), record))
        .collect();
    placed.sort_by_key(|(round, _)| *round);
    placed.into_iter().map(|(_, record)| record).collect()
}

fn next_round<'a>(rounds: &mut Vec<(&'a str, usize)>, domain: &'a str) -> usize {
    match rounds.iter_mut().find(|(known, _)| *known == domain) {
        Some((_, round)) => {
            *round += 1;
            *round
        }
        None => {
            rounds.push((domain, 0));
            0
        }
    }
}
