//! The example settings parse, and have the sizes that they stand for.

use std::fs;
use std::path;

use lagoon_standin::fleet;
use lagoonline::control::document;
use lagoonline::id;
use rstest::rstest;

fn read(name: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(name)).unwrap()
}

#[rstest]
#[case("lakeshore", "assessment", 25)]
#[case("vatuwaqa", "labels", 20)]
fn an_example_fleet_parses(#[case] fleet: &str, #[case] team: &str, #[case] engines: usize) {
    let standins = fleet::Settings::parse(&read(&format!("{fleet}/standin.json"))).unwrap();
    assert_eq!((standins.engines.len(), standins.services.len()), (engines, 3));
    let text = read(&format!("{fleet}/section-{team}.json"));
    let section = document::Section::parse(id::Team::from(team), id::Version(1), &text).unwrap();
    assert_eq!(section.body.customers.len(), 10);
    let mut addresses: Vec<_> = standins.engines.iter().map(|engine| engine.address).collect();
    addresses.extend(standins.services.iter().map(|service| service.address));
    for upstream in section.body.upstreams.values() {
        assert!(addresses.contains(&upstream.address));
    }
    assert_eq!(section.body.upstreams.len(), engines + 3);
}
