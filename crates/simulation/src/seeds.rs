//! Shares under faults drawn from a seed, and what must hold of them.

use crate::quota::{Clock, Sharing};
use pinetrail_quota::{Process, LEASED_PARTS, WHOLE_PARTS};
use rand::RngExt;

const HOSTS: usize = 5;

/// Five processes and 25 faults: what all may use together, with what calls of before still use, is never over the whole, nobody is
/// steward beside another, and once the faults end everybody has the same share. The first thing that is wrong.
pub fn play(seed: u64) -> Result<(), String> {
    let mut sharing = Sharing::new(HOSTS, HOSTS, 8, seed);
    for host in 0..HOSTS {
        let rate = sharing.rng.random_range(990..=1009);
        sharing.set_clock(host, Clock::new(0, rate));
        sharing.start(host);
    }
    sharing.know_all();
    sharing.network.delay = (1, 40);
    if sharing.rng.random_bool(0.3) {
        (sharing.network.loss, sharing.network.duplication) = (0.1, 0.2);
        sharing.network.delay = (1, sharing.rng.random_range(500..9_000));
    }
    for _ in 0..25 {
        let host = sharing.rng.random_range(0..HOSTS);
        match sharing.rng.random_range(0..11) {
            0 => sharing.kill(host),
            1 | 2 if !sharing.runs(host) => sharing.start(host),
            1 => sharing.start(host),
            2 => sharing.stop(host),
            3 if sharing.is_stopped(host) => sharing.go_on(host),
            3 => sharing.network.heal(),
            4 => {
                let sides = sharing.rng.random_range(1..31u32);
                let side = |bit: u32| -> Vec<usize> {
                    (0..HOSTS).filter(|host| (sides >> host) & 1 == bit).collect()
                };
                let sides = [side(0), side(1)];
                sharing.network.cut_into(&[&sides[0], &sides[1]]);
                // Each side may notice at once.
                for side in sides.iter().filter(|_| host % 2 == 0) {
                    let there: Vec<Process> = side.iter().map(|one| sharing.process(*one)).collect();
                    for one in side {
                        sharing.know(*one, there.clone());
                    }
                }
            }
            5 => {
                let to = sharing.rng.random_range(0..HOSTS);
                sharing.network.cut(host, to);
            }
            6 => sharing.network.heal(),
            // Knowledge of who is there may be wrong in any way.
            7 => {
                let known = sharing.rng.random_range(0..32u32);
                let alive = (0..HOSTS).filter(|one| (known >> one) & 1 == 1);
                let alive = alive.map(|one| sharing.process(one)).collect();
                sharing.know(host, alive);
            }
            8 | 9 => sharing.know_all(),
            _ => {}
        }
        let pause = sharing.rng.random_range(1..4000);
        sharing.run(pause);
        for host in 0..HOSTS {
            if sharing.is_stopped(host) && sharing.rng.random_bool(0.3) {
                sharing.go_on(host);
            }
        }
        if sharing.most > WHOLE_PARTS || sharing.stewards > 1 {
            let (most, stewards, now) = (sharing.most, sharing.stewards, sharing.now());
            return Err(format!("{most} of {WHOLE_PARTS} in use, {stewards} stewards at {now} ms"));
        }
    }
    sharing.network.heal();
    (sharing.network.loss, sharing.network.duplication, sharing.network.delay) = (0.0, 0.0, (1, 40));
    for host in 0..HOSTS {
        if !sharing.runs(host) {
            sharing.start(host);
        }
        sharing.go_on(host);
    }
    sharing.know_all();
    sharing.run(40_000);
    let due = LEASED_PARTS / HOSTS as u64;
    let leases: Vec<u64> = (0..HOSTS)
        .map(|host| sharing.at(host).map_or(0, |(shares, now)| shares.lease().parts_at(now)))
        .collect();
    if leases.iter().all(|lease| *lease == due) && sharing.most <= WHOLE_PARTS {
        Ok(())
    } else {
        Err(format!("in the end {leases:?} instead of {due} for each; most in use {}", sharing.most))
    }
}
