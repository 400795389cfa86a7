//! Maximum flow by Dinic's algorithm.

use std::collections;

/// Index of a node.
pub(crate) type NodeIndex = usize;

/// Index of an edge.
pub(crate) type EdgeIndex = usize;

/// Level of a node that the search did not reach.
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
    /// Node that it leads to.
    pub(crate) to: NodeIndex,
    /// Flow on it.
    pub(crate) flow: u64,
}

/// A directed graph whose edges carry flow up to their capacity.
///
/// Edge `e ^ 1` is the reverse of edge `e`.
#[derive(Clone, Debug)]
pub(crate) struct FlowGraph {
    edges: Vec<FlowEdge>,
    leaving: Vec<Vec<EdgeIndex>>,
    levels: Vec<u32>,
    cursors: Vec<usize>,
}

impl FlowGraph {
    /// Creates a graph of `nodes` nodes without edges.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            edges: Vec::new(),
            leaving: vec![Vec::new(); nodes],
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
        self.leaving[from].push(index);
        self.leaving[to].push(index + 1);
        index
    }

    /// Adds flow until none can be added and returns what was added.
    ///
    /// Shorter paths are filled first, so a later call after further edges
    /// uses those only for what did not fit before.
    pub(crate) fn maximise(&mut self, source: NodeIndex, sink: NodeIndex) -> u64 {
        let mut added = 0;
        while self.set_levels(source, sink) {
            self.cursors.fill(0);
            loop {
                let pushed = self.push(source, sink, u64::MAX);
                if pushed == 0 {
                    break;
                }
                added += pushed;
            }
        }
        added
    }

    /// Returns the edges out of a node that carry flow.
    pub(crate) fn carrying(&self, node: NodeIndex) -> impl Iterator<Item = FlowStep> {
        self.leaving[node]
            .iter()
            .filter(|edge| *edge % 2 == 0)
            .map(|&edge| FlowStep {
                edge,
                to: self.edges[edge].to,
                flow: self.edges[edge].flow,
            })
            .filter(|step| step.flow > 0)
    }

    /// Takes flow off an edge.
    pub(crate) fn take(&mut self, edge: EdgeIndex, flow: u64) {
        self.edges[edge].flow = self.edges[edge].flow.saturating_sub(flow);
    }

    fn residual(&self, edge: EdgeIndex) -> u64 {
        match edge % 2 {
            0 => self.edges[edge].capacity - self.edges[edge].flow,
            _ => self.edges[edge ^ 1].flow,
        }
    }

    fn set_levels(&mut self, source: NodeIndex, sink: NodeIndex) -> bool {
        self.levels.fill(UNREACHED);
        self.levels[source] = 0;
        let mut queue = collections::VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for position in 0..self.leaving[node].len() {
                let edge = self.leaving[node][position];
                let to = self.edges[edge].to;
                if self.levels[to] == UNREACHED && self.residual(edge) > 0 {
                    self.levels[to] = self.levels[node] + 1;
                    queue.push_back(to);
                }
            }
        }
        self.levels[sink] != UNREACHED
    }

    fn push(&mut self, node: NodeIndex, sink: NodeIndex, limit: u64) -> u64 {
        if node == sink {
            return limit;
        }
        while self.cursors[node] < self.leaving[node].len() {
            let edge = self.leaving[node][self.cursors[node]];
            let to = self.edges[edge].to;
            let room = self.residual(edge).min(limit);
            if room > 0 && self.levels[to] == self.levels[node] + 1 {
                let pushed = self.push(to, sink, room);
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
