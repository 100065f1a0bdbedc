use {
    super::{Family, Node, NodeKind, Path},
    imbl::OrdMap,
    jasmine_core::ids::Revision,
    std::{collections::BTreeMap, ops::Bound},
};

/// The first levels of the tree, which are given.
pub const COLLECTIONS: [&str; 6] = [
    "/accounts",
    "/adapters",
    "/data-centres",
    "/models",
    "/services",
    "/upstreams",
];

/// A family and a name in it.
pub(super) type FamilyName = (Family, Box<str>);

/// One revision of the operators' tree.
///
/// Copies share what they have in common: a copy costs the same at any size, so an edit is tried on a
/// copy, and whoever reads a revision keeps it whole while the next one is made.
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
    /// A tree of stored nodes; the given levels are added where they are missing.
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
        let given = COLLECTIONS
            .into_iter()
            .filter_map(|text| Path::parse(text).ok())
            .chain([Path::root()])
            .map(|path| (path, Node::new(NodeKind::Group, 0)));
        for (path, node) in given {
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

    /// The revision; 0 before the first edit.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The next number that each family gives out, where it has given out one.
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

    /// The node at `path` and all below it, in the order of their paths, `path` first.
    pub fn within(
        &self,
        path: &Path,
    ) -> impl Iterator<Item = (&Path, &Node)> {
        let top = self.nodes.get_key_value(path);
        top.into_iter()
            .chain(self.below(path, &Bound::Included(format!("{}/", path.prefix()))))
    }

    /// What [`Self::within`] gives after `after`, found without walking through what comes before.
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

    /// The nodes below `path` from `from` on.
    fn below<'t>(
        &'t self,
        path: &Path,
        from: &Bound<String>,
    ) -> impl Iterator<Item = (&'t Path, &'t Node)> + use<'t> {
        // The character after the slash bounds what begins with the prefix and a slash.
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

    /// The node of this name in its family.
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

/// The name under which a node is found in its family.
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
