//! Review of a service's engine: models that no runner can hold, and requests that no
//! runner has room for.

use arbutusfold_platform::{document, head};

use crate::check;
use crate::gateway::{layout, review, selector};

/// Adds what is wrong with the engine of the service at `service`.
pub(super) fn check(
    engine: &document::EngineSpec,
    service: &str,
    review: &mut review::DocumentReview,
) {
    let place = format!("{service}.engine");
    check_numbers(engine, &place, review);
    if engine.answer_tokens <= 0.0 {
        let message = format_args!(
            "without a mean length of answers, a request that states none counts as endless and finds no room"
        );
        review.warn(&place, "answer_length_missing", message);
    }
    match engine.cards.is_empty() {
        true => check_context(engine, &place, review),
        false => check_cards(engine, &place, review),
    }
}

fn check_numbers(engine: &document::EngineSpec, place: &str, review: &mut review::DocumentReview) {
    let numbers = [
        ("step_ms", engine.step_ms),
        ("sequence_ms", engine.sequence_ms),
        ("context_ms", engine.context_ms),
        ("read_per_second", engine.read_per_second),
        ("prompt_tokens", engine.prompt_tokens),
        ("answer_tokens", engine.answer_tokens),
        ("layer_mb", engine.layer_mb),
        ("token_bytes", engine.token_bytes),
        ("activation_bytes", engine.activation_bytes),
    ];
    for (name, number) in numbers {
        if number < 0.0 {
            let message = format_args!("{name} is {number}, less than 0");
            review.error(&place, "number_negative", message);
        }
    }
    if engine.link_mbps.is_some_and(|link| link <= 0.0) {
        let message = format_args!("a link without bandwidth counts as one without a limit");
        review.warn(&place, "link_without_effect", message);
    }
}

/// Checks whether a runner that holds the whole model has room for a usual request.
fn check_context(engine: &document::EngineSpec, place: &str, review: &mut review::DocumentReview) {
    let tokens = usual_tokens(engine);
    let usable = selector::USABLE_MEMORY * engine.context_tokens as f64;
    if tokens > usable {
        let message = format_args!(
            "a usual request of {tokens} tokens finds no room: a runner's {} tokens of context give {usable}",
            engine.context_tokens
        );
        review.error(&place, "engine_without_room", message);
    }
}

fn check_cards(engine: &document::EngineSpec, place: &str, review: &mut review::DocumentReview) {
    for (index, first) in review::repeated(engine.cards.iter().map(|card| &card.name)) {
        let name = check::quote(&engine.cards[index].name);
        let message = format_args!("{name} is also the name of cards[{first}]");
        review.error(&format!("{place}.cards[{index}]"), "name_twice", message);
    }
    let mut most = None;
    let spans = layout::span_limits(engine).into_iter();
    for (index, (card, (least, span))) in engine.cards.iter().zip(spans).enumerate() {
        let place = format!("{place}.cards[{index}]");
        let name = check::quote(&card.name);
        let factors = [
            ("step_factor", card.step_factor),
            ("read_factor", card.read_factor),
        ];
        for (field, factor) in factors {
            if factor < 0.0 {
                let message = format_args!("{field} of card {name} is {factor}, less than 0");
                review.error(&place, "number_negative", message);
            }
        }
        let room = selector::USABLE_MEMORY * layout::context_room(engine, card, least);
        if room < 1.0 {
            let message = format_args!(
                "card {name} has no room for a usual request of {} tokens beside {least} layers",
                usual_tokens(engine)
            );
            review.warn(&place, "card_without_room", message);
            continue;
        }
        most = most.max(Some(span));
    }
    let Some(most) = most else {
        let message = format_args!("no card has room for layers and a usual request");
        review.error(&place, "engine_without_room", message);
        return;
    };
    let runners = engine.layers.div_ceil(most);
    if runners as usize > head::PATH_PART_LIMIT {
        let message = format_args!(
            "a path needs {runners} runners or more, and may have {}",
            head::PATH_PART_LIMIT
        );
        review.error(&place, "path_too_long", message);
    }
}

/// Returns the length of a usual request in tokens.
fn usual_tokens(engine: &document::EngineSpec) -> f64 {
    (engine.prompt_tokens + engine.answer_tokens).max(1.0)
}
