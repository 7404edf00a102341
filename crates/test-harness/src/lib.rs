//! Real processes of the program, and round them all that they talk to: cache nodes, origin, discovery, clients and
//! operators, on loopback. Every wait is bounded; every process that was started is ended, also after a panic.
//!
//! For one proxy see [`Scene`], for several that know each other, with faults between them, [`fleet::Fleet`].

mod client;
mod config;
mod discovery;
pub mod fleet;
mod peer_fault_proxy;
mod stub_server;
pub mod policy;
mod process;
pub mod fault_proxy;
mod proxy_fixture;
pub mod script;
mod streams;
mod timeline;
mod barrier;
pub mod recorder;

pub use client::{call, say_to_door, Client};
pub use config::config;
pub use discovery::{catalog, Discovery, Steady};
pub use stub_server::{http_200, opaque, Does, Party};
pub use process::{end, program, signal, start};
pub use proxy_fixture::Scene;
pub use timeline::Timeline;
pub use barrier::{Caller, Turnstile};

use std::time::Duration;

/// What must come comes within this.
pub const WAIT: Duration = Duration::from_secs(10);
