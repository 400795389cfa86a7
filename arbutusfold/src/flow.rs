//! Maximum flow by Dinic's algorithm.

use std::collections;

/// Index of a graph node.
pub(crate) type NodeIndex = usize;

/// Index of an edge.
pub(crate) type EdgeIndex = usize;

/// Level of a node that the breadth-first search did not reach.
const UNREACHED: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct FlowEdge {
    to: NodeIndex,
    capacity: u64,
    flow: u64,
}

/// An edge that carries flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowStep {
    /// The edge.
    pub(crate) edge: EdgeIndex,
    /// Head node of the edge.
    pub(crate) to: NodeIndex,
    /// Flow on the edge.
    pub(crate) flow: u64,
}

/// A directed graph whose edges carry flow up to their capacity.
///
/// Edge `e ^ 1` is the reverse of edge `e`.
#[derive(Clone, Debug)]
pub(crate) struct FlowGraph {
    edges: Vec<FlowEdge>,
    /// Edges out of each node, reverse edges included.
    adjacency: Vec<Vec<EdgeIndex>>,
    /// Distance of each node from the source in the residual graph.
    levels: Vec<u32>,
    /// Position in `adjacency` of the next edge to try, for each node.
    cursors: Vec<usize>,
}

impl FlowGraph {
    /// Creates a graph with `nodes` nodes and no edges.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            edges: Vec::new(),
            adjacency: vec![Vec::new(); nodes],
            levels: vec![UNREACHED; nodes],
            cursors: vec![0; nodes],
        }
    }

    /// Adds an edge and returns its index.
    pub(crate) fn add_edge(&mut self, from: NodeIndex, to: NodeIndex, capacity: u64) -> EdgeIndex {
        let index = self.edges.len();
        self.edges.push(FlowEdge {
            to,
            capacity,
            flow: 0,
        });
        self.edges.push(FlowEdge {
            to: from,
            capacity: 0,
            flow: 0,
        });
        self.adjacency[from].push(index);
        self.adjacency[to].push(index + 1);
        index
    }

    /// Augments the flow to its maximum and returns the amount added.
    ///
    /// Shorter paths are saturated first. Edges added after one call are used by
    /// the next call only for flow that did not fit before.
    pub(crate) fn maximise(&mut self, source: NodeIndex, sink: NodeIndex) -> u64 {
        let mut added = 0;
        while self.build_levels(source, sink) {
            self.cursors.fill(0);
            loop {
                let pushed = self.augment(source, sink, u64::MAX);
                if pushed == 0 {
                    break;
                }
                added += pushed;
            }
        }
        added
    }

    /// Returns the outgoing edges of a node that carry flow.
    pub(crate) fn flow_edges(&self, node: NodeIndex) -> impl Iterator<Item = FlowStep> {
        self.adjacency[node]
            .iter()
            .filter(|edge| *edge % 2 == 0)
            .map(|&edge| FlowStep {
                edge,
                to: self.edges[edge].to,
                flow: self.edges[edge].flow,
            })
            .filter(|step| step.flow > 0)
    }

    /// Removes flow from an edge.
    pub(crate) fn remove_flow(&mut self, edge: EdgeIndex, flow: u64) {
        self.edges[edge].flow = self.edges[edge].flow.saturating_sub(flow);
    }

    /// Returns the residual capacity of an edge.
    fn residual(&self, edge: EdgeIndex) -> u64 {
        match edge % 2 {
            0 => self.edges[edge].capacity - self.edges[edge].flow,
            _ => self.edges[edge ^ 1].flow,
        }
    }

    /// Builds the level graph and returns whether the sink is reachable.
    fn build_levels(&mut self, source: NodeIndex, sink: NodeIndex) -> bool {
        self.levels.fill(UNREACHED);
        self.levels[source] = 0;
        let mut queue = collections::VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for position in 0..self.adjacency[node].len() {
                let edge = self.adjacency[node][position];
                let to = self.edges[edge].to;
                if self.levels[to] == UNREACHED && self.residual(edge) > 0 {
                    self.levels[to] = self.levels[node] + 1;
                    queue.push_back(to);
                }
            }
        }
        self.levels[sink] != UNREACHED
    }

    /// Pushes up to `limit` of flow along one path of the level graph.
    fn augment(&mut self, node: NodeIndex, sink: NodeIndex, limit: u64) -> u64 {
        if node == sink {
            return limit;
        }
        while self.cursors[node] < self.adjacency[node].len() {
            let edge = self.adjacency[node][self.cursors[node]];
            let to = self.edges[edge].to;
            let available = self.residual(edge).min(limit);
            if available > 0 && self.levels[to] == self.levels[node] + 1 {
                let pushed = self.augment(to, sink, available);
                if pushed > 0 {
                    self.add_flow(edge, pushed);
                    return pushed;
                }
            }
            self.cursors[node] += 1;
        }
        0
    }

    fn add_flow(&mut self, edge: EdgeIndex, flow: u64) {
        match edge % 2 {
            0 => self.edges[edge].flow += flow,
            _ => self.edges[edge ^ 1].flow -= flow,
        }
    }
}
