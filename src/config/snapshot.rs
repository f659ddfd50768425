//! The configuration as daemons pass it to each other.
//!
//! A snapshot names all files and carries the texts that the receiver lacks, so that one changed
//! file costs one text and not all of them.

use crate::config::ConfigFile;
use crate::config::head::{Manifest, text_digest};
use crate::ids::Revision;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The files of one revision, with some or all of their texts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub manifest: Manifest,
    pub digest: u64,
    pub texts: IndexMap<String, Arc<str>>,
}

impl Snapshot {
    /// The files of a manifest.
    pub fn new(manifest: Manifest, texts: IndexMap<String, Arc<str>>) -> Self {
        let digest = manifest.digest();
        Self { manifest, digest, texts }
    }

    /// Revision of the whole.
    pub fn revision(&self) -> Revision {
        self.manifest.revision
    }

    /// What a receiver at `revision` lacks.
    pub fn since(&self, revision: Revision) -> Self {
        let newer =
            |name: &str| self.manifest.files.get(name).is_some_and(|file| file.revision > revision);
        let texts = self.texts.iter().filter(|(name, _)| newer(name));
        Self {
            manifest: self.manifest.clone(),
            digest: self.digest,
            texts: texts.map(|(name, text)| (name.clone(), Arc::clone(text))).collect(),
        }
    }

    /// Adds the texts that `held` has; or returns the names of those that neither has whole.
    pub fn complete(&self, held: &Self) -> Result<Self, Vec<String>> {
        let mut texts = IndexMap::new();
        let mut missing = Vec::new();
        for (name, file) in &self.manifest.files {
            match self.text(name, file.digest).or_else(|| held.text(name, file.digest)) {
                Some(text) => {
                    texts.insert(name.clone(), Arc::clone(text));
                }
                None => missing.push(name.clone()),
            }
        }
        if self.digest != self.manifest.digest() || !missing.is_empty() {
            return Err(missing);
        }
        Ok(Self::new(self.manifest.clone(), texts))
    }

    /// A file's text, if it is here and whole.
    pub fn text(&self, name: &str, digest: u64) -> Option<&Arc<str>> {
        self.texts.get(name).filter(|text| text_digest(text) == digest)
    }

    /// The files with their texts, for a check; files whose text isn't here are left out.
    pub fn files(&self) -> Vec<ConfigFile> {
        let named = self.manifest.files.keys();
        named.filter_map(|name| Some(ConfigFile::new(name, self.texts.get(name)?))).collect()
    }
}
