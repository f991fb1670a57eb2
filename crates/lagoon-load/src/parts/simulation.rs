//! The loop of a simulation.

use std::cmp;
use std::collections;
use std::rc;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::quarantine::{Progress, Quarantine, Status, Suspect, Weight};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Way;
use super::fleet::{self, ATTACK_MS, moment};
use super::judge::{Judge, Verdicts};
use super::report::Report;
use super::scenario::{Fault, Scenario};

/// Length of a run.
const END_MS: u64 = 40_000;
/// Time after the fifth crash from which lethal prompts are counted, and sound ones.
const STABLE_MS: u64 = 3_000;
const CRASHES: u64 = 5;
/// Prompts that an engine takes at once.
const SLOTS: usize = 16;
/// Time for which a crashed engine is down.
const DOWN_MS: std::ops::Range<u64> = 2_000..4_000;
/// Time after which an answer that began has gone on.
const WENT_ON_MS: u64 = 250;
/// Attempts of a host for a request, and requests of a caller with the same prompt.
const ATTEMPTS: u32 = 2;
const RETURNS: u32 = 1;
/// Time after which a host knows that an engine ended, and after which its words are sent.
const PROBE_MS: u64 = 10;
const BATCH_MS: u64 = 20;
/// One way within a zone and between zones.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 6;
/// Interval between evaluations, between comparisons of verdicts in a zone, and of verdicts with
/// other zones and the platform.
const EVALUATE_MS: u64 = 100;
const COMPARE_MS: u64 = 300;
const FAR_COMPARE_MS: u64 = 900;
/// Hosts of a zone from which a few of them judge for the others, and their number.
const LARGE_ZONE: usize = 6;
const JUDGES: usize = 3;
/// The cut of the first zone, and when all hosts start at the same moment.
const CUT_MS: std::ops::Range<u64> = 9_000..19_000;
const HERD_MS: u64 = 20_000;

#[derive(Debug)]
enum Event {
    /// A caller sends a prompt for the first time (0) or once more.
    Come {
        suspect: rc::Rc<Suspect>,
        returns: u32,
    },
    /// A host sends it to an engine, if it may.
    Send {
        host: usize,
        suspect: rc::Rc<Suspect>,
        attempt: u32,
        returns: u32,
    },
    /// An engine begins to answer, or the answer has gone on, or has ended.
    Begin(u64),
    WentOn(u64),
    End(u64),
    /// A host knows that an engine ended under its requests.
    Learn {
        host: usize,
        engine: usize,
        broken: Vec<Broken>,
    },
    /// A host hears of a crash, of an answer that began, of verdicts.
    Crashed {
        host: usize,
        engine: usize,
        suspects: rc::Rc<Vec<Suspect>>,
    },
    Begun {
        host: usize,
        part: id::Part,
        begun: u64,
    },
    Verdicts {
        host: usize,
        verdicts: rc::Rc<Verdicts>,
    },
    Fail(usize),
    Evaluate,
    Compare,
    Restart(usize),
}

#[derive(Debug)]
struct Broken {
    suspect: rc::Rc<Suspect>,
    progress: Progress,
    attempt: u32,
    returns: u32,
}

#[derive(Debug)]
struct Answer {
    suspect: rc::Rc<Suspect>,
    host: usize,
    engine: usize,
    attempt: u32,
    returns: u32,
    begun: Option<u64>,
}

#[derive(Debug)]
struct Host {
    judge: Judge,
    zone: usize,
    is_judge: bool,
    doubted: collections::BTreeSet<id::Part>,
    started: u64,
}

#[derive(Debug)]
struct Engine {
    up_at: u64,
    answers: collections::BTreeSet<u64>,
}

/// What is known of one lethal part.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    crashes: u64,
    counted_at: Option<u64>,
    last_send: u64,
}

#[derive(Debug)]
struct Simulation {
    scenario: Scenario,
    way: Way,
    random: StdRng,
    queue: collections::BinaryHeap<cmp::Reverse<(u64, u64)>>,
    events: collections::HashMap<u64, Event>,
    next: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    answers: collections::HashMap<u64, Answer>,
    stored: Verdicts,
    parts: collections::BTreeMap<usize, Part>,
    report: Report,
}

/// Plays `scenario` with `way`.
///
/// ```
/// use lagoon_load::parts::{self, Attack, Way};
/// let calm = parts::Scenario { attack: Attack::None, rate: 4.0, ..parts::Scenario::default() };
/// assert_eq!(parts::run(&calm, Way::Held, 1).crashes, 0);
/// ```
pub fn run(scenario: &Scenario, way: Way, seed: u64) -> Report {
    let zone_size = scenario.hosts.div_ceil(scenario.zones);
    let hosts = (0..scenario.hosts).map(|number| Host {
        judge: Judge::new(way),
        zone: number % scenario.zones,
        is_judge: zone_size < LARGE_ZONE || number / scenario.zones < JUDGES,
        doubted: collections::BTreeSet::new(),
        started: 0,
    });
    let engines =
        (0..scenario.engines).map(|_| Engine { up_at: 0, answers: collections::BTreeSet::new() });
    let mut simulation = Simulation {
        hosts: hosts.collect(),
        engines: engines.collect(),
        scenario: *scenario,
        way,
        random: StdRng::seed_from_u64(seed ^ 0x51ed),
        queue: collections::BinaryHeap::new(),
        events: collections::HashMap::new(),
        next: 0,
        answers: collections::HashMap::new(),
        stored: Verdicts::default(),
        parts: collections::BTreeMap::new(),
        report: Report::default(),
    };
    simulation.plan(seed);
    while let Some(cmp::Reverse((now, key))) = simulation.queue.pop() {
        if now > END_MS {
            break;
        }
        if let Some(event) = simulation.events.remove(&key) {
            simulation.handle(event, now);
        }
    }
    for part in simulation.parts.values() {
        let counted_at = part.counted_at.unwrap_or(part.last_send);
        let after = part.last_send.saturating_sub(counted_at);
        simulation.report.last_send_ms = simulation.report.last_send_ms.max(after);
    }
    simulation.report
}

impl Simulation {
    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.push(cmp::Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    /// Draws all arrivals and faults, the same for every way.
    fn plan(&mut self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        for now in 0..END_MS {
            let rates = [(self.scenario.rate, false), (self.scenario.lethal_rate, true)];
            for (rate, is_lethal) in rates {
                let comes = random.random_bool((rate / 1_000.0).min(1.0));
                let suspect = fleet::draw(&mut random, &self.scenario, is_lethal, now);
                let has_lethal = self.scenario.attack != super::Attack::None && now >= ATTACK_MS;
                if comes && (!is_lethal || has_lethal) {
                    let suspect = rc::Rc::new(suspect);
                    self.push(now, Event::Come { suspect, returns: 0 });
                }
            }
            self.plan_fault(now, &mut random);
            if now > 0 && now.is_multiple_of(EVALUATE_MS) {
                self.push(now, Event::Evaluate);
            }
            if now > 0 && now.is_multiple_of(COMPARE_MS) {
                self.push(now, Event::Compare);
            }
        }
        let hosts = self.scenario.hosts as u64;
        for host in 0..self.scenario.hosts {
            if self.scenario.restarts {
                let step = (END_MS - ATTACK_MS) / (hosts + 1);
                self.push(ATTACK_MS + step * (host as u64 + 1), Event::Restart(host));
            }
            if self.scenario.herd {
                self.push(HERD_MS, Event::Restart(host));
            }
        }
    }

    fn plan_fault(&mut self, now: u64, random: &mut StdRng) {
        let since = now.saturating_sub(ATTACK_MS);
        let engines = self.scenario.engines;
        let mut fail = |simulation: &mut Simulation, count: usize, spread: u64| {
            for _ in 0..count {
                let at = now + random.random_range(0..=spread);
                let engine = random.random_range(0..engines);
                simulation.push(at, Event::Fail(engine));
            }
        };
        if now < ATTACK_MS {
            return;
        }
        match self.scenario.fault {
            Fault::Singles if since.is_multiple_of(1_000) => fail(self, 1, 0),
            Fault::Racks if since.is_multiple_of(3_000) => fail(self, engines / 3, 0),
            Fault::Series if since.is_multiple_of(2_000) => fail(self, engines * 2 / 5, 1_500),
            _ => {}
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Come { suspect, returns } => self.come(suspect, returns, now),
            Event::Send { host, suspect, attempt, returns } => {
                self.send(host, suspect, attempt, returns, now);
            }
            Event::Begin(key) => self.begin(key, now),
            Event::WentOn(key) => self.went_on(key, now),
            Event::End(key) => {
                if let Some(answer) = self.answers.remove(&key) {
                    self.engines[answer.engine].answers.remove(&key);
                }
            }
            Event::Learn { host, engine, broken } => self.learn(host, engine, broken, now),
            Event::Crashed { host, engine, suspects } => {
                let upstream = upstream(engine);
                self.hosts[host].judge.crash(&upstream, &suspects, moment(now));
            }
            Event::Begun { host, part, begun } => {
                self.hosts[host].judge.begin(&part, moment(begun));
            }
            Event::Verdicts { host, verdicts } => {
                self.hosts[host].judge.merge(&verdicts, moment(now));
            }
            Event::Fail(engine) => {
                if self.engines[engine].up_at <= now {
                    self.crash(engine, now);
                }
            }
            Event::Evaluate => self.evaluate(now),
            Event::Compare => self.compare(now),
            Event::Restart(host) => self.restart(host, now),
        }
    }

    fn is_lethal(&self, suspect: &Suspect, now: u64) -> Option<usize> {
        fleet::lethal_part(&self.scenario, &suspect.prompt, now)
    }

    /// When figures about sound prompts begin.
    fn counts_sound_from(&self) -> Option<u64> {
        let counted = self.parts.get(&0).and_then(|part| part.counted_at);
        let faults = self.scenario.attack == super::Attack::None;
        counted.or(faults.then_some(ATTACK_MS)).map(|at| at + 2 * STABLE_MS)
    }

    fn come(&mut self, suspect: rc::Rc<Suspect>, returns: u32, now: u64) {
        let skewed = self.random.random_bool(self.scenario.skew);
        let host = self.random.random_range(0..self.hosts.len());
        let host = if skewed && returns == 0 { 0 } else { host };
        if self.is_lethal(&suspect, now).is_none() && returns == 0 {
            self.report.sound += 1;
            let is_counted = self.counts_sound_from().is_some_and(|from| now >= from);
            self.report.near += u64::from(is_counted && fleet::is_near(&suspect.prompt));
        }
        self.send(host, suspect, 0, returns, now);
    }

    fn send(
        &mut self,
        host: usize,
        suspect: rc::Rc<Suspect>,
        attempt: u32,
        returns: u32,
        now: u64,
    ) {
        self.hear_doubts(host, now);
        match self.hosts[host].judge.status(&suspect, moment(now)) {
            Status::Allowed => {}
            Status::Pending(span) if span < clock::Span::MAX => {
                let at = now + span.as_millis() as u64 + EVALUATE_MS;
                return self.push(at, Event::Send { host, suspect, attempt, returns });
            }
            Status::Pending(_) | Status::Quarantined(_) => {
                let is_sound = self.is_lethal(&suspect, now).is_none();
                self.report.refused_sound += u64::from(is_sound && returns == 0);
                return;
            }
        }
        let Some(engine) = self.choose_engine(now) else { return };
        if let Some(number) = self.is_lethal(&suspect, now) {
            self.count_lethal(number, host, now);
        }
        self.next += 1;
        let key = self.next;
        let queue = self.engines[engine].answers.len() as f64;
        let mean = 40.0 * (1.0 + queue / 8.0);
        let wait = -mean * self.random.random_range(f64::EPSILON..1.0).ln();
        self.engines[engine].answers.insert(key);
        let answer = Answer { suspect, host, engine, attempt, returns, begun: None };
        self.answers.insert(key, answer);
        self.push(now + 5 + wait as u64, Event::Begin(key));
    }

    fn count_lethal(&mut self, number: usize, host: usize, now: u64) {
        let part = self.parts.entry(number).or_default();
        part.last_send = now;
        let is_late = part.counted_at.is_some_and(|at| now > at + STABLE_MS);
        let is_cut = self.scenario.cut
            && self.hosts[host].zone == 0
            && (CUT_MS.start..CUT_MS.end + STABLE_MS).contains(&now);
        let has_just_started = self.hosts[host].started + STABLE_MS > now && now > STABLE_MS;
        self.report.late_sends += u64::from(is_late && !is_cut && !has_just_started);
    }

    /// The least busy one of three engines that run.
    fn choose_engine(&mut self, now: u64) -> Option<usize> {
        let mut best: Option<usize> = None;
        for _ in 0..12 {
            let engine = self.random.random_range(0..self.engines.len());
            let candidate = &self.engines[engine];
            if candidate.up_at > now || candidate.answers.len() >= SLOTS {
                continue;
            }
            if best.is_none_or(|best| self.engines[best].answers.len() > candidate.answers.len()) {
                best = Some(engine);
            }
        }
        best
    }

    fn begin(&mut self, key: u64, now: u64) {
        let Some(answer) = self.answers.get_mut(&key) else { return };
        answer.begun = Some(now);
        let (suspect, engine) = (answer.suspect.clone(), answer.engine);
        let is_first = answer.attempt == 0 && answer.returns == 0;
        if let Some(number) = self.is_lethal(&suspect, now) {
            let part = self.parts.entry(number).or_default();
            part.crashes += 1;
            if part.crashes == CRASHES {
                part.counted_at = Some(now);
            }
            return self.crash(engine, now);
        }
        self.report.begun += 1;
        let is_counted = self.counts_sound_from().is_some_and(|from| now >= from);
        let is_near = is_counted && is_first && fleet::is_near(&suspect.prompt);
        self.report.near_begun += u64::from(is_near);
        self.push(now + WENT_ON_MS, Event::WentOn(key));
        let rest = -2_000.0 * self.random.random_range(f64::EPSILON..1.0_f64).ln();
        self.push(now + 300 + rest as u64, Event::End(key));
    }

    fn went_on(&mut self, key: u64, now: u64) {
        let Some(answer) = self.answers.get(&key) else { return };
        let (host, begun) = (answer.host, answer.begun.unwrap_or(now));
        let parts = answer.suspect.prompt.parts.clone();
        for part in parts.iter() {
            let is_news = self.hosts[host].judge.begin(part, moment(begun));
            if is_news || self.hosts[host].doubted.remove(part) {
                self.tell(host, now, |to| Event::Begun { host: to, part: part.clone(), begun });
            }
        }
    }

    /// A host that does not judge hears with each question what its zone's judge asks about.
    fn hear_doubts(&mut self, host: usize, now: u64) {
        if self.hosts[host].is_judge {
            return;
        }
        let leader = self.hosts[host].zone;
        let doubted = self.hosts[leader].judge.doubted(moment(now));
        for part in doubted {
            if !self.hosts[host].doubted.insert(part.clone()) {
                continue;
            }
            if let Some(begun) = self.hosts[host].judge.begun_at(&part) {
                let begun = begun.since(clock::Moment::START).as_millis() as u64;
                self.tell(host, now, |to| Event::Begun { host: to, part: part.clone(), begun });
            }
        }
    }

    /// An engine ends with all that is on it.
    fn crash(&mut self, engine: usize, now: u64) {
        self.report.crashes += 1;
        self.engines[engine].up_at = now + self.random.random_range(DOWN_MS);
        let keys = std::mem::take(&mut self.engines[engine].answers);
        let mut by_host: collections::BTreeMap<usize, Vec<Broken>> = collections::BTreeMap::new();
        for key in keys {
            let Some(answer) = self.answers.remove(&key) else { continue };
            let progress = match answer.begun {
                None => Progress::Waiting,
                Some(begun) => {
                    let span = clock::Span::from_millis(now - begun);
                    Progress::Answering { span, events: (now - begun) / 44 }
                }
            };
            let Answer { suspect, host, attempt, returns, .. } = answer;
            let broken = Broken { suspect, progress, attempt, returns };
            by_host.entry(host).or_default().push(broken);
        }
        for (host, broken) in by_host {
            self.push(now + PROBE_MS, Event::Learn { host, engine, broken });
        }
    }

    fn learn(&mut self, host: usize, engine: usize, broken: Vec<Broken>, now: u64) {
        let weights = Quarantine::default();
        let weigh = |broken: &Broken| weights.weight(broken.progress);
        let suspect = |broken: &Broken| {
            let weight: Weight = weigh(broken)?;
            Some(Suspect { weight, ..(*broken.suspect).clone() })
        };
        let suspects: rc::Rc<Vec<_>> = rc::Rc::new(broken.iter().filter_map(suspect).collect());
        self.hosts[host].judge.crash(&upstream(engine), &suspects, moment(now));
        self.tell(host, now, |to| Event::Crashed { host: to, engine, suspects: suspects.clone() });
        for broken in broken {
            let is_suspect = weigh(&broken).is_some();
            let Broken { suspect, attempt, returns, .. } = broken;
            if attempt + 1 < ATTEMPTS {
                let delay = self.hosts[host].judge.retry_delay(&suspect);
                let delay = if is_suspect { delay.as_millis() as u64 } else { 0 };
                let send = Event::Send { host, suspect, attempt: attempt + 1, returns };
                self.push(now + delay, send);
            } else if returns < RETURNS {
                self.push(now + 50, Event::Come { suspect, returns: returns + 1 });
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize, now: u64) -> bool {
        let zones = (self.hosts[one].zone, self.hosts[other].zone);
        let is_apart = zones.0 != zones.1 && (zones.0 == 0 || zones.1 == 0);
        self.scenario.cut && is_apart && CUT_MS.contains(&now)
    }

    /// Tells the judging hosts of all zones; a host that does not judge tells those of its zone, whose
    /// first one tells the others.
    fn tell<Make>(&mut self, from: usize, now: u64, make: Make)
    where
        Make: Fn(usize) -> Event,
    {
        for to in 0..self.hosts.len() {
            if to == from || !self.hosts[to].is_judge || self.is_cut(from, to, now) {
                continue;
            }
            self.report.words += 1;
            if self.random.random_bool(self.scenario.lost) {
                continue;
            }
            let is_near = self.hosts[to].zone == self.hosts[from].zone;
            let hops = if is_near || self.hosts[from].is_judge { 1 } else { 2 };
            let way = if is_near { NEAR_MS } else { FAR_MS };
            self.push(now + BATCH_MS * hops + way, make(to));
        }
    }

    fn evaluate(&mut self, now: u64) {
        for host in 0..self.hosts.len() {
            if !self.hosts[host].is_judge {
                continue;
            }
            let verdicts = rc::Rc::new(self.hosts[host].judge.evaluate(moment(now)));
            if !verdicts.is_empty() {
                let make = |to| Event::Verdicts { host: to, verdicts: verdicts.clone() };
                self.tell(host, now, make);
            }
        }
    }

    /// Hosts compare their verdicts with the first one of their zone, and the first ones with each
    /// other and the platform.
    fn compare(&mut self, now: u64) {
        let zones = self.scenario.zones.min(self.hosts.len());
        for host in zones..self.hosts.len() {
            let leader = self.hosts[host].zone;
            if !self.random.random_bool(self.scenario.lost) {
                let verdicts = self.hosts[leader].judge.verdicts(moment(now));
                self.hosts[host].judge.merge(&verdicts, moment(now));
            }
            self.hear_doubts(host, now);
        }
        if !now.is_multiple_of(FAR_COMPARE_MS) {
            return;
        }
        let mut stored = Verdicts::default();
        for leader in 0..zones {
            let verdicts = self.hosts[leader].judge.verdicts(moment(now));
            for other in (0..zones).filter(|other| *other != leader) {
                if !self.is_cut(leader, other, now) {
                    self.hosts[other].judge.merge(&verdicts, moment(now));
                }
            }
            stored.extend(verdicts);
        }
        self.stored = stored;
    }

    fn restart(&mut self, host: usize, now: u64) {
        let mut judge = Judge::new(self.way);
        judge.merge(&self.stored, moment(now));
        let zone = self.hosts[host].zone;
        let is_judge = self.hosts[host].is_judge;
        let doubted = collections::BTreeSet::new();
        self.hosts[host] = Host { judge, zone, is_judge, doubted, started: now };
        let lost: Vec<_> = self.answers.iter().filter(|(_, answer)| answer.host == host).collect();
        let lost: Vec<_> = lost.into_iter().map(|(key, answer)| (*key, answer.engine)).collect();
        for (key, engine) in lost {
            self.answers.remove(&key);
            self.engines[engine].answers.remove(&key);
        }
    }
}

fn upstream(engine: usize) -> id::Upstream {
    id::Upstream::from(format!("e{engine}"))
}
