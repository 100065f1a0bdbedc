//! Resolves each kind of node with inherited values.

use {
    super::{InheritedValues, entity::Entity},
    crate::{
        fleet::{
            Access, Account, Adapter, BaseModel, Call, DataCentre, Key, KeyDigest, Priority,
            Service, Upstream, UpstreamKind, UpstreamState, Version, Versions,
        },
        tree::{EditError, Family, Node, NodeKind, Path, Setting, Tree, Value},
    },
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterId, DataCentreId, KeyId, ModelId, ServiceId, UpstreamId},
    },
    std::net::SocketAddr,
};

/// HTTP methods that are idempotent by RFC 9110.
const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];

impl Tree {
    /// Resolves a node with inherited values; `None` for groups and for parts of another entity.
    ///
    /// # Errors
    ///
    /// [`EditError::MissingSetting`], [`EditError::ReferenceNotFound`] or [`EditError::BadValue`] if a
    /// value is missing or invalid.
    pub(in crate::tree) fn entity<'t>(
        &'t self,
        path: &'t Path,
        node: &'t Node,
        levels: &mut InheritedValues<'t>,
    ) -> Result<Option<Entity>, EditError> {
        let mut reader = Reader {
            tree: self,
            path,
            node,
            levels,
        };
        match node.kind {
            NodeKind::Group | NodeKind::Version | NodeKind::Call => Ok(None),
            NodeKind::Account => reader.account().map(Entity::Account).map(Some),
            NodeKind::Key => reader
                .key()
                .map(|(digest, key)| Some(Entity::Key(digest, key))),
            NodeKind::Adapter => reader.adapter().map(Entity::Adapter).map(Some),
            NodeKind::Model => Ok(Some(Entity::Model(BaseModel {
                id: ModelId(node.number),
                name: path.name().to_owned(),
            }))),
            NodeKind::Engine | NodeKind::Server => {
                reader.upstream().map(Entity::Upstream).map(Some)
            }
            NodeKind::Service => reader.service().map(Entity::Service).map(Some),
            NodeKind::DataCentre => Ok(Some(Entity::DataCentre(DataCentre {
                id: DataCentreId(node.number as u16),
                name: path.name().to_owned(),
                region: reader.text(Setting::Region)?.to_owned(),
            }))),
        }
    }
}

/// Reads the settings of one node.
struct Reader<'t, 'l> {
    tree: &'t Tree,
    path: &'t Path,
    node: &'t Node,
    levels: &'l mut InheritedValues<'t>,
}

impl<'t> Reader<'t, '_> {
    fn value(
        &mut self,
        setting: Setting,
    ) -> Result<&'t Value, EditError> {
        self.levels.required(self.path, self.node, setting)
    }

    fn number(
        &mut self,
        setting: Setting,
    ) -> Result<u64, EditError> {
        self.value(setting)
            .map(|value| value.as_number().unwrap_or_default())
    }

    fn flag(
        &mut self,
        setting: Setting,
    ) -> Result<bool, EditError> {
        self.value(setting)
            .map(|value| value.as_flag().unwrap_or_default())
    }

    fn text(
        &mut self,
        setting: Setting,
    ) -> Result<&'t str, EditError> {
        self.value(setting)
            .map(|value| value.as_text().unwrap_or_default())
    }

    /// The number of the node that `setting` refers to.
    fn reference(
        &mut self,
        setting: Setting,
        family: Family,
    ) -> Result<u32, EditError> {
        let name = self.text(setting)?;
        self.named(setting, family, name)
    }

    fn named(
        &self,
        setting: Setting,
        family: Family,
        name: &str,
    ) -> Result<u32, EditError> {
        match self.tree.named(family, name) {
            Some((_, node)) => Ok(node.number),
            None => Err(EditError::ReferenceNotFound {
                path: self.path.clone(),
                setting,
                name: name.to_owned(),
            }),
        }
    }

    fn account(&mut self) -> Result<Account, EditError> {
        Ok(Account {
            id: AccountId(self.node.number),
            name: self.path.name().to_owned(),
            rate: self.number(Setting::Rate)?,
            burst: self.number(Setting::Burst)?,
            weight: self.number(Setting::Weight)? as u32,
            max_queued: self.number(Setting::MaxQueued)? as u32,
            deadline: Millis(self.number(Setting::DeadlineMs)?),
            priority: priority(self.text(Setting::Priority)?),
        })
    }

    fn key(&mut self) -> Result<(KeyDigest, Key), EditError> {
        let digest = self.text(Setting::Digest)?.to_owned();
        let digest = KeyDigest::try_from(digest).map_err(|allowed| EditError::BadValue {
            path: self.path.clone(),
            setting: Setting::Digest,
            value: "this text".to_owned(),
            allowed: allowed.to_owned(),
        })?;
        let account = self
            .path
            .parent()
            .and_then(|parent| self.tree.node(&parent))
            .map_or(0, |account| account.number);
        let key = Key {
            id: KeyId(self.node.number),
            account: AccountId(account),
            withdrawn: self.flag(Setting::Withdrawn)?,
        };
        Ok((digest, key))
    }

    fn adapter(&mut self) -> Result<Adapter, EditError> {
        let versions = self.versions();
        let live = self
            .node
            .settings
            .get(Setting::Live)
            .and_then(Value::as_number)
            .map(|live| live as u32);
        match live {
            Some(live) if !versions.contains_key(&live) => Err(EditError::ReferenceNotFound {
                path: self.path.clone(),
                setting: Setting::Live,
                name: live.to_string(),
            }),
            _ => Ok(Adapter {
                id: AdapterId(self.node.number),
                name: self.path.name().to_owned(),
                model: ModelId(self.reference(Setting::Model, Family::Models)?),
                access: self.access()?,
                live,
                versions,
            }),
        }
    }

    fn versions(&self) -> Versions {
        self.tree
            .within(self.path)
            .filter(|(_, node)| node.kind == NodeKind::Version)
            .filter_map(|(path, node)| {
                let weights = node.settings.get(Setting::Weights)?.as_text()?.to_owned();
                Some((path.name().parse().ok()?, Version { weights }))
            })
            .collect()
    }

    fn access(&mut self) -> Result<Access, EditError> {
        match self.value(Setting::Access)? {
            Value::Names(names) => names
                .iter()
                .map(|name| self.named(Setting::Access, Family::Accounts, name))
                .map(|number| number.map(AccountId))
                .collect::<Result<_, _>>()
                .map(Access::Accounts),
            _ => Ok(Access::All),
        }
    }

    fn upstream(&mut self) -> Result<Upstream, EditError> {
        let kind = match self.node.kind {
            NodeKind::Server => UpstreamKind::Server {
                service: ServiceId(self.reference(Setting::Service, Family::Services)?),
            },
            _ => UpstreamKind::Engine {
                model: ModelId(self.reference(Setting::Model, Family::Models)?),
                slots: self.number(Setting::Slots)? as u32,
                max_batch: self.number(Setting::MaxBatch)? as u32,
                checks_fencing: self.flag(Setting::ChecksFencing)?,
            },
        };
        Ok(Upstream {
            id: UpstreamId(self.node.number),
            name: self.path.name().to_owned(),
            address: self.address()?,
            data_centre: DataCentreId(
                self.reference(Setting::DataCentre, Family::DataCentres)? as u16
            ),
            kind,
            state: match self.text(Setting::State)? {
                "leaving" => UpstreamState::Leaving,
                _ => UpstreamState::Active,
            },
        })
    }

    fn address(&mut self) -> Result<SocketAddr, EditError> {
        let text = self.text(Setting::Address)?;
        text.parse().map_err(|_malformed| EditError::BadValue {
            path: self.path.clone(),
            setting: Setting::Address,
            value: text.to_owned(),
            allowed: Setting::Address.spec().value_type.allowed(),
        })
    }

    fn service(&mut self) -> Result<Service, EditError> {
        let tree = self.tree;
        let calls = tree
            .within(self.path)
            .filter(|(_, node)| node.kind == NodeKind::Call)
            .map(|(path, node)| {
                Reader {
                    tree,
                    path,
                    node,
                    levels: &mut *self.levels,
                }
                .call()
            })
            .collect::<Result<_, _>>()?;
        Ok(Service {
            id: ServiceId(self.node.number),
            name: self.path.name().to_owned(),
            calls,
        })
    }

    fn call(&mut self) -> Result<Call, EditError> {
        let method = self.text(Setting::Method)?;
        let idempotent = match self.node.settings.get(Setting::Idempotent) {
            Some(value) => value.as_flag().unwrap_or_default(),
            None => IDEMPOTENT_METHODS.contains(&method),
        };
        Ok(Call {
            name: self.path.name().to_owned(),
            method: method.to_owned(),
            path: self.text(Setting::Path)?.to_owned(),
            idempotent,
            deadline: Millis(self.number(Setting::DeadlineMs)?),
            priority: priority(self.text(Setting::Priority)?),
            cost: self.number(Setting::Cost)?,
        })
    }
}

fn priority(word: &str) -> Priority {
    match word {
        "high" => Priority::High,
        "low" => Priority::Low,
        _ => Priority::Normal,
    }
}
