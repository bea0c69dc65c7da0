//! Settings files: what the schema accepts, what is read of it, and how faults are reported.

use wharfplank_settings::schema::{ElementType, Schema, SimpleType};
use wharfplank_settings::{consistency_faults, load, parse, xml_tree, Settings, SCHEMA};

const EXAMPLE: &str = include_str!("../../../deploy/settings.example.xml");

fn places(text: &str) -> Vec<(usize, String)> {
    parse(text).unwrap_err().into_iter().map(|fault| (fault.line, fault.place)).collect()
}

/// Values at the edges of what a type allows, and values just past them.
fn edges(kind: &SimpleType) -> (Vec<String>, Vec<String>) {
    let text = |length: usize| "x".repeat(length);
    let (mut good, mut bad) = (kind.values.clone(), vec![]);
    if let Some(pattern) = kind.pattern.as_ref().filter(|pattern| !pattern.regex.is_match("127.0.0.1:7001")) {
        // The only pattern that is not of addresses is of tenants.
        assert!(pattern.regex.is_match("0=1"));
        good.extend(["0=1", "none", "12=100 99999999=9999999"].map(String::from));
        bad.extend(["x", "", "1", "1=", "=1", "1=2  3=4", "-1=2", "1=2.5", "1=2,3=4"].map(String::from));
    } else if kind.pattern.is_some() {
        good.extend(["127.0.0.1:7001".to_string(), "10.0.0.4:0".to_string()]);
        bad.extend(["x".to_string(), String::new(), "1.2.3.4".to_string(), "127.0.0.1:70010".to_string()]);
    } else if !kind.values.is_empty() {
        bad.extend(["other".to_string(), String::new()]);
    } else if kind.is_integer {
        let (least, most) = (kind.min.expect("a bound"), kind.max.expect("a bound"));
        good.extend([least, most].map(|n| n.to_string()));
        bad.extend([least - 1, most + 1].map(|n| n.to_string()));
        bad.extend([String::new(), "1.5".to_string(), "ten".to_string()]);
    } else {
        let longest = kind.max_length.expect("a bound");
        good.extend([text(kind.min_length), text(longest)]);
        bad.extend([text(kind.min_length - 1), text(longest + 1)]);
    }
    (good, bad)
}

/// One element with the required attributes of its shape, and one attribute set.
fn element(schema: &Schema, path: &str, shape: &ElementType, set: Option<(&str, &str)>) -> String {
    let (outer, name) = path.split_once('/').unwrap_or(("", path));
    let required =
        shape.attributes.iter().filter(|(n, a)| a.is_required && set.is_none_or(|(s, _)| s != n.as_str()));
    let mut all: Vec<(String, String)> =
        required.map(|(n, a)| (n.clone(), edges(&schema.simple_types[&a.type_name]).0.remove(0))).collect();
    all.extend(set.map(|(n, v)| (n.to_string(), v.to_string())));
    let attributes: String = all.iter().map(|(n, v)| format!(" {n}=\"{v}\"")).collect();
    let inner = format!("<{name}{attributes}/>");
    let Some(around) = schema.root_type.children.get(outer) else {
        return format!("<wharfplank>{inner}</wharfplank>");
    };
    // An element within another one: the outer one has its required attributes.
    let whole = element(schema, outer, &around.element_type, None);
    whole.replace("/></wharfplank>", &format!(">{inner}</{outer}></wharfplank>"))
}

/// Guards against a schema, a reader and an example that drift apart: every attribute of the schema is read at the
/// edges of its type and refused past them, its default is the reader's, and the example holds each of them.
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
    for (name, shape) in &outer.chain(inner).collect::<Vec<_>>() {
        let plain = parse(&element(&schema, name, shape, None)).unwrap();
        let shown = name.split('/').try_fold(&example, |at, name| at.child(name));
        let shown = shown.unwrap_or_else(|| panic!("the example has no {name}"));
        for (attribute, of) in &shape.attributes {
            assert!(shown.attribute(attribute).is_some(), "the example has no {name}/@{attribute}");
            let (good, bad) = edges(&schema.simple_types[&of.type_name]);
            let set = |value: &str| parse(&element(&schema, name, shape, Some((attribute, value))));
            for value in good {
                // Reading what the schema takes must not fail, and must not be lost: another value reads otherwise.
                let read = set(&value).unwrap_or_else(|f| panic!("{name}/@{attribute}='{value}': {f:?}"));
                let same = of.default.as_deref() == Some(&*value) || (of.is_required && read == plain);
                assert_eq!(read == plain, same, "{name}/@{attribute}='{value}' is not read");
            }
            for value in bad {
                assert!(set(&value).is_err(), "{name}/@{attribute}='{value}' is taken");
            }
            if let Some(default) = &of.default {
                assert_eq!(set(default), Ok(plain.clone()), "{name}/@{attribute}: the default differs");
            }
        }
    }
}

/// Guards against a file that is read in part, and against faults that come one at a time.
#[test]
fn all_faults_are_named_with_their_lines() {
    let text = "<wharfplank>\n  <log format='xml'\n       colour='red'/>\n  <records queue='1'/>\n  <nothing/>\n</wharfplank>";
    let faults = parse(text).unwrap_err();
    assert_eq!(
        faults.iter().map(|f| f.to_string()).collect::<Vec<_>>(),
        [
            "line 2: wharfplank/log/@format: 'xml' cannot be; allowed is one of text, json",
            "line 2: wharfplank/log/@colour: is no attribute of it; allowed are format, level",
            "line 4: wharfplank/records/@queue: '1' cannot be; allowed is a whole number from 16 to 1048576",
            "line 4: wharfplank/records/@directory: is missing; allowed is text of 1 to 4096 characters",
            "line 4: wharfplank/records/@proxy: is missing; allowed is text of 1 to 64 characters",
            "line 5: wharfplank/nothing: is no element of it; allowed are budgets, health, log, missing, peers, records, release, replica",
        ]
    );
    let text = "<wharfplank>\n<peers listen='127.0.0.1' seeds='1.2.3.4:5  6.7.8.9:10'/>\n</wharfplank>";
    assert_eq!(
        parse(text).unwrap_err().iter().map(|f| f.to_string()).collect::<Vec<_>>(),
        [
            "line 2: wharfplank/peers/@listen: '127.0.0.1' cannot be; allowed is an IPv4 address and a port, as 127.0.0.1:7001",
            "line 2: wharfplank/peers/@seeds: '1.2.3.4:5  6.7.8.9:10' cannot be; allowed is 1 to 64 IPv4 addresses with ports, apart by single spaces",
        ]
    );
    let text =
        "<wharfplank>\n<budgets listen='127.0.0.1:1' banks='x' even='101' tenants='3:5'/>\n</wharfplank>";
    assert_eq!(
        parse(text).unwrap_err().iter().map(|f| f.to_string()).collect::<Vec<_>>(),
        [
            "line 2: wharfplank/budgets/@banks: 'x' cannot be; allowed is none, or 1 to 9 IPv4 addresses with ports, apart by single spaces",
            "line 2: wharfplank/budgets/@even: '101' cannot be; allowed is a whole number from 0 to 100",
            "line 2: wharfplank/budgets/@tenants: '3:5' cannot be; allowed is none, or 1 to 256 groups with their requests a second, as 3=200, apart by single spaces",
        ]
    );
    assert_eq!(places("<wharfplank><log/><log/></wharfplank>"), [(1, "wharfplank/log".to_string())]);
    assert_eq!(places("<wharfplank>\nsome text</wharfplank>"), [(1, "wharfplank".to_string())]);
    assert_eq!(places("<other/>"), [(1, "other".to_string())]);
}

/// Guards against what is not XML, or is made to be read for ever.
#[test]
fn broken_files_are_named() {
    let deep = "<a>".repeat(40);
    let long = " ".repeat(2_000_000);
    let cases = [
        "",
        "<wharfplank>",
        "<wharfplank",
        "<wharfplank></log>",
        "<!DOCTYPE a []><wharfplank/>",
        &deep,
        &long,
    ];
    for text in cases {
        assert_eq!(parse(text).map_err(|faults| faults.len()), Err(1), "{}", &text[..text.len().min(40)]);
    }
    assert_eq!(parse("<wharfplank/>"), Ok(Settings::default()));
}

/// Guards against settings of a release whose parts do not fit each other: a bank without a ledger, a rank that nobody
/// has, and members that are one.
#[test]
fn a_release_is_checked_as_a_whole() {
    let member = |name: &str, port: u32| {
        format!("  <member name='{name}' group='0' zone='a' agent='127.0.0.1:{port}'/>\n")
    };
    let text = |head: &str, members: &str| {
        format!("<wharfplank>\n<release listen='127.0.0.1:1' {head}>\n  <proxy address='127.0.0.1:1'/>\n{members}</release></wharfplank>")
    };
    let faults = |text: &str| -> Vec<String> {
        consistency_faults(text, &parse(text).expect("each value may be"))
            .iter()
            .map(|f| f.to_string())
            .collect()
    };
    let good = text("rank='1' banks='1' ledger='l'", &(member("m0", 2) + &member("m1", 3)));
    assert_eq!(faults(&good), Vec::<String>::new());
    assert_eq!(
        faults(&text("rank='2' banks='3'", "")),
        [
            "line 2: wharfplank/release/@rank: '2' cannot be; allowed is 1 to the number of <proxy> elements, 1",
            "line 2: wharfplank/release/@banks: '3' cannot be; allowed is 1 to the number of <proxy> elements, 1",
            "line 2: wharfplank/release/@ledger: 'no' cannot be: rank 2 is a bank; allowed is a file's path",
            "line 2: wharfplank/release/member: 0 elements; allowed are 1 to 1500",
        ]
    );
    assert_eq!(
        faults(&text("rank='1' banks='1' ledger='l'", &(member("m0", 2) + &member("m0", 2) + &member("m1", 1)))),
        [
            "line 5: wharfplank/release/member/@name: 'm0' is there twice; once is allowed",
            "line 5: wharfplank/release/member/@agent: '127.0.0.1:2' is another's; allowed is an address of its own",
            "line 6: wharfplank/release/member/@agent: '127.0.0.1:1' is another's; allowed is an address of its own",
        ]
    );
}

/// Guards against banks that are gone but were none, or are all gone.
#[test]
fn faults_of_banks_are_named_with_their_line() {
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
        .contains("line 2: wharfplank/budgets: '10.0.0.2:1' cannot"));
    assert!(fault("10.0.0.1:1", "10.0.0.1:1").unwrap().contains("all banks are gone"));
    assert!(fault("10.0.0.1:1 10.0.0.1:1", "none").unwrap().contains("named twice"));
}
