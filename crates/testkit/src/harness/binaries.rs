use {
    super::poll::HarnessError,
    std::{
        env,
        path::{Path, PathBuf},
        process::Command,
        sync::OnceLock,
    },
};

/// Builds the workspace's binaries, once for each process: the folder that they lie in.
///
/// # Errors
///
/// [`HarnessError::Build`] with what cargo said.
pub(super) fn built() -> Result<&'static Path, HarnessError> {
    static FOLDER: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    match FOLDER.get_or_init(build) {
        Ok(folder) => Ok(folder),
        Err(said) => Err(HarnessError::Build(said.clone())),
    }
}

fn build() -> Result<PathBuf, String> {
    let exe = env::current_exe().map_err(|e| e.to_string())?;
    let beside = exe.parent().ok_or("this program lies in no folder")?;
    let folder = if beside.ends_with("deps") || beside.ends_with("examples") {
        beside.parent().ok_or("no folder above it")?
    } else {
        beside
    };
    let target = folder.parent().ok_or("no target folder")?;
    let mut cargo = Command::new(env!("CARGO"));
    cargo
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .args(["build", "--quiet", "--bins"])
        .args([
            "-p",
            "jasmine-gateway",
            "-p",
            "jasmine-controller",
            "-p",
            "jasmine-ctl",
        ])
        .arg("--target-dir")
        .arg(target);
    if folder.ends_with("release") {
        cargo.arg("--release");
    }
    let output = cargo.output().map_err(|e| e.to_string())?;
    if output.status.success() {
        Ok(folder.to_owned())
    } else {
        Err(String::from_utf8_lossy(&output.stderr).into_owned())
    }
}
