//! Tests of the connections that the operating system has queued when the listener closes.

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{block_on, Async};
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_transport::client_listener::ClientListener;
use wharfplank_transport::socket::listener::{AddressUse, BoundSocket};
use wharfplank_transport::{ConnectionEnd, ConnectionEndObserver, MemoryBudget, ProxyEvent};

/// Returns a listening socket with `connections` queued connections, and the clients.
fn socket_with_backlog(connections: usize) -> (Async<TcpListener>, Vec<TcpStream>) {
    let socket = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = socket.get_ref().local_addr().unwrap();
    let clients = (0..connections).map(|_| TcpStream::connect(address).unwrap()).collect();
    (socket, clients)
}

/// Returns a listener that admits `max_connections`, and the events that it sends.
fn client_listener(
    executor: &Rc<LocalExecutor<'static>>,
    on_connection_end: ConnectionEndObserver,
    max_connections: usize,
) -> (Rc<ClientListener>, Receiver<ProxyEvent>) {
    let (events, received) = async_channel::bounded(8);
    let memory_budget = MemoryBudget::new(1 << 20);
    let executor = Rc::clone(executor);
    let listener = ClientListener::new(executor, events, on_connection_end, max_connections, memory_budget);
    (listener, received)
}

/// Returns how many of three queued connections a listener accepts after it was closed.
fn accepted_at_close(accepting: bool) -> usize {
    let (socket, clients) = socket_with_backlog(3);
    let (listener, _received) = client_listener(&Rc::new(LocalExecutor::new()), Rc::new(|_| {}), 8);
    listener.set_accepting(accepting);
    listener.stop_accepting();
    block_on(Rc::clone(&listener).listen(Rc::new(socket)));
    drop(clients);
    listener.open_connections()
}

/// Guards against resetting connections, and losing their input, that arrive while the listener closes. If
/// another process has taken over the socket, they are left to it.
#[test]
fn backlog_is_accepted_before_close() {
    assert_eq!(accepted_at_close(true), 3);
    assert_eq!(accepted_at_close(false), 0);
}

/// Guards against accepting the whole backlog at once when the listener closes, which exceeds the limit of
/// file descriptors.
#[test]
fn backlog_is_accepted_within_limit() {
    const MAX_CONNECTIONS: usize = 8;
    let (socket, clients) = socket_with_backlog(100);
    let executor = Rc::new(LocalExecutor::new());
    let listener_slot: Rc<RefCell<Option<Rc<ClientListener>>>> = Rc::default();
    let peak = Rc::new(Cell::new(0));
    let ended = Rc::new(Cell::new(0));
    let on_connection_end = {
        let (listener_slot, peak, ended) = (Rc::clone(&listener_slot), Rc::clone(&peak), Rc::clone(&ended));
        move |_: &ConnectionEnd<'_>| {
            let open = listener_slot.borrow().as_ref().map_or(0, |listener| listener.open_connections());
            peak.set(peak.get().max(open));
            ended.set(ended.get() + 1);
        }
    };
    let (listener, _received) = client_listener(&executor, Rc::new(on_connection_end), MAX_CONNECTIONS);
    *listener_slot.borrow_mut() = Some(Rc::clone(&listener));
    listener.stop_accepting();
    block_on(executor.run(Rc::clone(&listener).listen(Rc::new(socket))));
    // Includes the connections that are open at the end.
    peak.set(peak.get().max(listener.open_connections()));
    let (peak, ended) = (peak.get(), ended.get());
    assert!(
        ended >= clients.len() - 2 * MAX_CONNECTIONS,
        "{ended} of {} connections have ended",
        clients.len()
    );
    assert!(peak <= 2 * MAX_CONNECTIONS, "{peak} connections were open at the same time");
    listener_slot.borrow_mut().take();
}

/// Returns how many of a burst of connections a socket queues that nobody accepts from.
fn queued_connections(address_use: AddressUse, burst: usize) -> usize {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    let socket = BoundSocket::bind(([127, 0, 0, 1], 0).into(), address_use).unwrap();
    let socket = socket.listen().unwrap();
    let address = socket.get_ref().local_addr().unwrap();
    // A connection stays in the queue after its client has closed it.
    let connects = (0..burst).map(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
    connects.take_while(Result::is_ok).count()
}

/// Guards against a listener that may be replaced and refuses a burst of connections that another one would
/// queue.
#[test]
fn a_shared_address_queues_as_many_connections_as_an_exclusive_one() {
    const BURST: usize = 2_000;
    assert_eq!(queued_connections(AddressUse::Exclusive, BURST), BURST);
    assert_eq!(queued_connections(AddressUse::Shared, BURST), BURST);
}
