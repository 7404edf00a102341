//! Tests of endpoint lists that arrive in fragments, are malformed, or exceed the bounds.

use super::*;

const ENTRY: &str = r#"{"instanceId":"a}\"{\n","hostPort":"127.0.0.1:1","lifecycle":"ready"}"#;

/// Returns the generation and the number of endpoints of each list that these bytes complete.
fn read_lists(reader: &mut ListReader, bytes: &[u8]) -> Result<Vec<(u64, usize)>, ListError> {
    reader.push(bytes)?;
    let mut lists = Vec::new();
    while let Some(list) = reader.next_list()? {
        lists.push((list.generation, list.instances.len()));
    }
    Ok(lists)
}

#[test]
fn lists_are_read_with_any_indentation_in_fragments_of_any_size() {
    let indented = format!("{{\n  \"generation\": 7,\r\n\n  \"instances\": [\n    {ENTRY}\n  ]\n}}\n");
    let text = format!("\r\n{indented}\n\n{{\"generation\":8}}{{\"generation\":9,\"reset\":true}}\n");
    let expected = [(7, 1), (8, 0), (9, 0)];
    for step in [1, 2, 3, 7, 64, text.len()] {
        let mut reader = ListReader::new(1 << 10);

        let parts = text.as_bytes().chunks(step).map(|part| read_lists(&mut reader, part));

        assert_eq!(
            parts.collect::<Result<Vec<_>, _>>().unwrap().concat(),
            expected,
            "fragments of {step} bytes"
        );
        assert!(reader.is_empty());
    }
}

#[test]
fn malformed_text_is_an_error_after_the_valid_lists_before_it() {
    let mut reader = ListReader::new(1 << 10);

    reader.push(b"{\"generation\":1}\n{\"generation\":x}\n").unwrap();

    assert_eq!(reader.next_list().unwrap().map(|list| list.generation), Some(1));
    assert!(reader.next_list().is_err());
    for malformed in ["]", "[1]", "{\"generation\":-1}", "{\"generation\":1,}", "{\"instances\":[{}]}"] {
        assert!(read_lists(&mut ListReader::new(1 << 10), malformed.as_bytes()).is_err(), "{malformed}");
    }
}

#[test]
fn size_and_depth_are_bounded() {
    let mut reader = ListReader::new(100);
    let long = format!("{{\"generation\":1,{}", " ".repeat(100));
    assert!(read_lists(&mut reader, long.as_bytes()).is_err());

    let deep = format!("{{\"x\":{0}1{1},\"generation\":3}}", "[".repeat(100_000), "]".repeat(100_000));
    assert_eq!(read_lists(&mut ListReader::new(1 << 20), deep.as_bytes()).unwrap(), vec![(3, 0)]);

    let deep = format!("{{\"instances\":{}", "[".repeat(100_000));
    assert!(read_lists(&mut ListReader::new(1 << 20), deep.as_bytes()).is_err());
}
