use std::collections::BTreeMap;

/// Returns the data centres in all of the allowed regions' lists; `None` if there is no restriction.
///
/// `regions` has the region of each data centre; a data centre that isn't listed is in no region.
pub fn allowed_data_centres<'a>(
    lists: &[&[String]],
    regions: &'a BTreeMap<String, String>,
) -> Option<Vec<&'a str>> {
    if lists.iter().all(|list| list.is_empty()) {
        return None;
    }
    let is_allowed = |region: &String| {
        let mut restrictions = lists.iter().filter(|list| !list.is_empty());
        restrictions.all(|list| list.contains(region))
    };
    let allowed = regions.iter().filter(|(_, region)| is_allowed(region));
    Some(allowed.map(|(name, _)| name.as_str()).collect())
}
