//! Two entry hosts that learn of leaving upstreams from three sources, with delay and in any order.

use lagoonline::id;
use lagoonline::lifecycle::leaving;
use lagoonline::port::hosts;
use proptest::prelude::*;
use proptest_state_machine::StateMachineTest;

const HOSTS: usize = 2;

#[derive(Clone, Debug)]
pub enum Step {
    /// The upstream starts to leave.
    Leave,
    /// The upstream restarts with a new incarnation.
    Restart,
    /// A host reads a version of the platform's list that is `age` changes old.
    List { host: usize, age: usize },
    /// A host dispatches a request and is refused if the upstream is leaving.
    Dispatch { host: usize },
    /// A mark sent by one host reaches the other, possibly late or repeatedly.
    DeliverMark { host: usize, pick: usize },
}

/// The upstream's history and all marks that were ever sent.
pub struct World {
    history: Vec<leaving::Mark>,
    marks: Vec<leaving::Marks>,
    /// What each host has learned of the upstream's state, recorded independently for the oracle.
    signs: Vec<Vec<leaving::Mark>>,
    sent: Vec<leaving::Mark>,
}

impl super::Steps for Step {
    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            1 => Just(Step::Leave),
            1 => Just(Step::Restart),
            4 => (0..HOSTS, 0..5_usize).prop_map(|(host, age)| Step::List { host, age }),
            4 => (0..HOSTS).prop_map(|host| Step::Dispatch { host }),
            4 => (0..HOSTS, any::<usize>())
                .prop_map(|(host, pick)| Step::DeliverMark { host, pick }),
        ]
        .boxed()
    }
}

fn upstream() -> id::Upstream {
    id::Upstream::from("engine")
}

impl World {
    fn current(&self) -> leaving::Mark {
        *self.history.last().expect("it has a first state")
    }

    fn list(&mut self, host: usize, age: usize) {
        let mark = self.history[self.history.len().saturating_sub(1 + age)];
        let state = if mark.leaving { hosts::State::Leaving } else { hosts::State::Live };
        let entry = hosts::Entry {
            name: upstream().as_str().to_owned(),
            zone: id::Zone::from("suva"),
            incarnation: mark.incarnation,
            state,
        };
        let changed = self.marks[host].apply_list(&[entry]);
        self.sent.extend(changed.into_iter().map(|(_, mark)| mark));
        self.signs[host].push(mark);
    }

    /// The oracle: a host must refuse to dispatch exactly if it knows that the latest incarnation
    /// it has heard of is leaving.
    fn dispatch(&mut self, host: usize) {
        let latest = self.signs[host].iter().map(|mark| mark.incarnation).max();
        let is_leaving = |mark: &leaving::Mark| mark.leaving && Some(mark.incarnation) == latest;
        let known_leaving = self.signs[host].iter().any(is_leaving);
        let is_blocked = self.marks[host].is_leaving(&upstream());
        assert_eq!(
            is_blocked, known_leaving,
            "signs {:?}, marks {:?}",
            self.signs[host], self.marks[host]
        );
        if !is_blocked && self.current().leaving {
            let known = latest.unwrap_or_default();
            let changed = self.marks[host].record_refusal(&upstream());
            self.sent.extend(changed);
            if latest.is_some() {
                self.signs[host].push(leaving::Mark { incarnation: known, leaving: true });
            } else {
                assert!(self.marks[host].is_leaving(&upstream()));
                // The load report of the refused connection names the incarnation right away.
                let current = self.current();
                self.sent.extend(self.marks[host].merge(&upstream(), current));
                self.signs[host].push(current);
            }
        }
    }

    fn deliver_mark(&mut self, host: usize, pick: usize) {
        let count = self.sent.len().max(1);
        if let Some(mark) = self.sent.get(pick % count).copied() {
            self.marks[host].merge(&upstream(), mark);
            self.signs[host].push(mark);
        }
    }
}

pub struct Machine;

impl StateMachineTest for Machine {
    type SystemUnderTest = World;
    type Reference = super::Script<Step>;

    fn init_test((): &()) -> World {
        let first = leaving::Mark { incarnation: id::Incarnation(1), leaving: false };
        World {
            history: vec![first],
            marks: (0..HOSTS).map(|_| leaving::Marks::new(super::safeguards())).collect(),
            signs: vec![Vec::new(); HOSTS],
            sent: Vec::new(),
        }
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        super::count_step();
        let current = world.current();
        match step {
            Step::Leave => world.history.push(leaving::Mark { leaving: true, ..current }),
            Step::Restart => {
                let incarnation = id::Incarnation(current.incarnation.0 + 1);
                world.history.push(leaving::Mark { incarnation, leaving: false });
            }
            Step::List { host, age } => world.list(host, age),
            Step::Dispatch { host } => world.dispatch(host),
            Step::DeliverMark { host, pick } => world.deliver_mark(host, pick),
        }
        world
    }

    /// Once every mark has reached every host, all hosts agree.
    fn teardown(mut world: World) {
        for host in 0..HOSTS {
            for mark in world.sent.clone() {
                world.marks[host].merge(&upstream(), mark);
            }
        }
        let mark = |marks: &leaving::Marks| marks.iter().map(|(_, mark)| mark).next();
        assert_eq!(mark(&world.marks[0]), mark(&world.marks[1]));
    }
}
