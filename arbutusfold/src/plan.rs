//! Plans routes with the maximum throughput of upstreams and links.
//!
//! The graph has a node for each layer boundary in each failure domain. An
//! upstream connects each boundary in its range to every later one, and its
//! rate limits the sum of the flow through it. A link connects two failure
//! domains at the same boundary. The maximum flow is the throughput bound; its
//! decomposition into paths gives the routes and their weights.

use std::time as std_time;

use crate::document;
use crate::flow;
use crate::id;
use crate::upstream;

/// Size in bytes of one activation sent between two stages.
const ACTIVATION_BYTES: u64 = 16 * 1_024;

/// Maximum number of routes in a plan.
pub const ROUTE_LIMIT: usize = 512;

/// Capacity of an edge without a limit, in tokens per second.
const UNBOUNDED: u64 = u64::MAX / 4;

/// The capacity that one upstream offers to a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageOffer {
    /// Index of the upstream in the caller's table.
    pub slot: usize,
    /// Failure domain of the upstream.
    pub domain: id::DomainName,
    /// Layers that it holds.
    pub layers: upstream::LayerRange,
    /// Tokens per second that it can process, regardless of the number of layers
    /// it runs.
    pub tokens_per_second: u64,
}

/// Delay and capacity of the link between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkCost {
    /// One-way delay.
    pub delay: std_time::Duration,
    /// Activations per second that it can carry in each direction.
    pub tokens_per_second: u64,
}

/// The links of a document, sorted by the two failure domains they connect.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    links: Vec<document::LinkSpec>,
}

impl LinkTable {
    /// Creates a table of links.
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

    /// Returns the cost between two failure domains; a pair without a link has no
    /// delay and no limit.
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
    /// Layers that the stage runs.
    pub layers: upstream::LayerRange,
}

/// A route and its share of the flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRoute {
    /// Stages in order.
    pub stages: Vec<PlannedStage>,
    /// Planned tokens per second.
    pub tokens_per_second: u64,
    /// Total delay of the links between its stages.
    pub delay: std_time::Duration,
}

/// The planned routes of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RoutePlan {
    /// Maximum tokens per second that any set of routes can carry.
    pub bound: u64,
    /// Routes in descending order of `tokens_per_second`.
    pub routes: Vec<PlannedRoute>,
}

impl RoutePlan {
    /// Returns the total planned tokens per second of all routes.
    pub fn throughput(&self) -> u64 {
        self.routes
            .iter()
            .map(|route| route.tokens_per_second)
            .sum()
    }
}

/// Plans at most `limit` routes, each covering every layer of a model once.
pub fn plan(
    layers: id::LayerIndex,
    offers: &[StageOffer],
    links: &LinkTable,
    limit: usize,
) -> RoutePlan {
    let mut graph = LayerGraph::new(layers, offers, links);
    let bound = graph.maximise();
    let mut routes = graph.decompose(limit);
    fit_to_links(&mut routes, offers, links);
    routes.sort_by_key(|route| std::cmp::Reverse(route.tokens_per_second));
    RoutePlan { bound, routes }
}

/// A link edge not yet in the graph; links with less delay are added first.
struct LinkEdge {
    cost: LinkCost,
    from: usize,
    to: usize,
}

/// The flow graph of one model.
///
/// The nodes are the source, the sink, the boundary nodes, and an entry and an
/// exit node for each offer.
struct LayerGraph<'a> {
    layers: id::LayerIndex,
    offers: &'a [StageOffer],
    /// Layers at which a range begins or ends, in ascending order.
    boundaries: Vec<id::LayerIndex>,
    domains: Vec<&'a str>,
    links: &'a LinkTable,
    graph: flow::FlowGraph,
}

/// Source node of the flow.
const SOURCE: flow::NodeIndex = 0;

/// Sink node of the flow.
const SINK: flow::NodeIndex = 1;

/// Number of terminal nodes; they precede the boundary nodes.
const TERMINAL_COUNT: usize = 2;

impl<'a> LayerGraph<'a> {
    fn new(layers: id::LayerIndex, offers: &'a [StageOffer], links: &'a LinkTable) -> Self {
        let mut boundaries: Vec<_> = offers
            .iter()
            .flat_map(|offer| [offer.layers.from, offer.layers.to])
            .chain([0, layers])
            .filter(|boundary| *boundary <= layers)
            .collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        let mut domains: Vec<_> = offers.iter().map(|offer| offer.domain.as_str()).collect();
        domains.sort_unstable();
        domains.dedup();
        let nodes = TERMINAL_COUNT + boundaries.len() * domains.len() + 2 * offers.len();
        let mut graph = Self {
            layers,
            offers,
            boundaries,
            domains,
            links,
            graph: flow::FlowGraph::new(nodes),
        };
        graph.add_terminals();
        graph.add_offers();
        graph
    }

    /// Returns the node of a layer boundary in a failure domain.
    fn boundary_node(&self, boundary: usize, domain: usize) -> flow::NodeIndex {
        TERMINAL_COUNT + boundary * self.domains.len() + domain
    }

    /// Returns the entry node of an offer; the next node is its exit.
    fn entry_node(&self, offer: usize) -> flow::NodeIndex {
        TERMINAL_COUNT + self.boundaries.len() * self.domains.len() + 2 * offer
    }

    fn add_terminals(&mut self) {
        for domain in 0..self.domains.len() {
            let first = self.boundary_node(0, domain);
            let last = self.boundary_node(self.boundaries.len() - 1, domain);
            self.graph.add_edge(SOURCE, first, UNBOUNDED);
            self.graph.add_edge(last, SINK, UNBOUNDED);
        }
    }

    fn add_offers(&mut self) {
        for (index, offer) in self.offers.iter().enumerate() {
            let Ok(domain) = self.domains.binary_search(&offer.domain.as_str()) else {
                continue;
            };
            let entry = self.entry_node(index);
            self.graph
                .add_edge(entry, entry + 1, offer.tokens_per_second);
            let from = self
                .boundaries
                .partition_point(|boundary| *boundary < offer.layers.from);
            let to = self
                .boundaries
                .partition_point(|boundary| *boundary <= offer.layers.to);
            for boundary in from..to {
                let node = self.boundary_node(boundary, domain);
                if boundary + 1 < to {
                    self.graph.add_edge(node, entry, UNBOUNDED);
                }
                if boundary > from {
                    self.graph.add_edge(entry + 1, node, UNBOUNDED);
                }
            }
        }
    }

    /// Computes the maximum flow.
    ///
    /// Routes inside a failure domain are used first, then links in ascending
    /// order of delay.
    fn maximise(&mut self) -> u64 {
        let mut bound = self.graph.maximise(SOURCE, SINK);
        let mut edges = self.link_edges();
        edges.sort_by_key(|edge| edge.cost.delay);
        for group in edges.chunk_by(|one, other| one.cost.delay == other.cost.delay) {
            for edge in group {
                self.graph
                    .add_edge(edge.from, edge.to, edge.cost.tokens_per_second);
            }
            bound += self.graph.maximise(SOURCE, SINK);
        }
        bound
    }

    fn link_edges(&self) -> Vec<LinkEdge> {
        let mut edges = Vec::new();
        // No link is needed before the first layer or after the last one.
        for boundary in 1..self.boundaries.len().saturating_sub(1) {
            for (from, one) in self.domains.iter().enumerate() {
                for (to, other) in self.domains.iter().enumerate() {
                    if from != to {
                        edges.push(LinkEdge {
                            cost: self.links.cost(one, other),
                            from: self.boundary_node(boundary, from),
                            to: self.boundary_node(boundary, to),
                        });
                    }
                }
            }
        }
        edges
    }

    /// Decomposes the flow into paths, preferring the edges with the most flow.
    fn decompose(&mut self, limit: usize) -> Vec<PlannedRoute> {
        let mut routes: Vec<PlannedRoute> = Vec::new();
        // A cycle removes flow without yielding a route, so that more paths than
        // routes may be traced.
        for _ in 0..2 * limit {
            let path = self.trace_path();
            let Some(bottleneck) = path.iter().map(|step| step.flow).min() else {
                break;
            };
            for step in &path {
                self.graph.remove_flow(step.edge, bottleneck);
            }
            let stages = self.path_stages(&path);
            if stages.last().map(|stage| stage.layers.to) != Some(self.layers) {
                continue;
            }
            match routes.iter_mut().find(|route| route.stages == stages) {
                Some(route) => route.tokens_per_second += bottleneck,
                None => routes.push(PlannedRoute {
                    delay: self.link_delay(&stages),
                    stages,
                    tokens_per_second: bottleneck,
                }),
            }
            if routes.len() == limit {
                break;
            }
        }
        routes
    }

    /// Follows the flow from the source to the sink, or returns the first cycle
    /// that it meets.
    fn trace_path(&self) -> Vec<flow::FlowStep> {
        let mut path: Vec<flow::FlowStep> = Vec::new();
        let mut node = SOURCE;
        let mut last_boundary = SOURCE;
        while node != SINK {
            let exiting = self.is_exit_node(node);
            // From an exit node, later boundaries are preferred: only they make
            // progress.
            let Some(step) = self
                .graph
                .flow_edges(node)
                .max_by_key(|step| (!exiting || step.to > last_boundary, step.flow))
            else {
                return Vec::new();
            };
            if node < self.entry_node(0) {
                last_boundary = node;
            }
            node = step.to;
            path.push(step);
            let revisited = path[..path.len() - 1].iter().position(|one| one.to == node);
            if let Some(revisited) = revisited {
                return path.split_off(revisited + 1);
            }
        }
        path
    }

    /// Returns whether a node is the exit node of an offer.
    fn is_exit_node(&self, node: flow::NodeIndex) -> bool {
        let first = self.entry_node(0);
        node >= first && (node - first) % 2 == 1
    }

    /// Converts a path into stages; layers that earlier stages ran are skipped.
    fn path_stages(&self, path: &[flow::FlowStep]) -> Vec<PlannedStage> {
        let mut stages: Vec<PlannedStage> = Vec::new();
        let mut reached = 0;
        for pair in path.windows(2) {
            let (node, next) = (pair[0].to, pair[1].to);
            if !self.is_exit_node(node) {
                continue;
            }
            let to = self.boundaries[(next - TERMINAL_COUNT) / self.domains.len()];
            if to > reached {
                stages.push(PlannedStage {
                    slot: self.offers[(node - self.entry_node(0)) / 2].slot,
                    layers: upstream::LayerRange { from: reached, to },
                });
                reached = to;
            }
        }
        stages
    }

    fn link_delay(&self, stages: &[PlannedStage]) -> std_time::Duration {
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

/// Scales routes down where a link is overloaded.
///
/// The graph has one edge per boundary for each link, so the routes together may
/// exceed the capacity of the link.
fn fit_to_links(routes: &mut [PlannedRoute], offers: &[StageOffer], links: &LinkTable) {
    let crossed_domains = |route: &PlannedRoute| -> Vec<(String, String)> {
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
    let mut demands: Vec<((String, String), u64)> = Vec::new();
    for route in routes.iter() {
        for domains in crossed_domains(route) {
            match demands.binary_search_by(|(pair, _)| pair.cmp(&domains)) {
                Ok(position) => demands[position].1 += route.tokens_per_second,
                Err(position) => demands.insert(position, (domains, route.tokens_per_second)),
            }
        }
    }
    for route in routes {
        for domains in crossed_domains(route) {
            let Ok(position) = demands.binary_search_by(|(pair, _)| pair.cmp(&domains)) else {
                continue;
            };
            let capacity = links.cost(&domains.0, &domains.1).tokens_per_second;
            let demand = demands[position].1;
            if demand > capacity {
                let scaled = u128::from(route.tokens_per_second) * u128::from(capacity);
                route.tokens_per_second = (scaled / u128::from(demand)) as u64;
            }
        }
    }
}
