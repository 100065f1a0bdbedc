//! Runs the `jasminectl` binary against given controllers.

use {
    serde_json::Value,
    std::{
        net::SocketAddr,
        process::{Command, Output},
    },
};

/// Result of a command.
#[derive(Debug)]
pub struct CommandOutput {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl CommandOutput {
    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// Environment for running `jasminectl` against one fleet.
#[derive(Clone, Debug)]
pub struct Ctl {
    /// Value of `JASMINE_CONTROLLERS`.
    pub controllers: String,
    /// Value of `JASMINE_TOKEN`, if set.
    pub token: Option<String>,
}

impl Ctl {
    /// Creates a runner for the controllers at these addresses.
    pub fn at(
        addresses: &[SocketAddr],
        token: &str,
    ) -> Self {
        let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
        Self {
            controllers: addresses.join(","),
            token: Some(token.to_owned()),
        }
    }

    /// Runs a command line, split at spaces.
    pub async fn run(
        &self,
        line: &str,
    ) -> CommandOutput {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jasminectl"));
        command
            .args(line.split_whitespace())
            .env_clear()
            .env("JASMINE_AUTHOR", "ana")
            .env("JASMINE_CONTROLLERS", &self.controllers);
        if let Some(token) = &self.token {
            command.env("JASMINE_TOKEN", token);
        }
        let Output {
            status,
            stdout,
            stderr,
        } = actix_web::rt::task::spawn_blocking(move || command.output())
            .await
            .expect("the thread ends")
            .expect("the binary starts");
        CommandOutput {
            code: status.code().expect("the binary ends by itself"),
            out: String::from_utf8(stdout).expect("text"),
            err: String::from_utf8(stderr).expect("text"),
        }
    }

    /// Runs a command line and asserts that it succeeds.
    pub async fn ok(
        &self,
        line: &str,
    ) -> CommandOutput {
        let ran = self.run(line).await;
        assert_eq!(ran.code, 0, "{line}: {ran:?}");
        ran
    }
}
