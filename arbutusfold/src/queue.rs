//! Start-time fair queueing: priority levels, and organisations within each level.

use std::collections;

use tokio::time;

use crate::document;
use crate::id;

/// Virtual time of one token at weight 1; large, so that dividing by a weight
/// loses little precision.
const TOKEN_SCALE: u64 = 1 << 16;

/// Priorities, most urgent first.
const LEVELS: [document::RequestPriority; 3] = [
    document::RequestPriority::Urgent,
    document::RequestPriority::Interactive,
    document::RequestPriority::Background,
];

/// Part of the work guaranteed to each priority while more urgent requests wait,
/// in percent.
const GUARANTEED_PERCENT: [u64; 3] = [100, 20, 5];

/// Number of tracked organisations above which an empty level discards them all.
const TRACKED_ORGANISATIONS_MAX: usize = 16_384;

/// A request waiting for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Ticket that identifies the request within its node.
    pub ticket: id::TicketNumber,
    /// Organisation that sent the request.
    pub organisation: id::OrganisationName,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority of the request.
    pub priority: document::RequestPriority,
    /// Expected number of generated tokens.
    pub cost: u64,
    /// Latest start at which the request can still meet its deadline.
    pub latest_start: time::Instant,
}

/// Waiting requests of a node.
#[derive(Debug, Default)]
pub struct FairQueue {
    levels: [PriorityLevel; LEVELS.len()],
    waiting: usize,
}

/// Waiting requests of one priority.
#[derive(Debug, Default)]
struct PriorityLevel {
    /// Virtual start time of the last dequeued request.
    virtual_time: u64,
    /// Work that the level may do before more urgent levels, in hundredths of a token.
    credit: u64,
    /// Indices into `queues`, sorted by name of the organisation.
    indices: Vec<(id::OrganisationName, usize)>,
    queues: Vec<OrganisationQueue>,
    /// Non-empty queues in descending order of virtual start time.
    order: Vec<StartTag>,
    /// Waiting work in tokens.
    work: u64,
    /// Sum of the weights of the non-empty queues.
    weight: u64,
}

/// Waiting requests of one organisation.
#[derive(Debug, Default)]
struct OrganisationQueue {
    weight: u32,
    /// Virtual finish time of the last dequeued request.
    finish: u64,
    /// Waiting work in tokens.
    work: u64,
    requests: collections::VecDeque<WaitingRequest>,
}

/// Virtual start time of the next request of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct StartTag {
    start: u64,
    index: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Appends a request to its organisation's queue.
    pub fn push(&mut self, request: WaitingRequest) {
        self.waiting += 1;
        self.levels[request.priority as usize].push(request);
    }

    /// Removes and returns the next request.
    ///
    /// The most urgent non-empty level is served first. Work done there gives
    /// lower levels credit for their guaranteed part; a level with enough credit
    /// for its next request is served before it.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let top = self.levels.iter().position(|level| level.work > 0)?;
        let credited = (top + 1..LEVELS.len())
            .rev()
            .find(|level| self.levels[*level].has_credit());
        let chosen = credited.unwrap_or(top);
        let request = self.levels[chosen].pop()?;
        self.waiting -= 1;
        match credited {
            Some(level) => self.levels[level].credit -= request.cost * 100,
            None => self.add_credit(top, request.cost),
        }
        Some(request)
    }

    fn add_credit(&mut self, top: usize, cost: u64) {
        for (level, guaranteed) in self.levels.iter_mut().zip(GUARANTEED_PERCENT).skip(top + 1) {
            level.credit = match level.work {
                // An empty level accumulates no credit.
                0 => 0,
                _ => level.credit + cost * guaranteed,
            };
        }
    }

    /// Removes a waiting request that will not run.
    pub fn remove(
        &mut self,
        priority: document::RequestPriority,
        organisation: &str,
        ticket: id::TicketNumber,
    ) -> Option<WaitingRequest> {
        let removed = self.levels[priority as usize].remove(organisation, ticket)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Charges the organisation for the actual instead of the expected work of a request.
    pub fn reconcile(
        &mut self,
        priority: document::RequestPriority,
        organisation: &str,
        expected: u64,
        actual: u64,
    ) {
        self.levels[priority as usize].reconcile(organisation, expected, actual);
    }

    /// Returns the work that would run before a new request, in tokens.
    pub fn work_ahead(
        &self,
        priority: document::RequestPriority,
        organisation: &str,
        weight: u32,
        cost: u64,
    ) -> u64 {
        let index = priority as usize;
        let level = &self.levels[index];
        let own = level.work_ahead(organisation, weight, cost);
        let urgent: u64 = self.levels[..index].iter().map(|level| level.work).sum();
        let guaranteed = own * 100 / GUARANTEED_PERCENT[index];
        (own + urgent).min(guaranteed)
    }

    /// Evicts a request to make room for `request`, if that is fairer than to
    /// refuse `request`.
    ///
    /// Evicts the newest request of the most loaded organisation in the lowest
    /// non-empty level. The load is the waiting work divided by the weight.
    pub fn evict_for(&mut self, request: &WaitingRequest) -> Option<WaitingRequest> {
        let lowest = self.levels.iter().rposition(|level| level.work > 0)?;
        let index = request.priority as usize;
        if lowest < index {
            return None;
        }
        let level = &mut self.levels[lowest];
        let own = match lowest == index {
            true => level.load_with(request),
            false => 0,
        };
        let (heaviest, load) = level.heaviest()?;
        if lowest == index && load <= own {
            return None;
        }
        let last = level.queues[heaviest].requests.back()?;
        let (organisation, ticket) = (last.organisation.clone(), last.ticket);
        let removed = level.remove(&organisation, ticket)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Removes and returns the requests that can no longer meet their deadline.
    pub fn expire(&mut self, now: time::Instant) -> Vec<WaitingRequest> {
        let expired: Vec<_> = self
            .levels
            .iter()
            .flat_map(|level| &level.queues)
            .flat_map(|queue| &queue.requests)
            .filter(|request| request.latest_start < now)
            .cloned()
            .collect();
        for request in &expired {
            self.remove(request.priority, &request.organisation, request.ticket);
        }
        expired
    }
}

impl PriorityLevel {
    fn find(&self, organisation: &str) -> Option<usize> {
        self.indices
            .binary_search_by(|(name, _)| name.as_str().cmp(organisation))
            .ok()
            .map(|found| self.indices[found].1)
    }

    fn find_or_add(&mut self, organisation: &str) -> usize {
        let found = self
            .indices
            .binary_search_by(|(name, _)| name.as_str().cmp(organisation));
        match found {
            Ok(found) => self.indices[found].1,
            Err(slot) => {
                let index = self.queues.len();
                self.indices.insert(slot, (organisation.to_owned(), index));
                self.queues.push(OrganisationQueue::default());
                index
            }
        }
    }

    fn push(&mut self, request: WaitingRequest) {
        if self.order.is_empty() && self.queues.len() > TRACKED_ORGANISATIONS_MAX {
            self.indices.clear();
            self.queues.clear();
        }
        let index = self.find_or_add(&request.organisation);
        let weight = request.weight.max(1);
        let queue = &mut self.queues[index];
        let idle = queue.requests.is_empty();
        if idle {
            queue.weight = weight;
            self.weight += u64::from(weight);
        }
        let cost = request.cost.max(1);
        queue.work += cost;
        self.work += cost;
        queue.requests.push_back(WaitingRequest { cost, ..request });
        if idle {
            self.schedule(index);
        }
    }

    /// Inserts a non-empty queue into the order.
    fn schedule(&mut self, index: usize) {
        let start = self.queues[index].finish.max(self.virtual_time);
        let tag = StartTag { start, index };
        // The order is descending, so that the next queue can be popped from the end.
        let position = self.order.partition_point(|other| *other > tag);
        self.order.insert(position, tag);
    }

    fn unschedule(&mut self, index: usize) {
        self.order.retain(|tag| tag.index != index);
    }

    fn head_cost(&self) -> Option<u64> {
        let next = self.order.last()?;
        self.queues[next.index]
            .requests
            .front()
            .map(|request| request.cost)
    }

    fn has_credit(&self) -> bool {
        self.head_cost()
            .is_some_and(|cost| self.credit >= cost * 100)
    }

    fn pop(&mut self) -> Option<WaitingRequest> {
        let next = self.order.pop()?;
        self.virtual_time = next.start;
        let queue = &mut self.queues[next.index];
        let request = queue.requests.pop_front()?;
        queue.finish = next.start + request.cost * TOKEN_SCALE / u64::from(queue.weight);
        queue.work -= request.cost;
        self.work -= request.cost;
        self.reschedule(next.index);
        Some(request)
    }

    fn reschedule(&mut self, index: usize) {
        let queue = &self.queues[index];
        match queue.requests.is_empty() {
            true => self.weight -= u64::from(queue.weight),
            false => self.schedule(index),
        }
    }

    fn remove(&mut self, organisation: &str, ticket: id::TicketNumber) -> Option<WaitingRequest> {
        let index = self.find(organisation)?;
        let queue = &mut self.queues[index];
        let position = queue
            .requests
            .iter()
            .position(|request| request.ticket == ticket)?;
        let request = queue.requests.remove(position)?;
        queue.work -= request.cost;
        self.work -= request.cost;
        if queue.requests.is_empty() {
            self.unschedule(index);
            self.reschedule(index);
        }
        Some(request)
    }

    fn reconcile(&mut self, organisation: &str, expected: u64, actual: u64) {
        let Some(index) = self.find(organisation) else {
            return;
        };
        let queue = &mut self.queues[index];
        let weight = u64::from(queue.weight.max(1));
        let paid = queue.finish + actual * TOKEN_SCALE / weight;
        queue.finish = paid.saturating_sub(expected * TOKEN_SCALE / weight);
        if !queue.requests.is_empty() {
            self.unschedule(index);
            self.schedule(index);
        }
    }

    fn work_ahead(&self, organisation: &str, weight: u32, cost: u64) -> u64 {
        let own = self
            .find(organisation)
            .map_or(0, |index| self.queues[index].work);
        let weight = u64::from(weight.max(1));
        let fair = (own + cost) * self.weight.max(weight) / weight;
        self.work.min(fair)
    }

    /// Returns the load of an organisation with `request` added to its queue.
    fn load_with(&self, request: &WaitingRequest) -> u64 {
        let own = self
            .find(&request.organisation)
            .map_or(0, |index| self.queues[index].work);
        (own + request.cost) * TOKEN_SCALE / u64::from(request.weight.max(1))
    }

    fn heaviest(&self) -> Option<(usize, u64)> {
        self.order
            .iter()
            .map(|tag| (tag.index, self.queues[tag.index].load()))
            .max_by_key(|(_, load)| *load)
    }
}

impl OrganisationQueue {
    fn load(&self) -> u64 {
        self.work * TOKEN_SCALE / u64::from(self.weight.max(1))
    }
}
