//! Tests of what a watch says, cut and spoilt.

use super::*;

const ENTRY: &str = r#"{"instanceId":"a}\"{\n","hostPort":"127.0.0.1:1","lifecycle":"ready"}"#;

fn told(lists: &mut Lists, part: &[u8]) -> Result<Vec<(u64, usize)>, Ended> {
    lists.push(part)?;
    let mut all = Vec::new();
    while let Some(list) = lists.next()? {
        all.push((list.generation, list.instances.len()));
    }
    Ok(all)
}

#[test]
fn lists_are_read_however_they_are_indented_and_cut() {
    let indented = format!("{{\n  \"generation\": 7,\r\n\n  \"instances\": [\n    {ENTRY}\n  ]\n}}\n");
    let text = format!("\r\n{indented}\n\n{{\"generation\":8}}{{\"generation\":9,\"reset\":true}}\n");
    let wanted = [(7, 1), (8, 0), (9, 0)];
    for step in [1, 2, 3, 7, 64, text.len()] {
        let mut lists = Lists::new(1 << 10);
        let parts = text.as_bytes().chunks(step).map(|part| told(&mut lists, part));
        assert_eq!(parts.collect::<Result<Vec<_>, _>>().unwrap().concat(), wanted, "{step}");
        assert!(lists.is_empty());
    }
}

#[test]
fn a_spoilt_rest_ends_it_once_what_came_before_is_told() {
    let mut lists = Lists::new(1 << 10);
    lists.push(b"{\"generation\":1}\n{\"generation\":x}\n").unwrap();
    assert_eq!(lists.next().unwrap().map(|list| list.generation), Some(1));
    assert!(lists.next().is_err());
    for spoilt in ["]", "[1]", "{\"generation\":-1}", "{\"generation\":1,}", "{\"instances\":[{}]}"] {
        assert!(told(&mut Lists::new(1 << 10), spoilt.as_bytes()).is_err(), "{spoilt}");
    }
}

#[test]
fn size_and_depth_are_bounded() {
    let mut lists = Lists::new(100);
    let long = format!("{{\"generation\":1,{}", " ".repeat(100));
    assert!(told(&mut lists, long.as_bytes()).is_err());
    let deep = format!("{{\"x\":{0}1{1},\"generation\":3}}", "[".repeat(100_000), "]".repeat(100_000));
    assert_eq!(told(&mut Lists::new(1 << 20), deep.as_bytes()), Ok(vec![(3, 0)]));
    let deep = format!("{{\"instances\":{}", "[".repeat(100_000));
    assert!(told(&mut Lists::new(1 << 20), deep.as_bytes()).is_err());
}
