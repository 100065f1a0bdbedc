use {
    super::{read_peer, read_right, write_peer, write_right},
    crate::jasmine_capnp::rights_holder::{take_rights_params, take_rights_results},
    jasmine_core::{
        ids::{AccountId, Epoch, TransferId},
        rights::{TakeRequest, TakeResponse},
    },
};

/// Decodes a request to transfer a rate limit share.
///
/// # Errors
///
/// If the message is malformed.
pub fn read_take_request(
    params: take_rights_params::Reader<'_>
) -> Result<TakeRequest, capnp::Error> {
    Ok(TakeRequest {
        from: read_peer(params.get_from()?)?,
        transfer: TransferId(params.get_transfer()),
        epoch: Epoch(params.get_epoch()),
        account: AccountId(params.get_account()),
        needed: params.get_needed(),
        demand: params.get_demand(),
    })
}

/// Encodes a request to transfer a rate limit share.
pub fn write_take_request(
    mut params: take_rights_params::Builder<'_>,
    request: &TakeRequest,
) {
    write_peer(params.reborrow().init_from(), request.from);
    params.set_transfer(request.transfer.0);
    params.set_epoch(request.epoch.0);
    params.set_account(request.account.0);
    params.set_needed(request.needed);
    params.set_demand(request.demand);
}

/// Decodes the response to a transfer request.
///
/// # Errors
///
/// If the message is malformed.
pub fn read_take_response(
    results: take_rights_results::Reader<'_>
) -> Result<TakeResponse, capnp::Error> {
    Ok(TakeResponse {
        epoch: Epoch(results.get_epoch()),
        right: read_right(results.get_right()?),
        spare: results.get_spare(),
    })
}

/// Encodes the response to a transfer request.
pub fn write_take_response(
    mut results: take_rights_results::Builder<'_>,
    response: &TakeResponse,
) {
    results.set_epoch(response.epoch.0);
    results.set_spare(response.spare);
    write_right(results.init_right(), &response.right);
}
