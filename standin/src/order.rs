//! Orders that a stand-in engine takes.

use std::sync;
use std::time;

use arbutusfold::id;
use arbutusfold::order;
use arbutusfold::upstream;

/// Time in which one layer is loaded from the weight store.
const LAYER_LOAD_TIME: time::Duration = time::Duration::from_millis(50);

/// The layers of an engine as orders change them.
#[derive(Clone, Debug)]
pub struct OrderedLayers {
    state: sync::Arc<sync::Mutex<OrderedState>>,
    checks_fencing: bool,
}

#[derive(Debug)]
struct OrderedState {
    held: Vec<upstream::HeldLayers>,
    fencing: id::FencingNumber,
    /// Orders taken; a load that an order overtook is dropped.
    taken: u64,
}

/// An order that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderRefusal {
    /// Highest fencing number seen.
    pub seen: id::FencingNumber,
}

impl OrderedLayers {
    /// Creates the layers that an engine holds at its start.
    pub fn new(held: Vec<upstream::HeldLayers>, checks_fencing: bool) -> Self {
        let state = OrderedState {
            held,
            fencing: 0,
            taken: 0,
        };
        Self {
            state: sync::Arc::new(sync::Mutex::new(state)),
            checks_fencing,
        }
    }

    /// Returns the layers that are loaded.
    pub fn held(&self) -> Vec<upstream::HeldLayers> {
        self.lock().held.clone()
    }

    /// Returns the highest fencing number seen.
    pub fn fencing(&self) -> id::FencingNumber {
        self.lock().fencing
    }

    /// Tells whether layers of a model are loaded.
    pub fn holds(&self, model: &str, layers: upstream::LayerRange) -> bool {
        self.lock().held.iter().any(|held| {
            held.model == model && held.layers.from <= layers.from && layers.to <= held.layers.to
        })
    }

    /// Takes an order: what it does not name is dropped at once, what is
    /// missing is there after its load time.
    ///
    /// # Errors
    ///
    /// [`OrderRefusal`] when fencing is checked and the number is an old one.
    pub fn take(&self, order: order::EngineOrder) -> Result<(), OrderRefusal> {
        let mut state = self.lock();
        if self.checks_fencing && order.fencing < state.fencing {
            return Err(OrderRefusal {
                seen: state.fencing,
            });
        }
        state.fencing = state.fencing.max(order.fencing);
        state.taken += 1;
        let taken = state.taken;
        let target = order.target.held;
        state.held.retain(|held| target.contains(held));
        let missing: u32 = target
            .iter()
            .filter(|held| !state.held.contains(held))
            .map(|held| held.layers.to - held.layers.from)
            .sum();
        drop(state);
        let layers = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(LAYER_LOAD_TIME * missing).await;
            let mut state = layers.lock();
            if state.taken == taken {
                state.held = target;
            }
        });
        Ok(())
    }

    fn lock(&self) -> sync::MutexGuard<'_, OrderedState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
