//! Answers of the stand-in engine. The same prompt always gets the same text, so that a test can
//! tell whether an answer is whole and belongs to its request.

use serde_json::{Value, json};

/// Tokens of an answer to a request without `max_tokens`.
pub const DEFAULT_TOKENS: usize = 16;

/// The fields of a chat request that a stand-in reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chat {
    /// Model.
    pub model: String,
    /// Contents of all messages, joined by line breaks.
    pub prompt: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens to generate.
    pub tokens: usize,
}

impl Chat {
    /// Parses a body; returns `None` when it is not a chat request.
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

    /// Returns a token of the answer.
    pub fn token(&self, index: usize) -> String {
        let digest = blake3::hash(self.prompt.as_bytes()).to_hex();
        format!("{}-{index} ", &digest[..8])
    }

    /// Returns the text of the whole answer.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }

    /// Returns the whole answer as a chat completion.
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

    /// Returns one chunk of a streamed answer; the one after the last token has the finish reason.
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
