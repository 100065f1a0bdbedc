use std::fmt;

/// The status code of a response, from 100 to 599.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status(u16);

/// The class of a status code, its first digit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusClass {
    /// 1xx: another response to the same request follows.
    Interim,
    /// 2xx.
    Success,
    /// 3xx.
    Redirection,
    /// 4xx.
    ClientError,
    /// 5xx.
    ServerError,
}

impl Status {
    /// 101: what follows on the connection is another protocol.
    pub const SWITCHING_PROTOCOLS: Self = Self(101);
    /// 200.
    pub const OK: Self = Self(200);
    /// 502.
    pub const BAD_GATEWAY: Self = Self(502);
    /// 503.
    pub const SERVICE_UNAVAILABLE: Self = Self(503);

    /// The status with this code; none if no class has it.
    pub const fn new(code: u16) -> Option<Self> {
        match code {
            100..=599 => Some(Self(code)),
            _ => None,
        }
    }

    /// The code.
    pub const fn code(self) -> u16 {
        self.0
    }

    /// The class.
    pub const fn class(self) -> StatusClass {
        match self.0 {
            ..200 => StatusClass::Interim,
            200..300 => StatusClass::Success,
            300..400 => StatusClass::Redirection,
            400..500 => StatusClass::ClientError,
            500.. => StatusClass::ServerError,
        }
    }
}

impl fmt::Display for Status {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        self.0.fmt(f)
    }
}
