//! Command line of the operators.
//!
//! Exit codes: 0 good, 1 failed, 2 bad usage or settings.

mod arguments;
mod date;
mod print;
mod run;

use std::process;

fn main() {
    let arguments = arguments::read();
    let settings = run::settings(&arguments.settings).unwrap_or_else(|message| {
        eprintln!("{message}");
        process::exit(arguments::BAD_USAGE);
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let code = match runtime {
        Ok(runtime) => runtime.block_on(run::run(settings, arguments)),
        Err(error) => {
            eprintln!("lagoonctl: {error}");
            1
        }
    };
    process::exit(code);
}
