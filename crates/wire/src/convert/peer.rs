use {
    crate::jasmine_capnp::{self as wire, peer},
    jasmine_core::ids::{Holder, Incarnation, Role, VmId},
};

/// Decodes the sender of a message: VM, role and incarnation.
///
/// # Errors
///
/// If the role is unknown to this version.
pub fn read_peer(reader: peer::Reader<'_>) -> Result<Holder, capnp::Error> {
    let role = match reader.get_role()? {
        wire::Role::Gateway => Role::Gateway,
        wire::Role::Controller => Role::Controller,
    };
    Ok(Holder {
        vm: VmId(reader.get_vm()),
        role,
        incarnation: Incarnation(reader.get_incarnation()),
    })
}

/// Encodes the sender of a message: VM, role and incarnation.
pub fn write_peer(
    mut builder: peer::Builder<'_>,
    holder: Holder,
) {
    builder.set_vm(holder.vm.0);
    builder.set_role(match holder.role {
        Role::Gateway => wire::Role::Gateway,
        Role::Controller => wire::Role::Controller,
    });
    builder.set_incarnation(holder.incarnation.0);
}
