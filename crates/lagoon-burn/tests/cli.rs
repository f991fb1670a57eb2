//! Exit codes of `lagoon-burn`, which scripts rely on.

use std::fs;
use std::path;
use std::process;

use rstest::rstest;

fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = process::Command::new(env!("CARGO_BIN_EXE_lagoon-burn")).args(args).output();
    let output = output.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// Writes two scrapes of one host, between which `unknown` of 100 requests ended as unknown, and a
/// section of the team `labels` with one objective. Returns the folder.
fn write_scrapes_and_section(name: &str, unknown: u64) -> path::PathBuf {
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let host = folder.join("suva-1");
    fs::create_dir_all(&host).unwrap();
    // All counters are 0 in the first scrape.
    for (timestamp, factor) in [(1_000, 0), (1_060, 1)] {
        let (done, unknown) = ((100 - unknown) * factor, unknown * factor);
        let text = format!(
            "# TYPE lagoon_requests counter\n\
             lagoon_requests_total{{outcome=\"done\",reason=\"\"}} {done}\n\
             lagoon_requests_total{{outcome=\"unknown\",reason=\"upstream_failed\"}} {unknown}\n"
        );
        fs::write(host.join(format!("{timestamp}.prom")), text).unwrap();
    }
    let section = r#"{"policy": {"objectives": [
        {"name": "known", "indicator": "known_outcome", "target": 0.999}]}}"#;
    fs::write(folder.join("section.json"), section).unwrap();
    folder
}

#[rstest]
#[case::quiet(0, 0)]
#[case::alert(50, 1)]
fn exit_code_shows_whether_an_alert_fires(#[case] unknown: u64, #[case] expected: i32) {
    let folder = write_scrapes_and_section(&format!("unknown-{unknown}"), unknown);
    let section = format!("labels={}", folder.join("section.json").display());
    let scrapes = folder.display().to_string();
    let (code, text) = run(&["report", "--scrapes", &scrapes, "--section", &section]);
    assert_eq!(code, Some(expected), "{text}");
    assert!(text.contains("labels/known"), "{text}");
}

#[rstest]
#[case(&["report", "--scrapes", ".", "--section", "no-pair"])]
#[case(&["report", "--no-such-option"])]
#[case(&["collect", "--scrapes", ".", "no-pair"])]
fn bad_usage_has_its_own_exit_code(#[case] args: &[&str]) {
    let (code, text) = run(args);
    assert_eq!(code, Some(2), "{text}");
}
