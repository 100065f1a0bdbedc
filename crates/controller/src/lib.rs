//! controller.
