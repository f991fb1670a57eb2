//! Bounds how long a caller may hold its connection once its answer is over.
//!
//! Failure answered: a caller stops reading but keeps its connection. Symptom: its answer's last
//! bytes, a service's slot and the count of requests under way stay held long after the deadline,
//! and a drain waits for its grace limit. [`Open`] lives as long as the answer's body; when it
//! outlives its time, the connection is closed without waiting for what was not read. That is
//! enough because a connection's end drops its body and all that it holds, and a caller that was
//! cut off sees an answer without its end.

use lagoonline::clock;
use ntex::io;
use tokio::sync as async_sync;

/// Held by an answer's body.
#[derive(Debug)]
pub(crate) struct Open {
    _gone: async_sync::oneshot::Sender<()>,
}

/// Tells when an answer's body is gone.
#[derive(Debug)]
pub(crate) struct Watch {
    io: Option<io::IoRef>,
    gone: async_sync::oneshot::Receiver<()>,
}

/// The two ends for an answer on this connection.
pub(crate) fn pair(io: Option<&io::IoRef>) -> (Open, Watch) {
    let (sender, gone) = async_sync::oneshot::channel();
    (Open { _gone: sender }, Watch { io: io.cloned(), gone })
}

impl Watch {
    /// Waits until the body is gone; closes its connection after `span`.
    pub(crate) async fn bound(self, span: clock::Span) {
        let Err(_late) = tokio::time::timeout(span, self.gone).await else { return };
        if let Some(io) = self.io {
            io.terminate();
        }
    }
}
