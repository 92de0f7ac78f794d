//! What is made of the news of a large zone.

use super::{Ear, asked_at};
use crate::beliefs::{FleetMsg, Topic};
use crate::control::{StoreChanges, StoreListing};
use crate::kept::directory::Position;
use crate::peers::datagram::{
    Bulletin, KeptListing, KeptWord, LoadNews, News, PublishedWord, Report, ZoneWord,
};
use crate::peers::hub::behind;
use crate::place::load::Outcome;
use sillpin_platform::WatchReply;
use tokio::net::UdpSocket;
use tokio::time::Instant;

impl Ear {
    /// Passes a bulletin on, as it came, to the boxes behind this one.
    pub(super) async fn pass_on(&self, socket: &UdpSocket, buf: &[u8], bulletin: &Bulletin) {
        let roster = self.zone_news.rosters.of(&self.fleet.view());
        let to = roster.addrs(behind(&bulletin.members, self.name));
        self.metrics
            .datagrams("bulletin", "passed on", to.len(), buf.len());
        for peer in to {
            // A datagram that cannot be sent is lost like any other; digests bring back what it said.
            let _ = socket.send_to(buf, peer).await;
        }
    }

    pub(super) async fn take_report(&self, report: Report) {
        for news in &report.news {
            self.take_one(news.clone()).await;
        }
        self.kept.retirements().learn(&report.retired);
        self.fatal.hear(&report.fatal);
        self.take_limits(&report.limits);
        let roster = self.zone_news.rosters.of(&self.fleet.view());
        if let Some(from) = roster.find(report.from) {
            self.take_extent(Topic::Operators, report.operators, from)
                .await;
            self.take_extent(Topic::Targets, report.targets, from).await;
        }
        self.zone_news.hub().report(report, Instant::now());
        self.tell_loads();
    }

    pub(super) async fn take_bulletin(&self, bulletin: Bulletin) {
        let now = Instant::now();
        let Bulletin {
            members,
            sums,
            news,
        } = bulletin;
        self.zone_news.hub().hear_bulletin(&members, now);
        if let Some(sums) = sums {
            self.loads.hear_sums(sums.work, &members);
            self.loads
                .words(|words| words.replaced.hear(&sums.replaced, now));
            self.kept.retirements().learn(&sums.retired);
            self.fatal.hear(&sums.fatal);
            self.take_limits(&sums.limits);
            let roster = self.zone_news.rosters.of(&self.fleet.view());
            if let Some(hub) = members.first().and_then(|hub| roster.find(*hub)) {
                self.take_extent(Topic::Operators, sums.operators, hub)
                    .await;
                self.take_extent(Topic::Targets, sums.targets, hub).await;
            }
        }
        for news in news {
            self.take_one(news).await;
        }
    }

    pub(super) async fn take_zone(&self, word: ZoneWord) {
        for loading in &word.loading {
            self.take_news(loading.clone()).await;
        }
        self.kept.retirements().learn(&word.retired);
        self.fatal.hear(&word.fatal);
        self.take_limits(&word.limits);
        self.zone_news.hub().zone_word(word, Instant::now());
        self.tell_loads();
    }

    /// Engines that are about to load get no more requests once boxes know it: such news do not wait.
    fn tell_loads(&self) {
        if self.zone_news.hub().has_loads() {
            self.zone_news.urgent.notify_one();
        }
    }

    async fn take_one(&self, news: News) {
        match news {
            News::Kept(word) => self.take_word(word),
            News::Loading(news) => self.take_news(news).await,
            News::Published(word) => self.take_published(word).await,
            News::Listed(listing) => self.take_listing(listing),
            News::Joined(entry) => self.fleet.tell(FleetMsg::Joined(entry)).await,
        }
    }

    /// Takes a store's listing, unless what is known of this life of it goes on from there.
    fn take_listing(&self, listing: KeptListing) {
        let KeptListing {
            addr,
            position: Position { epoch, next },
            age_ms,
            complete,
        } = listing;
        let Some(asked) = asked_at(Some(age_ms)) else {
            return;
        };
        let mut directory = self.kept.lock();
        let known = directory.position(addr);
        if known.is_some_and(|known| known.epoch == epoch && known.next >= next) {
            return;
        }
        let partial = Vec::new();
        let list = StoreListing {
            epoch,
            next,
            complete,
            partial,
        };
        directory.take_list(addr, list, asked);
    }

    async fn take_published(&self, word: PublishedWord) {
        let Some(asked) = asked_at(Some(word.age_ms)) else {
            return;
        };
        let PublishedWord {
            topic,
            after,
            before,
            changed,
            revision,
            ..
        } = word;
        let reply = WatchReply { changed, revision };
        let msg = FleetMsg::Passed {
            topic,
            after,
            before,
            reply,
            asked,
        };
        self.fleet.tell(msg).await;
    }

    pub(super) async fn take_news(&self, news: LoadNews) {
        if !news.done {
            self.loads
                .note_life(&news.target, news.life, Outcome::Loading);
            return;
        }
        self.loads
            .note_life(&news.target, news.life, Outcome::Loaded);
        let msg = FleetMsg::Serves {
            target: news.target,
            life: news.life,
            model: news.model,
            version: news.version,
        };
        self.fleet.tell(msg).await;
    }

    /// Takes changes of a store. Whether any are missing shows in the next digest.
    pub(super) fn take_word(&self, word: KeptWord) {
        let Some(asked) = asked_at(Some(word.age_ms)) else {
            return;
        };
        let mut directory = self.kept.lock();
        let begin = Position {
            epoch: word.epoch,
            next: word.since,
        };
        if !directory.follows(word.addr, begin) {
            return;
        }
        let news = StoreChanges {
            epoch: word.epoch,
            next: word.next,
            lost: false,
            changes: word.changes,
            clock: None,
        };
        directory.take_news(word.addr, word.since, news, asked, asked);
    }
}
