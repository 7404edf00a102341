//! An entry of discovery's list in the module's terms.

use crate::interface::{Member, State};
use crate::net::config::{Instance, Names};
use crate::net::log::log;

/// One provider as discovery tells of it.
#[derive(Clone, Debug)]
pub(super) struct Provider {
    /// Its name, the same at every proxy.
    pub name: String,
    /// Where it is reached from here.
    pub address: String,
    /// What the module hears of it; its number is put in by the exchange.
    pub member: Member,
}

/// An entry in the module's terms; one in an unknown state is left out.
pub(super) fn provider(names: &Names, instance: Instance) -> Option<Provider> {
    let state = match instance.lifecycle.as_str() {
        "ready" => State::Ready,
        "draining" => State::Draining,
        "gone" => State::Gone,
        other => {
            log(&format!("{} is in the unknown state {other:?}", instance.instance_id));
            return None;
        }
    };
    let member = Member {
        server: 0,
        zone: names.zone(&instance.zone),
        kind: names.kind(&instance.machine_type),
        cell: instance.cell,
        state,
        size: instance.weight,
        started: instance.started_at_ms,
    };
    Some(Provider { name: instance.instance_id, address: instance.host_port, member })
}
