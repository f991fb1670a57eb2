//! Limits how long a caller may keep its connection open after the deadline.
//!
//! Guards against callers that stop reading but keep the connection: the unsent end of the
//! response, a service slot and the count of requests in progress would stay held long after the
//! deadline, and a drain would wait for its grace limit. [`Guard`] lives as long as the response
//! body. If it outlives its time, the connection is closed without waiting for unread data. Closing
//! a connection drops the body and everything it holds, and the caller sees a truncated response.

use lagoonline::clock;
use ntex::io;
use tokio::sync as async_sync;

/// Owned by a response body and dropped with it.
#[derive(Debug)]
pub(crate) struct Guard {
    _dropped: async_sync::oneshot::Sender<()>,
}

/// Waits for the end of a response body.
#[derive(Debug)]
pub(crate) struct Watch {
    io: Option<io::IoRef>,
    dropped: async_sync::oneshot::Receiver<()>,
}

/// Creates the guard and the watch for a response on the connection `io`.
pub(crate) fn pair(io: Option<&io::IoRef>) -> (Guard, Watch) {
    let (sender, dropped) = async_sync::oneshot::channel();
    (Guard { _dropped: sender }, Watch { io: io.cloned(), dropped })
}

impl Watch {
    /// Waits until the body is dropped, or closes its connection after `span`.
    pub(crate) async fn close_after(self, span: clock::Span) {
        let Err(_late) = tokio::time::timeout(span, self.dropped).await else { return };
        if let Some(io) = self.io {
            io.terminate();
        }
    }
}
