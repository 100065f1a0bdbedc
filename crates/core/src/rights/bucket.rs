use {
    super::{Limit, Right, scale_by_share},
    crate::{clock::Millis, ids::AccountId},
    std::collections::BTreeMap,
};

/// One holder's part of one account's token bucket.
///
/// All amounts are in millitokens. Invariant: tokens plus outstanding refunds never exceed the
/// capacity.
///
/// A request is charged at admission and refunded when it ends. If the bucket refills in between, a
/// full refund would let the account use more than its burst. Refunds that don't fit are therefore
/// voided, those of the oldest charges first. Each charge has its own allowance, so a voided refund
/// can't use the allowance of a newer charge.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    limit: Option<Limit>,
    rate_share: u64,
    burst_share: u64,
    /// Negative while there is debt from requests that used more than their charge.
    tokens: i64,
    /// Fraction of a millitoken, in units of 2^-32.
    fraction: u64,
    /// Maximum refund of each unsettled charge, by charge number; zero entries are removed.
    refundable: BTreeMap<u64, u64>,
    /// Sum of `refundable`.
    refundable_sum: u64,
    next_charge: u64,
    refilled_at: Millis,
}

impl Bucket {
    /// Sets the account's limit; tokens above a lower burst are dropped.
    pub fn set_limit(
        &mut self,
        limit: Limit,
        now: Millis,
    ) {
        self.refill(now);
        self.limit = Some(limit);
        self.clamp_to_capacity();
    }

    /// Adds the tokens earned by the rate share since the last refill.
    pub fn refill(
        &mut self,
        now: Millis,
    ) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let rate = self.limit.map_or(0, |limit| limit.rate);
        // One token per second is one millitoken per millisecond.
        let earned = u128::from(elapsed.0) * u128::from(rate) * u128::from(self.rate_share)
            + u128::from(self.fraction);
        self.fraction = u64::from(earned as u32);
        let whole = i64::try_from(earned >> 32).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(whole);
        self.clamp_to_capacity();
    }

    /// Charges `millitokens` if available, and returns the charge number.
    pub fn charge(
        &mut self,
        millitokens: u64,
    ) -> Option<u64> {
        if self.tokens() < millitokens {
            return None;
        }
        self.tokens -= millitokens as i64;
        self.next_charge += 1;
        self.refundable.insert(self.next_charge, millitokens);
        self.refundable_sum += millitokens;
        Some(self.next_charge)
    }

    /// Replaces a charge by the actual cost.
    ///
    /// The difference is refunded or becomes debt.
    pub fn settle(
        &mut self,
        charge: u64,
        charged: u64,
        actual: u64,
    ) {
        let refundable = self.refundable.remove(&charge).unwrap_or(0);
        self.refundable_sum -= refundable;
        let refund = charged.saturating_sub(actual).min(refundable);
        let debt = actual.saturating_sub(charged);
        self.tokens = self
            .tokens
            .saturating_add_unsigned(refund)
            .saturating_sub_unsigned(debt);
        self.clamp_to_capacity();
    }

    /// Adds a right from a peer or from an epoch grant.
    pub fn add(
        &mut self,
        right: &Right,
    ) {
        self.rate_share += right.rate_share;
        self.burst_share += right.burst_share;
        self.tokens = self.tokens.saturating_add_unsigned(right.tokens);
        self.clamp_to_capacity();
    }

    /// Removes a right, each part limited to what is available, and returns it.
    pub fn take(
        &mut self,
        wanted: &Right,
    ) -> Right {
        let taken = Right {
            account: wanted.account,
            rate_share: wanted.rate_share.min(self.rate_share),
            burst_share: wanted.burst_share.min(self.burst_share),
            tokens: wanted.tokens.min(self.tokens()),
        };
        self.rate_share -= taken.rate_share;
        self.burst_share -= taken.burst_share;
        self.tokens -= taken.tokens as i64;
        self.clamp_to_capacity();
        taken
    }

    /// Returns the whole bucket as a right.
    pub fn held(
        &self,
        account: AccountId,
    ) -> Right {
        Right {
            account,
            rate_share: self.rate_share,
            burst_share: self.burst_share,
            tokens: self.tokens(),
        }
    }

    /// The account's limit, if it is configured here.
    pub const fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Available millitokens.
    pub const fn tokens(&self) -> u64 {
        if self.tokens > 0 {
            self.tokens as u64
        } else {
            0
        }
    }

    /// Millitokens used beyond the charges and not yet earned back.
    pub const fn debt(&self) -> u64 {
        if self.tokens < 0 {
            self.tokens.unsigned_abs()
        } else {
            0
        }
    }

    /// Capacity in millitokens.
    pub fn capacity(&self) -> u64 {
        scale_by_share(
            self.limit.map_or(0, Limit::burst_millitokens),
            self.burst_share,
        )
    }

    /// Refill rate in millitokens per second.
    pub fn rate(&self) -> u64 {
        let rate = self.limit.map_or(0, |limit| {
            limit.rate.saturating_mul(super::MILLITOKENS_PER_TOKEN)
        });
        scale_by_share(rate, self.rate_share)
    }

    /// Share of the account's rate, in units of [`super::FULL_SHARE`].
    pub const fn rate_share(&self) -> u64 {
        self.rate_share
    }

    /// Share of the account's burst, in units of [`super::FULL_SHARE`].
    pub const fn burst_share(&self) -> u64 {
        self.burst_share
    }

    fn clamp_to_capacity(&mut self) {
        // The capacity is unknown until the limit is set.
        if self.limit.is_none() {
            return;
        }
        let capacity = i64::try_from(self.capacity()).unwrap_or(i64::MAX);
        if self.tokens >= capacity {
            self.tokens = capacity;
            self.fraction = 0;
        }
        self.void_refunds(capacity.abs_diff(self.tokens));
    }

    /// Limits outstanding refunds to `max`, reducing the oldest first.
    fn void_refunds(
        &mut self,
        max: u64,
    ) {
        while self.refundable_sum > max
            && let Some(mut oldest) = self.refundable.first_entry()
        {
            let excess = self.refundable_sum - max;
            let voided = excess.min(*oldest.get());
            *oldest.get_mut() -= voided;
            self.refundable_sum -= voided;
            if *oldest.get() == 0 {
                oldest.remove();
            }
        }
    }
}
