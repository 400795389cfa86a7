//! Validation of tokens and their proofs, and the stall timeout.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::{stream, upstream};

const LAYERS: u32 = 8;

fn range(from: u32, to: u32) -> upstream::LayerRange {
    upstream::LayerRange { from, to }
}

fn stage(incarnation: u64, from: u32, to: u32) -> upstream::RouteStage {
    upstream::RouteStage {
        upstream: format!("runner-{incarnation}"),
        incarnation,
        address: "127.0.0.1:1".parse().unwrap(),
        layers: range(from, to),
    }
}

fn token(attempt: u32, index: u32, proof: &[(u64, u32, u32)]) -> upstream::StageToken {
    upstream::StageToken {
        request: "r".to_owned(),
        attempt,
        index,
        text: " veil".to_owned(),
        proof: proof
            .iter()
            .map(|&(incarnation, from, to)| upstream::StageStamp {
                incarnation,
                layers: range(from, to),
            })
            .collect(),
        finish: None,
    }
}

fn answer() -> stream::AnswerState {
    let mut answer = stream::AnswerState::new("r".to_owned(), LAYERS);
    answer.begin(vec![stage(1, 0, 4), stage(2, 4, 8)]);
    answer
}

#[test]
fn complete_proof_is_accepted() {
    let mut answer = answer();
    assert_eq!(
        answer.accept(&token(1, 0, &[(1, 0, 4), (2, 4, 8)]).view()),
        Ok(())
    );
    assert_eq!(answer.delivered().to_vec(), [" veil"]);
}

#[test]
fn invalid_proofs_are_refused() {
    let invalid: [&[(u64, u32, u32)]; 6] = [
        &[],
        &[(1, 0, 4)],
        &[(1, 0, 4), (2, 5, 8)],
        &[(2, 4, 8), (1, 0, 4)],
        &[(1, 0, 4), (1, 0, 4), (2, 4, 8)],
        &[(1, 0, 4), (3, 4, 8)],
    ];
    for proof in invalid {
        let refused = answer().accept(&token(1, 0, proof).view());
        assert_eq!(refused, Err(stream::TokenError::InvalidProof), "{proof:?}");
    }
}

#[test]
fn tokens_of_other_attempts_or_requests_and_duplicates_are_refused() {
    let complete: &[(u64, u32, u32)] = &[(1, 0, 4), (2, 4, 8)];
    let mut answer = answer();
    assert_eq!(answer.accept(&token(1, 0, complete).view()), Ok(()));
    assert_eq!(
        answer.accept(&token(1, 0, complete).view()),
        Err(stream::TokenError::WrongIndex {
            found: 0,
            expected: 1
        })
    );
    let mut foreign = token(1, 1, complete);
    foreign.request = "other".to_owned();
    assert!(matches!(
        answer.accept(&foreign.view()),
        Err(stream::TokenError::WrongRequest { .. })
    ));
    answer.begin(vec![stage(1, 0, 4), stage(2, 4, 8)]);
    assert_eq!(
        answer.accept(&token(1, 1, complete).view()),
        Err(stream::TokenError::StaleAttempt { found: 1 })
    );
}

#[test]
fn text_with_escapes_is_read_whole() {
    let mut sent = token(1, 0, &[(1, 0, 4), (2, 4, 8)]);
    sent.text = "\"quote\"\n\u{e9}".to_owned();
    let line = serde_json::to_string(&sent).unwrap();
    let read: upstream::TokenView<'_> = serde_json::from_str(&line).unwrap();
    let mut answer = answer();
    assert_eq!(answer.accept(&read), Ok(()));
    assert_eq!(answer.delivered().to_vec(), [sent.text]);
}

#[tokio::test(start_paused = true)]
async fn stall_timeout_follows_the_token_gaps() {
    let timeout_ms = |estimator: &stream::GapEstimator| estimator.stall_timeout().as_millis();
    let fresh = stream::GapEstimator::new(None);
    assert_eq!(timeout_ms(&fresh), 200);
    let slow = stream::GapEstimator::new(Some(time::Duration::from_millis(150)));
    assert_eq!(timeout_ms(&slow), 600);
    let mut steady = stream::GapEstimator::new(None);
    for _ in 0..50 {
        steady.note(tokio::time::Instant::now());
        tokio::time::advance(time::Duration::from_millis(100)).await;
    }
    assert_eq!(timeout_ms(&steady), 400);
    let mut very_slow = stream::GapEstimator::new(None);
    for _ in 0..50 {
        very_slow.note(tokio::time::Instant::now());
        tokio::time::advance(time::Duration::from_secs(9)).await;
    }
    assert_eq!(timeout_ms(&very_slow), 2_000);
}

#[test]
fn proof_of_a_route_that_skips_repeats_or_swaps_layers_is_refused() {
    let routes: [&[(u64, u32, u32)]; 4] = [
        &[(1, 0, 4), (2, 5, 8)],
        &[(1, 0, 5), (2, 4, 8)],
        &[(2, 4, 8), (1, 0, 4)],
        &[(1, 0, 4), (2, 4, 8), (3, 4, 8)],
    ];
    for route in routes {
        let mut answer = stream::AnswerState::new("r".to_owned(), LAYERS);
        let stages = route.iter().map(|&(one, from, to)| stage(one, from, to));
        answer.begin(stages.collect());
        let refused = answer.accept(&token(1, 0, route).view());
        assert_eq!(refused, Err(stream::TokenError::InvalidProof), "{route:?}");
    }
}
