use super::*;

/// Guards the texts that operators read in the JSON of `/control/policy`.
#[test]
fn errors_of_a_policy_text_name_the_key_and_the_values() {
    let unknown = PolicyTextError::UnknownKey { key: "Tik".into(), nearest: "Tick".into() };
    let over = PolicyTextError::ClientTimeoutOverCallLimit {
        client_timeout: TimeSpan::from_ms(300.5),
        call_limit_ms: 300,
    };

    let expected = r#"settings.Tik: this program does not know it; the nearest known one is "Tick""#;
    assert_eq!(unknown.to_string(), expected);
    assert_eq!(over.to_string(), "Grades: the longest GiveUp, 300.5, is over fleet.call_ms, 300");
    assert_eq!(PolicyTextError::NotAnObject.to_string(), "settings: no object");
}
