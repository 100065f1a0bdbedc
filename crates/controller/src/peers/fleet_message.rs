use {
    crate::fleet::{DaemonRecord, FleetMirror, MemberRecord, Owner, OwnerRecord},
    jasmine_core::ids::{Fence, Holder, Incarnation, UpstreamId, VmId},
    jasmine_wire::{
        convert::write_rights,
        jasmine_capnp::{controller, member, owned_upstream},
    },
    std::collections::BTreeMap,
};

/// Writes the members, the owners and the epoch with the grants of `to`.
pub fn write_fleet(
    mut results: controller::poll_fleet_results::Builder<'_>,
    mirror: &FleetMirror,
    to: Holder,
) {
    results.set_seq(mirror.changed.seq());
    let mut members = results.reborrow().init_members(mirror.members.len() as u32);
    for (i, member) in (0..).zip(mirror.members.values()) {
        write_member(members.reborrow().get(i), member);
    }
    let mut owners = results.reborrow().init_owners(mirror.owners.len() as u32);
    for (i, (upstream, owner)) in (0..).zip(&mirror.owners) {
        let mut builder = owners.reborrow().get(i);
        builder.set_upstream(upstream.0);
        builder.set_vm(owner.record.vm.0);
        builder.set_fence(owner.fence.0);
    }
    let Some(epoch) = &mirror.epoch else {
        return;
    };
    let record = &epoch.value;
    let mut view = results.init_epoch();
    view.set_newest(record.epoch.0);
    if !record.is_member(to) {
        // A non-member must not enter: the next epoch doesn't wait for its report and would grant any
        // rights it had received a second time.
        return;
    }
    view.set_epoch(record.epoch.0);
    view.set_closing(record.closing);
    let grants = record.grants_for(to);
    write_rights(view.init_grants(grants.len() as u32), grants);
}

fn write_member(
    mut builder: member::Builder<'_>,
    member: &MemberRecord,
) {
    builder.set_vm(member.vm.0);
    builder.set_data_centre(&member.data_centre);
    builder.set_controller_incarnation(member.controller.incarnation.0);
    builder.set_controller_address(member.controller.address.to_string());
    if let Some(gateway) = member.gateway {
        builder.set_gateway_incarnation(gateway.incarnation.0);
        builder.set_gateway_address(gateway.address.to_string());
    }
    builder.set_leaving(member.leaving);
}

/// Reads members, skipping those whose controller address is invalid.
///
/// # Errors
///
/// [`capnp::Error`] if the message is malformed.
pub fn read_members(
    list: capnp::struct_list::Reader<'_, member::Owned>
) -> Result<BTreeMap<VmId, MemberRecord>, capnp::Error> {
    let mut members = BTreeMap::new();
    for reader in list {
        let Some(controller) = read_daemon(
            reader.get_controller_incarnation(),
            reader.get_controller_address()?,
        ) else {
            continue;
        };
        let vm = VmId(reader.get_vm());
        let member = MemberRecord {
            vm,
            data_centre: reader.get_data_centre()?.to_string()?,
            controller,
            gateway: read_daemon(
                reader.get_gateway_incarnation(),
                reader.get_gateway_address()?,
            ),
            leaving: reader.get_leaving(),
        };
        members.insert(vm, member);
    }
    Ok(members)
}

fn read_daemon(
    incarnation: u64,
    address: capnp::text::Reader<'_>,
) -> Option<DaemonRecord> {
    Some(DaemonRecord {
        incarnation: Incarnation(incarnation),
        address: address.to_str().ok()?.parse().ok()?,
    })
}

/// Reads owners; the incarnation of each owner is taken from `members`.
pub fn read_owners(
    list: capnp::struct_list::Reader<'_, owned_upstream::Owned>,
    members: &BTreeMap<VmId, MemberRecord>,
) -> BTreeMap<UpstreamId, Owner> {
    list.iter()
        .map(|reader| {
            let vm = VmId(reader.get_vm());
            let incarnation = members
                .get(&vm)
                .map_or(Incarnation(0), |member| member.controller.incarnation);
            let record = OwnerRecord {
                vm,
                incarnation,
                renewal: 0,
            };
            let owner = Owner {
                record,
                fence: Fence(reader.get_fence()),
            };
            (UpstreamId(reader.get_upstream()), owner)
        })
        .collect()
}
