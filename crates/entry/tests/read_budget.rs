//! The bound over all answers that a daemon buffers.

use {
    bytes::Bytes,
    jasmine_entry::{
        forward::EventSplitter,
        upstream::{Awaited, ExchangeError, Pool, ReadBudget},
    },
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
    },
};

/// More than a third of the bytes that may be buffered of all peers, and more than half of those of one.
const LONG: usize = 12 << 20;

/// Serves connections with an answer of so many bytes.
fn start_server(len: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            // A close with unread bytes resets the connection.
            let _request = stream.read(&mut [0; 1024]).unwrap();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n");
            drop(stream.write_all(head.as_bytes()));
            drop(stream.write_all(&vec![b'a'; len]));
        }
    });
    address
}

async fn read(
    pool: &Pool,
    address: SocketAddr,
) -> Result<Bytes, ExchangeError> {
    let mut connection = pool.open(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let start = connection
        .send_request(request, "GET", Awaited::Any)
        .await?;
    connection.read_whole_body(&start.head, 16 << 20).await
}

#[test]
fn answers_of_all_peers_are_bounded() {
    // Guards against bodies of many upstreams that together take the memory of the daemon.
    actix_rt::System::new().block_on(async {
        let pool = Pool::default();
        let mut held = Vec::new();
        for _ in 0..4 {
            held.push(read(&pool, start_server(LONG)).await);
        }
        let kept = held.iter().filter(|body| body.is_ok()).count();
        assert_eq!(kept, 2);
        assert_eq!(held[3], Err(ExchangeError::Invalid));
        // A short answer is read whatever the others hold.
        let short = read(&pool, start_server(4 << 10)).await;
        assert_eq!(short.map(|body| body.len()), Ok(4 << 10));
        held.clear();
        let next = read(&pool, start_server(LONG)).await;
        assert_eq!(next.map(|body| body.len()), Ok(LONG));
    });
}

#[test]
fn one_peer_leaves_room_for_others() {
    // Guards against one upstream whose bodies keep a sound one's answer from being read.
    actix_rt::System::new().block_on(async {
        let pool = Pool::default();
        let babbler = start_server(LONG);
        let mut held = Vec::new();
        for _ in 0..3 {
            held.push(read(&pool, babbler).await);
        }
        let kept = held.iter().filter(|body| body.is_ok()).count();
        assert_eq!(kept, 1);
        let sound = read(&pool, start_server(LONG)).await;
        assert_eq!(sound.map(|body| body.len()), Ok(LONG));
    });
}

#[test]
fn partial_events_are_bounded() {
    // Guards against streams without an end of their events that together take the memory of the daemon.
    let budget = ReadBudget::default();
    let piece = vec![b'a'; 255 << 10];
    let mut splitters = Vec::new();
    for port in 1..=64 {
        let charge = budget.charge(SocketAddr::from(([127, 0, 0, 1], port)));
        let mut splitter = EventSplitter::new(charge);
        let is_kept = (0..4).all(|_| splitter.push(&piece));
        splitters.push((splitter, is_kept));
    }
    let kept = splitters.iter().filter(|(_, is_kept)| *is_kept).count();
    assert_eq!(kept, 32);
    // The end of an event makes room again.
    let (splitter, _) = &mut splitters[0];
    assert!(splitter.push(b"\n\n"));
    assert!(splitter.next_event().is_some());
    assert_eq!(splitter.next_event(), None);
    let charge = budget.charge(SocketAddr::from(([127, 0, 0, 1], 65)));
    let mut next = EventSplitter::new(charge);
    assert!((0..3).all(|_| next.push(&piece)));
}
