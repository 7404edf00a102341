//! [`ListedEndpoint`]: an entry of the endpoint list in the decision module's terms.

use crate::interface::{BackendId, EndpointInfo, EndpointState};
use crate::net::log::log;
use crate::time::Timestamp;
use pinetrail_config::{Instance, Names};

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub(super) struct ListedEndpoint {
    /// Its name, the same at every proxy.
    pub name: String,
    /// Its address for this proxy.
    pub address: String,
    /// The entry that the module receives. The dispatcher sets its number.
    pub info: EndpointInfo,
}

impl ListedEndpoint {
    /// Converts an entry of the list. An entry in an unknown state is logged and gives none.
    pub(super) fn from_instance(names: &Names, instance: Instance) -> Option<ListedEndpoint> {
        let state = match instance.lifecycle.as_str() {
            Instance::READY => EndpointState::Ready,
            Instance::DRAINING => EndpointState::Draining,
            Instance::GONE => EndpointState::Gone,
            other => {
                log(&format!("{} is in the unknown state {other:?}", instance.instance_id));
                return None;
            }
        };
        let info = EndpointInfo {
            backend: BackendId::default(),
            zone: names.zone(&instance.zone),
            kind: names.kind(&instance.machine_type),
            cell: instance.cell,
            state,
            weight: instance.weight,
            started_at: Timestamp::from_ms(instance.started_at_ms),
        };
        Some(ListedEndpoint { name: instance.instance_id, address: instance.host_port, info })
    }
}
