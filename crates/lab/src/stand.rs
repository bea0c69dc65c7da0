//! The model behind real sockets: members that speak PostgreSQL, and discovery.

use crate::member_model::{Admission, IncomingRequest, ListChange, MemberModel, Micros, CLASSES};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wharfplank_protocol::client_session::{ClientSession, Command};
use wharfplank_protocol::framing::{write_c_string, write_message};
use wharfplank_protocol::request_comment;

/// The stand-ins of one run.
pub struct Stand {
    executor: Rc<LocalExecutor<'static>>,
    fleet: RefCell<MemberModel>,
    addresses: RefCell<Vec<SocketAddr>>,
    /// The version of the list.
    seq: Cell<u64>,
}

/// Now.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

/// A value as a member answers a request with it.
fn row(out: &mut Vec<u8>, value: &[u8], role: &str, position: i64) {
    write_message(out, b'T', |out| {
        out.extend_from_slice(&1_u16.to_be_bytes());
        write_c_string(out, "payload");
        out.extend_from_slice(&[0; 6]);
        out.extend_from_slice(&17_u32.to_be_bytes());
        out.extend_from_slice(&(-1_i16).to_be_bytes());
        out.extend_from_slice(&(-1_i32).to_be_bytes());
        out.extend_from_slice(&1_u16.to_be_bytes());
    });
    write_message(out, b'D', |out| {
        out.extend_from_slice(&1_u16.to_be_bytes());
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value);
    });
    write_message(out, b'C', |out| write_c_string(out, "SELECT 1"));
    status(out, role, position);
}

fn status(out: &mut Vec<u8>, role: &str, position: i64) {
    for (name, value) in [("role", role), ("applied_ms", &position.to_string())] {
        write_message(out, b'S', |out| {
            write_c_string(out, name);
            write_c_string(out, value);
        });
    }
    write_message(out, b'Z', |out| out.push(b'I'));
}

fn error(out: &mut Vec<u8>, code: &str, role: &str, position: i64) {
    write_message(out, b'E', |out| {
        for (field, value) in [(b'S', "ERROR"), (b'C', code), (b'M', "turned away")] {
            out.push(field);
            write_c_string(out, value);
        }
        out.push(0);
    });
    status(out, role, position);
}

impl Stand {
    /// Starts the members on ports of their own, and the clock of their model.
    pub fn start(executor: &Rc<LocalExecutor<'static>>, fleet: MemberModel) -> std::io::Result<Rc<Stand>> {
        let count = fleet.members.len();
        let (fleet, addresses) = (RefCell::new(fleet), RefCell::default());
        let stand = Rc::new(Stand { executor: Rc::clone(executor), fleet, addresses, seq: Cell::new(1) });
        for member in 0..count {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            stand.addresses.borrow_mut().push(listener.get_ref().local_addr()?);
            let at = Rc::clone(&stand);
            executor.spawn(async move { at.accept(member, listener).await }).detach();
        }
        let at = Rc::clone(&stand);
        executor
            .spawn(async move {
                loop {
                    Timer::after(Duration::from_millis(5)).await;
                    if at.fleet.borrow_mut().advance(now()) == ListChange::Changed {
                        at.seq.set(at.seq.get() + 1);
                    }
                }
            })
            .detach();
        Ok(stand)
    }

    async fn accept(self: Rc<Self>, member: usize, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            let at = Rc::clone(&self);
            self.executor
                .spawn(async move {
                    let _ = at.talk(member, stream).await;
                })
                .detach();
        }
    }

    /// Waits while the member is cut off or dead; false where its process is gone, and its connections with it.
    async fn speaks(&self, member: usize) -> bool {
        while !self.away(member) && self.fleet.borrow().members[member].is_unresponsive {
            Timer::after(Duration::from_millis(10)).await;
        }
        !self.away(member)
    }

    fn away(&self, member: usize) -> bool {
        self.fleet.borrow().members[member].behavior.is_down
    }

    async fn talk(&self, member: usize, mut stream: Async<TcpStream>) -> std::io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let mut server = ClientSession::default();
        loop {
            enum Ask {
                Class(usize, i64, String, Option<i64>),
                Report,
                Empty,
            }
            let ask = match server.advance() {
                Ok(Some(Command::Started)) => None,
                Ok(Some(Command::EmptyQuery)) => Some(Ask::Empty),
                Ok(Some(Command::Query("SHOW load"))) => Some(Ask::Report),
                Ok(Some(Command::Query(query))) => request_comment::parse(query).ok().and_then(|c| {
                    let class = CLASSES.iter().position(|k| k.name == c.class)?;
                    Some(Ask::Class(class, i64::from(c.deadline_ms), c.id.to_string(), c.min_position_ms))
                }),
                Ok(None) => {
                    if !server.output.is_empty() {
                        if !self.speaks(member).await {
                            return Ok(());
                        }
                        stream.write_all(&std::mem::take(&mut server.output)).await?;
                    }
                    match stream.read(server.buffer.spare()).await? {
                        0 => return Ok(()),
                        count => server.buffer.commit(count),
                    }
                    continue;
                }
                Ok(Some(Command::Terminate | Command::Cancel(_))) | Err(_) => return Ok(()),
            };
            if self.away(member) {
                return Ok(());
            }
            let role =
                |fleet: &MemberModel| if fleet.members[member].is_primary { "primary" } else { "replica" };
            match ask {
                None => {}
                Some(Ask::Empty) => server.write_empty_query_response(),
                Some(Ask::Report) => {
                    let fleet = self.fleet.borrow();
                    let report = fleet.load_report(member);
                    row(&mut server.output, report.as_bytes(), role(&fleet), fleet.position_ms(member));
                }
                Some(Ask::Class(class, wait, id, after)) => {
                    let request = IncomingRequest { class, id: Some(&id), min_position_ms: after };
                    let admission = self.fleet.borrow_mut().admit(member, request);
                    if let Admission::Admitted(at) = admission {
                        // Work that was begun goes on when its client leaves.
                        let pause = Timer::after(Duration::from_micros((at - now()).max(0) as u64));
                        pause.await;
                        self.fleet.borrow_mut().finish_request(member, class);
                        if now() - at > wait * 1000 {
                            return Ok(());
                        }
                    }
                    let fleet = self.fleet.borrow();
                    let (role, position) = (role(&fleet), fleet.position_ms(member));
                    match admission {
                        Admission::Admitted(_) => row(&mut server.output, b"value", role, position),
                        Admission::NotPrimary => error(&mut server.output, "25006", role, position),
                        Admission::Overloaded => error(&mut server.output, "53300", role, position),
                    }
                }
            }
        }
    }

    /// The list of members in discovery's form.
    pub fn list(&self) -> serde_json::Value {
        let (fleet, addresses) = (self.fleet.borrow(), self.addresses.borrow());
        let hosts: Vec<_> = fleet
            .members
            .iter()
            .zip(addresses.iter())
            .map(|(m, dial)| {
                json!({"host": m.name, "dial": dial.to_string(), "site": m.zone, "class": "m4",
                       "block": m.group, "health": if m.is_draining { "leaving" } else { "active" }, "share": 1.0,
                       "born_ms": m.started_at / 1000, "role": if m.is_primary { "primary" } else { "replica" }})
            })
            .collect();
        json!({"seq": self.seq.get(), "whole": true, "hosts": hosts})
    }

    /// The members' model, to read what it counted.
    pub fn fleet(&self) -> std::cell::Ref<'_, MemberModel> {
        self.fleet.borrow()
    }

    /// Changes the members' model, as an agent on a member's machine does; discovery tells it.
    pub fn change<T>(&self, change: impl FnOnce(&mut MemberModel) -> T) -> T {
        self.seq.set(self.seq.get() + 1);
        change(&mut self.fleet.borrow_mut())
    }

    /// The script's seconds count from then on.
    pub fn begin(&self, start: Micros) {
        self.fleet.borrow_mut().start_script(start);
    }

    /// Writes that members have run.
    pub fn writes(&self) -> u64 {
        self.fleet.borrow().members.iter().map(|m| m.writes).sum()
    }

    /// Starts an agent of discovery.
    pub fn discovery(self: &Rc<Self>) -> std::io::Result<SocketAddr> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let at = Rc::clone(self);
        self.executor
            .spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let on = Rc::clone(&at);
                    at.executor
                        .spawn(async move {
                            let _ = on.tell(stream).await;
                        })
                        .detach();
                }
            })
            .detach();
        Ok(address)
    }

    async fn tell(&self, mut stream: Async<TcpStream>) -> std::io::Result<()> {
        let mut head = Vec::new();
        let mut bytes = [0; 1024];
        loop {
            while !head.ends_with(b"\r\n\r\n") {
                match stream.read(&mut bytes).await? {
                    0 => return Ok(()),
                    count => head.extend_from_slice(&bytes[..count]),
                }
            }
            let asked = String::from_utf8_lossy(&head).into_owned();
            head.clear();
            let number = |name: &str| {
                let value = asked.split_once(&format!("{name}="))?.1;
                value.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().ok()
            };
            let mut list = self.list();
            if let Some(index) = number("index") {
                let end = now() + (number("wait").unwrap_or(0).min(60_000) * 1000) as Micros;
                while self.seq.get() <= index && now() < end {
                    Timer::after(Duration::from_millis(20)).await;
                }
                list = self.list();
                if self.seq.get() <= index {
                    list = json!({"seq": self.seq.get(), "whole": false, "hosts": []});
                }
            }
            let body = list.to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(answer.as_bytes()).await?;
            future::yield_now().await;
        }
    }
}
