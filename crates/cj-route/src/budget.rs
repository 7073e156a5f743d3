//! Retry budget: retries are a bounded fraction of fresh requests, so that an outage doesn't multiply the load.

/// Limit of the unused retries that are kept. Covers the requests in flight on one failing upstream.
const MAX_SAVED_RETRIES: f64 = 20.0;

pub(crate) struct RetryBudget {
    ratio: Option<f64>,
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new(ratio: Option<f64>) -> Self {
        RetryBudget { ratio, tokens: MAX_SAVED_RETRIES }
    }

    /// Adds the retries that a fresh request allows.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio.unwrap_or_default()).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget, or returns false when none is left.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        if self.ratio.is_none() {
            return true;
        }
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
