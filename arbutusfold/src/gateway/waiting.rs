//! Queue of the requests that wait at this node for room.

use std::sync;

use tokio::sync as tokio_sync;
use tokio::time;

use crate::gateway::demand;
use crate::id;

/// Requests of each service, from the first in its queue, that look for room when it
/// may have appeared. Several do, since the first may need more memory than is free
/// on any path.
const SEEKERS: usize = 3;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Its service.
    pub service: demand::ServiceKey,
    /// Its organisation.
    pub organisation: demand::OrganisationKey,
    /// Its rank.
    pub rank: demand::RequestRank,
    /// Whether it waits for room, and not for a retry or a runner.
    pub needs_room: bool,
    /// Whether its caller was refused before and came back.
    pub is_return: bool,
    /// Whether its organisation holds its share of the room or more.
    pub is_above: bool,
    /// When its caller's time is up.
    pub deadline: time::Instant,
}

/// A place in the queue.
#[derive(Clone, Debug)]
struct WaitPlace {
    ticket: id::TicketNumber,
    request: WaitingRequest,
    signal: sync::Arc<tokio_sync::Notify>,
}

/// Order of the queue: the lowest comes first.
type PlaceOrder = (
    demand::RequestRank,
    bool,
    bool,
    time::Instant,
    id::TicketNumber,
);

impl WaitPlace {
    fn order(&self) -> PlaceOrder {
        let request = &self.request;
        (
            request.rank,
            !request.is_return,
            request.is_above,
            request.deadline,
            self.ticket,
        )
    }
}

/// Position of a waiting request among those of its service at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Requests of its rank before it that wait for room.
    pub before: usize,
    /// Whether it looks for room when some may have appeared.
    pub is_seeking: bool,
}

/// The waiting requests of one node, in order of rank, then those that came back, then
/// those of organisations below their share, then by deadline.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    limit: usize,
    latest: id::TicketNumber,
    /// Places, sorted by their order.
    places: Vec<WaitPlace>,
}

impl WaitQueue {
    /// Creates a queue for at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the waiting requests in order.
    pub fn requests(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.places.iter().map(|place| &place.request)
    }

    /// Adds a request; returns its ticket and the signal that room may have appeared,
    /// or `None` if the queue is full of requests that come before it. The last one
    /// gives way to a request that comes before it.
    pub fn enter(
        &mut self,
        request: WaitingRequest,
    ) -> Option<(id::TicketNumber, sync::Arc<tokio_sync::Notify>)> {
        self.latest += 1;
        let place = WaitPlace {
            ticket: self.latest,
            request,
            signal: sync::Arc::default(),
        };
        if self.places.len() >= self.limit {
            let last = self.places.last()?;
            if last.order() <= place.order() {
                return None;
            }
            let last = self.places.pop()?;
            last.signal.notify_one();
        }
        let entered = (place.ticket, sync::Arc::clone(&place.signal));
        let order = place.order();
        let index = self.places.partition_point(|other| other.order() < order);
        self.places.insert(index, place);
        Some(entered)
    }

    /// Removes a request, if it still waits.
    pub fn leave(&mut self, ticket: id::TicketNumber) {
        self.places.retain(|place| place.ticket != ticket);
    }

    /// Returns the position of a request, or `None` if it gave way to others.
    pub fn position(&self, ticket: id::TicketNumber) -> Option<QueuePosition> {
        let index = self
            .places
            .iter()
            .position(|place| place.ticket == ticket)?;
        let own = &self.places[index].request;
        let before = || {
            let before = self.places[..index].iter().map(|place| &place.request);
            before.filter(|other| other.service == own.service)
        };
        Some(QueuePosition {
            before: before()
                .filter(|other| other.rank == own.rank && other.needs_room)
                .count(),
            is_seeking: !own.needs_room
                || before().filter(|other| other.needs_room).count() < SEEKERS,
        })
    }

    /// Sets anew which organisations are above their share of a service's room.
    pub fn set_above(
        &mut self,
        service: demand::ServiceKey,
        is_above: impl Fn(demand::OrganisationKey) -> bool,
    ) {
        let own = self.places.iter_mut().map(|place| &mut place.request);
        own.filter(|request| request.service == service)
            .for_each(|request| request.is_above = is_above(request.organisation));
        self.places.sort_by_key(WaitPlace::order);
    }

    /// Signals the first requests of each service that room may have appeared.
    pub fn wake(&self) {
        let mut seeking: Vec<(demand::ServiceKey, usize)> = Vec::new();
        for place in &self.places {
            if !place.request.needs_room {
                place.signal.notify_one();
                continue;
            }
            let service = place.request.service;
            let index = seeking.binary_search_by_key(&service, |(key, _)| *key);
            let index = index.unwrap_or_else(|index| {
                seeking.insert(index, (service, 0));
                index
            });
            seeking[index].1 += 1;
            if seeking[index].1 <= SEEKERS {
                place.signal.notify_one();
            }
        }
    }
}
