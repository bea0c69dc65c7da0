//! A discovery agent for each proxy. It serves the stand-in members' endpoint list over HTTP, with each
//! member's dial address replaced by that of the relay from this proxy to it. A request with an `index` waits
//! for a newer version of the list (long polling), as the discovery protocol describes.

use crate::relay::Links;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::clock::now;
use wharfplank_lab::stand_ins::StandIns;

/// The largest request head that is accepted; a longer one closes the connection.
const MAX_HEAD_BYTES: usize = 8192;

/// Starts the agent of proxy number `proxy` and returns its address.
pub fn start(
    executor: &Rc<LocalExecutor<'static>>,
    stand_ins: &Rc<StandIns>,
    links: &Rc<Links>,
    proxy: usize,
) -> std::io::Result<SocketAddr> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let (ex, stand_ins, links) = (Rc::clone(executor), Rc::clone(stand_ins), Rc::clone(links));
    executor
        .spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (stand_ins, links) = (Rc::clone(&stand_ins), Rc::clone(&links));
                ex.spawn(async move { drop(serve(stream, &stand_ins, &links, proxy).await) }).detach();
            }
        })
        .detach();
    Ok(address)
}

/// Returns the endpoint list as this proxy sees it.
pub fn proxy_endpoint_list(stand_ins: &StandIns, links: &Links, proxy: usize) -> Value {
    let mut list = stand_ins.endpoint_list();
    if let Some(hosts) = list.get_mut("hosts").and_then(Value::as_array_mut) {
        for (member, host) in hosts.iter_mut().enumerate() {
            if let Some(dial) = links.dial_addresses[proxy].get(member) {
                host["dial"] = json!(dial.to_string());
            }
        }
    }
    list
}

async fn serve(
    mut stream: Async<TcpStream>,
    stand_ins: &StandIns,
    links: &Links,
    proxy: usize,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut buffer).await? {
                0 => return Ok(()),
                count if head.len() + count <= MAX_HEAD_BYTES => head.extend_from_slice(&buffer[..count]),
                _ => return Ok(()),
            }
        }
        let request = String::from_utf8_lossy(&head).into_owned();
        head.clear();
        let parameter = |name: &str| {
            let value = request.split_once(&format!("{name}="))?.1;
            value.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok()
        };
        let version = |list: &Value| list.get("seq").and_then(Value::as_u64).unwrap_or(0);
        let mut list = proxy_endpoint_list(stand_ins, links, proxy);
        if let Some(index) = parameter("index") {
            let deadline = now() + (parameter("wait").unwrap_or(0).min(60_000) * 1000) as i64;
            while version(&list) <= index && now() < deadline {
                Timer::after(Duration::from_millis(20)).await;
                list = self::proxy_endpoint_list(stand_ins, links, proxy);
            }
            if version(&list) <= index {
                list = json!({"seq": version(&list), "whole": false, "hosts": []});
            }
        }
        let body = list.to_string();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(response.as_bytes()).await?;
    }
}
