//! The proxy on real sockets. Clients ([`client`]) and backends ([`backend`]) are connected only
//! through the [`dispatcher`], the only caller of the decision module. The crate
//! [`pinetrail_codec`] has the codecs of the protocols, [`pinetrail_config`] the configuration.
//! [`lifecycle`] starts and stops everything; [`fleet`] and [`policy`] drive the control plane, and
//! are off unless configured. Read [`dispatcher`] first.
//!
//! Terms: a *backend* is a cache node or the origin, a *request* is a client's command until its
//! one response, and an *attempt* is one try of a request at one backend. `docs/glossary.md`
//! defines the others.

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
