//! SIGTERM, SIGINT and SIGHUP, for a thread that blocks until the next one.

use std::io;

use tokio::runtime;
use tokio::signal::unix;

/// Receiver of SIGTERM and SIGINT.
#[derive(Debug)]
pub struct TerminationSignals {
    runtime: runtime::Runtime,
    term: unix::Signal,
    int: unix::Signal,
}

impl TerminationSignals {
    /// Installs handlers, so that these signals no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// The handlers cannot be installed.
    ///
    /// ```
    /// let terminations = lagoon_net::signals::TerminationSignals::new();
    /// assert!(terminations.is_ok());
    /// ```
    pub fn new() -> io::Result<TerminationSignals> {
        let runtime = runtime::Builder::new_current_thread().enable_io().build()?;
        let guard = runtime.enter();
        let term = unix::signal(unix::SignalKind::terminate())?;
        let int = unix::signal(unix::SignalKind::interrupt())?;
        drop(guard);
        Ok(TerminationSignals { runtime, term, int })
    }

    /// Blocks the thread until the next signal.
    pub fn wait(&mut self) {
        let TerminationSignals { runtime, term, int } = self;
        runtime.block_on(async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        });
    }
}

/// Request of a signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// End the process: SIGTERM or SIGINT.
    Terminate,
    /// Reload the settings: SIGHUP.
    Reload,
}

/// Receiver of SIGTERM, SIGINT and SIGHUP.
#[derive(Debug)]
pub struct Signals {
    terminations: TerminationSignals,
    hangup: unix::Signal,
}

impl Signals {
    /// Installs handlers, so that these signals no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// The handlers cannot be installed.
    ///
    /// ```
    /// assert!(lagoon_net::signals::Signals::new().is_ok());
    /// ```
    pub fn new() -> io::Result<Signals> {
        let terminations = TerminationSignals::new()?;
        let guard = terminations.runtime.enter();
        let hangup = unix::signal(unix::SignalKind::hangup())?;
        drop(guard);
        Ok(Signals { terminations, hangup })
    }

    /// Blocks the thread until the next signal.
    pub fn wait(&mut self) -> Signal {
        let Signals { terminations: TerminationSignals { runtime, term, int }, hangup } = self;
        runtime.block_on(async {
            tokio::select! {
                _ = term.recv() => Signal::Terminate,
                _ = int.recv() => Signal::Terminate,
                _ = hangup.recv() => Signal::Reload,
            }
        })
    }
}
