//! Moves of engines between models: hysteresis, the weight store's rate, claims.

use std::collections;

use lagoonline::clock::{Moment, Span};
use lagoonline::id;
use lagoonline::load::rebalance::{self, Demand, Engine, Rebalancer};

const WEIGHT_BYTES: u64 = 16_000;
const STORE_RATE: f64 = 1_000.0;

fn engines(models: &[&str]) -> Vec<Engine> {
    let engine = |(index, model): (usize, &&str)| Engine {
        name: id::Upstream::from(format!("e{index}")),
        model: id::Model::from(*model),
        since: Moment::START,
        moving: false,
        requests: 0,
    };
    models.iter().enumerate().map(engine).collect()
}

fn demands(list: &[(&str, f64, u32)]) -> collections::BTreeMap<id::Model, Demand> {
    let demand = |&(model, engines, claimed): &(&str, f64, u32)| {
        (id::Model::from(model), Demand { engines, claimed, weight_bytes: WEIGHT_BYTES })
    };
    list.iter().map(demand).collect()
}

fn at(seconds: u64) -> Moment {
    Moment::START + Span::from_secs(seconds)
}

/// Simulates `seconds` from `start` with one decision per second, and lists the moves with their
/// times.
fn simulate(
    rebalancer: &mut Rebalancer,
    start: u64,
    seconds: u64,
    engines: &mut [Engine],
    demands: &collections::BTreeMap<id::Model, Demand>,
) -> Vec<(u64, String)> {
    let mut moves = Vec::new();
    for second in start..start + seconds {
        while let Some(order) = rebalancer.next(at(second), demands, engines) {
            let engine = engines.iter_mut().find(|engine| engine.name == order.engine).unwrap();
            engine.model = order.to.clone();
            engine.since = at(second);
            moves.push((second, order.to.to_string()));
        }
    }
    moves
}

// Guards against moving engines for a burst of twenty seconds.
#[test]
fn a_burst_moves_nothing() {
    let mut engines = engines(&["a", "a", "a", "b"]);
    let mut rebalancer = Rebalancer::new(STORE_RATE);
    let (burst, calm) = (demands(&[("a", 0.5, 0), ("b", 3.0, 0)]), demands(&[("a", 0.5, 0)]));
    for start in [1_000, 1_040, 1_080] {
        assert_eq!(simulate(&mut rebalancer, start, 20, &mut engines, &burst), []);
        assert_eq!(simulate(&mut rebalancer, start + 20, 20, &mut engines, &calm), []);
        // The demand for `b` falls, which ends its shortage.
        rebalancer.next(at(start + 39), &demands(&[("b", 0.1, 0)]), &engines);
    }
}

// Lasting demand moves engines one by one, no faster than the weight store serves them.
#[test]
fn lasting_demand_moves_engines_within_the_stores_rate() {
    let mut engines = engines(&["a", "a", "a", "a", "a", "b"]);
    let mut rebalancer = Rebalancer::new(STORE_RATE);
    let demands = demands(&[("a", 0.5, 0), ("b", 4.0, 0)]);
    let moves = simulate(&mut rebalancer, 1_000, 300, &mut engines, &demands);
    assert_eq!(moves.len(), 3);
    let gaps = moves.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(gaps.into_iter().all(|gap| gap >= WEIGHT_BYTES / 1_000), "{moves:?}");
}

// Guards against repeated moves of an engine when demand swings every minute: an engine that has
// moved stays for the minimum time, so each loads weights at most twice in ten minutes, not ten
// times.
#[test]
fn swinging_demand_does_not_move_an_engine_back_and_forth() {
    let mut engines = engines(&["a", "a", "b", "b"]);
    let mut rebalancer = Rebalancer::new(STORE_RATE);
    let to_a = demands(&[("a", 3.5, 0), ("b", 0.4, 0)]);
    let to_b = demands(&[("a", 0.4, 0), ("b", 3.5, 0)]);
    let mut moved: collections::BTreeMap<id::Upstream, Moment> = collections::BTreeMap::new();
    for minute in 0..10 {
        let demands = if minute % 2 == 0 { &to_a } else { &to_b };
        for second in 1_000 + 60 * minute..1_060 + 60 * minute {
            let before: Vec<_> = engines.iter().map(|engine| engine.model.clone()).collect();
            simulate(&mut rebalancer, second, 1, &mut engines, demands);
            let changed = engines.iter().zip(before).filter(|(engine, old)| engine.model != *old);
            for (engine, _) in changed {
                let last = moved.insert(engine.name.clone(), at(second));
                let stayed = last.is_none_or(|last| at(second).since(last) >= rebalance::MIN_STAY);
                assert!(stayed, "{} moved again at {second}", engine.name);
            }
        }
    }
    assert!(!moved.is_empty());
}

// Guards against a claim that waits for its lent engines: when the team's load returns it has an
// engine again within the documented time, although the borrower is busy and has just got it.
#[test]
fn a_claim_gets_its_engine_back_in_time() {
    let mut engines = engines(&["b", "b", "b"]);
    let mut rebalancer = Rebalancer::new(STORE_RATE);
    let demands = demands(&[("a", 1.0, 1), ("b", 3.0, 1)]);
    let moves = simulate(
        &mut rebalancer,
        10,
        rebalance::MAX_RETURN_DELAY.as_secs(),
        &mut engines,
        &demands,
    );
    assert_eq!(moves, [(10, "a".to_owned())]);
}

// The same while the weight store is busy with a load for a model without a claim, for which the
// claim must not wait.
#[test]
fn a_claim_does_not_wait_for_the_weight_store() {
    let mut engines = engines(&["b", "b", "b", "c", "c", "c"]);
    let mut rebalancer = Rebalancer::new(1.0);
    let lent = demands(&[("b", 5.0, 0), ("c", 0.5, 0)]);
    assert_eq!(simulate(&mut rebalancer, 1_000, 31, &mut engines, &lent).len(), 1);
    let claimed = demands(&[("a", 1.0, 1), ("b", 5.0, 0), ("c", 0.5, 0)]);
    let moves = simulate(
        &mut rebalancer,
        1_031,
        rebalance::MAX_RETURN_DELAY.as_secs(),
        &mut engines,
        &claimed,
    );
    assert_eq!(moves, [(1_031, "a".to_owned())]);
}
