//! The flow bound of a layout beside the tokens a second that are asked for.

use std::path;

use anyhow::Context;
use arbutusfold::gateway::layout;
use arbutusfold::{plan, upstream};
use arbutusfold_platform::document;
use bpaf::Bpaf;

/// Prints the flow bound of the layout that a gateway plans.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct BoundOptions {
    /// Requests of the model a second
    #[bpaf(long, argument("NUMBER"))]
    requests: f64,
    /// File with the operator's document
    #[bpaf(positional("DOCUMENT"))]
    document: path::PathBuf,
    /// Runners, as DOMAIN:CARD:COUNT
    #[bpaf(positional("RUNNERS"), some("name the runners"))]
    runners: Vec<String>,
}

fn main() -> anyhow::Result<()> {
    let options = bound_options().run();
    let text = std::fs::read(&options.document)?;
    let document = document::decode(&text)?;
    let engines = document.services.into_iter();
    let engine = engines
        .filter_map(|spec| spec.engine)
        .next()
        .context("the document has no engine")?;
    let mut slots = Vec::new();
    for runners in &options.runners {
        let parts: Vec<_> = runners.split(':').collect();
        let [domain, card, count] = parts[..] else {
            anyhow::bail!("{runners}: not DOMAIN:CARD:COUNT");
        };
        let slot = layout::LayoutRunner {
            domain: domain.to_owned(),
            card: card.to_owned(),
            layers: None,
        };
        slots.extend(std::iter::repeat_n(slot, count.parse()?));
    }
    for choice in layout::plan(&engine, &slots) {
        slots[choice.runner].layers = Some(choice.layers);
    }
    let offers: Vec<_> = (0..slots.len())
        .filter_map(|place| offer(&engine, &slots, place))
        .collect();
    let bound = plan::plan(
        engine.layers,
        &offers,
        &plan::LinkTable::default(),
        plan::ROUTE_LIMIT,
    );
    println!("copies by unit: {:?}", layout::copies(&engine, &slots));
    let room = layout::room(&engine, &slots);
    let least = |part: fn(&layout::UnitRoom) -> f64| room.iter().map(part).fold(f64::MAX, f64::min);
    println!(
        "requests in the scarcest unit: {:.0}, {:.0} after the loss of any one runner",
        least(|unit| unit.whole),
        least(|unit| unit.after_loss)
    );
    println!("flow bound: {} answer tokens a second", bound.bound);
    let asked = options.requests * engine.answer_tokens;
    println!(
        "asked for: {asked:.0}, {:.2} of the bound",
        asked / bound.bound as f64
    );
    Ok(())
}

/// What a runner passes at most: its memory full of streams, in one batch,
/// with the reading of their prompts.
fn offer(
    engine: &document::EngineSpec,
    slots: &[layout::LayoutRunner],
    place: usize,
) -> Option<plan::StageOffer> {
    let slot = &slots[place];
    let layers = slot.layers?;
    let card = engine.card(&slot.card)?;
    let share = f64::from(layers.len()) / f64::from(engine.layers);
    let streams = layout::context_room(engine, card, layers.len());
    let context = engine.context_ms * (engine.prompt_tokens + engine.answer_tokens / 2.0) / 1_000.0;
    let each = engine.sequence_ms + context;
    let step = share * card.step_factor * (engine.step_ms + each * streams) / streams;
    let read = share * card.read_factor * engine.prompt_tokens * 1_000.0
        / engine.read_per_second
        / engine.answer_tokens;
    Some(plan::StageOffer {
        slot: place,
        domain: slot.domain.clone(),
        layers: upstream::LayerRange {
            from: layers.from,
            to: layers.to,
        },
        tokens_per_second: (1_000.0 / (step + read)) as u64,
    })
}
