//! Real processes of the program, and everything that they talk to: cache nodes, origin, discovery,
//! clients and operators, on loopback. Every wait is bounded; every process that was started is
//! ended, also after a panic.
//!
//! For one proxy see [`ProxyFixture`], for several that know each other, with faults between them,
//! [`fleet::Fleet`].

mod arrival;
mod barrier;
mod client;
mod config;
mod discovery;
pub mod fault_proxy;
pub mod fleet;
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
pub use process::{keep_request_logs, set_program, signal, start_proxy, wait_for_exit};
pub use proxy_fixture::ProxyFixture;
pub use run_folder::{remove_run_folder, run_folder};
pub use stub_server::{http_200, opaque, StubAction, StubServer};
pub use timeline::Timeline;

use std::time::Duration;

/// How long a test waits for an expected event.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
