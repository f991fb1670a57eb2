//! Cases of the review that are scripts, and their stand-ins. `case NAME FOLDER` plays a case and
//! writes `record.txt` into the folder; `case runner ...` is a runner, started by a case.
//!
//! Exit codes of a case: 0 the rule held, 1 it was broken, 2 the case could not run.

mod deployment;
mod http;
mod proxy;
mod relayed;
mod runner;
mod store;
mod unframed;

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = match words[..] {
        ["runner", name, zone, port, store, mode] => {
            let ports = (port.parse().unwrap_or(0), store.parse().unwrap_or(0));
            runner::run(name, zone, ports.0, ports.1, mode).map(|()| true)
        }
        ["relayed", folder] => relayed::play(folder, has_trouble),
        ["unframed", folder] => unframed::play(folder, has_trouble),
        _ => Err(std::io::Error::other("usage: case relayed|unframed FOLDER")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
