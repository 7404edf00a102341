//! Tests the error texts of rejected configurations, which name types and the number of their
//! fields. Operators know these texts, so a renamed type keeps its old name in them.

use super::{Config, ParsedSettings};
use serde_json::{json, Value};

fn config_error(json: &Value) -> String {
    Config::from_json(json.to_string().as_bytes(), None).unwrap_err().to_string()
}

fn file_with(key: &str, value: Value) -> Value {
    let mut file = json!({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}});
    file[key] = value;
    file
}

fn settings_error(json: &Value) -> String {
    ParsedSettings::parse(json).unwrap_err().to_string()
}

fn settings_with(key: &str, value: Value) -> Value {
    let mut settings = json!({
        "Grades": [{"Name": "a", "Aim": 1, "Semantics": "safe", "Worth": 1}],
        "Permissions": {"MaxAttempts": 1, "ConnIdle": 1, "MaxRetryAfter": 1},
        "Safety": {}, "Prices": {}, "FamilyInfo": {}, "GroupSize": 1, "MyNumber": 0, "Zone": 0,
    });
    settings[key] = value;
    settings
}

#[test]
fn a_value_of_another_type_is_rejected_with_the_recorded_name_of_the_type() {
    let entry = |entry: Value| json!({"instances": [entry]});
    let recorded = [
        (json!(1), ".: invalid type: integer `1`, expected struct File"),
        (json!([]), ".: invalid length 1, expected struct File with 9 elements"),
        (json!({"listen": 1}), "listen: invalid type: integer `1`, expected a string"),
        (file_with("limits", json!(1)), "limits: invalid type: integer `1`, expected struct Limits"),
        (file_with("known", json!(1)), "known: invalid type: integer `1`, expected struct Catalog"),
        (
            file_with("known", entry(json!(1))),
            "known.instances[0]: invalid type: integer `1`, expected struct Instance",
        ),
        (
            file_with("known", entry(json!([]))),
            "known.instances[0]: invalid length 0, expected struct Instance with 8 elements",
        ),
        (file_with("fleet", json!(1)), "fleet: invalid type: integer `1`, expected struct FleetFile"),
        (
            file_with("fleet", json!([])),
            "fleet: invalid length 0, expected struct FleetFile with 20 elements",
        ),
        (
            file_with("fleet", json!({"x": 1})),
            "fleet.x: unknown field `x`, expected one of `name`, `bind`, `advertise`, `peers`, `size`, \
             `period_ms`, `answer_ms`, `suspicion_ms`, `gossip_ms`, `reunion_ms`, `rejoin_ms`, \
             `forget_ms`, `founders`, `node_calls`, `origin_calls`, `ask_ms`, `vote_ms`, `lease_ms`, \
             `call_ms`, `policy`",
        ),
        (file_with("settings", json!(1)), "settings: invalid type: integer `1`, expected struct Words"),
        (
            file_with("settings", json!([])),
            "settings: invalid length 0, expected struct Words with 5 elements",
        ),
    ];
    for (json, text) in recorded {
        assert_eq!(config_error(&json), format!("configuration: {text}"), "{json}");
    }
}

/// Guards against a misspelt value of `Discovery`, which would otherwise silently mean `ask`.
#[test]
fn an_unknown_form_of_discovery_is_rejected() {
    let mut settings = settings_with("Discovery", json!("guess"));
    settings["Safety"] =
        json!({"StartCapacity": 0.1, "Cold": 1, "FallMultiple": 1, "TipAfter": 1, "MustAskIn": 1});
    settings["Tick"] = json!(1);
    settings["Grades"][0]["GiveUp"] = json!(1);

    let error = settings_error(&settings);

    assert_eq!(error, "configuration: Discovery \"guess\" is not ask or push");
}

#[test]
fn settings_of_another_type_are_rejected_with_the_recorded_name_of_the_type() {
    let recorded = [
        (json!("x"), ".: invalid type: string \"x\", expected struct Words"),
        (settings_with("Grades", json!([1])), "Grades[0]: invalid type: integer `1`, expected struct Named"),
        (
            settings_with("Grades", json!([[]])),
            "Grades[0]: invalid length 0, expected struct Named with 1 element",
        ),
        (
            settings_with("Orgs", json!([[]])),
            "Orgs[0]: invalid length 0, expected struct Named with 1 element",
        ),
        (
            settings_with("Permissions", json!(1)),
            "Permissions: invalid type: integer `1`, expected struct Connecting",
        ),
        (settings_with("Kinds", json!(1)), "Kinds: invalid type: integer `1`, expected a sequence"),
        (settings_with("Safety", json!(1)), "Safety: invalid type: integer `1`, expected struct Safety"),
        (
            settings_with("Safety", json!([])),
            "Safety: invalid length 0, expected struct Safety with 5 elements",
        ),
        (settings_with("Prices", json!(1)), "Prices: invalid type: integer `1`, expected struct Prices"),
        (
            settings_with("FamilyInfo", json!(1)),
            "FamilyInfo: invalid type: integer `1`, expected struct Family",
        ),
        (
            settings_with("Grades", json!([{"Name": "a", "Aim": 1, "Semantics": "x"}])),
            "Grades[0].Semantics: unknown variant `x`, expected one of `safe`, `keyed`, `unsafe`",
        ),
    ];
    for (json, text) in recorded {
        assert_eq!(settings_error(&json), format!("configuration: {text}"), "{json}");
    }
}
