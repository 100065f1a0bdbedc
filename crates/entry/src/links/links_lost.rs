/// The links of this VM to the upstreams were lost while it waited for a response.
#[derive(Clone, Copy, Debug)]
pub struct LinksLost;
