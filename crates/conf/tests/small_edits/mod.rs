//! Generated edits of a few nodes, so that they often conflict.

use {
    bolero::TypeGenerator,
    jasmine_conf::tree::{
        Edit, EditId, EditLog, EditOp, NodeKind, Path, Setting, Settings, Tree, Value,
    },
    jasmine_core::ids::Revision,
    std::collections::BTreeMap,
};

/// Paths of generated ops: few, so that ops often conflict.
pub const PATHS: [&str; 24] = [
    "/",
    "/accounts",
    "/accounts/g",
    "/accounts/g/a",
    "/accounts/a",
    "/accounts/b",
    "/accounts/b/k",
    "/accounts/g/a/k",
    "/accounts/g-a",
    "/adapters",
    "/adapters/g",
    "/adapters/g/x",
    "/adapters/x",
    "/adapters/x/1",
    "/adapters/x/2",
    "/adapters/x/3",
    "/models/m",
    "/models/n",
    "/data-centres/d",
    "/upstreams",
    "/upstreams/e",
    "/upstreams/s",
    "/services/v",
    "/services/v/c",
];

const VALUES: usize = 14;

/// A compact encoding of an op.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
pub struct SmallOp {
    action: u8,
    path: u8,
    kind: u8,
    setting: u8,
    pub value: u8,
}

impl SmallOp {
    pub fn path(self) -> Path {
        Path::parse(PATHS[usize::from(self.path) % PATHS.len()]).unwrap()
    }

    pub fn setting(self) -> Setting {
        Setting::ALL[usize::from(self.setting) % Setting::ALL.len()]
    }

    pub fn value(self) -> Value {
        let digest = format!("{:064x}", self.value);
        match usize::from(self.value) % VALUES {
            0 => Value::Number(1),
            1 => Value::Number(2),
            2 => Value::Number(700),
            3 => Value::Flag(true),
            4 => Value::Flag(false),
            5 => Value::text("m"),
            6 => Value::text("n"),
            7 => Value::text("d"),
            8 => Value::text("v"),
            9 => Value::text("leaving"),
            10 => Value::text("10.0.0.1:80"),
            11 => Value::Names(vec!["a".into()]),
            12 => Value::text("GET"),
            _ => Value::text(&digest),
        }
    }

    /// Required settings of a node of this kind, so that some generated edits are accepted.
    fn settings(
        self,
        kind: NodeKind,
    ) -> Settings {
        let digest = Value::text(&format!("{:064x}", self.value));
        let text = Value::text;
        let rows = match kind {
            NodeKind::Key => vec![(Setting::Digest, digest)],
            NodeKind::Version => vec![(Setting::Weights, text("w"))],
            NodeKind::Adapter => vec![(Setting::Model, text("m"))],
            NodeKind::Engine => vec![
                (Setting::Model, text("m")),
                (Setting::DataCentre, text("d")),
                (Setting::Address, text("10.0.0.1:80")),
            ],
            NodeKind::Server => vec![
                (Setting::Service, text("v")),
                (Setting::DataCentre, text("d")),
                (Setting::Address, text("10.0.0.1:81")),
            ],
            NodeKind::Call => vec![(Setting::Method, text("POST")), (Setting::Path, text("/p"))],
            _ => Vec::new(),
        };
        Settings::from(rows.into_iter().collect::<BTreeMap<_, _>>())
    }

    /// The kind that fits the path, or occasionally another one.
    pub fn kind(self) -> NodeKind {
        match (self.kind % 8, PATHS[usize::from(self.path) % PATHS.len()]) {
            (0, _) => NodeKind::ALL[usize::from(self.kind / 8) % NodeKind::ALL.len()],
            (_, path) if path.ends_with("/k") => NodeKind::Key,
            (_, path) if path.ends_with("/g") => NodeKind::Group,
            (_, path) if path.starts_with("/accounts") => NodeKind::Account,
            (_, path) if path.starts_with("/adapters/x/") => NodeKind::Version,
            (_, path) if path.starts_with("/adapters") => NodeKind::Adapter,
            (_, path) if path.starts_with("/models") => NodeKind::Model,
            (_, path) if path.starts_with("/data") => NodeKind::DataCentre,
            (_, "/upstreams/s") => NodeKind::Server,
            (_, path) if path.starts_with("/upstreams") => NodeKind::Engine,
            (_, "/services/v/c") => NodeKind::Call,
            (_, _) => NodeKind::Service,
        }
    }

    pub fn op(self) -> EditOp {
        let path = self.path();
        match self.action % 8 {
            0..=3 => EditOp::Create {
                settings: self.settings(self.kind()),
                kind: self.kind(),
                path,
            },
            4 | 5 => EditOp::Set {
                path,
                setting: self.setting(),
                value: self.value(),
            },
            6 => EditOp::Unset {
                path,
                setting: self.setting(),
            },
            _ => EditOp::Delete { path },
        }
    }
}

/// An edit with one to three ops.
#[derive(Clone, Debug)]
#[derive(TypeGenerator)]
pub struct SmallEdit {
    first: SmallOp,
    second: Option<SmallOp>,
    third: Option<SmallOp>,
}

impl SmallEdit {
    pub fn ops(&self) -> Vec<EditOp> {
        [Some(self.first), self.second, self.third]
            .into_iter()
            .flatten()
            .map(SmallOp::op)
            .collect()
    }

    pub fn edit(
        &self,
        base: Revision,
    ) -> Edit {
        Edit {
            id: EditId::random(),
            author: "ana".to_owned(),
            base,
            ops: self.ops(),
        }
    }
}

/// A tree with nodes in every collection, so that short edit sequences cover many cases.
pub fn populated_tree() -> Tree {
    let tree = Tree::default();
    let paths = [
        "/models/m",
        "/models/n",
        "/data-centres/d",
        "/accounts/g",
        "/accounts/g/a",
        "/accounts/g/a/k",
        "/accounts/g-a",
        "/accounts/b",
        "/adapters/x",
        "/adapters/x/1",
        "/services/v",
        "/services/v/c",
        "/upstreams/e",
        "/upstreams/s",
    ];
    let ops = paths
        .map(|path| SmallOp {
            action: 0,
            path: PATHS.iter().position(|known| *known == path).unwrap() as u8,
            kind: 1,
            setting: 0,
            value: 0,
        })
        .map(SmallOp::op)
        .to_vec();
    let edit = Edit {
        id: EditId::random(),
        author: "ana".to_owned(),
        base: Revision(0),
        ops,
    };
    tree.propose(&edit, &EditLog::default(), 0).unwrap().tree
}
