//! The settings as one checked, immutable value, which a reload replaces as a whole or not at all. Code that
//! needs them for longer than a moment, such as a request up to the end of its last attempt, keeps the value
//! it started under.

use pearfront::interface::Settings;
use pearfront_settings::NodeSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// The settings of the decision module and of the node around it.
#[derive(Default)]
pub struct RuntimeSettings {
    /// Settings of the decision module.
    pub policy_settings: Rc<Settings>,
    /// Settings of the node around it.
    pub node_settings: NodeSettings,
}

/// The current settings.
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
