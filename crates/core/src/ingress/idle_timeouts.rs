use crate::clock::Millis;

/// Replaced idle timeouts that may still be what a caller knows, and until when each was in force.
///
/// A caller may reuse a connection by any timeout that was in force since its last request was read, however short.
#[derive(Clone, Debug, Default)]
pub struct IdleTimeouts {
    /// By time; each is longer than those after it, which any caller that knows it knows as well.
    replaced: Vec<(Millis, Millis)>,
}

impl IdleTimeouts {
    /// Records that `timeout` was in force until `now`.
    pub fn replace(
        &mut self,
        timeout: Millis,
        now: Millis,
    ) {
        while self
            .replaced
            .last()
            .is_some_and(|&(_, last)| last <= timeout)
        {
            self.replaced.pop();
        }
        self.replaced.push((now, timeout));
    }

    /// The longest timeout that was in force since `since`, if `current` is now.
    pub fn longest_since(
        &self,
        since: Millis,
        current: Millis,
    ) -> Millis {
        let mut replaced = self.replaced.iter();
        let longest = replaced.find(|&&(until, _)| until >= since);
        longest.map_or(current, |&(_, timeout)| timeout.max(current))
    }
}
