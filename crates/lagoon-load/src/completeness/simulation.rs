//! Plays one scenario.

use std::cmp;
use std::collections;

use lagoonline::lifecycle::completeness;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::Way;
use super::report::Report;
use super::scenario::{Fault, Scenario};

/// Time in which streams arrive.
const RUN_MS: u64 = 20_000;
/// Streams per second and upstream.
const RATE: f64 = 1.5;
/// Prompt lengths in tokens, evenly distributed by their logarithm.
const PROMPT_TOKENS: std::ops::Range<f64> = 1_000.0..150_000.0;
/// Prompt tokens that an upstream prefills in a millisecond.
const PREFILL_PER_MS: f64 = 206.0;
/// Events of a stream.
const EVENTS: std::ops::Range<u64> = 5..60;
/// Interval of events.
const EVENT_MS: u64 = 44;
/// Milliseconds from a host to an upstream or a caller.
const HOP_MS: std::ops::Range<u64> = 2..9;
/// Time for which a crashed upstream is gone.
const RESTART_MS: u64 = 1_500;
/// Targets for the first event of short, medium and long prompts, with their lengths in tokens.
const TARGETS_MS: [(u64, u64); 3] = [(25_000, 300), (110_000, 1_500), (u64::MAX, 2_500)];
/// Longest pause between events of a stream that is in time.
const MAX_PAUSE_MS: u64 = 1_000;
/// Share of the answers that a faulty upstream breaks off.
const FAULTY_SHARE: f64 = 0.05;
/// Requests for one stream, and share of the streams for which there may be another one.
const MAX_ATTEMPTS: u32 = 2;
const RETRY_SHARE: f64 = 0.2;
/// Streams beyond that share for which there may be another request, per host.
const RETRY_SLACK: f64 = 13.0;

/// A stream that is written by an upstream.
#[derive(Clone, Debug)]
struct Stream {
    arrived: u64,
    tokens: u64,
    resumable: bool,
    /// Events that the caller lacks.
    events_left: u64,
    first_event: Option<u64>,
    last_event: u64,
    longest_pause: u64,
    /// When it was cut, until the next event comes.
    cut_at: Option<u64>,
    attempts: u32,
    promised: completeness::Framing,
}

/// One answer of an upstream.
#[derive(Debug)]
struct Answer {
    stream: Stream,
    upstream: usize,
    framing: completeness::Framing,
    /// When its first event leaves the upstream.
    begins: u64,
    /// Milliseconds from the upstream to the host.
    hop: u64,
    end: End,
}

/// How the part of one upstream ended.
#[derive(Clone, Copy, Debug)]
struct End {
    at: u64,
    /// Events that the upstream sent.
    events: u64,
    is_cut: bool,
    is_reset: bool,
    is_inside: bool,
    has_crashed: bool,
}

#[derive(Debug)]
struct Simulation {
    scenario: Scenario,
    way: Way,
    random: StdRng,
    /// When each upstream has prefilled all prompts that it has.
    busy_until: Vec<u64>,
    /// When each upstream crashes.
    crashes: Vec<Vec<u64>>,
    /// Ends of answers to come, by time.
    queue: collections::BinaryHeap<cmp::Reverse<(u64, usize)>>,
    answers: Vec<Option<Answer>>,
    retries: f64,
    report: Report,
}

/// Plays `scenario` with `way`.
///
/// ```
/// use lagoon_load::completeness::{self, Way};
/// let calm = completeness::Scenario::default();
/// let report = completeness::run(&calm, Way::DoubtAndProbe, 1);
/// assert_eq!((report.marked_short, report.whole_as_broken), (0, 0));
/// ```
pub fn run(scenario: &Scenario, way: Way, seed: u64) -> Report {
    let mut random = StdRng::seed_from_u64(seed);
    let crashes = crashes(scenario, &mut random);
    let mut simulation = Simulation {
        scenario: *scenario,
        way,
        random,
        busy_until: vec![0; scenario.upstreams],
        crashes,
        queue: collections::BinaryHeap::new(),
        answers: Vec::new(),
        retries: RETRY_SLACK * scenario.hosts as f64,
        report: Report::default(),
    };
    simulation.play();
    simulation.report.gaps_ms.sort_unstable();
    simulation.report
}

/// Returns when each upstream crashes.
fn crashes(scenario: &Scenario, random: &mut StdRng) -> Vec<Vec<u64>> {
    let mut crashes = vec![Vec::new(); scenario.upstreams];
    match scenario.fault {
        Fault::None | Fault::Faulty => {}
        Fault::Fifth => {
            for times in crashes.iter_mut().step_by(5) {
                times.push(RUN_MS / 2);
            }
        }
        Fault::Series | Fault::SeriesUnprobed => {
            for second in 2..18 {
                for _ in 0..scenario.upstreams.div_ceil(10) {
                    let upstream = random.random_range(0..scenario.upstreams);
                    crashes[upstream].push(second * 1_000 + random.random_range(0..1_000));
                }
            }
        }
    }
    for times in &mut crashes {
        times.sort_unstable();
    }
    crashes
}

impl Simulation {
    /// Plays all streams. The random numbers of a stream do not depend on the way.
    fn play(&mut self) {
        let rate = RATE * self.scenario.upstreams as f64 / 1_000.0;
        let mut at = 0.0;
        loop {
            at += -(1.0 - self.random.random::<f64>()).ln() / rate;
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a time")]
            let now = at as u64;
            if now >= RUN_MS {
                break;
            }
            self.end_until(now);
            let stream = self.draw(now);
            self.report.streams += 1;
            self.retries += RETRY_SHARE;
            let mut own = StdRng::seed_from_u64(self.random.random());
            self.send(stream, now, None, &mut own);
        }
        self.end_until(u64::MAX);
    }

    fn draw(&mut self, now: u64) -> Stream {
        let (low, high) = (PROMPT_TOKENS.start.ln(), PROMPT_TOKENS.end.ln());
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "tokens")]
        let tokens = self.random.random_range(low..high).exp() as u64;
        Stream {
            arrived: now,
            tokens,
            resumable: self.random.random_bool(self.scenario.resumable),
            events_left: self.random.random_range(EVENTS),
            first_event: None,
            last_event: now,
            longest_pause: 0,
            cut_at: None,
            attempts: 0,
            promised: completeness::Framing::Chunks,
        }
    }

    /// Sends a stream to the least busy of three upstreams that are up, other than `avoid`.
    fn send(&mut self, mut stream: Stream, now: u64, avoid: Option<usize>, random: &mut StdRng) {
        let candidates: Vec<_> = (0..12)
            .map(|_| random.random_range(0..self.scenario.upstreams))
            .filter(|upstream| Some(*upstream) != avoid && !self.is_down(*upstream, now))
            .take(3)
            .collect();
        let Some(upstream) =
            candidates.into_iter().min_by_key(|upstream| self.busy_until[*upstream])
        else {
            return self.finish_broken(&stream);
        };
        let hop = random.random_range(HOP_MS);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a time")]
        let prefill = (stream.tokens as f64 / PREFILL_PER_MS) as u64;
        let begins = self.busy_until[upstream].max(now + hop) + prefill;
        self.busy_until[upstream] = begins;
        let is_unframed = random.random_bool(self.scenario.unframed);
        let framing = if is_unframed {
            completeness::Framing::Connection
        } else {
            completeness::Framing::Chunks
        };
        if stream.attempts == 0 && is_unframed && self.way.passes_doubt_on() {
            stream.promised = completeness::Framing::Connection;
        }
        stream.attempts += 1;
        let end = self.draw_end(&stream, upstream, now, begins, random);
        self.queue.push(cmp::Reverse((end.at, self.answers.len())));
        self.answers.push(Some(Answer { stream, upstream, framing, begins, hop, end }));
    }

    /// Returns how the answer of `upstream` ends that was asked for at `sent`.
    fn draw_end(
        &self,
        stream: &Stream,
        upstream: usize,
        sent: u64,
        begins: u64,
        random: &mut StdRng,
    ) -> End {
        let crash = self.crashes[upstream].iter().copied().find(|at| *at >= sent);
        let breaks = self.scenario.fault == Fault::Faulty && random.random_bool(FAULTY_SHARE);
        let place = random.random_range(0..stream.events_left.max(1));
        let is_reset = breaks && random.random_bool(0.5);
        let is_inside = random.random_bool(self.scenario.inside);
        let whole_at = begins + EVENT_MS * stream.events_left.saturating_sub(1);
        let own_at = if breaks { begins + EVENT_MS * place } else { whole_at };
        let has_crashed = crash.is_some_and(|crash| crash <= own_at);
        let at = crash.filter(|_| has_crashed).unwrap_or(own_at);
        let is_cut = has_crashed || breaks;
        // The event that is due at the very moment of a cut is cut.
        let written = at.saturating_sub(u64::from(is_cut)).checked_sub(begins);
        let events = written.map_or(0, |since| since / EVENT_MS + 1).min(stream.events_left);
        let is_inside = is_cut && is_inside && events < stream.events_left;
        End { at, events, is_cut, is_reset: is_reset && !has_crashed, is_inside, has_crashed }
    }

    fn is_down(&self, upstream: usize, now: u64) -> bool {
        self.crashes[upstream].iter().any(|at| (*at..at + RESTART_MS).contains(&now))
    }

    fn end_until(&mut self, now: u64) {
        while let Some(cmp::Reverse((at, index))) = self.queue.peek().copied()
            && at <= now
        {
            self.queue.pop();
            if let Some(answer) = self.answers[index].take() {
                self.end(answer);
            }
        }
    }

    /// Ends one answer: what its host concludes, and what follows for the caller.
    fn end(&mut self, answer: Answer) {
        let Answer { mut stream, upstream, framing, begins, hop, end } = answer;
        record_events(&mut stream, begins + 2 * hop, end.events, &mut self.report);
        stream.events_left -= end.events;
        let is_whole = stream.events_left == 0;
        if end.is_cut && stream.attempts == 1 {
            self.report.cut += 1;
        }
        let mut random = StdRng::seed_from_u64(stream.arrived ^ (stream.tokens << 20));
        let (conclusion, probe_ms) = self.conclude(framing, end, hop);
        let at = end.at + hop + probe_ms;
        let is_in_doubt = conclusion == completeness::Completeness::Unknown;
        let passes_doubt_on = is_in_doubt && !stream.promised.marks_end();
        if conclusion == completeness::Completeness::Whole || passes_doubt_on {
            return self.finish(&stream, is_whole);
        }
        let may_resume = stream.resumable && stream.attempts < MAX_ATTEMPTS && self.retries >= 1.0;
        if !may_resume {
            return if is_whole {
                self.finish_whole_as_broken()
            } else {
                self.finish_broken(&stream)
            };
        }
        self.retries -= 1.0;
        self.report.resumed += 1;
        self.report.resumed_whole += u64::from(is_whole);
        self.report.tokens_again += stream.tokens / 1_000;
        stream.cut_at = (!is_whole).then_some(end.at + hop);
        self.send(stream, at, Some(upstream), &mut random);
    }

    /// Returns what the host concludes, and the milliseconds that it takes.
    fn conclude(
        &mut self,
        framing: completeness::Framing,
        end: End,
        hop: u64,
    ) -> (completeness::Completeness, u64) {
        // The end of the connection before that of a framed body is an error, as is a reset.
        if end.is_reset || end.is_cut && framing.marks_end() {
            return (completeness::Completeness::Broken, 0);
        }
        if self.way == Way::Ended {
            return (completeness::Completeness::Whole, 0);
        }
        let content =
            if end.is_inside { completeness::Content::Cut } else { completeness::Content::Silent };
        let mut conclusion = completeness::Conclusion::of_body(framing, content);
        if conclusion.completeness != completeness::Completeness::Unknown {
            return (conclusion.completeness, 0);
        }
        if !self.way.probes() {
            let is_vouched_for = self.way == Way::Content;
            let vouched = completeness::Completeness::Whole;
            return (if is_vouched_for { vouched } else { conclusion.completeness }, 0);
        }
        self.report.probes += 1;
        let process = match self.scenario.fault {
            Fault::SeriesUnprobed => completeness::Process::Unknown,
            _ if end.has_crashed => completeness::Process::Ended,
            _ => completeness::Process::Running,
        };
        conclusion = conclusion.with_process(process);
        let is_vouched_for = self.way == Way::Probed && conclusion.is_deliverable();
        let vouched = completeness::Completeness::Whole;
        (if is_vouched_for { vouched } else { conclusion.completeness }, 2 * hop)
    }

    /// Ends a stream as its caller was promised.
    fn finish(&mut self, stream: &Stream, is_whole: bool) {
        let is_marked = stream.promised.marks_end();
        self.report.connections_closed += u64::from(!is_marked);
        if !is_whole {
            let short = if is_marked {
                &mut self.report.marked_short
            } else {
                &mut self.report.doubtful_short
            };
            *short += 1;
            return;
        }
        let target = TARGETS_MS.iter().find(|(tokens, _)| stream.tokens < *tokens);
        let target = target.map_or(0, |(_, target)| *target);
        let first = stream.first_event.unwrap_or(stream.arrived) - stream.arrived;
        if first <= target && stream.longest_pause <= MAX_PAUSE_MS {
            self.report.in_time += 1;
        } else {
            self.report.late += 1;
        }
    }

    fn finish_broken(&mut self, stream: &Stream) {
        self.report.broken += 1;
        self.report.connections_closed += u64::from(stream.first_event.is_some());
    }

    fn finish_whole_as_broken(&mut self) {
        self.report.whole_as_broken += 1;
        self.report.connections_closed += 1;
    }
}

/// Records that the caller gets `events` events from `first` on.
fn record_events(stream: &mut Stream, first: u64, events: u64, report: &mut Report) {
    if events == 0 {
        return;
    }
    if let Some(cut_at) = stream.cut_at.take() {
        report.gaps_ms.push(first.saturating_sub(cut_at));
    }
    if stream.first_event.is_some() {
        stream.longest_pause = stream.longest_pause.max(first.saturating_sub(stream.last_event));
    }
    stream.first_event.get_or_insert(first);
    stream.last_event = first + EVENT_MS * (events - 1);
}
