//! The policy as a text that all proxies have alike: the settings but for what belongs to one proxy alone.

use serde_json::Value;

/// What belongs to one proxy: each keeps its own.
const OWN: [&str; 2] = ["MyNumber", "Zone"];
/// All that this program knows of settings. Danger: a slip in a policy would take hold everywhere at once.
pub(super) const KNOWN: [&str; 22] = [
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

/// What all have alike, in one form: its keys are in order.
pub(super) fn common(settings: &Value) -> String {
    let mut common = settings.clone();
    if let Some(object) = common.as_object_mut() {
        for key in &OWN {
            drop(object.remove(*key));
        }
    }
    common.to_string()
}

/// The same with what is this proxy's own.
pub(super) fn with_own(common: &Value, own: &Value) -> Value {
    let mut all = common.clone();
    if let Some(object) = all.as_object_mut() {
        for key in OWN {
            object.remove(key);
            if let Some(value) = own.get(key) {
                object.insert(key.to_owned(), value.clone());
            }
        }
    }
    all
}

#[cfg(test)]
mod tests;
