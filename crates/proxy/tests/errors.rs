//! The displayed texts of errors, which operators read.

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
fn start_errors_name_component_and_address() {
    let source = io_error();
    let error = StartError::Listen { address: address(), source };
    assert_eq!(error.to_string(), "cannot listen on 127.0.0.1:80: in use");
    let (component, address_text) = (Component::NegativeCache, "127.0.0.1:81".to_string());
    let error = StartError::ComponentListen { component, address: address_text, source: io_error() };
    assert_eq!(error.to_string(), "missing: cannot listen on 127.0.0.1:81: in use");
    let error = StartError::ComponentStart { component: Component::Rollout, source: io_error() };
    assert_eq!(error.to_string(), "release: cannot start: in use");
    assert_eq!(StartError::Signals(io_error()).to_string(), "cannot install signal handlers: in use");
    let error = StartError::GossipNotIpv4(address());
    assert_eq!(error.to_string(), "peers: bound to 127.0.0.1:80, which is not an IPv4 address");
}

#[test]
fn configuration_errors_name_key() {
    let parse = |text: &str| match Config::parse(text.as_bytes(), AddressOverrides::default()) {
        Ok(_) => String::new(),
        Err(error) => error.to_string(),
    };
    assert!(parse("{").starts_with("not JSON: "));
    assert_eq!(parse("{}"), "listen is missing");
    assert_eq!(parse(r#"{"listen":7}"#), "listen 7 is not a string with an IP:PORT address");
    assert_eq!(parse(r#"{"listen":"x"}"#), "listen 'x' is not an IP:PORT address");
    let addresses = r#""listen":"127.0.0.1:1","discovery":"127.0.0.1:2""#;
    assert_eq!(parse(&format!("{{{addresses}}}")), "settings are missing");
    assert_eq!(
        parse(&format!(r#"{{{addresses},"settings":{{}},"seed":[]}}"#)),
        "seed is neither a whole number nor a hexadecimal string"
    );
    let no_classes = "settings: field Classes: is missing or empty";
    assert_eq!(parse(&format!(r#"{{{addresses},"settings":{{}}}}"#)), no_classes);
}

#[test]
fn file_error_starts_with_path() {
    let path = Path::new("/nonexistent/proxy.json");
    let error = Config::read(path, AddressOverrides::default()).expect_err("the file does not exist");
    assert!(error.to_string().starts_with("/nonexistent/proxy.json: "), "{error}");
}
