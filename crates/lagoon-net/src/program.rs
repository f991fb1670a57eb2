//! Command-line arguments, settings files and exit codes, common to all programs.
//!
//! Programs exit with 0 on success, [`FAILED`] on a failure, and [`BAD_USAGE`] on invalid arguments
//! or settings.

use std::env;
use std::fmt;
use std::fs;
use std::path;
use std::process;

use argh::FromArgs;
use lagoonline::check;

/// Exit code of a failure.
pub const FAILED: u8 = 1;
/// Exit code of invalid arguments or settings. argh itself would exit with 1.
pub const BAD_USAGE: u8 = 2;

/// Parses the arguments of this process.
///
/// # Errors
///
/// The exit code, after the help or the error was printed.
///
/// ```no_run
/// use lagoon_net::program;
/// /// A program.
/// #[derive(argh::FromArgs)]
/// struct Args {}
/// fn main() -> std::process::ExitCode {
///     match program::arguments::<Args>("lagoon-example") {
///         Ok(_) => std::process::ExitCode::SUCCESS,
///         Err(code) => code,
///     }
/// }
/// ```
pub fn arguments<Args>(program: &str) -> Result<Args, process::ExitCode>
where
    Args: FromArgs,
{
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Args::from_args(&[program], &words).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            process::ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", early.output);
            process::ExitCode::from(BAD_USAGE)
        }
    })
}

/// Reads a settings file.
///
/// # Errors
///
/// The exit code, after each fault was printed with the file name and its position.
///
/// ```
/// use std::path::Path;
/// use lagoon_net::{operator, program};
/// use lagoonline::check;
/// let parse = |text: &str| check::parse(text, operator::Settings::read);
/// assert!(program::settings(Path::new("/no/such/file"), parse).is_err());
/// ```
pub fn settings<T, Parse>(file: &path::Path, parse: Parse) -> Result<T, process::ExitCode>
where
    Parse: FnOnce(&str) -> Result<T, check::Faults>,
{
    let place = file.display();
    let text = fs::read_to_string(file).map_err(|error| bad_usage(&format!("{place}: {error}")))?;
    parse(&text).map_err(|faults| {
        let lines: Vec<_> = faults.0.iter().map(|fault| format!("{place}: {fault}")).collect();
        bad_usage(&lines.join("\n"))
    })
}

/// Prints why arguments or settings are invalid; returns the exit code.
pub fn bad_usage<Reason>(reason: &Reason) -> process::ExitCode
where
    Reason: fmt::Display + ?Sized,
{
    eprintln!("{reason}");
    process::ExitCode::from(BAD_USAGE)
}

/// Prints why the program failed; returns the exit code.
pub fn failed<Reason>(program: &str, reason: &Reason) -> process::ExitCode
where
    Reason: fmt::Display + ?Sized,
{
    eprintln!("{program}: {reason}");
    process::ExitCode::from(FAILED)
}
