//! The cost of the membership core in simulated time: one process runs a complete fleet and times
//! each call. [`print_core_cost`] measures and prints it.

use pinetrail_membership::{Membership, Output, Timestamp};
use pinetrail_simulation::fleet::{member_settings, Fleet, Member};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The simulated time for which calls are measured.
const MEASURED_SECONDS: u64 = 60;
/// The simulated time that members have to join before the measurement.
const JOIN_TIME_MS: u64 = 60_000;
/// The simulated time between the starts of two members.
const START_INTERVAL_MS: u64 = 10;

/// A member that measures the duration of its calls.
struct TimedMember {
    membership: Membership,
    time_in_datagrams: Duration,
    datagrams: u32,
    timeouts: u32,
    time_in_timeouts: Duration,
}

impl Member for TimedMember {
    fn next_timeout(&self) -> Option<Timestamp> {
        self.membership.next_timeout()
    }

    fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let started_at = Instant::now();
        self.membership.handle_timeout(now, out);
        self.time_in_timeouts += started_at.elapsed();
        self.timeouts += 1;
    }

    fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        let started_at = Instant::now();
        self.membership.handle_datagram(now, from, bytes, out);
        self.time_in_datagrams += started_at.elapsed();
        self.datagrams += 1;
    }
}

/// Prints the cost of the core in a fleet of this size: the time for a datagram and for a timeout,
/// the share of a core for a member, and the memory for each member that another one knows.
pub(super) fn print_core_cost(members: u16) {
    let members = usize::from(members);
    let bytes_before = resident_bytes();
    let mut fleet: Fleet<TimedMember> = Fleet::new(members, 1);
    for host in 0..members {
        fleet.start(host, |start, seed, now| {
            let membership =
                Membership::new(member_settings(host, members.max(4), &[0, 1, 2]), start, seed, now);
            let membership = membership.expect("the settings of the simulation are valid");
            TimedMember {
                membership,
                time_in_datagrams: Duration::ZERO,
                datagrams: 0,
                timeouts: 0,
                time_in_timeouts: Duration::ZERO,
            }
        });
        fleet.run(START_INTERVAL_MS);
    }
    fleet.run(JOIN_TIME_MS);
    fleet.observed.clear();
    let known_members: usize =
        (0..members).filter_map(|host| fleet.member(host)).map(|one| one.membership.members().len()).sum();
    let bytes_after = resident_bytes();
    let sum = |fleet: &Fleet<TimedMember>| {
        (0..members).filter_map(|host| fleet.member(host)).fold((0u64, 0u64, 0.0, 0.0), |sum, one| {
            let (datagram_time, timeout_time) =
                (one.time_in_datagrams.as_secs_f64(), one.time_in_timeouts.as_secs_f64());
            (
                sum.0 + u64::from(one.datagrams),
                sum.1 + u64::from(one.timeouts),
                sum.2 + datagram_time,
                sum.3 + timeout_time,
            )
        })
    };
    let before = sum(&fleet);
    fleet.run(MEASURED_SECONDS * 1000);
    let after = sum(&fleet);
    let (datagrams, timeouts) = ((after.0 - before.0).max(1) as f64, (after.1 - before.1).max(1) as f64);
    let (datagram_time, timeout_time) = (after.2 - before.2, after.3 - before.3);
    println!("the membership core, {members} members in simulated time, no faults:");
    println!(
        "  {:.1} us a datagram, {:.1} us a timeout",
        datagram_time / datagrams * 1e6,
        timeout_time / timeouts * 1e6
    );
    println!(
        "  {:.3} % of a core for each member",
        (datagram_time + timeout_time) / members as f64 / MEASURED_SECONDS as f64 * 100.0
    );
    println!(
        "  {} bytes for each member that another one knows\n",
        bytes_after.saturating_sub(bytes_before) / known_members.max(1)
    );
}

/// Returns the resident memory of this process in bytes, or 0 if it cannot be read.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kb.unwrap_or(0) * 1024
}
