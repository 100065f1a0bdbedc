use {
    super::{AcceptedEdit, EditId, EditOp, NodeKind, Path},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// An op of an accepted edit that conflicts with an op of a proposed edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[display("{theirs} (revision {revision}, by {author}) stands against {mine}")]
pub struct Conflict {
    /// The op of the refused edit.
    pub mine: EditOp,
    /// The op of the accepted edit.
    pub theirs: EditOp,
    /// The revision that the accepted edit made.
    pub revision: Revision,
    /// The id of the accepted edit.
    pub edit: EditId,
    /// The author of the accepted edit.
    pub author: String,
}

impl Conflict {
    /// Finds all ops in `since` that conflict with `ops`.
    ///
    /// Two ops conflict if they change the same setting of the same node, or if one creates or deletes
    /// a node that the other needs or creates. Edits without conflicts give the same tree in either
    /// order, unless one of them is refused because it would break a constraint of the whole tree:
    /// unique names and valid references.
    pub fn between<'a, I>(
        ops: &[EditOp],
        since: I,
    ) -> Vec<Self>
    where
        I: IntoIterator<Item = &'a AcceptedEdit>,
    {
        let mine = OpsByPath::new(ops);
        let mut found = Vec::new();
        for accepted in since {
            for theirs in &accepted.edit.ops {
                let same = mine
                    .candidates(theirs)
                    .into_iter()
                    .filter(|mine| ops_conflict(mine, theirs));
                found.extend(same.map(|mine| Self::new(mine, theirs, accepted)));
            }
        }
        found
    }

    fn new(
        mine: &EditOp,
        theirs: &EditOp,
        accepted: &AcceptedEdit,
    ) -> Self {
        Self {
            mine: mine.clone(),
            theirs: theirs.clone(),
            revision: accepted.revision,
            edit: accepted.edit.id.clone(),
            author: accepted.edit.author.clone(),
        }
    }
}

/// Ops by path, which avoids comparing every pair of ops of two bulk edits.
struct OpsByPath<'o>(BTreeMap<&'o Path, Vec<&'o EditOp>>);

impl<'o> OpsByPath<'o> {
    fn new(ops: &'o [EditOp]) -> Self {
        let mut by_path: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for op in ops {
            by_path.entry(op.path()).or_default().push(op);
        }
        Self(by_path)
    }

    /// The ops that may conflict with `other`.
    ///
    /// These are the ops at its path and above it, below a node that it deletes, and on the adapter of
    /// a version that it creates.
    fn candidates(
        &self,
        other: &EditOp,
    ) -> Vec<&'o EditOp> {
        let top = match other {
            EditOp::Delete { path } => Some(path.clone()),
            EditOp::Create {
                path,
                kind: NodeKind::Version,
                ..
            } => path.parent(),
            _ => None,
        };
        let above = std::iter::successors(Some(other.path().clone()), Path::parent);
        let mut candidates: Vec<_> = above
            .filter(|path| top.as_ref().is_none_or(|top| !path.is_within(top)))
            .filter_map(|path| self.0.get(&path))
            .flatten()
            .copied()
            .collect();
        if let Some(top) = top {
            let within = self.0.range::<&Path, _>(&top..).take_while(|(path, _)| {
                // Names such as `a-b` sort between `a` and the nodes below it.
                path.as_str().starts_with(top.as_str())
            });
            let within = within.filter(|(path, _)| path.is_within(&top));
            candidates.extend(within.flat_map(|(_, ops)| ops).copied());
        }
        candidates
    }
}

fn ops_conflict(
    a: &EditOp,
    b: &EditOp,
) -> bool {
    match (a, b) {
        (EditOp::Delete { path: a }, EditOp::Delete { path: b }) => {
            a.is_within(b) || b.is_within(a)
        }
        (EditOp::Delete { path: deleted }, other) | (other, EditOp::Delete { path: deleted }) => {
            other.path().is_within(deleted)
        }
        // Version numbers of an adapter must increase, so the order of creation matters.
        (
            EditOp::Create {
                path: a,
                kind: NodeKind::Version,
                ..
            },
            EditOp::Create {
                path: b,
                kind: NodeKind::Version,
                ..
            },
        ) => a.parent() == b.parent(),
        (EditOp::Create { path: made, .. }, other) | (other, EditOp::Create { path: made, .. }) => {
            other.path() == made
        }
        _ => a.path() == b.path() && a.setting() == b.setting(),
    }
}
