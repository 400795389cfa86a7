//! Exchange of summaries with other regions.

use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::time;

use super::{MemberAction, MemberProtocol};
use crate::member::message::{
    MemberPhase, MemberRecord, MemberUpdate, MessageBody, RegionContact, RegionSummary,
};
use crate::member::{placement, region};

impl MemberProtocol {
    pub(super) fn summary(&self) -> RegionSummary {
        let alive = self.alive();
        let mut domains: Vec<_> = alive.iter().map(|record| record.domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        let contacts = placement::ranked(
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

    /// Updates which regions are reachable and, on a relay, sends a summary to each region.
    pub(super) fn exchange_summaries(
        &mut self,
        now: time::Instant,
        rng: &mut impl Rng,
        out: &mut Vec<MemberAction>,
    ) {
        let regions = self.regions.names();
        for report in self.regions.mark_unreachable(&self.own, now) {
            let region = report.summary.region.clone();
            self.report_region_change(&region, true, out);
            let update = MemberUpdate::Region(report);
            self.pending_updates.put(update.key(), update);
        }
        if regions.is_empty() || !self.is_relay() {
            return;
        }
        let names: Vec<_> = self
            .live_members()
            .map(|member| member.record.name.clone())
            .chain([self.own.name.clone()])
            .collect();
        self.regions
            .prune(|name| names.iter().any(|live| live == name));
        for region in regions {
            let contacts = self.regions.contacts(&region);
            let chosen: Vec<_> = contacts.sample(rng, 2).cloned().collect();
            for contact in chosen {
                // The process may have been replaced, so its incarnation counts as unknown.
                let body = MessageBody::Region(self.summary());
                self.send_to(contact.peers, 0, body, out);
            }
        }
    }

    /// Returns whether this node is one of the relays that exchange summaries with other regions.
    pub(super) fn is_relay(&self) -> bool {
        let alive = self.alive();
        placement::ranked("relay", alive.iter())
            .into_iter()
            .take(placement::RELAY_COUNT)
            .any(|record| record.name == self.own.name)
    }

    pub(super) fn handle_summary(
        &mut self,
        summary: RegionSummary,
        now: time::Instant,
        out: &mut Vec<MemberAction>,
    ) {
        let region = summary.region.clone();
        if region == self.own.region {
            return;
        }
        let before = self.regions.is_reachable(&region);
        if let Some(report) = self.regions.record_summary(&self.own, summary, now) {
            self.generation += 1;
            self.report_region_change(&region, before, out);
            let update = MemberUpdate::Region(report);
            self.pending_updates.put(update.key(), update);
        }
    }

    pub(super) fn report_region_change(
        &mut self,
        region: &str,
        before: bool,
        out: &mut Vec<MemberAction>,
    ) {
        let after = self.regions.is_reachable(region);
        if before != after {
            self.generation += 1;
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
