//! The texts of the policies that operators propose in a run.

/// The prefix of a policy that one host rejects. The number of that host follows.
const REJECTED_AT: &str = "rejected at ";

/// Returns the text of a policy that every host accepts.
pub(super) fn valid_policy(unique: u32) -> String {
    format!("policy {unique}")
}

/// Returns the text of a policy that this host rejects.
pub(super) fn rejected_policy(host: usize, unique: u32) -> String {
    format!("{REJECTED_AT}{host} {unique}")
}

/// Whether this host rejects a policy.
pub(super) fn is_rejected_at(text: &str, host: usize) -> bool {
    let rejecting_host = text.strip_prefix(REJECTED_AT).and_then(|rest| rest.split(' ').next());
    rejecting_host.is_some_and(|rejecting| rejecting == host.to_string())
}
