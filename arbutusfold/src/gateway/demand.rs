//! Demand for scarce room: what this node asks for and holds, and the sums of all
//! nodes as far as its leader has reported them.
//!
//! The own part is exact. The part of the other nodes is late by two report
//! periods, and empty without a leader: every decision then rests on the own part.

use std::cmp;
use std::sync;
use std::time as std_time;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::gateway::leader;
use crate::id;

/// Most ranks of one service in a summary; the least urgent ones are left out. Four
/// priorities of organisations by four of routes fit, in 15 bytes each at most.
pub const RANK_LIMIT: usize = 16;

/// Most organisations in a summary; those with the least use are left out.
const ORGANISATION_LIMIT: usize = 64;

/// Most failed runners in a summary.
const FAILED_LIMIT: usize = 64;

/// Time for which a runner that a leader found to have failed gets no requests unless
/// another summary comes. It outlasts a few lost summaries and the change to another
/// leader.
pub const FAILED_HOLD: std_time::Duration = std_time::Duration::from_secs(1);

/// Time for which a node repeats that it saw a runner fail, in case that messages are
/// lost. A runner that is still gone then fails again.
const SUSPICION_TIME: std_time::Duration = std_time::Duration::from_secs(1);

/// Hash of a service's name that identifies it in messages between nodes.
pub type ServiceKey = u32;

/// Hash of an organisation's name that identifies it in messages between nodes.
pub type OrganisationKey = u32;

/// Hash of a failure domain's name that identifies it in messages between nodes.
pub type DomainKey = u32;

/// Rank of a request; 0 is the highest. Nodes only compare ranks.
pub type RequestRank = u8;

/// Demand of one rank for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankDemand {
    /// The service.
    pub service: ServiceKey,
    /// The rank.
    pub rank: RequestRank,
    /// Requests that wait for room.
    pub waiting: u32,
    /// Requests that arrived in a second, as a moving average.
    pub arrivals_per_second: f32,
}

/// What one organisation holds of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationUse {
    /// The service.
    pub service: ServiceKey,
    /// The organisation.
    pub organisation: OrganisationKey,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that wait for room.
    pub waiting: u32,
}

/// Prompt tokens that requests in flight have sent to a runner and that it has not
/// read yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptBacklog {
    /// The runner.
    pub runner: leader::RunnerKey,
    /// Tokens, each multiplied by the number of layers that read it there.
    pub token_layers: u64,
}

/// Traffic from one failure domain to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LinkUse {
    /// The domain that sends.
    pub from: DomainKey,
    /// The domain that receives.
    pub to: DomainKey,
    /// Bytes in a second, as a moving average.
    pub bytes_per_second: f32,
}

/// A runner whose process does not exist or does not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRunner {
    /// The runner.
    pub runner: leader::RunnerKey,
    /// Start of the process that failed, in milliseconds since the Unix epoch.
    pub incarnation: id::IncarnationNumber,
    /// Milliseconds since a node last saw it fail.
    pub age_ms: u32,
}

/// Demand summed over a node, a failure domain or the fleet. Lists are sorted by
/// their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandSummary {
    /// Demand by service and rank.
    pub ranks: Vec<RankDemand>,
    /// Use by service and organisation.
    pub organisations: Vec<OrganisationUse>,
    /// Prompts to be read, by runner.
    pub prompts: Vec<PromptBacklog>,
    /// Traffic between failure domains.
    pub links: Vec<LinkUse>,
    /// Runners that failed, by runner. A node lists those that it saw fail, a leader
    /// those that it found to have failed.
    pub failed: Vec<FailedRunner>,
    /// Milliseconds since the oldest part of the sums was true.
    pub age_ms: u32,
}

impl DemandSummary {
    /// Returns whether the summary tells nothing.
    pub fn is_empty(&self) -> bool {
        self.ranks.is_empty()
            && self.organisations.is_empty()
            && self.prompts.is_empty()
            && self.links.is_empty()
            && self.failed.is_empty()
    }
}

/// An entry of a list that is summed by key.
trait DemandEntry: Copy {
    type Key: Ord;

    fn key(&self) -> Self::Key;

    /// Adds another entry with the same key, up to the largest number.
    fn add(&mut self, other: &Self);

    /// Subtracts another entry with the same key, down to zero.
    fn subtract(&mut self, other: &Self);

    fn is_zero(&self) -> bool;

    /// Returns the entry with numbers that can be added.
    fn normalize(self) -> Self {
        self
    }
}

impl DemandEntry for RankDemand {
    type Key = (ServiceKey, RequestRank);

    fn key(&self) -> Self::Key {
        (self.service, self.rank)
    }

    fn add(&mut self, other: &Self) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.arrivals_per_second = add_rates(self.arrivals_per_second, other.arrivals_per_second);
    }

    fn subtract(&mut self, other: &Self) {
        self.waiting = self.waiting.saturating_sub(other.waiting);
        self.arrivals_per_second = add_rates(self.arrivals_per_second, -other.arrivals_per_second);
    }

    fn is_zero(&self) -> bool {
        self.waiting == 0 && self.arrivals_per_second <= 0.0
    }

    fn normalize(self) -> Self {
        Self {
            arrivals_per_second: add_rates(self.arrivals_per_second, 0.0),
            ..self
        }
    }
}

impl DemandEntry for OrganisationUse {
    type Key = (ServiceKey, OrganisationKey);

    fn key(&self) -> Self::Key {
        (self.service, self.organisation)
    }

    fn add(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }

    fn subtract(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.waiting = self.waiting.saturating_sub(other.waiting);
    }

    fn is_zero(&self) -> bool {
        self.in_flight == 0 && self.waiting == 0
    }
}

impl DemandEntry for PromptBacklog {
    type Key = leader::RunnerKey;

    fn key(&self) -> Self::Key {
        self.runner
    }

    fn add(&mut self, other: &Self) {
        self.token_layers = self.token_layers.saturating_add(other.token_layers);
    }

    fn subtract(&mut self, other: &Self) {
        self.token_layers = self.token_layers.saturating_sub(other.token_layers);
    }

    fn is_zero(&self) -> bool {
        self.token_layers == 0
    }
}

impl DemandEntry for LinkUse {
    type Key = (DomainKey, DomainKey);

    fn key(&self) -> Self::Key {
        (self.from, self.to)
    }

    fn add(&mut self, other: &Self) {
        self.bytes_per_second = add_rates(self.bytes_per_second, other.bytes_per_second);
    }

    fn subtract(&mut self, other: &Self) {
        self.bytes_per_second = add_rates(self.bytes_per_second, -other.bytes_per_second);
    }

    fn is_zero(&self) -> bool {
        self.bytes_per_second <= 0.0
    }

    fn normalize(self) -> Self {
        Self {
            bytes_per_second: add_rates(self.bytes_per_second, 0.0),
            ..self
        }
    }
}

/// Adds rates of messages, which may hold any number.
fn add_rates(left: f32, right: f32) -> f32 {
    let finite = |rate: f32| if rate.is_finite() { rate } else { 0.0 };
    (finite(left) + finite(right)).clamp(0.0, f32::MAX)
}

/// Sums entries by key; the result is sorted and holds no zeros.
fn sum_entries<T: DemandEntry>(entries: impl Iterator<Item = T>) -> Vec<T> {
    let mut sums: Vec<_> = entries.map(DemandEntry::normalize).collect();
    sums.sort_by_key(DemandEntry::key);
    sums.dedup_by(|entry, sum| {
        let is_same = entry.key() == sum.key();
        if is_same {
            sum.add(entry);
        }
        is_same
    });
    sums.retain(|sum| !sum.is_zero());
    sums
}

/// Subtracts entries, both lists sorted by key, and drops what becomes zero.
fn subtract_entries<T: DemandEntry>(sums: &mut Vec<T>, parts: &[T]) {
    for part in parts {
        if let Ok(index) = sums.binary_search_by_key(&part.key(), DemandEntry::key) {
            sums[index].subtract(part);
        }
    }
    sums.retain(|sum| !sum.is_zero());
}

/// Returns the sum of summaries; each age is that of the summary at its receipt plus
/// the time since then.
fn merge(parts: &[(&DemandSummary, u32)]) -> DemandSummary {
    let summaries = || parts.iter().map(|(summary, _)| *summary);
    let mut ranks = sum_entries(summaries().flat_map(|part| part.ranks.iter().copied()));
    limit_ranks(&mut ranks);
    let mut organisations =
        sum_entries(summaries().flat_map(|part| part.organisations.iter().copied()));
    limit_organisations(&mut organisations);
    let ages = parts
        .iter()
        .map(|(summary, age)| summary.age_ms.saturating_add(*age));
    let failed = parts.iter().flat_map(|(summary, age)| {
        summary.failed.iter().map(|failed| FailedRunner {
            age_ms: failed.age_ms.saturating_add(*age),
            ..*failed
        })
    });
    DemandSummary {
        ranks,
        organisations,
        prompts: sum_entries(summaries().flat_map(|part| part.prompts.iter().copied())),
        links: sum_entries(summaries().flat_map(|part| part.links.iter().copied())),
        failed: merge_failed(failed),
        age_ms: ages.max().unwrap_or(0),
    }
}

fn limit_ranks(ranks: &mut Vec<RankDemand>) {
    let mut service = None;
    let mut count = 0;
    ranks.retain(|rank| {
        if service.replace(rank.service) != Some(rank.service) {
            count = 0;
        }
        count += 1;
        count <= RANK_LIMIT
    });
}

fn limit_organisations(organisations: &mut Vec<OrganisationUse>) {
    if organisations.len() <= ORGANISATION_LIMIT {
        return;
    }
    organisations.sort_by_key(|organisation| {
        cmp::Reverse(u64::from(organisation.in_flight) + u64::from(organisation.waiting))
    });
    organisations.truncate(ORGANISATION_LIMIT);
    organisations.sort_by_key(DemandEntry::key);
}

/// Returns one entry a runner, that of its latest process which failed last.
fn merge_failed(failed: impl Iterator<Item = FailedRunner>) -> Vec<FailedRunner> {
    let mut failed: Vec<_> = failed.collect();
    failed.sort_by_key(|failed| {
        let latest = cmp::Reverse(failed.incarnation);
        (failed.runner, latest, failed.age_ms)
    });
    failed.dedup_by_key(|failed| failed.runner);
    failed.truncate(FAILED_LIMIT);
    failed
}

/// Returns the key of a name in messages between nodes.
pub fn name_key(name: &str) -> u32 {
    leader::runner_key(name)
}

/// A received value with its age at the time of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AgedValue<T> {
    /// The value.
    pub value: T,
    /// Time since the facts behind it were true.
    pub age: std_time::Duration,
}

/// A summary with its sender and the time of its receipt.
#[derive(Clone, Debug)]
struct ReceivedDemand {
    host: id::HostName,
    received_at: time::Instant,
    summary: DemandSummary,
}

impl ReceivedDemand {
    fn age(&self, now: time::Instant) -> std_time::Duration {
        now.saturating_duration_since(self.received_at)
    }

    fn age_ms(&self, now: time::Instant) -> u32 {
        milliseconds(self.age(now))
    }

    /// Removes all but the failed runners, which the next leader has to check first.
    fn drop_sums(&mut self) {
        self.summary = DemandSummary {
            failed: std::mem::take(&mut self.summary.failed),
            ..DemandSummary::default()
        };
    }

    fn is_kept(&self, now: time::Instant) -> bool {
        !self.summary.is_empty() && self.age(now) < FAILED_HOLD
    }
}

/// Why a leader sends its summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendCause {
    /// A period has passed.
    Period,
    /// Failures may have changed; a summary whose failures have not is not sent.
    News,
}

/// What a leader told last.
#[derive(Clone, Debug, Default)]
struct ToldSummary {
    has_content: bool,
    failed: Vec<FailedRunner>,
}

impl ToldSummary {
    /// Returns the summary if it is to be sent, and keeps what it tells.
    fn update(&mut self, summary: DemandSummary, cause: SendCause) -> Option<DemandSummary> {
        let is_due = match cause {
            // An empty summary ends what the one before told.
            SendCause::Period => self.has_content || !summary.is_empty(),
            SendCause::News => is_changed(&self.failed, &summary.failed),
        };
        if !is_due {
            return None;
        }
        self.has_content = !summary.is_empty();
        self.failed.clone_from(&summary.failed);
        Some(summary)
    }
}

/// What a leader has to tell; `None` stands for nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaderSummaries {
    /// Demand of its domain, for the other leaders.
    pub domain: Option<DemandSummary>,
    /// Demand of the fleet, for the nodes of its domain.
    pub fleet: Option<DemandSummary>,
}

/// The demand of this node and, as far as its leader has told, of all others.
#[derive(Clone, Debug, Default)]
pub struct DemandView {
    /// Facts of this node.
    own: DemandSummary,
    /// When this node last saw each runner of `own.failed` fail.
    failed_at: Vec<time::Instant>,
    /// Facts of this node as last sent to its leader.
    sent: DemandSummary,
    /// Facts of the nodes that treat this node as their leader, by host.
    nodes: Vec<ReceivedDemand>,
    /// Summaries of the leaders of other domains, by host.
    domains: Vec<ReceivedDemand>,
    /// The latest summary of this node's leader, without the own part.
    others: Option<ReceivedDemand>,
    /// The latest summary of the domain.
    told_domain: ToldSummary,
    /// The latest summary of the fleet.
    told_fleet: ToldSummary,
    /// When this node last told its sums.
    told_at: Option<time::Instant>,
    /// Whether this node led its domain then.
    was_leading: bool,
    /// Signals that something is to be told before the next period.
    news: sync::Arc<tokio::sync::Notify>,
}

impl DemandView {
    /// Returns the facts of this node.
    pub fn own(&self) -> &DemandSummary {
        &self.own
    }

    /// Replaces the demand of this node by rank; called by admission.
    pub fn set_ranks(&mut self, ranks: Vec<RankDemand>) {
        self.own.ranks = ranks;
    }

    /// Replaces the use of this node by organisation; called by admission.
    pub fn set_organisations(&mut self, organisations: Vec<OrganisationUse>) {
        self.own.organisations = organisations;
    }

    /// Replaces the prompts that this node's requests still have to be read.
    pub fn set_prompts(&mut self, prompts: Vec<PromptBacklog>) {
        self.own.prompts = prompts;
    }

    /// Replaces the traffic of this node's requests between failure domains.
    pub fn set_links(&mut self, links: Vec<LinkUse>) {
        self.own.links = links;
    }

    /// Records that this node saw a runner's process fail; returns whether that is
    /// news, which is told at once.
    pub fn note_failed(
        &mut self,
        runner: leader::RunnerKey,
        incarnation: id::IncarnationNumber,
    ) -> bool {
        let place = self
            .own
            .failed
            .binary_search_by_key(&runner, |failed| failed.runner);
        let failed = FailedRunner {
            runner,
            incarnation,
            age_ms: 0,
        };
        let now = time::Instant::now();
        let is_new = match place {
            Ok(index) => {
                let is_new = self.own.failed[index].incarnation != incarnation;
                self.own.failed[index] = failed;
                self.failed_at[index] = now;
                is_new
            }
            Err(_) if self.own.failed.len() >= FAILED_LIMIT => false,
            Err(index) => {
                self.own.failed.insert(index, failed);
                self.failed_at.insert(index, now);
                true
            }
        };
        if is_new {
            self.news.notify_one();
        }
        is_new
    }

    /// Returns the signal that something is to be told before the next period.
    pub fn news(&self) -> sync::Arc<tokio::sync::Notify> {
        sync::Arc::clone(&self.news)
    }

    /// Stores a summary of a node or a leader in place of the one before. Messages
    /// without demand are ignored. Returns whether the summary names other failed
    /// runners than the one before.
    pub fn receive(
        &mut self,
        host: &str,
        message: leader::LeaderMessage,
        now: time::Instant,
    ) -> bool {
        let received = |summary| ReceivedDemand {
            host: host.to_owned(),
            received_at: now,
            summary,
        };
        match message {
            leader::LeaderMessage::NodeDemand(summary) => {
                put(&mut self.nodes, received(sanitize(summary)))
            }
            leader::LeaderMessage::DomainDemand(summary) => {
                put(&mut self.domains, received(sanitize(summary)))
            }
            leader::LeaderMessage::FleetDemand(summary) => {
                let mut others = sanitize(summary);
                subtract_entries(&mut others.ranks, &self.sent.ranks);
                subtract_entries(&mut others.organisations, &self.sent.organisations);
                subtract_entries(&mut others.prompts, &self.sent.prompts);
                subtract_entries(&mut others.links, &self.sent.links);
                let before = self.others.replace(received(others));
                let before = before.map_or(Vec::new(), |before| before.summary.failed);
                let after = self.others.as_ref().map(|others| &others.summary.failed);
                after.is_some_and(|after| is_changed(&before, after))
            }
            _ => false,
        }
    }

    /// Removes what was received over `expiry` ago, and failures that this node saw
    /// too long ago to repeat them.
    pub fn expire(&mut self, expiry: std_time::Duration, now: time::Instant) {
        let is_fresh = |received: &ReceivedDemand| received.age(now) < expiry;
        self.nodes.retain(is_fresh);
        self.domains
            .iter_mut()
            .filter(|received| !is_fresh(received))
            .for_each(ReceivedDemand::drop_sums);
        self.domains
            .retain(|received| is_fresh(received) || received.is_kept(now));
        self.others = self.others.take().filter(is_fresh);
        let mut failed_at = self.failed_at.iter();
        self.own.failed.retain_mut(|failed| {
            let age = failed_at
                .next()
                .map_or(std_time::Duration::MAX, |failed_at| now - *failed_at);
            failed.age_ms = milliseconds(age);
            age < SUSPICION_TIME
        });
        self.failed_at
            .retain(|failed_at| now - *failed_at < SUSPICION_TIME);
    }

    /// Returns whether the sums are due, which are told each `period`, offered each
    /// `step`, and told at once where the node begins or ceases to lead its domain;
    /// counts them as told.
    pub fn begin_period(
        &mut self,
        period: std_time::Duration,
        step: std_time::Duration,
        is_leading: bool,
        now: time::Instant,
    ) -> bool {
        let was_leading = std::mem::replace(&mut self.was_leading, is_leading);
        let is_over = self
            .told_at
            .is_none_or(|told_at| now.saturating_duration_since(told_at) + step / 2 >= period);
        let is_due = is_over || was_leading != is_leading;
        if is_due {
            self.told_at = Some(now);
        }
        is_due
    }

    /// Returns the facts of this node to send to its leader, or `None` if there is
    /// nothing to tell.
    pub fn node_summary(&mut self, now: time::Instant) -> Option<DemandSummary> {
        let was_told = !self.sent.is_empty();
        let summary = self.begin_summary(now);
        // An empty summary ends what the one before told.
        (was_told || !summary.is_empty()).then_some(summary)
    }

    /// Returns the facts of this node and keeps them as those that the leader knows.
    fn begin_summary(&mut self, now: time::Instant) -> DemandSummary {
        let mut summary = merge(&[(&self.own, 0)]);
        let ages = self
            .failed_at
            .iter()
            .map(|failed_at| now.saturating_duration_since(*failed_at));
        for (failed, age) in summary.failed.iter_mut().zip(ages) {
            failed.age_ms = milliseconds(age);
        }
        self.sent = summary.clone();
        summary
    }

    /// Removes the sums of nodes that no longer lead a domain, so that they do not
    /// count beside those of the next leader; `leaders` are those of the other domains.
    pub fn retain_domains(&mut self, leaders: &[&str]) {
        self.domains
            .iter_mut()
            .filter(|received| !leaders.contains(&received.host.as_str()))
            .for_each(ReceivedDemand::drop_sums);
    }

    /// Returns the summaries of a leader, with the runners of its domain that it found
    /// to have failed.
    pub fn leader_summaries(
        &mut self,
        failed: Vec<FailedRunner>,
        cause: SendCause,
        now: time::Instant,
    ) -> LeaderSummaries {
        let own = self.begin_summary(now);
        let nodes = self.nodes.iter();
        let nodes = nodes.map(|received| (&received.summary, received.age_ms(now)));
        let parts: Vec<_> = nodes.chain([(&own, 0)]).collect();
        let domain = DemandSummary {
            failed,
            ..merge(&parts)
        };
        let domains = self.domains.iter();
        let domains = domains.map(|received| (&received.summary, received.age_ms(now)));
        let parts: Vec<_> = domains.chain([(&domain, 0)]).collect();
        let fleet = merge(&parts);
        LeaderSummaries {
            domain: self.told_domain.update(domain, cause),
            fleet: self.told_fleet.update(fleet, cause),
        }
    }

    /// Returns the runners that this node or one that treats it as its leader saw
    /// fail, each with the time since then.
    pub fn suspicions(&self, now: time::Instant) -> Vec<FailedRunner> {
        let own = self.own.failed.iter().zip(&self.failed_at);
        let own = own.map(|(failed, failed_at)| FailedRunner {
            age_ms: milliseconds(now.saturating_duration_since(*failed_at)),
            ..*failed
        });
        let nodes = self.nodes.iter().flat_map(|received| {
            let age = received.age_ms(now);
            received
                .summary
                .failed
                .iter()
                .map(move |failed| FailedRunner {
                    age_ms: failed.age_ms.saturating_add(age),
                    ..*failed
                })
        });
        merge_failed(own.chain(nodes))
    }

    /// Returns the demand of all other nodes, or `None` without a summary that is
    /// recent enough.
    pub fn others(&self, now: time::Instant) -> Option<AgedValue<&DemandSummary>> {
        let received = self.others.as_ref()?;
        let age = std_time::Duration::from_millis(received.summary.age_ms.into());
        Some(AgedValue {
            value: &received.summary,
            age: received.age(now) + age,
        })
    }
}

/// Returns a received summary as this node would write it: messages may hold lists in
/// any order and of any length.
fn sanitize(summary: DemandSummary) -> DemandSummary {
    merge(&[(&summary, 0)])
}

/// Stores a summary in place of the one before from the same sender; returns whether
/// it names other failed runners.
fn put(summaries: &mut Vec<ReceivedDemand>, fresh: ReceivedDemand) -> bool {
    match summaries.binary_search_by(|received| received.host.cmp(&fresh.host)) {
        Ok(index) => {
            let before = std::mem::replace(&mut summaries[index], fresh);
            is_changed(&before.summary.failed, &summaries[index].summary.failed)
        }
        Err(index) => {
            let is_news = !fresh.summary.failed.is_empty();
            summaries.insert(index, fresh);
            is_news
        }
    }
}

/// Returns whether two lists name different processes.
fn is_changed(before: &[FailedRunner], after: &[FailedRunner]) -> bool {
    let process = |failed: &FailedRunner| (failed.runner, failed.incarnation);
    !before.iter().map(process).eq(after.iter().map(process))
}

/// Returns a duration in whole milliseconds, up to the largest number.
pub(crate) fn milliseconds(duration: std_time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
