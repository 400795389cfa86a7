//! Claims of this node that wait for the answer of the node that issues permits.

use tokio::sync::oneshot;

/// Number of a claim at the node that sent it.
pub type ClaimNumber = u64;

/// Claims that wait for an answer of the type `T`.
#[derive(Debug)]
pub struct PendingClaims<T> {
    claims: Vec<(ClaimNumber, oneshot::Sender<T>)>,
    count: ClaimNumber,
}

impl<T> Default for PendingClaims<T> {
    /// Creates claims whose numbers begin at random: a late answer to the process before
    /// must not fit a claim of this one.
    fn default() -> Self {
        Self {
            claims: Vec::new(),
            count: rand::random(),
        }
    }
}

impl<T> PendingClaims<T> {
    /// Adds a claim and returns its number and the receiver of the answer.
    pub fn add(&mut self) -> (ClaimNumber, oneshot::Receiver<T>) {
        let (sender, answer) = oneshot::channel();
        self.claims.retain(|(_, waiting)| !waiting.is_closed());
        self.count = self.count.wrapping_add(1);
        self.claims.push((self.count, sender));
        (self.count, answer)
    }

    /// Passes an answer to its claim; returns whether that still waits.
    pub fn resolve(&mut self, claim: ClaimNumber, answer: T) -> bool {
        let mut claims = self.claims.iter();
        let Some(index) = claims.position(|(number, _)| *number == claim) else {
            return false;
        };
        let (_, sender) = self.claims.swap_remove(index);
        sender.send(answer).is_ok()
    }
}
