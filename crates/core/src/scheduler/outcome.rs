use crate::clock::Millis;

/// How an assigned request ended, as its VM tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream gave its whole answer, whatever the status, within `took`.
    Answered {
        /// From sending to the end of the answer.
        took: Millis,
    },
    /// The upstream answered that it failed, though it had run the request.
    Failed,
    /// The upstream said that it did not run it because it is full.
    Shed,
    /// The upstream said that the adapter or version is not there yet.
    NotLoaded,
    /// Another upstream has the address.
    OtherUpstream,
    /// No connection came about.
    Unreachable,
    /// The connection broke, or what arrived makes no sense.
    Lost,
    /// Nothing arrived for too long.
    Silent,
    /// The caller has gone or its time is up; the upstream is not to blame.
    Abandoned,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine carries it out.
    Accepted,
    /// What was ordered holds.
    Holds,
    /// The engine has accepted another number of orders, or is busy.
    Conflict,
    /// The engine refuses it for another reason.
    Refused,
    /// Another upstream has the address.
    OtherUpstream,
    /// The call went out and has no answer: it may be carried out, also later.
    Lost,
    /// Nothing was sent.
    Unsent,
}

/// Which engines get no more orders before the lead is handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rest {
    /// One of two, so that the next scheduler may order these at once.
    EverySecond,
    /// All.
    All,
}

/// What was decided of a request's charge, by whoever decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnDecision {
    /// Its account was charged.
    LetThrough,
    /// Its account was over its rate.
    OverRate,
}
