//! The settings as one checked, immutable value. It is swapped whole or not at all; whoever needs it for longer than a
//! moment, as a job does to the end of its last attempt, keeps the one that it came under.

use pearfront::interface::Settings;
use pearfront_settings::NodeSettings;
use std::cell::RefCell;
use std::rc::Rc;

#[derive(Default)]
pub struct Terms {
    /// What the module decides by.
    pub settings: Rc<Settings>,
    /// What the node needs beside it.
    pub around: NodeSettings,
}

/// The terms in force.
#[derive(Default)]
pub struct InForce(RefCell<Rc<Terms>>);

impl InForce {
    pub fn new(terms: Terms) -> Rc<Self> {
        Rc::new(Self(RefCell::new(Rc::new(terms))))
    }

    pub fn now(&self) -> Rc<Terms> {
        self.0.borrow().clone()
    }

    pub fn swap(&self, terms: Rc<Terms>) {
        self.0.replace(terms);
    }
}
