/// The result of a probe of one upstream over a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It answered, whatever the answer.
    Answered,
    /// No connection could be opened, or it closed without an answer.
    Refused,
    /// It did not answer in time; it may also be busy.
    Silent,
}
