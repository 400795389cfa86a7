//! Fair queues: priorities, and organisations inside each priority.

use std::collections;

use tokio::time;

use crate::document;
use crate::id;

/// Virtual time of one token at weight 1, so that weights divide finely.
const TOKEN_SCALE: u64 = 1 << 16;

/// Priorities, most urgent first.
const LEVELS: [document::RequestPriority; 3] = [
    document::RequestPriority::Urgent,
    document::RequestPriority::Interactive,
    document::RequestPriority::Background,
];

/// Part of the work that a priority keeps while more urgent work waits, in percent.
const KEPT_PERCENT: [u64; 3] = [100, 20, 5];

/// Organisations of one priority that are remembered while nothing waits.
const REMEMBERED_ORGANISATIONS: usize = 16_384;

/// A request that waits for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Ticket that names the request inside its node.
    pub ticket: id::TicketNumber,
    /// Organisation that sent it.
    pub organisation: id::OrganisationName,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority.
    pub priority: document::RequestPriority,
    /// Expected work in tokens.
    pub cost: u64,
    /// Time after which it can no longer finish before its deadline.
    pub latest_start: time::Instant,
}

/// The waiting requests of a node.
#[derive(Debug, Default)]
pub struct FairQueue {
    levels: [PriorityLevel; LEVELS.len()],
    waiting: usize,
}

/// The waiting requests of one priority.
#[derive(Debug, Default)]
struct PriorityLevel {
    /// Virtual start of the request served last.
    virtual_time: u64,
    /// Work that the level may do ahead of more urgent levels, in percent of a token.
    credit: u64,
    /// Places in `lines` by name of organisation.
    names: Vec<(id::OrganisationName, usize)>,
    lines: Vec<OrganisationLine>,
    /// Lines that hold requests, by virtual start, the next one last.
    order: Vec<LineStart>,
    /// Work that waits, in tokens.
    work: u64,
    /// Weights of the lines that hold requests.
    weight: u64,
}

/// The waiting requests of one organisation.
#[derive(Debug, Default)]
struct OrganisationLine {
    weight: u32,
    /// Virtual time at which the work given so far ends.
    finish: u64,
    work: u64,
    requests: collections::VecDeque<WaitingRequest>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LineStart {
    start: u64,
    place: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Adds a request at the end of its organisation's line.
    pub fn push(&mut self, request: WaitingRequest) {
        self.waiting += 1;
        self.levels[request.priority as usize].push(request);
    }

    /// Takes the next request.
    ///
    /// The most urgent level goes first, except that each lower one earns its
    /// kept part of the work done ahead of it.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let top = self.levels.iter().position(|level| level.work > 0)?;
        let earned = (top + 1..LEVELS.len())
            .rev()
            .find(|level| self.levels[*level].has_earned());
        let chosen = earned.unwrap_or(top);
        let request = self.levels[chosen].pop()?;
        self.waiting -= 1;
        match earned {
            Some(level) => self.levels[level].credit -= request.cost * 100,
            None => self.earn(top, request.cost),
        }
        Some(request)
    }

    fn earn(&mut self, top: usize, cost: u64) {
        for (level, kept) in self.levels.iter_mut().zip(KEPT_PERCENT).skip(top + 1) {
            level.credit = match level.work {
                // Credit is not banked by a level without work.
                0 => 0,
                _ => level.credit + cost * kept,
            };
        }
    }

    /// Removes a request that no longer waits for an answer.
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

    /// Corrects an organisation's account once the true work of a request is known.
    pub fn settle(
        &mut self,
        priority: document::RequestPriority,
        organisation: &str,
        expected: u64,
        actual: u64,
    ) {
        self.levels[priority as usize].settle(organisation, expected, actual);
    }

    /// Returns the work that would be done before a new request, in tokens.
    pub fn work_ahead(
        &self,
        priority: document::RequestPriority,
        organisation: &str,
        weight: u32,
        cost: u64,
    ) -> u64 {
        let place = priority as usize;
        let level = &self.levels[place];
        let own = level.work_ahead(organisation, weight, cost);
        let urgent: u64 = self.levels[..place].iter().map(|level| level.work).sum();
        let kept = own * 100 / KEPT_PERCENT[place];
        (own + urgent).min(kept)
    }

    /// Takes the newest request of the organisation that waits with the most
    /// work for its weight, in the lowest level that holds any, if that is
    /// fairer than to turn `request` away.
    pub fn displace(&mut self, request: &WaitingRequest) -> Option<WaitingRequest> {
        let lowest = self.levels.iter().rposition(|level| level.work > 0)?;
        let place = request.priority as usize;
        if lowest < place {
            return None;
        }
        let level = &mut self.levels[lowest];
        let own = match lowest == place {
            true => level.load_with(request),
            false => 0,
        };
        let (heaviest, load) = level.heaviest()?;
        if lowest == place && load <= own {
            return None;
        }
        let last = level.lines[heaviest].requests.back()?;
        let (organisation, ticket) = (last.organisation.clone(), last.ticket);
        let removed = level.remove(&organisation, ticket)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Removes the requests that can no longer finish in time.
    pub fn expire(&mut self, now: time::Instant) -> Vec<WaitingRequest> {
        let late: Vec<_> = self
            .levels
            .iter()
            .flat_map(|level| &level.lines)
            .flat_map(|line| &line.requests)
            .filter(|request| request.latest_start < now)
            .cloned()
            .collect();
        for request in &late {
            self.remove(request.priority, &request.organisation, request.ticket);
        }
        late
    }
}

impl PriorityLevel {
    fn find(&self, organisation: &str) -> Option<usize> {
        self.names
            .binary_search_by(|(name, _)| name.as_str().cmp(organisation))
            .ok()
            .map(|index| self.names[index].1)
    }

    fn find_or_add(&mut self, organisation: &str) -> usize {
        let found = self
            .names
            .binary_search_by(|(name, _)| name.as_str().cmp(organisation));
        match found {
            Ok(index) => self.names[index].1,
            Err(index) => {
                let place = self.lines.len();
                self.names.insert(index, (organisation.to_owned(), place));
                self.lines.push(OrganisationLine::default());
                place
            }
        }
    }

    fn push(&mut self, request: WaitingRequest) {
        if self.order.is_empty() && self.lines.len() > REMEMBERED_ORGANISATIONS {
            self.names.clear();
            self.lines.clear();
        }
        let place = self.find_or_add(&request.organisation);
        let weight = request.weight.max(1);
        let line = &mut self.lines[place];
        let idle = line.requests.is_empty();
        if idle {
            line.weight = weight;
            self.weight += u64::from(weight);
        }
        let cost = request.cost.max(1);
        line.work += cost;
        self.work += cost;
        line.requests.push_back(WaitingRequest { cost, ..request });
        if idle {
            self.enlist(place);
        }
    }

    /// Puts a line that holds requests into the order.
    fn enlist(&mut self, place: usize) {
        let start = self.lines[place].finish.max(self.virtual_time);
        let entry = LineStart { start, place };
        // The order is descending, so that the next line is popped off the end.
        let index = self.order.partition_point(|known| *known > entry);
        self.order.insert(index, entry);
    }

    fn delist(&mut self, place: usize) {
        self.order.retain(|entry| entry.place != place);
    }

    fn head_cost(&self) -> Option<u64> {
        let next = self.order.last()?;
        self.lines[next.place]
            .requests
            .front()
            .map(|request| request.cost)
    }

    fn has_earned(&self) -> bool {
        self.head_cost()
            .is_some_and(|cost| self.credit >= cost * 100)
    }

    fn pop(&mut self) -> Option<WaitingRequest> {
        let next = self.order.pop()?;
        self.virtual_time = next.start;
        let line = &mut self.lines[next.place];
        let request = line.requests.pop_front()?;
        line.finish = next.start + request.cost * TOKEN_SCALE / u64::from(line.weight);
        line.work -= request.cost;
        self.work -= request.cost;
        self.relist(next.place);
        Some(request)
    }

    fn relist(&mut self, place: usize) {
        let line = &self.lines[place];
        match line.requests.is_empty() {
            true => self.weight -= u64::from(line.weight),
            false => self.enlist(place),
        }
    }

    fn remove(&mut self, organisation: &str, ticket: id::TicketNumber) -> Option<WaitingRequest> {
        let place = self.find(organisation)?;
        let line = &mut self.lines[place];
        let index = line
            .requests
            .iter()
            .position(|request| request.ticket == ticket)?;
        let request = line.requests.remove(index)?;
        line.work -= request.cost;
        self.work -= request.cost;
        if line.requests.is_empty() {
            self.delist(place);
            self.relist(place);
        }
        Some(request)
    }

    fn settle(&mut self, organisation: &str, expected: u64, actual: u64) {
        let Some(place) = self.find(organisation) else {
            return;
        };
        let line = &mut self.lines[place];
        let weight = u64::from(line.weight.max(1));
        let paid = line.finish + actual * TOKEN_SCALE / weight;
        line.finish = paid.saturating_sub(expected * TOKEN_SCALE / weight);
        if !line.requests.is_empty() {
            self.delist(place);
            self.enlist(place);
        }
    }

    fn work_ahead(&self, organisation: &str, weight: u32, cost: u64) -> u64 {
        let own = self
            .find(organisation)
            .map_or(0, |place| self.lines[place].work);
        let weight = u64::from(weight.max(1));
        let fair = (own + cost) * self.weight.max(weight) / weight;
        self.work.min(fair)
    }

    /// Returns the work for its weight that an organisation would wait with.
    fn load_with(&self, request: &WaitingRequest) -> u64 {
        let own = self
            .find(&request.organisation)
            .map_or(0, |place| self.lines[place].work);
        (own + request.cost) * TOKEN_SCALE / u64::from(request.weight.max(1))
    }

    fn heaviest(&self) -> Option<(usize, u64)> {
        self.order
            .iter()
            .map(|entry| (entry.place, self.lines[entry.place].load()))
            .max_by_key(|(_, load)| *load)
    }
}

impl OrganisationLine {
    fn load(&self) -> u64 {
        self.work * TOKEN_SCALE / u64::from(self.weight.max(1))
    }
}
