//! Reading of the send queues of connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Ipv6Addr, TcpListener, TcpStream};
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
    client.read_exact(&mut vec![0; written]).expect("all of the output");
    assert_eq!(queues.unacknowledged_bytes(&server).expect("a reply"), 0);
    drop((client, server));
}
