use {
    super::routes::Answer,
    jasmine_platform_stand_in::{
        Babble, BabbleAt, Behaviour, Pace, Silence, SilentAt, StreamEnd, StreamFraming,
    },
    rand::{Rng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{fmt, ops::Range, time::Duration},
};

/// How long a sound upstream is silent, in milliseconds.
const SILENCE_MS: Range<u64> = 400..3_000;
/// Most events that an upstream sends before it breaks off.
const MAX_EVENTS: u64 = 8;
/// How often each conduct is drawn.
const WEIGHTS: [(Conduct, u32); 9] = [
    (Conduct::Sound, 26),
    (Conduct::Silent(Duration::ZERO), 34),
    (Conduct::Full, 14),
    (Conduct::Fails, 8),
    (Conduct::Resets, 5),
    (Conduct::BreaksOff, 6),
    (Conduct::Hangs, 5),
    (Conduct::Forges, 2),
    (Conduct::Babbles, 6),
];
/// Part of the bytes that are no answer that come as fast as they are read.
const FULL_PACE_SHARE: f64 = 0.25;
const FRAMINGS: [StreamFraming; 3] = [
    StreamFraming::Chunked,
    StreamFraming::Length,
    StreamFraming::UntilClose,
];

/// How an upstream treats its requests for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    Sound,
    /// Silent for this long in the middle of an answer that is whole in the end.
    Silent(Duration),
    /// Turns requests away.
    Full,
    /// Answers 500.
    Fails,
    /// Resets connections without an answer.
    Resets,
    /// Ends its answers early.
    BreaksOff,
    /// Never answers, or never goes on.
    Hangs,
    /// Answers without a seal.
    Forges,
    /// Sends bytes that are no answer without end.
    Babbles,
}

impl Conduct {
    pub fn draw(rng: &mut ChaCha8Rng) -> Self {
        let drawn = WEIGHTS.choose_weighted(rng, |&(_, weight)| weight);
        match drawn.unwrap().0 {
            Self::Silent(_) => Self::Silent(Duration::from_millis(rng.random_range(SILENCE_MS))),
            conduct => conduct,
        }
    }

    /// A behaviour of this kind.
    pub fn behaviour(
        self,
        answer: Answer,
        rng: &mut ChaCha8Rng,
    ) -> Behaviour {
        let few = rng.random_range(0..MAX_EVENTS);
        let variant = rng.random_range(0..3);
        match (self, answer) {
            (Self::Sound, Answer::Stream(events)) => Behaviour::Events(events),
            (Self::Sound, Answer::Call) => Behaviour::Answer(b"ok".to_vec()),
            (Self::Silent(time), Answer::Stream(events)) => {
                let event = rng.random_range(1..=events + 1);
                let at = match variant {
                    0 => SilentAt::Head,
                    1 => SilentAt::Event(event),
                    _ => SilentAt::InsideEvent(event),
                };
                let framing = FRAMINGS[rng.random_range(0..FRAMINGS.len())];
                Behaviour::SilentStream(events, framing, Silence { at, time })
            }
            (Self::Silent(time), Answer::Call) => match variant {
                0 => Behaviour::SilentBody(b"slow".to_vec(), time),
                _ => Behaviour::Slow(time),
            },
            (Self::Full, _) => Behaviour::Shed,
            (Self::Fails, _) => Behaviour::Fail,
            (Self::Resets, _) => Behaviour::Reset,
            (Self::BreaksOff, Answer::Stream(events)) => match variant {
                0 => Behaviour::CutAfterMore(few, events),
                _ => Behaviour::Stream(few, StreamFraming::Chunked, StreamEnd::Reset),
            },
            (Self::BreaksOff, Answer::Call) => Behaviour::Truncate,
            (Self::Hangs, Answer::Stream(_)) if variant > 0 => Behaviour::SilentAfter(few),
            (Self::Hangs, _) => Behaviour::Hang,
            (Self::Forges, _) => Behaviour::Unsealed,
            (Self::Babbles, _) => Behaviour::Babble(draw_babble(answer, few, rng)),
        }
    }

    /// Whether an answer would have come, after which silence.
    pub const fn silence(self) -> Option<Duration> {
        match self {
            Self::Sound => Some(Duration::ZERO),
            Self::Silent(time) => Some(time),
            _ => None,
        }
    }

    /// Whether an answer is broken off or made invalid by the upstream itself.
    pub const fn breaks_off(self) -> bool {
        matches!(
            self,
            Self::Resets | Self::BreaksOff | Self::Forges | Self::Babbles
        )
    }
}

impl fmt::Display for Conduct {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        f.write_str(match self {
            Self::Sound => "sound",
            Self::Silent(_) => "silent",
            Self::Full => "full",
            Self::Fails => "failing",
            Self::Resets => "reset",
            Self::BreaksOff => "broken off",
            Self::Hangs => "hung",
            Self::Forges => "unsealed",
            Self::Babbles => "babbling",
        })
    }
}

fn draw_babble(
    answer: Answer,
    events: u64,
    rng: &mut ChaCha8Rng,
) -> Babble {
    let anywhere = [
        BabbleAt::InterimResponses,
        BabbleAt::HeaderLines,
        BabbleAt::HeaderLine,
        BabbleAt::OtherResponses,
        BabbleAt::OtherBody,
        BabbleAt::FailureBody,
        BabbleAt::SilentFailure,
        BabbleAt::RefusalBody,
        BabbleAt::BodyUntilClose,
        BabbleAt::LongBody,
        BabbleAt::AfterAnswer,
    ];
    let in_streams = [
        BabbleAt::Event(events),
        BabbleAt::ChunkSize(events),
        BabbleAt::ChunkExtensions(events),
        BabbleAt::Trailers(events),
        BabbleAt::Comments(events),
        BabbleAt::KnownEvents(events),
        BabbleAt::EventsWithoutId(events),
    ];
    let is_in_stream = matches!(answer, Answer::Stream(_)) && rng.random_bool(0.5);
    let places: &[BabbleAt] = if is_in_stream { &in_streams } else { &anywhere };
    let pace = if rng.random_bool(FULL_PACE_SHARE) {
        Pace::FULL
    } else {
        Pace::SLOW
    };
    Babble {
        at: places[rng.random_range(0..places.len())],
        pace,
    }
}
