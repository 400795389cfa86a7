//! State of other regions as a node knows it: summaries instead of single hosts.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::member::message;

/// Interval between two summaries sent to another region.
pub(crate) const SUMMARY_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Time without a summary after which another region counts as unreachable.
const UNREACHABLE_AFTER: std_time::Duration = std_time::Duration::from_secs(5);

/// Maximum number of contacts in a summary.
pub(crate) const SUMMARY_CONTACTS: usize = 6;

/// The latest report of one relay of the own region about another region.
#[derive(Clone, Debug)]
struct RegionEntry {
    report: message::RegionReport,
    /// When this node itself last received a summary of the region, if it did.
    last_summary: Option<time::Instant>,
}

/// The reports about other regions, one for each relay and region.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionTable {
    entries: Vec<RegionEntry>,
}

impl RegionTable {
    /// Records a summary that this node received itself. Returns the report to
    /// spread if it changed.
    pub(crate) fn record_summary(
        &mut self,
        own: &message::MemberRecord,
        summary: message::RegionSummary,
        now: time::Instant,
    ) -> Option<message::RegionReport> {
        let known = self.entries.iter_mut().find(|entry| {
            entry.report.relay == own.name && entry.report.summary.region == summary.region
        });
        let Some(known) = known else {
            let report = message::RegionReport {
                relay: own.name.clone(),
                version: message::RecordVersion {
                    incarnation: own.incarnation,
                    revision: 1,
                },
                summary,
                reachable: true,
            };
            self.entries.push(RegionEntry {
                report: report.clone(),
                last_summary: Some(now),
            });
            return Some(report);
        };
        known.last_summary = Some(now);
        if known.report.reachable && known.report.summary == summary {
            return None;
        }
        known.report.summary = summary;
        known.report.reachable = true;
        known.report.version.incarnation = own.incarnation;
        known.report.version.revision += 1;
        Some(known.report.clone())
    }

    /// Merges a report of another relay of the own region; returns whether it is new.
    pub(crate) fn merge(&mut self, report: &message::RegionReport) -> bool {
        let known = self.entries.iter_mut().find(|entry| {
            entry.report.relay == report.relay
                && entry.report.summary.region == report.summary.region
        });
        match known {
            Some(known) if known.report.version >= report.version => false,
            Some(known) => {
                known.report = report.clone();
                true
            }
            None => {
                self.entries.push(RegionEntry {
                    report: report.clone(),
                    last_summary: None,
                });
                true
            }
        }
    }

    /// Marks the regions from which this node no longer receives summaries as
    /// unreachable; returns the changed reports.
    pub(crate) fn mark_unreachable(
        &mut self,
        own: &message::MemberRecord,
        now: time::Instant,
    ) -> Vec<message::RegionReport> {
        let mut changed = Vec::new();
        for entry in &mut self.entries {
            let expired = entry
                .last_summary
                .is_some_and(|received| now.duration_since(received) > UNREACHABLE_AFTER);
            if entry.report.relay == own.name && entry.report.reachable && expired {
                entry.report.reachable = false;
                entry.report.version.revision += 1;
                changed.push(entry.report.clone());
            }
        }
        changed
    }

    /// Removes the reports of relays that are no longer members.
    pub(crate) fn prune(&mut self, is_member: impl Fn(&str) -> bool) {
        // The last reports about a region stay, so that it can be contacted again.
        let regions = self.names();
        for region in regions {
            let has_live_relay = self.entries.iter().any(|entry| {
                entry.report.summary.region == region && is_member(&entry.report.relay)
            });
            if has_live_relay {
                self.entries.retain(|entry| {
                    entry.report.summary.region != region || is_member(&entry.report.relay)
                });
            }
        }
    }

    /// Returns the names of the known regions, sorted.
    pub(crate) fn names(&self) -> Vec<id::RegionName> {
        let mut names: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.report.summary.region.clone())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns whether any relay can reach a region.
    pub(crate) fn is_reachable(&self, region: &str) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.report.summary.region == region && entry.report.reachable)
    }

    /// Returns the highest number of live nodes that a report gives for a region.
    pub(crate) fn alive(&self, region: &str) -> usize {
        let reports = self
            .reports()
            .filter(|report| report.summary.region == region);
        reports
            .map(|report| report.summary.alive as usize)
            .max()
            .unwrap_or(0)
    }

    /// Returns all reports.
    pub(crate) fn reports(&self) -> impl Iterator<Item = &message::RegionReport> {
        self.entries.iter().map(|entry| &entry.report)
    }

    /// Returns the known nodes of a region, sorted by name.
    pub(crate) fn contacts(&self, region: &str) -> Vec<message::RegionContact> {
        let mut contacts: Vec<_> = self
            .reports()
            .filter(|report| report.summary.region == region)
            .flat_map(|report| report.summary.contacts.iter().cloned())
            .collect();
        contacts.sort_by(|left, right| {
            let newest = right.incarnation.cmp(&left.incarnation);
            left.name.cmp(&right.name).then(newest)
        });
        contacts.dedup_by(|left, right| left.name == right.name);
        contacts
    }
}
