//! Frames of the wire protocol: size limit, authentication and replay protection.

use lagoon_net::wire;
use proptest::prelude::*;
use proptest::test_runner;
use prost::bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder};

const KEY: &[u8] = b"the fleet's key";

/// Returns the accepting and the connecting side of a connection after the handshake.
fn connected() -> (wire::Codec, wire::Codec) {
    let codec = |name: &str, nonce: &'static [u8]| {
        wire::Codec::new(wire::Key::new(KEY), name.to_owned(), 1, Bytes::from_static(nonce))
    };
    let (mut accepting, mut connecting) = (codec("a", b"nonce of a"), codec("b", b"nonce of b"));
    let challenge = wire::Challenge { nonce: accepting.own_nonce() };
    send(&mut accepting, &mut connecting, wire::Body::Challenge(challenge)).unwrap();
    let hello = wire::Hello { nonce: connecting.own_nonce(), ..Default::default() };
    send(&mut connecting, &mut accepting, wire::Body::Hello(hello)).unwrap();
    (accepting, connecting)
}

fn encode(from: &mut wire::Codec, body: wire::Body) -> BytesMut {
    let mut bytes = BytesMut::new();
    from.encode(body, &mut bytes).unwrap();
    bytes
}

fn send(
    from: &mut wire::Codec,
    to: &mut wire::Codec,
    body: wire::Body,
) -> Result<wire::Frame, wire::Error> {
    let mut bytes = encode(from, body);
    to.decode(&mut bytes).map(|frame| frame.expect("a whole frame was sent"))
}

fn marks(upstream: &str) -> wire::Body {
    let mark = wire::Mark { upstream: upstream.to_owned(), incarnation: 1, leaving: true };
    wire::Body::Marks(wire::Marks { marks: vec![mark] })
}

#[test]
fn frames_pass_both_ways_after_the_handshake() {
    let (mut accepting, mut connecting) = connected();
    let frame = send(&mut accepting, &mut connecting, marks("one")).unwrap();
    assert_eq!(frame.body, Some(marks("one")));
    let frame = send(&mut connecting, &mut accepting, marks("two")).unwrap();
    assert_eq!(frame.body, Some(marks("two")));
    assert_eq!(frame.sender, "b");
}

/// A frame is recorded on the network and sent again on the same connection. Without sequence
/// numbers an operator's put would take effect twice. The second frame is rejected.
#[test]
fn a_frame_replayed_on_its_connection_is_rejected() {
    let (mut accepting, mut connecting) = connected();
    let recorded = encode(&mut connecting, marks("one"));
    assert!(accepting.decode(&mut recorded.clone()).is_ok());
    let again = accepting.decode(&mut recorded.clone());
    assert!(matches!(again, Err(wire::Error::Replayed)), "{again:?}");
}

/// A frame is recorded on the network and sent on a new connection, whose key is the same, so that
/// its tag is valid. Without the checks of the codec an operator's put would take effect twice. The
/// frame is rejected. Two things are wrong with it: it carries the nonce of the first connection,
/// and its sequence number is 2 (the hello was 1) where the new connection expects 1. Either is
/// enough for the rejection, so this test alone does not prove that the nonce is checked.
#[test]
fn a_frame_replayed_on_another_connection_is_rejected() {
    let (_, mut connecting) = connected();
    let recorded = encode(&mut connecting, marks("one"));
    let nonce = Bytes::from_static(b"another nonce");
    let mut other = wire::Codec::new(wire::Key::new(KEY), "a".to_owned(), 1, nonce);
    let replayed = other.decode(&mut recorded.clone());
    assert!(matches!(replayed, Err(wire::Error::Replayed)), "{replayed:?}");
}

#[test]
fn a_frame_over_the_limit_is_rejected_before_it_is_read() {
    let (mut accepting, _) = connected();
    let length = u32::try_from(wire::FRAME_LIMIT + 1).unwrap();
    let mut bytes = BytesMut::from(&length.to_be_bytes()[..]);
    let refused = accepting.decode(&mut bytes);
    assert!(matches!(refused, Err(wire::Error::TooLong(_))), "{refused:?}");
}

/// During a rolling upgrade a newer host sends a body that this build does not know. The frame is
/// authentic, so it is accepted without a body, and the link stays open.
#[test]
fn an_unknown_body_of_a_newer_sender_is_skipped() {
    #[derive(Clone, PartialEq, prost::Message)]
    struct Newer {
        #[prost(uint32, tag = "1")]
        version: u32,
        #[prost(uint64, tag = "4")]
        sequence: u64,
        #[prost(string, tag = "99")]
        invention: String,
    }
    let newer = Newer { version: wire::VERSION + 1, sequence: 1, invention: "x".to_owned() };
    let text = prost::Message::encode_to_vec(&newer);
    let key = wire::Key::new(KEY);
    let sealed = [&key.tag(&text)[..], &text[..]].concat();
    let frame = wire::open(&key, &sealed).unwrap();
    assert_eq!((frame.version, frame.body), (wire::VERSION + 1, None));
}

#[test]
fn an_unsupported_old_version_is_rejected() {
    let key = wire::Key::new(KEY);
    let frame = wire::Frame { version: 0, sequence: 1, ..Default::default() };
    let refused = wire::open(&key, &wire::seal(&key, &frame));
    assert!(matches!(refused, Err(wire::Error::Version(0))), "{refused:?}");
}

fn seeded(cases: u32) -> test_runner::Config {
    let rng_seed = test_runner::RngSeed::Fixed(7);
    test_runner::Config { cases, failure_persistence: None, rng_seed, ..Default::default() }
}

proptest! {
    #![proptest_config(seeded(2_000))]

    #[test]
    fn random_bytes_are_never_a_frame(noise in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(wire::open(&wire::Key::new(KEY), &noise).is_err());
        let (mut accepting, _) = connected();
        let mut bytes = BytesMut::from(&noise[..]);
        prop_assert!(!matches!(accepting.decode(&mut bytes), Ok(Some(_))));
    }

    #[test]
    fn a_flipped_bit_is_always_detected(bit in 0_usize..400, name in "[a-z]{1,30}") {
        let (mut accepting, mut connecting) = connected();
        let mut bytes = encode(&mut connecting, marks(&name));
        // Skips the 32 bits of the length prefix.
        let bit = 32 + bit % ((bytes.len() - 4) * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(accepting.decode(&mut bytes).is_err());
    }

    #[test]
    fn any_bytes_with_a_valid_tag_decode_without_panic(text in prop::collection::vec(any::<u8>(), 0..200)) {
        let key = wire::Key::new(KEY);
        let sealed = [&key.tag(&text)[..], &text[..]].concat();
        let _ = wire::open(&key, &sealed);
    }

    #[test]
    fn a_datagram_is_admitted_once(order in prop::collection::vec(1_u64..100, 1..200)) {
        let mut window = wire::ReplayWindow::default();
        let mut admitted = std::collections::BTreeSet::new();
        for sequence in order {
            let frame = wire::Frame { sequence, ..Default::default() };
            let newest = admitted.last().copied().unwrap_or(0);
            // The replay window covers 64 sequence numbers.
            let expected = !admitted.contains(&sequence) && sequence + 64 > newest;
            prop_assert_eq!(window.admit(&frame, 0), expected);
            if expected {
                admitted.insert(sequence);
            }
        }
    }
}
