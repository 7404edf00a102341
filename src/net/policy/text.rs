//! Conversion between settings and the text of a policy, which is the same at all proxies. The text
//! has the keys of the settings file without those that are local to one proxy.

use serde_json::Value;

/// The keys that are local to one proxy. Each proxy keeps its own values of them.
const LOCAL_KEYS: [&str; 2] = ["MyNumber", "Zone"];
/// All keys of settings that this program knows.
///
/// Note: other keys are rejected, since a misspelt key in a policy would affect all processes of
/// the fleet at once.
pub(super) const SETTINGS_KEYS: [&str; 22] = [
    "Callers",
    "Discovery",
    "Family",
    "FamilyInfo",
    "Goal",
    "Grades",
    "GroupSize",
    "Kinds",
    "MyNumber",
    "Orgs",
    "OverShareWorth",
    "Permissions",
    "Prices",
    "Report",
    "Safety",
    "Stage",
    "Stages",
    "Tick",
    "ValueBy",
    "Weights",
    "Zone",
    "Zones",
];

/// Returns the policy text of settings: JSON without the local keys, with all keys sorted.
pub(super) fn to_policy_text(settings: &Value) -> String {
    let mut policy = settings.clone();
    if let Some(object) = policy.as_object_mut() {
        for key in LOCAL_KEYS {
            object.remove(key);
        }
    }
    policy.to_string()
}

/// Returns the settings of one proxy: the policy with the local keys of that proxy's settings.
pub(super) fn with_local_keys(policy: &Value, local_settings: &Value) -> Value {
    let mut settings = policy.clone();
    if let Some(object) = settings.as_object_mut() {
        for key in LOCAL_KEYS {
            object.remove(key);
            if let Some(value) = local_settings.get(key) {
                object.insert(key.to_owned(), value.clone());
            }
        }
    }
    settings
}

#[cfg(test)]
mod tests;
