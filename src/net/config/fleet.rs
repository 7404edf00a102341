//! What the `fleet` object of the configuration says, in the form of the core.

use super::{address, ConfigError};
use crate::net::fleet::FleetConfig;
use pinetrail_members::{Settings, Times};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    name: String,
    bind: String,
    advertise: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    size: usize,
    period_ms: Option<u64>,
    answer_ms: Option<u64>,
    suspicion_ms: Option<u64>,
    gossip_ms: Option<u64>,
    reunion_ms: Option<u64>,
    rejoin_ms: Option<u64>,
    forget_ms: Option<u64>,
}

/// Reads the object for the proxy of this name.
pub fn fleet(file: FleetFile, own: &str) -> Result<FleetConfig, ConfigError> {
    let bind = address("fleet.bind", file.bind)?;
    let advertise = file.advertise.map(|at| address("fleet.advertise", at)).transpose()?;
    let peers = file.peers.into_iter().map(|at| address("fleet.peers", at)).collect::<Result<_, _>>()?;
    let usual = Times::default();
    let times = Times {
        period: file.period_ms.unwrap_or(usual.period),
        answer: file.answer_ms.unwrap_or(usual.answer),
        suspicion: file.suspicion_ms.unwrap_or(usual.suspicion),
        gossip: file.gossip_ms.unwrap_or(usual.gossip),
        reunion: file.reunion_ms.unwrap_or(usual.reunion),
        rejoin: file.rejoin_ms.unwrap_or(usual.rejoin),
        forget: file.forget_ms.unwrap_or(usual.forget),
    };
    let settings = Settings {
        fleet: file.name,
        name: own.to_owned(),
        advertise: advertise.unwrap_or(bind),
        peers,
        size: file.size,
        times,
    };
    settings.check().map_err(|error| ConfigError::Fleet(error.to_string()))?;
    Ok(FleetConfig { bind, advertise, settings })
}
