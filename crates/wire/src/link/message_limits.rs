use capnp::message::ReaderOptions;

/// The longest message accepted, in words of eight bytes (16 MiB); also the most that is read of one, counted as often as it is.
///
/// Configurations, the longest ones, have a few megabytes. A peer in trouble may announce any length.
const MAX_MESSAGE_WORDS: usize = 2 << 20;

/// The limits on messages of other daemons.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}
