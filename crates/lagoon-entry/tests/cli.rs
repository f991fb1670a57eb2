//! Exit codes and signal handling of `lagoon-entry`.

use std::env;
use std::fs;
use std::io::BufRead as _;
use std::io::BufReader;
use std::path;
use std::process;

fn write_file(name: &str, text: &str) -> path::PathBuf {
    let path = env::temp_dir().join(format!("lagoon-entry-{}-{name}", process::id()));
    fs::write(&path, text).unwrap();
    path
}

fn command(settings: &path::Path, check: bool) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_lagoon-entry"));
    command.arg("--settings").arg(settings);
    if check {
        command.arg("--check");
    }
    command
}

/// Valid settings. With `unready_ms` 0, a drain refuses new requests at once instead of reporting
/// the host as unready for a while first.
const VALID_SETTINGS: &str =
    r#"{"listen": "127.0.0.1:0", "host": "a", "zone": "b", "unready_ms": 0}"#;

#[test]
fn check_reports_invalid_settings() {
    let good = write_file("good.json", VALID_SETTINGS);
    assert_eq!(command(&good, true).output().unwrap().status.code(), Some(0));
    let bad = write_file("bad.json", r#"{"listen": 7, "host": "a", "zone": "b", "grace": 1}"#);
    let output = command(&bad, true).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("bad.json") && text.contains("/grace: unknown field"), "{text}");
    assert!(text.contains("/listen: must be IP:PORT"), "{text}");
}

#[test]
fn bad_usage_exits_with_2() {
    let output = process::Command::new(env!("CARGO_BIN_EXE_lagoon-entry")).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let missing = command(path::Path::new("/no/such/file"), true).output().unwrap();
    assert_eq!(missing.status.code(), Some(2));
}

/// SIGTERM starts a drain. A process without requests ends it at once and exits with 0.
#[test]
fn sigterm_drains_an_idle_process() {
    let good = write_file("signal.json", VALID_SETTINGS);
    let mut child = command(&good, false).stderr(process::Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let listens =
        |line: &Result<String, _>| line.as_ref().is_ok_and(|line| line.contains("listens"));
    assert!(lines.by_ref().any(|line| listens(&line)));
    let id = child.id().to_string();
    assert!(process::Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
