//! Defines the settings of the decision module and its types for time, for the module itself and
//! for the checks of the configuration. The crate does no I/O. Read [`settings::Settings`] first;
//! [`time`] has points in time and lengths of time.

pub mod settings;
pub mod time;
