//! The proxy closes a client's connection; what the client sends crosses that.

use super::*;
use std::time::Instant;

/// Says something again and again on a connection that the proxy has ended, for a time; whether that was a reset.
fn is_reset_by(client: &mut Client, words: &str, time: u64) -> bool {
    let until = Instant::now() + ms(time);
    while Instant::now() < until {
        if !client.try_say(words) {
            return true;
        }
        std::thread::sleep(ms(5));
    }
    false
}

/// Guards against a reset that may destroy the answer before it: the proxy ends a connection, and more is on its way. What
/// comes after that is thrown away, not taken; and a client that never ends its side keeps its descriptor for a moment only.
#[test]
fn what_crosses_the_end_of_a_connection_meets_no_reset_and_is_not_taken() {
    for how in ["sigterm", "sigterm over half a command", "out of service"] {
        let node = Party::full_node("v");
        let scene = Scene::of(&[&node], &Party::origin(|_| Does::Nothing));
        let mut client = scene.client();
        assert_eq!(client.read("k", "1", 900).1, "v\r\n");
        if how == "sigterm over half a command" {
            client.say("mg k v O2 Pc=re");
        }
        match how {
            "out of service" => assert_eq!(call(scene.door, "POST", "/control/out-of-service").0, 200),
            _ => scene.signal("TERM"),
        }
        scene.until("the proxy ends it", || client.is_closed());
        assert!(!is_reset_by(&mut client, "mg k v O3 Pc=read,t=acme,d=900\r\n", 150), "{how}");
        assert_eq!(client.line(), "", "{how}: nothing is answered after the end");
        assert_eq!(node.heard().len(), 1, "{how}: nothing that came after the end is taken");
        // It is let go of all the same.
        assert!(is_reset_by(&mut client, "\r\n", 2000), "{how}");
        if how != "out of service" {
            let output = scene.end();
            assert!(output.status.success(), "{how}: {:?}", output.status);
        }
    }
}

/// Guards against a drain that another signal ends, or begins anew.
#[test]
fn signals_in_a_drain_change_nothing() {
    let (node, origin) = (Turnstile::new(), Party::origin(|_| Does::Nothing));
    let scene = Scene::new(&[node.entry("s-0", "c6", "ready", 0), origin.entry("o", "origin", "ready")]);
    let mut client = scene.client();
    client.say("mg k v O1 Pc=read,t=acme,d=900\r\n");
    let mut asked = node.accept().expect("it is sent");
    let command = asked.request(false).expect("whole");
    let begun = Instant::now();
    ["TERM", "HUP", "TERM", "USR1"].into_iter().for_each(|name| scene.signal(name));
    assert!(asked.say(&value(&command, "v")));
    assert_eq!((client.line(), client.line()), ("VA 1 O1\r\n".into(), "v\r\n".into()));
    drop((client, asked));
    let output = scene.end();
    assert!(output.status.success(), "{:?}", output.status);
    // The longest wait is 1 s, and the kill comes 0.7 s after that.
    assert!(begun.elapsed() < ms(1700), "{:?}", begun.elapsed());
}
