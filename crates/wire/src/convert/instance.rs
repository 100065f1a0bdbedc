use {
    crate::jasmine_capnp::instance,
    jasmine_core::{
        ids::{AdapterId, AdapterVersion, Fence, UpstreamId},
        placement::Instance,
    },
};

/// Decodes an instance.
pub fn read_instance(reader: instance::Reader<'_>) -> Instance {
    Instance {
        upstream: UpstreamId(reader.get_upstream()),
        adapter: AdapterVersion {
            adapter: AdapterId(reader.get_adapter()),
            version: reader.get_version(),
        },
        fence: Fence(reader.get_fence()),
    }
}

/// Decodes a list of instances.
pub fn read_instances(list: capnp::struct_list::Reader<'_, instance::Owned>) -> Vec<Instance> {
    list.iter().map(read_instance).collect()
}

/// Encodes an instance.
pub fn write_instance(
    mut builder: instance::Builder<'_>,
    instance: &Instance,
) {
    builder.set_upstream(instance.upstream.0);
    builder.set_adapter(instance.adapter.adapter.0);
    builder.set_version(instance.adapter.version);
    builder.set_fence(instance.fence.0);
}

/// Encodes instances into a list that was allocated with their number.
pub fn write_instances(
    mut list: capnp::struct_list::Builder<'_, instance::Owned>,
    instances: &[Instance],
) {
    for (i, instance) in (0..).zip(instances) {
        write_instance(list.reborrow().get(i), instance);
    }
}
