//! Extracts the prompt text from a request body, and hashes it.

use serde_json::Value;

/// Length of a prompt block, in bytes. Each complete block ends a hashed prefix. Entry hosts
/// compute the same hashes at the same interval, see `entry::prompt` in lagoon-net.
pub const BLOCK_BYTES: usize = 4_096;

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes and length of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// 64-bit FNV-1a hash of the whole text.
    pub hash: u64,
    /// Hashes of the text up to each multiple of [`BLOCK_BYTES`].
    pub prefixes: Vec<u64>,
    /// Length of the text, in bytes.
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

/// Returns the prompt text of a completion or chat completion body, or `None` if it has none.
///
/// Several prompts or messages are concatenated without a separator.
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
        return concatenate(prompt.take());
    }
    let messages = value.get("messages")?.as_array()?;
    let contents = messages.iter().filter_map(|message| message.get("content"));
    Some(contents.filter_map(|content| concatenate(content.clone())).collect())
}

/// Returns a string, or the concatenation of an array of strings or of objects with a `text`.
fn concatenate(value: Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text),
        Value::Array(items) => Some(items.iter().filter_map(part_text).collect()),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::Object(_) => None,
    }
}

fn part_text(item: &Value) -> Option<&str> {
    item.as_str().or_else(|| item.get("text")?.as_str())
}
