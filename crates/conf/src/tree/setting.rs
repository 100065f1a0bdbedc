use {
    super::{
        Family,
        NodeKind::{
            self, Account, Adapter, Call, DataCentre, Engine, Key, Server, Service, Version,
        },
        SettingScope, SettingSpec, Value, ValueType,
    },
    serde::{Deserialize, Serialize},
    std::sync::LazyLock,
};

/// The maximum value of rates, bursts and costs.
const MAX_AMOUNT: u64 = 1_000_000_000;

/// A setting of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Setting {
    /// Rate limit of an account over the whole fleet, in tokens per second.
    Rate,
    /// Maximum burst of an account over the whole fleet, in tokens.
    Burst,
    /// Weight of an account in the fair queue.
    Weight,
    /// Maximum number of queued requests of an account on one VM.
    MaxQueued,
    /// Default deadline of a request or call, in milliseconds.
    DeadlineMs,
    /// Default priority class of a request or call.
    Priority,
    /// Base model of an adapter or engine.
    Model,
    /// Accounts that may use an adapter.
    Access,
    /// Version of an adapter used for requests that do not specify one.
    Live,
    /// Name of a version's weights in the weight store.
    Weights,
    /// Address and port of an upstream.
    Address,
    /// Data centre of an upstream.
    DataCentre,
    /// Number of adapter slots of an engine.
    Slots,
    /// Maximum batch size of an engine, in requests.
    MaxBatch,
    /// Whether an engine rejects orders with an outdated fencing token.
    ChecksFencing,
    /// Whether an upstream receives new requests.
    State,
    /// Plain service that a server belongs to.
    Service,
    /// HTTP method of a call.
    Method,
    /// URL path of a call at its service.
    Path,
    /// Whether a call is idempotent.
    Idempotent,
    /// Cost of a call for its client account, in tokens.
    Cost,
    /// Region of a data centre.
    Region,
    /// SHA-256 digest of a key.
    Digest,
    /// Whether a key is withdrawn and no longer valid.
    Withdrawn,
}

impl Setting {
    /// All settings, in the order of the enum and the documentation.
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

    /// The definition: name, type and range, scope, node kinds and default.
    pub fn spec(self) -> &'static SettingSpec {
        static TABLE: LazyLock<[SettingSpec; Setting::ALL.len()]> =
            LazyLock::new(|| Setting::ALL.map(Setting::row));
        &TABLE[self as usize]
    }

    #[expect(clippy::too_many_lines, reason = "one entry per setting")]
    fn row(self) -> SettingSpec {
        use {
            SettingScope::{Fixed, Inherited, NodeOnly},
            ValueType::{
                Accounts, Address, Choice, Digest, Flag, Method, Number, Reference, Text, UrlPath,
            },
        };
        let number = |n| Some(Value::Number(n));
        let flag = |on| Some(Value::Flag(on));
        let text = |word| Some(Value::text(word));
        let row = SettingSpec::new;
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
                NodeOnly,
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
            Self::Method => row("method", Method, NodeOnly, &[Call], None),
            Self::Path => row("path", UrlPath, NodeOnly, &[Call], None),
            Self::Idempotent => row("idempotent", Flag, NodeOnly, &[Call], None),
            Self::Cost => row("cost", Number(0, MAX_AMOUNT), Inherited, &[Call], number(1)),
            Self::Region => row("region", Text(64), Inherited, &[DataCentre], text("")),
            Self::Digest => row("digest", Digest, Fixed, &[Key], None),
            Self::Withdrawn => row("withdrawn", Flag, NodeOnly, &[Key], flag(false)),
        }
    }

    /// Finds the setting with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|setting| setting.spec().name == name)
    }

    /// A one-sentence description, as in the documentation.
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

    /// Whether the setting may be set on a node of this kind in this collection.
    pub fn is_allowed_on(
        self,
        kind: NodeKind,
        collection: &str,
    ) -> bool {
        let spec = self.spec();
        match kind {
            _ if spec.kinds.contains(&kind) => true,
            NodeKind::Group if spec.scope == SettingScope::Inherited => {
                collection.is_empty()
                    || spec
                        .kinds
                        .iter()
                        .any(|kind| kind.collection() == Some(collection))
            }
            Service => spec.scope == SettingScope::Inherited && spec.kinds.contains(&Call),
            _ => false,
        }
    }
}

impl std::fmt::Display for Setting {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.write_str(self.spec().name)
    }
}
