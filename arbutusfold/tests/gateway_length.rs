//! Memory for answers that are longer than their callers expect.

use arbutusfold::gateway::length;
use rand::{RngExt, SeedableRng};

const ROUTE: &str = "r";
const EXPECTED: f64 = 180.0;

/// Real lengths of answers of which 180 tokens are expected: right at the median, and
/// off by a factor of 1.5 in a typical case.
fn lengths(count: usize, seed: u64) -> Vec<f64> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut normal = || (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    let mut length = || EXPECTED * (normal() * 1.5_f64.ln()).exp();
    (0..count).map(|_| length()).collect()
}

fn learned(lengths: &[f64]) -> length::LengthBook {
    let mut book = length::LengthBook::default();
    lengths
        .iter()
        .for_each(|tokens| book.observe(ROUTE, EXPECTED, *tokens));
    book
}

#[test]
fn half_of_the_answers_fit_what_is_reserved_for_them() {
    for seed in 0..5 {
        let book = learned(&lengths(300, seed));
        let reserved = book.reserved(ROUTE, EXPECTED, 0.0);
        let fresh = lengths(1_000, seed + 100);
        let fitting = fresh.iter().filter(|tokens| **tokens <= reserved).count();
        assert!((400..=620).contains(&fitting), "{fitting} in {reserved}");
        let expected = fresh.iter().filter(|tokens| **tokens <= EXPECTED).count();
        assert!(expected < 600, "{expected}");
    }
}

#[test]
fn expected_length_is_reserved_until_answers_are_known() {
    let book = learned(&lengths(10, 1));
    assert_eq!(
        book.reserved(ROUTE, EXPECTED, 0.0).to_bits(),
        EXPECTED.to_bits()
    );
    assert_eq!(
        book.reserved("other", 70.0, 0.0).to_bits(),
        70.0_f64.to_bits()
    );
    assert!(book.corrected(ROUTE, EXPECTED, 200.0) >= 250.0);
}

/// A stream that outlives its estimate is counted at the next one, whose number is
/// small however long the answer gets.
#[test]
fn outgrown_estimates_are_corrected_a_few_times_a_stream() {
    let book = learned(&lengths(300, 7));
    let mut total = 0;
    for tokens in lengths(500, 8).into_iter().chain([EXPECTED * 30.0]) {
        let mut reserved = book.reserved(ROUTE, EXPECTED, 0.0);
        let mut corrections = 0;
        let mut reached = 0.0;
        while reached < tokens {
            reached += 3.0;
            if reached > reserved {
                reserved = book.corrected(ROUTE, EXPECTED, reached);
                corrections += 1;
            }
            assert!(reserved >= reached);
        }
        assert!(corrections <= 16, "{corrections} for {tokens} tokens");
        if tokens < EXPECTED * 10.0 {
            assert!(corrections <= 4, "{corrections} for {tokens} tokens");
            total += corrections;
        }
    }
    assert!(total <= 500, "{total} corrections of 500 streams");
}

#[test]
fn changed_lengths_replace_the_earlier_ones() {
    let mut book = learned(&lengths(300, 3));
    let before = book.reserved(ROUTE, EXPECTED, 0.0);
    for tokens in lengths(600, 4) {
        book.observe(ROUTE, EXPECTED, 3.0 * tokens);
    }
    assert!(book.reserved(ROUTE, EXPECTED, 0.0) >= 2.0 * before);
}

/// Documents replace routes over time, and answers may have any length.
#[test]
fn odd_lengths_and_many_routes_do_no_harm() {
    let mut book = length::LengthBook::default();
    for route in 0..2_000 {
        let route = format!("r-{route}");
        [0.0, -1.0, 1e-300, 1e300, f64::INFINITY, f64::NAN]
            .into_iter()
            .for_each(|tokens| book.observe(&route, EXPECTED, tokens));
        assert!(book.reserved(&route, EXPECTED, 0.0).is_finite());
        assert!(book.reserved(&route, 0.0, 5.0).is_finite());
    }
}
