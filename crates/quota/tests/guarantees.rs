//! The guarantees of the quota: under faults that are generated from seeds, in a model of every
//! order of faults, and in scripted scenarios.

use pinetrail_clock::whole_millis;
use pinetrail_quota::{Parts, Process, QuotaEvent, LEASABLE_PARTS, TOTAL_PARTS};
use pinetrail_simulation::model::{PropertyViolation, QuotaModel};
use pinetrail_simulation::quota::QuotaSimulation;
use pinetrail_simulation::seeds::{self, Violation};

const HOSTS: usize = 5;

/// Returns a fleet of founders that has run for long enough that all hold equal leases.
fn settled_fleet(hosts: usize, size: usize, seed: u64) -> QuotaSimulation {
    let mut simulation = QuotaSimulation::new(hosts, hosts, size, seed);
    start(&mut simulation, 0..hosts);
    simulation.update_all_live_processes();
    simulation.run(20_000);
    simulation
}

fn start(simulation: &mut QuotaSimulation, hosts: impl IntoIterator<Item = usize>) {
    for host in hosts {
        simulation.start(host);
    }
}

fn kill(simulation: &mut QuotaSimulation, hosts: impl IntoIterator<Item = usize>) {
    for host in hosts {
        simulation.kill(host);
    }
}

/// Returns the duration of a lease in simulated ms.
fn lease_millis(simulation: &QuotaSimulation) -> u64 {
    whole_millis(simulation.settings.lease_duration)
}

/// Returns the parts that a process may use if it holds one of `holders` equal leases.
fn with_equal_lease(simulation: &QuotaSimulation, holders: usize) -> Parts {
    simulation.settings.guaranteed_minimum() + LEASABLE_PARTS / holders as Parts
}

/// The faults of each run are generated from its seed by `pinetrail_simulation::seeds`. The
/// experiments run more seeds.
#[test]
fn under_seeded_faults_quotas_never_exceed_the_whole_and_leases_become_equal() {
    let violations: Vec<Violation> = (0..200).filter_map(|seed| seeds::play(seed).err()).take(5).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// `pinetrail_simulation::model` explores every order of faults up to a bound. The experiments
/// explore more.
#[test]
fn in_every_order_of_faults_quotas_never_exceed_the_whole_and_leases_become_equal() {
    let found = QuotaModel::new(2, 5, [1000, 1010, 990]).explore(2);
    assert!(found.violations.is_empty() && found.unique_states > 10_000, "{found:?}");
}

/// Shows that the model detects violations: clocks whose rates differ by more than the permitted
/// skew break the guarantee.
#[test]
fn clocks_beyond_the_permitted_skew_break_the_guarantee() {
    let found = QuotaModel::new(1, 10, [1000, 1000, 600]).explore(2);
    let is_over = |violation: &PropertyViolation| {
        violation.property == "quotas add up to one at the most" && violation.actions.is_some()
    };
    assert!(found.violations.iter().any(is_over), "{found:?}");
}

/// A lease that grew in one step would cause a burst of requests at the origin.
#[test]
fn a_lease_grows_by_steps() {
    let simulation = settled_fleet(HOSTS, 8, 1);
    let equal_part = LEASABLE_PARTS / HOSTS as Parts;
    for host in 0..HOSTS {
        let mut leased = vec![0];
        for observed in &simulation.observed {
            if let QuotaEvent::LeaseGranted(lease) = observed.event {
                if observed.host == host {
                    leased.push(lease.parts);
                }
            }
        }
        assert_eq!(leased.last(), Some(&equal_part));
        let largest_step = leased.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).max();
        assert_eq!(largest_step, Some(equal_part.div_ceil(4)), "{leased:?}");
    }
}

/// A minority keeps only its guaranteed minimum. The majority gets all leased parts as soon as no
/// attempt of the minority can still use them.
#[test]
fn a_minority_falls_to_its_minimum_and_the_majority_gets_the_leased_parts() {
    let mut simulation = settled_fleet(HOSTS, 8, 2);
    let minimum = simulation.settings.guaranteed_minimum();
    let processes: Vec<Process> = (0..HOSTS).map(|host| simulation.process(host)).collect();
    simulation.network.partition(&[&[0, 1], &[2, 3, 4]]);
    let cut_at = simulation.now();

    simulation.run(lease_millis(&simulation));
    assert_eq!([0, 1].map(|host| simulation.usable_parts(host)), [minimum; 2]);

    for host in 0..HOSTS {
        let own_side = if host < 2 { &processes[..2] } else { &processes[2..] };
        simulation.set_live_processes(host, own_side.to_vec());
    }
    simulation.run(8_000);
    assert_eq!([0, 1].map(|host| simulation.usable_parts(host)), [minimum; 2]);
    assert_eq!([2, 3, 4].map(|host| simulation.usable_parts(host)), [with_equal_lease(&simulation, 3); 3]);
    let has_expired = |host: usize| {
        simulation.observed.iter().any(|observed| {
            observed.at > cut_at && observed.host == host && observed.event == QuotaEvent::LeaseExpired
        })
    };
    assert!(has_expired(0) && has_expired(1) && !has_expired(2));
    assert!(simulation.max_parts_in_use <= TOTAL_PARTS);
}

/// Returns the parts that each process may use after a partition of the fleet into halves. In
/// fleets of two and four neither half is a quorum, and in a fleet of three the single process is
/// not, so these processes have only their minimum.
fn quotas_in_halves(hosts: usize, minimum: Parts) -> Vec<Parts> {
    match hosts {
        1 => vec![minimum + LEASABLE_PARTS],
        3 => vec![minimum, minimum + LEASABLE_PARTS / 2, minimum + LEASABLE_PARTS / 2],
        _ => vec![minimum; hosts],
    }
}

#[test]
fn small_fleets_have_equal_leases_and_only_a_majority_keeps_them_in_a_partition() {
    for hosts in [1, 2, 3, 4] {
        let mut simulation = settled_fleet(hosts, hosts, 3);
        let equal = with_equal_lease(&simulation, hosts);
        let all: Vec<usize> = (0..hosts).collect();
        assert!(all.iter().all(|host| simulation.usable_parts(*host) == equal), "{hosts} hosts");

        let (one, other) = all.split_at(hosts / 2);
        simulation.network.partition(&[one, other]);
        simulation.run(15_000);
        let quotas: Vec<Parts> = all.iter().map(|host| simulation.usable_parts(*host)).collect();
        let expected = quotas_in_halves(hosts, simulation.settings.guaranteed_minimum());
        assert_eq!(quotas, expected, "{hosts} hosts");

        simulation.network.heal();
        simulation.run(20_000);
        assert!(all.iter().all(|host| simulation.usable_parts(*host) == equal), "{hosts} hosts after heal");
    }
}

/// Seven of ten processes fail one after the other, and the others get their parts. Then all fail
/// and nine restart, which found a new fleet.
#[test]
fn seven_of_ten_processes_fail_in_turn_and_then_nine_restart() {
    let mut simulation = settled_fleet(10, 10, 4);
    for host in 0..7 {
        simulation.kill(host);
        simulation.run(2_000);
        simulation.update_all_live_processes();
        simulation.run(1_000);
    }
    simulation.run(2 * lease_millis(&simulation));
    assert_eq!([7, 8, 9].map(|host| simulation.usable_parts(host)), [with_equal_lease(&simulation, 3); 3]);

    // Not all restart, since one process may never return.
    kill(&mut simulation, 0..10);
    start(&mut simulation, 0..9);
    simulation.update_all_live_processes();
    simulation.run(20_000);
    let equal = with_equal_lease(&simulation, 9);
    assert!((0..9).all(|host| simulation.usable_parts(host) == equal));
    assert!(simulation.max_parts_in_use <= TOTAL_PARTS);
}

/// Returns a fleet in which only the first two hosts run, which are the voters of its view, and the
/// host that leads.
fn fleet_of_two_voters(seed: u64) -> (QuotaSimulation, usize) {
    let mut simulation = settled_fleet(HOSTS, 8, seed);
    for host in [2, 3, 4] {
        simulation.kill(host);
        simulation.update_all_live_processes();
        simulation.run(3_000);
    }
    let leader = (0..2).find(|host| simulation.is_leader(*host));
    (simulation, leader.expect("one of the two voters leads"))
}

/// Guards against two leaders: the predecessor of a restarted process may have voted for a leader
/// that still leads.
#[test]
fn a_restarted_process_founds_no_fleet_while_a_vote_of_its_predecessor_may_last() {
    for seed in 0..40 {
        let (mut simulation, leader) = fleet_of_two_voters(seed);
        let other = 1 - leader;
        simulation.network.partition(&[&[leader], &[2, 3, 4]]);
        start(&mut simulation, 2..HOSTS);
        simulation.run(8_000 + seed * 61);

        simulation.start(other);
        simulation.network.partition(&[&[leader], &[other]]);
        simulation.run(10_000);

        assert!(
            simulation.max_leaders == 1 && simulation.max_parts_in_use <= TOTAL_PARTS,
            "seed {seed}: {} leaders",
            simulation.max_leaders
        );
    }
}

/// Runs until one of the restarted founders knows that it leads, for at most 30 s of simulated
/// time. Returns whether one leads.
fn run_until_a_founder_leads(simulation: &mut QuotaSimulation) -> bool {
    for _ in 0..30_000 {
        simulation.run(1);
        if (2..HOSTS).any(|host| simulation.is_leader(host)) {
            return true;
        }
    }
    false
}

/// Guards against two leaders: one of two voters helps to found a fleet without the other, and
/// could then vote for the other again in their old view.
#[test]
fn a_process_that_helped_to_found_a_fleet_does_not_return_to_its_old_view() {
    let mut tried = 0;
    for seed in 0..20 {
        let (mut simulation, leader) = fleet_of_two_voters(seed);
        let other = 1 - leader;
        simulation.network.partition(&[&[leader], &[other, 2, 3, 4]]);
        start(&mut simulation, 2..HOSTS);
        // At this moment the founder knows that it leads, and `other` does not know it yet.
        if !run_until_a_founder_leads(&mut simulation) {
            continue;
        }
        tried += 1;

        simulation.network.heal();
        simulation.network.partition(&[&[leader, other], &[2, 3, 4]]);
        simulation.run(15_000);

        assert!(
            simulation.max_leaders == 1 && simulation.max_parts_in_use <= TOTAL_PARTS,
            "seed {seed}: {} leaders",
            simulation.max_leaders
        );
        let minimum = simulation.settings.guaranteed_minimum();
        let quotas = [leader, other].map(|host| simulation.usable_parts(host));
        assert_eq!(quotas, [minimum; 2], "seed {seed}");
    }
    assert!(tried > 5, "a founder led in only {tried} of 20 runs");
}

/// A process that shuts down, as for a new release, announces this and is no longer a voter when it
/// exits, even if many processes shut down at the same time.
#[test]
fn a_process_that_shuts_down_is_no_voter_when_it_exits() {
    let mut simulation = settled_fleet(10, 10, 5);
    for host in 0..7 {
        simulation.begin_shutdown(host);
    }
    simulation.run(1_500);

    kill(&mut simulation, 0..7);
    simulation.update_all_live_processes();
    simulation.run(4 * lease_millis(&simulation));

    assert_eq!([7, 8, 9].map(|host| simulation.usable_parts(host)), [with_equal_lease(&simulation, 3); 3]);
    assert!(simulation.max_parts_in_use <= TOTAL_PARTS);
}
