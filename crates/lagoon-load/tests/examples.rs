//! Checks of the example settings: each file passes the parser of its program, the files are
//! consistent with each other, and the fleets have the expected sizes.

use std::collections;
use std::fs;
use std::net;
use std::path;

use lagoon_load::soak;
use lagoon_net::{entry, operator, steward};
use lagoon_standin::fleet;
use lagoonline::control::document;
use lagoonline::{check, id};
use rstest::rstest;

/// The settings of one example fleet.
struct Example {
    folder: path::PathBuf,
    stand_ins: fleet::Settings,
    entries: Vec<entry::Settings>,
    stewards: Vec<steward::Settings>,
}

impl Example {
    fn read(name: &str) -> Example {
        let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let folder = root.join(name);
        let text = fs::read_to_string(folder.join("standin.json")).unwrap();
        let stand_ins = fleet::Settings::parse(&text).unwrap();
        let mut example = Example { folder, stand_ins, entries: Vec::new(), stewards: Vec::new() };
        for host in fs::read_dir(example.folder.join("hosts")).unwrap() {
            let host = host.unwrap().path();
            example.entries.push(entry::Settings::load(&host.join("entry.json")).unwrap());
            let text = fs::read_to_string(host.join("steward.json")).unwrap();
            example.stewards.push(check::parse(&text, steward::Settings::read).unwrap());
        }
        example
    }

    fn section(&self, team: &str) -> document::Section {
        let file = self.folder.join(format!("section-{team}.json"));
        let text = fs::read_to_string(file).unwrap();
        document::Section::parse(id::Team::from(team), id::Version(1), &text).unwrap()
    }

    /// Returns every listening address of the fleet.
    fn addresses(&self) -> Vec<net::SocketAddr> {
        let stand_ins = &self.stand_ins;
        let mut addresses = vec![stand_ins.platform.as_ref().unwrap().address];
        addresses.push(stand_ins.control.unwrap());
        addresses.extend(stand_ins.engines.iter().map(|engine| engine.address));
        addresses.extend(stand_ins.services.iter().map(|service| service.address));
        addresses.extend(self.entries.iter().map(|entry| entry.listen));
        addresses.extend(self.stewards.iter().map(|steward| steward.listen));
        addresses
    }
}

#[rstest]
#[case("lakeshore", 9, 25)]
#[case("vatuwaqa", 8, 20)]
fn example_fleet_settings_are_consistent(
    #[case] name: &str,
    #[case] hosts: usize,
    #[case] engines: usize,
) {
    let example = Example::read(name);
    let Example { stand_ins, entries, stewards, .. } = &example;
    assert_eq!((entries.len(), stewards.len()), (hosts, hosts));
    assert_eq!((stand_ins.engines.len(), stand_ins.services.len()), (engines, 3));
    for (entry, steward) in entries.iter().zip(stewards) {
        assert_eq!((&entry.host, &entry.zone), (&steward.host, &steward.zone));
        assert_eq!(entry.steward, Some(steward.listen));
        let platform = stand_ins.platform.as_ref().unwrap().address;
        assert_eq!(entry.platform.as_ref().unwrap().address, platform);
        assert_eq!(steward.platform.as_ref().unwrap().address, platform);
        let zone = entries.iter().filter(|other| other.zone == entry.zone).count();
        assert_eq!(entry.scheduling.hosts_in_zone as usize, zone);
    }
    let addresses = example.addresses();
    let distinct: collections::HashSet<_> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len());
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

// Guards against example sections that an operator cannot put one after another: a section is
// checked against those already stored, so that the names it refers to must be in an earlier one.
#[rstest]
#[case("lakeshore", &["assessment", "register", "planning"])]
#[case("vatuwaqa", &["labels", "pickup", "audits"])]
fn example_sections_pass_the_document_check_in_order(#[case] name: &str, #[case] teams: &[&str]) {
    let example = Example::read(name);
    let mut stored: Vec<document::Section> = Vec::new();
    for team in teams {
        let section = example.section(team);
        document::check_document(&stored, &section).unwrap();
        stored.push(section);
    }
    let customers: usize = stored.iter().map(|section| section.body.customers.len()).sum();
    assert_eq!(customers, 10);
    let upstreams: Vec<_> =
        stored.iter().flat_map(|section| section.body.upstreams.values()).collect();
    assert_eq!(upstreams.len(), example.stand_ins.engines.len() + 3);
    let zones: collections::BTreeSet<_> = example.entries.iter().map(|entry| &entry.zone).collect();
    for upstream in upstreams {
        assert!(example.addresses().contains(&upstream.address));
        assert!(zones.contains(&upstream.zone));
    }
}

#[rstest]
#[case("lakeshore")]
#[case("vatuwaqa")]
fn example_operator_settings_name_stewards_of_the_fleet(#[case] name: &str) {
    let example = Example::read(name);
    let text = fs::read_to_string(example.folder.join("lagoonctl.json")).unwrap();
    let settings = check::parse(&text, operator::Settings::read).unwrap();
    assert_eq!(settings.stewards.len(), 3);
    for address in &settings.stewards {
        let steward = example.stewards.iter().find(|steward| steward.listen == *address).unwrap();
        assert_eq!(steward.operator_keys.len(), 1);
    }
}

#[test]
fn soak_settings_name_customers_models_and_services_of_the_fleet() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = fs::read_to_string(root.join("examples/soak.json")).unwrap();
    let settings = check::parse(&text, soak::Settings::read).unwrap();
    assert_eq!(settings.fleet, path::Path::new("examples/lakeshore"));
    let example = Example::read("lakeshore");
    let sections = ["assessment", "register", "planning"].map(|team| example.section(team));
    let customers: Vec<_> =
        sections.iter().flat_map(|section| section.body.customers.keys()).collect();
    for key in &settings.keys {
        assert!(customers.iter().any(|name| format!("{name}-key") == *key));
    }
    assert!(sections.iter().any(|section| section.body.models.contains_key(&*settings.model)));
    assert!(sections.iter().any(|section| section.body.services.contains_key(&*settings.service)));
}
