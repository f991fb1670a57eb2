//! Decides whether the answer of an upstream is whole, once its body has ended in order.

use lagoonline::lifecycle::completeness;

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
    /// `promised` tells how the end is marked for the caller. Logs each answer that nothing proves
    /// to be whole.
    pub(crate) async fn conclude(
        &self,
        open: &forward::OpenAnswer,
        content: completeness::Content,
        received: Received,
        promised: completeness::Framing,
    ) -> completeness::Conclusion {
        let mut conclusion = completeness::Conclusion::of_body(open.framing, content);
        if conclusion.completeness == completeness::Completeness::Unknown {
            conclusion = conclusion.with_process(self.probe_process(open).await);
        }
        let completeness = conclusion.completeness;
        self.state.metrics.count_answer_end(open.framing, completeness);
        if completeness != completeness::Completeness::Whole {
            let process = conclusion.process;
            self.log_unproven_end(open)
                .text("end", completeness.as_str())
                .text("process", process.map_or("not probed", completeness::Process::as_str))
                .number("bytes", received.bytes)
                .number("events", received.events)
                .number("bytes_left", received.bytes_left)
                .text("promised", promised.as_str())
                .warn();
        }
        conclusion
    }
}
