use {
    super::Family,
    serde::{Deserialize, Serialize},
};

/// The kind of a node in the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// A level that holds settings for the nodes below it.
    Group,
    /// A client account.
    Account,
    /// A caller's key, below its client account.
    Key,
    /// A LoRA adapter.
    Adapter,
    /// A version of the parent adapter, named by its version number.
    Version,
    /// A base model.
    Model,
    /// An upstream that runs a base model.
    Engine,
    /// An upstream that serves a plain service.
    Server,
    /// A plain service.
    Service,
    /// A call of the parent service.
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

    /// The name used by operators and in JSON.
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

    /// Finds the kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// The top-level collection of this kind; `None` for groups, which are allowed in all of them.
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

    /// The required kind of the parent node.
    pub const fn parent(self) -> Self {
        match self {
            Self::Key => Self::Account,
            Self::Version => Self::Adapter,
            Self::Call => Self::Service,
            _ => Self::Group,
        }
    }

    /// The number sequence and namespace; `None` if nodes are identified only by path.
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
