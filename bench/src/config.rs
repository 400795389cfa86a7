//! What the configuration costs a node at the size to design for.

use std::hint;
use std::time;

use anyhow::Context;
use arbutusfold::config::{self, change, chunk};
use arbutusfold::document;
use rand::{RngExt, SeedableRng};

use crate::report::{FigureTarget, ScenarioReport};

/// Organisations of the size to design for.
const ORGANISATIONS: usize = 8_400;

/// Changes of configuration on a day.
const CHANGES_A_DAY: f64 = 800.0;

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;

/// Times that each step is measured.
const ROUNDS: usize = 15;

/// Keys that are looked up in one round.
const LOOKUPS: usize = 2_000;

/// Documents held at once to measure the memory of one.
const HELD_DOCUMENTS: usize = 8;

/// Part of a core that control may take on a node, in percent.
const CONTROL_PERCENT: f64 = 3.1;

/// Measures one change of a large document on a node.
///
/// # Errors
///
/// When the document does not hold or memory cannot be read.
pub fn measure(seed: u64) -> anyhow::Result<ScenarioReport> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let text = text(random.random_range(1..1_000));
    let document = document::parse(&text)?;
    let mut report = ScenarioReport::new("config", seed);
    let fleet = format!("{ORGANISATIONS} organisations");
    let mut add = |figure: &str, value: f64, target| {
        report.add(&fleet, "sections by digest", figure, value, target);
    };
    let parse = median_ms(|| drop(hint::black_box(document::parse(&text))));
    let cut = median_ms(|| drop(hint::black_box(chunk::split(&text))));
    let compare = median_ms(|| drop(hint::black_box(change::compare(&document, &document))));
    add("document, bytes", text.len() as f64, None);
    add("check of the whole, ms", parse, None);
    add("cut into sections, ms", cut, None);
    add("difference of two, ms", compare, None);
    let percent = (parse + cut) / 1_000.0 * CHANGES_A_DAY / DAY_SECONDS * 100.0;
    let target = Some(FigureTarget::AtMost(CONTROL_PERCENT));
    add("800 changes a day, percent of a core", percent, target);
    let held = config::ActiveDocument::parse(1, text.clone())?;
    let keys: Vec<_> = (0..LOOKUPS)
        .map(|_| format!("key-{}", random.random_range(0..ORGANISATIONS)))
        .collect();
    let lookup = median_ms(|| {
        for key in &keys {
            hint::black_box(held.organisation_for_key(key));
        }
    });
    add(
        "organisation of a key, us",
        lookup * 1_000.0 / LOOKUPS as f64,
        None,
    );
    add("memory of a document, MB", held_megabytes(&text)?, None);
    Ok(report)
}

fn text(weight: u32) -> String {
    let organisations: Vec<_> = (0..ORGANISATIONS)
        .map(|index| {
            serde_json::json!({
                "name": format!("organisation-{index}"),
                "key_digests": [document::digest_key(&format!("key-{index}"))],
                "weight": weight, "priority": "interactive", "tokens_per_second": 4_000,
            })
        })
        .collect();
    serde_json::json!({
        "models": [], "pipelines": [], "upstreams": [], "organisations": organisations,
    })
    .to_string()
}

fn median_ms(mut work: impl FnMut()) -> f64 {
    let mut times: Vec<_> = (0..ROUNDS)
        .map(|_| {
            let begin = time::Instant::now();
            work();
            begin.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2].as_secs_f64() * 1_000.0
}

fn held_megabytes(text: &str) -> anyhow::Result<f64> {
    let before = resident_bytes()?;
    let held: Result<Vec<_>, _> = (0..HELD_DOCUMENTS)
        .map(|_| config::ActiveDocument::parse(1, text.to_owned()))
        .collect();
    let held = held?;
    let grown = resident_bytes()?.saturating_sub(before);
    Ok(grown as f64 / held.len() as f64 / 1e6)
}

fn resident_bytes() -> anyhow::Result<u64> {
    let process = procfs::process::Process::myself()?;
    let pages = process.statm().context("no memory figures")?.resident;
    Ok(pages * procfs::page_size())
}
