//! A fake engine: a prefill rate, a number of slots, a KV memory.

use std::cmp;
use std::collections;

use lagoonline::clock;
use lagoonline::port::engine;

/// Prefill tokens of one step.
pub const CHUNK: u64 = 1_024;
/// Requests that may wait inside an engine before it answers that it is full.
const WAITING: usize = 64;
/// Prefixes that an engine keeps.
const CACHED: usize = 2_000;

/// A request inside an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the request.
    pub request: usize,
    /// Which of its attempts.
    pub attempt: u32,
    /// Higher goes first.
    pub priority: u8,
    /// Order of coming.
    pub sequence: u64,
    /// Prompt tokens still to prefill.
    pub left: u64,
    /// KV memory that it takes here.
    pub kv: u64,
}

impl Job {
    fn rank(&self) -> (u8, cmp::Reverse<u64>) {
        (self.priority, cmp::Reverse(self.sequence))
    }
}

impl PartialEq for Job {
    fn eq(&self, other: &Job) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for Job {}

impl PartialOrd for Job {
    fn partial_cmp(&self, other: &Job) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Job {
    fn cmp(&self, other: &Job) -> cmp::Ordering {
        self.rank().cmp(&other.rank())
    }
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Prefill tokens a second.
    pub rate: f64,
    /// Factor by which everything takes longer; its reports do not say so.
    pub slow: f64,
    /// Requests in its batch at most.
    pub slots: u32,
    /// KV memory in tokens.
    pub kv: u64,
    /// Whether it lives.
    pub alive: bool,
    /// Its life, counted from 1.
    pub incarnation: u64,
    /// KV memory in use.
    pub kv_used: u64,
    /// Requests in its batch.
    pub running: u32,
    waiting: collections::BinaryHeap<Job>,
    prefill: collections::BinaryHeap<Job>,
    step: Option<(Job, u64)>,
    cached: collections::VecDeque<u64>,
    known: collections::HashSet<u64>,
    reports: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(rate: f64, slots: u32, kv: u64) -> Self {
        Engine {
            rate,
            slow: 1.0,
            slots,
            kv,
            alive: true,
            incarnation: 1,
            kv_used: 0,
            running: 0,
            waiting: collections::BinaryHeap::new(),
            prefill: collections::BinaryHeap::new(),
            step: None,
            cached: collections::VecDeque::new(),
            known: collections::HashSet::new(),
            reports: 0,
        }
    }

    /// Takes a job in, or says that it is full.
    pub fn accept(&mut self, job: Job) -> bool {
        if self.waiting.len() >= WAITING {
            return false;
        }
        self.waiting.push(job);
        self.fill();
        true
    }

    /// Starts a step if there is work and none is under way: when it ends.
    pub fn start(&mut self, now: clock::Moment) -> Option<clock::Moment> {
        if self.step.is_some() {
            return None;
        }
        let job = self.prefill.pop()?;
        let tokens = job.left.min(CHUNK);
        let seconds = tokens as f64 / self.rate * self.slow;
        self.step = Some((job, tokens));
        Some(now + clock::Span::from_secs_f64(seconds))
    }

    /// Ends the step: the job whose prefill is complete, if one is.
    pub fn end_step(&mut self) -> Option<Job> {
        let (mut job, tokens) = self.step.take()?;
        job.left -= tokens;
        if job.left == 0 {
            return Some(job);
        }
        self.prefill.push(job);
        None
    }

    /// A job of the batch ended.
    pub fn release(&mut self, kv: u64) {
        self.running -= 1;
        self.kv_used -= kv;
        self.fill();
    }

    /// Takes memory for a span of a prompt that another engine answers.
    pub fn reserve(&mut self, kv: u64) -> bool {
        let fits = self.kv_used + kv <= self.kv;
        if fits {
            self.kv_used += kv;
        }
        fits
    }

    /// Gives it back.
    pub fn unreserve(&mut self, kv: u64) {
        self.kv_used -= kv;
        self.fill();
    }

    /// Dies: all that it held is gone. Names those that had not ended their prefill.
    pub fn die(&mut self) -> Vec<Job> {
        let mut lost: Vec<Job> = self.waiting.drain().chain(self.prefill.drain()).collect();
        lost.extend(self.step.take().map(|(job, _)| job));
        (self.alive, self.kv_used, self.running) = (false, 0, 0);
        self.cached.clear();
        self.known.clear();
        lost
    }

    /// Comes back empty, in a new life.
    pub fn revive(&mut self) {
        self.alive = true;
        self.incarnation += 1;
    }

    /// Tokens of the longest cached prefix.
    pub fn cached_tokens(&self, prefixes: &[(u64, u64)]) -> u64 {
        let cached = prefixes.iter().filter(|(hash, _)| self.known.contains(hash));
        cached.map(|(_, tokens)| *tokens).max().unwrap_or(0)
    }

    /// Keeps the prompt's prefixes.
    pub fn cache(&mut self, prefixes: &[(u64, u64)]) {
        for (hash, _) in prefixes {
            if self.known.insert(*hash) {
                self.cached.push_back(*hash);
            }
        }
        while self.cached.len() > CACHED {
            let oldest = self.cached.pop_front();
            oldest.map(|hash| self.known.remove(&hash));
        }
    }

    /// What it reports.
    pub fn load(&mut self) -> engine::LoadReport {
        self.reports += 1;
        let step = self.step.iter().map(|(job, _)| job.left).sum::<u64>();
        let left =
            |jobs: &collections::BinaryHeap<Job>| jobs.iter().map(|job| job.left).sum::<u64>();
        engine::LoadReport {
            running: self.running,
            waiting: self.waiting.len() as u32,
            prefill_tokens: step + left(&self.prefill) + left(&self.waiting),
            kv_free_tokens: self.kv - self.kv_used,
            kv_tokens: self.kv,
            prefill_rate: self.rate,
            sequence: self.reports,
            incarnation: self.incarnation,
        }
    }

    fn fill(&mut self) {
        while let Some(job) = self.waiting.peek()
            && self.running < self.slots
            && self.kv_used + job.kv <= self.kv
        {
            self.running += 1;
            self.kv_used += job.kv;
            self.prefill.extend(self.waiting.pop());
        }
    }
}
