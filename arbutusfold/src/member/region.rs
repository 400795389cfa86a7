//! What a node knows of other regions: summaries, never single hosts.

use std::time as std_time;

use tokio::time;

use crate::id;
use crate::member::message;

/// Time between two summaries to another region.
pub(crate) const SUMMARY_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Silence after which another region counts as cut off.
const REGION_SILENCE: std_time::Duration = std_time::Duration::from_secs(5);

/// Nodes that one summary names.
pub(crate) const SUMMARY_CONTACTS: usize = 6;

/// What one relay of the own region says of another region.
#[derive(Clone, Debug)]
struct HeldWord {
    word: message::RegionWord,
    /// When this node heard the region itself, if it did.
    heard: Option<time::Instant>,
}

/// What is known of other regions.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionBook {
    held: Vec<HeldWord>,
}

impl RegionBook {
    /// Takes a summary that this node heard itself; returns a word worth telling.
    pub(crate) fn hear(
        &mut self,
        own: &message::MemberRecord,
        summary: message::RegionSummary,
        now: time::Instant,
    ) -> Option<message::RegionWord> {
        let known = self
            .held
            .iter_mut()
            .find(|held| held.word.relay == own.name && held.word.summary.region == summary.region);
        let Some(known) = known else {
            let word = message::RegionWord {
                relay: own.name.clone(),
                age: message::RecordAge {
                    incarnation: own.incarnation,
                    revision: 1,
                },
                summary,
                reached: true,
            };
            self.held.push(HeldWord {
                word: word.clone(),
                heard: Some(now),
            });
            return Some(word);
        };
        known.heard = Some(now);
        if known.word.reached && known.word.summary == summary {
            return None;
        }
        known.word.summary = summary;
        known.word.reached = true;
        known.word.age.incarnation = own.incarnation;
        known.word.age.revision += 1;
        Some(known.word.clone())
    }

    /// Takes what a relay of the own region says; tells whether it is news.
    pub(crate) fn learn(&mut self, word: &message::RegionWord) -> bool {
        let known = self.held.iter_mut().find(|held| {
            held.word.relay == word.relay && held.word.summary.region == word.summary.region
        });
        match known {
            Some(known) if known.word.age >= word.age => false,
            Some(known) => {
                known.word = word.clone();
                true
            }
            None => {
                self.held.push(HeldWord {
                    word: word.clone(),
                    heard: None,
                });
                true
            }
        }
    }

    /// Returns words on regions that this node stopped hearing itself.
    pub(crate) fn silent(
        &mut self,
        own: &message::MemberRecord,
        now: time::Instant,
    ) -> Vec<message::RegionWord> {
        let mut words = Vec::new();
        for held in &mut self.held {
            let silent = held
                .heard
                .is_some_and(|heard| now.duration_since(heard) > REGION_SILENCE);
            if held.word.relay == own.name && held.word.reached && silent {
                held.word.reached = false;
                held.word.age.revision += 1;
                words.push(held.word.clone());
            }
        }
        words
    }

    /// Forgets the words of hosts that are no longer members.
    pub(crate) fn forget(&mut self, is_member: impl Fn(&str) -> bool) {
        // The last word on a region stays, so that it can be found again.
        let regions = self.names();
        for region in regions {
            let living = self
                .held
                .iter()
                .any(|held| held.word.summary.region == region && is_member(&held.word.relay));
            if living {
                self.held.retain(|held| {
                    held.word.summary.region != region || is_member(&held.word.relay)
                });
            }
        }
    }

    /// Returns the names of the regions known.
    pub(crate) fn names(&self) -> Vec<id::RegionName> {
        let mut names: Vec<_> = self
            .held
            .iter()
            .map(|held| held.word.summary.region.clone())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Tells whether any relay reaches a region.
    pub(crate) fn is_reached(&self, region: &str) -> bool {
        self.held
            .iter()
            .any(|held| held.word.summary.region == region && held.word.reached)
    }

    /// Returns the most nodes that a word says are alive in a region.
    pub(crate) fn alive(&self, region: &str) -> usize {
        let words = self.words().filter(|word| word.summary.region == region);
        words
            .map(|word| word.summary.alive as usize)
            .max()
            .unwrap_or(0)
    }

    /// Returns every word known.
    pub(crate) fn words(&self) -> impl Iterator<Item = &message::RegionWord> {
        self.held.iter().map(|held| &held.word)
    }

    /// Returns the nodes of a region that are known, by name.
    pub(crate) fn contacts(&self, region: &str) -> Vec<message::RegionContact> {
        let mut contacts: Vec<_> = self
            .words()
            .filter(|word| word.summary.region == region)
            .flat_map(|word| word.summary.contacts.iter().cloned())
            .collect();
        contacts.sort_by(|left, right| {
            let newest = right.incarnation.cmp(&left.incarnation);
            left.name.cmp(&right.name).then(newest)
        });
        contacts.dedup_by(|left, right| left.name == right.name);
        contacts
    }
}
