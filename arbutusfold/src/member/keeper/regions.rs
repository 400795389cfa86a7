//! Speaking with other regions.

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time;

use super::{MemberAction, MemberKeeper};
use crate::member::message::{
    MemberAct, MemberPhase, MemberRecord, MemberUpdate, RegionContact, RegionSummary,
};
use crate::member::{region, spread};

impl MemberKeeper {
    pub(super) fn summary(&self) -> RegionSummary {
        let alive = self.alive();
        let mut domains: Vec<_> = alive.iter().map(|record| record.domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        let contacts = spread::ranked(
            &self.own.region,
            alive.iter().filter(|record| is_serving(record)),
        );
        let contacts = contacts
            .into_iter()
            .take(region::SUMMARY_CONTACTS)
            .map(|record| RegionContact {
                name: record.name.clone(),
                incarnation: record.incarnation,
                domain: record.domain.clone(),
                callers: record.callers,
                peers: record.peers,
            })
            .collect();
        RegionSummary {
            region: self.own.region.clone(),
            alive: alive.len() as u32,
            contacts,
            domains,
        }
    }

    /// Speaks with other regions if this node is one of the few that do.
    pub(super) fn speak_to_regions(
        &mut self,
        now: time::Instant,
        rng: &mut impl Rng,
        out: &mut Vec<MemberAction>,
    ) {
        let regions = self.regions.names();
        for word in self.regions.silent(&self.own, now) {
            let region = word.summary.region.clone();
            self.note_region(&region, true, out);
            let update = MemberUpdate::Region(word);
            self.pending_updates.put(update.subject(), update);
        }
        if regions.is_empty() || !self.is_relay() {
            return;
        }
        let names: Vec<_> = self
            .living()
            .map(|held| held.record.name.clone())
            .chain([self.own.name.clone()])
            .collect();
        self.regions
            .forget(|name| names.iter().any(|held| held == name));
        for region in regions {
            let contacts = self.regions.contacts(&region);
            let chosen: Vec<_> = contacts.sample(rng, 2).cloned().collect();
            for contact in chosen {
                // It may have been replaced since, so it counts as not met.
                let act = MemberAct::Region(self.summary());
                self.send_to(contact.peers, 0, act, out);
            }
        }
    }

    /// Tells whether this node is one of those that speak with other regions.
    pub(super) fn is_relay(&self) -> bool {
        let alive = self.alive();
        spread::ranked("relay", alive.iter())
            .into_iter()
            .take(spread::RELAYS)
            .any(|record| record.name == self.own.name)
    }

    pub(super) fn hear_region(
        &mut self,
        summary: RegionSummary,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let region = summary.region.clone();
        if region == self.own.region {
            return;
        }
        let before = self.regions.is_reached(&region);
        if let Some(word) = self.regions.hear(&self.own, summary, now) {
            self.changes += 1;
            self.note_region(&region, before, out);
            let update = MemberUpdate::Region(word);
            self.pending_updates.put(update.subject(), update);
        }
    }

    pub(super) fn note_region(&mut self, region: &str, before: bool, out: &mut Vec<MemberAction>) {
        let after = self.regions.is_reached(region);
        if before != after {
            self.changes += 1;
            out.push(match after {
                true => MemberAction::RegionFound(region.to_owned()),
                false => MemberAction::RegionLost(region.to_owned()),
            });
        }
    }
}

fn is_serving(record: &MemberRecord) -> bool {
    record.phase == MemberPhase::Serving
}
