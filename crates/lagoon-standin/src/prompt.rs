//! What an engine sees of a request's body: its prompt text, hashed.

use serde_json::Value;

/// Bytes between two prefix hashes.
pub const BLOCK_BYTES: usize = 4_096;

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A prompt as the engine knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// FNV-1a (64 bits) of the whole text.
    pub hash: u64,
    /// Hash of the text up to each multiple of [`BLOCK_BYTES`].
    pub prefixes: Vec<u64>,
    /// Bytes of the text.
    pub bytes: usize,
}

impl Prompt {
    /// Hashes `text`.
    ///
    /// ```
    /// use lagoon_standin::prompt::Prompt;
    /// let prompt = Prompt::new(&"a".repeat(10_000));
    /// assert_eq!(prompt.prefixes.len(), 2);
    /// assert_eq!(prompt.prefixes[0], Prompt::new(&"a".repeat(4_096)).hash);
    /// ```
    pub fn new(text: &str) -> Self {
        let mut hash = FNV_BASIS;
        let mut prefixes = Vec::with_capacity(text.len() / BLOCK_BYTES);
        for block in text.as_bytes().chunks(BLOCK_BYTES) {
            for &byte in block {
                hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
            }
            if block.len() == BLOCK_BYTES {
                prefixes.push(hash);
            }
        }
        Prompt { hash, prefixes, bytes: text.len() }
    }
}

/// The prompt text of a completion's or chat completion's body; `None` when it has none.
///
/// Several prompts or messages are taken one after the other, with nothing between them.
///
/// ```
/// use lagoon_standin::prompt;
/// assert_eq!(prompt::text(br#"{"prompt": "tin"}"#), Some("tin".to_owned()));
/// let chat = br#"{"messages": [{"role": "user", "content": "tin"}]}"#;
/// assert_eq!(prompt::text(chat), Some("tin".to_owned()));
/// assert_eq!(prompt::text(b"{}"), None);
/// ```
pub fn text(body: &[u8]) -> Option<String> {
    let mut value: Value = serde_json::from_slice(body).ok()?;
    if let Some(prompt) = value.get_mut("prompt") {
        return joined(prompt.take());
    }
    let messages = value.get("messages")?.as_array()?;
    let contents = messages.iter().filter_map(|message| message.get("content"));
    Some(contents.filter_map(|content| joined(content.clone())).collect())
}

/// A text, an array of texts, or an array of parts that have a `text`.
fn joined(value: Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text),
        Value::Array(items) => Some(items.iter().filter_map(part).collect()),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::Object(_) => None,
    }
}

fn part(item: &Value) -> Option<&str> {
    item.as_str().or_else(|| item.get("text")?.as_str())
}
