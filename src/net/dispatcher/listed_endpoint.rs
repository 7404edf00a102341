//! [`ListedEndpoint`]: an entry of the endpoint list, converted for the decision module.

use crate::interface::{BackendId, EndpointInfo, EndpointState};
use crate::net::log::log;
use crate::time::Timestamp;
use pinetrail_config::{Instance, Names};

/// An entry of the endpoint list, converted for the decision module.
#[derive(Clone, Debug)]
pub(super) struct ListedEndpoint {
    /// The name of the backend, the same at every proxy.
    pub name: String,
    /// The address at which this proxy reaches the backend.
    pub address: String,
    /// The entry that the decision module receives. The dispatcher sets its backend number.
    pub info: EndpointInfo,
}

impl ListedEndpoint {
    /// Converts an entry of the list. An entry whose state is unknown is logged and ignored.
    pub(super) fn from_instance(names: &Names, instance: Instance) -> Option<ListedEndpoint> {
        let state = match instance.lifecycle.as_str() {
            Instance::READY => EndpointState::Ready,
            Instance::DRAINING => EndpointState::Draining,
            Instance::GONE => EndpointState::Gone,
            other => {
                log(&format!(
                    "discovery lists {} in the unknown state {other:?}; the entry is ignored",
                    instance.instance_id
                ));
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
