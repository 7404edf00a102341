use super::*;

fn status(request: &str) -> u16 {
    match call(request.as_bytes()) {
        Some(Err(said)) => said.status,
        other => panic!("{request:?}: {other:?}"),
    }
}

#[test]
fn calls_are_read_by_their_exact_names_and_methods() {
    let read = |line: &str| call(format!("{line} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes());
    assert_eq!(read("GET /control/ready"), Some(Ok(Call::Ready)));
    assert_eq!(read("GET /control/ready?x=1"), Some(Ok(Call::Ready)));
    assert_eq!(read("GET /control/fleet"), Some(Ok(Call::Fleet)));
    let offline = Call::Offline("a/b %".into());
    assert_eq!(read("POST /control/cache-nodes/a%2fb%20%25/offline"), Some(Ok(offline)));
    assert_eq!(read("POST /control/cache-nodes/s-1/online"), Some(Ok(Call::Online("s-1".into()))));
    assert_eq!(read("POST /control/out-of-service"), Some(Ok(Call::OutOfService)));
    let Some(Err(wrong)) = read("GET /control/in-service") else { panic!("a wrong method") };
    assert_eq!((wrong.status, wrong.allow), (405, Some("POST")));
    assert!(String::from_utf8_lossy(&wrong.words()).contains("\r\nAllow: POST\r\n"));
}

#[test]
fn what_is_no_call_is_told_apart() {
    assert_eq!(call(b"GET /control/ready HTTP/1.1\r\nHost"), None);
    assert_eq!(status("GET /control HTTP/1.1\r\n\r\n"), 404);
    assert_eq!(status("POST /control/cache-nodes/a/b/offline HTTP/1.1\r\n\r\n"), 404);
    for id in ["", "%", "%2", "%zz", "%ff"] {
        assert_eq!(status(&format!("POST /control/cache-nodes/{id}/offline HTTP/1.1\r\n\r\n")), 400);
    }
    assert_eq!(status("mn\r\n"), 400);
    assert_eq!(status(&format!("GET / HTTP/1.1\r\nA: {}\r\n", "x".repeat(MAX_HEAD))), 431);
    assert_eq!(status(&format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65))), 431);
}
