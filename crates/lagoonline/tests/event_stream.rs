//! Tests of the reader of event streams.

use lagoonline::event_stream::Reader;
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

/// Returns the numbers of the events of a stream that arrives in `pieces`, their bytes joined, and
/// the reader.
fn read(pieces: &[&[u8]]) -> (Vec<Option<u64>>, Vec<u8>, Reader) {
    let (mut numbers, mut joined, mut reader) = (Vec::new(), Vec::new(), Reader::default());
    for piece in pieces {
        reader.push(piece);
        while let Some(event) = reader.next_event() {
            numbers.push(event.number);
            joined.extend_from_slice(&event.bytes);
        }
    }
    (numbers, joined, reader)
}

#[rstest]
#[case::lf("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::cr_lf("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n")]
#[case::cr("id: 1\rdata: a\r\rid: 2\rdata: b\r\r")]
#[case::mixed("id: 1\rdata: a\n\r\nid: 2\r\ndata: b\r\r")]
#[case::empty_lines("\n\r\nid: 1\n\n\n\r\rid: 2\n\n")]
#[case::comments(": first\nid: 1\n\nid: 2\n: last\n\n")]
#[case::no_space("id:1\n\nid:2\n\n")]
#[case::the_last_id_counts("id: 7\nid: 1\n\nid: 2\n\n")]
fn each_line_end_of_the_format_ends_an_event(#[case] text: &str) {
    let (numbers, joined, reader) = read(&[text.as_bytes()]);
    assert_eq!(numbers, [Some(1), Some(2)]);
    assert_eq!((joined, reader.is_inside_event()), (text.as_bytes().to_vec(), false));
}

/// Guards against an event whose id was cut: it counts as not received, whatever its number.
#[rstest]
#[case::id("id: 123\ndata: x\n\nid: 12")]
#[case::ended_id("id: 123\ndata: x\n\nid: 12\n")]
#[case::data("id: 123\ndata: x\n\ndata: y")]
#[case::between_line_ends("id: 123\ndata: x\n\nid: 124\ndata: y\n")]
#[case::inside_crlf("id: 123\r\ndata: x\r\n\r\nid: 124\r\ndata: y\r\n")]
#[case::character("id: 123\ndata: x\n\nid: 124\ndata: \u{fc}")]
#[case::field_after_a_comment("id: 123\ndata: x\n\n: c\nevent: e\n")]
fn an_event_without_its_empty_line_is_incomplete(#[case] text: &str) {
    let (numbers, _, mut reader) = read(&[text.as_bytes()]);
    assert_eq!(numbers, [Some(123)]);
    assert!(reader.is_inside_event());
    let rest = reader.take_rest();
    assert!(!rest.is_empty() && text.as_bytes().ends_with(&rest));
    assert!(!reader.is_inside_event());
}

/// Guards against a stream with line ends of CR that is delayed until its next byte: the LF that
/// may follow is left to the next event.
#[rstest]
fn an_event_is_complete_with_the_cr_of_its_empty_line() {
    let (numbers, joined, mut reader) = read(&[b"id: 1\r\n\r"]);
    assert_eq!((numbers, &joined[..]), (vec![Some(1)], &b"id: 1\r\n\r"[..]));
    reader.push(b"\nid: 2\r\n\r\n");
    assert_eq!(&reader.next_event().unwrap().bytes[..], b"\nid: 2\r\n\r\n");
    assert_eq!(reader.buffered(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Guards against events that depend on how a stream is split into pieces, and bytes that are
    /// lost, doubled or reordered.
    #[test]
    fn events_do_not_depend_on_the_pieces_of_a_stream(
        parts in prop::collection::vec(
            prop::sample::select(vec!["id: 1", "data: x", ": c", "\n", "\r\n", "\r", "\n\n", "i"]),
            0..24,
        ),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let text = parts.concat();
        let mut places: Vec<_> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        places.sort_unstable();
        let (mut pieces, mut start) = (Vec::new(), 0);
        for place in places.into_iter().chain([text.len()]) {
            pieces.push(&text.as_bytes()[start..place]);
            start = place;
        }
        let (numbers, mut joined, mut reader) = read(&pieces);
        let (whole_numbers, _, whole) = read(&[text.as_bytes()]);
        prop_assert_eq!(numbers, whole_numbers);
        prop_assert_eq!(reader.is_inside_event(), whole.is_inside_event());
        joined.extend_from_slice(&reader.take_rest());
        prop_assert_eq!(joined, text.into_bytes());
    }
}
