/// Rank of a request among the others of its service; the most urgent is the smallest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of the account or, where it has none, of the route; 0 is the most urgent.
    pub priority: u8,
    /// Priority of the route; 0 is the most urgent.
    pub route_priority: u8,
}
