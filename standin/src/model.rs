//! A deterministic model: a skipped, doubled or swapped layer changes the text.

/// Words that tokens are made of.
const WORDS: [&str; 16] = [
    "bride", "veil", "river", "glacier", "guide", "bond", "lace", "trail", "hold", "date", "dawn",
    "look", "notice", "season", "letter", "ranger",
];

/// Returns the activation that enters the first layer for the next token.
pub fn enter(model: &str, prompt: &str, delivered: &[String]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    hasher.update(&[0]);
    hasher.update(prompt.as_bytes());
    for text in delivered {
        hasher.update(&[0]);
        hasher.update(text.as_bytes());
    }
    let hash = hasher.finalize();
    hash.as_bytes()[..8]
        .iter()
        .fold(0, |value, byte| (value << 8) | u64::from(*byte))
}

/// Runs one layer on an activation.
pub fn run_layer(activation: u64, layer: u32) -> u64 {
    let mixed = (activation ^ u64::from(layer).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

/// Returns the text of the token that an activation stands for after the last layer.
pub fn leave(activation: u64) -> String {
    let word = WORDS[(activation % WORDS.len() as u64) as usize];
    format!(" {word}")
}

/// Returns the whole answer of a model of `layers` layers.
pub fn expected(model: &str, layers: u32, prompt: &str, max_tokens: u32) -> String {
    let mut delivered = Vec::new();
    for _ in 0..max_tokens {
        let activation = (0..layers).fold(enter(model, prompt, &delivered), run_layer);
        delivered.push(leave(activation));
    }
    delivered.concat()
}
