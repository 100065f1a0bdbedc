use {
    super::{Accepted, EditId, EditOp, NodeKind, Path},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// One change by somebody else that stands against an op of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[display("{theirs} (revision {revision}, by {author}) stands against {mine}")]
pub struct Conflict {
    /// What the refused edit wished.
    pub mine: EditOp,
    /// What the accepted one did.
    pub theirs: EditOp,
    /// The revision that the accepted one made.
    pub revision: Revision,
    /// Its id.
    pub edit: EditId,
    /// Who made it.
    pub author: String,
}

impl Conflict {
    /// Everything in `since` that changes what `ops` touch.
    ///
    /// Two ops touch the same thing when they are about one setting of one node, or when one
    /// creates or deletes a node that the other needs or makes. Edits that touch different things give
    /// the same tree in either order, or one of them is refused for what the whole tree must keep: a
    /// name given once, nothing named that doesn't exist.
    pub fn between<'a, I>(
        ops: &[EditOp],
        since: I,
    ) -> Vec<Self>
    where
        I: IntoIterator<Item = &'a Accepted>,
    {
        let mine = OpsByPath::new(ops);
        let mut found = Vec::new();
        for accepted in since {
            for theirs in &accepted.edit.ops {
                let same = mine
                    .near(theirs)
                    .into_iter()
                    .filter(|mine| touch_the_same(mine, theirs));
                found.extend(same.map(|mine| Self::new(mine, theirs, accepted)));
            }
        }
        found
    }

    fn new(
        mine: &EditOp,
        theirs: &EditOp,
        accepted: &Accepted,
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

/// Ops by the node that they are about, so that two edits of thousands are not compared op by op.
struct OpsByPath<'o>(BTreeMap<&'o Path, Vec<&'o EditOp>>);

impl<'o> OpsByPath<'o> {
    fn new(ops: &'o [EditOp]) -> Self {
        let mut by_path: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for op in ops {
            by_path.entry(op.path()).or_default().push(op);
        }
        Self(by_path)
    }

    /// The ops that could touch the same as `other`: at its path, above it, and below what it deletes
    /// or numbers.
    fn near(
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
        let mut near: Vec<_> = above
            .filter(|path| top.as_ref().is_none_or(|top| !path.is_within(top)))
            .filter_map(|path| self.0.get(&path))
            .flatten()
            .copied()
            .collect();
        if let Some(top) = top {
            let within = self.0.range::<&Path, _>(&top..).take_while(|(path, _)| {
                // Names such as `a-b` stand between `a` and what is below it.
                path.as_str().starts_with(top.as_str())
            });
            let within = within.filter(|(path, _)| path.is_within(&top));
            near.extend(within.flat_map(|(_, ops)| ops).copied());
        }
        near
    }
}

fn touch_the_same(
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
        // Versions of one adapter are numbered upwards, so the order of making them matters.
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
