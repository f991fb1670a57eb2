//! What goes wrong in a run.

use lagoonline::load;

use super::{Event, Request, TIMEOUT, World};
use crate::bench::scenario;

impl World<'_> {
    pub(super) fn begin(&mut self) {
        match self.scenario.fault {
            scenario::Fault::None => {}
            scenario::Fault::Slow(factor) => self.engines[0].slow = factor,
            scenario::Fault::Cut => self.cut = true,
            scenario::Fault::Death => {
                self.engines[0].die();
                let held = |request: &Request| request.parts.iter().any(|(part, _)| *part == 0);
                let lost = (0..self.requests.len()).filter(|&index| held(&self.requests[index]));
                let lost: Vec<usize> = lost.collect();
                for request in lost {
                    self.lose(request);
                }
            }
        }
    }

    /// The engine that answers a request died, or one that holds a span of its memory.
    pub(super) fn lose(&mut self, request: usize) {
        // An answering engine that lives goes on to its end unread, as for a cancel that is lost;
        // this overstates the cost.
        self.free_members(request);
        let attempt = self.requests[request].attempts;
        let ending = load::Ending::Failed;
        self.at(self.now + TIMEOUT, Event::Lost { request, attempt, ending });
    }

    pub(super) fn finish_fault(&mut self) {
        self.cut = false;
        if self.scenario.fault == scenario::Fault::Death {
            self.engines[0].revive();
        }
    }
}
