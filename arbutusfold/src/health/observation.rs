//! Observations of upstreams by their watchers, and the majority among them.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::member;
use crate::upstream;

/// Buckets into which observations are grouped for the comparison of digests.
pub(super) const DIGEST_BUCKETS: usize = 16;

/// Time for which an observation still counts after its watcher stopped being a member.
const ORPHAN_LIFETIME: std_time::Duration = std_time::Duration::from_secs(5);

/// Version that orders the observations of one watcher.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ObservationVersion {
    /// Incarnation of the watcher.
    pub incarnation: id::IncarnationNumber,
    /// Number of the observation within that incarnation.
    pub sequence: u64,
}

/// State of one upstream as one watcher observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthObservation {
    /// Name of the upstream.
    pub upstream: id::UpstreamName,
    /// Host that watches it.
    pub watcher: id::HostName,
    /// Version of the observation; a later one replaces it.
    pub version: ObservationVersion,
    /// Last report of the upstream; `None` while the upstream is lost.
    pub report: Option<upstream::EngineReport>,
}

impl HealthObservation {
    /// Returns the key under which a newer observation replaces this one.
    pub(super) fn key(&self) -> (id::UpstreamName, id::HostName) {
        (self.upstream.clone(), self.watcher.clone())
    }
}

/// Result of the last poll of an upstream by this node.
#[derive(Clone, Debug)]
pub(super) struct LocalObservation {
    /// Report of the upstream; `None` while the upstream is lost.
    pub(super) report: Option<upstream::EngineReport>,
    /// Report that was last published to peers.
    pub(super) published: Option<upstream::EngineReport>,
    /// When the poll ended.
    pub(super) received: time::Instant,
}

impl LocalObservation {
    /// Returns the report with its age as of `now`.
    pub(super) fn aged(&self, now: time::Instant) -> Option<upstream::EngineReport> {
        aged(self.report.as_ref()?, self.received, now)
    }
}

/// How a report differs from the one last published to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportChange {
    /// Not enough to be published.
    Insignificant,
    /// In the load level only.
    Load,
    /// In the state that every node must learn soon.
    State,
}

/// Compares a report with the one last published to peers.
///
/// With `suppress_load` a change of the load alone is insignificant.
pub(super) fn classify_change(
    published: Option<&upstream::EngineReport>,
    report: Option<&upstream::EngineReport>,
    suppress_load: bool,
) -> ReportChange {
    let (published, report) = match (published, report) {
        (None, None) => return ReportChange::Insignificant,
        (Some(published), Some(report)) => (published, report),
        (None, Some(_)) | (Some(_), None) => return ReportChange::State,
    };
    if state_of(published) != state_of(report) {
        return ReportChange::State;
    }
    match load_level(published) != load_level(report) && !suppress_load {
        true => ReportChange::Load,
        false => ReportChange::Insignificant,
    }
}

/// Returns the parts of a report whose change is published at once.
fn state_of(
    report: &upstream::EngineReport,
) -> (id::IncarnationNumber, &[upstream::HeldLayers], bool) {
    (report.incarnation, &report.held, report.leaving)
}

/// Returns the load as a coarse level; the lower bound doubles with each level.
fn load_level(report: &upstream::EngineReport) -> u32 {
    let load = report.running.saturating_add(report.waiting);
    u32::BITS - (load / 2).leading_zeros()
}

/// Returns the digest bucket of an upstream.
pub(super) fn bucket_of(upstream: &str) -> usize {
    member::hash(&[upstream]) as usize % DIGEST_BUCKETS
}

/// Returns a copy of a report whose age includes the time since it was received.
fn aged(
    report: &upstream::EngineReport,
    received: time::Instant,
    now: time::Instant,
) -> Option<upstream::EngineReport> {
    let mut report = report.clone();
    let elapsed = now.duration_since(received).as_millis();
    let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
    report.age_ms = report.age_ms.saturating_add(elapsed);
    Some(report)
}

/// An observation with the time at which it was received.
#[derive(Clone, Debug)]
struct ObservationEntry {
    observation: HealthObservation,
    received: time::Instant,
    /// When its watcher was first missing from the members.
    orphaned: Option<time::Instant>,
}

/// Newest observation of one upstream by each of its watchers.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservationSet {
    entries: Vec<ObservationEntry>,
}

impl ObservationSet {
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &HealthObservation> {
        self.entries.iter().map(|entry| &entry.observation)
    }

    /// Inserts an observation unless one of the same or a later version from the same
    /// watcher is present. Returns whether it was inserted.
    pub(super) fn insert(&mut self, observation: HealthObservation, now: time::Instant) -> bool {
        let new_entry = ObservationEntry {
            observation,
            received: now,
            orphaned: None,
        };
        let existing = self
            .entries
            .iter_mut()
            .find(|entry| entry.observation.watcher == new_entry.observation.watcher);
        match existing {
            Some(existing) if existing.observation.version >= new_entry.observation.version => {
                false
            }
            Some(existing) => {
                *existing = new_entry;
                true
            }
            None => {
                self.entries.push(new_entry);
                true
            }
        }
    }

    /// Records which watchers are members and removes observations whose watcher has
    /// been missing for [`ORPHAN_LIFETIME`].
    ///
    /// Watchers of a `remote` upstream, which belong to another region, always count.
    pub(super) fn update_members(
        &mut self,
        remote: bool,
        now: time::Instant,
        is_member: impl Fn(&str) -> bool,
    ) {
        for entry in &mut self.entries {
            entry.orphaned = match remote || is_member(&entry.observation.watcher) {
                true => None,
                false => Some(entry.orphaned.unwrap_or(now)),
            };
        }
        self.entries.retain(|entry| {
            entry
                .orphaned
                .is_none_or(|since| now.duration_since(since) < ORPHAN_LIFETIME)
        });
    }

    /// Returns the report that the majority of watchers supports.
    ///
    /// `Some(None)` means that most watchers lost the upstream, or that every
    /// observation has expired; `None` means that there is no observation.
    pub(super) fn majority_report(
        &self,
        now: time::Instant,
    ) -> Option<Option<upstream::EngineReport>> {
        let counted: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| {
                entry
                    .orphaned
                    .is_none_or(|since| now.duration_since(since) < ORPHAN_LIFETIME)
            })
            .collect();
        if counted.is_empty() {
            return (!self.entries.is_empty()).then_some(None);
        }
        let lost = counted
            .iter()
            .filter(|entry| entry.observation.report.is_none())
            .count();
        if lost * 2 > counted.len() {
            return Some(None);
        }
        let reports = counted.iter().filter_map(|entry| {
            entry
                .observation
                .report
                .as_ref()
                .map(|report| (report, entry.received))
        });
        let newest = reports
            .clone()
            .max_by_key(|(report, received)| (report.incarnation, *received));
        let (report, received) = newest?;
        let mut merged = aged(report, received, now)?;
        // Leaving is irreversible within one incarnation of an upstream.
        merged.leaving = reports
            .filter(|(other, _)| other.incarnation == report.incarnation)
            .any(|(other, _)| other.leaving);
        Some(Some(merged))
    }

    /// Returns a digest of the observed states; load is not part of it.
    pub(super) fn digest(&self) -> u64 {
        let parts = self.iter().map(|observation| {
            let state = match &observation.report {
                None => "lost".to_owned(),
                Some(report) => format!("{:?}", state_of(report)),
            };
            member::hash(&[&observation.upstream, &observation.watcher, &state])
        });
        parts.fold(0, |all, part| all ^ part)
    }
}
