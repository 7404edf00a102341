//! Leases of quota (Gray and Cheriton 1989). A holder has one [`LeaseState`]. The leader decides on
//! lease requests by a [`LeaseLedger`], which records the leases that it has granted.

mod lease;
mod ledger;

pub use lease::Lease;
pub(crate) use lease::LeaseState;
pub(crate) use ledger::{LeaseDecision, LeaseLedger};
