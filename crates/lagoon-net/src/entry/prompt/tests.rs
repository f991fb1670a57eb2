use super::*;

#[test]
fn extracts_the_fields_for_scheduling() {
    let body = br#"{"model":"m","stream":true,"max_tokens":7,"prompt":"a\nb","x":[1,{}]}"#;
    let prompt = parse(Endpoint::Completions, body).unwrap();
    assert_eq!((prompt.model.as_str(), prompt.stream, prompt.max_answer_tokens), ("m", true, 7));
    assert_eq!(prompt.bytes, 3);
    assert!(prompt.prefixes.is_empty());
}

#[test]
fn hashes_the_decoded_text_at_each_step() {
    let plain = format!(r#"{{"model":"m","prompt":"{}"}}"#, "a".repeat(9_000));
    let escaped = format!(r#"{{"model":"m","prompt":"\u0061{}"}}"#, "a".repeat(8_999));
    let plain = parse(Endpoint::Completions, plain.as_bytes()).unwrap();
    let escaped = parse(Endpoint::Completions, escaped.as_bytes()).unwrap();
    assert_eq!(plain.prefixes.len(), 2);
    assert_eq!(plain.prefixes, escaped.prefixes);
}

#[test]
fn rejects_invalid_bodies() {
    assert!(parse(Endpoint::Completions, b"{").is_err());
    assert!(parse(Endpoint::Completions, b"{\"model\":\"m\",\"prompt\":\"\xff\"}").is_err());
    assert!(parse(Endpoint::Chat, br#"{"model":"m","prompt":"a"}"#).is_err());
    assert!(parse(Endpoint::Completions, br#"{"model":"m","prompt":7}"#).is_err());
    assert!(parse(Endpoint::Completions, br#"{"model":"m","prompt":"a","max_tokens":0}"#).is_err());
}

#[test]
fn hashes_a_chat_like_its_concatenated_contents() {
    let half = "a".repeat(5_000);
    let plain = format!(r#"{{"model":"m","prompt":"{half}{half}"}}"#);
    let chat = format!(
        r#"{{"model":"m","messages":[{{"role":"user","content":"{half}"}},
            {{"role":"user","content":[{{"type":"text","text":"{half}"}}]}}]}}"#
    );
    let plain = parse(Endpoint::Completions, plain.as_bytes()).unwrap();
    let chat = parse(Endpoint::Chat, chat.as_bytes()).unwrap();
    assert_eq!(plain.prefixes.len(), 2);
    assert_eq!((plain.prefixes, plain.bytes), (chat.prefixes, chat.bytes));
}
