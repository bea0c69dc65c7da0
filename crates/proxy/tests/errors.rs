//! The displayed text of errors, which operators see.

use std::io;
use std::path::Path;
use wharfplank_proxy::config::{AddressOverrides, Config};
use wharfplank_proxy::error::{Component, StartError};

fn io_error() -> io::Error {
    io::Error::other("in use")
}

fn address() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 80).into()
}

#[test]
fn start_errors_name_the_component_and_the_address() {
    let source = io_error();
    let error = StartError::Listen { address: address(), source };
    assert_eq!(error.to_string(), "listen on 127.0.0.1:80: in use");
    let (component, address_text) = (Component::NegativeCache, "127.0.0.1:81".to_string());
    let error = StartError::ComponentListen { component, address: address_text, source: io_error() };
    assert_eq!(error.to_string(), "missing: listen on 127.0.0.1:81: in use");
    let error = StartError::ComponentStart { component: Component::Rollout, source: io_error() };
    assert_eq!(error.to_string(), "release: in use");
    assert_eq!(StartError::Signals(io_error()).to_string(), "signals: in use");
    let error = StartError::PeersNotIpv4(address());
    assert_eq!(error.to_string(), "peers: bound to 127.0.0.1:80, which is no IPv4 address");
}

#[test]
fn configuration_errors_name_the_key() {
    let parse = |text: &str| match Config::parse(text.as_bytes(), AddressOverrides::default()) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    };
    assert!(parse("{").starts_with("not JSON: "));
    assert_eq!(parse("{}"), "listen is missing");
    assert_eq!(parse(r#"{"listen":7}"#), "listen 7 is no address");
    assert_eq!(parse(r#"{"listen":"x"}"#), "listen 'x' is no address");
    let addresses = r#""listen":"127.0.0.1:1","discovery":"127.0.0.1:2""#;
    assert_eq!(parse(&format!("{{{addresses}}}")), "settings are missing");
    assert_eq!(parse(&format!(r#"{{{addresses},"settings":{{}},"seed":[]}}"#)), "seed is no number");
    let no_classes = "settings: field Classes: is missing or empty";
    assert_eq!(parse(&format!(r#"{{{addresses},"settings":{{}}}}"#)), no_classes);
}

#[test]
fn errors_of_a_file_begin_with_its_path() {
    let path = Path::new("/nonexistent/proxy.json");
    let error = Config::read(path, AddressOverrides::default()).expect_err("there is no file");
    assert!(error.to_string().starts_with("/nonexistent/proxy.json: "), "{error}");
}
