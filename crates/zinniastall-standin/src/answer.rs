//! What a stand-in engine answers: the same text for the same prompt, so that a test knows whether
//! an answer is whole and its own.

use serde_json::{Value, json};

/// Tokens of an answer when the request sets no limit.
pub const DEFAULT_TOKENS: usize = 16;

/// A chat request, as far as a stand-in reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// Model.
    pub model: String,
    /// All messages' contents, one a line.
    pub prompt: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens to generate.
    pub tokens: usize,
}

impl Chat {
    /// Reads a body; `None` when it is no chat request.
    pub fn parse(body: &[u8]) -> Option<Self> {
        let body: Value = serde_json::from_slice(body).ok()?;
        let messages = body.get("messages")?.as_array()?;
        let contents: Option<Vec<&str>> = messages
            .iter()
            .map(|message| message.get("content")?.as_str())
            .collect();
        let tokens = body.get("max_tokens").and_then(Value::as_u64);
        Some(Self {
            model: body.get("model")?.as_str()?.to_owned(),
            prompt: contents?.join("\n"),
            stream: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
            tokens: tokens.map_or(DEFAULT_TOKENS, |tokens| {
                usize::try_from(tokens).unwrap_or(DEFAULT_TOKENS)
            }),
        })
    }

    /// Returns one token of the answer.
    pub fn token(&self, index: usize) -> String {
        let digest = blake3::hash(self.prompt.as_bytes()).to_hex();
        format!("{}-{index} ", &digest[..8])
    }

    /// Returns the text of the whole answer.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }

    /// Returns a whole answer.
    pub fn completion(&self, request: &str) -> Value {
        json!({
            "id": request,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text()},
                "finish_reason": "stop",
            }],
            "usage": {"completion_tokens": self.tokens},
        })
    }

    /// Returns one event of a streamed answer; the one after the last token says why it ends.
    pub fn chunk(&self, request: &str, index: usize) -> Value {
        let (delta, finish_reason) = if index < self.tokens {
            (json!({"content": self.token(index)}), Value::Null)
        } else {
            (json!({}), "stop".into())
        };
        json!({
            "id": request,
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
        })
    }
}
