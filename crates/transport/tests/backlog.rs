//! What becomes of connections that the machine has accepted when the listener closes.

use async_executor::LocalExecutor;
use async_io::{block_on, Async};
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use wharfplank_transport::client_listener::ClientListener;
use wharfplank_transport::MemoryBudget;

/// How many of three connections in the backlog are taken by a listener that finds itself at its end.
fn taken_at_the_end(ours: bool) -> usize {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let callers: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(at).unwrap()).collect();
    let (events, _received) = async_channel::bounded(8);
    let executor = Rc::new(LocalExecutor::new());
    let clients = ClientListener::new(executor, events, Rc::new(|_| {}), 8, MemoryBudget::new(1 << 20));
    clients.set_accepting(ours);
    clients.stop_accepting();
    block_on(Rc::clone(&clients).listen(Rc::new(listener)));
    drop(callers);
    clients.open_connections()
}

/// Guards against connections that are reset with what was written to them, since they came in the moment in which
/// the listener closed. Where another process has taken the socket over, they are its own.
#[test]
fn a_listener_takes_what_has_come_before_it_closes() {
    assert_eq!(taken_at_the_end(true), 3);
    assert_eq!(taken_at_the_end(false), 0);
}

/// Guards against a listener that takes a whole backlog at its end, and holds more descriptors than its limit allows.
#[test]
fn a_backlog_is_taken_within_the_limit() {
    const MOST: usize = 8;
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let callers: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(at).unwrap()).collect();
    let (events, _received) = async_channel::bounded(8);
    let executor = Rc::new(LocalExecutor::new());
    let held: Rc<RefCell<Option<Rc<ClientListener>>>> = Rc::default();
    let (peak, ended) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (seen, most, count) = (Rc::clone(&held), Rc::clone(&peak), Rc::clone(&ended));
    let ends = Rc::new(move |_: &wharfplank_transport::ConnectionEnd<'_>| {
        let open = seen.borrow().as_ref().map_or(0, |clients| clients.open_connections());
        most.set(most.get().max(open));
        count.set(count.get() + 1);
    });
    let clients = ClientListener::new(Rc::clone(&executor), events, ends, MOST, MemoryBudget::new(1 << 20));
    *held.borrow_mut() = Some(Rc::clone(&clients));
    clients.stop_accepting();
    block_on(executor.run(Rc::clone(&clients).listen(Rc::new(listener))));
    // What is open at the end counts as well.
    peak.set(peak.get().max(clients.open_connections()));
    assert!(ended.get() >= callers.len() - 2 * MOST, "{} of {} have ended", ended.get(), callers.len());
    assert!(peak.get() <= 2 * MOST, "{} were open at a time", peak.get());
    held.borrow_mut().take();
}
