//! Golden tests of the JSON by which operators propose a policy and read its status. Their tools
//! parse the keys and values, so a rename in the code must not change them.

use super::documents::{PolicyStatus, Proposal};
use super::PolicyResponse;
use serde_json::json;

#[test]
fn an_error_response_is_the_recorded_text() {
    let response = PolicyResponse::error(409, "why \"not\"");
    assert_eq!((response.status, response.json), (409, r#"{"error":"why \"not\""}"#.to_owned()));
}

#[test]
fn the_status_is_the_recorded_text_with_and_without_a_change() {
    let status = |change: Option<&str>| {
        let change = change.map(str::to_owned);
        let status = PolicyStatus {
            active_version: 7,
            agreed_digest: "d".into(),
            status: "steady",
            open_change: change,
        };
        serde_json::to_string(&status).unwrap()
    };
    let recorded = r#"{"version":7,"digest":"d","state":"steady","change":null}"#;
    assert_eq!(status(None), recorded);
    assert_eq!(status(Some("c")), recorded.replace("null", "\"c\""));
}

#[test]
fn a_proposal_is_parsed_by_the_recorded_keys() {
    let recorded = r#"{"id":"c","after":6,"settings":{"Tick":1}}"#;
    let proposal: Proposal = serde_json::from_str(recorded).unwrap();
    assert_eq!((&*proposal.id, proposal.base_version), ("c", 6));
    assert_eq!(proposal.settings, json!({"Tick": 1}));
}

#[test]
fn a_proposal_with_an_unknown_key_is_rejected_with_the_recorded_text() {
    let error = serde_json::from_str::<Proposal>(r#"{"name":"c"}"#).err().unwrap();
    let recorded = "unknown field `name`, expected one of `id`, `after`, `settings`";
    let place = " at line 1 column 7";
    assert_eq!(error.to_string(), format!("{recorded}{place}"));
}
