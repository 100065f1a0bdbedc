//! A client with a kept connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// An answer as a client has received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether it ended as its framing asks.
    pub is_whole: bool,
}

impl Answer {
    /// A header; empty without one.
    pub fn header(
        &self,
        name: &str,
    ) -> String {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or(String::new(), |(_, value)| value.trim().to_owned())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client that keeps its connection for the next request.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
    buf: Vec<u8>,
}

impl Client {
    /// A client of the daemon at this address.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            buf: Vec::new(),
        }
    }

    /// Sends a request and reads its answer; `None` if the connection ends before the head of one.
    pub fn send(
        &mut self,
        request: &[u8],
    ) -> Option<Answer> {
        if self.stream.is_none() {
            self.buf.clear();
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream
                .set_read_timeout(Some(Duration::from_secs(30)))
                .ok()?;
            self.stream = Some(stream);
        }
        let answer = self.exchange(request);
        let closes = answer
            .as_ref()
            .is_none_or(|it| !it.is_whole || it.header("connection").eq_ignore_ascii_case("close"));
        if closes {
            self.stream = None;
        }
        answer
    }

    fn exchange(
        &mut self,
        request: &[u8],
    ) -> Option<Answer> {
        self.stream.as_mut()?.write_all(request).ok()?;
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            self.more()?;
        };
        let head: Vec<u8> = self.buf.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut answer = Answer {
            status: head.split(' ').nth(1)?.parse().ok()?,
            head,
            ..Answer::default()
        };
        if answer.header("transfer-encoding").is_empty() {
            let length: usize = answer.header("content-length").parse().unwrap_or(0);
            while self.buf.len() < length && self.more().is_some() {}
            answer.is_whole = self.buf.len() >= length;
            answer.body = self.buf.drain(..length.min(self.buf.len())).collect();
        } else {
            answer.is_whole = self.chunks(&mut answer.body).is_some();
        }
        Some(answer)
    }

    fn chunks(
        &mut self,
        body: &mut Vec<u8>,
    ) -> Option<()> {
        loop {
            let line = loop {
                if let Some(at) = self.buf.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                self.more()?;
            };
            let size = String::from_utf8_lossy(&self.buf[..line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let end = line + 2 + size + 2;
            while self.buf.len() < end {
                self.more()?;
            }
            body.extend_from_slice(&self.buf[line + 2..end - 2]);
            self.buf.drain(..end);
            if size == 0 {
                return Some(());
            }
        }
    }

    fn more(&mut self) -> Option<()> {
        let mut part = [0; 8192];
        let n = self.stream.as_mut()?.read(&mut part).ok()?;
        self.buf.extend_from_slice(&part[..n]);
        (n > 0).then_some(())
    }
}
