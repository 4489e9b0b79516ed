/// \file
/// Retry plug-ins: never (the baseline), and within the extra-load budget.
#include "ragwortcart/Kernel/Policies.h"

namespace ragwort {

namespace {

class NoRetry final : public RetryPolicy
{
public:
    bool retry(const RetryContext & /*context*/, ExtraLoadBudget & /*budget*/) override
    {
        return false;
    }
};

constexpr int MAXIMUM_ATTEMPTS_PER_PART = 4;
/// Time left below which a retry cannot produce an answer.
constexpr Duration MINIMUM_RETRY_TIME = std::chrono::milliseconds(2);

/// Charges the budget for the retry of an attempt that may have caused work at a server; batch queries do not retry
/// such attempts. Retries of other attempts are free. The number of attempts and the time left bound all retries.
class BudgetedRetry final : public RetryPolicy
{
public:
    bool retry(const RetryContext &context, ExtraLoadBudget &budget) override
    {
        if (context.partAttempts >= MAXIMUM_ATTEMPTS_PER_PART || context.timeLeft < MINIMUM_RETRY_TIME) {
            return false;
        }
        if (causedNoServerWork(context.failure)) {
            return true;
        }
        return context.urgency != Urgency::batch && budget.spend();
    }

private:
    static bool causedNoServerWork(SubFailure failure)
    {
        return failure == SubFailure::connectFailed || failure == SubFailure::misdirected || failure == SubFailure::draining
            || failure == SubFailure::snapshotGone;
    }
};

} // namespace

static const PluginRegistration<RetryPolicy, NoRetry> NO_RETRY("none");
static const PluginRegistration<RetryPolicy, BudgetedRetry> BUDGETED_RETRY("budgeted");

} // namespace ragwort
