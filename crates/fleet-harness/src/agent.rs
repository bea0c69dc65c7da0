//! Discovery as an agent on each proxy's machine: the stand-ins' list, with the dial of each member rewritten to the
//! relay that leads from this proxy to it. Watches wait for a newer version, as the protocol page describes.

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

/// The longest head of a call that is read; a longer one ends the connection.
const HEAD_MOST: usize = 8192;

/// Starts the agent of proxy `proxy`; its address.
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
                ex.spawn(async move { drop(tell(stream, &stand_ins, &links, proxy).await) }).detach();
            }
        })
        .detach();
    Ok(address)
}

/// The list as this proxy is to see it.
pub fn list(stand_ins: &StandIns, links: &Links, proxy: usize) -> Value {
    let mut list = stand_ins.endpoint_list();
    if let Some(hosts) = list.get_mut("hosts").and_then(Value::as_array_mut) {
        for (member, host) in hosts.iter_mut().enumerate() {
            if let Some(dial) = links.dials[proxy].get(member) {
                host["dial"] = json!(dial.to_string());
            }
        }
    }
    list
}

async fn tell(
    mut stream: Async<TcpStream>,
    stand_ins: &StandIns,
    links: &Links,
    proxy: usize,
) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut bytes = [0; 1024];
    loop {
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut bytes).await? {
                0 => return Ok(()),
                count if head.len() + count <= HEAD_MOST => head.extend_from_slice(&bytes[..count]),
                _ => return Ok(()),
            }
        }
        let asked = String::from_utf8_lossy(&head).into_owned();
        head.clear();
        let number = |name: &str| {
            let value = asked.split_once(&format!("{name}="))?.1;
            value.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok()
        };
        let seq = |list: &Value| list.get("seq").and_then(Value::as_u64).unwrap_or(0);
        let mut list = list(stand_ins, links, proxy);
        if let Some(index) = number("index") {
            let end = now() + (number("wait").unwrap_or(0).min(60_000) * 1000) as i64;
            while seq(&list) <= index && now() < end {
                Timer::after(Duration::from_millis(20)).await;
                list = self::list(stand_ins, links, proxy);
            }
            if seq(&list) <= index {
                list = json!({"seq": seq(&list), "whole": false, "hosts": []});
            }
        }
        let body = list.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).await?;
    }
}
