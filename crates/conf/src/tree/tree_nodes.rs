use {
    super::{Family, Node, NodeKind, Path},
    imbl::OrdMap,
    jasmine_core::ids::Revision,
    std::{collections::BTreeMap, ops::Bound},
};

/// The built-in top-level groups of the tree.
pub const COLLECTIONS: [&str; 6] = [
    "/accounts",
    "/adapters",
    "/data-centres",
    "/models",
    "/services",
    "/upstreams",
];

/// A name within a family, the key of the name index.
pub(super) type FamilyName = (Family, Box<str>);

/// One revision of the operators' tree.
///
/// Clones share their nodes, so the cost of a clone does not depend on the size of the tree. Edits are
/// tried on a clone, and readers can keep a revision while the next one is made.
#[derive(Clone, Debug)]
pub struct Tree {
    pub(super) revision: Revision,
    pub(super) nodes: OrdMap<Path, Node>,
    pub(super) names: OrdMap<FamilyName, Path>,
    pub(super) next_numbers: BTreeMap<Family, u32>,
}

impl Default for Tree {
    fn default() -> Self {
        Self::from_parts(Revision(0), BTreeMap::new(), std::iter::empty())
    }
}

impl PartialEq for Tree {
    fn eq(
        &self,
        other: &Self,
    ) -> bool {
        self.revision == other.revision
            && self.next_numbers == other.next_numbers
            && self.nodes == other.nodes
    }
}

impl Tree {
    /// Builds a tree from stored nodes and adds missing built-in groups.
    pub fn from_parts<N>(
        revision: Revision,
        next_numbers: BTreeMap<Family, u32>,
        nodes: N,
    ) -> Self
    where
        N: IntoIterator<Item = (Path, Node)>,
    {
        Self::from_map(revision, next_numbers, nodes.into_iter().collect())
    }

    pub(super) fn from_map(
        revision: Revision,
        next_numbers: BTreeMap<Family, u32>,
        mut nodes: OrdMap<Path, Node>,
    ) -> Self {
        let built_in = COLLECTIONS
            .into_iter()
            .filter_map(|text| Path::parse(text).ok())
            .chain([Path::root()])
            .map(|path| (path, Node::new(NodeKind::Group, 0)));
        for (path, node) in built_in {
            nodes.entry(path).or_insert(node);
        }
        let names = nodes
            .iter()
            .filter_map(|(path, node)| Some((family_name(path, node)?, path.clone())))
            .collect();
        Self {
            revision,
            nodes,
            names,
            next_numbers,
        }
    }

    /// The revision of the tree; 0 before the first edit.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The next number by family; a family without an entry starts at 1.
    pub const fn next_numbers(&self) -> &BTreeMap<Family, u32> {
        &self.next_numbers
    }

    /// The node at `path`.
    pub fn node(
        &self,
        path: &Path,
    ) -> Option<&Node> {
        self.nodes.get(path)
    }

    /// All nodes, in the order of their paths.
    pub fn nodes(&self) -> impl Iterator<Item = (&Path, &Node)> {
        self.nodes.iter()
    }

    /// The node at `path` followed by all nodes below it in path order.
    pub fn within(
        &self,
        path: &Path,
    ) -> impl Iterator<Item = (&Path, &Node)> {
        let top = self.nodes.get_key_value(path);
        top.into_iter()
            .chain(self.below(path, &Bound::Included(format!("{}/", path.prefix()))))
    }

    /// The nodes of [`Self::within`] after `after`, without iterating over the earlier ones.
    pub fn within_after(
        &self,
        path: &Path,
        after: &Path,
    ) -> impl Iterator<Item = (&Path, &Node)> {
        let from = format!("{}/", path.prefix());
        let from = match after.as_str() {
            after if after > from.as_str() => Bound::Excluded(after.to_owned()),
            _ => Bound::Included(from),
        };
        self.below(path, &from)
    }

    /// The nodes below `path`, starting at `from`.
    fn below<'t>(
        &'t self,
        path: &Path,
        from: &Bound<String>,
    ) -> impl Iterator<Item = (&'t Path, &'t Node)> + use<'t> {
        // `0` is the character after `/`, so this is the exclusive upper bound of all descendants.
        let end = format!("{}0", path.prefix());
        let is_empty = match from {
            Bound::Included(from) | Bound::Excluded(from) => *from >= end,
            Bound::Unbounded => false,
        };
        let range = (!is_empty).then(|| {
            let bounds = (as_str(from), Bound::Excluded(end.as_str()));
            self.nodes.range::<_, str>(bounds)
        });
        let root = path.parent().is_none();
        range
            .into_iter()
            .flatten()
            .filter(move |(path, _)| !root || path.parent().is_some())
    }

    /// Finds a node by its name in a family.
    pub fn named(
        &self,
        family: Family,
        name: &str,
    ) -> Option<(&Path, &Node)> {
        let path = self.names.get(&(family, Box::from(name)))?;
        self.nodes.get_key_value(path)
    }
}

fn as_str(bound: &Bound<String>) -> Bound<&str> {
    bound.as_ref().map(String::as_str)
}

/// The key of a node in the name index; `None` if its kind has no family.
pub(super) fn family_name(
    path: &Path,
    node: &Node,
) -> Option<FamilyName> {
    let family = node.kind.family()?;
    let name = match family {
        Family::Keys => node.settings.get(super::Setting::Digest)?.as_text()?,
        _ => path.name(),
    };
    Some((family, Box::from(name)))
}
