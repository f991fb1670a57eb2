//! Validated JSON and document sections: all errors are reported at once, and no input causes a
//! panic.

use lagoonline::control::document;
use lagoonline::id;
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

fn parse(text: &str) -> Result<document::Section, String> {
    let section = document::Section::parse(id::Team::from("t"), id::Version(1), text);
    section.map_err(|faults| faults.to_string())
}

#[rstest]
#[case("[1]", "/: must be an object")]
#[case(
    r#"{"customers": {"a b": {}}}"#,
    "/customers/a b: a name has 1 to 64 letters, digits, '-', '_' or '.'"
)]
#[case(
    r#"{"customers": {"a": {"keys": ["xy"]}}}"#,
    "/customers/a/keys/0: must be 64 hex digits (SHA-256)"
)]
#[case(r#"{"customers": {"a": {"weight": -1}}}"#, "/customers/a/weight: must be a whole number")]
#[case(
    r#"{"customers": {"a/b": 1}}"#,
    "/customers/a~1b: a name has 1 to 64 letters, digits, '-', '_' or '.'\n/customers/a~1b: must be an object"
)]
#[case(
    r#"{"upstreams": {"u": {"zone": "z", "address": "127.0.0.1:1"}}}"#,
    "/upstreams/u: must name either models or a service"
)]
#[case(
    r#"{"upstreams": {"u": {"models": ["m"]}}}"#,
    "/upstreams/u/address: must be given\n/upstreams/u/zone: must be given and not be empty"
)]
#[case(
    r#"{"policy": {"objectives": [{"name": "n", "indicator": "speed"}]}}"#,
    "/policy/objectives/0/indicator: is not an indicator; see the page on the document"
)]
fn an_invalid_section_is_refused_with_pointers(#[case] text: &str, #[case] faults: &str) {
    assert_eq!(parse(text).unwrap_err(), faults);
}

#[test]
fn a_default_deadline_above_the_longest_is_refused() {
    let text = r#"{"customers": {"a": {"default_deadline_ms": 10, "max_deadline_ms": 5}}}"#;
    let expected = "/customers/a/default_deadline_ms: is above max_deadline_ms";
    assert_eq!(parse(text).unwrap_err(), expected);
}

#[test]
fn all_errors_are_reported_together() {
    let text = r#"{"models": {"m": {"max_tokens": 0}}, "claims": {"m": {"engine": 1}}, "x": 1}"#;
    let faults = parse(text).unwrap_err();
    assert_eq!(
        faults,
        "/claims/m/engine: unknown field\n/models/m/max_tokens: 0 is not within 1 to 100000000\n\
         /x: unknown field"
    );
}

fn json() -> impl Strategy<Value = String> {
    let names = prop::sample::select(vec![
        "customers",
        "models",
        "services",
        "upstreams",
        "claims",
        "policy",
        "keys",
        "zone",
        "address",
        "objectives",
        "weight",
        "role",
        "engines",
        "x",
    ]);
    let leaf = prop_oneof![
        "[a-z0-9:.]{0,12}".prop_map(serde_json::Value::from),
        any::<i64>().prop_map(serde_json::Value::from)
    ];
    let tree = leaf.prop_recursive(4, 40, 6, move |inner| {
        let fields = prop::collection::vec((names.clone(), inner.clone()), 0..6);
        let object = fields.prop_map(|fields| {
            fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect::<serde_json::Value>()
        });
        prop_oneof![object, prop::collection::vec(inner, 0..4).prop_map(serde_json::Value::from)]
    });
    tree.prop_map(|value| value.to_string())
}

fn seeded(cases: u32) -> test_runner::Config {
    let rng_seed = test_runner::RngSeed::Fixed(11);
    test_runner::Config { cases, failure_persistence: None, rng_seed, ..Default::default() }
}

proptest! {
    #![proptest_config(seeded(2_000))]

    #[test]
    fn no_text_causes_a_panic(text in ".{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn a_section_is_accepted_or_each_error_has_a_pointer(text in json()) {
        if let Err(faults) = parse(&text) {
            prop_assert!(faults.lines().all(|line| line.starts_with('/')), "{}", faults);
        }
    }
}
