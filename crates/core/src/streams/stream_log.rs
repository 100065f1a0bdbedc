use {
    crate::{clock::Millis, ids::StreamId},
    std::collections::{BTreeMap, VecDeque},
};

/// Time in which the streams of one page begin.
const PAGE_TIME: Millis = Millis(5_000);
/// Pages that are kept: their streams are known for longer than callers repeat a request.
const MAX_PAGES: usize = 4;

/// The streams of one service that began at a VM within some seconds, by the build that began them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamPage {
    /// Where the page is stored; a later page takes the place of one that is no longer kept.
    pub slot: u64,
    /// The streams of each build; those of a build in doubt have an empty name.
    pub builds: BTreeMap<String, Vec<StreamId>>,
}

#[derive(Clone, Debug)]
struct LoggedPage {
    number: u64,
    page: StreamPage,
    is_stored: bool,
}

/// The latest streams of one service that began at a VM, as far as the store doesn't have them yet.
#[derive(Clone, Debug, Default)]
pub struct StreamLog {
    pages: VecDeque<LoggedPage>,
}

impl StreamLog {
    /// Records that a build, `None` if it is in doubt, has begun a stream.
    pub fn note(
        &mut self,
        stream: StreamId,
        build: Option<&str>,
        now: Millis,
    ) {
        let number = now.0 / PAGE_TIME.0;
        if self.pages.back().is_none_or(|last| last.number < number) {
            self.pages.push_back(LoggedPage {
                number,
                page: StreamPage {
                    slot: number % MAX_PAGES as u64,
                    builds: BTreeMap::new(),
                },
                is_stored: true,
            });
        }
        self.forget_old(now);
        if let Some(last) = self.pages.back_mut() {
            last.is_stored = false;
            let build = build.unwrap_or_default().to_owned();
            last.page.builds.entry(build).or_default().push(stream);
        }
    }

    /// Takes the pages that the store doesn't have.
    pub fn take_unstored(
        &mut self,
        now: Millis,
    ) -> Vec<StreamPage> {
        self.forget_old(now);
        let unstored = self.pages.iter_mut().filter(|page| !page.is_stored);
        unstored
            .map(|page| {
                page.is_stored = true;
                page.page.clone()
            })
            .collect()
    }

    /// Records that a page that was taken could not be stored.
    pub fn put_back(
        &mut self,
        slot: u64,
    ) {
        let mut pages = self.pages.iter_mut();
        if let Some(page) = pages.find(|page| page.page.slot == slot) {
            page.is_stored = false;
        }
    }

    fn forget_old(
        &mut self,
        now: Millis,
    ) {
        let current = now.0 / PAGE_TIME.0;
        self.pages
            .retain(|page| page.number + MAX_PAGES as u64 > current);
    }
}
