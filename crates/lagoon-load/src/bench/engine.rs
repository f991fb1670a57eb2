//! Simulated engine: a prefill rate, a number of slots and a KV cache.

use std::cmp;
use std::collections;

use lagoonline::clock;
use lagoonline::port::engine;

/// Maximum number of tokens prefilled in one step.
pub const MAX_STEP_TOKENS: u64 = 1_024;
/// Maximum length of an engine's queue; beyond it the engine rejects requests as full.
const MAX_WAITING: usize = 64;

/// An attempt of a request inside an engine. Ordered by priority, then first come, first served.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the request.
    pub request: usize,
    /// Attempt number of the request, counted from 1.
    pub attempt: u32,
    /// Priority; higher values are served first.
    pub priority: u8,
    /// Order of arrival in the run; lower values are served first within a priority.
    pub sequence: u64,
    /// Prompt tokens not yet prefilled.
    pub prefill_left: u64,
    /// KV memory that it reserves on this engine, in tokens.
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

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Prefill rate, in tokens per second.
    pub rate: f64,
    /// Factor on all step times; load reports still state the nominal rate.
    pub slowdown: f64,
    /// Maximum batch size.
    pub slots: u32,
    /// KV cache size, in tokens.
    pub kv_tokens: u64,
    /// Whether the engine is up.
    pub alive: bool,
    /// Number of the engine's current incarnation, counted from 1.
    pub incarnation: u64,
    /// KV memory in use, in tokens.
    pub kv_used: u64,
    /// Current batch size.
    pub running: u32,
    /// Queue of jobs outside the batch.
    waiting: collections::BinaryHeap<Job>,
    /// Jobs of the batch with unfinished prefill.
    prefill: collections::BinaryHeap<Job>,
    /// Job of the current prefill step, and the number of tokens of the step.
    step: Option<(Job, u64)>,
    /// Cached parts of prompts as hash and length in tokens, least recently used first. They fill
    /// the memory that requests leave free.
    cache: collections::VecDeque<(u64, u64)>,
    /// Number of cached parts that belong to one prompt only, from which their hashes are made.
    own_parts: u64,
    report_sequence: u64,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(rate: f64, slots: u32, kv_tokens: u64) -> Self {
        Engine {
            rate,
            slowdown: 1.0,
            slots,
            kv_tokens,
            alive: true,
            incarnation: 1,
            kv_used: 0,
            running: 0,
            waiting: collections::BinaryHeap::new(),
            prefill: collections::BinaryHeap::new(),
            step: None,
            cache: collections::VecDeque::new(),
            own_parts: 0,
            report_sequence: 0,
        }
    }

    /// Queues a job; returns whether the queue had room.
    pub fn accept(&mut self, job: Job) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            return false;
        }
        self.waiting.push(job);
        self.admit_waiting();
        true
    }

    /// Starts a prefill step if there is work and no step is in progress; returns when it ends.
    pub fn start_step(&mut self, now: clock::Moment) -> Option<clock::Moment> {
        if self.step.is_some() {
            return None;
        }
        let job = self.prefill.pop()?;
        let tokens = job.prefill_left.min(MAX_STEP_TOKENS);
        let seconds = tokens as f64 / self.rate * self.slowdown;
        self.step = Some((job, tokens));
        Some(now + clock::Span::from_secs_f64(seconds))
    }

    /// Completes the current step; returns its job if the prefill is finished.
    pub fn end_step(&mut self) -> Option<Job> {
        let (mut job, tokens) = self.step.take()?;
        job.prefill_left -= tokens;
        if job.prefill_left == 0 {
            return Some(job);
        }
        self.prefill.push(job);
        None
    }

    /// Removes a finished job from the batch and frees its KV memory.
    pub fn release(&mut self, kv: u64) {
        self.running -= 1;
        self.kv_used -= kv;
        self.admit_waiting();
    }

    /// Reserves KV memory for a request on this engine as a member of a group, in which another
    /// engine generates the answer; returns whether it fits.
    pub fn reserve(&mut self, kv: u64) -> bool {
        let fits = self.kv_used + kv <= self.kv_tokens;
        if fits {
            self.kv_used += kv;
            self.evict();
        }
        fits
    }

    /// Frees memory taken by [`Engine::reserve`].
    pub fn unreserve(&mut self, kv: u64) {
        self.kv_used -= kv;
        self.admit_waiting();
    }

    /// Crashes the engine and clears its state; returns the jobs that had not finished prefill.
    pub fn crash(&mut self) -> Vec<Job> {
        let mut lost: Vec<Job> = self.waiting.drain().chain(self.prefill.drain()).collect();
        lost.extend(self.step.take().map(|(job, _)| job));
        (self.alive, self.kv_used, self.running) = (false, 0, 0);
        self.cache.clear();
        lost
    }

    /// Restarts a crashed engine with empty memory, in a new incarnation.
    pub fn restart(&mut self) {
        self.alive = true;
        self.incarnation += 1;
    }

    /// Returns the length in tokens of the longest cached prefix among `prefixes`, which counts as
    /// used.
    pub fn use_cached(&mut self, prefixes: &[(u64, u64)]) -> u64 {
        let cached = prefixes.iter().filter(|prefix| self.cache.contains(prefix));
        let Some(&longest) = cached.max_by_key(|(_, tokens)| *tokens) else { return 0 };
        self.keep(&[longest]);
        longest.1
    }

    /// Adds a prompt of `tokens` to the prefix cache. What follows its shared prefixes is evicted
    /// before them.
    pub fn cache(&mut self, prefixes: &[(u64, u64)], tokens: u64) {
        let shared = prefixes.iter().map(|(_, tokens)| *tokens).max().unwrap_or(0);
        self.own_parts += 1;
        // Hashes of shared prefixes are small numbers.
        self.cache.push_back((u64::MAX - self.own_parts, tokens.saturating_sub(shared)));
        self.keep(prefixes);
    }

    /// Makes parts of prompts the most recently used ones.
    fn keep(&mut self, prefixes: &[(u64, u64)]) {
        self.cache.retain(|cached| !prefixes.contains(cached));
        self.cache.extend(prefixes);
        self.evict();
    }

    /// Returns a load report and advances its sequence number.
    pub fn load_report(&mut self) -> engine::LoadReport {
        self.report_sequence += 1;
        let step = self.step.iter().map(|(job, _)| job.prefill_left).sum::<u64>();
        let prefill_left = |jobs: &collections::BinaryHeap<Job>| {
            jobs.iter().map(|job| job.prefill_left).sum::<u64>()
        };
        engine::LoadReport {
            running: self.running,
            waiting: self.waiting.len() as u32,
            prefill_tokens: step + prefill_left(&self.prefill) + prefill_left(&self.waiting),
            kv_free_tokens: self.kv_tokens - self.kv_used,
            kv_tokens: self.kv_tokens,
            prefill_rate: self.rate,
            sequence: self.report_sequence,
            incarnation: self.incarnation,
        }
    }

    /// Moves queued jobs into the batch while slots and KV memory last.
    fn admit_waiting(&mut self) {
        while let Some(job) = self.waiting.peek()
            && self.running < self.slots
            && self.kv_used + job.kv <= self.kv_tokens
        {
            self.running += 1;
            self.kv_used += job.kv;
            self.prefill.extend(self.waiting.pop());
        }
        self.evict();
    }

    /// Evicts the least recently used prefixes until the others fit beside the requests.
    fn evict(&mut self) {
        let mut cached: u64 = self.cache.iter().map(|(_, tokens)| tokens).sum();
        while cached > self.kv_tokens - self.kv_used
            && let Some((_, tokens)) = self.cache.pop_front()
        {
            cached -= tokens;
        }
    }
}
