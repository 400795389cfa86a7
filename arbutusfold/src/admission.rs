//! Admission control: decides which request runs, which waits and which is refused.

use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::queue;

/// Maximum number of waiting requests at one node.
pub const QUEUE_LIMIT: usize = 4_096;

/// Minimum delay before a refused caller may retry.
const RETRY_AFTER_MIN: std_time::Duration = std_time::Duration::from_secs(1);

/// Maximum delay before a refused caller may retry.
const RETRY_AFTER_MAX: std_time::Duration = std_time::Duration::from_secs(60);

/// Weight of a new observation in an exponential moving average.
const MEAN_GAIN: f64 = 0.1;

/// Answers of an organisation that must be observed before the estimate of
/// their length may cause a refusal.
const LENGTH_ANSWERS_MIN: u32 = 8;

/// Maximum number of organisations whose answer lengths are tracked.
const TRACKED_ORGANISATIONS_MAX: usize = 16_384;

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation that sent the request.
    pub organisation: id::OrganisationName,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority of the request.
    pub priority: document::RequestPriority,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
    /// Time by which the answer must be complete.
    pub deadline: time::Instant,
}

/// An input of the admission gate.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A request asks for admission under a ticket that was not used before.
    Arrive(id::TicketNumber, AdmissionRequest),
    /// The caller of a waiting or running request disconnected.
    Leave(id::TicketNumber),
    /// A running request finished after generating this many tokens.
    Finish(id::TicketNumber, u64),
    /// The maximum number of running requests changed.
    Resize(usize),
    /// A periodic check for requests that can no longer meet their deadline.
    Tick,
}

/// A decision of the admission gate.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionAction {
    /// The request may run now.
    Admit(id::TicketNumber),
    /// The request is refused without having run.
    Refuse(id::TicketNumber, AdmissionRefusal),
}

/// Refusal of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Cause of the refusal.
    pub cause: RefusalCause,
    /// Delay before the caller may retry.
    pub retry_after: std_time::Duration,
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The request would finish after its deadline.
    Deadline,
    /// The queue is full.
    QueueFull,
}

impl RefusalCause {
    /// Returns the stable error code sent to callers.
    pub fn code(self) -> &'static str {
        match self {
            RefusalCause::Deadline => "deadline_unreachable",
            RefusalCause::QueueFull => "queue_full",
        }
    }
}

/// Admission control of one node.
///
/// A state machine without I/O: it takes events and returns decisions.
#[derive(Debug)]
pub struct AdmissionGate {
    queue: queue::FairQueue,
    queue_limit: usize,
    /// Maximum number of running requests.
    slots: usize,
    /// Waiting and running requests, sorted by ticket.
    entries: Vec<GateEntry>,
    running: usize,
    lengths: LengthTable,
    /// Mean run time of an answer in seconds.
    mean_time: f64,
    /// Mean number of tokens in an answer.
    mean_tokens: f64,
}

#[derive(Clone, Debug)]
struct GateEntry {
    ticket: id::TicketNumber,
    organisation: id::OrganisationName,
    priority: document::RequestPriority,
    max_tokens: u64,
    /// Expected number of generated tokens.
    cost: u64,
    /// Time of admission; `None` while the request waits.
    admitted: Option<time::Instant>,
}

/// Observed answer lengths by organisation, as fractions of `max_tokens`.
#[derive(Debug, Default)]
struct LengthTable {
    /// Sorted by organisation.
    lengths: Vec<AnswerLength>,
}

#[derive(Debug)]
struct AnswerLength {
    organisation: id::OrganisationName,
    /// Mean fraction of `max_tokens` that was generated.
    fraction: f64,
    /// Number of observed answers.
    answers: u32,
}

impl AdmissionGate {
    /// Creates a gate that runs at most `slots` requests at a time.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            queue: queue::FairQueue::default(),
            queue_limit,
            slots,
            entries: Vec::new(),
            running: 0,
            lengths: LengthTable::default(),
            mean_time: 0.0,
            mean_tokens: 0.0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the expected number of generated tokens of a request.
    pub fn expected_cost(&self, organisation: &str, max_tokens: u64) -> u64 {
        self.lengths.estimate(organisation, max_tokens)
    }

    /// Handles an event and returns the resulting decisions.
    pub fn handle(&mut self, event: AdmissionEvent, now: time::Instant) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        match event {
            AdmissionEvent::Arrive(ticket, request) => {
                self.arrive(ticket, &request, now, &mut actions);
            }
            AdmissionEvent::Leave(ticket) => self.leave(ticket),
            AdmissionEvent::Finish(ticket, tokens) => self.finish(ticket, tokens, now),
            AdmissionEvent::Resize(slots) => self.slots = slots.max(1),
            AdmissionEvent::Tick => self.expire(now, &mut actions),
        }
        self.admit_waiting(now, &mut actions);
        actions
    }

    fn arrive(
        &mut self,
        ticket: id::TicketNumber,
        request: &AdmissionRequest,
        now: time::Instant,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let cost = self.expected_cost(&request.organisation, request.max_tokens);
        if let Some(late) = self.lateness(request, cost, now) {
            actions.push(refuse(ticket, RefusalCause::Deadline, late));
            return;
        }
        let run = self.expected_run_time(&request.organisation, cost);
        let waiting = queue::WaitingRequest {
            ticket,
            organisation: request.organisation.clone(),
            weight: request.weight,
            priority: request.priority,
            cost,
            latest_start: request.deadline.checked_sub(run).unwrap_or(now),
        };
        if self.queue.len() >= self.queue_limit {
            let Some(evicted) = self.queue.evict_for(&waiting) else {
                let retry_after = self.drain_time(self.queue_limit as u64 * cost);
                actions.push(refuse(ticket, RefusalCause::QueueFull, retry_after));
                return;
            };
            self.take_entry(evicted.ticket);
            let retry_after = self.drain_time(self.queue_limit as u64 * evicted.cost);
            actions.push(refuse(evicted.ticket, RefusalCause::QueueFull, retry_after));
        }
        self.queue.push(waiting);
        let entry = GateEntry {
            ticket,
            organisation: request.organisation.clone(),
            priority: request.priority,
            max_tokens: request.max_tokens,
            cost,
            admitted: None,
        };
        let index = self.entries.partition_point(|other| other.ticket < ticket);
        self.entries.insert(index, entry);
    }

    /// Returns how long after its deadline a request would finish; `None` if it
    /// would finish in time.
    fn lateness(
        &self,
        request: &AdmissionRequest,
        cost: u64,
        now: time::Instant,
    ) -> Option<std_time::Duration> {
        let left = request.deadline.saturating_duration_since(now);
        let wait = match self.running < self.slots && self.queue.is_empty() {
            true => std_time::Duration::ZERO,
            false => {
                let organisation = &request.organisation;
                let weight = request.weight;
                self.drain_time(
                    self.queue
                        .work_ahead(request.priority, organisation, weight, cost),
                )
            }
        };
        let need = wait + self.expected_run_time(&request.organisation, cost);
        (left.is_zero() || need > left).then(|| need.saturating_sub(left))
    }

    /// Returns the time that the node takes to generate `work` tokens.
    fn drain_time(&self, work: u64) -> std_time::Duration {
        let seconds = self.token_time() * work as f64 / self.slots.max(1) as f64;
        std_time::Duration::from_secs_f64(seconds)
    }

    /// Returns the expected run time of a request; zero without a reliable estimate.
    ///
    /// `max_tokens` may be far above the number of tokens that the model
    /// generates, so no request is refused for its length before enough answers
    /// of the organisation were observed.
    fn expected_run_time(&self, organisation: &str, cost: u64) -> std_time::Duration {
        match self.lengths.is_reliable(organisation) {
            true => std_time::Duration::from_secs_f64(self.token_time() * cost as f64),
            false => std_time::Duration::ZERO,
        }
    }

    /// Returns the mean time to generate one token of a request, in seconds.
    fn token_time(&self) -> f64 {
        match self.mean_tokens > 0.0 {
            true => self.mean_time / self.mean_tokens,
            false => 0.0,
        }
    }

    fn leave(&mut self, ticket: id::TicketNumber) {
        let Some(entry) = self.take_entry(ticket) else {
            return;
        };
        match entry.admitted {
            Some(_) => self.running -= 1,
            None => {
                self.queue
                    .remove(entry.priority, &entry.organisation, ticket);
            }
        }
    }

    fn finish(&mut self, ticket: id::TicketNumber, tokens: u64, now: time::Instant) {
        let Some(entry) = self.take_entry(ticket) else {
            return;
        };
        let Some(admitted) = entry.admitted else {
            self.queue
                .remove(entry.priority, &entry.organisation, ticket);
            return;
        };
        self.running -= 1;
        self.queue
            .reconcile(entry.priority, &entry.organisation, entry.cost, tokens);
        if tokens == 0 {
            return;
        }
        self.lengths
            .observe(&entry.organisation, tokens, entry.max_tokens);
        let elapsed = now.duration_since(admitted).as_secs_f64();
        let gain = if self.mean_tokens > 0.0 {
            MEAN_GAIN
        } else {
            1.0
        };
        self.mean_time += (elapsed - self.mean_time) * gain;
        self.mean_tokens += (tokens as f64 - self.mean_tokens) * gain;
    }

    fn expire(&mut self, now: time::Instant, actions: &mut Vec<AdmissionAction>) {
        for expired in self.queue.expire(now) {
            self.take_entry(expired.ticket);
            actions.push(refuse(
                expired.ticket,
                RefusalCause::Deadline,
                RETRY_AFTER_MIN,
            ));
        }
    }

    /// Admits waiting requests while slots are free.
    fn admit_waiting(&mut self, now: time::Instant, actions: &mut Vec<AdmissionAction>) {
        while self.running < self.slots {
            let Some(next) = self.queue.pop() else { return };
            if next.latest_start < now {
                self.take_entry(next.ticket);
                actions.push(refuse(next.ticket, RefusalCause::Deadline, RETRY_AFTER_MIN));
                continue;
            }
            if let Some(entry) = self.entry(next.ticket) {
                entry.admitted = Some(now);
                self.running += 1;
                actions.push(AdmissionAction::Admit(next.ticket));
            }
        }
    }

    fn entry(&mut self, ticket: id::TicketNumber) -> Option<&mut GateEntry> {
        let index = self
            .entries
            .binary_search_by_key(&ticket, |entry| entry.ticket)
            .ok()?;
        self.entries.get_mut(index)
    }

    fn take_entry(&mut self, ticket: id::TicketNumber) -> Option<GateEntry> {
        let index = self
            .entries
            .binary_search_by_key(&ticket, |entry| entry.ticket)
            .ok()?;
        Some(self.entries.remove(index))
    }
}

impl LengthTable {
    fn find(&self, organisation: &str) -> Result<usize, usize> {
        self.lengths
            .binary_search_by(|length| length.organisation.as_str().cmp(organisation))
    }

    /// Returns the expected number of tokens in an answer; `max_tokens` for an
    /// unknown organisation.
    fn estimate(&self, organisation: &str, max_tokens: u64) -> u64 {
        let fraction = self
            .find(organisation)
            .map_or(1.0, |index| self.lengths[index].fraction);
        ((max_tokens as f64 * fraction).ceil() as u64).clamp(1, max_tokens.max(1))
    }

    /// Returns whether enough answers were observed to refuse requests by the estimate.
    fn is_reliable(&self, organisation: &str) -> bool {
        self.find(organisation)
            .is_ok_and(|index| self.lengths[index].answers >= LENGTH_ANSWERS_MIN)
    }

    fn observe(&mut self, organisation: &str, tokens: u64, max_tokens: u64) {
        let fraction = tokens as f64 / max_tokens.max(1) as f64;
        match self.find(organisation) {
            Ok(index) => {
                let length = &mut self.lengths[index];
                length.fraction += (fraction - length.fraction) * MEAN_GAIN;
                length.answers = length.answers.saturating_add(1);
            }
            Err(index) => {
                let length = AnswerLength {
                    organisation: organisation.to_owned(),
                    fraction,
                    answers: 1,
                };
                if self.lengths.len() >= TRACKED_ORGANISATIONS_MAX {
                    self.lengths.clear();
                    self.lengths.push(length);
                } else {
                    self.lengths.insert(index, length);
                }
            }
        }
    }
}

fn refuse(
    ticket: id::TicketNumber,
    cause: RefusalCause,
    retry_after: std_time::Duration,
) -> AdmissionAction {
    let retry_after = retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    AdmissionAction::Refuse(ticket, AdmissionRefusal { cause, retry_after })
}
