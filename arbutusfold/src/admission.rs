//! Admission: which request runs next, which waits, and which is refused at once.

use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::queue;

/// Requests that may wait at one node.
pub const QUEUE_LIMIT: usize = 4_096;

/// Shortest time after which a refused caller may come back.
const PAUSE_MIN: std_time::Duration = std_time::Duration::from_secs(1);

/// Longest time after which a refused caller may come back.
const PAUSE_MAX: std_time::Duration = std_time::Duration::from_secs(60);

/// Part of a new observation in a running mean.
const MEAN_GAIN: f64 = 0.1;

/// Answers of an organisation from which their length counts as known.
const KNOWN_ANSWERS: u32 = 8;

/// Organisations whose answers are remembered for estimates.
const REMEMBERED_ORGANISATIONS: usize = 16_384;

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation that sent it.
    pub organisation: id::OrganisationName,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority.
    pub priority: document::RequestPriority,
    /// Most tokens of its answer.
    pub max_tokens: u64,
    /// Time by which its answer must be complete.
    pub deadline: time::Instant,
}

/// What happens at the gate.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A request asks for admission under a ticket not used before.
    Arrive(id::TicketNumber, AdmissionRequest),
    /// The caller of a waiting or running request left.
    Leave(id::TicketNumber),
    /// A running request ended with so many tokens.
    Finish(id::TicketNumber, u64),
    /// The number of requests that may run at a time changed.
    Resize(usize),
    /// Time passed.
    Tick,
}

/// What the gate decides.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionAction {
    /// The request may run now.
    Admit(id::TicketNumber),
    /// The request does not run.
    Refuse(id::TicketNumber, AdmissionRefusal),
}

/// Why a request was refused; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Cause.
    pub cause: RefusalCause,
    /// Time after which to come back.
    pub pause: std_time::Duration,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It would finish after its deadline.
    Deadline,
    /// Too many requests wait.
    QueueFull,
}

impl RefusalCause {
    /// Returns the stable code that callers see.
    pub fn code(self) -> &'static str {
        match self {
            RefusalCause::Deadline => "deadline_unreachable",
            RefusalCause::QueueFull => "queue_full",
        }
    }
}

/// The gate of one node.
#[derive(Debug)]
pub struct AdmissionGate {
    queue: queue::FairQueue,
    queue_limit: usize,
    /// Requests that may run at a time.
    slots: usize,
    /// Requests that wait or run, by ticket.
    entries: Vec<GateEntry>,
    running: usize,
    lengths: LengthTable,
    /// Mean time that an answer took, in seconds.
    mean_time: f64,
    /// Mean number of its tokens.
    mean_tokens: f64,
}

#[derive(Clone, Debug)]
struct GateEntry {
    ticket: id::TicketNumber,
    organisation: id::OrganisationName,
    priority: document::RequestPriority,
    max_tokens: u64,
    cost: u64,
    /// When it was admitted; `None` while it waits.
    admitted: Option<time::Instant>,
}

/// How much of `max_tokens` the answers of each organisation use.
#[derive(Debug, Default)]
struct LengthTable {
    lengths: Vec<AnswerLength>,
}

#[derive(Debug)]
struct AnswerLength {
    organisation: id::OrganisationName,
    /// Mean part of `max_tokens`.
    part: f64,
    /// Answers that were observed.
    answers: u32,
}

impl AdmissionGate {
    /// Creates a gate that lets `slots` requests run at a time.
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

    /// Returns the work expected of a request in tokens.
    pub fn expected_cost(&self, organisation: &str, max_tokens: u64) -> u64 {
        self.lengths.expect(organisation, max_tokens)
    }

    /// Takes an event and returns what follows from it.
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
        self.fill(now, &mut actions);
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
        let run = self.known_run_time(&request.organisation, cost);
        let waiting = queue::WaitingRequest {
            ticket,
            organisation: request.organisation.clone(),
            weight: request.weight,
            priority: request.priority,
            cost,
            latest_start: request.deadline.checked_sub(run).unwrap_or(now),
        };
        if self.queue.len() >= self.queue_limit {
            let Some(displaced) = self.queue.displace(&waiting) else {
                let pause = self.drain_time(self.queue_limit as u64 * cost);
                actions.push(refuse(ticket, RefusalCause::QueueFull, pause));
                return;
            };
            self.take_entry(displaced.ticket);
            let pause = self.drain_time(self.queue_limit as u64 * displaced.cost);
            actions.push(refuse(displaced.ticket, RefusalCause::QueueFull, pause));
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
        let place = self.entries.partition_point(|known| known.ticket < ticket);
        self.entries.insert(place, entry);
    }

    /// Returns by how much a request would miss its deadline, if it would.
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
        let need = wait + self.known_run_time(&request.organisation, cost);
        (left.is_zero() || need > left).then(|| need.saturating_sub(left))
    }

    /// Returns the time in which the node does so much work.
    fn drain_time(&self, work: u64) -> std_time::Duration {
        let seconds = self.token_time() * work as f64 / self.slots.max(1) as f64;
        std_time::Duration::from_secs_f64(seconds)
    }

    /// Returns the time that one request of this cost runs, as far as known.
    ///
    /// A caller may ask for far more tokens than the model will give, so
    /// nothing is refused for its length before the usual length is known.
    fn known_run_time(&self, organisation: &str, cost: u64) -> std_time::Duration {
        match self.lengths.is_known(organisation) {
            true => std_time::Duration::from_secs_f64(self.token_time() * cost as f64),
            false => std_time::Duration::ZERO,
        }
    }

    /// Returns the mean time of one token of one request, in seconds.
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
            .settle(entry.priority, &entry.organisation, entry.cost, tokens);
        if tokens == 0 {
            return;
        }
        self.lengths
            .observe(&entry.organisation, tokens, entry.max_tokens);
        let spent = now.duration_since(admitted).as_secs_f64();
        let gain = if self.mean_tokens > 0.0 {
            MEAN_GAIN
        } else {
            1.0
        };
        self.mean_time += (spent - self.mean_time) * gain;
        self.mean_tokens += (tokens as f64 - self.mean_tokens) * gain;
    }

    fn expire(&mut self, now: time::Instant, actions: &mut Vec<AdmissionAction>) {
        for late in self.queue.expire(now) {
            self.take_entry(late.ticket);
            actions.push(refuse(late.ticket, RefusalCause::Deadline, PAUSE_MIN));
        }
    }

    /// Admits requests while there is room.
    fn fill(&mut self, now: time::Instant, actions: &mut Vec<AdmissionAction>) {
        while self.running < self.slots {
            let Some(next) = self.queue.pop() else { return };
            if next.latest_start < now {
                self.take_entry(next.ticket);
                actions.push(refuse(next.ticket, RefusalCause::Deadline, PAUSE_MIN));
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
        let place = self
            .entries
            .binary_search_by_key(&ticket, |entry| entry.ticket)
            .ok()?;
        self.entries.get_mut(place)
    }

    fn take_entry(&mut self, ticket: id::TicketNumber) -> Option<GateEntry> {
        let place = self
            .entries
            .binary_search_by_key(&ticket, |entry| entry.ticket)
            .ok()?;
        Some(self.entries.remove(place))
    }
}

impl LengthTable {
    fn find(&self, organisation: &str) -> Result<usize, usize> {
        self.lengths
            .binary_search_by(|length| length.organisation.as_str().cmp(organisation))
    }

    /// Returns the tokens expected of an answer; all of them when unknown.
    fn expect(&self, organisation: &str, max_tokens: u64) -> u64 {
        let part = self
            .find(organisation)
            .map_or(1.0, |place| self.lengths[place].part);
        ((max_tokens as f64 * part).ceil() as u64).clamp(1, max_tokens.max(1))
    }

    /// Tells whether enough answers were observed to refuse by.
    fn is_known(&self, organisation: &str) -> bool {
        self.find(organisation)
            .is_ok_and(|place| self.lengths[place].answers >= KNOWN_ANSWERS)
    }

    fn observe(&mut self, organisation: &str, tokens: u64, max_tokens: u64) {
        let part = tokens as f64 / max_tokens.max(1) as f64;
        match self.find(organisation) {
            Ok(place) => {
                let length = &mut self.lengths[place];
                length.part += (part - length.part) * MEAN_GAIN;
                length.answers = length.answers.saturating_add(1);
            }
            Err(place) => {
                let length = AnswerLength {
                    organisation: organisation.to_owned(),
                    part,
                    answers: 1,
                };
                if self.lengths.len() >= REMEMBERED_ORGANISATIONS {
                    self.lengths.clear();
                    self.lengths.push(length);
                } else {
                    self.lengths.insert(place, length);
                }
            }
        }
    }
}

fn refuse(
    ticket: id::TicketNumber,
    cause: RefusalCause,
    pause: std_time::Duration,
) -> AdmissionAction {
    let pause = pause.clamp(PAUSE_MIN, PAUSE_MAX);
    AdmissionAction::Refuse(ticket, AdmissionRefusal { cause, pause })
}
