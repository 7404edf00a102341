//! The proxy on real sockets. Clients ([`client`]) and backends ([`backend`]) meet only in the
//! [`dispatcher`], which alone asks the decision module. The codecs of the protocols are the crate
//! [`pinetrail_codec`], the configuration is [`pinetrail_config`]. [`lifecycle`] starts and ends all
//! of it; [`fleet`] and [`policy`] drive the control plane, and are off unless configured.
//!
//! Terms: a *backend* is a cache node or the origin, a *request* a client's command until its one
//! response, an *attempt* one try of it at one backend. `docs/glossary.md` has the others.

pub mod admin;
pub mod attempt_id;
pub mod backend;
pub mod body_stream;
pub mod client;
pub mod counters;
pub mod deadline_stream;
pub mod descriptors;
pub mod discovery;
pub mod dispatcher;
pub mod drain;
pub mod fleet;
pub mod hold_up;
pub mod hot_restart;
pub mod lifecycle;
pub mod listener;
pub mod log;
pub mod memory;
pub mod policy;
pub mod polled_socket;
pub mod request_log;
pub mod time_limits;
pub mod timer;
