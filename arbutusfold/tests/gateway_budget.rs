//! Retry budgets of a gateway.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::gateway::budget;
use rand::{RngExt, SeedableRng};
use tokio::time;

const SERVICE: &str = "assistant";

const POLICY: budget::BudgetPolicy = budget::BudgetPolicy {
    share: 0.2,
    extra: 70.0,
    window: std_time::Duration::from_secs(10),
    has_peers: false,
    has_loans: false,
};

const LOAN_POLICY: budget::BudgetPolicy = budget::BudgetPolicy {
    has_loans: true,
    ..POLICY
};

fn take_all(budget: &mut budget::RetryBudget, now: time::Instant) -> usize {
    (0..1_000).take_while(|_| budget.take(SERVICE, now)).count()
}

#[tokio::test(start_paused = true)]
async fn nodes_take_parts_that_add_up_to_the_fleets_budget() {
    let started = time::Instant::now();
    let now = started + POLICY.window;
    let mut sum = 0;
    for _ in 0..7 {
        let mut budget = budget::RetryBudget::new(POLICY, started);
        budget.note_nodes(7);
        // A smaller fleet size, as during a partition, must not raise the share.
        budget.note_nodes(1);
        (0..100).for_each(|_| budget.note_request(SERVICE, now));
        sum += take_all(&mut budget, now);
    }
    let allowed = POLICY.share * 700.0 + POLICY.extra;
    assert!(sum > 0 && sum as f64 <= allowed, "{sum} of {allowed}");
}

#[tokio::test(start_paused = true)]
async fn restarted_node_takes_no_extra_for_a_window() {
    let started = time::Instant::now();
    let mut budget = budget::RetryBudget::new(POLICY, started);
    let soon = started + std_time::Duration::from_millis(500);
    assert_eq!(take_all(&mut budget, soon), 0);
    (0..100).for_each(|_| budget.note_request(SERVICE, soon));
    let allowed = (POLICY.share * 100.0) as usize;
    assert!((1..=allowed).contains(&take_all(&mut budget, soon)));
}

/// Guards against a node that is started while it is cut off from its peers and
/// takes the extra retries of the whole fleet.
#[tokio::test(start_paused = true)]
async fn node_that_has_met_no_peer_takes_no_extra() {
    let policy = budget::BudgetPolicy {
        has_peers: true,
        ..POLICY
    };
    let started = time::Instant::now();
    let mut sum = 0;
    for node in 0..7 {
        let mut budget = budget::RetryBudget::new(policy, started);
        // The last one is alone, the others know the whole fleet.
        budget.note_nodes(if node == 6 { 1 } else { 7 });
        sum += take_all(&mut budget, started + policy.window);
    }
    assert!(
        sum > 0 && sum as f64 <= policy.extra,
        "{sum} of {}",
        policy.extra
    );
}

#[tokio::test(start_paused = true)]
async fn budget_comes_back_after_the_window() {
    let started = time::Instant::now();
    let mut budget = budget::RetryBudget::new(POLICY, started);
    budget.note_nodes(1);
    let now = started + POLICY.window;
    let first = take_all(&mut budget, now);
    assert_eq!(take_all(&mut budget, now + POLICY.window / 2), 0);
    assert_eq!(take_all(&mut budget, now + POLICY.window * 2), first);
}

/// A retry that is given back may be taken again, but not twice, nor once it has left
/// the window.
#[tokio::test(start_paused = true)]
async fn retry_given_back_counts_in_its_own_window() {
    let started = time::Instant::now();
    let taken_at = started + POLICY.window;
    let mut budget = budget::RetryBudget::new(POLICY, started);
    let whole = take_all(&mut budget, taken_at);
    let later = taken_at + POLICY.window / 2;
    budget.give_back(SERVICE, taken_at);
    assert_eq!(take_all(&mut budget, later), 1);
    let after = taken_at + POLICY.window * 2;
    assert_eq!(take_all(&mut budget, after), whole);
    budget.give_back(SERVICE, taken_at);
    assert_eq!(take_all(&mut budget, after), 0);
}

/// A fleet whose nodes lend each other retries over a network that loses, delays and
/// doubles messages. A step is a tenth of a second.
struct LoanFleet {
    policy: budget::BudgetPolicy,
    nodes: Vec<budget::RetryBudget>,
    now: time::Instant,
    random: rand_chacha::ChaCha8Rng,
    /// Longest time of a message.
    delay: std_time::Duration,
    /// Claims on their way: arrival, borrower, lender, when it was sent.
    claims: Vec<(time::Instant, usize, usize, time::Instant)>,
    /// Loans on their way: arrival, borrower, number, when it was claimed.
    loans: Vec<(time::Instant, usize, u32, time::Instant)>,
    /// Requests and retries of all nodes, by step.
    sent: Vec<(u32, u32)>,
}

const STEP: std_time::Duration = std_time::Duration::from_millis(100);

impl LoanFleet {
    fn new(nodes: usize, extra: f64, seed: u64) -> Self {
        let policy = budget::BudgetPolicy {
            share: 0.2,
            extra,
            has_peers: true,
            ..LOAN_POLICY
        };
        let started = time::Instant::now();
        let mut fleet = Self {
            policy,
            nodes: Vec::new(),
            now: started + POLICY.window * 2,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            delay: STEP,
            claims: Vec::new(),
            loans: Vec::new(),
            sent: Vec::new(),
        };
        for _ in 0..nodes {
            let mut budget = budget::RetryBudget::new(policy, started);
            budget.note_nodes(nodes);
            fleet.nodes.push(budget);
        }
        fleet
    }

    fn restart(&mut self, node: usize) {
        let mut budget = budget::RetryBudget::new(self.policy, self.now);
        budget.note_nodes(self.nodes.len());
        self.nodes[node] = budget;
        // The next process knows of no claim of the one before.
        self.loans.retain(|(_, borrower, ..)| *borrower != node);
    }

    /// Lets a step pass: each node gets `requests` and wants `retries` of its own, and
    /// `cut` nodes reach no other.
    fn step(&mut self, requests: u32, retries: impl Fn(usize) -> u32, cut: impl Fn(usize) -> bool) {
        self.now += STEP;
        let now = self.now;
        let mut sum = (0, 0);
        for node in 0..self.nodes.len() {
            (0..requests).for_each(|_| self.nodes[node].note_request(SERVICE, now));
            sum.0 += requests;
            for _ in 0..retries(node) {
                let budget = &mut self.nodes[node];
                if budget.take(SERVICE, now) || budget.take_borrowed(SERVICE, now).is_some() {
                    sum.1 += 1;
                    continue;
                }
                if !cut(node) && budget.begin_claim(SERVICE, STEP, now) {
                    let lender = self.random.random_range(0..self.nodes.len());
                    let arrival = now + self.delay.mul_f64(self.random.random());
                    if lender != node && !cut(lender) && self.random.random_bool(0.8) {
                        self.claims.push((arrival, node, lender, now));
                    }
                }
            }
        }
        self.sent.push(sum);
        let (due, later): (Vec<_>, Vec<_>) =
            self.claims.drain(..).partition(|claim| claim.0 <= now);
        self.claims = later;
        for (_, borrower, lender, asked_at) in due {
            let count = self.nodes[lender].lend(SERVICE, 3, now);
            if count > 0 && self.random.random_bool(0.8) {
                let arrival = now + self.delay.mul_f64(self.random.random());
                self.loans.push((arrival, borrower, count, asked_at));
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self.loans.drain(..).partition(|loan| loan.0 <= now);
        self.loans = later;
        for (_, borrower, count, asked_at) in due {
            self.nodes[borrower].borrow(SERVICE, count, asked_at);
        }
    }

    /// Checks the limit over every window, as the platform counts requests: in the
    /// window, the one before it or the one half a window before it.
    fn assert_limit(&self) {
        let steps = (self.policy.window.as_millis() / STEP.as_millis()) as usize;
        let sum = |end: usize| {
            let window = &self.sent[end.saturating_sub(steps)..end];
            window
                .iter()
                .fold((0, 0), |sum, step| (sum.0 + step.0, sum.1 + step.1))
        };
        for end in steps..=self.sent.len() {
            let (requests, retries) = sum(end);
            let before = [end - steps, end - steps / 2].map(|end| sum(end).0);
            let requests = before.into_iter().fold(requests, u32::max);
            let allowed = self.policy.share * f64::from(requests) + self.policy.extra;
            assert!(
                f64::from(retries) <= allowed,
                "{retries} of {allowed} at {end}"
            );
        }
    }

    fn retries(&self) -> u32 {
        self.sent.iter().map(|(_, retries)| retries).sum()
    }
}

/// Answers the load of a crash that ends requests of a few nodes only: their shares of
/// the budget are used up while the fleet's is not.
#[tokio::test(start_paused = true)]
async fn nodes_with_many_failures_borrow_what_others_leave() {
    let mut fleet = LoanFleet::new(98, 200.0, 1);
    for _ in 0..200 {
        fleet.step(0, |node| u32::from(node < 5), |_| false);
    }
    fleet.assert_limit();
    // The own shares of five nodes allow one retry each in a window, so 10 in all.
    assert!(fleet.retries() >= 60, "{}", fleet.retries());
}

/// Guards against loans that let the fleet exceed its limit when all nodes take all
/// that they get, and restart and are cut off meanwhile.
#[tokio::test(start_paused = true)]
async fn loans_never_exceed_the_fleets_budget() {
    for seed in 0..12 {
        let mut fleet = LoanFleet::new(40, 120.0, seed);
        fleet.delay = STEP * [1, 5, 30][seed as usize % 3];
        for step in 0..600_usize {
            let requests = u32::from(step % 3 == 0 && (step / 150) % 2 == 0);
            let needy = match (step / 100) % 3 {
                0 => 40,
                1 => 4,
                _ => 20,
            };
            let is_cut = |node: usize| (step / 80) % 2 == 1 && node < 15;
            fleet.step(requests, |node| if node < needy { 3 } else { 0 }, is_cut);
            if step % 7 == 0 {
                let node = fleet.random.random_range(0..40);
                fleet.restart(node);
            }
        }
        fleet.assert_limit();
        assert!(fleet.retries() > 0);
    }
}

/// Guards against a loan that is sent in a window in which its lender has forgotten it.
#[tokio::test(start_paused = true)]
async fn lender_counts_a_loan_until_the_window_after_its_last_use() {
    let started = time::Instant::now();
    let now = started + POLICY.window * 2;
    let (mut lender, mut borrower) = (
        budget::RetryBudget::new(LOAN_POLICY, started),
        budget::RetryBudget::new(LOAN_POLICY, now),
    );
    let count = lender.lend(SERVICE, 1_000, now);
    assert!(count > 0);
    let rest = take_all(&mut lender, now) as u32;
    assert_eq!(rest + count, 63, "nine tenths of the extra retries");
    borrower.borrow(SERVICE, count, now);
    let last_use = now + budget::LOAN_TIME - STEP;
    assert!(borrower.take_borrowed(SERVICE, last_use).is_some());
    let end = last_use + POLICY.window;
    assert!(take_all(&mut lender, end) as u32 <= rest);
    assert_eq!(
        borrower.take_borrowed(SERVICE, now + budget::LOAN_TIME),
        None
    );
    let later = end + POLICY.window * 2;
    assert_eq!(take_all(&mut lender, later), 63);
}

/// Guards against a lender that starts again and uses its extra retries once more in
/// the window in which its loan is sent.
#[tokio::test(start_paused = true)]
async fn restarted_lender_waits_until_its_loans_are_sent() {
    let started = time::Instant::now();
    let now = started + POLICY.window * 2;
    let mut lender = budget::RetryBudget::new(LOAN_POLICY, started);
    assert!(lender.lend(SERVICE, 1_000, now) > 0);
    let mut lender = budget::RetryBudget::new(LOAN_POLICY, now);
    let last_use = now + budget::LOAN_TIME;
    let soon = last_use + POLICY.window - STEP;
    assert_eq!(take_all(&mut lender, soon), 0);
    assert!(take_all(&mut lender, last_use + POLICY.window) > 0);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_lent_without_the_setting() {
    let started = time::Instant::now();
    let mut lender = budget::RetryBudget::new(POLICY, started);
    assert_eq!(lender.lend(SERVICE, 3, started + POLICY.window * 2), 0);
}

/// Guards against borrowed retries that are used up by requests that find no runner.
#[tokio::test(start_paused = true)]
async fn borrowed_retry_that_was_not_sent_serves_another_request() {
    let now = time::Instant::now();
    let mut borrower = budget::RetryBudget::new(LOAN_POLICY, now);
    borrower.borrow(SERVICE, 1, now);
    let until = borrower.take_borrowed(SERVICE, now).unwrap();
    assert_eq!(until, now + budget::LOAN_TIME);
    assert_eq!(borrower.take_borrowed(SERVICE, now), None);
    borrower.give_back_borrowed(SERVICE, until);
    assert_eq!(borrower.take_borrowed(SERVICE, now + STEP), Some(until));
    borrower.give_back_borrowed(SERVICE, until);
    assert_eq!(borrower.take_borrowed(SERVICE, until), None);
}
