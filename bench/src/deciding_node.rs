//! Nodes that decide for the same room from sums that are late.

use std::collections::{BTreeMap, VecDeque};
use std::time as std_time;

use arbutusfold::gateway::{demand, intake, shares, waiting};
use arbutusfold::id;
use rand::{RngExt, SeedableRng};
use tokio::time;

use crate::contended_room;

const RANKS: usize = 3;

/// Steps until the sums of a node reach the others.
const LAG: usize = contended_room::SECOND / 5;

/// Steps that a request may wait.
const PATIENCE: usize = contended_room::SECOND * 3 / 2;

/// Steps after which an arrival counts for a third in the rate of arrivals.
const ARRIVAL_MEMORY: usize = 2 * contended_room::SECOND;

const SERVICE: demand::ServiceKey = 1;

/// What the decisions know of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoomWay {
    /// Rank and organisation.
    Whole,
    /// No rank: all requests have the same.
    OneRank,
    /// No organisation: none is above its share.
    NoShares,
}

/// What a node tells the others.
#[derive(Clone, Default)]
struct NodeSums {
    running: usize,
    ranks: [demand::RankDemand; RANKS],
    uses: Vec<demand::OrganisationUse>,
}

#[derive(Default)]
struct RoomNode {
    queue: waiting::WaitQueue,
    /// Tickets and indices of the waiting arrivals.
    places: Vec<(id::TicketNumber, usize)>,
    /// Ends and organisations of the running requests.
    running: Vec<(usize, demand::OrganisationKey)>,
    sends: Vec<(usize, demand::RequestRank)>,
    /// Arrivals per second by rank.
    rates: [f64; RANKS],
    draw: f64,
}

impl NodeSums {
    /// Returns the sums of all nodes but one.
    fn of_others(told: &[Self], own: usize) -> Self {
        let mut all = Self::default();
        for (_, sums) in told.iter().enumerate().filter(|(index, _)| *index != own) {
            all.running += sums.running;
            all.uses.extend(&sums.uses);
            for (rank, other) in all.ranks.iter_mut().zip(&sums.ranks) {
                rank.waiting += other.waiting;
                rank.arrivals_per_second += other.arrivals_per_second;
            }
        }
        all
    }
}

impl RoomNode {
    fn waiting(&self, rank: usize) -> usize {
        let requests = self.queue.requests();
        requests.filter(|own| usize::from(own.rank) == rank).count()
    }

    fn sums(&self) -> NodeSums {
        let mut held = BTreeMap::<_, (u32, u32)>::new();
        let running = self.running.iter();
        running.for_each(|(_, organisation)| held.entry(*organisation).or_default().0 += 1);
        let requests = self.queue.requests();
        requests.for_each(|own| held.entry(own.organisation).or_default().1 += 1);
        let uses = held.into_iter();
        NodeSums {
            running: self.running.len(),
            ranks: std::array::from_fn(|rank| demand::RankDemand {
                service: SERVICE,
                rank: rank as u8,
                waiting: self.waiting(rank) as u32,
                arrivals_per_second: self.rates[rank] as f32,
            }),
            uses: uses
                .map(
                    |(organisation, (in_flight, waiting))| demand::OrganisationUse {
                        service: SERVICE,
                        organisation,
                        in_flight,
                        waiting,
                    },
                )
                .collect(),
        }
    }

    fn view(&self, others: &NodeSums) -> intake::IntakeView {
        let running = (others.running + self.running.len()) as f64;
        let count = |rank: usize| {
            let sent = self.sends.iter();
            let own = intake::RankCount {
                rank: rank as u8,
                own_waiting: self.waiting(rank) as f64,
                waiting: self.waiting(rank) as f64,
                arrivals: self.rates[rank],
                recent: sent.filter(|(_, own)| usize::from(*own) == rank).count() as f64,
            };
            own.with_others(&others.ranks[rank])
        };
        intake::IntakeView {
            free: (contended_room::ROOM as f64 - running).max(0.0),
            ends: running * contended_room::SECOND as f64 / contended_room::RUN as f64,
            horizon: duration(LAG),
            ranks: (0..RANKS).map(count).collect(),
        }
    }

    /// Forgets what is too old to count.
    fn begin_step(&mut self, step: usize) {
        self.sends.retain(|(sent, _)| step < sent + LAG);
        let decay = (-1.0 / ARRIVAL_MEMORY as f64).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
    }

    fn enter(
        &mut self,
        arrival: usize,
        rank: demand::RequestRank,
        organisation: demand::OrganisationKey,
        deadline: time::Instant,
    ) {
        self.rates[usize::from(rank)] += contended_room::SECOND as f64 / ARRIVAL_MEMORY as f64;
        let entered = self.queue.enter(waiting::WaitingRequest {
            service: SERVICE,
            organisation,
            rank,
            needs_room: true,
            is_return: false,
            is_above: false,
            deadline,
        });
        let place = entered.map(|(ticket, _)| (ticket, arrival));
        self.places.extend(place);
    }

    fn leave(&mut self, ticket: id::TicketNumber) {
        self.queue.leave(ticket);
        self.places.retain(|place| place.0 != ticket);
    }
}

fn duration(steps: usize) -> std_time::Duration {
    std_time::Duration::from_secs(1) * steps as u32 / contended_room::SECOND as u32
}

/// Lets the nodes decide on the arrivals.
pub(crate) fn play(
    arrivals: &[contended_room::RoomArrival],
    way: RoomWay,
    seed: u64,
) -> contended_room::RoomOutcome {
    let began = time::Instant::now();
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let fresh = || RoomNode {
        queue: waiting::WaitQueue::new(arrivals.len()),
        ..RoomNode::default()
    };
    let mut nodes: Vec<_> = (0..contended_room::NODES).map(|_| fresh()).collect();
    let mut told = VecDeque::from(vec![vec![NodeSums::default(); contended_room::NODES]; LAG]);
    let (mut waits, mut used) = (vec![None; arrivals.len()], 0.0);
    let rank_of = |arrival: usize| match way {
        RoomWay::OneRank => 0,
        RoomWay::Whole | RoomWay::NoShares => arrivals[arrival].group.rank,
    };
    let capacity = match way {
        RoomWay::NoShares => f64::INFINITY,
        RoomWay::Whole | RoomWay::OneRank => contended_room::ROOM as f64,
    };
    let mut next = 0;
    for step in 0..contended_room::COUNTED.end * contended_room::SECOND + PATIENCE {
        let late = told.pop_front().unwrap_or_default();
        let deadline = began + duration(step + PATIENCE);
        let first = next;
        next += arrivals[next..].partition_point(|other| other.step <= step);
        let ended = nodes.iter_mut().map(|node| &mut node.running);
        ended.for_each(|running| running.retain(|(end, _)| *end > step));
        let mut running: usize = nodes.iter().map(|node| node.running.len()).sum();
        for index in (0..contended_room::NODES).map(|index| (index + step) % contended_room::NODES)
        {
            let node = &mut nodes[index];
            if step % LAG == index % LAG {
                node.draw = random.random();
            }
            node.begin_step(step);
            for arrival in (first..next).filter(|place| arrivals[*place].node == index) {
                let organisation = arrivals[arrival].group.organisation;
                node.enter(arrival, rank_of(arrival), organisation, deadline);
            }
            if node.places.is_empty() {
                continue;
            }
            let others = NodeSums::of_others(&late, index);
            let mut uses = node.sums().uses;
            uses.extend(&others.uses);
            let shares = shares::OrganisationShares::new(capacity, &uses);
            node.queue.set_above(SERVICE, |key| shares.is_above(key));
            let mut places = node.places.clone();
            places.sort_by_cached_key(|(ticket, arrival)| {
                let position = node.queue.position(*ticket);
                (rank_of(*arrival), position.map(|position| position.before))
            });
            for (ticket, arrival) in places {
                let Some(position) = node.queue.position(ticket) else {
                    continue;
                };
                let waited = step - arrivals[arrival].step;
                if waited >= PATIENCE {
                    node.leave(ticket);
                    continue;
                }
                // Who has just come is decided on at once.
                if waited > 0 && !position.is_seeking {
                    continue;
                }
                let (rank, organisation) = (rank_of(arrival), arrivals[arrival].group.organisation);
                let view = node.view(&others);
                let all = (view.rank(rank).waiting - 1.0).max(0.0);
                let verdict = view.decide(&intake::IntakeQuery {
                    rank,
                    own_before: position.before as f64,
                    before: match shares.is_above(organisation) {
                        true => all,
                        false => all.min(shares.waiting_within()),
                    },
                    patience: duration(PATIENCE),
                    draw: node.draw,
                });
                match verdict {
                    intake::IntakeVerdict::Send if running < contended_room::ROOM => {
                        node.leave(ticket);
                        running += 1;
                        waits[arrival] = Some(duration(waited).as_secs_f64() * 1_000.0);
                        node.running
                            .push((step + arrivals[arrival].run, organisation));
                        node.sends.push((step, rank));
                    }
                    // Who waits already does so until its time is up.
                    intake::IntakeVerdict::Refuse(_) if waited == 0 => node.leave(ticket),
                    _ => {}
                }
            }
        }
        used += contended_room::part_used(step, running);
        told.push_back(nodes.iter().map(RoomNode::sums).collect());
    }
    contended_room::RoomOutcome { waits, used }
}
