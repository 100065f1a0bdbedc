use {rustc_hash::FxBuildHasher, std::collections::HashMap};

/// A map by ids that this process has assigned itself, in sequence.
///
/// No caller can choose such ids, so that a hash function that withstands chosen keys would only cost time.
pub type IdMap<K, V> = HashMap<K, V, FxBuildHasher>;
