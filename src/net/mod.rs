//! The proxy on real sockets. Consumers ([`consumer`]) and providers ([`provider`]) meet only in the
//! [`exchange`], which alone asks the decision module. [`memcache`] and [`http`] are pure codecs,
//! on what [`codec`] gives both.
//!
//! Terms: a *consumer* is a client, a *provider* a cache node or the origin, an *invocation* a client's
//! request, an *invoker call* one attempt at a provider, a *rejection* a refusal.

pub mod admin;
pub mod codec;
pub mod config;
pub mod consumer;
pub mod counters;
pub mod descriptors;
pub mod discovery;
pub mod drain;
pub mod exchange;
pub mod fleet;
pub mod flow;
pub mod guard;
pub mod http;
pub mod lifecycle;
pub mod link;
pub mod listen;
pub mod log;
pub mod memcache;
pub mod memory;
pub mod policy;
pub mod provider;
pub mod takeover;
