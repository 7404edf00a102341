//! Injects faults into the members of a fleet, the paths between them and its cache nodes.

use super::Fleet;
use crate::script::{Fault, Script, ScriptStep};
use std::thread;
use std::time::{Duration, Instant};

impl Fleet {
    /// Starts or ends a fault, and records it in the timeline.
    pub fn inject(&mut self, fault: &Fault) {
        self.record_action(&fault.to_string());
        match fault {
            Fault::Kill(member) => self.kill(*member),
            Fault::Start(member) if !self.is_running(*member) => self.start(*member),
            Fault::Start(_) => {}
            Fault::Stop(member) if self.is_running(*member) => self.process(*member).signal("STOP"),
            Fault::Continue(member) if self.is_running(*member) => self.process(*member).signal("CONT"),
            Fault::Stop(_) | Fault::Continue(_) => {}
            Fault::HotRestart(member) => self.hot_restart(*member),
            Fault::Cut(from, to) => {
                self.datagram_faults.change_path(*from, *to, |path| path.partitioned = true)
            }
            Fault::Partition(sides) => {
                self.partition(&sides.iter().map(|side| &side[..]).collect::<Vec<_>>());
            }
            Fault::Heal => self.datagram_faults.change_all_paths(|path| path.partitioned = false),
            Fault::Loss(percent) => {
                self.datagram_faults.change_all_paths(|path| path.loss = f64::from(*percent) / 100.0);
            }
            Fault::NodeDown(node) => self.disconnect_node(*node),
            Fault::NodeUp(node) => self.reconnect_node(*node),
        }
    }

    fn hot_restart(&mut self, member: usize) {
        let second = self.start_second_process(member);
        let first = self.replace_process(member, second);
        first.signal("TERM");
        first.wait_for_exit();
    }

    fn disconnect_node(&self, node: usize) {
        for proxies in &self.server_faults {
            proxies[node].partition();
            proxies[node].reset();
        }
    }

    fn reconnect_node(&self, node: usize) {
        for proxies in &self.server_faults {
            proxies[node].heal();
            proxies[node].reset();
        }
    }

    /// Partitions the paths between members of different sides, in both directions.
    pub fn partition(&self, sides: &[&[usize]]) {
        for (at, side) in sides.iter().enumerate() {
            for (_, other) in sides.iter().enumerate().filter(|(other, _)| *other != at) {
                self.cut_paths(side, other);
            }
        }
    }

    fn cut_paths(&self, from: &[usize], to: &[usize]) {
        for from in from {
            for to in to {
                self.datagram_faults.change_path(*from, *to, |path| path.partitioned = true);
            }
        }
    }

    /// Injects the faults of a script at their times; returns after the last one.
    pub fn run_script(&mut self, script: &Script) {
        let start = Instant::now();
        for ScriptStep { at_ms, fault } in &script.steps {
            thread::sleep(Duration::from_millis(*at_ms).saturating_sub(start.elapsed()));
            self.inject(fault);
        }
    }
}
