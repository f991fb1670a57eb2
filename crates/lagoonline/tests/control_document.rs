//! The document: validation across sections, concurrent puts, and puts whose answer is lost.

mod fake_table;

use fake_table::{FakeTable, Fault, block_on};
use lagoonline::control::document;
use lagoonline::id;
use rstest::rstest;

fn put(team: &str, base: u64, id: &str, text: &str) -> document::Put {
    document::Put {
        team: id::Team::from(team),
        base: id::Version(base),
        id: id.to_owned(),
        text: text.to_owned(),
    }
}

fn section(team: &str, text: &str) -> document::Section {
    document::Section::parse(id::Team::from(team), id::Version(1), text).unwrap()
}

/// Section of the team `fleet`, which the sections under test refer to.
const FLEET_SECTION: &str = r#"{"models": {"m": {}, "n": {}}, "services": {"s": {}},
    "customers": {"c": {"keys": ["0101010101010101010101010101010101010101010101010101010101010101"]}},
    "upstreams": {
        "e1": {"zone": "z", "address": "127.0.0.1:1", "models": ["m", "n"]},
        "e2": {"zone": "z", "address": "127.0.0.1:2", "models": ["m"]}}}"#;

// A section with dangling references, names or keys of other customers, or claims that the fleet
// cannot meet must be refused, and the fault must point to the place to correct.
#[rstest]
#[case::model(
    r#"{"customers": {"d": {"models": ["x"]}}}"#,
    "/customers/d/models/0: no section has this model"
)]
#[case::service(
    r#"{"customers": {"d": {"services": ["x"]}}}"#,
    "/customers/d/services/0: no section has this service"
)]
#[case::upstream(
    r#"{"upstreams": {"f": {"zone": "z", "address": "127.0.0.1:3", "models": ["m", "x"]}}}"#,
    "/upstreams/f/models/1: no section has this model"
)]
#[case::owned(r#"{"models": {"m": {}}}"#, "/models/m: belongs to the section of team fleet")]
#[case::owned_customer(
    r#"{"customers": {"c": {}}}"#,
    "/customers/c: belongs to the section of team fleet"
)]
#[case::key(
    r#"{"customers": {"d": {"keys": ["0101010101010101010101010101010101010101010101010101010101010101"]}}}"#,
    "/customers/d/keys/0: names a customer already"
)]
#[case::claim(
    r#"{"claims": {"m": {"engines": 3}}}"#,
    "/claims/m/engines: claims of 3 engines for m are above the 2"
)]
#[case::claims_together(
    r#"{"claims": {"m": {"engines": 2}, "n": {"engines": 1}}}"#,
    "/claims/m/engines: claims of 3 engines for m, n are above the 2\n\
     /claims/n/engines: claims of 3 engines for m, n are above the 2"
)]
fn an_inconsistent_section_is_refused_with_a_pointer(#[case] text: &str, #[case] faults: &str) {
    let others = [section("fleet", FLEET_SECTION)];
    let candidate = section("labels", text);
    let found = document::check_document(&others, &candidate).unwrap_err();
    assert_eq!(found.to_string(), faults);
}

#[test]
fn consistent_names_and_claims_are_accepted() {
    // The checks must not be too strict: references to other sections and claims that the fleet can
    // just meet are valid, and a section does not conflict with its own previous version.
    let others = [section("fleet", FLEET_SECTION)];
    let text = r#"{"models": {"k": {}}, "customers": {"d": {"models": ["m", "k"]}},
        "claims": {"m": {"engines": 1}, "n": {"engines": 1}}}"#;
    assert_eq!(document::check_document(&others, &section("labels", text)), Ok(()));
    assert_eq!(document::check_document(&others, &section("fleet", FLEET_SECTION)), Ok(()));
}

#[test]
fn a_name_that_another_team_references_cannot_be_removed() {
    // The removal would leave a dangling reference in the section of the other team.
    let others = [
        section("fleet", FLEET_SECTION),
        section("labels", r#"{"claims": {"m": {"engines": 1}}}"#),
    ];
    let text = r#"{"models": {"n": {}}}"#;
    let faults = document::check_document(&others, &section("fleet", text)).unwrap_err();
    assert_eq!(
        faults.to_string(),
        "/models/m: is needed by team labels at /claims/m\n/upstreams: claims of 1 engines for m are above the 0"
    );
}

#[test]
fn a_conflicting_put_is_refused_with_the_differences() {
    // Two operators edit version 1. The first put creates version 2. The second put must be refused
    // with the differences that the first one made, and nothing of it may be stored.
    let table = FakeTable::default();
    block_on(document::store(&table, &put("a", 0, "p0", r#"{"models": {"m": {}}}"#))).unwrap();
    block_on(document::store(
        &table,
        &put("a", 1, "p1", r#"{"models": {"m": {"max_tokens": 9}}}"#),
    ))
    .unwrap();
    let error = block_on(document::store(&table, &put("a", 1, "p2", "{}"))).unwrap_err();
    let document::StoreError::Conflict { version, changes } = error else { panic!("{error}") };
    assert_eq!(version, id::Version(2));
    let changes: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(changes, ["+ /models/m/max_tokens: 9"]);
    assert_eq!(table.rows("history/a/").len(), 2);
}

#[rstest]
#[case::effect_without_answer(Fault::LoseAnswer)]
#[case::effect_after_the_answer_was_lost(Fault::Delay)]
fn a_put_whose_answer_was_lost_is_stored_once(#[case] fault: Fault) {
    // The answer of the table is lost after the put took effect, or the put takes effect only
    // later. The operator must get version 1 in both cases, and the history must have a single row.
    let table = FakeTable::default();
    table.fail_next(fault);
    let version = block_on(document::store(&table, &put("a", 0, "p0", "{}"))).unwrap();
    table.apply_delayed();
    assert_eq!(version, id::Version(1));
    assert_eq!(table.rows("history/a/").len(), 1);
    let retried = block_on(document::store(&table, &put("a", 0, "p0", "{}"))).unwrap();
    assert_eq!(retried, id::Version(1), "the same put is retried");
    assert_eq!(table.commits(), 1);
}

#[test]
fn a_retried_put_is_recognized_after_a_later_version() {
    // The answer to a put is lost, and the operator's program retries it after a later version has
    // been stored. It must get the version of its own put, which is found in the history.
    let table = FakeTable::default();
    block_on(document::store(&table, &put("a", 0, "p0", "{}"))).unwrap();
    block_on(document::store(&table, &put("a", 1, "p1", r#"{"models": {"m": {}}}"#))).unwrap();
    let retried = block_on(document::store(&table, &put("a", 0, "p0", "{}"))).unwrap();
    assert_eq!(retried, id::Version(1));
    assert_eq!(table.rows("history/a/").len(), 2);
}

#[test]
fn concurrent_puts_of_two_teams_cannot_define_the_same_name() {
    // Two concurrent puts are both validated against a document without the name. The table accepts
    // the first one. The second conflicts on the head row, is validated again, and must be refused.
    let table = FakeTable::default();
    let text = r#"{"models": {"m": {}}}"#;
    let (first, second) = (put("a", 0, "p0", text), put("b", 0, "p1", text));
    let mut first = Box::pin(document::store(&table, &first));
    let mut second = Box::pin(document::store(&table, &second));
    let (mut one, mut two) = (None, None);
    while one.is_none() || two.is_none() {
        one = one.or_else(|| fake_table::poll_once(first.as_mut()));
        two = two.or_else(|| fake_table::poll_once(second.as_mut()));
    }
    assert_eq!(one, Some(Ok(id::Version(1))));
    let Some(Err(document::StoreError::Invalid(faults))) = two else { panic!("{two:?}") };
    assert_eq!(faults.to_string(), "/models/m: belongs to the section of team a");
}

/// A host that can dispatch a call under an idempotency key for longer than the row of the key is
/// retained may run the call twice. The shortest configurable retention is 24 hours. The row may be
/// written until one hour after the deadline, and one more hour is left for a suspended host or a
/// late commit, so the longest deadline is 22 hours.
#[rstest]
#[case(79_200_000, true)]
#[case(79_200_001, false)]
fn the_maximum_deadline_is_bounded_by_the_retention_of_keys(
    #[case] millis: u64,
    #[case] is_valid: bool,
) {
    let text = format!(r#"{{"customers": {{"c": {{"max_deadline_ms": {millis}}}}}}}"#);
    let parsed = document::Section::parse(id::Team::from("labels"), id::Version(1), &text);
    let fault = "/customers/c/max_deadline_ms: 79200001 is not within 1 to 79200000";
    assert_eq!(
        parsed.err().map(|faults| faults.to_string()),
        (!is_valid).then(|| fault.to_owned())
    );
}
