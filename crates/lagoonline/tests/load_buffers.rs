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

/// Fills the ledger with bodies of 1 MB that have all but arrived at the start.
fn unfinished_bodies(ledger: &mut Ledger) -> Vec<u64> {
    let mut holders = Vec::new();
    while ledger.admits(1_000_000) {
        let holder = ledger.open(at(0));
        ledger.upload(holder);
        ledger.receive(holder, 999_999, at(0));
        holders.push(holder);
    }
    holders
}

// Guards against callers that stop before the end of their bodies and keep a host from all others for
// as long as they stay.
#[test]
fn a_body_that_stops_arriving_gives_way_to_a_new_request() {
    let mut ledger = ledger();
    let holders = unfinished_bodies(&mut ledger);
    ledger.receive(holders[0], 2_000, at(1_900));
    assert_eq!(ledger.make_room(1_000_000, at(1_999)), None, "a lost packet may be sent again");
    assert_eq!(ledger.make_room(1_000_000, at(2_000)), Some(holders[1]));
    assert!(ledger.admits(1_000_000), "what is released counts as free");
    assert_eq!(ledger.make_room(1_000_000, at(2_000)), None, "no more than needed");
}

// Guards against callers that keep their memory by a byte now and then.
#[test]
fn a_byte_is_no_progress() {
    let mut ledger = ledger();
    let holders = unfinished_bodies(&mut ledger);
    for millis in (100..2_000).step_by(100) {
        ledger.receive(holders[0], 1, at(millis));
        ledger.receive(holders[1], 100, at(millis));
    }
    assert_eq!(ledger.make_room(1_000_000, at(2_000)), Some(holders[0]));
    assert_ne!(ledger.make_room(2_000_000, at(2_000)), Some(holders[1]), "it sends 1 KB a second");
}

// Guards against callers that send nothing at all of their bodies, which hold little each.
#[test]
fn a_body_that_does_not_begin_gives_way() {
    let mut ledger = ledger();
    let mut holders = Vec::new();
    while ledger.admits(0) {
        holders.push(ledger.open(at(0)));
        ledger.upload(holders[holders.len() - 1]);
    }
    let request_bytes = Settings::default().request_bytes;
    let missing = ledger.held() + 1_000_000 + request_bytes - BOUND;
    let cut = (0..).take_while(|_| ledger.make_room(1_000_000, at(2_000)).is_some()).count();
    assert_eq!(cut, missing.div_ceil(request_bytes));
    assert!(ledger.admits(1_000_000));
}

// Guards against cutting off a request that runs, or the reader of an answer who only pauses.
#[test]
fn requests_that_run_do_not_give_way() {
    let mut ledger = ledger();
    let (running, reading) = (ledger.open(at(0)), ledger.open(at(0)));
    ledger.upload(running);
    ledger.receive(running, 8_000_000, at(0));
    ledger.complete(running);
    ledger.wait(reading, 1_500_000, at(0));
    assert_eq!(ledger.make_room(1_000_000, at(9_000)), None);
    assert_eq!(ledger.make_room(1_000_000, at(10_000)), Some(reading));
    assert_eq!(ledger.make_room(4_000_000, at(90_000)), None);
}

// Guards against heads that never end, which no request accounts for.
#[test]
fn heads_take_a_part_and_count_for_new_requests() {
    let mut ledger = ledger();
    assert_eq!(ledger.set_heads(BOUND / 4), 0);
    assert_eq!(ledger.set_heads(BOUND / 4 + 1_000), 1_000);
    assert!(!ledger.admits(BOUND * 3 / 4));
    assert_eq!(ledger.set_heads(0), 0);
    assert!(ledger.admits(BOUND * 3 / 4));
    assert_eq!(ledger.held(), 0);
}
