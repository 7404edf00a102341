//! The response of a member to `GET /control/fleet`: [`Report`].

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A member's view of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The response as it was received.
    pub json: Value,
    /// The partition side: `whole`, `majority`, `minority` or `alone`.
    pub side: String,
    /// The members that the reporting member knows, by name.
    pub members: BTreeMap<String, ReportedMember>,
}

impl Report {
    /// Returns the names of the members that are reported in a state.
    pub fn names_in_state(&self, state: &str) -> Vec<&str> {
        self.members.iter().filter(|(_, member)| member.state == state).map(|(name, _)| &**name).collect()
    }
}

impl From<Value> for Report {
    fn from(json: Value) -> Report {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let member = |entry: &Value| {
            let member = ReportedMember { state: text(&entry["state"]), address: text(&entry["address"]) };
            (text(&entry["name"]), member)
        };
        let members = json["members"].as_array().into_iter().flatten().map(member).collect();
        Report { side: text(&json["side"]), members, json }
    }
}

/// The state and address of a member in a [`Report`].
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedMember {
    /// The state of the member: `alive`, `suspect`, `failed` or `left`.
    pub state: String,
    /// The address to which datagrams for the member are sent.
    pub address: String,
}

impl ReportedMember {
    /// Returns whether the member is reported as alive at this address.
    pub fn is_alive_at(&self, address: SocketAddr) -> bool {
        self.state == "alive" && self.address == address.to_string()
    }
}
