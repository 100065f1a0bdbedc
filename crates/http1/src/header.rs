/// One header line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name in its original case.
    pub name: String,
    /// The raw value.
    pub value: Vec<u8>,
}

/// The header lines of a message, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

/// Headers that apply to a single connection and aren't forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

impl Headers {
    /// Returns the values of all lines with this name, ignoring case.
    pub fn all<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_slice())
    }

    /// Returns the single value of this name as text; none if there are several.
    pub fn single(
        &self,
        name: &str,
    ) -> Option<&str> {
        let is_named = |header: &&Header| header.name.eq_ignore_ascii_case(name);
        let mut found = self.0.iter().filter(is_named);
        let only = found.next()?;
        match found.next() {
            None => std::str::from_utf8(&only.value).ok().map(str::trim),
            Some(_) => None,
        }
    }

    /// Whether a comma-separated header contains this element, ignoring case.
    pub fn has_element(
        &self,
        name: &str,
        word: &str,
    ) -> bool {
        self.elements(name)
            .any(|found| found.eq_ignore_ascii_case(word))
    }

    /// Returns the elements of a comma-separated header.
    pub fn elements<'a>(
        &'a self,
        name: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(str::trim)
    }

    /// Iterates over names and values.
    pub fn pairs(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|header| (header.name.as_str(), header.value.as_slice()))
    }

    /// Iterates over the end-to-end headers, with their names in lower case.
    ///
    /// Those for which `is_kept` holds are end-to-end even if `Connection` lists them.
    pub fn end_to_end<F>(
        &self,
        is_kept: F,
    ) -> impl Iterator<Item = (String, &Header)>
    where
        F: Fn(&str) -> bool,
    {
        let named: Vec<String> = self
            .elements("connection")
            .map(str::to_ascii_lowercase)
            .collect();
        self.0.iter().filter_map(move |header| {
            let name = header.name.to_ascii_lowercase();
            let is_hop =
                HOP_BY_HOP.contains(&name.as_str()) || (named.contains(&name) && !is_kept(&name));
            (!is_hop).then_some((name, header))
        })
    }
}

/// Copies the parsed header lines.
pub(super) fn copy_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let headers = parsed.iter().map(|header| Header {
        name: header.name.to_owned(),
        value: header.value.to_vec(),
    });
    Headers(headers.collect())
}
