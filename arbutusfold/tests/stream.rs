//! A token reaches the caller only with proof of its passage.

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
fn whole_passage_is_accepted() {
    let mut answer = answer();
    assert_eq!(
        answer.accept(&token(1, 0, &[(1, 0, 4), (2, 4, 8)]).view()),
        Ok(())
    );
    assert_eq!(answer.delivered().to_vec(), [" veil"]);
}

#[test]
fn broken_passages_are_refused() {
    let broken: [&[(u64, u32, u32)]; 6] = [
        &[],
        &[(1, 0, 4)],
        &[(1, 0, 4), (2, 5, 8)],
        &[(2, 4, 8), (1, 0, 4)],
        &[(1, 0, 4), (1, 0, 4), (2, 4, 8)],
        &[(1, 0, 4), (3, 4, 8)],
    ];
    for proof in broken {
        let refused = answer().accept(&token(1, 0, proof).view());
        assert_eq!(refused, Err(stream::TokenError::InvalidProof), "{proof:?}");
    }
}

#[test]
fn late_crossed_and_doubled_tokens_are_refused() {
    let whole: &[(u64, u32, u32)] = &[(1, 0, 4), (2, 4, 8)];
    let mut answer = answer();
    assert_eq!(answer.accept(&token(1, 0, whole).view()), Ok(()));
    assert_eq!(
        answer.accept(&token(1, 0, whole).view()),
        Err(stream::TokenError::WrongIndex {
            found: 0,
            expected: 1
        })
    );
    let mut crossed = token(1, 1, whole);
    crossed.request = "other".to_owned();
    assert!(matches!(
        answer.accept(&crossed.view()),
        Err(stream::TokenError::WrongRequest { .. })
    ));
    answer.begin(vec![stage(1, 0, 4), stage(2, 4, 8)]);
    assert_eq!(
        answer.accept(&token(1, 1, whole).view()),
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
async fn silence_is_judged_by_the_gaps_of_the_route() {
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
    let mut halting = stream::GapEstimator::new(None);
    for _ in 0..50 {
        halting.note(tokio::time::Instant::now());
        tokio::time::advance(time::Duration::from_secs(9)).await;
    }
    assert_eq!(timeout_ms(&halting), 2_000);
}

#[test]
fn route_that_skips_doubles_or_swaps_layers_proves_nothing() {
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
