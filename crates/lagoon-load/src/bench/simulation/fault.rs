//! Fault injection.

use lagoonline::load;

use super::{CONNECT_TIMEOUT, Event, Request, Simulation};
use crate::bench::scenario;

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self) {
        match self.scenario.fault {
            scenario::Fault::None => {}
            scenario::Fault::Slow(factor) => self.engines[0].slowdown = factor,
            scenario::Fault::Partition => self.partitioned = true,
            scenario::Fault::Crash => {
                self.engines[0].crash();
                let is_on_engine =
                    |request: &Request| request.reservations.iter().any(|(engine, _)| *engine == 0);
                let lost =
                    (0..self.requests.len()).filter(|&index| is_on_engine(&self.requests[index]));
                let lost: Vec<usize> = lost.collect();
                for request in lost {
                    self.fail_attempt(request);
                }
            }
        }
    }

    /// Fails the current attempt of a request because the answering engine or another member of its
    /// group has crashed. The host notices after a timeout.
    pub(super) fn fail_attempt(&mut self, request: usize) {
        // If the answering engine is still up, it finishes the answer although nobody reads it, as
        // if a cancel did not reach it. This overstates the cost of a crash.
        self.free_members(request);
        let attempt = self.requests[request].attempts;
        let ending = load::Ending::Failed;
        self.schedule(
            self.now + CONNECT_TIMEOUT,
            Event::AttemptFailure { request, attempt, ending },
        );
    }

    pub(super) fn end_fault(&mut self) {
        self.partitioned = false;
        if self.scenario.fault == scenario::Fault::Crash {
            self.engines[0].restart();
        }
    }
}
