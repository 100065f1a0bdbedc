//! Client of the controllers' operator API.

mod api_client;
mod call_error;

pub use api_client::ApiClient;
