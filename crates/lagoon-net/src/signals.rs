//! SIGTERM and SIGINT, received one after the other by a thread that waits for them.

use std::io;

use tokio::runtime;
use tokio::signal::unix;

/// Asks of the host to end the process.
#[derive(Debug)]
pub struct Terminations {
    runtime: runtime::Runtime,
    term: unix::Signal,
    int: unix::Signal,
}

impl Terminations {
    /// From now on these signals no longer end the process by themselves.
    ///
    /// # Errors
    ///
    /// The signals cannot be received.
    ///
    /// ```
    /// let terminations = lagoon_net::signals::Terminations::new();
    /// assert!(terminations.is_ok());
    /// ```
    pub fn new() -> io::Result<Terminations> {
        let runtime = runtime::Builder::new_current_thread().enable_io().build()?;
        let guard = runtime.enter();
        let term = unix::signal(unix::SignalKind::terminate())?;
        let int = unix::signal(unix::SignalKind::interrupt())?;
        drop(guard);
        Ok(Terminations { runtime, term, int })
    }

    /// Blocks the thread until the next one.
    pub fn wait(&mut self) {
        let Terminations { runtime, term, int } = self;
        runtime.block_on(async {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
        });
    }
}
