//! Planned routes: the most tokens a second that upstreams and links can pass.
//!
//! The nodes of the graph are the layer boundaries inside each failure
//! domain. An upstream leads from any boundary of its range to any later one
//! and passes its rate in all; a link leads from one failure domain to
//! another at the same boundary. The maximum flow is the bound; split into
//! paths it gives routes with their weights.

use std::time as std_time;

use crate::document;
use crate::flow;
use crate::id;
use crate::upstream;

/// Bytes of one activation between two stages.
const ACTIVATION_BYTES: u64 = 16 * 1_024;

/// Most routes that one plan holds.
pub const ROUTE_LIMIT: usize = 512;

/// Tokens a second of an edge without a bound.
const UNBOUNDED: u64 = u64::MAX / 4;

/// What one upstream offers to a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOffer {
    /// Index that the caller of the planner knows the upstream by.
    pub slot: usize,
    /// Failure domain of the upstream.
    pub domain: id::DomainName,
    /// Layers that it holds.
    pub layers: upstream::LayerRange,
    /// Tokens a second that it can pass, whatever part of its layers it runs.
    pub tokens_per_second: u64,
}

/// A link between two failure domains as a plan sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCost {
    /// Delay one way.
    pub delay: std_time::Duration,
    /// Activations a second that it can carry each way.
    pub tokens_per_second: u64,
}

/// The links of a document, by the names of their ends.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    links: Vec<document::LinkSpec>,
}

impl LinkTable {
    /// Creates the table of these links.
    pub fn new(links: &[document::LinkSpec]) -> Self {
        let mut links = links.to_vec();
        for link in &mut links {
            if link.to < link.from {
                std::mem::swap(&mut link.from, &mut link.to);
            }
        }
        links.sort_by(|one, other| (&one.from, &one.to).cmp(&(&other.from, &other.to)));
        Self { links }
    }

    /// Returns the cost between two failure domains.
    pub fn cost(&self, one: &str, other: &str) -> LinkCost {
        let ends = (one.min(other), one.max(other));
        self.links
            .binary_search_by(|link| (link.from.as_str(), link.to.as_str()).cmp(&ends))
            .ok()
            .map_or(
                LinkCost {
                    delay: std_time::Duration::ZERO,
                    tokens_per_second: UNBOUNDED,
                },
                |position| cost_of(&self.links[position]),
            )
    }
}

fn cost_of(link: &document::LinkSpec) -> LinkCost {
    let tokens_per_second = match link.bytes_per_second {
        0 => UNBOUNDED,
        bytes => bytes / ACTIVATION_BYTES,
    };
    LinkCost {
        delay: link.delay_us,
        tokens_per_second,
    }
}

/// A stage of a planned route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStage {
    /// Slot of the upstream.
    pub slot: usize,
    /// Layers that it runs.
    pub layers: upstream::LayerRange,
}

/// A route with its share of the flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRoute {
    /// Stages in order.
    pub stages: Vec<PlannedStage>,
    /// Tokens a second that the plan sends along it.
    pub tokens_per_second: u64,
    /// Delay of the links between its stages.
    pub delay: std_time::Duration,
}

/// The routes of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutePlan {
    /// Most tokens a second that any split over routes can pass.
    pub bound: u64,
    /// Routes, the widest first.
    pub routes: Vec<PlannedRoute>,
}

impl RoutePlan {
    /// Returns the tokens a second that the routes pass together.
    pub fn planned(&self) -> u64 {
        self.routes
            .iter()
            .map(|route| route.tokens_per_second)
            .sum()
    }
}

/// Plans at most `limit` routes through every layer of a model once.
pub fn plan(
    layers: id::LayerIndex,
    offers: &[StageOffer],
    links: &LinkTable,
    limit: usize,
) -> RoutePlan {
    let mut graph = LayerGraph::new(layers, offers, links);
    let bound = graph.maximise();
    let mut routes = graph.split(limit);
    fit_links(&mut routes, offers, links);
    routes.sort_by_key(|route| std::cmp::Reverse(route.tokens_per_second));
    RoutePlan { bound, routes }
}

/// A link edge that waits for its turn: cheaper links are used first.
struct LinkEdge {
    cost: LinkCost,
    from: usize,
    to: usize,
}

/// The flow graph of one model.
struct LayerGraph<'a> {
    layers: id::LayerIndex,
    offers: &'a [StageOffer],
    cuts: Vec<id::LayerIndex>,
    domains: Vec<&'a str>,
    links: &'a LinkTable,
    graph: flow::FlowGraph,
}

/// Node from which all flow comes.
const SOURCE: flow::NodeIndex = 0;

/// Node to which all flow goes.
const SINK: flow::NodeIndex = 1;

/// Number of nodes before the boundaries.
const ENDS: usize = 2;

impl<'a> LayerGraph<'a> {
    fn new(layers: id::LayerIndex, offers: &'a [StageOffer], links: &'a LinkTable) -> Self {
        let mut cuts: Vec<_> = offers
            .iter()
            .flat_map(|offer| [offer.layers.from, offer.layers.to])
            .chain([0, layers])
            .filter(|cut| *cut <= layers)
            .collect();
        cuts.sort_unstable();
        cuts.dedup();
        let mut domains: Vec<_> = offers.iter().map(|offer| offer.domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        let nodes = ENDS + cuts.len() * domains.len() + 2 * offers.len();
        let mut graph = Self {
            layers,
            offers,
            cuts,
            domains,
            links,
            graph: flow::FlowGraph::new(nodes),
        };
        graph.add_ends();
        graph.add_offers();
        graph
    }

    fn boundary(&self, cut: usize, domain: usize) -> flow::NodeIndex {
        ENDS + cut * self.domains.len() + domain
    }

    fn entry(&self, offer: usize) -> flow::NodeIndex {
        ENDS + self.cuts.len() * self.domains.len() + 2 * offer
    }

    fn add_ends(&mut self) {
        for domain in 0..self.domains.len() {
            let first = self.boundary(0, domain);
            let last = self.boundary(self.cuts.len() - 1, domain);
            self.graph.add_edge(SOURCE, first, UNBOUNDED);
            self.graph.add_edge(last, SINK, UNBOUNDED);
        }
    }

    fn add_offers(&mut self) {
        for (index, offer) in self.offers.iter().enumerate() {
            let Ok(domain) = self.domains.binary_search(&offer.domain.as_str()) else {
                continue;
            };
            let entry = self.entry(index);
            self.graph
                .add_edge(entry, entry + 1, offer.tokens_per_second);
            let from = self.cuts.partition_point(|cut| *cut < offer.layers.from);
            let to = self.cuts.partition_point(|cut| *cut <= offer.layers.to);
            for cut in from..to {
                let boundary = self.boundary(cut, domain);
                if cut + 1 < to {
                    self.graph.add_edge(boundary, entry, UNBOUNDED);
                }
                if cut > from {
                    self.graph.add_edge(entry + 1, boundary, UNBOUNDED);
                }
            }
        }
    }

    /// Fills the graph: routes inside a failure domain first, then over links
    /// from the quickest to the slowest.
    fn maximise(&mut self) -> u64 {
        let mut bound = self.graph.maximise(SOURCE, SINK);
        let mut edges = self.link_edges();
        edges.sort_by_key(|edge| edge.cost.delay);
        for class in edges.chunk_by(|one, other| one.cost.delay == other.cost.delay) {
            for edge in class {
                self.graph
                    .add_edge(edge.from, edge.to, edge.cost.tokens_per_second);
            }
            bound += self.graph.maximise(SOURCE, SINK);
        }
        bound
    }

    fn link_edges(&self) -> Vec<LinkEdge> {
        let mut edges = Vec::new();
        // Nothing needs to cross before the first or after the last layer.
        for cut in 1..self.cuts.len().saturating_sub(1) {
            for (from, one) in self.domains.iter().enumerate() {
                for (to, other) in self.domains.iter().enumerate() {
                    if from != to {
                        edges.push(LinkEdge {
                            cost: self.links.cost(one, other),
                            from: self.boundary(cut, from),
                            to: self.boundary(cut, to),
                        });
                    }
                }
            }
        }
        edges
    }

    /// Splits the flow into paths, along the strongest edges first.
    fn split(&mut self, limit: usize) -> Vec<PlannedRoute> {
        let mut routes: Vec<PlannedRoute> = Vec::new();
        // A walk that closes a circle takes flow away and gives no route.
        for _ in 0..2 * limit {
            let path = self.walk();
            let Some(width) = path.iter().map(|step| step.flow).min() else {
                break;
            };
            for step in &path {
                self.graph.take(step.edge, width);
            }
            let stages = self.stages(&path);
            if stages.last().map(|stage| stage.layers.to) != Some(self.layers) {
                continue;
            }
            match routes.iter_mut().find(|route| route.stages == stages) {
                Some(route) => route.tokens_per_second += width,
                None => routes.push(PlannedRoute {
                    delay: self.delay(&stages),
                    stages,
                    tokens_per_second: width,
                }),
            }
            if routes.len() == limit {
                break;
            }
        }
        routes
    }

    /// Follows the flow to the sink, or once around a circle.
    fn walk(&self) -> Vec<flow::FlowStep> {
        let mut path: Vec<flow::FlowStep> = Vec::new();
        let mut node = SOURCE;
        let mut entered = SOURCE;
        while node != SINK {
            let leaves = self.leaves_upstream(node);
            // Out of an upstream only a later boundary is progress.
            let Some(step) = self
                .graph
                .carrying(node)
                .max_by_key(|step| (!leaves || step.to > entered, step.flow))
            else {
                return Vec::new();
            };
            if node < self.entry(0) {
                entered = node;
            }
            node = step.to;
            path.push(step);
            let again = path[..path.len() - 1].iter().position(|one| one.to == node);
            if let Some(again) = again {
                return path.split_off(again + 1);
            }
        }
        path
    }

    fn leaves_upstream(&self, node: flow::NodeIndex) -> bool {
        let first = self.entry(0);
        node >= first && (node - first) % 2 == 1
    }

    /// Turns a path into stages; a step back over layers that ran is cut off.
    fn stages(&self, path: &[flow::FlowStep]) -> Vec<PlannedStage> {
        let mut stages: Vec<PlannedStage> = Vec::new();
        let mut reached = 0;
        for pair in path.windows(2) {
            let (node, next) = (pair[0].to, pair[1].to);
            if !self.leaves_upstream(node) {
                continue;
            }
            let to = self.cuts[(next - ENDS) / self.domains.len()];
            if to > reached {
                stages.push(PlannedStage {
                    slot: self.offers[(node - self.entry(0)) / 2].slot,
                    layers: upstream::LayerRange { from: reached, to },
                });
                reached = to;
            }
        }
        stages
    }

    fn delay(&self, stages: &[PlannedStage]) -> std_time::Duration {
        stages
            .windows(2)
            .map(|pair| {
                let one = domain_of(self.offers, pair[0].slot);
                let other = domain_of(self.offers, pair[1].slot);
                self.links.cost(one, other).delay
            })
            .sum()
    }
}

fn domain_of(offers: &[StageOffer], slot: usize) -> &str {
    offers
        .binary_search_by_key(&slot, |offer| offer.slot)
        .map_or("", |position| offers[position].domain.as_str())
}

/// Narrows routes where the boundaries together ask more of a link than it carries.
fn fit_links(routes: &mut [PlannedRoute], offers: &[StageOffer], links: &LinkTable) {
    let crossings = |route: &PlannedRoute| -> Vec<(String, String)> {
        route
            .stages
            .windows(2)
            .map(|pair| {
                let one = domain_of(offers, pair[0].slot).to_owned();
                let other = domain_of(offers, pair[1].slot).to_owned();
                (one, other)
            })
            .filter(|(one, other)| one != other)
            .collect()
    };
    let mut asked: Vec<((String, String), u64)> = Vec::new();
    for route in routes.iter() {
        for ends in crossings(route) {
            match asked.binary_search_by(|(known, _)| known.cmp(&ends)) {
                Ok(position) => asked[position].1 += route.tokens_per_second,
                Err(position) => asked.insert(position, (ends, route.tokens_per_second)),
            }
        }
    }
    for route in routes {
        for ends in crossings(route) {
            let Ok(position) = asked.binary_search_by(|(known, _)| known.cmp(&ends)) else {
                continue;
            };
            let carried = links.cost(&ends.0, &ends.1).tokens_per_second;
            let wanted = asked[position].1;
            if wanted > carried {
                let share = u128::from(route.tokens_per_second) * u128::from(carried);
                route.tokens_per_second = (share / u128::from(wanted)) as u64;
            }
        }
    }
}
