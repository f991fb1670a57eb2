//! Hosts that share evidence and records over lossy messages, checked against independent counts of
//! each request's crashes.

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id::Upstream;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::lifecycle::quarantine::{Prompt, Quarantine, Record, Status, Suspect, Weight};
use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const HOSTS: usize = 3;
const REQUESTS: usize = 6;
/// Number of crashes that prove a request lethal.
const REQUIRED_CRASHES: usize = 3;

#[derive(Clone, Debug)]
enum Transition {
    /// An upstream crashes with the requests in the bit set in flight. The host `skipped_host`, if
    /// there is one of this number, does not get the report.
    Crash { requests: u8, skipped_host: usize },
    /// A request is answered completely at a host. The host `skipped_host`, if there is one of this
    /// number, does not get the report.
    Answer { request: usize, host: usize, skipped_host: usize },
    /// Time passes, and the hosts evaluate the evidence.
    Advance { millis: u64 },
    /// An operator ends a quarantine at one host.
    Release { request: usize, host: usize },
    /// A host is replaced by one without any state.
    Replace { host: usize },
    /// Two hosts whose checksums differ exchange their records.
    Exchange { one: usize, other: usize },
}

/// There is no reference state; the invariants check the hosts.
#[derive(Clone, Debug, Default)]
struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(Reference).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Self::Transition> {
        let host = || 0..HOSTS;
        let request = || 0..REQUESTS;
        prop_oneof![
            6 => (1..1_u8 << REQUESTS, 0..HOSTS + 2)
                .prop_map(|(requests, skipped_host)| Transition::Crash { requests, skipped_host }),
            2 => (request(), host(), 0..HOSTS + 2)
                .prop_map(|(request, host, skipped_host)| {
                    Transition::Answer { request, host, skipped_host }
                }),
            6 => (1..2_000_u64).prop_map(|millis| Transition::Advance { millis }),
            1 => (request(), host())
                .prop_map(|(request, host)| Transition::Release { request, host }),
            1 => host().prop_map(|host| Transition::Replace { host }),
            3 => (host(), host()).prop_map(|(one, other)| Transition::Exchange { one, other }),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Self::Transition) -> Self::State {
        state
    }
}

struct System {
    hosts: Vec<Quarantine>,
    now: Moment,
    crashes: u64,
    /// Number of crashes that each request was involved in.
    involved: collections::BTreeMap<usize, usize>,
}

fn request(number: usize) -> Fingerprint {
    Fingerprint::new("acme", "/talk/a", &vec![b'a'; number + 1])
}

impl System {
    fn is_quarantined(&self, host: usize, number: usize) -> bool {
        let status = self.hosts[host].status(&request(number), self.now);
        matches!(status, Status::Quarantined(_))
    }

    fn crash(&mut self, requests: u8, skipped_host: usize) {
        self.crashes += 1;
        let upstream = Upstream::from(format!("e{}", self.crashes));
        let numbers: Vec<_> =
            (0..REQUESTS).filter(|number| requests & (1 << number) != 0).collect();
        for number in &numbers {
            *self.involved.entry(*number).or_default() += 1;
        }
        let suspect = |number: &usize| Suspect {
            fingerprint: request(*number),
            weight: Weight::Started,
            prompt: Prompt::default(),
        };
        let suspects: Vec<_> = numbers.iter().map(suspect).collect();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number != skipped_host {
                host.record_crash(&upstream, &suspects, self.now);
            }
        }
    }

    fn answer(&mut self, number: usize, host: usize, skipped_host: usize) {
        let (is_news, _) = self.hosts[host].record_answer(&request(number), self.now);
        assert!(
            !self.is_quarantined(host, number),
            "still in quarantine at the host that answered it"
        );
        for other in (0..HOSTS).filter(|other| is_news && *other != host && *other != skipped_host)
        {
            self.hosts[other].record_answer(&request(number), self.now);
            assert!(
                !self.is_quarantined(other, number),
                "still in quarantine at a host that knows of the answer"
            );
        }
    }

    fn exchange(&mut self, one: usize, other: usize) {
        let records = |host: &Quarantine| host.records(self.now).cloned().collect::<Vec<Record>>();
        let told = [(other, records(&self.hosts[one])), (one, records(&self.hosts[other]))];
        for (host, records) in told {
            for record in records {
                self.hosts[host].merge(record, self.now);
            }
        }
        let checksum = |host: usize| self.hosts[host].checksum(self.now);
        assert_eq!(checksum(one), checksum(other), "checksums differ after exchanging all records");
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &Reference) -> System {
        System {
            hosts: vec![Quarantine::default(); HOSTS],
            now: Moment::START,
            crashes: 0,
            involved: collections::BTreeMap::new(),
        }
    }

    fn apply(mut system: System, _: &Reference, transition: Transition) -> System {
        match transition {
            Transition::Crash { requests, skipped_host } => system.crash(requests, skipped_host),
            Transition::Answer { request, host, skipped_host } => {
                system.answer(request, host, skipped_host)
            }
            Transition::Advance { millis } => {
                system.now = system.now + Span::from_millis(millis);
                for host in &mut system.hosts {
                    host.expire(system.now);
                    host.evaluate(system.now);
                }
            }
            Transition::Release { request: number, host } => {
                system.hosts[host].release(&request(number), system.now);
                assert!(!system.is_quarantined(host, number));
            }
            Transition::Replace { host } => system.hosts[host] = Quarantine::default(),
            Transition::Exchange { one, other } => system.exchange(one, other),
        }
        system
    }

    fn check_invariants(system: &System, _: &Reference) {
        for number in 0..REQUESTS {
            let involved = system.involved.get(&number).copied().unwrap_or_default();
            for host in 0..HOSTS {
                assert!(
                    involved >= REQUIRED_CRASHES || !system.is_quarantined(host, number),
                    "in quarantine after {involved} crashes"
                );
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    // A request must not be refused after fewer than three crashes, nor at a host that knows of its
    // answer or release; hosts that have exchanged their records must agree.
    #[test]
    fn verdicts_are_proven_and_agreed_on(sequential 20..120 => System);
}
