//! KV memory held for owners, each piece with its expiry, and the count of what came back.

use std::collections;
use std::time;

use lagoonline::port::engine;

/// One piece of memory held.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub(crate) owner: String,
    pub(crate) kind: engine::Kind,
    pub(crate) tokens: u64,
    pub(crate) expires: time::Instant,
    /// Hashes of an export's blocks.
    pub(crate) prefixes: Vec<u64>,
}

/// All pieces held, by attempt or reservation.
#[derive(Debug, Default)]
pub(crate) struct Kv {
    pieces: collections::BTreeMap<String, Piece>,
    tokens: u64,
    reserved_total: u64,
    returned_total: u64,
}

impl Kv {
    /// Tokens held now.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens ever taken and ever given back.
    pub(crate) fn totals(&self) -> (u64, u64) {
        (self.reserved_total, self.returned_total)
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Piece> {
        self.pieces.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&String, &Piece)> {
        self.pieces.iter()
    }

    /// Takes a piece; its room was made before. A piece of the same id must be given back first.
    pub(crate) fn take(&mut self, id: String, piece: Piece) {
        self.tokens += piece.tokens;
        self.reserved_total += piece.tokens;
        if let Some(old) = self.pieces.insert(id, piece) {
            self.count_back(&old);
        }
    }

    /// Gives a piece back; nothing when there is none.
    pub(crate) fn give_back(&mut self, id: &str) {
        if let Some(piece) = self.pieces.remove(id) {
            self.count_back(&piece);
        }
    }

    fn count_back(&mut self, piece: &Piece) {
        self.tokens -= piece.tokens;
        self.returned_total += piece.tokens;
    }

    pub(crate) fn set_expiry(&mut self, id: &str, expires: time::Instant) {
        if let Some(piece) = self.pieces.get_mut(id) {
            piece.expires = expires;
        }
    }

    pub(crate) fn set_owner(&mut self, id: &str, owner: &str) {
        if let Some(piece) = self.pieces.get_mut(id) {
            owner.clone_into(&mut piece.owner);
        }
    }

    /// Ids of the pieces whose expiry has come.
    pub(crate) fn expired(&self, now: time::Instant) -> Vec<String> {
        let due = self.pieces.iter().filter(|(_, piece)| piece.expires <= now);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Everything goes, as when the process dies.
    pub(crate) fn clear(&mut self) {
        for piece in std::mem::take(&mut self.pieces).values() {
            self.count_back(piece);
        }
    }
}
