//! A script of faults, played on a fleet in simulated time; what is heard of it.

use crate::membership::trials::words;
use pinetrail_membership::Membership;
use pinetrail_simulation::fleet::Fleet;
use pinetrail_test_harness::script::{Fault, Script, ScriptStep};

/// After the last fault it is listened for so long, in ms.
const AFTER: u64 = 15_000;

/// Plays it on a fleet of so many that know each other; the lines of what happened.
pub(super) fn play(script: &Script, members: usize, seed: u64) -> Result<Vec<String>, String> {
    let peers: Vec<usize> = (0..members.min(3)).collect();
    let size = members.max(peers.len() + 1);
    let mut fleet = Fleet::with_members(members, seed, &peers);
    fleet.run(30_000);
    fleet.observed.clear();
    let (begun, mut lines) = (fleet.now(), Vec::new());
    let tell = |fleet: &mut Fleet<Membership>, lines: &mut Vec<String>| {
        for heard in std::mem::take(&mut fleet.observed) {
            lines.push(format!("{:>7} ms  n{:04}  {}", heard.at - begun, heard.host, words(&heard.event)));
        }
    };
    for ScriptStep { at, fault } in &script.steps {
        fleet.run((begun + at).saturating_sub(fleet.now()));
        tell(&mut fleet, &mut lines);
        lines.push(format!("{at:>7} ms  fault  {fault}"));
        cause(&mut fleet, fault, members, size, &peers)?;
    }
    fleet.run(AFTER);
    tell(&mut fleet, &mut lines);
    Ok(lines)
}

fn cause(
    fleet: &mut Fleet<Membership>,
    fault: &Fault,
    members: usize,
    size: usize,
    peers: &[usize],
) -> Result<(), String> {
    let known = |member: &usize| {
        if *member < members {
            Ok(*member)
        } else {
            Err(format!("{fault}: there are {members} members only, from 0 on"))
        }
    };
    match fault {
        Fault::Kill(member) => fleet.kill(known(member)?),
        Fault::Start(member) => fleet.start_member(known(member)?, size, peers),
        Fault::Stop(member) => fleet.pause(known(member)?),
        Fault::Continue(member) => fleet.resume(known(member)?),
        Fault::Cut(from, to) => fleet.network.cut(known(from)?, known(to)?),
        Fault::Partition(sides) => {
            sides.iter().flatten().try_for_each(|member| known(member).map(drop))?;
            fleet.network.cut_into(&sides.iter().map(|side| &side[..]).collect::<Vec<_>>());
        }
        Fault::Heal => fleet.network.heal(),
        Fault::Loss(percent) => fleet.network.loss = f64::from(*percent) / 100.0,
        Fault::HotRestart(member) => {
            // Who accepts speaks, as a later start of the name.
            fleet.kill(known(member)?);
            fleet.start_member(*member, size, peers);
        }
        Fault::NodeDown(_) | Fault::NodeUp(_) => {
            return Err(format!("{fault}: there are no cache nodes here"))
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
