use {
    crate::jasmine_capnp::right,
    jasmine_core::{ids::AccountId, rights::Right},
};

/// Decodes a client account's share of its rate limit.
pub fn read_right(reader: right::Reader<'_>) -> Right {
    Right {
        account: AccountId(reader.get_account()),
        rate_share: reader.get_rate_share(),
        burst_share: reader.get_room_share(),
        tokens: reader.get_tokens(),
    }
}

/// Decodes a list of rate limit shares.
pub fn read_rights(list: capnp::struct_list::Reader<'_, right::Owned>) -> Vec<Right> {
    list.iter().map(read_right).collect()
}

/// Encodes a client account's share of its rate limit.
pub fn write_right(
    mut builder: right::Builder<'_>,
    right: &Right,
) {
    builder.set_account(right.account.0);
    builder.set_rate_share(right.rate_share);
    builder.set_room_share(right.burst_share);
    builder.set_tokens(right.tokens);
}

/// Encodes rate limit shares into a list that was allocated with their number.
pub fn write_rights(
    mut list: capnp::struct_list::Builder<'_, right::Owned>,
    rights: &[Right],
) {
    for (i, right) in (0..).zip(rights) {
        write_right(list.reborrow().get(i), right);
    }
}
