use {
    super::{Event, Fleet, MessageFate, daemon::Outcome},
    jasmine_core::{
        ids::{Holder, TransferId},
        rights::{OutgoingTakeRequest, TakeResponse},
    },
};

/// A message between two daemons.
#[derive(Clone, Copy, Debug)]
pub enum Message {
    Request(OutgoingTakeRequest),
    Response(Holder, TransferId, TakeResponse),
}

impl Message {
    fn to(&self) -> Holder {
        match self {
            Self::Request(ask) => ask.to,
            Self::Response(to, ..) => *to,
        }
    }
}

impl Fleet {
    /// Delivers messages until none are left except those to frozen VMs.
    pub fn deliver_all(&mut self) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for _ in 0..1000 {
            let Some(index) = self
                .messages
                .iter()
                .position(|message| !self.vms.get(&message.to().vm).is_some_and(|vm| vm.frozen))
            else {
                break;
            };
            outcomes.extend(self.deliver_message(MessageFate::Deliver, index));
        }
        outcomes
    }

    /// Delivers, duplicates or drops one message in transit.
    pub fn deliver_message(
        &mut self,
        fate: MessageFate,
        index: usize,
    ) -> Vec<Outcome> {
        if self.messages.is_empty() {
            return Vec::new();
        }
        let index = index % self.messages.len();
        let message = self.messages[index];
        match fate {
            MessageFate::Duplicate => {
                self.messages.push_back(message);
                Vec::new()
            }
            MessageFate::Drop => {
                self.messages.remove(index);
                Vec::new()
            }
            MessageFate::Deliver if self.vms.get(&message.to().vm).is_some_and(|vm| vm.frozen) => {
                Vec::new()
            }
            MessageFate::Deliver => {
                self.messages.remove(index);
                self.deliver(&message)
            }
        }
    }

    fn deliver(
        &mut self,
        message: &Message,
    ) -> Vec<Outcome> {
        let (now, to) = (self.now, message.to());
        let daemon = self
            .vms
            .get_mut(&to.vm)
            .and_then(|vm| vm.daemons.iter_mut().find(|daemon| daemon.holder == to));
        let Some(daemon) = daemon else {
            return Vec::new();
        };
        match message {
            Message::Request(ask) => {
                let given = daemon.ledger.handle_take_request(&ask.request, now);
                let answer = Message::Response(ask.request.from, ask.request.transfer, given);
                self.messages.push_back(answer);
                Vec::new()
            }
            Message::Response(_, transfer, given) => {
                daemon.ledger.handle_take_response(*transfer, given, now);
                let (outcomes, asks) = daemon.retry(now, &mut self.ran);
                self.messages.extend(asks.into_iter().map(Message::Request));
                outcomes
                    .into_iter()
                    .filter(|outcome| *outcome != Outcome::Pending)
                    .collect()
            }
        }
    }
}
