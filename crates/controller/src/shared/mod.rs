//! State and handles shared by the components of the controller.

mod parts;

pub use parts::SharedParts;
