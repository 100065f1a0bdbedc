use {
    super::{Accepted, EditId, EditOp, NodeKind},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// One change by somebody else that stands against an op of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
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
    /// creates or deletes a node that the other needs or makes. Ops that touch different things give
    /// the same tree in either order.
    pub fn between<'a, I>(
        ops: &[EditOp],
        since: I,
    ) -> Vec<Self>
    where
        I: IntoIterator<Item = &'a Accepted>,
    {
        let mut found = Vec::new();
        for accepted in since {
            for theirs in &accepted.edit.ops {
                let same = ops.iter().filter(|mine| touch_the_same(mine, theirs));
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
