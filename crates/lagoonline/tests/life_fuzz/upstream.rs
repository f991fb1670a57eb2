//! A fake upstream that records the calls it ran.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use lagoonline::clock;

use super::platform::{Fault, Faults, take_delayed, yield_once};
use super::world::Call;

/// One execution of a call.
#[derive(Clone, Debug)]
pub struct Run {
    pub call: Call,
    /// When the entry host dispatched the call.
    pub dispatched: clock::Moment,
    pub answer: Bytes,
}

#[derive(Debug)]
pub enum CallError {
    Refused,
    Lost,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    delayed: Vec<(Call, clock::Moment)>,
    faults: Faults,
}

#[derive(Clone, Default)]
pub struct Upstream(Rc<RefCell<State>>);

impl State {
    fn run(&mut self, call: &Call, dispatched: clock::Moment) -> Bytes {
        // Every other answer is longer than `inline_bytes` of the claims, and stored as an object.
        let long = "x".repeat(self.runs.len() % 2 * 40);
        let identity = (call.customer, call.key, call.body, self.runs.len());
        let answer = Bytes::from(format!("{identity:?}{long}"));
        self.runs.push(Run { call: call.clone(), dispatched, answer: answer.clone() });
        answer
    }
}

impl Upstream {
    pub fn inject(&self, fault: Fault) {
        self.0.borrow_mut().faults.queue.push_back(fault);
    }

    pub fn clear_faults(&self) {
        self.0.borrow_mut().faults.queue.clear();
    }

    pub fn run_delayed(&self, pick: usize) {
        let mut state = self.0.borrow_mut();
        if let Some((call, dispatched)) = take_delayed(&mut state.delayed, pick) {
            state.run(&call, dispatched);
        }
    }

    pub fn delayed_count(&self) -> usize {
        self.0.borrow().delayed.len()
    }

    pub fn injected_count(&self) -> u64 {
        self.0.borrow().faults.injected
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.borrow().runs.clone()
    }

    pub async fn call(&self, call: &Call, dispatched: clock::Moment) -> Result<Bytes, CallError> {
        yield_once().await;
        let answer = {
            let mut state = self.0.borrow_mut();
            match state.faults.next() {
                None => Ok(state.run(call, dispatched)),
                Some(Fault::Refuse) => Err(CallError::Refused),
                Some(Fault::LoseRequest) => Err(CallError::Lost),
                Some(Fault::LoseAnswer) => {
                    state.run(call, dispatched);
                    Err(CallError::Lost)
                }
                Some(Fault::Delay) => {
                    state.delayed.push((call.clone(), dispatched));
                    Err(CallError::Lost)
                }
            }
        };
        yield_once().await;
        answer
    }
}
