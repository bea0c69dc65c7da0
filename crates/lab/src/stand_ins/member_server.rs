//! The connections to a stand-in member.

use super::response::{write_rejection, write_row, MemberStatus, Rejection};
use super::StandIns;
use crate::clock::{now, time_until};
use crate::member_model::{Admission, IncomingRequest, CLASSES};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::{TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_protocol::client_session::{ClientSession, Command};
use wharfplank_protocol::request_comment;

/// The interval at which a connection to an unresponsive member checks whether it responds again.
const RESPONSIVE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const MICROS_PER_MS: i64 = 1000;

/// The result of parsing the bytes received so far.
enum Input {
    /// No complete message.
    Incomplete,
    /// A complete message.
    Command(MemberCommand),
    /// The client ended the connection, or sent something that is no valid message.
    Closed,
}

/// A message that a member understands.
enum MemberCommand {
    /// A startup message, or a query without a known class. It is not answered here.
    Ignored,
    EmptyQuery,
    LoadReport,
    Request(ClientRequest),
}

/// A request of the load.
struct ClientRequest {
    class: usize,
    deadline_ms: i64,
    id: String,
    min_position_ms: Option<i64>,
}

impl StandIns {
    /// Serves the clients of one member.
    pub(super) async fn accept_clients(self: Rc<Self>, member: usize, listener: Async<TcpListener>) {
        while let Ok((stream, _)) = listener.accept().await {
            let stand_ins = Rc::clone(&self);
            let serve = async move {
                // A broken connection affects only its client.
                let _ = stand_ins.serve_client(member, stream).await;
            };
            self.executor.spawn(serve).detach();
        }
    }

    async fn serve_client(&self, member: usize, mut stream: Async<TcpStream>) -> std::io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let mut session = ClientSession::default();
        loop {
            let progress = match next_input(&mut session) {
                Input::Incomplete => self.exchange_bytes(member, &mut stream, &mut session).await?,
                Input::Command(command) => self.on_command(member, command, &mut session).await,
                Input::Closed => ControlFlow::Break(()),
            };
            if progress.is_break() {
                return Ok(());
            }
        }
    }

    /// Sends the answers that are ready, and reads more of the client's messages.
    async fn exchange_bytes(
        &self,
        member: usize,
        stream: &mut Async<TcpStream>,
        session: &mut ClientSession,
    ) -> std::io::Result<ControlFlow<()>> {
        if !session.output.is_empty() {
            if self.wait_until_responsive(member).await.is_break() {
                return Ok(ControlFlow::Break(()));
            }
            stream.write_all(&std::mem::take(&mut session.output)).await?;
        }
        match stream.read(session.buffer.spare()).await? {
            0 => return Ok(ControlFlow::Break(())),
            count => session.buffer.commit(count),
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Waits while the member is unresponsive; breaks if its process is down.
    async fn wait_until_responsive(&self, member: usize) -> ControlFlow<()> {
        while !self.is_down(member) && self.model.borrow().members[member].is_unresponsive {
            Timer::after(RESPONSIVE_CHECK_INTERVAL).await;
        }
        if self.is_down(member) {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn is_down(&self, member: usize) -> bool {
        self.model.borrow().members[member].behavior.is_down
    }

    async fn on_command(
        &self,
        member: usize,
        command: MemberCommand,
        session: &mut ClientSession,
    ) -> ControlFlow<()> {
        if self.is_down(member) {
            return ControlFlow::Break(());
        }
        match command {
            MemberCommand::Ignored => {}
            MemberCommand::EmptyQuery => session.write_empty_query_response(),
            MemberCommand::LoadReport => {
                let report = self.model.borrow().load_report(member);
                write_row(&mut session.output, report.as_bytes(), self.status(member));
            }
            MemberCommand::Request(request) => return self.on_request(member, request, session).await,
        }
        ControlFlow::Continue(())
    }

    async fn on_request(
        &self,
        member: usize,
        request: ClientRequest,
        session: &mut ClientSession,
    ) -> ControlFlow<()> {
        let class = request.class;
        let incoming =
            IncomingRequest { class, id: Some(&request.id), min_position_ms: request.min_position_ms };
        let admission = self.model.borrow_mut().admit(member, incoming);
        if let Admission::Admitted(answer_at) = admission {
            // A request that has started runs to its end, also if its client disconnects.
            Timer::after(time_until(answer_at)).await;
            self.model.borrow_mut().finish_request(member, class);
            if now() - answer_at > request.deadline_ms * MICROS_PER_MS {
                return ControlFlow::Break(());
            }
        }
        let status = self.status(member);
        let out = &mut session.output;
        match admission {
            Admission::Admitted(_) => write_row(out, b"value", status),
            Admission::NotPrimary => write_rejection(out, Rejection::NotPrimary, status),
            Admission::Overloaded => write_rejection(out, Rejection::Overloaded, status),
        }
        ControlFlow::Continue(())
    }

    fn status(&self, member: usize) -> MemberStatus {
        let model = self.model.borrow();
        MemberStatus { role: model.members[member].role(), position_ms: model.position_ms(member) }
    }
}

fn next_input(session: &mut ClientSession) -> Input {
    let command = match session.advance() {
        Ok(None) => return Input::Incomplete,
        Ok(Some(Command::Terminate | Command::Cancel(_))) | Err(_) => return Input::Closed,
        Ok(Some(Command::Started | Command::EncryptionDeclined)) => MemberCommand::Ignored,
        Ok(Some(Command::EmptyQuery)) => MemberCommand::EmptyQuery,
        Ok(Some(Command::Query("SHOW load"))) => MemberCommand::LoadReport,
        Ok(Some(Command::Query(query))) => {
            parse_request(query).map_or(MemberCommand::Ignored, MemberCommand::Request)
        }
    };
    Input::Command(command)
}

/// Reads the request comment of a query; none if there is none or its class is unknown.
fn parse_request(query: &str) -> Option<ClientRequest> {
    let comment = request_comment::parse(query).ok()?;
    let class = CLASSES.iter().position(|class| class.name == comment.class)?;
    Some(ClientRequest {
        class,
        deadline_ms: i64::from(comment.deadline_ms),
        id: comment.id.to_string(),
        min_position_ms: comment.min_position_ms,
    })
}
