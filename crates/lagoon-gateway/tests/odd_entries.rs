//! Tests of entries that another writer left among those of the upstreams.

#[path = "../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "each test program uses a part of it")]
mod standin;

#[allow(dead_code, reason = "each test program uses a part of it")]
mod host;

use rstest::rstest;

use host::process::{Process, ProcessSettings};
use host::{caller, desired};
use standin::Standin;

/// An address at which no upstream listens.
const NOBODY: &str = "127.0.0.1:9";

/// Returns the text of an entry of the service `app` with `field` in place of its own.
fn entry(address: &str, sequence: u64, field: Option<(&str, &str)>) -> String {
    let mut fields = vec![
        ("Service", "\"app\"".to_owned()),
        ("Address", format!("\"{address}\"")),
        ("Zone", "\"a\"".to_owned()),
        ("Version", "\"v1\"".to_owned()),
        ("Slots", "6".to_owned()),
        ("State", "\"ready\"".to_owned()),
        ("Sequence", sequence.to_string()),
        ("born", "1".to_owned()),
    ];
    if let Some((name, value)) = field {
        fields.retain(|(known, _)| *known != name);
        fields.push((name, value.to_owned()));
    }
    let fields: Vec<_> = fields.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", fields.join(","))
}

fn look(process: &Process) -> u16 {
    let text = "GET /look/a HTTP/1.1\r\nhost: x.example\r\nlagoonline-request-id: q1\r\n\
         authorization: Token k1\r\nlagoonline-request-deadline: 3000\r\n\r\n";
    caller::call(process.callers, text).status
}

/// One odd entry ended the process, hid the other entries, or outlasted the entry of the upstream under
/// whose name it was left.
#[rstest]
#[case::nested("Zone", &format!("{}{}", "[".repeat(200_000), "]".repeat(200_000)))]
#[case::unclosed("Zone", &"{\"a\":".repeat(100_000))]
#[case::large_start_time("born", "9223372036854775807")]
#[case::largest_start_time("born", "18446744073709551615")]
#[case::start_time_beyond_all_numbers("born", "1e400")]
#[case::negative_start_time("born", "-1")]
#[case::large_sequence("Sequence", "18446744073709551615")]
#[case::many_slots("Slots", "1e300")]
#[case::no_slots("Slots", "-1")]
#[case::cold_for_ever("ColdRemainingMs", "1e308")]
#[case::port_out_of_range("Address", "\"127.0.0.1:99999\"")]
#[case::unknown_state("State", "\"gone\"")]
fn an_odd_entry_ends_nothing_and_hides_nobody(#[case] field: &str, #[case] value: &str) {
    let standin = Standin::start();
    standin.put("op", "config", &desired(1, &["k1"], 10_000));
    let address = standin.upstream("r1", "app", 6).to_string();
    let mut process = Process::start(&standin, ProcessSettings::default());
    assert_eq!(look(&process), 200);
    let odd = entry(NOBODY, 2, Some((field, value)));
    for key in ["odd", "r1"] {
        standin.put_text("servers", key, &odd);
    }
    std::thread::sleep(host::PAUSE);
    standin.put_text("servers", "r1", &entry(&address, 3, None));
    std::thread::sleep(host::PAUSE);
    assert_eq!(look(&process), 200, "r1 is served after its own entry");
    standin.remove("servers", "r1");
    standin.upstream("r2", "app", 6);
    std::thread::sleep(host::PAUSE);
    assert_eq!(look(&process), 200, "the list is still followed");
    assert!(process.child.try_wait().unwrap().is_none(), "the process ended");
}
