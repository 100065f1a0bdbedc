//! Entry point of `jasminectl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = jasmine_ctl::cli::app().get_matches();
    match actix_web::rt::System::new().block_on(jasmine_ctl::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("jasminectl: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
