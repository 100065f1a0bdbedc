//! A small blocking HTTP/1.1 server.

use std::{
    collections::BTreeMap,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A received request, with header names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// A header; empty without one.
    pub fn header(
        &self,
        name: &str,
    ) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The id of the client's attempt.
    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }
}

/// The server's side of a connection.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    /// Reads the next request; `None` once the connection is closed.
    pub fn request(&mut self) -> Option<Request> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            self.read_more()?;
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let mut words = lines.next()?.split(' ');
        let mut req = Request {
            method: words.next()?.to_owned(),
            target: words.next()?.to_owned(),
            ..Request::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                req.headers.insert(name, value.trim().to_owned());
            }
        }
        let length = req.header("content-length").parse().unwrap_or(0);
        while self.buf.len() < length {
            self.read_more()?;
        }
        req.body = self.buf.drain(..length).collect();
        Some(req)
    }

    /// Sends bytes; false once the connection is closed.
    pub fn send(
        &mut self,
        bytes: &[u8],
    ) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Works for a while; false, and sooner, if the other end closes the connection meanwhile.
    pub fn work(
        &mut self,
        time: Duration,
    ) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            let step = left.min(Duration::from_millis(5));
            let _ = self.stream.set_read_timeout(Some(step));
            let mut byte = [0; 1];
            let seen = self.stream.peek(&mut byte);
            let _ = self.stream.set_read_timeout(None);
            match seen {
                Ok(0) => return false,
                // The next request is here already.
                Ok(_) => thread::sleep(step),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }

    fn read_more(&mut self) -> Option<()> {
        let mut part = [0; 8192];
        let n = self.stream.read(&mut part).ok().filter(|&n| n > 0)?;
        self.buf.extend_from_slice(&part[..n]);
        Some(())
    }
}

/// A server that can crash: its connections are reset, and new ones are refused until it starts again.
#[derive(Clone, Default)]
pub struct Life {
    /// Counts its crashes.
    lives: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Life {
    /// Crashes the server at `address`, which starts again after a while.
    pub fn crash(
        &self,
        address: SocketAddr,
        down: Duration,
    ) {
        self.is_down.store(true, Ordering::SeqCst);
        self.lives.fetch_add(1, Ordering::SeqCst);
        // Wakes the listener, which closes.
        drop(TcpStream::connect(address));
        for stream in self.open.lock().unwrap().drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(Shutdown::Read);
        }
        thread::sleep(down);
        self.is_down.store(false, Ordering::SeqCst);
    }

    /// The number of its crashes.
    pub fn crashes(&self) -> u64 {
        self.lives.load(Ordering::SeqCst)
    }

    fn listen(
        &self,
        address: SocketAddr,
    ) -> TcpListener {
        while self.is_down.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        TcpListener::bind(address).expect("its port is free again")
    }
}

#[repr(C)]
struct Linger {
    is_on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(
        socket: i32,
        level: i32,
        name: i32,
        value: *const Linger,
        len: u32,
    ) -> i32;
}

/// Makes the close of a connection a reset, as after a crash.
pub fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger {
        is_on: 1,
        seconds: 0,
    };
    let len = size_of::<Linger>() as u32;
    // SAFETY: the socket is open, and the option's value lives through the call.
    let _failed = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, len) };
}

/// Serves connections like [`serve`], until the server crashes, and again after it.
pub fn serve_with_life<F>(
    life: &Life,
    handle: F,
) -> SocketAddr
where
    F: Fn(Connection, u64) + Clone + Send + 'static,
{
    let first = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = first.local_addr().expect("it is bound");
    let life = life.clone();
    thread::spawn(move || {
        let mut listener = first;
        loop {
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            if life.is_down.load(Ordering::SeqCst) {
                reset_on_close(&stream);
                drop((stream, listener));
                listener = life.listen(address);
                continue;
            }
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                life.open.lock().unwrap().push(copy);
            }
            let (handle, number) = (handle.clone(), life.crashes());
            let life = life.clone();
            let buf = Vec::new();
            thread::spawn(move || {
                let copy = stream.try_clone();
                handle(Connection { stream, buf }, number);
                // Another copy of it is kept for a crash, which closes it with a reset.
                if life.crashes() == number {
                    let _closed = copy.and_then(|stream| stream.shutdown(Shutdown::Both));
                }
            });
        }
    });
    address
}

/// Serves connections on a free port of the loopback address, each on a thread of its own.
pub fn serve<F>(handle: F) -> SocketAddr
where
    F: Fn(Connection) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                handle(Connection {
                    stream,
                    buf: Vec::new(),
                });
            });
        }
    });
    address
}

/// An answer with a length.
pub fn answer(
    status: u16,
    headers: &str,
    body: &str,
) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
