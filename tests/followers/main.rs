//! What the duty of records tells control of what it follows in the store.

mod fleet;
mod operators;
mod world;
