//! Runs the real binary against some controllers.

use {
    serde_json::Value,
    std::{
        net::SocketAddr,
        process::{Command, Output},
    },
};

/// What a command gave.
#[derive(Debug)]
pub struct Ran {
    /// Its exit code.
    pub code: i32,
    /// Standard output.
    pub out: String,
    /// Standard error.
    pub err: String,
}

impl Ran {
    /// Standard output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }
}

/// The binary with the addresses and token of one fleet.
#[derive(Clone, Debug)]
pub struct Ctl {
    /// Addresses as the environment gives them.
    pub controllers: String,
    /// The token, if any.
    pub token: Option<String>,
}

impl Ctl {
    /// A fleet of controllers at these addresses.
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
    ) -> Ran {
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
        Ran {
            code: status.code().expect("the binary ends by itself"),
            out: String::from_utf8(stdout).expect("text"),
            err: String::from_utf8(stderr).expect("text"),
        }
    }

    /// Runs a command line that must succeed.
    pub async fn ok(
        &self,
        line: &str,
    ) -> Ran {
        let ran = self.run(line).await;
        assert_eq!(ran.code, 0, "{line}: {ran:?}");
        ran
    }
}
