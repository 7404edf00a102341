//! Golden tests of the digests of the active settings and of the text of the policy. Processes of
//! different program versions compare both: if a digest changed, every process that runs another
//! program version would be reported as drifting.

use super::{applier, digest, digest_input, text};
use pinetrail_config::ParsedSettings;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Settings with every key that contributes to a digest, none with its default value.
fn settings() -> Value {
    json!({
        "GroupSize": 5,
        "MyNumber": 2,
        "Zone": 1,
        "Discovery": "push",
        "Tick": 2.5,
        "Grades": [
            {"Name": "read", "Aim": 10.0, "GiveUp": 100.0, "Semantics": "safe",
             "DedupScope": "all", "RepeatWindow": 0.0, "Worth": 1.0},
            {"Name": "write", "Aim": 20.0, "GiveUp": 200.5, "Semantics": "keyed",
             "DedupScope": "zone", "RepeatWindow": 3000.0, "Worth": 2.5},
            {"Name": "once", "Aim": 30.0, "GiveUp": 300.0, "Semantics": "unsafe",
             "DedupScope": "cell", "RepeatWindow": 0.0, "Worth": 0.5},
        ],
        "Orgs": [{"Name": "first"}, {"Name": "second"}],
        "Kinds": ["origin", "small", "large"],
        "Zones": ["east", "west"],
        "Permissions": {"MaxAttempts": 3, "ConnIdle": 60000.0, "MaxRetryAfter": 5000.0,
                        "ConnectTimeout": 125.0},
        "Safety": {"StartCapacity": 0.25, "Cold": 30000.0, "FallMultiple": 1.75,
                   "TipAfter": 500.0, "MustAskIn": 2000.0},
        "Prices": {"CrossZone": 0.125},
        "FamilyInfo": {"OriginKind": 0},
    })
}

fn part_digests() -> BTreeMap<String, u64> {
    let parsed = ParsedSettings::parse(&settings()).unwrap();
    digest::part_digests(&parsed.settings, &parsed.names, parsed.connect_timeout)
}

const PART_DIGESTS: [(&str, u64); 11] = [
    ("Discovery", 7_733_822_046_692_686_318),
    ("FamilyInfo", 10_720_703_537_942_230_592),
    ("Grades", 5_527_230_087_550_353_658),
    ("GroupSize", 16_058_596_026_395_164_274),
    ("Kinds", 12_760_244_640_639_290_487),
    ("Orgs", 1_170_627_544_513_034_843),
    ("Permissions", 7_287_658_458_908_342_912),
    ("Prices", 12_631_796_543_359_598_262),
    ("Safety", 5_095_884_251_318_227_984),
    ("Tick", 6_327_436_771_020_035_582),
    ("Zones", 5_631_438_573_785_323_218),
];
const COMBINED_DIGEST: u64 = 3_954_140_142_386_296_445;
const COMBINED_DIGEST_OF_NO_PARTS: u64 = 1_389_868_326_933_519_382;

#[test]
fn digests_of_all_parts_are_the_recorded_figures() {
    let parts = part_digests();
    let parts: Vec<(&str, u64)> = parts.iter().map(|(part, digest)| (&**part, *digest)).collect();
    assert_eq!(parts, PART_DIGESTS);
}

#[test]
fn the_combined_digest_is_the_recorded_figure() {
    assert_eq!(digest::combined_digest(&part_digests()), COMBINED_DIGEST);
    assert_eq!(digest::combined_digest(&BTreeMap::new()), COMBINED_DIGEST_OF_NO_PARTS);
}

/// Shows which text differs if a recorded digest no longer matches.
#[test]
fn digest_input_is_the_recorded_text_of_format_version_1() {
    let settings = ParsedSettings::parse(&settings()).unwrap().settings;
    let classes = concat!(
        "[Class { aim: 10.0, give_up: 100.0, effect: Safe, scope: All, ",
        "repeat_window: 0.0, worth: 1.0 }, ",
        "Class { aim: 20.0, give_up: 200.5, effect: Keyed, scope: Zone, ",
        "repeat_window: 3000.0, worth: 2.5 }, ",
        "Class { aim: 30.0, give_up: 300.0, effect: Unsafe, scope: Cell, ",
        "repeat_window: 0.0, worth: 0.5 }]",
    );
    let limits = "Limits { max_attempts: 3, conn_idle: 60000.0, max_retry_after: 5000.0 }";
    let safety = concat!(
        "Safety { start_capacity: 0.25, cold: 30000.0, fall_multiple: 1.75, ",
        "tip_after: 500.0, must_ask_in: 2000.0 }",
    );
    assert_eq!(digest_input::classes_text(&settings.classes), classes);
    assert_eq!(digest_input::limits_text(&settings.limits), limits);
    assert_eq!(digest_input::safety_limits_text(&settings.safety_limits), safety);
    assert_eq!(digest_input::costs_text(&settings.costs), "Prices { cross_zone: 0.125 }");
    assert_eq!(digest_input::backend_kinds_text(&settings.backend_kinds), "Family { origin_kind: 0 }");
}

#[test]
fn the_policy_is_the_recorded_text() {
    let recorded = concat!(
        r#"{"Discovery":"push","FamilyInfo":{"OriginKind":0},"#,
        r#""Grades":[{"Aim":10.0,"DedupScope":"all","GiveUp":100.0,"Name":"read","#,
        r#""RepeatWindow":0.0,"Semantics":"safe","Worth":1.0},"#,
        r#"{"Aim":20.0,"DedupScope":"zone","GiveUp":200.5,"Name":"write","#,
        r#""RepeatWindow":3000.0,"Semantics":"keyed","Worth":2.5},"#,
        r#"{"Aim":30.0,"DedupScope":"cell","GiveUp":300.0,"Name":"once","#,
        r#""RepeatWindow":0.0,"Semantics":"unsafe","Worth":0.5}],"#,
        r#""GroupSize":5,"Kinds":["origin","small","large"],"Orgs":[{"Name":"first"},"#,
        r#"{"Name":"second"}],"Permissions":{"ConnIdle":60000.0,"ConnectTimeout":125.0,"#,
        r#""MaxAttempts":3,"MaxRetryAfter":5000.0},"Prices":{"CrossZone":0.125},"#,
        r#""Safety":{"Cold":30000.0,"FallMultiple":1.75,"MustAskIn":2000.0,"#,
        r#""StartCapacity":0.25,"TipAfter":500.0},"Tick":2.5,"Zones":["east","west"]}"#,
    );
    assert_eq!(text::to_policy_text(&settings()), recorded);
}

#[test]
fn a_proxy_keeps_its_own_number_and_zone() {
    let common: Value = serde_json::from_str(&text::to_policy_text(&settings())).unwrap();
    assert_eq!(common.get("MyNumber"), None);
    assert_eq!(common.get("Zone"), None);
    assert_eq!(text::with_local_keys(&common, &settings()), settings());
}

#[test]
fn the_keys_of_settings_are_the_recorded_list() {
    let recorded = "Callers Discovery Family FamilyInfo Goal Grades GroupSize Kinds MyNumber Orgs \
                    OverShareWorth Permissions Prices Report Safety Stage Stages Tick ValueBy \
                    Weights Zone Zones";
    assert_eq!(text::SETTINGS_KEYS.join(" "), recorded);
}

#[test]
fn drift_messages_travel_on_channel_one() {
    assert_eq!(applier::DRIFT_CHANNEL, 1);
}
