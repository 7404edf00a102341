//! Builds the configuration of a proxy under test: [`config`].

/// The settings of every configuration, as JSON.
const SETTINGS: &str = r#"{"GroupSize":1,"MyNumber":0,"Discovery":"ask","Zones":["a"],"Zone":0,"Tick":1.0,
    "Kinds":["c6","origin"],"FamilyInfo":{"OriginKind":1},"Orgs":[{"Name":"acme"}],
    "Grades":[{"Name":"read","Aim":400.0,"GiveUp":1000.0,"Semantics":"safe","DedupScope":"all"},
              {"Name":"put","Aim":400.0,"GiveUp":1000.0,"Semantics":"keyed","DedupScope":"all","RepeatWindow":5000.0},
              {"Name":"confirm","Aim":400.0,"GiveUp":1000.0,"Semantics":"unsafe","DedupScope":"all"}],
    "Permissions":{"MaxAttempts":3,"SecondCopies":false,"Cancel":true,"MaxRetryAfter":2000.0,
                   "ConnIdle":1500.0,"ConnectTimeout":250.0},
    "Safety":{"StartCapacity":0.2,"Cold":9000.0,"FallMultiple":3.0,"TipAfter":1500.0,"MustAskIn":10000.0}}"#;

/// Returns a valid configuration of a proxy: the address at which it listens, the address of
/// discovery, its limit of file descriptors, and its cached endpoint list as JSON.
pub fn config(listen: &str, discovery: &str, sockets: usize, known: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"known":{known},"settings":{SETTINGS}}}"#
    )
}
