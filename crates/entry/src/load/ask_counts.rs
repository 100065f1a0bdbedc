use {jasmine_core::clock::Millis, std::cell::Cell};

/// How a question to the leader ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskEnd {
    /// An upstream was assigned.
    Assigned,
    /// The request was refused.
    Refused,
    /// The leader didn't answer in time, or no longer led: the request is decided otherwise.
    Lost,
    /// The question was given up, as its caller left or the mode changed.
    GivenUp,
}

impl AskEnd {
    /// All variants in declaration order.
    pub const ALL: [Self; 4] = [Self::Assigned, Self::Refused, Self::Lost, Self::GivenUp];

    /// Name of the end in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Assigned => "assigned",
            Self::Refused => "refused",
            Self::Lost => "lost",
            Self::GivenUp => "given_up",
        }
    }
}

/// What this VM has asked the leader about its own callers' requests.
#[derive(Debug, Default)]
pub struct AskCounts {
    ends: [Cell<u64>; AskEnd::ALL.len()],
    repeated: Cell<u64>,
    answered_here: Cell<u64>,
    longest: Cell<Millis>,
}

impl AskCounts {
    /// Counts a question that ended after `took`.
    pub fn note_end(
        &self,
        end: AskEnd,
        took: Millis,
    ) {
        let count = &self.ends[end as usize];
        count.set(count.get() + 1);
        self.longest.set(self.longest.get().max(took));
    }

    /// Counts a question about a request about which the leader was asked before.
    pub fn note_repeated(&self) {
        self.repeated.set(self.repeated.get() + 1);
    }

    /// Counts a request that this VM refused by what the leader had told it, without a question.
    pub fn note_answered_here(&self) {
        self.answered_here.set(self.answered_here.get() + 1);
    }

    /// How many questions ended so since the start.
    pub const fn ended(
        &self,
        end: AskEnd,
    ) -> u64 {
        self.ends[end as usize].get()
    }

    /// How many questions were about a request about which the leader was asked before.
    pub const fn repeated(&self) -> u64 {
        self.repeated.get()
    }

    /// How many requests were refused without a question.
    pub const fn answered_here(&self) -> u64 {
        self.answered_here.get()
    }

    /// The longest time that a question has taken since the last call.
    pub const fn take_longest(&self) -> Millis {
        self.longest.replace(Millis::ZERO)
    }
}
