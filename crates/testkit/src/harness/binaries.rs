use {
    super::poll::HarnessError,
    std::{
        env,
        path::{Path, PathBuf},
        process::Command,
        sync::OnceLock,
    },
};

/// Builds the daemons once per process; returns the directory of the binaries.
///
/// # Errors
///
/// [`HarnessError::Build`] with the error output of cargo.
pub fn binaries_dir() -> Result<&'static Path, HarnessError> {
    static DIR: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    match DIR.get_or_init(build) {
        Ok(dir) => Ok(dir),
        Err(output) => Err(HarnessError::Build(output.clone())),
    }
}

fn build() -> Result<PathBuf, String> {
    let exe = env::current_exe().map_err(|e| e.to_string())?;
    let exe_dir = exe
        .parent()
        .ok_or("the current executable has no parent directory")?;
    let dir = if exe_dir.ends_with("deps") || exe_dir.ends_with("examples") {
        exe_dir
            .parent()
            .ok_or("the directory of the current executable has no parent")?
    } else {
        exe_dir
    };
    let target = dir.parent().ok_or("no target directory found")?;
    let mut cargo = Command::new(env!("CARGO"));
    cargo
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        // The selection of the CI script: another one has other features, and compiles the daemons once more.
        .args(["build", "--quiet", "--workspace", "--bins"])
        .arg("--target-dir")
        .arg(target);
    if dir.ends_with("release") {
        cargo.arg("--release");
    }
    let output = cargo.output().map_err(|e| e.to_string())?;
    if output.status.success() {
        Ok(dir.to_owned())
    } else {
        Err(String::from_utf8_lossy(&output.stderr).into_owned())
    }
}
