use crate::{
    CtlError,
    cli::{GlobalArgs, OutputFormat},
    client::ApiClient,
    output,
};

/// Shows the state of every VM.
pub async fn fleet(
    api: &ApiClient,
    args: &GlobalArgs,
) -> Result<(), CtlError> {
    let fleet = api.fleet().await?;
    match args.output {
        OutputFormat::Json => output::json(&fleet),
        OutputFormat::Table => {
            let unknown = || "?".to_owned();
            let rows = fleet.vms.iter().map(|vm| {
                vec![
                    vm.vm.to_string(),
                    vm.data_centre.clone(),
                    if vm.leaving { "leaving" } else { "live" }.to_owned(),
                    vm.controller.to_string(),
                    vm.gateway.to_string(),
                    vm.store_up.map_or_else(unknown, output::yes_no),
                    vm.epoch.map_or_else(unknown, |epoch| epoch.to_string()),
                    vm.owned.map_or_else(unknown, |owned| owned.to_string()),
                ]
            });
            output::table(
                &[
                    "VM",
                    "data centre",
                    "state",
                    "controller",
                    "gateway",
                    "store",
                    "epoch",
                    "engines",
                ],
                rows,
            )?;
            let store = if fleet.store_up {
                "reached"
            } else {
                "not reached"
            };
            output::line(&format!(
                "asked VM {}: revision {}, store {store}",
                fleet.asked, fleet.revision
            ))
        }
    }
}
