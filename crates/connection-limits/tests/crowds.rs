//! Crowds played against the core in virtual time: scripted clients, no socket, no clock, the same each time.

use pinetrail_connection_limits::{
    ConnectionId, ConnectionTable, DescriptorBudget, Limits, Millis, Phase, Reason,
};
use std::collections::{BTreeMap, BTreeSet};

/// What a client does with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Manner {
    /// Connects and says nothing.
    Silent,
    /// Sends one byte each 500 ms.
    Drips,
    /// Says a word of courtesy and then keeps the connection for good.
    Greets,
    /// Asks once and closes the connection when it has the answer.
    AsksAndLeaves,
    /// Asks once and then keeps the connection for good.
    AsksOnce,
    /// Asks again at each such interval, on the connection that it has or on a new one.
    AsksEvery(Millis),
}

/// A server with the core, and its clients. A client that finds no place is turned away.
struct Crowd {
    places: ConnectionTable,
    now: Millis,
    next: ConnectionId,
    events: BTreeSet<(Millis, ConnectionId, u8)>,
    manners: BTreeMap<ConnectionId, Manner>,
    /// Connections that a client may hold at the same time; more are never opened.
    honest_most: usize,
    honest: BTreeSet<ConnectionId>,
    asked: usize,
    turned_away: usize,
    /// Connections closed that would have asked again.
    reopened: usize,
    closed: BTreeMap<Reason, Vec<Manner>>,
    held_longest: BTreeMap<Manner, Millis>,
    arrived: BTreeMap<ConnectionId, Millis>,
}

const BYTE: u8 = 0;
const ASK: u8 = 1;
const ANSWERED: u8 = 2;
const ANSWER_TIME: Millis = 100;

impl Crowd {
    fn on(most: usize, honest_most: usize) -> Crowd {
        Crowd {
            places: ConnectionTable::new(Limits::default(), most),
            now: 0,
            next: 0,
            events: BTreeSet::new(),
            manners: BTreeMap::new(),
            honest_most,
            honest: BTreeSet::new(),
            asked: 0,
            turned_away: 0,
            reopened: 0,
            closed: BTreeMap::new(),
            held_longest: BTreeMap::new(),
            arrived: BTreeMap::new(),
        }
    }

    /// One client connects.
    fn come(&mut self, manner: Manner) {
        let honest = matches!(manner, Manner::AsksOnce | Manner::AsksAndLeaves | Manner::AsksEvery(_));
        self.asked += usize::from(honest);
        if self.places.is_full() {
            let orders = self.places.make_room(self.now, 8);
            for order in orders {
                self.close(order.id, order.reason);
            }
        }
        if self.places.is_full() || (honest && self.honest.len() >= self.honest_most) {
            self.turned_away += usize::from(honest);
            return;
        }
        self.next += 1;
        let id = self.next;
        self.manners.insert(id, manner);
        self.arrived.insert(id, self.now);
        self.places.insert(self.now, id);
        match manner {
            Manner::Silent => {}
            Manner::Drips => drop(self.events.insert((self.now, id, BYTE))),
            Manner::Greets => {
                self.places.set_phase(self.now, id, Phase::AtWork);
                self.places.set_phase(self.now, id, Phase::Idle);
            }
            Manner::AsksOnce | Manner::AsksAndLeaves | Manner::AsksEvery(_) => {
                self.honest.insert(id);
                self.events.insert((self.now + 1, id, ASK));
            }
        }
    }

    fn close(&mut self, id: ConnectionId, reason: Reason) {
        let manner = self.manners.remove(&id).expect("closed once");
        let held = self.now - self.arrived[&id];
        let longest = self.held_longest.entry(manner).or_default();
        *longest = held.max(*longest);
        self.closed.entry(reason).or_default().push(manner);
        self.honest.remove(&id);
        self.places.remove(self.now, id);
        if let Manner::AsksEvery(_) = manner {
            // It asks when it would have, on a new connection.
            self.reopened += 1;
        }
    }

    /// Lets time pass; each rate is in connections a second.
    fn play(&mut self, ms: Millis, rates: &[(Manner, u64)]) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 1;
            for (manner, rate) in rates {
                if self.now * rate / 1000 > (self.now - 1) * rate / 1000 {
                    self.come(*manner);
                }
            }
            while let Some((at, id, what)) = self.events.first().copied().filter(|event| event.0 <= self.now)
            {
                self.events.remove(&(at, id, what));
                let Some(manner) = self.manners.get(&id).copied() else { continue };
                match (what, manner) {
                    (BYTE, _) => {
                        self.places.set_phase(self.now, id, Phase::FirstHalf);
                        self.events.insert((self.now + 500, id, BYTE));
                    }
                    (ASK, _) => {
                        self.places.record_request(id);
                        self.places.set_phase(self.now, id, Phase::AtWork);
                        self.events.insert((self.now + ANSWER_TIME, id, ANSWERED));
                    }
                    (_, Manner::AsksEvery(gap)) => {
                        self.places.set_phase(self.now, id, Phase::Idle);
                        self.events.insert((self.now + gap, id, ASK));
                    }
                    (_, Manner::AsksAndLeaves) => {
                        self.places.set_phase(self.now, id, Phase::Idle);
                        self.manners.remove(&id);
                        self.honest.remove(&id);
                        self.places.remove(self.now, id);
                    }
                    _ => drop(self.places.set_phase(self.now, id, Phase::Idle)),
                }
            }
            if self.now.is_multiple_of(10) {
                let orders = self.places.expired(self.now);
                for order in orders {
                    self.close(order.id, order.reason);
                }
            }
        }
    }

    /// Turned away of 1000 that asked, since the last call.
    fn turned_away_in_1000(&mut self) -> usize {
        let share = self.turned_away * 1000 / self.asked.max(1);
        (self.asked, self.turned_away) = (0, 0);
        share
    }
}

#[test]
fn silent_connections_leave_the_places_to_the_honest() {
    let mut crowd = Crowd::on(225, 128);
    let rates = [(Manner::Silent, 50), (Manner::AsksOnce, 250)];
    crowd.play(3000, &rates);
    crowd.turned_away_in_1000();
    crowd.play(20_000, &rates);
    // Each held for 2 s, the idle alone would take 500 places of the 128 that clients may hold.
    assert!(crowd.turned_away_in_1000() <= 5);
    let silent = crowd.places.counts(crowd.now).silent;
    assert!(silent <= 50 / 2, "{silent} places are held by those that say nothing");
}

#[test]
fn with_room_nobody_is_hurried() {
    let mut crowd = Crowd::on(1000, 1000);
    crowd.play(20_000, &[(Manner::Silent, 20), (Manner::AsksEvery(1900), 5)]);
    assert_eq!(crowd.closed.keys().copied().collect::<Vec<_>>(), [Reason::Overdue]);
    assert_eq!(crowd.held_longest, BTreeMap::from([(Manner::Silent, 2500)]));
    assert_eq!(crowd.reopened, 0);
}

#[test]
fn one_byte_now_and_then_keeps_no_place() {
    let mut crowd = Crowd::on(225, 128);
    let rates = [(Manner::Drips, 100), (Manner::AsksOnce, 200)];
    crowd.play(2000, &rates);
    crowd.turned_away_in_1000();
    crowd.play(10_000, &rates);
    assert!(crowd.turned_away_in_1000() <= 10);
    assert!(crowd.held_longest[&Manner::Drips] <= 2500);
    let half = crowd.places.counts(crowd.now).half;
    assert!(half <= 100 * 7 / 10, "{half} places are held by those with half a command");
}

#[test]
fn a_connection_for_each_request_finds_its_place_beside_a_silent_crowd() {
    let mut crowd = Crowd::on(80, 80);
    // 25 at work at a time; the silent alone would hold 100 for 2 s each.
    crowd.play(1000, &[(Manner::AsksAndLeaves, 250), (Manner::Silent, 50)]);
    crowd.turned_away_in_1000();
    crowd.play(5000, &[(Manner::AsksAndLeaves, 250), (Manner::Silent, 50)]);
    assert_eq!(crowd.turned_away_in_1000(), 0);
    assert_eq!(crowd.closed.keys().filter(|reason| **reason == Reason::NoRoom).count(), 0);
}

/// As recorded: for 1.5 s of the second life 576 a second greet and stay, beside the silent and the honest.
#[test]
fn a_crowd_that_comes_with_the_start_is_past_within_seconds() {
    let mut crowd = Crowd::on(225, 128);
    let always = [(Manner::Silent, 45), (Manner::AsksOnce, 250)];
    let crowded = [(Manner::Silent, 45), (Manner::AsksOnce, 250), (Manner::Greets, 576)];
    crowd.play(1500, &crowded);
    crowd.turned_away_in_1000();
    crowd.play(1500, &crowded);
    assert!(crowd.turned_away_in_1000() <= 20);
    crowd.play(5000, &always);
    assert!(crowd.turned_away_in_1000() <= 2);
}

/// Guards against a crowd that finds all descriptors with providers, and against one given twice.
#[test]
fn a_crowd_gets_its_share_while_providers_hold_all_they_may_and_more_after() {
    let mut split = DescriptorBudget::new(360, 0.5, 0.25);
    split.record_backend_need(0, 500);
    let mut providers = split.backend_limit(0);
    let mut crowd = Crowd::on(split.client_limit(0), 180);
    assert_eq!((providers, split.client_limit(0)), (180, 180));
    let mut served_share = Vec::new();
    for second in 0..30u64 {
        for _ in 0..100 {
            crowd.places.set_capacity(split.client_limit(crowd.now));
            crowd.play(10, &[(Manner::Silent, 50), (Manner::AsksOnce, 250)]);
            assert!(crowd.places.open() + providers <= 360, "a descriptor given twice");
        }
        served_share.push(1000 - crowd.turned_away_in_1000());
        // Their calls end, and idle connections are retired.
        providers = (180 - 4 * second as usize).max(60);
    }
    assert!(served_share[3..].iter().all(|share| *share >= 990), "{served_share:?}");
    assert!(split.client_limit(crowd.now) > 260);
}

#[test]
fn those_that_ask_again_after_long_keep_their_places_from_those_that_never_do() {
    let mut crowd = Crowd::on(225, 200);
    // 60 keep theirs; then come 100 a second that ask once, and 50 that say nothing.
    crowd.play(1000, &[(Manner::AsksEvery(1900), 60)]);
    crowd.play(4000, &[]);
    // Before anything is learnt of them a few may have been closed.
    assert!(crowd.reopened <= 6, "{} of 60 were closed at first", crowd.reopened);
    crowd.reopened = 0;
    crowd.play(20_000, &[(Manner::AsksOnce, 100), (Manner::Silent, 50)]);
    assert!(crowd.reopened <= 3, "{} of 60 were closed", crowd.reopened);
    assert_eq!(crowd.turned_away, 0);
}

#[test]
fn a_change_of_ways_is_learnt_within_seconds() {
    let mut crowd = Crowd::on(225, 128);
    crowd.play(1000, &[(Manner::AsksEvery(50), 40)]);
    crowd.play(4000, &[]);
    assert_eq!(crowd.reopened, 0);
    // As if by a signal they all ask once and stay.
    crowd.manners.values_mut().for_each(|manner| *manner = Manner::AsksOnce);
    let rates = [(Manner::AsksOnce, 250), (Manner::Silent, 45)];
    crowd.play(2000, &rates);
    crowd.turned_away_in_1000();
    crowd.play(5000, &rates);
    assert!(crowd.turned_away_in_1000() <= 5);
}

#[test]
fn the_same_events_give_the_same_orders() {
    let play = || {
        let mut crowd = Crowd::on(100, 90);
        crowd.play(5000, &[(Manner::Silent, 70), (Manner::AsksOnce, 150), (Manner::AsksEvery(300), 20)]);
        (crowd.closed.into_iter().collect::<Vec<_>>(), crowd.next, crowd.turned_away)
    };
    assert_eq!(play(), play());
}

/// Guards against connections closed at a planned restart, by clients that could open no other.
#[test]
fn a_server_that_stops_takes_no_place_from_those_that_still_ask() {
    let close_at_stop = |shut: bool| {
        let mut crowd = Crowd::on(150, 140);
        crowd.play(4000, &[(Manner::AsksOnce, 250), (Manner::Silent, 50)]);
        if shut {
            crowd.places.stop_accepting();
        }
        let before = crowd.closed.get(&Reason::UnlikelyToReturn).map_or(0, Vec::len);
        crowd.play(400, &[]);
        crowd.closed.get(&Reason::UnlikelyToReturn).map_or(0, Vec::len) - before
    };
    assert!(close_at_stop(false) > 10);
    assert_eq!(close_at_stop(true), 0);
}

/// The recorded crowd on other numbers of descriptors; the figures are quoted in docs/connection-limits.md.
#[test]
fn the_recorded_crowd_is_served_on_few_descriptors_and_on_many() {
    let rates = [(Manner::AsksOnce, 250), (Manner::Silent, 45)];
    let figures = [256, 384, 1024].map(|descriptors: usize| {
        let split = DescriptorBudget::new(descriptors - 24, 0.5, 0.25);
        let mut crowd = Crowd::on(split.client_limit(0), descriptors / 3);
        crowd.play(3000, &rates);
        let learning = crowd.turned_away_in_1000();
        crowd.play(20_000, &rates);
        let tally = crowd.places.counts(crowd.now);
        (descriptors, learning, crowd.turned_away_in_1000(), tally.open, tally.limits.after_one_request)
    });
    println!("descriptors, turned away of 1000 in 3 s and after, places held, limit after one request: {figures:?}");
    assert!(figures.iter().all(|(_, learning, after, ..)| *learning <= 350 && *after <= 5), "{figures:?}");
}
