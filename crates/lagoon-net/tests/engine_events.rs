//! Parsing of an engine's event stream, with valid, random and damaged input.

use lagoon_net::engine;
use lagoonline::id;
use lagoonline::lifecycle::stream;
use proptest::prelude::*;
use proptest::test_runner;

const ATTEMPT: id::Attempt = id::Attempt(0xab);

fn seeded(cases: u32) -> test_runner::Config {
    let rng_seed = test_runner::RngSeed::Fixed(5);
    test_runner::Config { cases, failure_persistence: None, rng_seed, ..Default::default() }
}

fn chunk(number: u64, text: &str) -> String {
    let text = serde_json::json!(text);
    format!("data: {{\"a\":\"{ATTEMPT}\",\"n\":{number},\"t\":{text}}}\n\n")
}

/// Reads a batch as the data path does. Returns the texts that passed the check, or the error that
/// stopped it.
fn read(batch: &[u8]) -> Result<Vec<String>, engine::StreamError> {
    let mut checker = stream::Checker::new(ATTEMPT);
    let mut texts = Vec::new();
    for event in engine::events(batch) {
        match event? {
            engine::Event::Chunk { attempt, number, text } => {
                checker.chunk(attempt, number)?;
                texts.push(serde_json::from_str(text.get()).unwrap());
            }
            engine::Event::End { attempt, count, .. } => checker.end(attempt, count)?,
            engine::Event::Error { code } => return Err(engine::StreamError::Aborted(code)),
        }
    }
    Ok(texts)
}

proptest! {
    #![proptest_config(seeded(2_000))]

    #[test]
    fn random_bytes_yield_no_text(noise in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(read(&noise).map_or(true, |texts| texts.is_empty()));
    }

    #[test]
    fn texts_arrive_unchanged(texts in prop::collection::vec(".{0,20}", 0..20)) {
        let numbered = texts.iter().enumerate();
        let batch: String = numbered.map(|(number, text)| chunk(number as u64, text)).collect();
        prop_assert_eq!(read(batch.as_bytes()).unwrap(), texts);
    }

    /// One byte of a response is corrupted in transit. Whether reading stops with an error or not,
    /// it never yields more chunks than were sent. A damaged byte within a text may go unnoticed:
    /// the caller then gets a text that differs by that byte.
    #[test]
    fn a_corrupted_byte_adds_no_chunk(count in 1_usize..10, position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let batch: String = (0..count).map(|number| chunk(number as u64, "tin")).collect();
        let mut batch = batch.into_bytes();
        let position = position.index(batch.len());
        batch[position] = byte;
        prop_assert!(read(&batch).map_or(0, |texts| texts.len()) <= count);
    }
}
