//! SIGTERM, SIGINT and SIGHUP, received one after the other by a thread that waits for them.

use std::io;

use tokio::runtime;
use tokio::signal::unix;

/// Asks of the host to end the process.
#[derive(Debug)]
pub struct TerminationSignals {
    runtime: runtime::Runtime,
    term: unix::Signal,
    int: unix::Signal,
}

impl TerminationSignals {
    /// From now on these signals no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// The signals cannot be received.
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

    /// Blocks the thread until the next one.
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

/// What the host asks of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// To end.
    Terminate,
    /// To read its settings again.
    Reload,
}

/// Asks to end and to reload.
#[derive(Debug)]
pub struct Signals {
    ends: TerminationSignals,
    hangup: unix::Signal,
}

impl Signals {
    /// From now on these signals no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// The signals cannot be received.
    ///
    /// ```
    /// assert!(lagoon_net::signals::Signals::new().is_ok());
    /// ```
    pub fn new() -> io::Result<Signals> {
        let ends = TerminationSignals::new()?;
        let guard = ends.runtime.enter();
        let hangup = unix::signal(unix::SignalKind::hangup())?;
        drop(guard);
        Ok(Signals { ends, hangup })
    }

    /// Blocks the thread until the next one.
    pub fn wait(&mut self) -> Signal {
        let Signals { ends: TerminationSignals { runtime, term, int }, hangup } = self;
        runtime.block_on(async {
            tokio::select! {
                _ = term.recv() => Signal::Terminate,
                _ = int.recv() => Signal::Terminate,
                _ = hangup.recv() => Signal::Reload,
            }
        })
    }
}
