//! Admission control: fairness between organisations, and immediate refusals.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::admission::{
    AdmissionAction, AdmissionEvent, AdmissionGate, AdmissionRequest, RefusalCause,
};
use arbutusfold::document::RequestPriority;
use tokio::time;

const TOKENS: u64 = 100;

/// An admission gate with a manual clock and numbered tickets.
struct GateHarness {
    gate: AdmissionGate,
    now: time::Instant,
    next: u64,
    running: Vec<u64>,
    owners: Vec<String>,
}

impl GateHarness {
    fn new(slots: usize, queue: usize) -> Self {
        Self {
            gate: AdmissionGate::new(slots, queue),
            now: time::Instant::now(),
            next: 0,
            running: Vec::new(),
            owners: Vec::new(),
        }
    }

    fn handle(&mut self, event: AdmissionEvent) -> Vec<AdmissionAction> {
        let actions = self.gate.handle(event, self.now);
        for action in &actions {
            if let AdmissionAction::Admit(ticket) = action {
                self.running.push(*ticket);
            }
        }
        actions
    }

    fn arrive(
        &mut self,
        organisation: &str,
        priority: RequestPriority,
        weight: u32,
        seconds: u64,
    ) -> Vec<AdmissionAction> {
        self.owners.push(organisation.to_owned());
        let ticket = self.next;
        self.next += 1;
        let request = AdmissionRequest {
            organisation: organisation.to_owned(),
            weight,
            priority,
            max_tokens: TOKENS,
            deadline: self.now + std_time::Duration::from_secs(seconds),
        };
        self.handle(AdmissionEvent::Arrive(ticket, request))
    }

    /// Finishes the oldest running request after `millis`.
    fn finish(&mut self, millis: u64) -> Vec<AdmissionAction> {
        self.now += std_time::Duration::from_millis(millis);
        let ticket = self.running.remove(0);
        self.handle(AdmissionEvent::Finish(ticket, TOKENS))
    }

    /// Finishes `count` requests and returns how many of each owner were admitted.
    fn serve(&mut self, count: usize, owner: &str) -> usize {
        let actions: Vec<_> = (0..count).flat_map(|_| self.finish(1)).collect();
        actions
            .into_iter()
            .filter(|action| match action {
                AdmissionAction::Admit(ticket) => self.owners[*ticket as usize] == owner,
                AdmissionAction::Refuse(..) => false,
            })
            .count()
    }
}

fn refusal(actions: &[AdmissionAction]) -> Option<RefusalCause> {
    actions.iter().find_map(|action| match action {
        AdmissionAction::Refuse(_, refusal) => Some(refusal.cause),
        AdmissionAction::Admit(_) => None,
    })
}

#[tokio::test(start_paused = true)]
async fn organisations_share_by_weight() {
    let mut harness = GateHarness::new(1, 1_000);
    for _ in 0..300 {
        harness.arrive("large", RequestPriority::Interactive, 1, 10_000);
    }
    for _ in 0..100 {
        harness.arrive("one", RequestPriority::Interactive, 1, 10_000);
        harness.arrive("three", RequestPriority::Interactive, 3, 10_000);
    }
    let three = harness.serve(100, "three");
    assert!(
        (58..=62).contains(&three),
        "{three} of 100 at weight 3 of 5"
    );
}

#[tokio::test(start_paused = true)]
async fn background_keeps_its_part_under_urgent_load() {
    let mut harness = GateHarness::new(1, 1_000);
    for _ in 0..400 {
        harness.arrive("ranger", RequestPriority::Urgent, 1, 10_000);
        harness.arrive("letters", RequestPriority::Background, 1, 10_000);
    }
    let background = harness.serve(200, "letters");
    assert!((8..=10).contains(&background), "{background} of 200");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut harness = GateHarness::new(1, 1_000);
    // After eight answers, the length estimate may cause refusals.
    for _ in 0..8 {
        harness.arrive("a", RequestPriority::Interactive, 1, 100);
        harness.finish(1_000);
    }
    // Each request takes one second: one runs and ten seconds of work wait.
    for _ in 0..11 {
        let actions = harness.arrive("a", RequestPriority::Interactive, 1, 100);
        assert_eq!(refusal(&actions), None);
    }
    let actions = harness.arrive("a", RequestPriority::Interactive, 1, 5);
    assert_eq!(refusal(&actions), Some(RefusalCause::Deadline));
    let AdmissionAction::Refuse(_, refusal) = &actions[0] else {
        panic!("{actions:?}");
    };
    assert!(
        refusal.retry_after >= std_time::Duration::from_secs(6),
        "{refusal:?}"
    );
    // An organisation without waiting requests is served before that backlog.
    let actions = harness.arrive("b", RequestPriority::Interactive, 1, 5);
    assert!(actions.is_empty(), "{actions:?}");
}

#[tokio::test(start_paused = true)]
async fn a_waiting_request_past_its_last_start_is_refused_without_a_slot() {
    let mut harness = GateHarness::new(1, 1_000);
    harness.arrive("a", RequestPriority::Interactive, 1, 100);
    harness.arrive("b", RequestPriority::Interactive, 1, 2);
    harness.now += std_time::Duration::from_secs(3);
    let actions = harness.handle(AdmissionEvent::Tick);
    assert_eq!(refusal(&actions), Some(RefusalCause::Deadline));
    assert_eq!(harness.gate.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_the_heaviest() {
    let mut harness = GateHarness::new(1, 10);
    for _ in 0..11 {
        harness.arrive("large", RequestPriority::Interactive, 1, 10_000);
    }
    let actions = harness.arrive("large", RequestPriority::Interactive, 1, 10_000);
    assert_eq!(actions.len(), 1);
    assert!(matches!(actions[0], AdmissionAction::Refuse(11, _)));
    let actions = harness.arrive("small", RequestPriority::Interactive, 1, 10_000);
    assert!(matches!(actions[0], AdmissionAction::Refuse(10, _)));
    let actions = harness.arrive("ranger", RequestPriority::Urgent, 1, 10_000);
    assert!(matches!(actions[0], AdmissionAction::Refuse(9, _)));
    let actions = harness.arrive("letters", RequestPriority::Background, 1, 10_000);
    assert!(matches!(actions[0], AdmissionAction::Refuse(14, _)));
    assert_eq!(harness.gate.waiting(), 10);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_frees_its_place_at_once() {
    let mut harness = GateHarness::new(1, 10);
    for _ in 0..3 {
        harness.arrive("a", RequestPriority::Interactive, 1, 100);
    }
    assert!(harness.handle(AdmissionEvent::Leave(1)).is_empty());
    assert_eq!(harness.gate.waiting(), 1);
    let actions = harness.handle(AdmissionEvent::Leave(0));
    assert_eq!(actions, [AdmissionAction::Admit(2)]);
    assert_eq!(harness.gate.running(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_long_request_is_not_refused_before_the_usual_length_is_known() {
    let mut harness = GateHarness::new(2, 1_000);
    harness.arrive("a", RequestPriority::Interactive, 1, 100);
    harness.finish(10_000);
    let actions = harness.arrive("a", RequestPriority::Interactive, 1, 5);
    assert_eq!(refusal(&actions), None);
}

#[tokio::test(start_paused = true)]
async fn expected_work_is_learned_from_answers() {
    let mut harness = GateHarness::new(1, 10);
    for _ in 0..100 {
        harness.arrive("short", RequestPriority::Interactive, 1, 100);
        let ticket = harness.running.remove(0);
        harness.handle(AdmissionEvent::Finish(ticket, TOKENS / 10));
    }
    let cost = harness.gate.expected_cost("short", TOKENS);
    assert!((10..=11).contains(&cost), "{cost}");
    assert_eq!(harness.gate.expected_cost("unknown", TOKENS), TOKENS);
}
