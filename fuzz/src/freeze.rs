//! A process that can be paused and killed, as tasks of the test's runtime.

use std::pin;
use std::sync;
use std::task;

/// Pauses the tasks of one process.
#[derive(Clone, Debug, Default)]
pub struct FreezeSwitch {
    state: sync::Arc<sync::Mutex<FreezeState>>,
}

#[derive(Debug, Default)]
struct FreezeState {
    frozen: bool,
    wakers: Vec<task::Waker>,
}

impl FreezeSwitch {
    /// Stops or resumes every task under this switch.
    pub fn set(&self, frozen: bool) {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        state.frozen = frozen;
        if !frozen {
            state.wakers.drain(..).for_each(task::Waker::wake);
        }
    }

    /// Tells whether the tasks are stopped.
    pub fn is_frozen(&self) -> bool {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .frozen
    }

    /// Puts a future under this switch.
    pub fn wrap<F: Future>(&self, future: F) -> FreezeFuture<F> {
        FreezeFuture {
            switch: self.clone(),
            future: Box::pin(future),
        }
    }
}

/// A future that is not polled while its switch is on.
#[derive(Debug)]
pub struct FreezeFuture<F> {
    switch: FreezeSwitch,
    future: pin::Pin<Box<F>>,
}

impl<F: Future> Future for FreezeFuture<F> {
    type Output = F::Output;

    fn poll(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Self::Output> {
        {
            let state = sync::Arc::clone(&self.switch.state);
            let mut state = state.lock().unwrap_or_else(sync::PoisonError::into_inner);
            if state.frozen {
                state.wakers.push(context.waker().clone());
                return task::Poll::Pending;
            }
        }
        self.future.as_mut().poll(context)
    }
}
