use {
    super::{Limit, Right, part_of},
    crate::{clock::Millis, ids::AccountId},
};

/// One holder's part of one account's token bucket.
///
/// All amounts are in thousandths of a token. Two invariants carry the limit of the fleet:
/// `tokens <= room` and `tokens + refundable <= room`.
///
/// The second is for refunds. A request is charged at admission and settled when it ends, which
/// may be long after. Without the second invariant the bucket could have filled up meanwhile, be
/// emptied, and then get the refund on top: more than the burst at once, seen in the engines'
/// record only. A bucket that had charged the true cost from the start would have overflowed, so
/// that part of the refund is void.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    limit: Option<Limit>,
    rate_share: u64,
    room_share: u64,
    /// Negative after a request used more than it was charged for.
    tokens: i64,
    /// Part of a thousandth, of 2^32.
    fraction: u64,
    /// Charges that are not settled yet.
    unsettled: u64,
    /// The most that refunds may still add.
    refundable: u64,
    filled_at: Millis,
}

impl Bucket {
    /// Sets the account's limit; tokens above a smaller burst are lost.
    pub fn set_limit(
        &mut self,
        limit: Limit,
        now: Millis,
    ) {
        self.refill(now);
        self.limit = Some(limit);
        self.clip();
    }

    /// Adds what the rate share has earned since the last time.
    pub fn refill(
        &mut self,
        now: Millis,
    ) {
        let elapsed = now.since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let rate = self.limit.map_or(0, |limit| limit.rate);
        // A token a second is a thousandth a millisecond.
        let earned = u128::from(elapsed.0) * u128::from(rate) * u128::from(self.rate_share)
            + u128::from(self.fraction);
        self.fraction = u64::from(earned as u32);
        let whole = i64::try_from(earned >> 32).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(whole);
        self.clip();
    }

    /// Takes `milli` at admission, if it is there.
    pub fn charge(
        &mut self,
        milli: u64,
    ) -> bool {
        if self.tokens() < milli {
            return false;
        }
        self.tokens -= milli as i64;
        self.unsettled += milli;
        self.refundable += milli;
        true
    }

    /// Replaces a charge by the actual cost.
    ///
    /// What was charged too little becomes debt; what was charged too much comes back.
    pub fn settle(
        &mut self,
        charged: u64,
        actual: u64,
    ) {
        self.unsettled = self.unsettled.saturating_sub(charged);
        let refund = charged.saturating_sub(actual).min(self.refundable);
        let debt = actual.saturating_sub(charged);
        self.refundable = (self.refundable - refund).min(self.unsettled);
        self.tokens = self
            .tokens
            .saturating_add_unsigned(refund)
            .saturating_sub_unsigned(debt);
        self.clip();
    }

    /// Adds a right that came from a peer or with an epoch.
    pub fn add(
        &mut self,
        right: &Right,
    ) {
        self.rate_share += right.rate_share;
        self.room_share += right.room_share;
        self.tokens = self.tokens.saturating_add_unsigned(right.tokens);
        self.clip();
    }

    /// Takes a right out; each part is cut down to what is there.
    pub fn take(
        &mut self,
        wanted: &Right,
    ) -> Right {
        let taken = Right {
            account: wanted.account,
            rate_share: wanted.rate_share.min(self.rate_share),
            room_share: wanted.room_share.min(self.room_share),
            tokens: wanted.tokens.min(self.tokens()),
        };
        self.rate_share -= taken.rate_share;
        self.room_share -= taken.room_share;
        self.tokens -= taken.tokens as i64;
        self.clip();
        taken
    }

    /// Everything held, as a right.
    pub fn held(
        &self,
        account: AccountId,
    ) -> Right {
        Right {
            account,
            rate_share: self.rate_share,
            room_share: self.room_share,
            tokens: self.tokens(),
        }
    }

    /// The account's limit, if the configuration in force here has one.
    pub const fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Tokens that may be used now.
    pub const fn tokens(&self) -> u64 {
        if self.tokens > 0 {
            self.tokens as u64
        } else {
            0
        }
    }

    /// Tokens owed by requests that used more than they were charged for.
    pub const fn debt(&self) -> u64 {
        if self.tokens < 0 {
            self.tokens.unsigned_abs()
        } else {
            0
        }
    }

    /// The most that this bucket holds.
    pub fn room(&self) -> u64 {
        part_of(self.limit.map_or(0, Limit::burst_milli), self.room_share)
    }

    /// What is earned in a second.
    pub fn rate(&self) -> u64 {
        let rate = self
            .limit
            .map_or(0, |limit| limit.rate.saturating_mul(super::MILLI));
        part_of(rate, self.rate_share)
    }

    /// The share of the rate, of [`super::SHARE_WHOLE`].
    pub const fn rate_share(&self) -> u64 {
        self.rate_share
    }

    /// The share of the burst, of [`super::SHARE_WHOLE`].
    pub const fn room_share(&self) -> u64 {
        self.room_share
    }

    fn clip(&mut self) {
        // Without a limit the size of the room is unknown; it is clipped once the limit comes.
        if self.limit.is_none() {
            return;
        }
        let room = i64::try_from(self.room()).unwrap_or(i64::MAX);
        if self.tokens >= room {
            self.tokens = room;
            self.fraction = 0;
        }
        self.refundable = self.refundable.min(room.abs_diff(self.tokens));
    }
}
