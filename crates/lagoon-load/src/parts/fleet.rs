//! Prompts as callers send them.

use std::sync;

use lagoonline::clock;
use lagoonline::id;
use lagoonline::lifecycle::fingerprint::Fingerprint;
use lagoonline::lifecycle::quarantine::{Prompt, Suspect, Weight};
use rand::Rng;
use rand::rngs::StdRng;

use super::scenario::{Attack, Scenario};

/// When lethal prompts and faults begin.
pub(super) const ATTACK_MS: u64 = 8_000;
/// When the part of [`Attack::Late`] becomes lethal.
pub(super) const LATE_MS: u64 = 16_000;
/// Numbers of customers, of first parts and of other parts, a few of which are in most prompts.
const CUSTOMERS: usize = 12;
const FIRST_PARTS: usize = 6;
const OTHER_PARTS: usize = 40;
/// Share of the sound prompts that hold the part of [`Attack::Late`], and the companion.
const LATE_SHARE: f64 = 0.2;
const COMPANION_SHARE: f64 = 0.01;
/// First part of lethal prompts.
const NEAR: &str = "f0";
const COMPANION: &str = "c0";

/// Draws from `count` things, the first ones most often.
fn skewed(random: &mut StdRng, count: usize) -> usize {
    let draw: f64 = random.random_range(0.0..1.0);
    // The first of twelve is drawn in 0.42 of the cases.
    ((count as f64 + 1.0).powf(draw.powf(1.5)) - 1.0) as usize
}

/// Draws a sound prompt, or a lethal one.
pub(super) fn draw(random: &mut StdRng, scenario: &Scenario, is_lethal: bool, now: u64) -> Suspect {
    let customer = match scenario.attack {
        Attack::OneCustomer if is_lethal => 0,
        _ => skewed(random, CUSTOMERS),
    };
    let first = format!("f{}", skewed(random, FIRST_PARTS));
    let others = [0, 1, 1, 2][random.random_range(0..4)];
    let mut parts: Vec<_> =
        (0..others).map(|_| format!("b{}", skewed(random, OTHER_PARTS))).collect();
    let (late, beside) = (random.random_bool(LATE_SHARE), random.random_bool(COMPANION_SHARE));
    let which = random.random::<u32>() as usize;
    match (scenario.attack, is_lethal) {
        (Attack::First, true) => parts.insert(0, "d0".to_owned()),
        (attack, true) => {
            parts.insert(0, NEAR.to_owned());
            if attack == Attack::Companion {
                parts.push(COMPANION.to_owned());
            }
            let count = if let Attack::Several(count) = attack { count } else { 1 };
            parts.push(format!("d{}", which % count));
        }
        (attack, false) => {
            parts.insert(0, first);
            if attack == Attack::Late && now < LATE_MS && late {
                parts.push("d0".to_owned());
            }
            if attack == Attack::Companion && beside {
                parts.push(COMPANION.to_owned());
            }
        }
    }
    let number: u64 = random.random();
    let prompt = Prompt {
        customer: id::Customer::from(format!("c{customer}")),
        parts: parts.into_iter().map(id::Part::from).collect::<sync::Arc<[_]>>(),
    };
    let fingerprint = Fingerprint::new(prompt.customer.as_str(), "/", &number.to_le_bytes());
    Suspect { fingerprint, weight: Weight::Started, prompt }
}

/// Returns the number of the lethal part that `prompt` holds at `now`, if any.
pub(super) fn lethal_part(scenario: &Scenario, prompt: &Prompt, now: u64) -> Option<usize> {
    if scenario.attack == Attack::None || scenario.attack == Attack::Late && now < LATE_MS {
        return None;
    }
    prompt.parts.iter().find_map(|part| part.as_str().strip_prefix('d')?.parse().ok())
}

/// Whether a sound prompt shares the first part of the lethal ones.
pub(super) fn is_near(prompt: &Prompt) -> bool {
    prompt.parts.first().is_some_and(|part| part.as_str() == NEAR)
}

pub(super) fn moment(now: u64) -> clock::Moment {
    clock::Moment::from_millis(now)
}
