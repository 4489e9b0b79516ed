/// \file
/// Plug-ins that decide on retries of searches: never (the baseline) and within the extra-load budget.
#include "ragwortcart/Kernel/Policies.h"

namespace ragwort {

namespace {

class NoRetry final : public RetryPolicy
{
public:
    bool retry(const RetryQuestion & /*question*/, ExtraLoadBudget & /*budget*/) override
    {
        return false;
    }
};

constexpr int MAXIMUM_ATTEMPTS_PER_PART = 4;
constexpr Duration MINIMUM_TIME_LEFT = std::chrono::milliseconds(2);

/// Retries what cost the servers work only from the budget. A failure that cost them nothing is retried for free, bounded
/// by the number of attempts. Batch work leaves the budget to others.
class BudgetedRetry final : public RetryPolicy
{
public:
    bool retry(const RetryQuestion &question, ExtraLoadBudget &budget) override
    {
        if (question.attemptsOfPart >= MAXIMUM_ATTEMPTS_PER_PART || question.timeLeft < MINIMUM_TIME_LEFT) {
            return false;
        }
        if (costsNothing(question.failure)) {
            return true;
        }
        return question.urgency != Urgency::batch && budget.spend();
    }

private:
    static bool costsNothing(SubFailure failure)
    {
        return failure == SubFailure::connectFailed || failure == SubFailure::misdirected || failure == SubFailure::draining
            || failure == SubFailure::snapshotGone;
    }
};

} // namespace

static const PluginRegistration<RetryPolicy, NoRetry> NO_RETRY("none");
static const PluginRegistration<RetryPolicy, BudgetedRetry> BUDGETED_RETRY("budgeted");

} // namespace ragwort
