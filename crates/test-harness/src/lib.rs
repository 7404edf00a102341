//! Runs real processes of the proxy, and on loopback everything that they talk to: cache nodes,
//! origin, discovery, clients and operators. Every wait is bounded; every process that was started
//! is ended, also after a panic.
//!
//! Tests of one proxy start with [`ProxyFixture`]; tests of a fleet, with faults between its
//! members, with [`fleet::Fleet`].

mod arrival;
mod barrier;
mod client;
mod config;
mod discovery;
pub mod fault_proxy;
pub mod fleet;
mod paced_response;
pub mod policy;
mod process;
mod proxy_fixture;
pub mod recorder;
mod run_folder;
pub mod script;
mod stub_server;
mod timeline;

pub use arrival::{record_arrivals, ArrivalStream};
pub use barrier::{AcceptBarrier, AcceptedConnection};
pub use client::{call_admin, send_to_admin, Client};
pub use config::config;
pub use discovery::{endpoint_list_json, Discovery, StaticDiscovery};
pub use paced_response::{Completion, Deliveries, Delivery, Framing, PacedResponse, FRAMINGS};
pub use process::{
    anonymous_memory_kb, keep_request_logs, set_program, signal, start_proxy, wait_for_exit, HoldUp,
};
pub use proxy_fixture::ProxyFixture;
pub use run_folder::{remove_run_folder, run_folder};
pub use stub_server::{http_200, opaque, StubAction, StubServer};
pub use timeline::Timeline;

use std::time::Duration;

/// Longest time that a test waits for an expected event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
