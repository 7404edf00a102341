//! [`RetryBudget`]: limits retries to a fraction of the requests, so that retries do not add to an
//! overload.

/// The number of retries that each request deposits.
const DEPOSIT_PER_REQUEST: f64 = 0.2;
/// The largest balance, in retries.
const MAX_BALANCE_RETRIES: f64 = 10.0;
/// The balance of a new budget, in retries.
const INITIAL_BALANCE_RETRIES: f64 = 1.0;

/// A budget of retries. Each request deposits a fraction of a retry; each retry withdraws a whole
/// one.
#[derive(Debug)]
pub(in crate::logic) struct RetryBudget {
    /// The number of retries that may be made now.
    balance: f64,
}

/// The error that the retry budget holds less than one retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::logic) struct BudgetExhausted;

impl RetryBudget {
    /// Creates a budget that allows one retry.
    pub(in crate::logic) fn new() -> RetryBudget {
        RetryBudget { balance: INITIAL_BALANCE_RETRIES }
    }

    /// Deposits the fraction of a retry that one request allows.
    pub(in crate::logic) fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_REQUEST).min(MAX_BALANCE_RETRIES);
    }

    /// Decides whether the budget allows a retry, and withdraws one if so.
    ///
    /// Inputs: the balance, in retries.
    /// Reason: while most requests fail, retries would multiply the load of an outage.
    /// Source: retry budgets, as in Finagle (0.2 retries per request).
    ///
    /// # Errors
    ///
    /// Returns [`BudgetExhausted`] if less than one retry is left.
    pub(in crate::logic) fn withdraw(&mut self) -> Result<(), BudgetExhausted> {
        if self.balance < 1.0 {
            return Err(BudgetExhausted);
        }
        self.balance -= 1.0;
        Ok(())
    }
}
