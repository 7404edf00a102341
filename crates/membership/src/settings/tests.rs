use super::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn what_could_not_be_is_told_at_the_start() {
    let good = Settings {
        fleet: "gdynia".into(),
        name: "n0".into(),
        advertise: at(1),
        peers: vec![at(2), at(3)],
        size: 3,
        times: Timing::default(),
    };
    assert_eq!(good.check(), Ok(()));
    let bad = |change: fn(&mut Settings)| {
        let mut settings = good.clone();
        change(&mut settings);
        settings.check().expect_err("it is bad").to_string()
    };
    assert!(bad(|s| s.fleet.clear()).contains("fleet.name"));
    assert!(bad(|s| s.name = "a b".into()).contains("name"));
    assert!(bad(|s| s.name = "x".repeat(65)).contains("1 to 64"));
    assert!(bad(|s| s.advertise = "0.0.0.0:1".parse().unwrap()).contains("advertise"));
    assert!(bad(|s| s.peers[0] = s.advertise).contains("itself"));
    assert!(bad(|s| s.peers[1] = s.peers[0]).contains("twice"));
    assert!(bad(|s| s.peers[1].set_port(0)).contains("peers"));
    assert!(bad(|s| s.size = 2).contains("size 2 is not 3 to 1024"));
    assert!(bad(|s| s.size = 1025).contains("size"));
    assert!(bad(|s| s.times.answer = 450).contains("answer_ms 450 is not 10 to 320"));
    assert!(bad(|s| s.times.suspicion = 1).contains("suspicion_ms"));
}
