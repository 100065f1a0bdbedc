//! Conversion of origins to and from the messages between VMs.

use {jasmine_core::streams::ServiceBuild, jasmine_wire::scheduler_capnp::service_build};

pub(crate) fn write_origin(
    mut to: service_build::Builder<'_>,
    origin: &ServiceBuild,
) {
    to.set_service(&origin.service);
    to.set_build(origin.build.as_deref().unwrap_or_default());
}

pub(crate) fn read_origin(from: service_build::Reader<'_>) -> Result<ServiceBuild, capnp::Error> {
    let build = from.get_build()?.to_string()?;
    Ok(ServiceBuild {
        service: from.get_service()?.to_string()?,
        build: Some(build).filter(|build| !build.is_empty()),
    })
}
