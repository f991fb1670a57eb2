//! Extracts the fields of a model call's JSON body that scheduling needs, without building a tree.

use std::borrow;

use serde_json::value::RawValue;

/// Interval of prefix hashes, in bytes of prompt text: the block length of the engines' prefix
/// caches.
const PREFIX_STEP: usize = 4_096;
/// Default of `max_tokens`.
const DEFAULT_MAX_ANSWER_TOKENS: u64 = 1_024;

#[derive(serde::Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: borrow::Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

/// The parameters of a call that scheduling needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Parameters {
    pub(crate) model: String,
    pub(crate) stream: bool,
    pub(crate) max_answer_tokens: u64,
    /// Length of the prompt's text, in bytes.
    pub(crate) bytes: usize,
    /// FNV-1a hashes at each multiple of [`PREFIX_STEP`] bytes, with the length in bytes.
    pub(crate) prefixes: Vec<(u64, usize)>,
}

/// The API endpoint that a body was sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// `/v1/completions`, with a `prompt`.
    Completions,
    /// `/v1/chat/completions`, with `messages`.
    Chat,
}

/// Parses `body`. Serde also checks that it is valid JSON and UTF-8.
pub(crate) fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Parameters, String> {
    let fields: Fields<'_> = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let (name, prompt) = match endpoint {
        Endpoint::Completions => ("prompt", fields.prompt),
        Endpoint::Chat => ("messages", fields.messages),
    };
    let prompt = prompt.ok_or_else(|| format!("missing field `{name}`"))?.get();
    check_type(endpoint, prompt)?;
    let max_answer_tokens = fields.max_completion_tokens.or(fields.max_tokens);
    let max_answer_tokens = max_answer_tokens.unwrap_or(DEFAULT_MAX_ANSWER_TOKENS);
    if max_answer_tokens == 0 {
        return Err("max_tokens must be at least 1".to_owned());
    }
    let (bytes, prefixes) = hash(prompt);
    let stream = fields.stream.unwrap_or(false);
    Ok(Parameters { model: fields.model.into_owned(), stream, max_answer_tokens, bytes, prefixes })
}

/// Checks that the prompt has the JSON type that the endpoint expects.
fn check_type(endpoint: Endpoint, prompt: &str) -> Result<(), String> {
    match (endpoint, prompt.as_bytes().first()) {
        (Endpoint::Completions, Some(b'"' | b'[')) | (Endpoint::Chat, Some(b'[')) => Ok(()),
        (Endpoint::Completions, _) => Err("prompt must be a text or an array".to_owned()),
        (Endpoint::Chat, _) => Err("messages must be an array".to_owned()),
    }
}

/// Hashes the prompt in the same way as engines do: all texts concatenated without a separator.
fn hash(prompt: &str) -> (usize, Vec<(u64, usize)>) {
    let mut hasher = Hasher { hash: FNV_BASIS, bytes: 0, prefixes: Vec::new() };
    hasher.hash_value(prompt);
    (hasher.bytes, hasher.prefixes)
}

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// One message, or one part of a message's content.
#[derive(serde::Deserialize)]
struct Part<'a> {
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
    #[serde(borrow, default)]
    text: Option<&'a RawValue>,
}

/// State of the prefix hashes while the prompt's text is read.
struct Hasher {
    hash: u64,
    bytes: usize,
    prefixes: Vec<(u64, usize)>,
}

impl Hasher {
    /// Hashes a JSON string, or an array of strings, messages or parts; any other value has no
    /// text.
    fn hash_value(&mut self, json: &str) {
        match json.as_bytes().first() {
            Some(b'"') => self.hash_json_string(json),
            Some(b'[') => {
                let items: Vec<&RawValue> = serde_json::from_str(json).unwrap_or_default();
                items.into_iter().for_each(|item| self.hash_value(item.get()));
            }
            Some(b'{') => {
                let part = serde_json::from_str::<Part<'_>>(json).ok();
                let text = part.and_then(|part| part.content.or(part.text));
                text.into_iter().for_each(|text| self.hash_value(text.get()));
            }
            _ => {}
        }
    }

    /// Decodes the string only if it contains escapes.
    fn hash_json_string(&mut self, json: &str) {
        let text = &json[1..json.len() - 1];
        if text.as_bytes().contains(&b'\\') {
            let decoded: String = serde_json::from_str(json).unwrap_or_default();
            self.hash_text(decoded.as_bytes());
        } else {
            self.hash_text(text.as_bytes());
        }
    }

    /// Hashes decoded text and records the hash at each multiple of [`PREFIX_STEP`] bytes.
    fn hash_text(&mut self, mut text: &[u8]) {
        while !text.is_empty() {
            let missing = PREFIX_STEP - self.bytes % PREFIX_STEP;
            let (block, rest) = text.split_at(missing.min(text.len()));
            for byte in block {
                self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
            }
            self.bytes += block.len();
            if self.bytes.is_multiple_of(PREFIX_STEP) {
                self.prefixes.push((self.hash, self.bytes));
            }
            text = rest;
        }
    }
}

#[cfg(test)]
mod tests;
