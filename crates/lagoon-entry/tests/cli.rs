//! The program's exit codes and signals.

use std::env;
use std::fs;
use std::io::BufRead as _;
use std::io::BufReader;
use std::path;
use std::process;

fn write(name: &str, text: &str) -> path::PathBuf {
    let path = env::temp_dir().join(format!("lagoon-entry-{}-{name}", process::id()));
    fs::write(&path, text).unwrap();
    path
}

fn run(settings: &path::Path, check: bool) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_lagoon-entry"));
    command.arg("--settings").arg(settings);
    if check {
        command.arg("--check");
    }
    command
}

const GOOD: &str = r#"{"listen": "127.0.0.1:0", "host": "a", "zone": "b", "unready_ms": 0}"#;

#[test]
fn checks_settings() {
    let good = write("good.json", GOOD);
    assert_eq!(run(&good, true).output().unwrap().status.code(), Some(0));
    let bad = write("bad.json", r#"{"listen": 7, "host": "a", "zone": "b", "grace": 1}"#);
    let output = run(&bad, true).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("bad.json") && text.contains("/grace: unknown field"), "{text}");
    assert!(text.contains("/listen: must be IP:PORT"), "{text}");
}

#[test]
fn refuses_bad_usage() {
    let output = process::Command::new(env!("CARGO_BIN_EXE_lagoon-entry")).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let missing = run(path::Path::new("/no/such/file"), true).output().unwrap();
    assert_eq!(missing.status.code(), Some(2));
}

/// SIGTERM drains an idle host, which then exits with 0.
#[test]
fn a_signal_drains() {
    let good = write("signal.json", GOOD);
    let mut child = run(&good, false).stderr(process::Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let listens =
        |line: &Result<String, _>| line.as_ref().is_ok_and(|line| line.contains("listens"));
    assert!(lines.by_ref().any(|line| listens(&line)));
    let id = child.id().to_string();
    assert!(process::Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
