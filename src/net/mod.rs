//! The proxy on real sockets. Consumers ([`consumer`]) and providers ([`provider`]) meet only in the
//! [`exchange`], which alone asks the decision module. [`memcache`] and [`http`] are pure codecs,
//! on what [`codec`] gives both.
//!
//! Terms: a *consumer* is a client, a *provider* a cache node or the origin, an *invocation* a client's
//! request, an *invoker call* one attempt at a provider, a *rejection* a refusal.

pub mod admin;
pub mod backend;
pub mod body_stream;
pub mod client;
pub mod codec;
pub mod config;
pub mod counters;
pub mod deadline_stream;
pub mod descriptors;
pub mod discovery;
pub mod dispatcher;
pub mod drain;
pub mod fleet;
pub mod hot_restart;
pub mod lifecycle;
pub mod listener;
pub mod log;
pub mod memory;
pub mod policy;
pub mod timer;
