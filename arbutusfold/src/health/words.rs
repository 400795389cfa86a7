//! What watchers say of upstreams, and how their words are weighed.

use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::id;
use crate::member;
use crate::upstream;

/// Buckets in which two nodes compare what they know.
pub(super) const BUCKETS: usize = 16;

/// Time for which the word of a watcher that is gone still counts.
const ORPHAN_LIFE: std_time::Duration = std_time::Duration::from_secs(5);

/// Orders the words of one watcher.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct WordAge {
    /// Incarnation of the watcher.
    pub incarnation: id::IncarnationNumber,
    /// Number of the word among those of the watcher.
    pub sequence: u64,
}

/// What one watcher says of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthWord {
    /// Name of the upstream.
    pub upstream: id::UpstreamName,
    /// Host that watches it.
    pub watcher: id::HostName,
    /// Orders the words of the watcher.
    pub age: WordAge,
    /// Report of the upstream; `None` while it does not answer.
    pub report: Option<upstream::EngineReport>,
}

impl HealthWord {
    /// Returns what the word is about, so that a newer one replaces it.
    pub(super) fn subject(&self) -> (id::UpstreamName, id::HostName) {
        (self.upstream.clone(), self.watcher.clone())
    }
}

/// An upstream's own answer to this node.
#[derive(Clone, Debug)]
pub(super) struct FirstHand {
    pub(super) report: Option<upstream::EngineReport>,
    /// The report that peers were told last.
    pub(super) told: Option<upstream::EngineReport>,
    pub(super) heard: time::Instant,
}

impl FirstHand {
    /// Returns the report with its age as of now.
    pub(super) fn aged(&self, now: time::Instant) -> Option<upstream::EngineReport> {
        aged(self.report.as_ref()?, self.heard, now)
    }
}

/// How much a report differs from the one that peers were told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WordNews {
    /// Not enough to be told.
    None,
    /// In load alone.
    Load,
    /// In substance: it must reach everyone soon.
    Hard,
}

/// Compares a report with the one that peers were told.
pub(super) fn compare(
    told: Option<&upstream::EngineReport>,
    report: Option<&upstream::EngineReport>,
    quiet: bool,
) -> WordNews {
    let (told, report) = match (told, report) {
        (None, None) => return WordNews::None,
        (Some(told), Some(report)) => (told, report),
        (None, Some(_)) | (Some(_), None) => return WordNews::Hard,
    };
    if substance(told) != substance(report) {
        return WordNews::Hard;
    }
    match level(told) != level(report) && !quiet {
        true => WordNews::Load,
        false => WordNews::None,
    }
}

/// The parts of a report that everyone must know.
fn substance(
    report: &upstream::EngineReport,
) -> (id::IncarnationNumber, &[upstream::HeldLayers], bool) {
    (report.incarnation, &report.held, report.leaving)
}

/// Returns the load in coarse steps, each twice the one before.
fn level(report: &upstream::EngineReport) -> u32 {
    let load = report.running.saturating_add(report.waiting);
    u32::BITS - (load / 2).leading_zeros()
}

/// Returns the bucket in which an upstream is compared.
pub(super) fn bucket_of(upstream: &str) -> usize {
    member::hash(&[upstream]) as usize % BUCKETS
}

fn aged(
    report: &upstream::EngineReport,
    heard: time::Instant,
    now: time::Instant,
) -> Option<upstream::EngineReport> {
    let mut report = report.clone();
    let since = now.duration_since(heard).as_millis();
    let since = u64::try_from(since).unwrap_or(u64::MAX);
    report.age_ms = report.age_ms.saturating_add(since);
    Some(report)
}

/// A word and when it was heard.
#[derive(Clone, Debug)]
struct HeldWord {
    word: HealthWord,
    heard: time::Instant,
    /// When its watcher was found to be gone.
    orphaned: Option<time::Instant>,
}

/// The words on one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct WordBook {
    held: Vec<HeldWord>,
}

impl WordBook {
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    pub(super) fn words(&self) -> impl Iterator<Item = &HealthWord> {
        self.held.iter().map(|held| &held.word)
    }

    /// Takes a word and tells whether it is news.
    pub(super) fn learn(&mut self, word: HealthWord, now: time::Instant) -> bool {
        let fresh = HeldWord {
            word,
            heard: now,
            orphaned: None,
        };
        let known = self
            .held
            .iter_mut()
            .find(|held| held.word.watcher == fresh.word.watcher);
        match known {
            Some(known) if known.word.age >= fresh.word.age => false,
            Some(known) => {
                *known = fresh;
                true
            }
            None => {
                self.held.push(fresh);
                true
            }
        }
    }

    /// Notes which watchers are members; words of those gone fade.
    pub(super) fn note_members(
        &mut self,
        remote: bool,
        now: time::Instant,
        is_member: impl Fn(&str) -> bool,
    ) {
        for held in &mut self.held {
            held.orphaned = match remote || is_member(&held.word.watcher) {
                true => None,
                false => Some(held.orphaned.unwrap_or(now)),
            };
        }
        self.held.retain(|held| {
            held.orphaned
                .is_none_or(|since| now.duration_since(since) < ORPHAN_LIFE)
        });
    }

    /// Returns the report that most watchers support, `None` inside while it
    /// is lost, and nothing where nobody said anything.
    pub(super) fn verdict(&self, now: time::Instant) -> Option<Option<upstream::EngineReport>> {
        let counted: Vec<_> = self
            .held
            .iter()
            .filter(|held| {
                held.orphaned
                    .is_none_or(|since| now.duration_since(since) < ORPHAN_LIFE)
            })
            .collect();
        if counted.is_empty() {
            return (!self.held.is_empty()).then_some(None);
        }
        let lost = counted
            .iter()
            .filter(|held| held.word.report.is_none())
            .count();
        if lost * 2 > counted.len() {
            return Some(None);
        }
        let reports = counted
            .iter()
            .filter_map(|held| held.word.report.as_ref().map(|report| (report, held.heard)));
        let newest = reports
            .clone()
            .max_by_key(|(report, heard)| (report.incarnation, *heard));
        let (report, heard) = newest?;
        let mut shown = aged(report, heard, now)?;
        // An upstream never takes back that it leaves within one incarnation.
        shown.leaving = reports
            .filter(|(other, _)| other.incarnation == report.incarnation)
            .any(|(other, _)| other.leaving);
        Some(Some(shown))
    }

    /// Returns a digest of what the words say in substance.
    pub(super) fn digest(&self) -> u64 {
        let parts = self.words().map(|word| {
            let state = match &word.report {
                None => "lost".to_owned(),
                Some(report) => format!("{:?}", substance(report)),
            };
            member::hash(&[&word.upstream, &word.watcher, &state])
        });
        parts.fold(0, |all, part| all ^ part)
    }
}
