//! The settings as one checked, immutable value. It is swapped whole or not at all; whoever needs it for longer than a
//! moment, as a job does to the end of its last attempt, keeps the one that it came under.

use pearfront::interface::Settings;
use pearfront_settings::NodeSettings;
use std::cell::RefCell;
use std::rc::Rc;

#[derive(Default)]
pub struct RuntimeSettings {
    /// What the module decides by.
    pub policy_settings: Rc<Settings>,
    /// What the node needs beside it.
    pub node_settings: NodeSettings,
}

/// The terms in force.
#[derive(Default)]
pub struct SharedSettings(RefCell<Rc<RuntimeSettings>>);

impl SharedSettings {
    pub fn new(settings: RuntimeSettings) -> Rc<Self> {
        Rc::new(Self(RefCell::new(Rc::new(settings))))
    }

    pub fn current(&self) -> Rc<RuntimeSettings> {
        self.0.borrow().clone()
    }

    pub fn replace(&self, settings: Rc<RuntimeSettings>) {
        self.0.replace(settings);
    }
}
