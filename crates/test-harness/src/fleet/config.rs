//! Builds the configurations of a fleet's members and writes them to files.

use super::{Fleet, PEER_PORT};
use crate::config::config;
use crate::discovery::endpoint_list_json;
use crate::process::write_config;
use crate::stub_server::StubServer;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Limit of file descriptors of each member.
const MEMBER_SOCKETS: usize = 256;

impl Fleet {
    /// Returns the configuration of a member whose `fleet.peers` are these members.
    pub fn config(&self, member: usize, peers: &[usize]) -> Value {
        let discovery = self.server_faults[member][self.nodes.len() + 1].address.to_string();
        let text = config(
            "127.0.0.1:0",
            &discovery,
            MEMBER_SOCKETS,
            &endpoint_list_json(1, true, &self.endpoints(member)),
        );
        let mut config: Value = serde_json::from_str(&text).expect("the harness writes valid JSON");
        // A process that dials a free port of its own source address may connect to itself, and
        // then occupies that port. Therefore each member listens at an address of its own.
        let free = SocketAddr::new(self.member_address(member).ip(), 0);
        let listen = self.client_addresses[member].unwrap_or(free);
        config["name"] = json!(Fleet::name(member));
        config["listen"] = json!(listen.to_string());
        config["admin"] = json!("127.0.0.1:0");
        config["seed"] = json!(format!("{:x}", member + 1));
        config["settings"]["GroupSize"] = json!(self.options.members);
        config["settings"]["MyNumber"] = json!(member);
        config["fleet"] = self.fleet_section(member, peers);
        config
    }

    /// Returns the entries of a member's endpoint list, with the addresses of the fault proxies in
    /// front of the servers.
    fn endpoints(&self, member: usize) -> Vec<String> {
        let proxied_entry = |server: &StubServer, name: &str, kind: &str, proxy_index: usize| {
            let entry = server.entry(name, kind, "ready");
            let proxy = self.server_faults[member][proxy_index].address;
            entry.replace(&server.address.to_string(), &proxy.to_string())
        };
        let nodes = self.nodes.iter().enumerate();
        let mut entries: Vec<String> =
            nodes.map(|(n, server)| proxied_entry(server, &format!("s-{n}"), "c6", n)).collect();
        entries.push(proxied_entry(&self.origin, "o", "origin", self.nodes.len()));
        entries
    }

    fn fleet_section(&self, member: usize, peers: &[usize]) -> Value {
        let others = peers.iter().filter(|peer| **peer != member);
        let peers: Vec<String> = others.map(|peer| self.advertised_address(*peer).to_string()).collect();
        let mut fleet = json!({
            "name": "gdynia",
            "bind": self.member_address(member).to_string(),
            "advertise": self.advertised_address(member).to_string(),
            "peers": peers,
            "size": self.options.size,
        });
        if self.options.founders.is_empty() {
            return fleet;
        }
        let founders = self.options.founders.iter();
        fleet["founders"] = founders.map(|founder| self.advertised_address(*founder).to_string()).collect();
        // These times are shorter than the defaults, to keep the tests short.
        for (field, ms) in [("ask_ms", 200), ("vote_ms", 900), ("lease_ms", 2000), ("call_ms", 1000)] {
            fleet[field] = json!(ms);
        }
        if let Some(calls) = self.options.node_calls {
            fleet["node_calls"] = json!(calls);
        }
        if self.options.policy {
            fleet["policy"] = self.policy_section(member);
        }
        fleet
    }

    fn policy_section(&self, member: usize) -> Value {
        json!({
            "bind": SocketAddr::new(self.member_address(member).ip(), PEER_PORT).to_string(),
            "advertise": SocketAddr::new(self.advertised_address(member).ip(), PEER_PORT).to_string(),
            "state_dir": self.state_dir(member),
            "permit_ms": 1000, "renew_ms": 250, "ready_ms": 1500, "change_ms": 8000,
        })
    }

    /// Returns the folder in which a member that is a founder keeps its durable state.
    pub fn state_dir(&self, member: usize) -> PathBuf {
        self.temp_dir.join(format!("state-{member}"))
    }

    /// Writes the configuration of a member whose `fleet.peers` are these members to a new file;
    /// returns the path.
    pub(super) fn write_config(&self, member: usize, peers: &[usize]) -> PathBuf {
        write_config(&self.config(member, peers).to_string())
    }

    /// Replaces the configuration file of a member; a running process reads it only at SIGHUP.
    pub fn set_config(&mut self, member: usize, config: &Value) {
        std::fs::write(&self.configs[member], config.to_string())
            .expect("the configuration file of a member can be written");
    }

    /// Makes every later process of a member listen for clients at `address`, which the system
    /// assigned to its first process.
    pub(super) fn keep_client_address(&mut self, member: usize, address: SocketAddr) {
        self.client_addresses[member] = Some(address);
        let text = std::fs::read_to_string(&self.configs[member])
            .expect("the configuration file of a member can be read");
        let mut config: Value = serde_json::from_str(&text).expect("the harness writes valid JSON");
        config["listen"] = json!(address.to_string());
        self.set_config(member, &config);
    }
}
