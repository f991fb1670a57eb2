//! Hosts that share evidence on parts of prompts over lossy words, in drawn schedules with and without
//! a lethal part.

use lagoonline::clock::{Moment, Span};
use lagoonline::id::{Customer, Part, Upstream};
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::lifecycle::quarantine::{Prompt, Quarantine, Status, Suspect, Weight};
use proptest::prelude::*;
use proptest::test_runner;

const HOSTS: usize = 3;
const LETHAL: &str = "lethal";
/// Time after which an answer that began is told.
const GOES_ON: Span = Span::from_millis(250);

/// An event of a schedule, and the time until the next one.
#[derive(Clone, Debug)]
struct Step {
    kind: Kind,
    millis: u64,
    /// The host that does not hear of it, if there is one of this number.
    deaf: usize,
}

#[derive(Clone, Debug)]
enum Kind {
    /// An upstream crashes under a lethal prompt, beside sound ones.
    Attack { beside: Vec<(usize, usize)> },
    /// An upstream crashes for another reason.
    Crash { parts: Vec<(usize, usize)> },
    /// An answer to a sound prompt begins and goes on.
    Answer { part: usize },
}

fn sound(part: usize) -> String {
    format!("s{part}")
}

struct World {
    hosts: Vec<Quarantine>,
    now: Moment,
    crashes: u64,
    requests: u64,
    /// Crashes with each sound part, by any of its prompts.
    involved: Vec<u32>,
}

impl World {
    fn new() -> World {
        let hosts = vec![Quarantine::default(); HOSTS];
        World { hosts, now: Moment::START, crashes: 0, requests: 0, involved: vec![0; 8] }
    }

    fn suspect(&mut self, customer: usize, part: &str, weight: Weight) -> Suspect {
        self.requests += 1;
        let customer = Customer::from(format!("c{customer}"));
        let parts = [Part::from("first"), Part::from(part)];
        let body = self.requests.to_le_bytes();
        let fingerprint = Fingerprint::new(customer.as_str(), "/a", &body);
        let prompt = Prompt { customer, parts: parts.into_iter().collect() };
        Suspect { fingerprint, weight, prompt }
    }

    fn crash(&mut self, suspects: &[Suspect], deaf: usize) {
        self.crashes += 1;
        let upstream = Upstream::from(format!("e{}", self.crashes));
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number != deaf {
                host.record_crash(&upstream, suspects, self.now);
            }
        }
    }

    fn play(&mut self, step: &Step) {
        match &step.kind {
            Kind::Attack { beside } => {
                let mut suspects = vec![self.suspect(beside.len(), LETHAL, Weight::Begun)];
                suspects.extend(self.bystanders(beside));
                self.crash(&suspects, step.deaf);
            }
            Kind::Crash { parts } => {
                let suspects = self.bystanders(parts);
                self.crash(&suspects, step.deaf);
            }
            Kind::Answer { part } => {
                let begun = self.now;
                self.advance(GOES_ON);
                for (number, host) in self.hosts.iter_mut().enumerate() {
                    if number != step.deaf {
                        host.record_begun(&Part::from(sound(*part)), begun);
                        host.record_begun(&Part::from("first"), begun);
                    }
                }
            }
        }
        self.advance(Span::from_millis(step.millis));
    }

    fn bystanders(&mut self, parts: &[(usize, usize)]) -> Vec<Suspect> {
        let mut suspects = Vec::new();
        for (customer, part) in parts {
            self.involved[*part] += 1;
            suspects.push(self.suspect(*customer, &sound(*part), Weight::Started));
        }
        suspects
    }

    /// Time passes, hosts judge, and tell each other their verdicts.
    fn advance(&mut self, span: Span) {
        self.now = self.now + span;
        for number in 0..HOSTS {
            self.hosts[number].expire(self.now);
            for verdict in self.hosts[number].evaluate(self.now) {
                for other in 0..HOSTS {
                    self.hosts[other].merge(verdict.record.clone(), self.now);
                }
            }
        }
    }

    fn refuses(&self, host: usize, parts: &[&str]) -> bool {
        let parts = parts.iter().map(|part| Part::from(*part)).collect();
        let prompt = Prompt { customer: Customer::from("any"), parts };
        matches!(self.hosts[host].prompt_status(&prompt, self.now), Status::Quarantined(_))
    }
}

fn step(lethal: bool) -> impl Strategy<Value = Step> {
    let parts = || prop::collection::vec((0..4_usize, 0..8_usize), 0..3);
    let attack = parts().prop_map(|beside| Kind::Attack { beside });
    let crash = parts().prop_map(|parts| Kind::Crash { parts });
    let answer = (0..8_usize).prop_map(|part| Kind::Answer { part });
    let attacks = if lethal { 4 } else { 0 };
    let kind = prop_oneof![attacks => attack, 1 => crash, 3 => answer];
    (kind, 20..600_u64, 0..HOSTS + 4).prop_map(|(kind, millis, deaf)| Step { kind, millis, deaf })
}

fn cases() -> u32 {
    let wanted = std::env::var("LAGOON_FUZZ_CASES").ok();
    wanted.and_then(|text| text.parse().ok()).unwrap_or(300)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// Guards against sound parts refused for fewer than three crashes, and first parts that are
    /// answered all the time refused at all.
    #[test]
    fn sound_parts_are_not_refused_for_few_crashes(
        steps in prop::collection::vec(step(false), 1..60),
    ) {
        let mut world = World::new();
        for step in &steps {
            world.play(step);
            for part in 0..world.involved.len() {
                let is_refused = (0..HOSTS).any(|host| world.refuses(host, &[&sound(part)]));
                prop_assert!(world.involved[part] >= 3 || !is_refused, "s{part}: {:?}", world.involved);
            }
        }
    }

    /// Guards against a lethal part that is sent on after many crashes, whatever else happens.
    #[test]
    fn a_lethal_part_is_refused_after_many_crashes(
        steps in prop::collection::vec(step(true), 1..60),
    ) {
        let mut world = World::new();
        let mut attacks = 0;
        for step in &steps {
            attacks += usize::from(matches!(step.kind, Kind::Attack { .. }));
            world.play(step);
        }
        world.advance(Span::from_secs(2));
        if attacks >= 12 {
            for host in 0..HOSTS {
                prop_assert!(world.refuses(host, &["first", LETHAL]), "{attacks} crashes");
            }
        }
    }
}
