//! Entry host on the users' platform: `lagoon-gateway [--node FILE] [--settings FILE] [--check]`.
//!
//! Exit codes: 0 success, 1 failure, 2 bad usage or settings.

use std::env;
use std::io;
use std::path;
use std::process;
use std::thread;

use lagoon_net::program;
use lagoon_net::signals;

/// Entry host on the users' platform.
#[derive(argh::FromArgs)]
struct Args {
    /// the host's settings, as the platform writes them (YAML); by default the file that the
    /// platform names in the environment
    #[argh(option)]
    node: Option<path::PathBuf>,
    /// the product's own settings (JSON); by default none
    #[argh(option)]
    settings: Option<path::PathBuf>,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

const PROGRAM: &str = "lagoon-gateway";

fn main() -> process::ExitCode {
    let args: Args = match program::arguments(PROGRAM) {
        Ok(args) => args,
        Err(code) => return code,
    };
    let named = env::var_os(lagoon_platform::settings::FILE_VARIABLE).map(path::PathBuf::from);
    let Some(node) = args.node.or(named) else {
        return program::bad_usage("no file with the host's settings: give --node FILE");
    };
    let settings = match lagoon_gateway::load(&node, args.settings.as_deref()) {
        Ok(settings) => settings,
        Err(error) => return program::bad_usage(&error),
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    if let Err(error) = lagoon_gateway::start_logs(settings.tuning.level) {
        return program::failed(PROGRAM, &error);
    }
    match run(settings, &node, args.settings.as_deref()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => program::failed(PROGRAM, &error),
    }
}

fn run(
    settings: lagoon_gateway::Settings,
    node: &path::Path,
    tuning_file: Option<&path::Path>,
) -> io::Result<()> {
    // Installed before the server starts, so that an early signal drains it too.
    let mut signals = signals::Signals::new()?;
    let running = lagoon_gateway::start(settings)?;
    let handle = running.handle();
    let (node, tuning_file) = (node.to_owned(), tuning_file.map(path::Path::to_owned));
    thread::spawn(move || {
        loop {
            match signals.wait() {
                signals::Signal::Terminate => handle.drain(),
                // Settings do not change while the process runs. New ones are checked and logged,
                // and apply at the next start.
                signals::Signal::Reload => {
                    let checked = lagoon_gateway::load(&node, tuning_file.as_deref());
                    handle.settings_checked(checked.map(|_| ()));
                }
            }
        }
    });
    running.wait()
}
