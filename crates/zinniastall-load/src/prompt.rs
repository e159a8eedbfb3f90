//! Prompts: a shared prefix and a unique end.

use serde_json::json;

use crate::{plan::Arrival, settings::Source};

/// The body of a request and what identifies a stand-in's answer to it.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Body.
    pub body: String,
    /// Prefix of every token of the answer.
    pub token_prefix: String,
}

/// Makes the prompt of an arrival.
pub fn make(source: &Source, arrival: &Arrival, seed: u64) -> Prompt {
    let mut text = String::new();
    if source.prefixes > 0 {
        fill(
            &mut text,
            &format!("{} {} ", source.model, arrival.prefix),
            source.prefix_bytes,
        );
    }
    let length = text.len() + source.suffix_bytes;
    let unique = format!("{seed}-{} ", arrival.number);
    text += &unique;
    fill(&mut text, &unique, length);
    let body = json!({
        "model": source.model,
        "stream": source.stream,
        "max_tokens": source.tokens,
        "messages": [{"role": "user", "content": text}],
    });
    let digest = blake3::hash(text.as_bytes()).to_hex();
    Prompt {
        body: body.to_string(),
        token_prefix: digest[..8].to_owned(),
    }
}

/// Appends `part` repeatedly up to a length; a longer text stays as it is.
fn fill(text: &mut String, part: &str, length: usize) {
    while text.len() < length {
        let left = (length - text.len()).min(part.len());
        text.push_str(&part[..left]);
    }
}
