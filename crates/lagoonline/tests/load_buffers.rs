//! Who gives way when a host holds as many bytes as it may, and who does not.

use lagoonline::clock::{Moment, Span};
use lagoonline::load::buffers::{Ledger, Settings};

const BOUND: usize = 10_000_000;

fn at(millis: u64) -> Moment {
    Moment::START + Span::from_millis(millis)
}

fn ledger() -> Ledger {
    Ledger::new(Settings::default(), BOUND)
}

// Guards against cutting off a caller that reads, however much it holds, or one whose request is
// merely large, in place of the one that has taken nothing for the longest time.
#[test]
fn the_longest_idle_caller_gives_way() {
    let mut ledger = ledger();
    let holders: Vec<_> = (0..4).map(|_| ledger.open(at(0))).collect();
    let [large, reading, idle, idler] = holders[..] else { unreachable!() };
    ledger.keep(large, 4_000_000);
    ledger.wait(reading, 5_000_000, at(0));
    ledger.wait(idler, 500_000, at(100));
    ledger.wait(idle, 500_000, at(200));
    ledger.take(reading, 1, at(3_000));
    assert_eq!(ledger.cut(at(3_000)), Some(idler));
    // What the first one is about to release is not enough.
    ledger.wait(reading, 1_000_000, at(3_000));
    assert_eq!(ledger.cut(at(3_000)), Some(idle));
    ledger.wait(reading, 1_000_000, at(3_000));
    assert_eq!(ledger.cut(at(3_000)), None, "all others make progress");
    ledger.close(idle);
    ledger.close(idler);
    ledger.close(large);
    assert!(ledger.admits(1_000_000));
}

// Guards against a second caller that is cut off while the first one's memory is being released.
#[test]
fn no_more_are_cut_than_needed() {
    let mut ledger = ledger();
    let holders: Vec<_> = (0..100).map(|_| ledger.open(at(0))).collect();
    for holder in &holders {
        ledger.wait(*holder, 100_000, at(0));
    }
    let cut = (0..1_000).filter(|_| ledger.cut(at(9_000)).is_some()).count();
    let needed = (ledger.held() - BOUND).div_ceil(100_000 + Settings::default().request_bytes);
    assert_eq!(cut, needed);
}

// Guards against bytes that are counted twice or never released, by which a host would refuse
// requests for ever.
#[test]
fn a_host_without_requests_holds_nothing() {
    let mut ledger = ledger();
    for round in 0..100 {
        let holder = ledger.open(at(round));
        ledger.receive(holder, 700, at(round));
        ledger.complete(holder);
        ledger.keep(holder, 300);
        ledger.release(holder, 500);
        ledger.wait(holder, 900, at(round));
        assert_eq!(ledger.take(holder, 400, at(round)), 500);
        ledger.close(holder);
        ledger.close(holder);
        ledger.wait(holder, 900, at(round));
    }
    assert_eq!(ledger.held(), 0);
}

// Guards against a burst of requests that are admitted together and then exceed the bound by their
// bodies: a caller that has stopped sending gives way to one that sends.
#[test]
fn a_body_that_stops_arriving_gives_way() {
    let mut ledger = ledger();
    let (stopped, sending) = (ledger.open(at(0)), ledger.open(at(0)));
    ledger.receive(stopped, 4_000_000, at(0));
    ledger.receive(sending, 4_000_000, at(0));
    ledger.receive(sending, 4_000_000, at(900));
    assert_eq!(ledger.cut(at(900)), Some(stopped));
}

// Guards against cutting off callers that read, on a host that is short of processor time and has
// not handed anything over for a while, in place of those for whom it holds much.
#[test]
fn a_caller_that_holds_little_gives_way_last() {
    let mut ledger = ledger();
    let (little, much) = (ledger.open(at(0)), ledger.open(at(0)));
    ledger.wait(little, 1_000, at(0));
    ledger.wait(much, BOUND, at(500));
    assert_eq!(ledger.cut(at(1_500)), Some(much));
    let mut ledger = self::ledger();
    let holders: Vec<_> = (0..400).map(|_| ledger.open(at(0))).collect();
    for holder in &holders {
        ledger.wait(*holder, 1_000, at(0));
    }
    assert_eq!(ledger.cut(at(1_500)), Some(holders[0]), "all hold little");
}

// Guards against a host that reads on at full speed while nobody can be cut off yet, and against a
// caller that reads and is held up by those that do not.
#[test]
fn at_the_bound_little_is_read_ahead() {
    let mut ledger = ledger();
    let (slow, fast) = (ledger.open(at(0)), ledger.open(at(0)));
    ledger.wait(slow, 100_000, at(0));
    assert!(!ledger.is_ahead(slow), "there is memory");
    ledger.keep(fast, BOUND);
    ledger.wait(fast, 1_000, at(0));
    assert!(ledger.is_ahead(slow));
    assert!(!ledger.is_ahead(fast));
}
