//! Tests of settings files: what the schema accepts, how values are parsed, and how faults are reported.

use wharfplank_settings::schema::{ElementType, Schema, SimpleType};
use wharfplank_settings::{consistency_faults, load, parse, xml_tree, Settings, SCHEMA};

const EXAMPLE: &str = include_str!("../../../deploy/settings.example.xml");

fn fault_places(text: &str) -> Vec<(usize, String)> {
    parse(text).unwrap_err().into_iter().map(|fault| (fault.line, fault.place)).collect()
}

/// Returns values at the boundaries of a type, and values just outside of them.
fn boundary_values(kind: &SimpleType) -> (Vec<String>, Vec<String>) {
    let text = |length: usize| "x".repeat(length);
    let (mut valid, mut invalid) = (kind.values.clone(), vec![]);
    if let Some(pattern) = kind.pattern.as_ref().filter(|pattern| !pattern.regex.is_match("127.0.0.1:7001")) {
        // The only pattern that is not for addresses is the one for tenants.
        assert!(pattern.regex.is_match("0=1"));
        valid.extend(["0=1", "none", "12=100 99999999=9999999"].map(String::from));
        invalid.extend(["x", "", "1", "1=", "=1", "1=2  3=4", "-1=2", "1=2.5", "1=2,3=4"].map(String::from));
    } else if kind.pattern.is_some() {
        valid.extend(["127.0.0.1:7001".to_string(), "10.0.0.4:0".to_string()]);
        invalid.extend([
            "x".to_string(),
            String::new(),
            "1.2.3.4".to_string(),
            "127.0.0.1:70010".to_string(),
        ]);
    } else if !kind.values.is_empty() {
        invalid.extend(["other".to_string(), String::new()]);
    } else if kind.is_integer {
        let (min_value, max_value) = (kind.min.expect("a bound"), kind.max.expect("a bound"));
        valid.extend([min_value, max_value].map(|n| n.to_string()));
        invalid.extend([min_value - 1, max_value + 1].map(|n| n.to_string()));
        invalid.extend([String::new(), "1.5".to_string(), "ten".to_string()]);
    } else {
        let max_chars = kind.max_length.expect("a bound");
        valid.extend([text(kind.min_length), text(max_chars)]);
        invalid.extend([text(kind.min_length - 1), text(max_chars + 1)]);
    }
    (valid, invalid)
}

/// Returns a document with one element that has its required attributes, and optionally one attribute set to
/// a value.
fn element(schema: &Schema, path: &str, tested_type: &ElementType, set: Option<(&str, &str)>) -> String {
    let (outer, name) = path.split_once('/').unwrap_or(("", path));
    let required = tested_type
        .attributes
        .iter()
        .filter(|(n, a)| a.is_required && set.is_none_or(|(s, _)| s != n.as_str()));
    let mut all: Vec<(String, String)> = required
        .map(|(n, a)| (n.clone(), boundary_values(&schema.simple_types[&a.type_name]).0.remove(0)))
        .collect();
    all.extend(set.map(|(n, v)| (n.to_string(), v.to_string())));
    let attributes: String = all.iter().map(|(n, v)| format!(" {n}=\"{v}\"")).collect();
    let inner = format!("<{name}{attributes}/>");
    let Some(outer_element) = schema.root_type.children.get(outer) else {
        return format!("<wharfplank>{inner}</wharfplank>");
    };
    // The element is nested in another one, which has its required attributes.
    let document = element(schema, outer, &outer_element.element_type, None);
    document.replace("/></wharfplank>", &format!(">{inner}</{outer}></wharfplank>"))
}

/// Guards against a schema, a parser and an example that diverge: every attribute of the schema is accepted
/// at the boundaries of its type and rejected outside of them, the defaults of schema and parser agree, and
/// the example contains each attribute.
#[test]
fn schema_reader_and_example_agree() {
    let schema = Schema::parse(SCHEMA).unwrap();
    let example = xml_tree::parse(EXAMPLE).unwrap();
    assert_eq!(parse(EXAMPLE).map(|s| s.records.is_some()), Ok(true));
    let outer = schema.root_type.children.iter().map(|(name, child)| (name.clone(), &child.element_type));
    let inner = schema.root_type.children.iter().flat_map(|(outer, child)| {
        let inner = child.element_type.children.iter();
        inner.map(move |(name, child)| (format!("{outer}/{name}"), &child.element_type))
    });
    for (name, tested_type) in &outer.chain(inner).collect::<Vec<_>>() {
        let required_only = parse(&element(&schema, name, tested_type, None)).unwrap();
        let example_element = name.split('/').try_fold(&example, |at, name| at.child(name));
        let example_element = example_element.unwrap_or_else(|| panic!("the example has no {name}"));
        for (attribute, definition) in &tested_type.attributes {
            assert!(example_element.attribute(attribute).is_some(), "the example has no {name}/@{attribute}");
            let (valid, invalid) = boundary_values(&schema.simple_types[&definition.type_name]);
            let set = |value: &str| parse(&element(&schema, name, tested_type, Some((attribute, value))));
            for value in valid {
                // A value that the schema accepts must be parsed and must not be lost: a value other than the
                // default changes the result.
                let read = set(&value).unwrap_or_else(|f| panic!("{name}/@{attribute}='{value}': {f:?}"));
                let is_unchanged = definition.default.as_deref() == Some(&*value)
                    || (definition.is_required && read == required_only);
                assert_eq!(read == required_only, is_unchanged, "{name}/@{attribute}='{value}' is ignored");
            }
            for value in invalid {
                assert!(set(&value).is_err(), "{name}/@{attribute}='{value}' is accepted");
            }
            if let Some(default) = &definition.default {
                assert_eq!(
                    set(default),
                    Ok(required_only.clone()),
                    "{name}/@{attribute}: the default differs"
                );
            }
        }
    }
}

/// Guards against a file that is accepted in part, and against faults that are reported one at a time.
#[test]
fn all_faults_are_reported_with_their_lines() {
    let text = "<wharfplank>\n  <log format='xml'\n       colour='red'/>\n  <records queue='1'/>\n  <nothing/>\n</wharfplank>";
    let faults = parse(text).unwrap_err();
    assert_eq!(
        faults.iter().map(|f| f.to_string()).collect::<Vec<_>>(),
        [
            "line 2: wharfplank/log/@format: 'xml' is invalid; expected one of text, json",
            "line 2: wharfplank/log/@colour: unknown attribute; expected one of format, level",
            "line 4: wharfplank/records/@queue: '1' is invalid; expected a whole number from 16 to 1048576",
            "line 4: wharfplank/records/@directory: required attribute is missing; expected text of 1 to 4096 characters",
            "line 4: wharfplank/records/@proxy: required attribute is missing; expected text of 1 to 64 characters",
            "line 5: wharfplank/nothing: unknown element; expected one of budgets, health, log, missing, peers, records, release, replica",
        ]
    );
    let text = "<wharfplank>\n<peers listen='127.0.0.1' seeds='1.2.3.4:5  6.7.8.9:10'/>\n</wharfplank>";
    assert_eq!(
        parse(text).unwrap_err().iter().map(|f| f.to_string()).collect::<Vec<_>>(),
        [
            "line 2: wharfplank/peers/@listen: '127.0.0.1' is invalid; expected an IPv4 address and a port, such as 127.0.0.1:7001",
            "line 2: wharfplank/peers/@seeds: '1.2.3.4:5  6.7.8.9:10' is invalid; expected 1 to 64 IPv4 addresses with ports, separated by single spaces",
        ]
    );
    let text =
        "<wharfplank>\n<budgets listen='127.0.0.1:1' banks='x' even='101' tenants='3:5'/>\n</wharfplank>";
    assert_eq!(
        parse(text).unwrap_err().iter().map(|f| f.to_string()).collect::<Vec<_>>(),
        [
            "line 2: wharfplank/budgets/@banks: 'x' is invalid; expected none, or 1 to 9 IPv4 addresses with ports, separated by single spaces",
            "line 2: wharfplank/budgets/@even: '101' is invalid; expected a whole number from 0 to 100",
            "line 2: wharfplank/budgets/@tenants: '3:5' is invalid; expected none, or 1 to 256 groups with their requests per second, such as 3=200, separated by single spaces",
        ]
    );
    assert_eq!(fault_places("<wharfplank><log/><log/></wharfplank>"), [(1, "wharfplank/log".to_string())]);
    assert_eq!(fault_places("<wharfplank>\nsome text</wharfplank>"), [(1, "wharfplank".to_string())]);
    assert_eq!(fault_places("<other/>"), [(1, "other".to_string())]);
}

/// Guards against files that are not well-formed, and against files built to exhaust the parser.
#[test]
fn malformed_files_are_rejected() {
    let deeply_nested = "<a>".repeat(40);
    let too_long = " ".repeat(2_000_000);
    let cases = [
        "",
        "<wharfplank>",
        "<wharfplank",
        "<wharfplank></log>",
        "<!DOCTYPE a []><wharfplank/>",
        &deeply_nested,
        &too_long,
    ];
    for text in cases {
        assert_eq!(parse(text).map_err(|faults| faults.len()), Err(1), "{}", &text[..text.len().min(40)]);
    }
    assert_eq!(parse("<wharfplank/>"), Ok(Settings::default()));
}

/// Guards against inconsistent settings of a rollout: a permit server without a ledger, a rank beyond the
/// number of proxies, and duplicate members.
#[test]
fn rollout_settings_are_checked_for_consistency() {
    let member = |name: &str, port: u32| {
        format!("  <member name='{name}' group='0' zone='a' agent='127.0.0.1:{port}'/>\n")
    };
    let text = |extra_attributes: &str, members: &str| {
        format!("<wharfplank>\n<release listen='127.0.0.1:1' {extra_attributes}>\n  <proxy address='127.0.0.1:1'/>\n{members}</release></wharfplank>")
    };
    let faults = |text: &str| -> Vec<String> {
        consistency_faults(text, &parse(text).expect("each value is valid"))
            .iter()
            .map(|f| f.to_string())
            .collect()
    };
    let valid = text("rank='1' banks='1' ledger='l'", &(member("m0", 2) + &member("m1", 3)));
    assert_eq!(faults(&valid), Vec::<String>::new());
    assert_eq!(
        faults(&text("rank='2' banks='3'", "")),
        [
            "line 2: wharfplank/release/@rank: '2' is invalid; expected 1 to 1, the number of <proxy> elements",
            "line 2: wharfplank/release/@banks: '3' is invalid; expected 1 to 1, the number of <proxy> elements",
            "line 2: wharfplank/release/@ledger: 'no' is invalid: the proxy of rank 2 is a permit server; expected a file path",
            "line 2: wharfplank/release/member: 0 elements; expected 1 to 1500",
        ]
    );
    assert_eq!(
        faults(&text("rank='1' banks='1' ledger='l'", &(member("m0", 2) + &member("m0", 2) + &member("m1", 1)))),
        [
            "line 5: wharfplank/release/member/@name: 'm0' is a duplicate name",
            "line 5: wharfplank/release/member/@agent: '127.0.0.1:2' is already used by another member or a proxy",
            "line 6: wharfplank/release/member/@agent: '127.0.0.1:1' is already used by another member or a proxy",
        ]
    );
}

/// Guards against removed allocators that are not in the list, and against the removal of all allocators.
#[test]
fn allocator_faults_are_reported_with_their_line() {
    let fault = |banks: &str, gone: &str| {
        let file = std::env::temp_dir().join(format!("wharfplank-settings-{}.xml", std::process::id()));
        let text = format!(
            "<wharfplank>\n<budgets listen='10.0.0.1:1' banks='{banks}' gone='{gone}'/>\n</wharfplank>"
        );
        std::fs::write(&file, text).unwrap();
        let faults = load(&file)
            .err()
            .map(|faults| faults.iter().map(|fault| fault.to_string()).collect::<Vec<_>>().join("\n"));
        std::fs::remove_file(&file).unwrap();
        faults
    };
    assert_eq!(fault("10.0.0.1:1 10.0.0.2:1", "10.0.0.2:1"), None);
    assert!(fault("10.0.0.1:1", "10.0.0.2:1")
        .unwrap()
        .contains("line 2: wharfplank/budgets: '10.0.0.2:1' in @gone is not listed"));
    assert!(fault("10.0.0.1:1", "10.0.0.1:1").unwrap().contains("@gone lists all allocators"));
    assert!(fault("10.0.0.1:1 10.0.0.1:1", "none").unwrap().contains("listed more than once in @banks"));
}
