//! Reading of the send queues of connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Ipv6Addr, Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use wharfplank_transport::socket::send_queue::SendQueues;

/// Writes until the system takes no more, and returns the number of bytes.
fn fill(stream: &mut TcpStream) -> usize {
    stream.set_nonblocking(true).expect("set the blocking mode");
    let mut written = 0;
    while let Ok(count) = stream.write(&[0; 65_536]) {
        written += count;
    }
    written
}

/// Guards against a connection that counts as delivered while its client has read none of its output, or as
/// undelivered once the client has read everything.
#[rstest::rstest]
#[case::ipv4(Ipv4Addr::LOCALHOST.into())]
#[case::ipv6(Ipv6Addr::LOCALHOST.into())]
fn output_is_unacknowledged_until_the_peer_takes_it(#[case] address: std::net::IpAddr) {
    let queues = SendQueues::open();
    let listener = TcpListener::bind((address, 0)).expect("a free port");
    let local = listener.local_addr().expect("local address");
    let mut client = TcpStream::connect(local).expect("the socket listens");
    let (mut server, _) = listener.accept().expect("a connection");
    assert_eq!(queues.unacknowledged_bytes(&server).expect("a reply"), 0);
    let written = fill(&mut server);
    let waiting = queues.unacknowledged_bytes(&server).expect("a reply");
    assert!(waiting > 0 && waiting <= written, "{waiting} of {written}");
    server.shutdown(Shutdown::Write).expect("open");
    let without_end = queues.unacknowledged_bytes(&server).expect("a reply");
    assert_eq!(without_end, waiting, "the end of the stream is no output");
    client.read_exact(&mut vec![0; written]).expect("all of the output");
    assert_eq!(queues.unacknowledged_bytes(&server).expect("a reply"), 0);
}

/// Guards against a connection that counts as undelivered for ever after its end, because the system then
/// describes the listening socket, whose queue has a length too.
#[test]
fn a_connection_that_has_ended_has_no_output() {
    let queues = SendQueues::open();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("local address")).expect("it listens");
    let (mut server, _) = listener.accept().expect("a connection");
    drop(client);
    assert_eq!(server.read(&mut [0]).expect("the end of the stream"), 0);
    server.shutdown(Shutdown::Write).expect("open");
    let deadline = Instant::now() + Duration::from_secs(1);
    while Instant::now() < deadline {
        assert_eq!(queues.unacknowledged_bytes(&server).expect("a reply"), 0);
        thread::sleep(Duration::from_millis(10));
    }
}
