use {
    super::{Awaited, Connection, ExchangeError, Pool},
    bytes::Bytes,
    jasmine_core::clock::Millis,
    std::{fmt::Write, net::SocketAddr},
    tokio::time::timeout,
};

/// The largest response accepted, in bytes; holds a page of the store in base64.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Longest idle time of a reused connection.
const IDLE_TIMEOUT: Millis = Millis(3_000);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// Connecting failed; nothing was sent.
    #[display("can't connect")]
    NotSent,
    /// The request was sent but not answered; it may have been executed or may be later.
    #[display("request sent, {_0}")]
    NoResponse(#[error(not(source))] NoResponse),
}

/// Why a call that was sent has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum NoResponse {
    /// There was none in time.
    #[display("no response within {_0} ms")]
    TimedOut(Millis),
    /// The connection was lost, or the response is none to this call.
    #[display("{_0}")]
    Failed(ExchangeError),
}

/// An HTTP call with an optional JSON body.
#[derive(Clone, Copy, Debug)]
pub struct HttpCall<'a> {
    /// The server's address.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Further header lines, each with CRLF.
    pub headers: &'a str,
    /// The body; empty for none.
    pub body: &'a [u8],
    /// Timeout of the whole call.
    pub timeout: Millis,
    /// Whether it goes over a connection that has carried nothing else, as the server may answer some calls twice.
    pub requires_new_connection: bool,
}

impl HttpCall<'_> {
    /// Makes the call and returns the status and body.
    ///
    /// # Errors
    ///
    /// [`CallError`].
    pub async fn send(
        &self,
        pool: &Pool,
    ) -> Result<(u16, Bytes), CallError> {
        let result = timeout(self.timeout.to_std(), self.attempt(pool)).await;
        let timed_out = CallError::NoResponse(NoResponse::TimedOut(self.timeout));
        let result = result.unwrap_or(Err(timed_out));
        if matches!(result, Err(CallError::NoResponse(_))) {
            pool.close_idle(self.address);
        }
        result
    }

    async fn attempt(
        &self,
        pool: &Pool,
    ) -> Result<(u16, Bytes), CallError> {
        let reused = if self.requires_new_connection {
            pool.take_unused(self.address)
        } else {
            pool.reuse(self.address, IDLE_TIMEOUT, None)
        };
        let mut connection = match reused {
            Some(connection) => connection,
            None => pool
                .open(self.address)
                .await
                .map_err(|_e| CallError::NotSent)?,
        };
        let response = self.exchange(&mut connection).await;
        let (head, body) = response.map_err(|e| CallError::NoResponse(NoResponse::Failed(e)))?;
        pool.release(self.address, connection, &head);
        Ok((head.status.code(), body))
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
    ) -> Result<(crate::http1::ResponseHead, Bytes), ExchangeError> {
        let request = self.encode();
        let response_start = connection
            .send_request(&request, self.method, Awaited::Any)
            .await?;
        let body = connection
            .read_whole_body(&response_start.head, MAX_RESPONSE_BYTES)
            .await?;
        if response_start.is_request_sent {
            Ok((response_start.head, body))
        } else {
            Err(ExchangeError::Invalid)
        }
    }

    fn encode(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        let _infallible = write!(head, "Host: {}\r\n{}", self.address, self.headers);
        if !self.body.is_empty() {
            head.push_str("Content-Type: application/json\r\n");
        }
        if !self.body.is_empty() || self.method == "POST" {
            let _infallible = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        head.push_str("\r\n");
        let mut request = head.into_bytes();
        request.extend_from_slice(self.body);
        request
    }
}
