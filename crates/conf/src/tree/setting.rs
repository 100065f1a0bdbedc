use {
    super::{
        Family,
        NodeKind::{
            self, Account, Adapter, Call, DataCentre, Engine, Key, Server, Service, Version,
        },
        Rule, Shape, Standing, Value,
    },
    serde::{Deserialize, Serialize},
    std::sync::LazyLock,
};

/// The largest number that settings of amounts take.
const MAX_AMOUNT: u64 = 1_000_000_000;

/// Everything that can be set on a node; the list is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Setting {
    /// Tokens a second of an account, over the whole fleet.
    Rate,
    /// Tokens that an account may use at once after a rest, over the whole fleet.
    Burst,
    /// An account's weight in the fair queue.
    Weight,
    /// Requests of an account that may wait on one VM.
    MaxQueued,
    /// How long a request or call may take when its caller names no deadline, in milliseconds.
    DeadlineMs,
    /// The priority class of a request or call.
    Priority,
    /// The base model of an adapter or engine.
    Model,
    /// The accounts that may use an adapter.
    Access,
    /// The version of an adapter that a request without a version gets.
    Live,
    /// The name of a version's weights in the weight store.
    Weights,
    /// Where an upstream listens.
    Address,
    /// The data centre of an upstream.
    DataCentre,
    /// Adapters that an engine holds at a time.
    Slots,
    /// Requests that an engine batches at a time.
    MaxBatch,
    /// Whether an engine refuses an order with an old fencing token.
    ChecksFencing,
    /// Whether an upstream gets new work.
    State,
    /// The plain service of a server.
    Service,
    /// The HTTP method of a call.
    Method,
    /// The path of a call at its service.
    Path,
    /// Whether running a call twice does no harm.
    Idempotent,
    /// Tokens that a call costs its client account.
    Cost,
    /// The region of a data centre.
    Region,
    /// The SHA-256 of a key.
    Digest,
    /// Whether a key has been withdrawn.
    Withdrawn,
}

impl Setting {
    /// All settings, in the order of the documentation.
    pub const ALL: [Self; 24] = [
        Self::Rate,
        Self::Burst,
        Self::Weight,
        Self::MaxQueued,
        Self::DeadlineMs,
        Self::Priority,
        Self::Model,
        Self::Access,
        Self::Live,
        Self::Weights,
        Self::Address,
        Self::DataCentre,
        Self::Slots,
        Self::MaxBatch,
        Self::ChecksFencing,
        Self::State,
        Self::Service,
        Self::Method,
        Self::Path,
        Self::Idempotent,
        Self::Cost,
        Self::Region,
        Self::Digest,
        Self::Withdrawn,
    ];

    /// The row of the table: name, type and range, where it may stand, default.
    pub fn rule(self) -> &'static Rule {
        static TABLE: LazyLock<[Rule; Setting::ALL.len()]> =
            LazyLock::new(|| Setting::ALL.map(Setting::row));
        &TABLE[self as usize]
    }

    #[expect(clippy::too_many_lines, reason = "one row a setting")]
    fn row(self) -> Rule {
        use {
            Shape::{
                Accounts, Address, Choice, Digest, Flag, Method, Number, Reference, Text, UrlPath,
            },
            Standing::{Fixed, Inherited, Own},
        };
        let number = |n| Some(Value::Number(n));
        let flag = |on| Some(Value::Flag(on));
        let text = |word| Some(Value::text(word));
        let row = Rule::new;
        match self {
            Self::Rate => row(
                "rate",
                Number(1, MAX_AMOUNT),
                Inherited,
                &[Account],
                number(1_000),
            ),
            Self::Burst => row(
                "burst",
                Number(1, MAX_AMOUNT),
                Inherited,
                &[Account],
                number(10_000),
            ),
            Self::Weight => row(
                "weight",
                Number(1, 1_000),
                Inherited,
                &[Account],
                number(100),
            ),
            Self::MaxQueued => row(
                "max_queued",
                Number(1, 100_000),
                Inherited,
                &[Account],
                number(256),
            ),
            Self::DeadlineMs => row(
                "deadline_ms",
                Number(100, 3_600_000),
                Inherited,
                &[Account, Call],
                number(60_000),
            ),
            Self::Priority => row(
                "priority",
                Choice(&["high", "normal", "low"]),
                Inherited,
                &[Account, Call],
                text("normal"),
            ),
            Self::Model => row(
                "model",
                Reference(Family::Models),
                Inherited,
                &[Adapter, Engine],
                None,
            ),
            Self::Access => row(
                "access",
                Accounts,
                Inherited,
                &[Adapter],
                Some(Value::Names(Vec::new())),
            ),
            Self::Live => row(
                "live",
                Number(1, u64::from(u32::MAX)),
                Own,
                &[Adapter],
                None,
            ),
            Self::Weights => row("weights", Text(256), Fixed, &[Version], None),
            Self::Address => row("address", Address, Fixed, &[Engine, Server], None),
            Self::DataCentre => row(
                "data_centre",
                Reference(Family::DataCentres),
                Inherited,
                &[Engine, Server],
                None,
            ),
            Self::Slots => row("slots", Number(1, 4_096), Inherited, &[Engine], number(4)),
            Self::MaxBatch => row(
                "max_batch",
                Number(1, 4_096),
                Inherited,
                &[Engine],
                number(16),
            ),
            Self::ChecksFencing => row("checks_fencing", Flag, Inherited, &[Engine], flag(false)),
            Self::State => row(
                "state",
                Choice(&["active", "leaving"]),
                Inherited,
                &[Engine, Server],
                text("active"),
            ),
            Self::Service => row(
                "service",
                Reference(Family::Services),
                Inherited,
                &[Server],
                None,
            ),
            Self::Method => row("method", Method, Own, &[Call], None),
            Self::Path => row("path", UrlPath, Own, &[Call], None),
            Self::Idempotent => row("idempotent", Flag, Own, &[Call], None),
            Self::Cost => row("cost", Number(0, MAX_AMOUNT), Inherited, &[Call], number(1)),
            Self::Region => row("region", Text(64), Inherited, &[DataCentre], text("")),
            Self::Digest => row("digest", Digest, Fixed, &[Key], None),
            Self::Withdrawn => row("withdrawn", Flag, Own, &[Key], flag(false)),
        }
    }

    /// The setting of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|setting| setting.rule().name == name)
    }

    /// What the setting is for, in one sentence.
    pub const fn purpose(self) -> &'static str {
        match self {
            Self::Rate => "Tokens a second over the whole fleet.",
            Self::Burst => "Tokens that may be used at once after a rest, over the whole fleet.",
            Self::Weight => "Weight in the fair queue.",
            Self::MaxQueued => "Requests that may wait on one VM.",
            Self::DeadlineMs => {
                "Milliseconds a request may take when its caller names no deadline."
            }
            Self::Priority => "Priority class when the caller names none.",
            Self::Model => "Name of the base model.",
            Self::Access => "Client accounts that may use it: \"all\" or a list of names.",
            Self::Live => "Version that a request without a version gets; unset: none does.",
            Self::Weights => "Name of the weights in the weight store.",
            Self::Address => "IP address and port where it listens.",
            Self::DataCentre => "Name of the data centre it stands in.",
            Self::Slots => "Adapters held at a time.",
            Self::MaxBatch => "Requests batched at a time.",
            Self::ChecksFencing => "Whether it refuses orders with an old fencing token.",
            Self::State => "Whether it gets new work; leaving: it finishes what it has.",
            Self::Service => "Name of the plain service it answers for.",
            Self::Method => "HTTP method.",
            Self::Path => "Path at the service; {} stands for any one segment.",
            Self::Idempotent => {
                "Whether running it twice does no harm; unset: as HTTP says of the method."
            }
            Self::Cost => "Tokens it costs the client account.",
            Self::Region => "Region it lies in.",
            Self::Digest => "SHA-256 of the key; the key itself is stored nowhere.",
            Self::Withdrawn => "Whether it has been withdrawn, which can't be taken back.",
        }
    }

    /// Whether the setting may be written on a node of this kind in this collection.
    pub fn may_stand_at(
        self,
        kind: NodeKind,
        collection: &str,
    ) -> bool {
        let rule = self.rule();
        match kind {
            _ if rule.kinds.contains(&kind) => true,
            NodeKind::Group if rule.standing == Standing::Inherited => {
                collection.is_empty()
                    || rule
                        .kinds
                        .iter()
                        .any(|kind| kind.collection() == Some(collection))
            }
            Service => rule.standing == Standing::Inherited && rule.kinds.contains(&Call),
            _ => false,
        }
    }
}

impl std::fmt::Display for Setting {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.write_str(self.rule().name)
    }
}
