//! Decides whether the answer of an upstream is whole, once its body has ended in order.

use lagoonline::lifecycle::completeness;

use crate::event;
use crate::forward;

/// What was received of an answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Received {
    /// Bytes of the body.
    pub(crate) bytes: usize,
    /// Events of a stream.
    pub(crate) events: u64,
    /// Bytes of a stream that belong to no complete event.
    pub(crate) bytes_left: usize,
}

impl forward::Admitted {
    /// Concludes whether the answer of `open` is whole whose body ended in order and whose content
    /// shows `content` about its end. If the body does not tell, the upstream's process is probed.
    /// Logs each answer that nothing proves to be whole.
    pub(crate) async fn conclude(
        &self,
        open: &forward::OpenAnswer,
        content: completeness::Content,
        received: Received,
    ) -> completeness::Conclusion {
        let mut conclusion = completeness::Conclusion::of_body(open.framing, content);
        if conclusion.completeness == completeness::Completeness::Unknown {
            conclusion = conclusion.with_process(self.probe_process(open).await);
        }
        self.state.metrics.count_answer_end(open.framing, conclusion.completeness);
        if conclusion.completeness != completeness::Completeness::Whole {
            self.log_unproven_end(open, conclusion, received);
        }
        conclusion
    }

    fn log_unproven_end(
        &self,
        open: &forward::OpenAnswer,
        conclusion: completeness::Conclusion,
        received: Received,
    ) {
        let process = conclusion.process.map_or("not probed", completeness::Process::as_str);
        event::Line::new("answer_end_unproven")
            .text("request", &self.request.head.request_id)
            .text("upstream", &open.upstream)
            .number("life", open.entry.started_ms)
            .text("framing", open.framing.as_str())
            .text("connection", "closed")
            .text("end", conclusion.completeness.as_str())
            .text("process", process)
            .number("bytes", received.bytes)
            .number("events", received.events)
            .number("bytes_left", received.bytes_left)
            .warn();
    }
}
