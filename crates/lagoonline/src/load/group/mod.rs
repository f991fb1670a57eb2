//! Placement of prompts that no single engine can hold.
//!
//! Load pattern: several prompts of twice an engine's memory at once. If memory were taken engine
//! by engine, each prompt could hold half of what it needs and none could start. Members are
//! therefore chosen all or nothing while the caller holds its lock, and are listed in one order for
//! all groups, that in which the caller numbers the engines.

pub mod arbiter;

/// Most engines in one group. It is bounded because each further engine adds network links between
/// the members; a prompt of over twice one engine's memory needs three.
pub const MAX_ENGINES: usize = 8;

/// Engines of a group, by their indices in ascending order, and the tokens that each holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    allocations: [(usize, u64); MAX_ENGINES],
    length: usize,
}

impl Plan {
    /// The members, each with the tokens that it holds.
    pub fn allocations(&self) -> &[(usize, u64)] {
        &self.allocations[..self.length]
    }
}

/// Tokens that the largest possible group of engines of these sizes holds.
///
/// ```
/// use lagoonline::load::group;
/// assert_eq!(group::capacity([5; 20]), 40);
/// ```
pub fn capacity<I>(sizes: I) -> u64
where
    I: IntoIterator<Item = u64>,
{
    let mut sizes: Vec<u64> = sizes.into_iter().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    sizes.into_iter().take(MAX_ENGINES).sum()
}

/// The fewest engines whose free memory holds `need` tokens; none if they cannot.
///
/// ```
/// use lagoonline::load::group;
/// let free = [400, 100, 300, 400];
/// let plan = group::plan(1_000, free.len(), |engine| free[engine]).unwrap();
/// assert_eq!(plan.allocations(), [(0, 400), (2, 200), (3, 400)]);
/// assert!(group::plan(1_300, free.len(), |engine| free[engine]).is_none());
/// ```
pub fn plan<F>(need: u64, engines: usize, free: F) -> Option<Plan>
where
    F: Fn(usize) -> u64,
{
    let mut plan = Plan::default();
    let mut left = need;
    while left > 0 && plan.length < MAX_ENGINES {
        let taken = |engine: &usize| plan.allocations().iter().any(|(other, _)| other == engine);
        let rest = (0..engines).filter(|engine| !taken(engine));
        let best = rest.max_by_key(|&engine| (free(engine), engines - engine))?;
        let allocation = free(best).min(left);
        if allocation == 0 {
            return None;
        }
        plan.allocations[plan.length] = (best, allocation);
        plan.length += 1;
        left -= allocation;
    }
    let length = plan.length;
    plan.allocations[..length].sort_unstable();
    if left == 0 { Some(plan) } else { None }
}
