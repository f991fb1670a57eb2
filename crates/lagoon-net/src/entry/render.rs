//! Response formats of the OpenAI API.
//!
//! The text of a token stays in the JSON encoding of the engine. It is copied once, into the bytes
//! that are sent to the caller, and never decoded.

use lagoonline::id;
use ntex::util;
use serde_json::json;
use serde_json::value::RawValue;

use super::prompt;

/// Receives the tokens of a response in order.
pub(crate) trait Sink {
    fn token(&mut self, text: &RawValue);
}

/// Usage at the end of a response.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    /// Whether the response ended because it reached its token limit.
    pub(crate) limit_reached: bool,
}

impl Usage {
    /// Returns the `finish_reason` of the OpenAI API.
    fn finish_reason(self) -> &'static str {
        if self.limit_reached { "length" } else { "stop" }
    }

    fn json(self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.answer_tokens,
            "total_tokens": self.prompt_tokens + self.answer_tokens,
        })
    }
}

/// Fields that all chunks of one response share.
#[derive(Clone, Debug)]
pub(crate) struct Metadata {
    pub(crate) endpoint: prompt::Endpoint,
    pub(crate) id: id::Attempt,
    pub(crate) model: id::Model,
    /// Seconds since the Unix epoch.
    pub(crate) created: u64,
}

impl Metadata {
    /// Returns the `id` of the response.
    fn response_id(&self) -> String {
        match self.endpoint {
            prompt::Endpoint::Completions => format!("cmpl-{}", self.id),
            prompt::Endpoint::Chat => format!("chatcmpl-{}", self.id),
        }
    }

    /// Returns the beginning of a streamed chunk, up to its choices. Model names are validated to
    /// contain no character that JSON escapes.
    fn chunk_prefix(&self) -> String {
        let object = match self.endpoint {
            prompt::Endpoint::Completions => "text_completion",
            prompt::Endpoint::Chat => "chat.completion.chunk",
        };
        let (name, created, model) = (self.response_id(), self.created, &self.model);
        format!(
            "data: {{\"id\":\"{name}\",\"object\":\"{object}\",\"created\":{created},\
             \"model\":\"{model}\",\"choices\":["
        )
    }
}

/// Writes server-sent events. Tokens that arrive together are sent together.
#[derive(Debug)]
pub(crate) struct Writer {
    metadata: Metadata,
    prefix: Vec<u8>,
    suffix: &'static [u8],
    buffer: util::BytesMut,
}

impl Writer {
    pub(crate) fn new(metadata: Metadata) -> Writer {
        let mut buffer = util::BytesMut::new();
        let (opening, suffix): (_, &'static [u8]) = match metadata.endpoint {
            prompt::Endpoint::Completions => {
                ("{\"index\":0,\"text\":", b",\"logprobs\":null,\"finish_reason\":null}]}\n\n")
            }
            prompt::Endpoint::Chat => {
                buffer.extend_from_slice(metadata.chunk_prefix().as_bytes());
                buffer.extend_from_slice(
                    b"{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\
                      \"finish_reason\":null}]}\n\n",
                );
                ("{\"index\":0,\"delta\":{\"content\":", b"},\"finish_reason\":null}]}\n\n")
            }
        };
        let prefix = format!("{}{opening}", metadata.chunk_prefix()).into_bytes();
        Writer { metadata, prefix, suffix, buffer }
    }

    /// Returns the bytes written since the last call.
    pub(crate) fn take(&mut self) -> util::Bytes {
        self.buffer.take()
    }

    /// Writes the end of a complete response.
    pub(crate) fn finish(&mut self, usage: Usage, outcome_event: bool) {
        let reason = usage.finish_reason();
        let choice = match self.metadata.endpoint {
            prompt::Endpoint::Completions => {
                format!(
                    "{{\"index\":0,\"text\":\"\",\"logprobs\":null,\"finish_reason\":\"{reason}\"}}"
                )
            }
            prompt::Endpoint::Chat => {
                format!("{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"{reason}\"}}")
            }
        };
        let event =
            format!("{}{choice}],\"usage\":{}}}\n\n", self.metadata.chunk_prefix(), usage.json());
        self.buffer.extend_from_slice(event.as_bytes());
        if outcome_event {
            self.buffer.extend_from_slice(b"event: outcome\ndata: done\n\n");
        }
        self.buffer.extend_from_slice(b"data: [DONE]\n\n");
    }

    /// Writes the end of a failed response, which has no `[DONE]` event.
    pub(crate) fn fail(&mut self, object: &str) {
        self.buffer.extend_from_slice(b"event: error\ndata: ");
        self.buffer.extend_from_slice(object.as_bytes());
        self.buffer.extend_from_slice(b"\n\n");
    }
}

impl Sink for Writer {
    fn token(&mut self, text: &RawValue) {
        let text = text.get().as_bytes();
        self.buffer.reserve(self.prefix.len() + text.len() + self.suffix.len());
        self.buffer.extend_from_slice(&self.prefix);
        self.buffer.extend_from_slice(text);
        self.buffer.extend_from_slice(self.suffix);
    }
}

/// Collects a response that is not streamed.
#[derive(Debug, Default)]
pub(crate) struct Collector {
    /// JSON encoding of the text without the quotes.
    text: String,
}

impl Sink for Collector {
    fn token(&mut self, text: &RawValue) {
        let text = text.get();
        self.text.push_str(&text[1..text.len() - 1]);
    }
}

impl Collector {
    /// Returns the response as JSON.
    pub(crate) fn finish(&self, metadata: &Metadata, usage: Usage) -> String {
        let (object, opening, closing) = match metadata.endpoint {
            prompt::Endpoint::Completions => {
                ("text_completion", "\"text\":\"", "\",\"logprobs\":null")
            }
            prompt::Endpoint::Chat => (
                "chat.completion",
                "\"message\":{\"role\":\"assistant\",\"content\":\"",
                "\"},\"logprobs\":null",
            ),
        };
        format!(
            "{{\"id\":\"{}\",\"object\":\"{object}\",\"created\":{},\"model\":\"{}\",\
             \"choices\":[{{\"index\":0,{opening}{}{closing},\"finish_reason\":\"{}\"}}],\
             \"usage\":{}}}",
            metadata.response_id(),
            metadata.created,
            metadata.model,
            self.text,
            usage.finish_reason(),
            usage.json(),
        )
    }
}
