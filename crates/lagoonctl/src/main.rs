//! `lagoonctl`: the command line client for operators of a fleet.
//!
//! Exit codes: 0 success, 1 failure, 2 invalid arguments or settings.

mod arguments;
mod date;
mod print;
mod run;

use std::process;

use lagoon_net::operator;
use lagoon_net::program;
use lagoonline::check;

const PROGRAM: &str = "lagoonctl";

fn main() -> process::ExitCode {
    let arguments: arguments::Arguments = match program::arguments(PROGRAM) {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let parse = |text: &str| check::parse(text, operator::Settings::read);
    let settings = match program::settings(&arguments.settings, parse) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(run::run(settings, arguments)),
        Err(error) => program::failed(PROGRAM, &error),
    }
}
