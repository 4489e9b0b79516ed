/// \file
/// The budget from which hedges and retries of one backend group are paid.
#ifndef RAGWORTCART_KERNEL_EXTRALOADBUDGET_H
#define RAGWORTCART_KERNEL_EXTRALOADBUDGET_H

#include <cstdint>

namespace ragwort {

/// Bounds the burst of extra load after a quiet time.
inline constexpr double MAXIMUM_EXTRA_CREDIT = 20.0;
/// What a budget starts with, so that a fault right after the start of an instance does not cost its queries their coverage.
inline constexpr double INITIAL_EXTRA_CREDIT = 10.0;

/// Each planned sub-request earns a fraction of an extra one. Thread-confined: as every thread and every instance keeps
/// to its fraction, so does the tier.
class ExtraLoadBudget
{
public:
    /// Bounds the credit that may be saved up; what is above it is lost.
    void limit(double maximumCredit);

    /// Earns the fraction \p rate of one extra sub-request.
    void earn(double rate);

    /// Takes one extra sub-request, or refuses.
    bool spend();

    bool available() const
    {
        return this->credit >= 1.0;
    }

    /// Saved-up credit as a fraction of what a full budget starts with; 1 or more when nothing is short.
    double fill() const
    {
        const double full = this->maximum < INITIAL_EXTRA_CREDIT ? this->maximum : INITIAL_EXTRA_CREDIT;
        return full > 0.0 ? this->credit / full : 0.0;
    }

    std::uint64_t spent() const
    {
        return this->taken;
    }
    std::uint64_t refused() const
    {
        return this->denied;
    }

private:
    /// Invariant: 0 <= credit <= the cap on saved-up credit.
    double credit = INITIAL_EXTRA_CREDIT;
    double maximum = MAXIMUM_EXTRA_CREDIT;
    std::uint64_t taken = 0;
    std::uint64_t denied = 0;
};

} // namespace ragwort

#endif
