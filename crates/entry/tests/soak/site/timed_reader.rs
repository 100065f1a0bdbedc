use std::{
    io::{self, ErrorKind, Read},
    net::TcpStream,
    time::Instant,
};

/// Reads from a connection until a moment, however many bytes come.
#[derive(Debug)]
pub struct TimedReader<'a> {
    pub stream: &'a TcpStream,
    pub until: Instant,
}

impl Read for TimedReader<'_> {
    fn read(
        &mut self,
        buf: &mut [u8],
    ) -> io::Result<usize> {
        let time = self.until.saturating_duration_since(Instant::now());
        if time.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(time))?;
        self.stream.read(buf)
    }
}
