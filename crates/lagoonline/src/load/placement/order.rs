//! Order in which prompts get room while engines lack it for all that wait.
//!
//! Load pattern: prompts of several urgencies and of many customers, a few of them large, ask for
//! more than the engines can do. If whoever asks first after a slot becomes free got it, a customer
//! with half of the demand would get half of the engines, and urgent prompts would wait as long as
//! all others. Here a class of equal urgency gets a weighted share, within a class each customer
//! gets an equal one, and within a customer smaller and earlier prompts come first. Shares are
//! measured in engine time, which fades within seconds: a customer that was alone for a while does
//! not pay for it afterwards, and a less urgent class is served before its past share reaches zero.

use std::cmp;
use std::collections;

use sha2::Digest as _;

use crate::clock;
use crate::id;

/// Time in seconds after which charged engine time counts about a third: longer than most answers,
/// so that a customer's answers in decode count, and short enough to follow a mix that changes
/// within seconds.
const FADE_SECONDS: f64 = 3.0;
/// Weight of a class relative to that of the next less urgent one that waits. The least urgent of
/// three gets one part in 73 of the engine time while all of them always wait.
const STEP_WEIGHT: f64 = 8.0;
/// Accounts that are remembered. Beyond it the one with the smallest charge is forgotten.
const MAX_ACCOUNTS: usize = 1_024;
/// Charged engine time in milliseconds below which an account is forgotten if there are too many.
const NEGLIGIBLE_MS: f64 = 1.0;

/// The room that a waiting prompt lacks. Prompts that lack the same wait for each other.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum Room {
    /// A slot, for prompts with a tight gap limit.
    Slot,
    /// Prefill time, memory or slack in gap limits, for prompts with a loose gap limit.
    Prefill,
}

/// Whom engine time is charged to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Account {
    pub(super) room: Room,
    pub(super) urgency: u32,
    /// [`customer_number`] of the customer.
    pub(super) customer: u32,
}

/// Number that stands for a customer in messages between hosts; 0 for none.
///
/// ```
/// use lagoonline::{id, load::placement};
/// let (first, second) = (id::Customer::from("acme"), id::Customer::from("zenith"));
/// assert_eq!(placement::customer_number(Some(&first)), placement::customer_number(Some(&first)));
/// assert_ne!(placement::customer_number(Some(&first)), placement::customer_number(Some(&second)));
/// assert_eq!(placement::customer_number(None), 0);
/// ```
pub fn customer_number(customer: Option<&id::Customer>) -> u32 {
    let Some(customer) = customer else { return 0 };
    let digest = sha2::Sha256::digest(customer.as_str().as_bytes());
    u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// A prompt that wants room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Claim {
    pub(super) account: Account,
    /// Engine time in milliseconds that is charged for it.
    pub(super) cost_ms: f64,
    /// Prefill time on one engine in milliseconds.
    pub(super) prefill_ms: f64,
    /// Memory in tokens for its prompt and its answer.
    pub(super) tokens: u64,
    /// Sequence number in the order in which prompts began to wait; `u64::MAX` before that.
    pub(super) arrival: u64,
    /// Whether its caller was refused and came back at the time that it was told.
    pub(super) has_returned: bool,
}

impl Claim {
    /// Orders the prompts of one customer.
    fn cmp_within_customer(&self, other: &Claim) -> cmp::Ordering {
        let by_return = other.has_returned.cmp(&self.has_returned);
        let by_size = self.cost_ms.total_cmp(&other.cost_ms);
        by_return.then(by_size).then(self.arrival.cmp(&other.arrival))
    }
}

/// An amount of engine time that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Charge {
    /// Milliseconds as of `at`.
    sum_ms: f64,
    at: clock::Moment,
}

impl Charge {
    fn faded_ms(&self, now: clock::Moment) -> f64 {
        self.sum_ms * (-now.since(self.at).as_secs_f64() / FADE_SECONDS).exp()
    }

    fn add(&mut self, engine_ms: f64, now: clock::Moment) {
        self.sum_ms = self.faded_ms(now) + engine_ms;
        self.at = self.at.max(now);
    }
}

/// Engine time that classes and customers got recently, in all zones as far as this host was told.
#[derive(Clone, Debug, Default)]
pub(super) struct Charges {
    classes: collections::HashMap<(Room, u32), Charge>,
    accounts: collections::HashMap<Account, Charge>,
}

impl Charges {
    /// Charges `engine_ms` milliseconds of engine time.
    pub(super) fn add(&mut self, account: Account, engine_ms: f64, now: clock::Moment) {
        self.classes.entry((account.room, account.urgency)).or_default().add(engine_ms, now);
        self.accounts.entry(account).or_default().add(engine_ms, now);
        if self.accounts.len() > MAX_ACCOUNTS {
            self.drop_smallest(now);
        }
    }

    fn drop_smallest(&mut self, now: clock::Moment) {
        self.classes.retain(|_, charge| charge.faded_ms(now) > NEGLIGIBLE_MS);
        self.accounts.retain(|_, charge| charge.faded_ms(now) > NEGLIGIBLE_MS);
        if self.accounts.len() > MAX_ACCOUNTS {
            let faded = |charge: &Charge| charge.faded_ms(now);
            let smallest = self.accounts.iter().min_by(|a, b| faded(a.1).total_cmp(&faded(b.1)));
            if let Some(smallest) = smallest.map(|(account, _)| *account) {
                self.accounts.remove(&smallest);
            }
        }
    }

    fn of_account_ms(&self, account: Account, now: clock::Moment) -> f64 {
        self.accounts.get(&account).map_or(0.0, |charge| charge.faded_ms(now))
    }

    fn of_class_ms(&self, account: Account, now: clock::Moment) -> f64 {
        let class = (account.room, account.urgency);
        self.classes.get(&class).map_or(0.0, |charge| charge.faded_ms(now))
    }

    /// Sorts `claims`, which all want the same kind of room, in the order in which they get it.
    ///
    /// Each claim gets a tag: the engine time that its customer has had when its turn comes, and
    /// then that of its class divided by the weight of the class. The lowest tag goes first.
    pub(super) fn arrange(&self, mut claims: Vec<Claim>, now: clock::Moment) -> Vec<Claim> {
        claims.sort_by(|a, b| a.account.cmp(&b.account).then(a.cmp_within_customer(b)));
        let start = |account| self.of_account_ms(account, now);
        let mut tagged = tag(claims, |claim| claim.account, start, |_| 1.0);
        tagged.sort_by(|(a_tag, a), (b_tag, b)| {
            let by_class = a.account.urgency.cmp(&b.account.urgency);
            let by_return = b.has_returned.cmp(&a.has_returned);
            let by_tag = a_tag.total_cmp(b_tag);
            by_class.then(by_return).then(by_tag).then(a.cmp_within_customer(b))
        });
        let claims: Vec<Claim> = tagged.into_iter().map(|(_, claim)| claim).collect();
        let mut urgencies: Vec<u32> = claims.iter().map(|claim| claim.account.urgency).collect();
        urgencies.dedup();
        let weight = |claim: &Claim| {
            let steps = urgencies.iter().position(|urgency| *urgency == claim.account.urgency);
            STEP_WEIGHT.powi(-(steps.unwrap_or(0) as i32))
        };
        let start = |account| self.of_class_ms(account, now);
        let mut tagged = tag(claims, |claim| claim.account.urgency, start, weight);
        // A stable sort keeps the order within a class, and the more urgent first at equal tags.
        tagged.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        tagged.into_iter().map(|(_, claim)| claim).collect()
    }
}

/// Gives each of `claims`, sorted by `group`, the engine time that its group has had when its turn
/// comes, divided by its weight.
fn tag<Group, Key, Start, Weight>(
    claims: Vec<Claim>,
    group: Group,
    start: Start,
    weight: Weight,
) -> Vec<(f64, Claim)>
where
    Group: Fn(&Claim) -> Key,
    Key: PartialEq,
    Start: Fn(Account) -> f64,
    Weight: Fn(&Claim) -> f64,
{
    let mut current: Option<Key> = None;
    let mut used_ms = 0.0;
    let tagged = claims.into_iter().map(|claim| {
        let key = group(&claim);
        if current.as_ref() != Some(&key) {
            used_ms = start(claim.account);
            current = Some(key);
        }
        let tag = used_ms / weight(&claim);
        used_ms += claim.cost_ms;
        (tag, claim)
    });
    tagged.collect()
}
