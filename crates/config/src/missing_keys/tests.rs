//! Tests which keys a newer configuration must have.

use super::super::required_keys::REQUIRED_SETTINGS_KEYS;
use super::super::ParsedSettings;
use super::*;

/// Settings with every key that the operators define, and with keys that they do not.
const COMPLETE: &str = r#"{"Callers":{"MarksRetry":false},"Colour":"blue","Discovery":"ask","Family":"cache",
    "FamilyInfo":{"Mode":"aside","Notes":"","OriginFall":3000.0,"OriginFallMultiple":0.0,"OriginKind":3,
        "ReportX0":"","ReportX1":""},
    "Goal":{"Whole":0.6,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.1},
    "Grades":[
        {"Aim":750.0,"AimStretch":2.0,"Colour":1,"DedupScope":"all","GiveUp":1500.0,"LateWorth":0.0,
         "Name":"lookup","RepeatWindow":5000.0,"Semantics":"safe","Stream":false,"Worth":1.0},
        {"Aim":750.0,"AimStretch":2.0,"Colour":1,"DedupScope":"all","GiveUp":2500.0,"LateWorth":0.0,
         "Name":"hold","RepeatWindow":5000.0,"Semantics":"keyed","Stream":false,"Worth":8.0}],
    "GroupSize":1,"Kinds":["a","b","c","origin"],"MyNumber":0,
    "Orgs":[{"AllowancePerS":88.0,"Colour":1,"Name":"hel","Share":0.29}],"OverShareWorth":0.05,
    "Permissions":{"Cancel":true,"Colour":1,"ConnIdle":15000.0,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,
        "CpuUsPerS":15000,"MaxAttempts":3,"MaxOpen":20000,"MaxRetryAfter":2000.0,"PeerMessages":false,
        "Probing":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":32},
    "Prices":{"Connection":0.0,"CrossZone":0.0,"Discovery":0.0,"Fleet":0.0,"Handshake":0.0,"LateFail":0.1,
        "Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.06,"Waste":0.3},
    "Report":{"Columns":[],"How":"silent"},
    "Safety":{"AnswerSlack":20.0,"Cold":24000.0,"FallMultiple":3.0,"MustAskIn":10000.0,"StartCapacity":0.13,
        "StopSendingWithin":2000.0,"TipAfter":3000.0},
    "Stage":0,"Stages":["fare"],"Tick":5.0,"ValueBy":"work","Weights":"rough","Zone":0,"Zones":["z"]}"#;

fn value(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

/// Returns the settings without a key, in the last object of each list on its path.
fn without(path: &str) -> Value {
    let mut settings = value(COMPLETE);
    let mut object = &mut settings;
    let mut keys = path.split('.').peekable();
    while let Some(key) = keys.next() {
        if keys.peek().is_none() {
            assert!(object.as_object_mut().unwrap().remove(key).is_some(), "{path}");
            break;
        }
        object = match key.strip_suffix("[]") {
            Some(list) => object[list].as_array_mut().unwrap().last_mut().unwrap(),
            None => &mut object[key],
        };
    }
    settings
}

#[test]
fn a_key_that_a_newer_configuration_leaves_out_is_named() {
    let before = value(r#"{"a":{"b":1},"known":{"x":1},"list":[{"n":1,"m":2},{"n":2}],"plain":[1]}"#);
    let missing = |text| first_missing_key(&before, &value(text), ComparedObject::Configuration);
    assert_eq!(missing(r#"{"a":{"b":2,"c":3},"list":[{"n":1}],"plain":[],"new":0}"#), None);
    assert_eq!(missing(r#"{"a":{},"list":[],"plain":[]}"#).as_deref(), Some("a.b"));
    assert_eq!(
        missing(r#"{"a":{"b":1},"list":[{"n":1},{"m":1}],"plain":[]}"#).as_deref(),
        Some("list.[1].n")
    );
    assert_eq!(missing(r#"{"a":{"b":1},"list":[]}"#).as_deref(), Some("plain"));
}

/// Guards against settings that lose a value by mistake, in the configuration file and in a policy
/// of the fleet.
#[test]
fn settings_without_a_required_key_are_rejected() {
    let before = value(COMPLETE);
    for path in REQUIRED_SETTINGS_KEYS {
        let now = without(path);
        let missing = first_missing_key(&before, &now, ComparedObject::Settings);
        let name = path.rsplit('.').next().unwrap();
        assert!(missing.as_ref().is_some_and(|missing| missing.ends_with(name)), "{path}: {missing:?}");
        assert!(ParsedSettings::parse_after(&now, &before).is_err(), "{path}");
        let file = |settings: Value| serde_json::json!({ "settings": settings });
        let missing_in_file =
            first_missing_key(&file(before.clone()), &file(now), ComparedObject::Configuration);
        assert_eq!(missing_in_file, missing.map(|missing| format!("settings.{missing}")));
    }
}

/// Guards against settings that are rejected as a whole because a key is absent that may be.
#[test]
fn settings_without_an_optional_or_undefined_key_are_accepted() {
    let before = value(COMPLETE);
    for path in ["Grades[].AimStretch", "Grades[].Colour", "Colour", "Orgs[].Colour", "Permissions.Colour"] {
        let accepted = ParsedSettings::parse_after(&without(path), &before);
        assert!(accepted.is_ok(), "{path}: {accepted:?}");
    }
    let mut without_stretch = without("Grades[].AimStretch");
    without_stretch["Grades"][0].as_object_mut().unwrap().remove("AimStretch");
    assert!(ParsedSettings::parse_after(&without_stretch, &before).is_ok(), "in no class");
    assert!(ParsedSettings::parse_after(&before, &without_stretch).is_ok(), "in all classes again");
}
