/// \file
/// Token budget that bounds the extra sub-requests (hedges and retries) of one backend group, or of one service of a
/// route.
#ifndef RAGWORTCART_KERNEL_EXTRALOADBUDGET_H
#define RAGWORTCART_KERNEL_EXTRALOADBUDGET_H

#include <cstdint>

namespace ragwort {

/// Default maximum of the credit, in sub-requests; bounds the burst of extra load after an idle period.
inline constexpr double MAXIMUM_EXTRA_CREDIT = 20.0;
/// Initial credit, in sub-requests, so that a fault shortly after the start of an instance does not reduce the coverage
/// of its queries.
inline constexpr double INITIAL_EXTRA_CREDIT = 10.0;

/// Each planned sub-request adds a fraction of one extra sub-request to the credit, and each extra sub-request costs
/// one. Thread-confined: because every thread of every instance stays within its fraction, so does the whole tier.
class ExtraLoadBudget
{
public:
    /// Sets the maximum credit; excess credit is discarded.
    void setMaximum(double maximumCredit);

    /// Adds the fraction \p rate of one extra sub-request to the credit, up to the maximum.
    void earn(double rate);

    /// Withdraws the credit of one extra sub-request. Returns false and counts a refusal if there is too little.
    bool spend();

    bool available() const
    {
        return this->credit >= 1.0;
    }

    /// Returns the credit relative to the initial credit, or to the maximum if that is lower.
    double fillRatio() const
    {
        const double full = this->maximum < INITIAL_EXTRA_CREDIT ? this->maximum : INITIAL_EXTRA_CREDIT;
        return full > 0.0 ? this->credit / full : 0.0;
    }

    /// Returns the number of extra sub-requests that the budget has paid for.
    std::uint64_t spent() const
    {
        return this->spentCount;
    }
    std::uint64_t refused() const
    {
        return this->refusedCount;
    }

private:
    /// Invariant: 0 <= credit <= maximum.
    double credit = INITIAL_EXTRA_CREDIT;
    double maximum = MAXIMUM_EXTRA_CREDIT;
    std::uint64_t spentCount = 0;
    std::uint64_t refusedCount = 0;
};

} // namespace ragwort

#endif
