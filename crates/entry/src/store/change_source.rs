use std::rc::Rc;

/// Where a VM has learnt of an item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum ChangeSource {
    /// A full read of the store.
    #[display("store_read")]
    FullRead,
    /// Its own watch of the store.
    #[display("store_watch")]
    Watch,
    /// A question to the store on behalf of a decision.
    #[display("store_asked")]
    Question,
    /// Another VM.
    #[display("vm:{_0}")]
    Vm(Rc<str>),
}
