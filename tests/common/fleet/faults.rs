//! Faults of the simulated fleet, and random scripts of them.

use super::*;

/// A fault that a script injects into the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A new process replaces a node at its address and is listed with its new start time.
    Restart(BackendNumber),
    /// A node drains until the end of the simulation.
    Drain(BackendNumber),
    /// A node has left the fleet and is listed as gone.
    Gone(BackendNumber),
    /// A node does not respond for a time.
    Silent(BackendNumber, Milliseconds),
    /// A node refuses connections for a time.
    Refuses(BackendNumber, Milliseconds),
    /// A node fails half of its attempts, chosen at random, for a time.
    Fails(BackendNumber, Milliseconds),
    /// A proxy is killed and later starts again with the complete endpoint list of that time.
    Kill(usize),
    /// A proxy receives nothing from discovery for a time.
    DiscoveryCut(usize, Milliseconds),
}

/// Generates faults from a seed. Their kinds and times are random, so that several may overlap.
pub(crate) fn random_script(seed: u64, until: Milliseconds) -> Vec<(Milliseconds, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xfa17);
    let mut draw = |_| {
        let at = rng.gen_range(300.0..until * 0.8);
        let (node, proxy) = (rng.gen_range(1..=NODES), rng.gen_range(0..PROXIES));
        let (short, long) = (rng.gen_range(50.0..600.0), rng.gen_range(500.0..4000.0));
        let fault = match rng.gen_range(0..8) {
            0 => Fault::Restart(node),
            1 => Fault::Drain(node),
            2 => Fault::Gone(node),
            3 => Fault::Silent(node, short),
            4 => Fault::Refuses(node, short),
            5 => Fault::Fails(node, long),
            6 => Fault::Kill(proxy),
            _ => Fault::DiscoveryCut(proxy, long),
        };
        (at, fault)
    };
    (0..8).map(&mut draw).collect()
}

impl Fleet {
    pub(super) fn inject(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Silent(server, until) => self.node(server).silent_until = now + until,
            Fault::Refuses(server, until) => self.node(server).refuses_until = now + until,
            Fault::Fails(server, until) => self.node(server).fails_until = now + until,
            Fault::Drain(server) => {
                self.update_list(EndpointInfo { state: EndpointState::Draining, ..endpoint(server) })
            }
            Fault::Gone(server) => {
                self.update_list(EndpointInfo { state: EndpointState::Gone, ..endpoint(server) })
            }
            Fault::Restart(server) => {
                *self.node(server) = StubNode::default();
                let address = recorded_events::node_address(server);
                self.recorder
                    .record(now, HistoryEvent::BackendStarted { address, capacity: NODE_WORK_PER_MS });
                self.update_list(EndpointInfo { started_at: time(now), ..endpoint(server) });
            }
            Fault::Kill(proxy) => {
                let state = &mut self.proxies[proxy];
                state.alive = false;
                state.incarnation += 1;
                state.open.clear();
                self.recorder.record(
                    now,
                    HistoryEvent::ProxyEnded { proxy: proxy_name(proxy), how: ProxyEnd::Killed },
                );
                self.schedule(400.0, FleetEvent::ProxyStarts(proxy));
            }
            Fault::DiscoveryCut(proxy, until) => self.proxies[proxy].discovery_cut_until = now + until,
        }
    }
}
