use {
    super::Family,
    serde::{Deserialize, Serialize},
};

/// What a node of the tree stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// A level that only holds settings for what stands below it.
    Group,
    /// A client account.
    Account,
    /// A caller's key, below its client account.
    Key,
    /// A LoRA adapter.
    Adapter,
    /// A version of the adapter above it; its name is the version's number.
    Version,
    /// A base model.
    Model,
    /// An upstream that runs a base model.
    Engine,
    /// An upstream that answers calls of a plain service.
    Server,
    /// A plain service.
    Service,
    /// A call of the service above it.
    Call,
    /// A data centre.
    DataCentre,
}

impl NodeKind {
    /// All kinds, in the order of the documentation.
    pub const ALL: [Self; 11] = [
        Self::Group,
        Self::Account,
        Self::Key,
        Self::Adapter,
        Self::Version,
        Self::Model,
        Self::Engine,
        Self::Server,
        Self::Service,
        Self::Call,
        Self::DataCentre,
    ];

    /// Its name, as operators write it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Group => "group",
            Self::Account => "account",
            Self::Key => "key",
            Self::Adapter => "adapter",
            Self::Version => "version",
            Self::Model => "model",
            Self::Engine => "engine",
            Self::Server => "server",
            Self::Service => "service",
            Self::Call => "call",
            Self::DataCentre => "data-centre",
        }
    }

    /// The kind of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// The first level that nodes of this kind stand below; `None` for groups, which go anywhere.
    pub const fn collection(self) -> Option<&'static str> {
        match self {
            Self::Group => None,
            Self::Account | Self::Key => Some("accounts"),
            Self::Adapter | Self::Version => Some("adapters"),
            Self::Model => Some("models"),
            Self::Engine | Self::Server => Some("upstreams"),
            Self::Service | Self::Call => Some("services"),
            Self::DataCentre => Some("data-centres"),
        }
    }

    /// The kind that the node above must be.
    pub const fn parent(self) -> Self {
        match self {
            Self::Key => Self::Account,
            Self::Version => Self::Adapter,
            Self::Call => Self::Service,
            _ => Self::Group,
        }
    }

    /// The sequence of numbers and names; `None` where a node has none beyond its path.
    pub const fn family(self) -> Option<Family> {
        match self {
            Self::Group | Self::Version | Self::Call => None,
            Self::Account => Some(Family::Accounts),
            Self::Key => Some(Family::Keys),
            Self::Adapter => Some(Family::Adapters),
            Self::Model => Some(Family::Models),
            Self::Engine | Self::Server => Some(Family::Upstreams),
            Self::Service => Some(Family::Services),
            Self::DataCentre => Some(Family::DataCentres),
        }
    }
}

impl std::fmt::Display for NodeKind {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.write_str(self.name())
    }
}
